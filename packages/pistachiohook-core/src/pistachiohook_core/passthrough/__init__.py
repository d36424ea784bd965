"""Pass-through services: flows whose packets only the two ends read."""

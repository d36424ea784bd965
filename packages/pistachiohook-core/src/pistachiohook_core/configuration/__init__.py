"""Configuration objects, their check, and the replicated state."""

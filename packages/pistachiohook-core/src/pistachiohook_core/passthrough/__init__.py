"""Pass-through services: flows whose packets are forwarded unread."""

"""The control role."""

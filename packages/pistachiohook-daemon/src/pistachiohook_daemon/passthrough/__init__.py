"""Roles for pass-through services."""

"""Durable state on a disk, over injected file operations."""

"""Durable state of a replica, stored through given file operations."""

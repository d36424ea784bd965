"""Entry point of the command line."""

from __future__ import annotations


def main() -> None:
    """Run one command."""

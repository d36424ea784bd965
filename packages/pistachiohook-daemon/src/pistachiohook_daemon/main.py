"""Entry point of the daemon."""

from __future__ import annotations


def main() -> None:
    """Run the role that the settings name."""

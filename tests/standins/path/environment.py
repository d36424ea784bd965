"""Gives each scenario an event loop and a folder of its own."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path
import tempfile


def before_all(context):
    """Hide aioquic's log lines below the level ERROR."""
    logging.getLogger('quic').setLevel(logging.ERROR)


def before_scenario(context, scenario):
    """Create an event loop, an empty folder and a list of stop functions."""
    context.runner = asyncio.Runner()
    context.folder = tempfile.TemporaryDirectory()
    context.path = Path(context.folder.name)
    context.running = []


def after_scenario(context, scenario):
    """Call the stop functions in reverse order, then delete the folder."""
    for stop in reversed(context.running):
        context.runner.run(stop())
    context.runner.close()
    context.folder.cleanup()

"""One event loop a scenario."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path
import tempfile


def before_all(context):
    """Keep aioquic's log out of the output."""
    logging.getLogger('quic').setLevel(logging.ERROR)


def before_scenario(context, scenario):
    """Start with an empty folder and nothing running."""
    context.runner = asyncio.Runner()
    context.folder = tempfile.TemporaryDirectory()
    context.path = Path(context.folder.name)
    context.running = []


def after_scenario(context, scenario):
    """Stop what the steps have started."""
    for stop in reversed(context.running):
        context.runner.run(stop())
    context.runner.close()
    context.folder.cleanup()

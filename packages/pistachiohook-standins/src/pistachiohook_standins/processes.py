"""Signals and output of the stand-ins' processes."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import Any


async def wait_for_signal() -> None:
    """Wait until the process receives SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


def print_line(record: Any) -> None:
    """Print a record as one line of JSON and flush standard output."""
    print(json.dumps(record), flush=True)

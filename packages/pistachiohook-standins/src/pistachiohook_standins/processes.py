"""What each stand-in does as a process of its own."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import Any


async def wait_for_signal() -> None:
    """Return at SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


def print_line(record: Any) -> None:
    """Print one line of JSON at once."""
    print(json.dumps(record), flush=True)

"""Clock of all decisions, and an event loop that uses it."""

from __future__ import annotations

import asyncio
import time

#: Clock that counts the time for which the machine was suspended, where the
#: system has one. After a suspension of some seconds, leases, confirmations
#: and reports would otherwise seem as recent as before it.
_CLOCK_ID = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def read_clock() -> float:
    """Return the time of a clock that never jumps back, in seconds."""
    return time.clock_gettime(_CLOCK_ID)


def create_event_loop() -> asyncio.AbstractEventLoop:
    """Create an event loop whose time is that of :func:`read_clock`."""
    loop = asyncio.new_event_loop()
    vars(loop)['time'] = read_clock
    return loop

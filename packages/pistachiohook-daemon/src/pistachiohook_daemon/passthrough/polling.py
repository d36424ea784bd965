"""Task that polls the control instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pistachiohook_core.events import CONTROL_RECOVERED
from pistachiohook_core.events import CONTROL_UNREACHABLE
from pistachiohook_core.passthrough.discovery import HELLO_INTERVAL
from pistachiohook_core.passthrough.discovery import HELLO_INTERVAL_UNREADY
from pistachiohook_core.passthrough.messages import Hello

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachiohook_core.passthrough.discovery import Finder
    from pistachiohook_core.passthrough.messages import Node

    from ..logs import Report
    from .transport import SendMessage


async def poll_control(
    role: str,
    node: Node,
    finder: Finder,
    is_ready: Callable[[], bool],
    send: SendMessage,
    report: Report,
) -> None:
    """Send hellos to control instances periodically, until cancelled.

    :param role: role of this process
    :param node: this process, as the hellos describe it
    :param finder: chooses the control instances
    :param is_ready: tells whether this process has all that it needs to
        serve; until then it sends hellos more often
    :param send: sends a message
    :param report: logs when no control instance answers any more, and when one
        answers again
    """
    loop = asyncio.get_running_loop()
    was_reachable = True
    while True:
        now = loop.time()
        controls = finder.choose_controls(now)
        for address in controls:
            brief = finder.wants_brief(address, now)
            lists = finder.find_lists(address)
            hello = Hello(
                role,
                node,
                brief=brief,
                lists=lists,
                evacuation=finder.evacuation,
            )
            send(address, hello)
        is_reachable = finder.find_newest(now) is not None
        if is_reachable != was_reachable:
            was_reachable = is_reachable
            event = CONTROL_RECOVERED if was_reachable else CONTROL_UNREACHABLE
            report(event, peer=', '.join(map(str, controls)))
        ready = is_ready()
        await asyncio.sleep(
            HELLO_INTERVAL if ready else HELLO_INTERVAL_UNREADY
        )

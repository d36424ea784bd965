"""Task that asks control what is new."""

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
    from .carrying import SendMessage


async def ask_control(
    role: str,
    node: Node,
    finder: Finder,
    is_supplied: Callable[[], bool],
    send: SendMessage,
    report: Report,
) -> None:
    """Say hello to control instances, until cancelled.

    :param role: role of this process
    :param node: what it says of itself
    :param finder: knows whom to ask
    :param is_supplied: tells whether the node has what it needs to serve
    :param send: sends a message
    :param report: logs that control is lost, and that it is back
    """
    loop = asyncio.get_running_loop()
    heard = True
    while True:
        now = loop.time()
        asked = finder.choose_controls(now)
        for address in asked:
            brief = finder.wants_brief(address, now)
            send(address, Hello(role, node, brief=brief))
        answers = finder.find_newest(now) is not None
        if answers != heard:
            heard = answers
            event = CONTROL_RECOVERED if heard else CONTROL_UNREACHABLE
            report(event, peer=', '.join(map(str, asked)))
        supplied = is_supplied()
        await asyncio.sleep(
            HELLO_INTERVAL if supplied else HELLO_INTERVAL_UNREADY
        )

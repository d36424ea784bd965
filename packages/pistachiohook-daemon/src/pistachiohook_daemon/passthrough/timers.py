"""Timer for the next deadline of a state machine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


@attrs.define
class DeadlineTimer:
    """Calls a function at the next deadline of a state machine.

    :param expire: function to call, without arguments
    """

    expire: Callable[[], None]
    _handle: asyncio.TimerHandle | None = None

    def set(self, deadline: float | None) -> None:
        """Set the deadline; a later one than the current one is ignored.

        The state machine tells its next deadline again when it is called too
        early.

        :param deadline: time of the event loop, in seconds; ``None`` for no
            deadline
        """
        if deadline is None:
            return
        if self._handle is not None:
            if deadline >= self._handle.when():
                return
            self._handle.cancel()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_at(deadline, self._fire)

    def _fire(self) -> None:
        self._handle = None
        self.expire()

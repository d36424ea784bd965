"""Supervisor tree: tasks that are started again when they fail."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.events import TASK_FAILED
from pistachiohook_core.events import TASK_GIVEN_UP

from .logs import describe_error

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from .logs import Report

    #: Runs a task until it is cancelled; a return counts as a failure.
    Runner = Callable[[], Awaitable[None]]

#: Failures of one task within :data:`FAILURE_WINDOW` before giving up.
FAILURES_MAX = 5

#: Time in which failures are counted, in seconds.
FAILURE_WINDOW = 60.0

#: Wait before the first restart, in seconds; doubled after each failure.
BACKOFF_FIRST = 0.1

#: Longest wait before a restart, in seconds.
BACKOFF_MAX = 5.0


class TaskGivenUpError(Exception):
    """A task has failed too often; its supervisor ends with it."""


@attrs.define
class Supervisor:
    """State of one node of the tree.

    :param name: path of the node, for the log
    :param report: logs an event
    """

    name: str
    report: Report
    _tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)

    def supervise(self, name: str, run: Runner) -> None:
        """Start a task and keep it running.

        :raises ValueError: when a task of that name is running
        """
        if name in self._tasks:
            raise ValueError(f'{self.name}/{name} is running')
        path = f'{self.name}/{name}'
        keeper = _keep_running(path, run, self.report)
        self._tasks[name] = asyncio.create_task(keeper, name=path)

    async def run(self) -> None:
        """Wait until a task is given up, or until cancelled.

        Tasks are cancelled on the way out, the youngest first.

        :raises TaskGivenUpError: when a task failed too often
        """
        try:
            await asyncio.gather(*self._tasks.values())
        finally:
            await self.cancel()

    async def cancel(self) -> None:
        """Cancel the tasks, the youngest first, and wait for each."""
        while self._tasks:
            _, task = self._tasks.popitem()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


async def _keep_running(path: str, run: Runner, report: Report) -> None:
    loop = asyncio.get_running_loop()
    failures: deque[float] = deque(maxlen=FAILURES_MAX)
    while True:
        try:
            await run()
            error = 'the task returned'
        except Exception as raised:
            error = describe_error(raised)
        failures.append(loop.time())
        if _has_failed_too_often(failures):
            report(TASK_GIVEN_UP, task=path, error=error)
            raise TaskGivenUpError(path)
        report(TASK_FAILED, task=path, error=error)
        wait = BACKOFF_FIRST * 2 ** (len(failures) - 1)
        await asyncio.sleep(min(BACKOFF_MAX, wait))


def _has_failed_too_often(failures: deque[float]) -> bool:
    full = len(failures) == FAILURES_MAX
    return full and failures[-1] - failures[0] < FAILURE_WINDOW

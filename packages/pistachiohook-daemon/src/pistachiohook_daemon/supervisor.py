"""Supervisors that restart failed tasks with an exponential backoff."""

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

#: Failures of one task within :data:`FAILURE_WINDOW` that stop its supervisor.
FAILURES_MAX = 5

#: Window in which failures are counted, in seconds.
FAILURE_WINDOW = 60.0

#: Delay before the first restart, in seconds; doubled after each failure.
BACKOFF_MIN = 0.1

#: Longest delay before a restart, in seconds.
BACKOFF_MAX = 5.0


class TaskGivenUpError(Exception):
    """A task has failed too often; its supervisor stops the other tasks."""


@attrs.define
class Supervisor:
    """A group of tasks, each restarted when it fails.

    :param name: prefix of the names of the tasks, in the log
    :param report: logs an event
    """

    name: str
    report: Report
    _tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)

    def supervise(self, name: str, run: Runner) -> None:
        """Start a task and restart it when it fails.

        :param name: name of the task, unique in this supervisor
        :param run: runs the task
        :raises ValueError: when a task of that name is running
        """
        if name in self._tasks:
            raise ValueError(f'{self.name}/{name} is running')
        path = f'{self.name}/{name}'
        coroutine = _run_with_restarts(path, run, self.report)
        self._tasks[name] = asyncio.create_task(coroutine, name=path)

    async def run(self) -> None:
        """Wait until a task has failed too often, or until cancelled.

        All tasks are cancelled before it returns, the last started first.

        :raises TaskGivenUpError: when a task failed too often
        """
        try:
            await asyncio.gather(*self._tasks.values())
        finally:
            await self.cancel()

    async def cancel(self) -> None:
        """Cancel the tasks, the last started first, and wait for each."""
        while self._tasks:
            _, task = self._tasks.popitem()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


async def _run_with_restarts(path: str, run: Runner, report: Report) -> None:
    loop = asyncio.get_running_loop()
    failures: deque[float] = deque(maxlen=FAILURES_MAX)
    while True:
        try:
            await run()
            error = 'the task returned'
        except Exception as exception:
            error = describe_error(exception)
        failures.append(loop.time())
        if _has_failed_too_often(failures):
            report(TASK_GIVEN_UP, task=path, error=error)
            raise TaskGivenUpError(path)
        report(TASK_FAILED, task=path, error=error)
        delay = BACKOFF_MIN * 2 ** (len(failures) - 1)
        await asyncio.sleep(min(BACKOFF_MAX, delay))


def _has_failed_too_often(failures: deque[float]) -> bool:
    full = len(failures) == FAILURES_MAX
    return full and failures[-1] - failures[0] < FAILURE_WINDOW

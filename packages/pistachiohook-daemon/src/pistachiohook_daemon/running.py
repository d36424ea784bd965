"""Life of a process: start of its role, signals, end."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.events import ROLE_STARTED
from pistachiohook_core.events import ROLE_STOPPED
from pistachiohook_core.events import SHUTDOWN_STARTED
from pistachiohook_core.events import START_REFUSED

from .endpoints import serve_endpoints
from .logs import describe_error
from .supervisor import TaskGivenUpError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.metrics import Metrics

    from .endpoints import Health
    from .logs import Report
    from .supervisor import Supervisor

#: Exit status after a graceful shutdown.
STATUS_STOPPED = 0

#: Exit status when the role could not go on.
STATUS_FAILED = 1

#: Exit status when nothing was started because of its settings.
STATUS_BAD_SETTINGS = 2


@attrs.frozen
class Role:
    """What a process needs of its running role.

    :param find_health: asked by the health endpoint
    :param shut_down: finishes the work in progress
    """

    find_health: Callable[[], Health]
    shut_down: Callable[[], Awaitable[None]]


async def run_role(
    start: Callable[[], Awaitable[Role]],
    admin: Address,
    metrics: Metrics,
    supervisor: Supervisor,
    report: Report,
    refusals: tuple[type[Exception], ...] = (OSError, ValueError),
) -> int:
    """Start a role and run it until the process is told to stop.

    :param start: starts the role below the supervisor
    :param admin: health and metrics endpoints
    :param metrics: what they show
    :param supervisor: keeps the tasks of the role running
    :param report: logs an event
    :param refusals: errors that say that the role can't be started
    :returns: exit status of the process
    """
    try:
        role = await start()
        _settle_memory()
        server = serve_endpoints(admin, metrics, role.find_health, report)
    except refusals as error:
        report(START_REFUSED, step='start role', error=describe_error(error))
        await supervisor.cancel()
        return STATUS_BAD_SETTINGS
    report(ROLE_STARTED, admin=str(admin))
    status = await _run_until_stopped(supervisor, role, report)
    server.stop()
    report(ROLE_STOPPED, status=status)
    return status


def _settle_memory() -> None:
    """Collect from now on, but not what the start has made.

    Modules and the role live as long as the process.
    """
    gc.freeze()
    gc.enable()


async def _run_until_stopped(
    supervisor: Supervisor, role: Role, report: Report
) -> int:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    running = asyncio.create_task(supervisor.run())
    stopped = asyncio.create_task(stopping.wait())
    await asyncio.wait({running, stopped}, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    if running.done():
        return _read_ending(running)
    report(SHUTDOWN_STARTED)
    await role.shut_down()
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return STATUS_STOPPED


def _read_ending(running: asyncio.Task[None]) -> int:
    error = running.exception()
    assert isinstance(error, TaskGivenUpError), error
    return STATUS_FAILED

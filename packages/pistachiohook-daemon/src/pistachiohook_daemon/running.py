"""Lifecycle of a process: starts its role, handles signals, shuts down."""

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
    from collections.abc import Mapping

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.metrics import Metrics

    from .endpoints import Health
    from .logs import Report
    from .serving import Handler
    from .supervisor import Supervisor

#: Exit status after a graceful shutdown.
STATUS_STOPPED = 0

#: Exit status when a task has failed too often.
STATUS_FAILED = 1

#: Exit status when the role could not be started; bad settings are the usual
#: cause.
STATUS_BAD_SETTINGS = 2


@attrs.frozen
class Role:
    """Functions of a running role that its process calls.

    :param find_health: returns the health; called by the health endpoint
    :param shut_down: finishes the work in progress and leaves the system
    :param admin_routes: routes of the role on the administration address
    """

    find_health: Callable[[], Health]
    shut_down: Callable[[], Awaitable[None]]
    admin_routes: Mapping[str, Handler] = attrs.field(factory=dict)


async def run_role(
    start: Callable[[], Awaitable[Role]],
    admin: Address,
    metrics: Metrics,
    supervisor: Supervisor,
    report: Report,
    start_errors: tuple[type[Exception], ...] = (OSError, ValueError),
) -> int:
    """Start a role and run it until a signal stops the process.

    :param start: starts the tasks of the role under the supervisor
    :param admin: address of the health and metrics endpoints, and of the
        role's administration routes
    :param metrics: metrics of the process
    :param supervisor: runs and restarts the tasks of the role
    :param report: logs an event
    :param start_errors: exceptions of the start that are logged and end the
        process; others are raised
    :returns: exit status of the process
    """
    # Before anything is served: a signal ends the process without a shutdown
    # as long as it has no handler.
    stop_requested = _handle_stop_signals()
    try:
        role = await start()
        _freeze_startup_objects()
        server = serve_endpoints(
            admin, metrics, role.find_health, report, role.admin_routes
        )
    except start_errors as error:
        report(START_REFUSED, step='start role', error=describe_error(error))
        await supervisor.cancel()
        return STATUS_BAD_SETTINGS
    report(ROLE_STARTED, admin=str(admin))
    status = await _run_until_stopped(stop_requested, supervisor, role, report)
    server.stop()
    report(ROLE_STOPPED, status=status)
    return status


def _freeze_startup_objects() -> None:
    """Enable garbage collection, but exclude all objects made so far.

    Modules and the role live as long as the process, so that scanning them
    would only cost time.
    """
    gc.freeze()
    gc.enable()


def _handle_stop_signals() -> asyncio.Event:
    """Return an event that is set by the signals that stop a process."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    return stop_requested


async def _run_until_stopped(
    stop_requested: asyncio.Event,
    supervisor: Supervisor,
    role: Role,
    report: Report,
) -> int:
    running = asyncio.create_task(supervisor.run())
    stopped = asyncio.create_task(stop_requested.wait())
    await asyncio.wait({running, stopped}, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    if running.done():
        return _find_failure_status(running)
    report(SHUTDOWN_STARTED)
    await role.shut_down()
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return STATUS_STOPPED


def _find_failure_status(running: asyncio.Task[None]) -> int:
    error = running.exception()
    assert isinstance(error, TaskGivenUpError), error
    return STATUS_FAILED

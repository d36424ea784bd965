"""The composition root: wires the tasks of each role."""

from __future__ import annotations

import asyncio
from pathlib import Path
import signal
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.events import ROLE_STARTED
from pistachiohook_core.events import ROLE_STOPPED
from pistachiohook_core.events import SHUTDOWN_STARTED
from pistachiohook_core.events import START_REFUSED
from pistachiohook_core.metrics import Metrics
import pynng
from returns.result import Failure as Failed

from .agent.wiring import start_agent
from .balancer.role import start_balancer
from .control.role import run_control
from .endpoints import Health
from .endpoints import serve_endpoints
from .keys import read_keys
from .logs import describe_error
from .logs import setup_logs
from .supervisor import Supervisor
from .supervisor import TaskGivenUpError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from .keys import LinkKeys
    from .logs import Report
    from .settings import Settings

#: Exit status after a graceful shutdown.
STATUS_STOPPED = 0

#: Exit status when the role could not go on.
STATUS_FAILED = 1

#: Exit status when nothing was started because of its settings.
STATUS_BAD_SETTINGS = 2


@attrs.frozen
class Role:
    """What the composition root needs of a running role.

    :param find_health: asked by the health endpoint
    :param shut_down: finishes the work in progress
    """

    find_health: Callable[[], Health]
    shut_down: Callable[[], Awaitable[None]]


async def run_daemon(settings: Settings) -> int:
    """Run the role of the settings until it is told to stop.

    :returns: exit status of the process
    """
    report = setup_logs(settings.log, settings.role, settings.name)
    keys = read_keys(Path(settings.keys_file))
    if isinstance(keys, Failed):
        failure = keys.failure()
        report(START_REFUSED, step=failure.step, error=str(failure))
        return STATUS_BAD_SETTINGS
    supervisor = Supervisor(settings.role, report)
    metrics = Metrics()
    try:
        role = await _start_role(
            settings, keys.unwrap(), supervisor, metrics, report
        )
        server = serve_endpoints(settings.admin, metrics, role.find_health)
    except (OSError, ValueError, pynng.NNGException) as error:
        report(START_REFUSED, step='start role', error=describe_error(error))
        await supervisor.cancel()
        return STATUS_BAD_SETTINGS
    report(ROLE_STARTED, admin=str(settings.admin))
    status = await _run_until_stopped(supervisor, role, report)
    server.stop()
    report(ROLE_STOPPED, status=status)
    return status


async def _start_role(
    settings: Settings,
    keys: LinkKeys,
    supervisor: Supervisor,
    metrics: Metrics,
    report: Report,
) -> Role:
    if settings.balancer is not None and settings.role == 'balancer':
        balancer = start_balancer(
            settings, settings.balancer, keys, supervisor, metrics, report
        )
        return Role(balancer.find_health, balancer.shut_down)
    if settings.agent is not None and settings.role == 'agent':
        agent = start_agent(
            settings, settings.agent, keys, supervisor, metrics, report
        )
        return Role(agent.find_health, agent.shut_down)
    if settings.control_instance is not None:
        control = await run_control(
            settings, settings.control_instance, keys, supervisor, report
        )
        return Role(control.find_health, control.shut_down)
    raise ValueError(f'no table for the role {settings.role}')


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

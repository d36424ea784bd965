"""Composition root: connects settings, keys, logs and tasks of a role."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from pistachiohook_core.events import START_REFUSED
from pistachiohook_core.metrics import Metrics
import pynng
from returns.result import Failure as Failed

from .agent.wiring import start_agent
from .balancer.role import start_balancer
from .control.role import run_control
from .keys import read_keys
from .logs import setup_logs
from .running import Role
from .running import run_role
from .running import STATUS_BAD_SETTINGS
from .supervisor import Supervisor

if TYPE_CHECKING:
    from .keys import LinkKeys
    from .logs import Report
    from .settings import Settings


async def run_daemon(settings: Settings) -> int:
    """Run the role that the settings name until a signal stops it.

    :param settings: settings of the process
    :returns: exit status of the process
    """
    log = settings.log
    report = setup_logs(log.format, log.level, settings.role, settings.name)
    keys = read_keys(Path(settings.keys_file))
    if isinstance(keys, Failed):
        failure = keys.failure()
        report(START_REFUSED, step=failure.step, error=str(failure))
        return STATUS_BAD_SETTINGS
    supervisor = Supervisor(settings.role, report)
    metrics = Metrics()
    start = partial(
        _start_role, settings, keys.unwrap(), supervisor, metrics, report
    )
    return await run_role(
        start,
        settings.admin,
        metrics,
        supervisor,
        report,
        start_errors=(OSError, ValueError, pynng.NNGException),
    )


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
    raise ValueError(f'no settings table for the role {settings.role}')

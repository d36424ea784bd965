"""Settings of the daemon."""

from __future__ import annotations

from pathlib import Path

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.failures import Failure
from pistachiohook_core.tables import key
from pistachiohook_core.tables import read_file
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

#: Names of the roles; each has its own table.
ROLES = ('balancer', 'agent', 'control')


@attrs.frozen
class LogSettings:
    """Settings of the logs, table ``log``."""

    format: str = key(
        'text', 'format of a line', 'json', choices=('json', 'text')
    )
    level: str = key(
        'text',
        'lowest level that is logged',
        'INFO',
        choices=('INFO', 'WARNING', 'ERROR'),
    )


@attrs.frozen
class EntrySettings:
    """Settings of one service address, tables ``balancer.entries``."""

    service_address: Address = key(
        'address', 'address to which callers send their datagrams'
    )
    bind: Address | None = key(
        'address',
        'local address to bind if the network translates addresses; when'
        ' missing, the service address is bound',
        None,
    )


@attrs.frozen
class BalancerSettings:
    """Settings of a balancer, table ``balancer``."""

    sealed: Address = key(
        'address', 'address for sealed answers of agents (UDP)'
    )
    entries: tuple[EntrySettings, ...] = key(
        'tables', 'service addresses', table=EntrySettings
    )
    stale_after: float = key(
        'number',
        'time since the last quorum confirmation after which the health'
        ' endpoint fails, if an agent has applied a later revision',
        5.0,
        unit='seconds',
        low=1,
        high=3600,
    )


@attrs.frozen
class AgentSettings:
    """Settings of an agent, table ``agent``."""

    target: str = key('text', 'name of the target, unique in the system')
    service: str = key('text', 'name of the service of the target')
    slots: int = key(
        'count',
        'requests that the target runs concurrently',
        low=1,
        high=10_000,
    )
    sealed: Address = key(
        'address', 'address for sealed datagrams of balancers and agents (UDP)'
    )
    link: Address = key(
        'address', 'address to which other agents connect (TCP)'
    )
    target_address: Address = key('address', 'HTTP/1.1 endpoint of the target')
    certificate: str = key('text', 'file with the certificate chain, PEM')
    private_key: str = key('text', 'file with the private key, PEM')
    hand_over: Address | None = key(
        'address',
        'address to which other agents hand over requests (HTTP/1.1); when'
        ' missing, the host of link and a port that the system chooses',
        None,
    )
    drain_timeout: float = key(
        'number',
        'longest wait for work in progress at a shutdown',
        60.0,
        unit='seconds',
        low=0,
        high=3600,
    )


@attrs.frozen
class MemberSettings:
    """Settings of one first voter, tables ``control_instance.members``."""

    name: str = key('text', 'name of the instance')
    peer: Address = key(
        'address', 'address to which other voters connect (TCP)'
    )
    api: Address = key('address', 'address of the administration API')


@attrs.frozen
class ControlSettings:
    """Settings of a control instance, table ``control_instance``."""

    data_folder: str = key(
        'text', 'folder of the journal, with the log and the snapshots'
    )
    api: Address = key('address', 'address of the administration API')
    link: Address = key('address', 'address to which nodes connect (TCP)')
    peer: Address = key(
        'address', 'address to which other voters connect (TCP)'
    )
    tokens_file: str = key('text', 'file with bearer tokens and their roles')
    members: tuple[MemberSettings, ...] = key(
        'tables', 'initial voters of the cluster', table=MemberSettings
    )


@attrs.frozen
class Settings:
    """Settings of one process."""

    role: str = key('text', 'role of the process', choices=ROLES)
    name: str = key('text', 'name of the instance, unique in the system')
    availability_zone: str = key('text', 'availability zone of the instance')
    admin: Address = key(
        'address', 'address of the health and metrics endpoints (HTTP)'
    )
    keys_file: str = key(
        'text',
        'file with the current link key and optionally the previous one',
    )
    control: tuple[Address, ...] = key(
        'addresses',
        'addresses of the control instances, tried in turn from a random one',
        (),
    )
    log: LogSettings = key('table', 'logs', LogSettings(), table=LogSettings)
    balancer: BalancerSettings | None = key(
        'table', 'balancer', None, table=BalancerSettings
    )
    agent: AgentSettings | None = key(
        'table', 'agent', None, table=AgentSettings
    )
    control_instance: ControlSettings | None = key(
        'table', 'control instance', None, table=ControlSettings
    )


def read_settings(path: Path) -> Result[Settings, tuple[Failure, ...]]:
    """Read and check a settings file.

    :param path: path of the file
    :returns: the settings, or all failures
    """
    return read_file(path, Settings).bind(
        lambda settings: _check_role(settings, path)
    )


def _check_role(
    settings: Settings, path: Path
) -> Result[Settings, tuple[Failure, ...]]:
    table = _find_table(settings.role)
    failures = []
    if getattr(settings, table) is None:
        reason = (
            f'missing; expected the settings table of the role {settings.role}'
        )
        failures.append(Failure(f'read key {table}', str(path), reason))
    if settings.role != 'control' and not settings.control:
        reason = 'missing; expected a list of addresses such as 127.0.0.1:443'
        failures.append(Failure('read key control', str(path), reason))
    if failures:
        return Failed(tuple(failures))
    return Success(settings)


def _find_table(role: str) -> str:
    return 'control_instance' if role == 'control' else role

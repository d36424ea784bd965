"""Every setting of the daemon."""

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

#: Names of the roles, each with a table of its own.
ROLES = ('balancer', 'agent', 'control')


@attrs.frozen
class LogSettings:
    """How the process logs, table ``log``."""

    format: str = key(
        'text', 'form of a line', 'json', choices=('json', 'text')
    )
    level: str = key(
        'text',
        'least urgent level that is logged',
        'INFO',
        choices=('INFO', 'WARNING', 'ERROR'),
    )


@attrs.frozen
class EntrySettings:
    """One service address, tables ``balancer.entries``."""

    service_address: Address = key(
        'address', 'where callers send their datagrams'
    )
    bind: Address | None = key(
        'address',
        'local address to bind when the fabric translates; else the former',
        None,
    )


@attrs.frozen
class BalancerSettings:
    """What only a balancer needs, table ``balancer``."""

    sealed: Address = key('address', 'where sealed answers arrive (UDP)')
    entries: tuple[EntrySettings, ...] = key(
        'tables', 'service addresses', table=EntrySettings
    )
    stale_after: float = key(
        'number',
        'age of the last proof of a quorum from which the health endpoint'
        ' fails, when an agent has a later revision',
        5.0,
        unit='seconds',
        low=1,
        high=3600,
    )


@attrs.frozen
class AgentSettings:
    """What only an agent needs, table ``agent``."""

    target: str = key('text', 'name of the target, unique in the system')
    service: str = key('text', 'name of the service that it belongs to')
    slots: int = key(
        'count', 'requests that the target runs at once', low=1, high=10_000
    )
    sealed: Address = key('address', 'where sealed datagrams arrive (UDP)')
    link: Address = key('address', 'where other agents connect (TCP)')
    target_address: Address = key('address', 'HTTP/1.1 endpoint of the target')
    certificate: str = key('text', 'file with the certificate chain, PEM')
    private_key: str = key('text', 'file with the private key, PEM')
    hand_over: Address | None = key(
        'address',
        'where other agents hand requests over (HTTP/1.1); when missing, a'
        ' port that the system chooses beside link',
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
    """One voter, tables ``control.members``."""

    name: str = key('text', 'name of the instance')
    peer: Address = key('address', 'where other voters connect (TCP)')
    api: Address = key('address', 'where the administration API listens')


@attrs.frozen
class ControlSettings:
    """What only a control instance needs, table ``control``."""

    data_folder: str = key('text', 'folder of the log and the snapshots')
    api: Address = key('address', 'where the administration API listens')
    link: Address = key('address', 'where nodes connect (TCP)')
    peer: Address = key('address', 'where other voters connect (TCP)')
    tokens_file: str = key('text', 'file with bearer tokens and their roles')
    members: tuple[MemberSettings, ...] = key(
        'tables', 'the first voters', table=MemberSettings
    )


@attrs.frozen
class Settings:
    """Settings of one process."""

    role: str = key('text', 'which role the process runs', choices=ROLES)
    name: str = key('text', 'name of the instance, unique in the system')
    availability_zone: str = key('text', 'where the instance runs')
    admin: Address = key('address', 'health and metrics endpoints (HTTP)')
    keys_file: str = key(
        'text', 'file with the current link key and the former one'
    )
    control: tuple[Address, ...] = key(
        'addresses', 'control instances, tried in a shuffled order', ()
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

    :param path: the file
    :returns: the settings, or every failure at once
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
        reason = f'missing; expected the table of the role {settings.role}'
        failures.append(Failure(f'read key {table}', str(path), reason))
    if settings.role != 'control' and not settings.control:
        reason = 'missing; expected a list of addresses as 127.0.0.1:443'
        failures.append(Failure('read key control', str(path), reason))
    if failures:
        return Failed(tuple(failures))
    return Success(settings)


def _find_table(role: str) -> str:
    return 'control_instance' if role == 'control' else role

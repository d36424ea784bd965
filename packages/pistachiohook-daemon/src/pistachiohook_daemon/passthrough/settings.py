"""What the roles for pass-through services are told."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from pistachiohook_core.addresses import Address


@attrs.frozen
class NodeSettings:
    """What every role is told.

    :param name: name of the instance
    :param zone: availability zone
    :param link: where messages about flows arrive (UDP)
    :param controls: control instances to ask first (UDP)
    :param admin: health and metrics endpoints (HTTP)
    :param grace: time that a shutdown may take, in seconds
    """

    name: str
    zone: str
    link: Address
    controls: tuple[Address, ...]
    admin: Address
    grace: float


@attrs.frozen
class BalancerSettings:
    """What a balancer is told.

    :param node: what every role is told
    :param entry: where the fabric sends callers' packets (UDP)
    """

    node: NodeSettings
    entry: Address


@attrs.frozen
class AgentSettings:
    """What an agent is told.

    :param node: what every role is told
    :param service: name of the target's service
    :param outbound: where the target sends all of its packets (UDP)
    :param target: where the target receives packets (UDP)
    :param caller_port: port at which callers receive packets
    :param flow_age_max: longest life of a flow, in seconds
    """

    node: NodeSettings
    service: str
    outbound: Address
    target: Address
    caller_port: int
    flow_age_max: float


@attrs.frozen
class ControlSettings:
    """What a control instance is told.

    :param node: what every role is told
    :param data_folder: folder of the journal; empty without a disk, where
        the instance learns and never votes
    :param peer: where other control instances connect (TCP)
    :param seeds: the same of the control instances that the settings name
    :param routes: where routes are fetched (HTTP)
    :param tolerance: disks that may be lost at the same time
    :param may_found: whether the whole system starts for the first time
    """

    node: NodeSettings
    data_folder: str
    peer: Address
    seeds: tuple[Address, ...]
    routes: Address
    tolerance: int
    may_found: bool

"""Settings of the roles for pass-through services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.passthrough.cold_starts import ColdBounds

if TYPE_CHECKING:
    from pistachiohook_core.addresses import Address


@attrs.frozen
class NodeSettings:
    """Settings that all roles have.

    :param name: name of the instance
    :param zone: availability zone of the instance
    :param link: address for messages about flows (UDP)
    :param controls: control instances from the settings file, which list the
        others (UDP)
    :param admin: address of the health and metrics endpoints (HTTP)
    :param grace: longest duration of a graceful shutdown, in seconds
    """

    name: str
    zone: str
    link: Address
    controls: tuple[Address, ...]
    admin: Address
    grace: float


@attrs.frozen
class BalancerSettings:
    """Settings of a balancer.

    :param node: settings that all roles have
    :param entry: address to which the fabric sends callers' packets (UDP)
    :param link_rate: rate of the instance's link, in bits per second; 0 when
        it is unknown
    """

    node: NodeSettings
    entry: Address
    link_rate: float = 0.0


@attrs.frozen
class AgentSettings:
    """Settings of an agent.

    :param node: settings that all roles have
    :param service: name of the target's service
    :param outbound: address to which the target sends all packets (UDP)
    :param target: address at which the target receives packets (UDP)
    :param caller_port: port at which callers receive packets
    :param flow_age_max: longest duration of a flow, in seconds
    :param cold_bounds: bound of the requests that the target gets while cold
    """

    node: NodeSettings
    service: str
    outbound: Address
    target: Address
    caller_port: int
    flow_age_max: float
    cold_bounds: ColdBounds = attrs.field(factory=ColdBounds)


@attrs.frozen
class ControlSettings:
    """Settings of a control instance.

    :param node: settings that all roles have
    :param data_folder: folder of the journal; empty for an instance without a
        disk, which becomes a learner and never votes
    :param peer: address to which other control instances connect (TCP)
    :param seeds: peer addresses of the control instances that the settings
        file lists
    :param routes: address from which balancers fetch the routes (HTTP)
    :param tolerance: number of disks that may be lost at the same time
    :param may_bootstrap: whether this instance may bootstrap the cluster; set
        only when the whole system starts for the first time
    """

    node: NodeSettings
    data_folder: str
    peer: Address
    seeds: tuple[Address, ...]
    routes: Address
    tolerance: int
    may_bootstrap: bool

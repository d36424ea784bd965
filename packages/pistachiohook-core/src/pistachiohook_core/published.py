"""What control publishes and every node applies."""

from __future__ import annotations

import enum

import attrs

from .addresses import Address


class TargetState(enum.Enum):
    """Where a target stands in its life."""

    #: Takes new flows and requests.
    SERVING = 'serving'
    #: Takes nothing new; established flows go on to their end.
    DRAINING = 'draining'


@attrs.frozen
class Service:
    """A service with the limits of its policy filled in.

    :param name: name of the service object
    :param number: fencing number; never given to another service
    :param addresses: where callers send their datagrams
    :param queue_limit: most requests that wait at one target
    :param request_timeout: longest run of one request, in seconds
    :param idle_timeout: silence after which a flow is closed, in seconds
    :param long_after: expected run time that makes a request long, in seconds
    :param key_lifetime: how long an idempotency key is kept, in seconds
    :param latency_objective: bound of the latency objective, in seconds
    :param objective_share: share of requests within the objectives
    :param formed_at: when its first target was announced, in seconds since
        the epoch on the clock of control; 0 before
    :param membership: published revision at which a target last joined, left
        or started again
    """

    name: str
    number: int
    addresses: tuple[Address, ...]
    queue_limit: int = 64
    request_timeout: float = 30.0
    idle_timeout: float = 15.0
    long_after: float = 1.0
    key_lifetime: float = 600.0
    latency_objective: float = 0.5
    objective_share: float = 0.999
    formed_at: float = 0.0
    membership: int = 0


@attrs.frozen
class Target:
    """A target that its agent has announced.

    :param name: name of the target, unique in the system
    :param service: name of its service
    :param availability_zone: where it runs
    :param agent: where its agent receives sealed datagrams (UDP)
    :param link: where its agent receives messages of other agents (TCP)
    :param incarnation: number of this start of the agent; grows
    :param slots: requests that run at once
    :param state: whether it takes new work
    :param weight: share of new flows, from 0 to :data:`WEIGHT_FULL`
    :param hand_over: where other agents hand requests over (HTTP/1.1)
    """

    name: str
    service: str
    availability_zone: str
    agent: Address
    link: Address
    incarnation: int
    slots: int
    state: TargetState = TargetState.SERVING
    weight: int = 100
    hand_over: Address | None = None


@attrs.frozen
class Balancer:
    """A balancer that holds a lease.

    :param name: name of the instance
    :param availability_zone: where it runs
    :param address: where it receives sealed answers (UDP)
    :param incarnation: number of this start of the balancer; grows
    """

    name: str
    availability_zone: str
    address: Address
    incarnation: int


#: Weight of a target that takes its whole share.
WEIGHT_FULL = 100


@attrs.frozen
class PublishedState:
    """All that is published, as of one revision.

    :param revision: counts changes of configuration and of membership; grows
    :param configuration: revision of the configuration that it holds
    :param services: every service, sorted by name
    :param targets: every announced target, sorted by name
    :param balancers: every live balancer, sorted by name
    """

    revision: int = 0
    configuration: int = 0
    services: tuple[Service, ...] = ()
    targets: tuple[Target, ...] = ()
    balancers: tuple[Balancer, ...] = ()


@attrs.frozen
class Delta:
    """The way from one revision to a later one.

    :param base: revision that the receiver must have
    :param revision: revision that it has afterwards
    :param configuration: revision of the configuration afterwards
    :param services: services added or changed
    :param targets: targets added or changed
    :param balancers: balancers added or changed
    :param gone_services: names of services removed
    :param gone_targets: names of targets removed
    :param gone_balancers: names of balancers removed
    """

    base: int
    revision: int
    configuration: int
    services: tuple[Service, ...] = ()
    targets: tuple[Target, ...] = ()
    balancers: tuple[Balancer, ...] = ()
    gone_services: tuple[str, ...] = ()
    gone_targets: tuple[str, ...] = ()
    gone_balancers: tuple[str, ...] = ()

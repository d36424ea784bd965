"""State that control publishes and that every node applies."""

from __future__ import annotations

import enum

import attrs

from .addresses import Address


class TargetState(enum.Enum):
    """Whether a target accepts new work."""

    #: Accepts new flows and requests.
    SERVING = 'serving'
    #: Accepts no new work; established flows continue until they end.
    DRAINING = 'draining'


@attrs.frozen
class Service:
    """A service, with the limits of its policy.

    :param name: name of the service object
    :param number: fencing number, which no other service ever gets
    :param addresses: service addresses to which callers send their datagrams
    :param queue_limit: largest number of requests queued for one target
    :param request_timeout: longest run time of one request, in seconds
    :param idle_timeout: idle time after which a flow is closed, in seconds
    :param long_after: expected run time above which a request counts as long,
        in seconds
    :param key_lifetime: time for which an idempotency key is kept, in seconds
    :param latency_objective: bound of the latency objective, in seconds
    :param objective_share: share of requests that must meet an objective
    :param formed_at: time at which its first target was announced, in seconds
        since the epoch by the clock of control; 0 until then
    :param membership: published revision at which a target last joined, left
        or restarted
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
    """A target, as announced by its agent.

    :param name: name of the target, unique in the system
    :param service: name of its service
    :param availability_zone: availability zone in which it runs
    :param agent: address at which its agent receives sealed datagrams (UDP)
    :param link: address at which its agent receives messages of other agents
        (TCP)
    :param incarnation: number of this start of the agent; each start has a
        higher one
    :param slots: largest number of requests that run concurrently
    :param state: whether it accepts new work
    :param weight: relative share of new flows, from 0 to :data:`WEIGHT_FULL`
    :param hand_over: address to which other agents hand over requests
        (HTTP/1.1); None without one
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
    """A balancer with a valid lease.

    :param name: name of the instance
    :param availability_zone: availability zone in which it runs
    :param address: address at which it receives sealed answers (UDP)
    :param incarnation: number of this start of the balancer; each start has a
        higher one
    """

    name: str
    availability_zone: str
    address: Address
    incarnation: int


#: Weight of a target that gets its full share of new flows.
WEIGHT_FULL = 100


@attrs.frozen
class PublishedState:
    """The complete published state at one revision.

    :param revision: published revision, which increases with every change of
        the configuration or the membership
    :param configuration: revision of the configuration on which it is based
    :param services: all services, sorted by name
    :param targets: all announced targets, sorted by name
    :param balancers: all balancers with a valid lease, sorted by name
    """

    revision: int = 0
    configuration: int = 0
    services: tuple[Service, ...] = ()
    targets: tuple[Target, ...] = ()
    balancers: tuple[Balancer, ...] = ()


@attrs.frozen
class Delta:
    """Difference between the published states of two revisions.

    :param base: revision to which the delta can be applied
    :param revision: revision after it was applied
    :param configuration: revision of the configuration after it was applied
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

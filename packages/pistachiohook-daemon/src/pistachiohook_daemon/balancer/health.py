"""Health check of a balancer."""

from __future__ import annotations

import attrs

from ..endpoints import Health


@attrs.frozen
class BalancerStatus:
    """State of a balancer that decides its health.

    :param shutting_down: whether a graceful shutdown has begun
    :param current: whether, since its start, control has confirmed that its
        published state was current
    :param age: time since the last quorum confirmation, in seconds
    :param behind: whether an agent has applied a later revision
    """

    shutting_down: bool
    current: bool
    age: float
    behind: bool


def assess_health(status: BalancerStatus, stale_after: float) -> Health:
    """Decide whether the network should send datagrams to a balancer.

    Age alone doesn't make a balancer unhealthy: while control has no quorum,
    the age grows on every balancer, and all of them would be withdrawn at
    once. An agent that has applied a later revision shows that other nodes
    still receive updates.

    :param status: state of the balancer
    :param stale_after: age above which a balancer that is behind is
        unhealthy, in seconds
    """
    if status.shutting_down:
        return Health(False, 'shutting down')
    if not status.current:
        return Health(
            False, 'published state not confirmed as current since the start'
        )
    stale = status.age > stale_after
    if stale and status.behind:
        return Health(
            False,
            'published state is stale; an agent has applied a later revision',
        )
    if stale:
        return Health(
            True,
            'serving the last published state; no recent quorum confirmation',
        )
    return Health(True, 'serving')

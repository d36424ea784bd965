"""Order in which waiting new flows are delivered to a target."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection


@attrs.frozen
class WaitingFlow:
    """A flow whose opening packet is queued at an agent.

    :param key: key of the flow
    :param priority: priority of the flow; 0 is the highest
    :param arrived_at: when it was offered
    :param prompt_until: latest delivery to the target at which its answer can
        still meet the route's target latency
    :param expires_at: latest delivery at which its caller can still open it
        and receive its answer
    :param patience_ms: longest wait up to which no other agent is better;
        infinite when there is no other
    """

    key: bytes
    priority: int
    arrived_at: float
    prompt_until: float
    expires_at: float
    patience_ms: float = math.inf


def choose_next(
    waiting: Collection[WaitingFlow], now: float
) -> WaitingFlow | None:
    """Return the flow to deliver next.

    Flows whose answer can still meet the target latency go before those that
    are late anyway, then flows of a higher priority before others, then in
    order of arrival. Order of arrival alone would make every answer late after
    an outage, when a backlog of old flows is waiting.
    """
    return min(waiting, key=lambda flow: _rank(flow, now), default=None)


def choose_last(
    waiting: Collection[WaitingFlow], now: float
) -> WaitingFlow | None:
    """Return the flow to decline when more wait than can be served."""
    return max(waiting, key=lambda flow: _rank(flow, now), default=None)


def count_ahead(
    waiting: Collection[WaitingFlow], candidate: WaitingFlow, now: float
) -> int:
    """Return how many waiting flows are delivered before a candidate."""
    rank = _rank(candidate, now)
    return sum(_rank(flow, now) < rank for flow in waiting)


def order_urgent(
    waiting: Collection[WaitingFlow], now: float
) -> list[WaitingFlow]:
    """Return the flows in the order in which a cold target gets them.

    Flows of a higher priority go first, then those whose answer can still meet
    the target latency.
    """
    return sorted(waiting, key=lambda flow: _rank_urgent(flow, now))


def count_more_urgent(
    waiting: Collection[WaitingFlow], candidate: WaitingFlow, now: float
) -> int:
    """Return how many waiting flows a cold target gets before a candidate."""
    rank = _rank_urgent(candidate, now)
    return sum(_rank_urgent(flow, now) < rank for flow in waiting)


def _rank_urgent(flow: WaitingFlow, now: float) -> tuple[int, bool, float]:
    return (flow.priority, now > flow.prompt_until, flow.arrived_at)


def _rank(flow: WaitingFlow, now: float) -> tuple[bool, int, float]:
    return (now > flow.prompt_until, flow.priority, flow.arrived_at)

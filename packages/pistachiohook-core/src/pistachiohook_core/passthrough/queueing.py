"""Order in which new flows that wait for a target are handed to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection


@attrs.frozen
class WaitingFlow:
    """A flow whose opening packet waits at an agent.

    :param key: key of the flow
    :param priority: which flows wait least; 0 goes first
    :param arrived_at: when it was offered
    :param prompt_until: until when its answer can still come within the
        route's target latency, if it is handed in
    :param useful_until: until when its caller can still open it
    """

    key: bytes
    priority: int
    arrived_at: float
    prompt_until: float
    useful_until: float


def choose_next(
    waiting: Collection[WaitingFlow], now: float
) -> WaitingFlow | None:
    """Return the flow to hand in.

    Flows whose answer can still be prompt go before those that are late
    anyway, urgent ones before others, then first come, first served. Answers
    the load after an outage: in order of arrival alone, every answer would be
    late.
    """
    return min(waiting, key=lambda flow: _rank(flow, now), default=None)


def choose_victim(
    waiting: Collection[WaitingFlow], now: float
) -> WaitingFlow | None:
    """Return the flow to give back when more wait than can be served."""
    return max(waiting, key=lambda flow: _rank(flow, now), default=None)


def count_ahead(
    waiting: Collection[WaitingFlow], arriving: WaitingFlow, now: float
) -> int:
    """Return how many waiting flows are handed in before an arriving one."""
    rank = _rank(arriving, now)
    return sum(_rank(flow, now) < rank for flow in waiting)


def _rank(flow: WaitingFlow, now: float) -> tuple[bool, int, float]:
    return (now > flow.prompt_until, flow.priority, flow.arrived_at)

"""Queued requests and the order in which they are started."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .estimates import Estimate

if TYPE_CHECKING:
    from .scheduler_messages import Request

#: Half-life of the run time that a flow has used, in seconds.
USAGE_HALF_LIFE = 2.0

#: Most flows whose usage is kept; the least recently updated one is evicted.
FLOWS_MAX = 4096


@attrs.frozen
class WaitingRequest:
    """A request that waits for a slot at the target.

    :param request: the request
    :param arrived: when it arrived
    :param may_hand_over: whether it may still be handed over to a peer
    :param used: decayed run time that its flow had used when it was queued,
        in seconds
    :param charged: expected run time that its flow was charged for it, in
        seconds
    :param attempts: number of attempts so far
    :param may_have_run: whether an earlier attempt may have run
    """

    request: Request
    arrived: float
    may_hand_over: bool = True
    used: float = 0.0
    charged: float = 0.0
    attempts: int = 0
    may_have_run: bool = False


@attrs.define
class FlowUsage:
    """Run time that each flow has used, decaying exponentially."""

    _used: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def read(self, flow: str, now: float) -> float:
        """Return the decayed run time that a flow has used, in seconds."""
        used, at = self._used.get(flow, (0.0, now))
        return float(used * 0.5 ** ((now - at) / USAGE_HALF_LIFE))

    def add(self, flow: str, seconds: float, now: float) -> None:
        """Charge run time to a flow; a negative amount is a refund."""
        used = max(0.0, self.read(flow, now) + seconds)
        self._used.pop(flow, None)
        self._used[flow] = (used, now)
        if len(self._used) > FLOWS_MAX:
            del self._used[next(iter(self._used))]


#: Sort key of the queued requests, the smallest first: whether the request
#: has waited for less than the aging bound; its expected run time plus the
#: usage of its flow, in seconds; and when it arrived.
Rank = tuple[bool, float, float]


def rank_waiting(
    waiting: WaitingRequest,
    estimate: Estimate,
    aging_bound: float,
    now: float,
) -> Rank:
    """Return the sort key of a queued request.

    Requests are ordered by expected run time plus the recent usage of their
    flow. Requests that have waited for the aging bound come before all
    others, the oldest first.

    :param waiting: the request
    :param estimate: its expected run time
    :param aging_bound: queueing time after which a request is started before
        all shorter ones, in seconds
    :param now: current time
    """
    waited = now - waiting.arrived
    if waited >= aging_bound:
        return False, 0.0, waiting.arrived
    used = waiting.used * 0.5 ** (waited / USAGE_HALF_LIFE)
    return True, estimate.typical + used, waiting.arrived

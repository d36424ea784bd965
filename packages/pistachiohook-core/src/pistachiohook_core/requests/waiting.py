"""Requests that wait for a slot, and the order in which they get one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .estimates import Estimate

if TYPE_CHECKING:
    from .scheduler_messages import Request

#: Time in which what a flow has used counts half, in seconds.
USAGE_HALF_LIFE = 2.0

#: Most flows whose use is kept; the longest unused goes first.
FLOWS_MAX = 4096


@attrs.frozen
class Waiting:
    """A request that has not started.

    :param request: the request
    :param arrived: when it arrived
    :param movable: whether it may still be handed over
    :param used: run time that its flow had used when it came, in seconds
    :param charged: run time that its flow was charged for it, in seconds
    :param attempts: times that it was started before
    :param may_have_run: whether an earlier attempt may have run
    """

    request: Request
    arrived: float
    movable: bool = True
    used: float = 0.0
    charged: float = 0.0
    attempts: int = 0
    may_have_run: bool = False


@attrs.define
class FlowUsage:
    """State of the run time that each flow has used lately."""

    _used: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def read(self, flow: str, now: float) -> float:
        """Return what the flow has used, decayed, in seconds."""
        used, at = self._used.get(flow, (0.0, now))
        return float(used * 0.5 ** ((now - at) / USAGE_HALF_LIFE))

    def add(self, flow: str, seconds: float, now: float) -> None:
        """Charge a flow, or give back with a negative amount."""
        used = max(0.0, self.read(flow, now) + seconds)
        self._used.pop(flow, None)
        self._used[flow] = (used, now)
        if len(self._used) > FLOWS_MAX:
            del self._used[next(iter(self._used))]


#: Place in the order of the waiting requests, the smallest first: whether it
#: has not yet waited for the aging bound, expected run time and use of the
#: flow in seconds, and when it arrived.
Rank = tuple[bool, float, float]


def rank_waiting(
    waiting: Waiting,
    estimate: Estimate,
    aging_bound: float,
    now: float,
) -> Rank:
    """Return the place of a waiting request.

    The shortest expected run goes first, later for a flow that has used
    much. Those that waited for the aging bound go before all, oldest first.

    :param waiting: the request
    :param estimate: its expected run time
    :param aging_bound: longest wait behind shorter requests, in seconds
    :param now: current time
    """
    waited = now - waiting.arrived
    if waited >= aging_bound:
        return False, 0.0, waiting.arrived
    used = waiting.used * 0.5 ** (waited / USAGE_HALF_LIFE)
    return True, estimate.typical + used, waiting.arrived

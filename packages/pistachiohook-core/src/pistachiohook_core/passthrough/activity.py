"""Requests on open flows, recognized by the headers of their packets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .segments import find_entry

if TYPE_CHECKING:
    from .segments import Segment

#: Number of distinct sequence numbers; they wrap around.
SEQUENCE_RANGE = 1 << 32

#: Weight of the newest cycle of a request and the pause before it in the sums
#: from which the duty cycle of a route's flows is learnt.
CYCLE_WEIGHT = 0.02

#: Duty cycle of a route's flows before the first cycle.
INITIAL_DUTY = 0.05

#: Time after which an unanswered request without a packet in either direction
#: no longer occupies a slot, in seconds: longer than callers wait for an
#: answer. Its caller is gone, or it was a retransmission of an answered one.
REQUEST_TIMEOUT = 10.0


@attrs.define
class FlowActivity:
    """Progress of the requests on one flow.

    A request begins with data of the caller beyond all earlier data and ends
    with such data of the target. Pipelined requests count as one, and a target
    that streams its answer counts as idle from the first packet of it on.

    :param requested_to: sequence number after the caller's last new data;
        ``None`` before the first
    :param answered_to: the same for the target's data
    :param busy_since: when the unanswered request began; ``None`` without one
    :param idle_since: when the last answer began; ``None`` before the first
    :param requests: number of requests that have begun
    :param busy: time for which requests were unanswered, in seconds
    :param shared_by: requests for each slot of the target when the last
        request began, at least 1
    """

    requested_to: int | None = None
    answered_to: int | None = None
    busy_since: float | None = None
    idle_since: float | None = None
    requests: int = 0
    busy: float = 0.0
    shared_by: float = 1.0

    def record_caller_data(self, segment: Segment, now: float) -> bool:
        """Record a packet of the caller.

        :returns: whether it begins a request
        """
        end = _find_end(segment)
        if not segment.length or not _is_beyond(end, self.requested_to):
            return False
        self.requested_to = end
        if self.busy_since is not None:
            return False
        self.busy_since = now
        self.requests += 1
        return True

    def record_target_data(self, segment: Segment, now: float) -> float | None:
        """Record a packet of the target.

        :returns: time for which the request was unanswered, in seconds, when
            the packet begins its answer; otherwise ``None``
        """
        end = _find_end(segment)
        if not segment.length or not _is_beyond(end, self.answered_to):
            return None
        self.answered_to = end
        if self.busy_since is None:
            return None
        elapsed = now - self.busy_since
        self.busy += elapsed
        self.busy_since = None
        self.idle_since = now
        return elapsed

    def abandon_request(self) -> None:
        """Stop counting a request that will not be answered."""
        self.busy_since = None


@attrs.define
class DutyCycles:
    """Mean share of its life for which an open flow of a route is busy.

    Flows of one request are busy nearly all their life, and pooled flows
    mostly a few hundredths of it.
    """

    _busy: dict[bytes, float] = attrs.field(factory=dict)
    _idle: dict[bytes, float] = attrs.field(factory=dict)

    def record_busy(self, flow: bytes, seconds: float) -> None:
        """Record how long a request of a flow was unanswered."""
        _blend(self._busy, find_entry(flow), seconds)

    def record_idle(self, flow: bytes, seconds: float) -> None:
        """Record a pause before the next request of a flow, or its end."""
        _blend(self._idle, find_entry(flow), seconds)

    def find_duty(self, flow: bytes) -> float:
        """Return the expected duty cycle of a flow, from 0 to 1."""
        entry = find_entry(flow)
        busy, idle = self._busy.get(entry), self._idle.get(entry)
        if busy is None or idle is None:
            return INITIAL_DUTY
        return busy / (busy + idle) if busy else 0.0


def is_after(number: int, other: int) -> bool:
    """Tell whether a sequence number is after another one."""
    return 0 < (number - other) % SEQUENCE_RANGE < SEQUENCE_RANGE // 2


def _find_end(segment: Segment) -> int:
    return (segment.sequence + segment.length) % SEQUENCE_RANGE


def _is_beyond(end: int, known: int | None) -> bool:
    return known is None or is_after(end, known)


def _blend(means: dict[bytes, float], entry: bytes, seconds: float) -> None:
    known = means.get(entry, seconds)
    means[entry] = known + (seconds - known) * CYCLE_WEIGHT

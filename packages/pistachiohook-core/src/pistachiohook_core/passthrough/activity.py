"""Requests on open flows, recognized by the headers of their packets."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from .segments import Segment

#: Number of distinct sequence numbers; they wrap around.
SEQUENCE_RANGE = 1 << 32

#: Largest number of packets of a flow that are noted beyond a missing one:
#: what a caller sends without an acknowledgement.
LATER_RANGES_MAX = 16

#: Time after which a request, or time without one, counts for little more than
#: a third in the rate of requests on open flows, in seconds.
RATE_MEMORY = 10.0

#: Rate at which an idle flow begins requests before any was seen, in requests
#: per second.
INITIAL_RATE = 1.0

#: Idle time that this rate stands for, in seconds: that of one flow, so that
#: what is measured outweighs it soon.
PRIOR_IDLE_TIME = 1.0

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
    While packets of a request are missing, the target can't have begun it.

    :param requested_to: sequence number after the caller's last new data;
        ``None`` before the first
    :param answered_to: the same for the target's data
    :param received_to: sequence number up to which no data of the caller is
        missing; ``None`` before the target's acceptance
    :param busy_since: when the unanswered request began; ``None`` without one
    :param received_at: when the last data of the request arrived
    :param requests: number of requests that have begun
    :param busy: time for which requests were unanswered, in seconds
    :param concurrency: requests in progress at the target when the last one
        began, with itself
    """

    requested_to: int | None = None
    answered_to: int | None = None
    received_to: int | None = None
    busy_since: float | None = None
    received_at: float = 0.0
    requests: int = 0
    busy: float = 0.0
    concurrency: int = 1
    _later: dict[int, int] = attrs.field(factory=dict)

    @property
    def is_incomplete(self) -> bool:
        """Whether data of the caller is missing before what has arrived."""
        return bool(self._later)

    def record_caller_data(self, segment: Segment, now: float) -> bool:
        """Record a packet of the caller.

        :returns: whether it begins a request
        """
        if not segment.length:
            return False
        self._record_range(segment, now)
        end = _find_end(segment)
        if not _is_beyond(end, self.requested_to):
            return False
        self.requested_to = end
        if self.busy_since is not None:
            return False
        self.busy_since = now
        self.requests += 1
        return True

    def record_target_data(self, segment: Segment, now: float) -> float | None:
        """Record a packet of the target.

        :returns: time since the request arrived in full, in seconds, when the
            packet begins its answer; otherwise ``None``
        """
        end = _find_end(segment)
        if not segment.length or not _is_beyond(end, self.answered_to):
            return None
        self.answered_to = end
        if self.busy_since is None:
            return None
        elapsed = now - max(self.busy_since, self.received_at)
        self._later.clear()
        self.received_to = self.requested_to
        self.busy += elapsed
        self.busy_since = None
        return elapsed

    def _record_range(self, segment: Segment, now: float) -> None:
        """Record which data has arrived; packets may overtake each other."""
        begin = segment.sequence
        if self.received_to is None:
            self.received_to = begin
        if is_after(begin, self.received_to):
            if len(self._later) < LATER_RANGES_MAX:
                self._later[begin] = _find_end(segment)
            return
        if not is_after(_find_end(segment), self.received_to):
            return
        self.received_to = _find_end(segment)
        self.received_at = now
        while self.received_to in self._later:
            self.received_to = self._later.pop(self.received_to)

    def abandon_request(self) -> None:
        """Stop counting a request that will not be answered."""
        self.busy_since = None


@attrs.define
class _RouteRate:
    """Requests on the idle open flows of one route, in decaying sums.

    :param idle: number of idle open flows
    :param idle_time: sum of the time for which flows were idle, in seconds
    :param requests: number of requests that idle flows have begun
    """

    idle: int = 0
    idle_time: float = PRIOR_IDLE_TIME
    requests: float = PRIOR_IDLE_TIME * INITIAL_RATE

    def advance(self, seconds: float) -> None:
        """Add the time that has passed, and let older time count less."""
        kept = math.exp(-seconds / RATE_MEMORY)
        self.idle_time = self.idle_time * kept + self.idle * seconds
        self.requests *= kept


@attrs.define
class RequestRates:
    """Rates at which idle open flows of each route begin requests.

    The time of flows that have stayed idle counts too. From finished pauses
    alone, the rate would be far too high while flows are young: only their
    short pauses have ended by then.
    """

    _routes: dict[bytes, _RouteRate] = attrs.field(factory=dict)
    _advanced_at: float | None = None

    def add_idle(self, entry: bytes) -> None:
        """Add an idle open flow of the route with an entry address."""
        self._find_route(entry).idle += 1

    def remove_idle(self, entry: bytes) -> None:
        """Remove an idle open flow."""
        self._find_route(entry).idle -= 1

    def record_request(self, entry: bytes, now: float) -> None:
        """Record that an idle flow has begun a request."""
        self.advance(now)
        self._find_route(entry).requests += 1

    def advance(self, now: float) -> None:
        """Add the time since the last call to that of the idle flows."""
        if self._advanced_at is not None and now > self._advanced_at:
            for route in self._routes.values():
                route.advance(now - self._advanced_at)
        self._advanced_at = now

    def find_total(self) -> float:
        """Return the expected rate of all idle flows, in requests/s."""
        return sum(
            route.idle * route.requests / route.idle_time
            for route in self._routes.values()
            if route.idle
        )

    def _find_route(self, entry: bytes) -> _RouteRate:
        return self._routes.setdefault(entry, _RouteRate())


def is_after(number: int, other: int) -> bool:
    """Tell whether a sequence number is after another one."""
    return 0 < (number - other) % SEQUENCE_RANGE < SEQUENCE_RANGE // 2


def _find_end(segment: Segment) -> int:
    return (segment.sequence + segment.length) % SEQUENCE_RANGE


def _is_beyond(end: int, known: int | None) -> bool:
    return known is None or is_after(end, known)

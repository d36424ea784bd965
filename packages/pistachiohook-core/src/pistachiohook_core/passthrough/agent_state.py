"""State of an agent: its target, its flows and what it has measured."""

from __future__ import annotations

from collections import Counter
import enum
from typing import TYPE_CHECKING

import attrs

from .activity import FlowActivity
from .activity import RequestRates
from .capacity import Capacity
from .cold_starts import Allowance
from .cold_starts import charge_request
from .cold_starts import ColdBounds
from .cold_starts import empty_bucket
from .cold_starts import RATE_MAX
from .cold_starts import set_rate
from .cold_starts import update_tokens
from .messages import Load
from .messages import TargetState
from .placement import ReportIntervals

if TYPE_CHECKING:
    from ..addresses import Address
    from .queueing import WaitingFlow
    from .segments import Segment
    from .segments import SegmentFormat

#: Consecutive opening packets without an answer after which a target is
#: considered down.
UNANSWERED_OFFERS_MAX = 3

#: Time for which a target that is considered down gets no offers, in seconds.
DOWN_PAUSE = 1.0

#: Time without an announcement after which a target with an earlier start time
#: is accepted as the successor, in seconds: more than two announcements.
TARGET_TIMEOUT = 3.0

#: Time by which a target must have started before the agent to have flows of
#: an earlier agent, in milliseconds: when both start together, as after a loss
#: of power, the agent is ready up to this much later.
START_GAP_MS = 600

#: Time from the start of an agent for which it declines flows while it has not
#: learned whether its availability zone is evacuated, in seconds: it asks
#: control every 0.1, and after this time control is considered unreachable.
ZONE_UNKNOWN_MAX = 3.0

#: Mean handshake time before the first measurement, in seconds: the round
#: trip to callers through two zones.
INITIAL_HANDSHAKE_TIME = 0.01

#: Mean service time of a request before the first measurement, in
#: milliseconds.
INITIAL_SERVICE_MS = 50.0


#: Time without an answer from which a target with an unanswered request may
#: hang, in seconds. A flow that is declined then is opened elsewhere before
#: its caller retransmits after 200 ms, as an offer takes at most 50 ms.
STALL_MIN = 0.15

#: The same as a multiple of the mean service time. A target that has become
#: four times slower still answers.
STALL_MULTIPLE = 4.0


class AgentFlowState(enum.Enum):
    """State of a flow at an agent."""

    #: The opening packet is queued at the agent.
    WAITING = 'waiting'
    #: The opening packet was delivered to the target.
    DELIVERED = 'offered'
    #: The target has accepted the flow; it is half-open.
    ACCEPTED = 'accepted'
    #: The caller has completed the handshake.
    OPEN = 'open'
    #: The caller or the target has closed or reset the flow.
    ENDED = 'ended'


@attrs.define
class AgentFlow:
    """A flow that an agent owns.

    :param state: state of the flow
    :param balancer: balancer that forwarded its last packet; ``None`` when the
        target sent the first packet that the agent has seen
    :param began_at: when its opening packet arrived
    :param touched_at: when its last packet passed, in either direction
    :param accepted_at: when the target accepted it
    :param sequence: initial sequence number of the target
    :param opening: its opening packet while it waits
    :param counted: whether it counts as in progress: it is being opened, or
        its request is unanswered
    :param requesting: whether it counts as in progress and its request has
        arrived in full and is unanswered
    :param expected_on: entry address of the route whose open flows it is one
        of, while it is open and does not count as in progress; else empty
    :param activity: progress of its requests
    :param charged: whether its next request is charged already to the
        allowance of its cold target
    :param doubtful: whether the target has sent no packet of it since the
        start of the target or of the agent, so that it may be lost or ended
    """

    state: AgentFlowState
    balancer: Address | None
    began_at: float
    touched_at: float
    accepted_at: float = 0.0
    sequence: int = 0
    opening: bytes = b''
    counted: bool = True
    requesting: bool = False
    expected_on: bytes = b''
    activity: FlowActivity = attrs.field(factory=FlowActivity)
    charged: bool = False
    doubtful: bool = False


@attrs.define
class DeclinedFlow:
    """A flow that was declined after its opening packet was delivered.

    :param balancer: balancer that had offered it
    :param declined_at: when it was declined
    :param accept: the target's late acceptance, which the caller has not been
        sent
    :param charged: whether it is charged to the allowance of its cold target
    """

    balancer: Address
    declined_at: float
    accept: Segment | None = None
    charged: bool = False


@attrs.define
class TargetAnnouncement:
    """Announcement of a target about its state.

    :param name: name of the target
    :param started: start time of the target, in milliseconds of wall-clock
        time
    :param sequence: number of the announcement since that start
    :param slots: requests that the target runs concurrently
    :param leaving: whether the target drains and accepts no new flows
    :param cold_until: when the target stops being slow after its start
    """

    name: str
    started: int
    sequence: int
    slots: int
    leaving: bool
    cold_until: float


@attrs.define
class AgentState:
    """State of an agent for a target of a pass-through service.

    :param service: name of the target's service
    :param zone: availability zone of the agent
    :param segment_format: format of the packets
    :param started: start time of the agent, in milliseconds of wall-clock time
    :param started_at: the same on the clock of the ``now`` parameters
    :param target: newest announcement of the target
    :param flows: flows that are open at the target or wait for it
    :param in_progress: number of these flows that count as in progress
    :param requesting: number of those whose request is unanswered
    :param progress_at: when the target last sent data, or when the oldest
        unanswered request arrived, if that was later
    :param stalled_until: when the target last answered after it had hung
    :param waiting: flows whose opening packet is queued
    :param declined: flows that were declined after their opening packet was
        delivered; when the target accepts one late, the caller must not be
        told before a balancer offers it again
    :param gone: flows that the target has lost, with the time and the target's
        initial sequence number
    :param returned: flows that the agent did not know and its target does not
        have, with the time and the packet's acknowledgement number
    :param stopping: whether the agent is shutting down
    :param zone_known: whether the agent has learned from control if its
        availability zone is evacuated
    :param evacuated: whether its availability zone is evacuated
    :param recovered_parts: numbers of the messages with flows of the former
        process that have come back
    :param recovered: whether the flows of the former process are all known
    :param counts: counters of packets and decisions by name
    :param capacity: what is learned about the target's response times
    :param report_intervals: times between two regular load reports
    :param request_rates: requests that open flows begin, by route
    :param handshake_time: mean time from a target's acceptance to the caller's
        next packet, in seconds
    :param flow_age_max: longest duration of a flow, in seconds
    :param cold_bounds: bound of the requests that the target gets while cold
    :param allowance: requests that the target may get while it is cold
    :param cold_s: time for which targets of the service are cold, in seconds
    :param cold_since: when the target became cold without a start
    """

    service: str
    zone: str
    segment_format: SegmentFormat
    started: int
    started_at: float
    flow_age_max: float = 60.0
    target: TargetAnnouncement | None = None
    flows: dict[bytes, AgentFlow] = attrs.field(factory=dict)
    in_progress: int = 0
    requesting: int = 0
    progress_at: float = 0.0
    stalled_until: float = float('-inf')
    waiting: dict[bytes, WaitingFlow] = attrs.field(factory=dict)
    declined: dict[bytes, DeclinedFlow] = attrs.field(factory=dict)
    gone: dict[bytes, tuple[float, int]] = attrs.field(factory=dict)
    returned: dict[bytes, tuple[float, int]] = attrs.field(factory=dict)
    stopping: bool = False
    zone_known: bool = True
    evacuated: bool = False
    recovered_parts: set[int] = attrs.field(factory=set)
    recovered: bool = False
    counts: Counter[str] = attrs.field(factory=Counter)
    capacity: Capacity = attrs.field(
        factory=lambda: Capacity(INITIAL_SERVICE_MS)
    )
    report_intervals: ReportIntervals = attrs.field(factory=ReportIntervals)
    request_rates: RequestRates = attrs.field(factory=RequestRates)
    cold_bounds: ColdBounds = attrs.field(factory=ColdBounds)
    allowance: Allowance = attrs.field(factory=Allowance)
    cold_s: float = 0.0
    cold_since: float = float('-inf')
    handshake_time: float = INITIAL_HANDSHAKE_TIME
    _sequence: int = 0
    _announced_at: float = float('-inf')
    _unanswered_offers: int = 0
    _down_until: float = float('-inf')
    _check_at: float = float('inf')

    @property
    def slots(self) -> int:
        """Number of requests that the target runs concurrently."""
        return self.target.slots if self.target else 0

    @property
    def service_ms(self) -> float:
        """Mean time for which a request occupies a slot."""
        return self.capacity.service_ms

    @property
    def delivered(self) -> int:
        """Number of flows in progress that do not wait here."""
        return self.in_progress - len(self.waiting)

    @property
    def expected(self) -> float:
        """Mean number of requests that idle open flows have in progress."""
        return self.request_rates.find_total() * self.service_ms / 1000

    def find_next_deadline(self) -> float | None:
        """Return when :meth:`expire` is due; ``None`` without a timer."""
        return None if self._check_at == float('inf') else self._check_at

    def describe_load(self, now: float) -> Load:
        """Return a load report with the next sequence number."""
        self._sequence += 1
        self.request_rates.advance(now)
        if not self.requesting:
            self.capacity.settle(now)
        hangs = self.find_stall(now) > 0
        return Load(
            self._sequence,
            self.started,
            self.service,
            self.zone,
            self.find_state(now),
            self.slots,
            self.in_progress,
            round(self.estimate_service(now), 1),
            int(self.find_cold_time(now) * 1000),
            round(self.expected, 3),
            int(self.report_intervals.local * 1000),
            int(self.report_intervals.remote * 1000),
            cold_allowance=self._find_cold_allowance(now),
            limit=self._find_stalled_limit() if hangs else self.capacity.limit,
        )

    def find_stall(self, now: float) -> float:
        """Return for how long the target has answered no request.

        It is the time since the target last sent data while a request is
        unanswered. A long request beside others that are answered does not
        count.

        :returns: the time, in seconds; 0 while it is not much longer than the
            mean service time
        """
        if not self.requesting:
            return 0.0
        silent = now - self.progress_at
        return silent if silent > self.find_usual_time() else 0.0

    def estimate_service(self, now: float) -> float:
        """Return the expected service time, in milliseconds.

        It is the mean, or the time for which the target has hung.
        """
        return max(self.service_ms, self.find_stall(now) * 1000)

    def find_usual_time(self) -> float:
        """Return the longest usual time of a response, in seconds."""
        return max(STALL_MIN, STALL_MULTIPLE * self.service_ms / 1000)

    def find_limit(self) -> int:
        """Return how many requests the target serves well concurrently."""
        return self.capacity.limit or self.slots or 1

    def find_cold_time(self, now: float) -> float:
        """Return how long the target stays cold, in seconds."""
        if self.target is None:
            return 0.0
        until = max(self.target.cold_until, self.cold_since + self.cold_s)
        return max(0.0, until - now)

    def is_bounded(self, now: float) -> bool:
        """Tell whether the target is cold and gets a bounded rate."""
        bounded = self.allowance.per_second > 0
        return bounded and self.find_cold_time(now) > 0

    def begin_cold(self, now: float) -> None:
        """Let the target be cold from now on without a start.

        It has got no flows for some time, as in an evacuated zone.
        """
        self.cold_since = now
        self.allowance = empty_bucket(self.allowance, now)

    def learn_cold_rate(
        self, per_second: float, seconds: float, now: float
    ) -> None:
        """Learn the rate of cold targets from an offer.

        While the target is cold, a rate is not raised: balancers with older
        routes send the former one.

        :param per_second: requests per second; 0 without a bound
        :param seconds: time for which a target is cold
        """
        if not (0 <= per_second <= RATE_MAX and 0 <= seconds <= RATE_MAX):
            self.counts['cold_rates_invalid'] += 1
            return
        known = self.allowance.per_second
        if self.is_bounded(now) and not 0 < per_second <= known:
            return
        self.cold_s = seconds
        if per_second == known:
            return
        self.allowance = set_rate(
            self.allowance, per_second, self.cold_bounds, now
        )

    def charge_request(self, now: float) -> None:
        """Charge a request to the allowance of a cold target.

        Until the first announcement the target may be cold.
        """
        if self.target is not None and self.find_cold_time(now) <= 0:
            return
        self.allowance = charge_request(self.allowance, now)
        if self.is_bounded(now):
            self.counts['cold_requests'] += 1
            self.counts['cold_requests_excess'] += self.allowance.tokens < 0

    def find_state(self, now: float) -> TargetState:
        """Return the state of the target.

        That its zone is evacuated comes first: balancers wait for agents that
        are in some of the other states.
        """
        if self.evacuated:
            return TargetState.EVACUATED
        if self.target is None or self._awaits_zone(now):
            return TargetState.UNKNOWN
        if self.target.leaving or self.stopping:
            return TargetState.LEAVING
        if now < self._down_until:
            return TargetState.DOWN
        return TargetState.READY

    def check_within(self, seconds: float, now: float) -> None:
        """Let the next check of the flows begin in a time at the latest."""
        self._check_at = min(self._check_at, now + seconds)

    def may_own_earlier_flows(self, now: float) -> bool:
        """Tell whether the target may have flows that the agent doesn't know.

        These were opened before the agent's start.
        """
        if self.recovered:
            return False
        age = now - self.started_at
        if self.target is None:
            # A target that runs announces itself more often than this.
            return age <= TARGET_TIMEOUT
        return (
            age <= self.flow_age_max
            and self.target.started < self.started - START_GAP_MS
        )

    def count_open(self) -> int:
        """Return the number of flows that the target has accepted."""
        return sum(map(is_accepted, self.flows.values()))

    def _find_stalled_limit(self) -> int:
        """Return a limit at which a target that hangs has no free slot."""
        return max(1, min(self.slots, self.delivered))

    def _find_cold_allowance(self, now: float) -> float:
        if not self.is_bounded(now):
            return -1.0
        tokens = update_tokens(self.allowance, now).tokens
        return round(max(0.0, tokens - len(self.waiting)), 3)

    def record_unanswered(self, now: float) -> None:
        """Record that the target has not accepted a flow in time."""
        self._unanswered_offers += 1
        self.counts['offers_unanswered'] += 1
        if self._unanswered_offers >= UNANSWERED_OFFERS_MAX:
            self._down_until = now + DOWN_PAUSE

    def _awaits_zone(self, now: float) -> bool:
        return not self.zone_known and now - self.started_at < ZONE_UNKNOWN_MAX


def is_accepted(flow: AgentFlow) -> bool:
    """Tell whether the target has accepted a flow that has not ended."""
    return flow.state in (AgentFlowState.ACCEPTED, AgentFlowState.OPEN)

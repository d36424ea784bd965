"""State machine of an agent: admits and forwards flows to its target."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from ..events import TARGET_CHANGED
from .actions import Log
from .activity import DutyCycles
from .admission import decline_expired
from .admission import deliver_waiting
from .admission import handle_offer
from .admission import handle_withdraw_offer
from .admission import time_out_accept
from .admission import withhold_accept
from .agent_flows import AgentFlow
from .agent_flows import AgentFlowState
from .agent_flows import become_idle
from .agent_flows import CHECK_INTERVAL
from .agent_flows import DeclinedFlow
from .agent_flows import drop_flow
from .agent_flows import EXPECTED_IDLE_MAX
from .agent_flows import find_lifetime
from .agent_flows import forward_to_caller
from .agent_flows import is_abandoned
from .agent_flows import is_opening
from .agent_flows import OPENING_CHECK_INTERVAL
from .agent_flows import OPENING_TIMEOUT
from .agent_flows import set_counted
from .messages import FindOwner
from .messages import ForwardedPacket
from .messages import KeptFlows
from .messages import Load
from .messages import Offer
from .messages import TargetState
from .messages import WithdrawOffer
from .open_flows import adopt_flow
from .open_flows import end_flow
from .open_flows import handle_find_owner
from .open_flows import handle_forwarded_packet
from .open_flows import handle_returned_packet
from .open_flows import leave_flows
from .open_flows import record_answer
from .open_flows import recover_flows
from .placement import ReportIntervals
from .queueing import WaitingFlow

if TYPE_CHECKING:
    from ..addresses import Address
    from .actions import Action
    from .segments import SegmentFormat

#: Time after which an opening packet that the target has not accepted times
#: out, in seconds. A target accepts in less than a millisecond, and the caller
#: retransmits after 0.2.
ACCEPT_TIMEOUT = 0.07

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

#: Mean handshake time before the first measurement, in seconds: the round
#: trip to callers through two zones.
INITIAL_HANDSHAKE_TIME = 0.01

#: Mean service time of a request before the first measurement, in
#: milliseconds.
INITIAL_SERVICE_MS = 50.0


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
class Agent:
    """State of an agent for a target of a pass-through service.

    :param service: name of the target's service
    :param zone: availability zone of the agent
    :param segment_format: format of the packets
    :param started: start time of the agent, in milliseconds of wall-clock time
    :param started_at: the same on the clock of the ``now`` parameters
    :param target: newest announcement of the target
    :param flows: flows that are open at the target or wait for it
    :param in_progress: number of these flows that count as in progress
    :param waiting: flows whose opening packet is queued
    :param declined: flows that were declined after their opening packet was
        delivered; when the target accepts one late, the caller must not be
        told before a balancer offers it again
    :param gone: flows that the target has lost, with the time and the target's
        initial sequence number
    :param stopping: whether the agent is shutting down
    :param recovered_parts: numbers of the messages with flows of the former
        process that have come back
    :param recovered: whether the flows of the former process are all known
    :param counts: counters of packets and decisions by name
    :param service_ms: mean time for which a request occupies a slot
    :param expected: mean number of requests that the open flows which do not
        count as in progress are expected to have in progress
    :param report_intervals: times between two regular load reports
    :param duty_cycles: duty cycles of the flows by route
    :param handshake_time: mean time from a target's acceptance to the caller's
        next packet, in seconds
    :param flow_age_max: longest duration of a flow, in seconds
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
    waiting: dict[bytes, WaitingFlow] = attrs.field(factory=dict)
    declined: dict[bytes, DeclinedFlow] = attrs.field(factory=dict)
    gone: dict[bytes, tuple[float, int]] = attrs.field(factory=dict)
    stopping: bool = False
    recovered_parts: set[int] = attrs.field(factory=set)
    recovered: bool = False
    counts: Counter[str] = attrs.field(factory=Counter)
    service_ms: float = INITIAL_SERVICE_MS
    expected: float = 0.0
    report_intervals: ReportIntervals = attrs.field(factory=ReportIntervals)
    duty_cycles: DutyCycles = attrs.field(factory=DutyCycles)
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
    def delivered(self) -> int:
        """Number of flows in progress that do not wait here."""
        return self.in_progress - len(self.waiting)

    def find_next_deadline(self) -> float | None:
        """Return when :meth:`expire` is due; ``None`` without a timer."""
        return None if self._check_at == float('inf') else self._check_at

    def describe_load(self, now: float) -> Load:
        """Return a load report with the next sequence number."""
        self._sequence += 1
        target = self.target
        cold = max(0.0, target.cold_until - now) if target else 0.0
        return Load(
            self._sequence,
            self.started,
            self.service,
            self.zone,
            self.find_state(now),
            self.slots,
            self.in_progress,
            round(self.service_ms, 1),
            int(cold * 1000),
            round(max(0.0, self.expected), 3),
            int(self.report_intervals.local * 1000),
            int(self.report_intervals.remote * 1000),
        )

    def find_state(self, now: float) -> TargetState:
        """Return the state of the target."""
        if self.target is None:
            return TargetState.UNKNOWN
        if self.target.leaving or self.stopping:
            return TargetState.LEAVING
        if now < self._down_until:
            return TargetState.DOWN
        return TargetState.READY

    def receive_announcement(
        self, target: TargetAnnouncement, now: float
    ) -> list[Action]:
        """Apply an announcement of the target.

        Delayed announcements, also those of an earlier start of the target,
        are dropped. An earlier start time is accepted once the known target
        has stopped announcing itself: the wall clock may have jumped back
        before a restart.
        """
        known = self.target
        if known is not None and self._is_superseded(target, known, now):
            return []
        self._announced_at = now
        restarted = known is not None and known.started != target.started
        if restarted:
            self._apply_restart()
        elif known is not None and known.leaving:
            target.leaving = True
        self.target = target
        same = known is not None and known.leaving == target.leaving
        return [] if same and not restarted else [self._log_target(target)]

    def deregister_target(self, name: str) -> list[Action]:
        """Mark the target as leaving when it deregisters itself."""
        if self.target is None or self.target.name != name:
            return []
        self.target.leaving = True
        return [self._log_target(self.target)]

    def receive_message(
        self, sender: Address, message: object, now: float
    ) -> list[Action]:
        """Handle a message of a balancer."""
        match message:
            case Offer():
                actions = handle_offer(self, sender, message, now)
            case ForwardedPacket():
                actions = handle_forwarded_packet(self, sender, message, now)
            case FindOwner():
                actions = handle_find_owner(self, sender, message, now)
            case WithdrawOffer():
                actions = handle_withdraw_offer(self, sender, message, now)
            case KeptFlows():
                actions = recover_flows(self, message, now)
            case _:
                self.counts['messages_unexpected'] += 1
                actions = []
        return actions + deliver_waiting(self, now)

    def leave_flows(
        self, own: Address, holders: tuple[Address, ...], now: float
    ) -> list[Action]:
        """Leave the open flows with balancers, before the agent stops.

        :param own: address of the agent
        :param holders: balancers that keep them until the agent is back
        """
        return leave_flows(self, own, holders, now)

    def receive_packet(self, packet: bytes, now: float) -> list[Action]:
        """Handle a packet that the target has sent or returned."""
        actions: list[Action]
        segment = self.segment_format.read_target(packet)
        if segment is None:
            self.counts['packets_malformed'] += 1
            return []
        self._unanswered_offers = 0
        self._down_until = float('-inf')
        if segment.returned:
            actions = handle_returned_packet(self, segment, now)
            return actions + deliver_waiting(self, now)
        flow = self.flows.get(segment.flow)
        if flow is None and segment.flow in self.declined:
            return withhold_accept(self, segment)
        if flow is None:
            flow = adopt_flow(self, segment.flow, None, now)
        actions = [forward_to_caller(self, segment, flow, now)]
        actions += record_answer(self, segment, flow, now)
        if segment.ends or segment.resets:
            actions += end_flow(self, segment.flow, flow, now)
        return actions + deliver_waiting(self, now)

    def expire(self, now: float) -> list[Action]:
        """Decline flows that have timed out and remove those that are over."""
        actions: list[Action] = []
        for key, flow in list(self.flows.items()):
            actions += self._expire_flow(key, flow, now)
        self._expire_notes(now)
        actions += deliver_waiting(self, now)
        self._check_at = float('inf')
        if any(map(is_opening, self.flows.values())):
            self.check_within(OPENING_CHECK_INTERVAL, now)
        elif self.flows or self.declined or self.gone:
            self.check_within(CHECK_INTERVAL, now)
        if self._down_until > now:
            self.check_within(self._down_until - now, now)
        return actions

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

    def record_unanswered(self, now: float) -> None:
        """Record that the target has not accepted a flow in time."""
        self._unanswered_offers += 1
        self.counts['offers_unanswered'] += 1
        if self._unanswered_offers >= UNANSWERED_OFFERS_MAX:
            self._down_until = now + DOWN_PAUSE

    def _is_superseded(
        self, target: TargetAnnouncement, known: TargetAnnouncement, now: float
    ) -> bool:
        if target.started == known.started:
            return target.sequence <= known.sequence
        timed_out = now - self._announced_at > TARGET_TIMEOUT
        return target.started < known.started and not timed_out

    def _log_target(self, target: TargetAnnouncement) -> Log:
        fields = {
            'target': target.name,
            'born': target.started,
            'leaving': target.leaving,
            'slots': target.slots,
        }
        return Log(TARGET_CHANGED, fields)

    def _expire_notes(self, now: float) -> None:
        """Forget flows that were declined or lost long ago."""
        for key, declined in list(self.declined.items()):
            if now - declined.declined_at > OPENING_TIMEOUT:
                del self.declined[key]
        for key, (gone_at, _) in list(self.gone.items()):
            if now - gone_at > self.flow_age_max:
                del self.gone[key]

    def _expire_flow(
        self, key: bytes, flow: AgentFlow, now: float
    ) -> list[Action]:
        age = now - flow.touched_at
        if flow.state is AgentFlowState.WAITING:
            return decline_expired(self, key, flow, now)
        if flow.state is AgentFlowState.DELIVERED and age > ACCEPT_TIMEOUT:
            return time_out_accept(self, key, flow, now)
        if flow.counted and is_abandoned(self, flow, age):
            flow.activity.abandon_request()
            become_idle(self, key, flow)
        if flow.expected and age > EXPECTED_IDLE_MAX:
            set_counted(self, flow, False)
        if age > find_lifetime(self, flow):
            drop_flow(self, key, flow)
        return []

    def _apply_restart(self) -> None:
        """Stop counting the flows that the target may have lost.

        The target's new start may have opened some of them before it announced
        itself. Its answer to the next packet of each flow tells.
        """
        accepted = (AgentFlowState.ACCEPTED, AgentFlowState.OPEN)
        for flow in self.flows.values():
            if flow.state in accepted:
                set_counted(self, flow, False)
        for declined in self.declined.values():
            declined.accept = None
        self._unanswered_offers = 0
        self._down_until = float('-inf')

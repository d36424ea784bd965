"""State machine of an agent: admits and forwards flows to its target."""

from __future__ import annotations

from collections import Counter
import enum
from typing import TYPE_CHECKING

import attrs

from ..events import FLOW_DECLINED
from ..events import FLOW_ENDED
from ..events import FLOW_OPENED
from ..events import TARGET_CHANGED
from .actions import DeliverToCaller
from .actions import DeliverToTarget
from .actions import Log
from .actions import Send
from .activity import DutyCycles
from .activity import FlowActivity
from .activity import REQUEST_TIMEOUT
from .activity import SEQUENCE_RANGE
from .messages import DeclineReason
from .messages import FindOwner
from .messages import ForwardedPacket
from .messages import LateAccept
from .messages import Load
from .messages import LoadReport
from .messages import Offer
from .messages import OfferAccepted
from .messages import OfferDeclined
from .messages import OwnerReply
from .messages import TargetState
from .messages import UnownedPacket
from .messages import WithdrawOffer
from .placement import estimate_wait
from .placement import ReportIntervals
from .placement import WAIT_MAX_MS
from .queueing import choose_last
from .queueing import choose_next
from .queueing import count_ahead
from .queueing import WaitingFlow
from .segments import describe_flow

if TYPE_CHECKING:
    from ..addresses import Address
    from .actions import Action
    from .segments import Segment
    from .segments import SegmentFormat

#: Time after which an opening packet that the target has not accepted times
#: out, in seconds. A target accepts in less than a millisecond, and the caller
#: retransmits after 0.2.
ACCEPT_TIMEOUT = 0.07

#: Interval at which the flows are checked while some are being opened, in
#: seconds: a third of the time that a target has to accept one.
OPENING_CHECK_INTERVAL = 0.025

#: The same while no flow is being opened, in seconds. All other timeouts take
#: seconds.
CHECK_INTERVAL = 0.5

#: Consecutive opening packets without an answer after which a target is
#: considered down.
UNANSWERED_OFFERS_MAX = 3

#: Time for which a target that is considered down gets no offers, in seconds.
DOWN_PAUSE = 1.0

#: Flows that are delivered to a target beyond its slots: one, so that its
#: handshake and request arrive while another flow is being answered. A target
#: queues few more and sheds the rest, whereas a flow that waits here can still
#: be opened elsewhere.
SPARE_FLOWS = 1

#: Share of the longest wait that the queue of an agent may need to drain. The
#: rest is for requests that take longer than the mean, so that admitted flows
#: are served and the others are refused at once.
QUEUE_SHARE = 0.75

#: Time without an announcement after which a target with an earlier start time
#: is accepted as the successor, in seconds: more than two announcements.
TARGET_TIMEOUT = 3.0

#: Time after which the caller of a flow that is being opened has given up, in
#: seconds: it does so after 1.4 without an acceptance.
OPENING_TIMEOUT = 1.6

#: Time after which an accepted flow whose caller has not completed the
#: handshake is removed, in seconds. The caller may have got the acceptance,
#: and sends its next packet again after 0.2, 0.6, 1.4 and 3.0 when it is lost.
HALF_OPEN_TIMEOUT = 4.0

#: Time by which a target must have started before the agent to have flows of
#: an earlier agent, in milliseconds: when both start together, as after a loss
#: of power, the agent is ready up to this much later.
START_GAP_MS = 600

#: Multiple of the mean handshake time after which a half-open flow no longer
#: counts as in progress: its caller is probably gone, and the target runs
#: nothing for it.
HANDSHAKE_MULTIPLE = 3.0

#: Mean handshake time before the first measurement, in seconds: the round
#: trip to callers through two zones.
INITIAL_HANDSHAKE_TIME = 0.01

#: Time for which a closed flow is kept, in seconds, for packets that its ends
#: retransmit.
ENDED_TIMEOUT = 5.0

#: Weight of a new measurement in an exponential moving average.
MEAN_WEIGHT = 0.1

#: Mean service time of a request before the first measurement, in
#: milliseconds.
INITIAL_SERVICE_MS = 50.0


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
    :param expected: share of a slot that its later requests are expected to
        occupy, while it is open and does not count as in progress
    :param activity: progress of its requests
    """

    state: AgentFlowState
    balancer: Address | None
    began_at: float
    touched_at: float
    accepted_at: float = 0.0
    sequence: int = 0
    opening: bytes = b''
    counted: bool = True
    expected: float = 0.0
    activity: FlowActivity = attrs.field(factory=FlowActivity)


@attrs.define
class DeclinedFlow:
    """A flow that was declined after its opening packet was delivered.

    :param balancer: balancer that had offered it
    :param declined_at: when it was declined
    :param accept: the target's late acceptance, which the caller has not been
        sent
    """

    balancer: Address
    declined_at: float
    accept: Segment | None = None


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
    :param stopping: whether the agent is shutting down
    :param counts: counters of packets and decisions by name
    :param service_ms: mean time for which a request occupies a slot
    :param expected: mean number of requests that the open flows which do not
        count as in progress are expected to have in progress
    :param report_intervals: times between two regular load reports
    :param duty_cycles: duty cycles of the flows by route
    :param handshake_time: mean time from a target's acceptance to the caller's
        next packet, in seconds
    :param idle_timeout: time after which an idle flow is removed, in seconds
    :param flow_age_max: longest duration of a flow, in seconds
    """

    service: str
    zone: str
    segment_format: SegmentFormat
    started: int
    started_at: float
    idle_timeout: float = 15.0
    flow_age_max: float = 60.0
    target: TargetAnnouncement | None = None
    flows: dict[bytes, AgentFlow] = attrs.field(factory=dict)
    in_progress: int = 0
    waiting: dict[bytes, WaitingFlow] = attrs.field(factory=dict)
    declined: dict[bytes, DeclinedFlow] = attrs.field(factory=dict)
    stopping: bool = False
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
            target.slots if target else 0,
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
            self._forget_flows()
        elif known is not None and known.leaving:
            target.leaving = True
        self.target = target
        same = known is not None and known.leaving == target.leaving
        return [] if same and not restarted else [self._log_target(target)]

    def _is_superseded(
        self, target: TargetAnnouncement, known: TargetAnnouncement, now: float
    ) -> bool:
        if target.started == known.started:
            return target.sequence <= known.sequence
        timed_out = now - self._announced_at > TARGET_TIMEOUT
        return target.started < known.started and not timed_out

    def deregister_target(self, name: str) -> list[Action]:
        """Mark the target as leaving when it deregisters itself."""
        if self.target is None or self.target.name != name:
            return []
        self.target.leaving = True
        return [self._log_target(self.target)]

    def _log_target(self, target: TargetAnnouncement) -> Log:
        fields = {
            'target': target.name,
            'born': target.started,
            'leaving': target.leaving,
            'slots': target.slots,
        }
        return Log(TARGET_CHANGED, fields)

    def receive_message(
        self, sender: Address, message: object, now: float
    ) -> list[Action]:
        """Handle a message of a balancer."""
        match message:
            case Offer():
                actions = self._handle_offer(sender, message, now)
            case ForwardedPacket():
                actions = self._handle_forwarded_packet(sender, message, now)
            case FindOwner():
                actions = self._handle_find_owner(sender, message, now)
            case WithdrawOffer():
                actions = self._handle_withdraw_offer(sender, message, now)
            case _:
                self.counts['messages_unexpected'] += 1
                actions = []
        return actions + self._deliver_waiting(now)

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
            actions = self._handle_returned_packet(segment, now)
            return actions + self._deliver_waiting(now)
        flow = self.flows.get(segment.flow)
        if flow is None and segment.flow in self.declined:
            return self._withhold_accept(segment)
        if flow is None:
            flow = self._adopt(segment.flow, None, now)
        actions = [self._forward_to_caller(segment, flow, now)]
        actions += self._record_answer(segment, flow, now)
        if segment.ends or segment.resets:
            actions += self._end(segment.flow, flow, now)
        return actions + self._deliver_waiting(now)

    def _forward_to_caller(
        self, segment: Segment, flow: AgentFlow, now: float
    ) -> DeliverToCaller:
        flow.touched_at = now
        if segment.accepts and flow.state is AgentFlowState.DELIVERED:
            flow.state = AgentFlowState.ACCEPTED
            flow.accepted_at = now
            flow.sequence = segment.sequence
        self.counts['packets_to_callers'] += 1
        return DeliverToCaller(segment.flow, segment.raw)

    def _record_answer(
        self, segment: Segment, flow: AgentFlow, now: float
    ) -> list[Action]:
        """Free the slot of a request whose answer begins."""
        elapsed = flow.activity.record_target_data(segment, now)
        if elapsed is None:
            return []
        self.duty_cycles.record_busy(segment.flow, elapsed)
        alone_ms = elapsed * 1000 / flow.activity.shared_by
        self.service_ms += (alone_ms - self.service_ms) * MEAN_WEIGHT
        if flow.state is AgentFlowState.ENDED:
            return []
        self._become_idle(segment.flow, flow)
        return self._report_free_slot(flow, now)

    def _record_request(
        self, segment: Segment, flow: AgentFlow, now: float
    ) -> None:
        """Occupy a slot for a request that begins."""
        activity = flow.activity
        if not activity.record_caller_data(segment, now):
            return
        if activity.idle_since is not None:
            pause = now - activity.idle_since
            self.duty_cycles.record_idle(segment.flow, pause)
        self._set_counted(flow, True)
        slots = max(1, self.target.slots if self.target else 1)
        delivered = self.in_progress - len(self.waiting)
        activity.shared_by = max(1.0, delivered / slots)

    def expire(self, now: float) -> list[Action]:
        """Decline flows that have timed out and remove those that are over."""
        actions: list[Action] = []
        for key, flow in list(self.flows.items()):
            actions += self._expire_flow(key, flow, now)
        over = now - OPENING_TIMEOUT
        for key, declined in list(self.declined.items()):
            if declined.declined_at < over:
                del self.declined[key]
        actions += self._deliver_waiting(now)
        self._check_at = float('inf')
        if any(map(_is_opening, self.flows.values())):
            self._check_within(OPENING_CHECK_INTERVAL, now)
        elif self.flows or self.declined:
            self._check_within(CHECK_INTERVAL, now)
        if self._down_until > now:
            self._check_within(self._down_until - now, now)
        return actions

    def _check_within(self, seconds: float, now: float) -> None:
        """Let the next check of the flows begin in a time at the latest."""
        self._check_at = min(self._check_at, now + seconds)

    def _expire_flow(
        self, key: bytes, flow: AgentFlow, now: float
    ) -> list[Action]:
        age = now - flow.touched_at
        if flow.state is AgentFlowState.WAITING:
            return self._decline_expired(key, flow, now)
        if flow.state is AgentFlowState.DELIVERED and age > ACCEPT_TIMEOUT:
            return self._time_out_accept(key, flow, now)
        if flow.counted and self._is_abandoned(flow, age):
            flow.activity.abandon_request()
            self._become_idle(key, flow)
        if age > self._find_lifetime(flow):
            self._drop(key, flow)
        return []

    def _is_abandoned(self, flow: AgentFlow, age: float) -> bool:
        """Tell whether a flow in progress no longer occupies a slot.

        Its caller has not completed the handshake, has sent no request after
        it, or has left without closing the flow.
        """
        if flow.activity.busy_since is not None:
            return age > REQUEST_TIMEOUT
        pending = (AgentFlowState.ACCEPTED, AgentFlowState.OPEN)
        abandoned_after = self.handshake_time * HANDSHAKE_MULTIPLE
        return flow.state in pending and age > abandoned_after

    def _set_counted(self, flow: AgentFlow, counted: bool) -> None:
        """Set whether a flow counts as in progress."""
        self.expected -= flow.expected
        flow.expected = 0.0
        if flow.counted != counted:
            flow.counted = counted
            self.in_progress += 1 if counted else -1

    def _become_idle(self, key: bytes, flow: AgentFlow) -> None:
        """Count the later requests of an open flow instead of the flow."""
        self._set_counted(flow, False)
        if flow.state is AgentFlowState.OPEN:
            flow.expected = self.duty_cycles.find_duty(key)
            self.expected += flow.expected

    def _deliver_waiting(self, now: float) -> list[Action]:
        """Deliver waiting flows while the target has capacity.

        A target that got a burst of new flows at once would shed those beyond
        its own short queue.
        """
        actions: list[Action] = []
        while self.waiting and self._has_capacity():
            chosen = choose_next(self.waiting.values(), now)
            assert chosen is not None
            flow = self.flows[chosen.key]
            ended = self._decline_expired(chosen.key, flow, now)
            if ended:
                actions += ended
                continue
            del self.waiting[chosen.key]
            flow.state = AgentFlowState.DELIVERED
            flow.touched_at = now
            actions.append(DeliverToTarget(flow.opening))
            flow.opening = b''
        return actions

    def _decline_expired(
        self, key: bytes, flow: AgentFlow, now: float
    ) -> list[Action]:
        """Decline a waiting flow that the target can't serve any more."""
        if self.find_state(now) is not TargetState.READY:
            return self._drop_and_decline(
                key, flow, DeclineReason.NOT_READY, now
            )
        if now > self.waiting[key].expires_at:
            return self._drop_and_decline(
                key, flow, DeclineReason.OVERLOADED, now
            )
        return []

    def _drop_and_decline(
        self, key: bytes, flow: AgentFlow, reason: DeclineReason, now: float
    ) -> list[Action]:
        self._drop(key, flow)
        assert flow.balancer is not None
        return self._decline(flow.balancer, key, reason, now)

    def _has_capacity(self) -> bool:
        slots = self.target.slots if self.target else 0
        return self.in_progress - len(self.waiting) < slots + SPARE_FLOWS

    def _find_lifetime(self, flow: AgentFlow) -> float:
        if flow.state is AgentFlowState.ACCEPTED:
            return HALF_OPEN_TIMEOUT
        if flow.state is AgentFlowState.ENDED:
            return ENDED_TIMEOUT
        return self.idle_timeout

    def _forget_flows(self) -> None:
        """Remove all flows when the target has restarted."""
        self.flows.clear()
        self.waiting.clear()
        self.declined.clear()
        self.in_progress = 0
        self.expected = 0.0
        self._unanswered_offers = 0
        self._down_until = float('-inf')

    def _may_own_earlier_flows(self, now: float) -> bool:
        """Tell whether the target may have flows that the agent doesn't know.

        These were opened before the agent's start.
        """
        if now - self.started_at > self.flow_age_max:
            return False
        return (
            self.target is None
            or self.target.started < self.started - START_GAP_MS
        )

    def _handle_offer(
        self, sender: Address, offer: Offer, now: float
    ) -> list[Action]:
        segment = self.segment_format.read_caller(offer.packet)
        if segment is None or not segment.opens:
            self.counts['packets_malformed'] += 1
            return []
        known = self.flows.get(segment.flow)
        if known is not None and known.state is not AgentFlowState.ENDED:
            known.balancer = sender
            return self._forward_retransmission(segment, known, now)
        candidate = WaitingFlow(
            segment.flow,
            offer.priority,
            now,
            now + (offer.prompt_ms - self.service_ms) / 1000,
            now + offer.budget_ms / 1000,
        )
        reason = self._find_decline_reason(offer, candidate, now)
        if reason is not None:
            return self._decline(sender, segment.flow, reason, now)
        if known is not None:
            self._drop(segment.flow, known)
        flow = AgentFlow(
            AgentFlowState.WAITING, sender, now, now, opening=segment.raw
        )
        self.flows[segment.flow] = flow
        self.in_progress += 1
        self._check_within(OPENING_CHECK_INTERVAL, now)
        declined = self.declined.pop(segment.flow, None)
        if declined is not None and declined.accept is not None:
            return self._forward_late_accept(
                declined.accept, flow, sender, now
            )
        self.waiting[segment.flow] = candidate
        self.counts['flows_offered'] += 1
        load = self.describe_load(now)
        accepted = Send(sender, OfferAccepted(segment.flow, load))
        return [accepted, *self._shed_excess(load, now)]

    def _forward_late_accept(
        self, accept: Segment, flow: AgentFlow, sender: Address, now: float
    ) -> list[Action]:
        """Open a newly offered flow that the target has already accepted."""
        flow.state = AgentFlowState.DELIVERED
        accepted = OfferAccepted(accept.flow, self.describe_load(now))
        return [
            Send(sender, accepted),
            self._forward_to_caller(accept, flow, now),
        ]

    def _handle_withdraw_offer(
        self, sender: Address, message: WithdrawOffer, now: float
    ) -> list[Action]:
        key = message.flow
        flow = self.flows.get(key)
        pending = (AgentFlowState.WAITING, AgentFlowState.DELIVERED)
        if flow is not None and flow.state not in pending:
            return [Send(sender, OfferAccepted(key, self.describe_load(now)))]
        # Another balancer may have offered the flow since; its offer stands.
        if flow is not None and flow.balancer == sender:
            if flow.state is AgentFlowState.DELIVERED:
                self.declined[key] = DeclinedFlow(sender, now)
            self._drop(key, flow)
        return self._decline(sender, key, DeclineReason.WITHDRAWN, now)

    def _withhold_accept(self, segment: Segment) -> list[Action]:
        """Withhold a late acceptance from the caller and report it."""
        declined = self.declined[segment.flow]
        if not segment.accepts:
            return []
        self.counts['accepts_kept_back'] += 1
        declined.accept = segment
        return [Send(declined.balancer, LateAccept(segment.flow))]

    def _shed_excess(self, load: Load, now: float) -> list[Action]:
        """Decline one waiting flow when the queue can't be served in time."""
        drain_ms = estimate_wait(load, load.flows)
        if drain_ms <= WAIT_MAX_MS * QUEUE_SHARE:
            return []
        last = choose_last(self.waiting.values(), now)
        if last is None:
            return []
        flow = self.flows[last.key]
        return self._drop_and_decline(
            last.key, flow, DeclineReason.OVERLOADED, now
        )

    def _forward_retransmission(
        self, segment: Segment, flow: AgentFlow, now: float
    ) -> list[Action]:
        """Deliver an opening packet that the caller has retransmitted."""
        assert flow.balancer is not None
        accepted = Send(
            flow.balancer, OfferAccepted(segment.flow, self.describe_load(now))
        )
        if flow.state is AgentFlowState.WAITING:
            return [accepted]
        return [DeliverToTarget(segment.raw), accepted]

    def _find_decline_reason(
        self, offer: Offer, candidate: WaitingFlow, now: float
    ) -> DeclineReason | None:
        if offer.service != self.service:
            return DeclineReason.WRONG_SERVICE
        if self.find_state(now) is not TargetState.READY:
            return DeclineReason.NOT_READY
        ahead = self.in_progress - len(self.waiting)
        ahead += count_ahead(self.waiting.values(), candidate, now)
        wait = estimate_wait(self.describe_load(now), ahead)
        if wait > offer.budget_ms:
            return DeclineReason.OVERLOADED
        if wait > offer.patience_ms:
            return DeclineReason.BUSY
        return None

    def _decline(
        self, balancer: Address, flow: bytes, reason: DeclineReason, now: float
    ) -> list[Action]:
        self.counts['flows_declined'] += 1
        fields = {
            'flow': describe_flow(flow),
            'reason': reason.value,
            'flows': self.in_progress,
            'slots': self.target.slots if self.target else 0,
        }
        declined = OfferDeclined(flow, reason, self.describe_load(now))
        return [Log(FLOW_DECLINED, fields), Send(balancer, declined)]

    def _handle_forwarded_packet(
        self, sender: Address, message: ForwardedPacket, now: float
    ) -> list[Action]:
        segment = self.segment_format.read_caller(message.packet)
        if segment is None:
            self.counts['packets_malformed'] += 1
            return []
        flow = self.flows.get(segment.flow)
        if message.service != self.service:
            flow = None
        elif (
            flow is None
            and not segment.opens
            and self._may_own_earlier_flows(now)
        ):
            flow = self._adopt(segment.flow, sender, now)
        elif (
            flow is not None
            and not segment.opens
            and _is_open_elsewhere(flow, segment.acknowledged)
        ):
            self._drop(segment.flow, flow)
            flow = None
        if flow is None:
            return self._return_unowned(sender, segment, now)
        return self._forward_packet(sender, segment, flow, now)

    def _forward_packet(
        self, sender: Address, segment: Segment, flow: AgentFlow, now: float
    ) -> list[Action]:
        flow.balancer = sender
        if flow.state is AgentFlowState.WAITING:
            return []
        actions: list[Action] = [DeliverToTarget(segment.raw)]
        if segment.opens:
            return actions
        flow.touched_at = now
        if flow.state is AgentFlowState.ACCEPTED:
            elapsed = min(now - flow.accepted_at, OPENING_TIMEOUT)
            self.handshake_time += (
                elapsed - self.handshake_time
            ) * MEAN_WEIGHT
            self._set_counted(flow, True)
            self._check_within(OPENING_CHECK_INTERVAL, now)
            flow.state = AgentFlowState.OPEN
            opening_ms = round((now - flow.began_at) * 1000, 1)
            fields = {
                'flow': describe_flow(segment.flow),
                'opening_ms': opening_ms,
                'flows': self.in_progress,
            }
            actions.append(Log(FLOW_OPENED, fields))
        if flow.state is AgentFlowState.OPEN:
            self._record_request(segment, flow, now)
        if segment.ends or segment.resets:
            actions += self._end(segment.flow, flow, now)
        return actions

    def _return_unowned(
        self, sender: Address, segment: Segment, now: float
    ) -> list[Action]:
        self.counts['packets_sent_back'] += 1
        if segment.opens:
            reason = DeclineReason.NOT_READY
            return self._decline(sender, segment.flow, reason, now)
        return [Send(sender, UnownedPacket(segment.flow, segment.raw))]

    def _handle_find_owner(
        self, sender: Address, message: FindOwner, now: float
    ) -> list[Action]:
        if message.service != self.service:
            return []
        flow = self.flows.get(message.flow)
        if flow is None:
            if not self._may_own_earlier_flows(now):
                return []
            return [Send(sender, OwnerReply(message.flow, False))]
        if _is_open_elsewhere(flow, message.acknowledged):
            return []
        return [Send(sender, OwnerReply(message.flow, True))]

    def _adopt(
        self, key: bytes, balancer: Address | None, now: float
    ) -> AgentFlow:
        """Add a flow that the target may have opened before this start."""
        flow = AgentFlow(
            AgentFlowState.OPEN, balancer, now, now, counted=False
        )
        self.flows[key] = flow
        self._become_idle(key, flow)
        self._check_within(CHECK_INTERVAL, now)
        self.counts['flows_adopted'] += 1
        return flow

    def _handle_returned_packet(
        self, segment: Segment, now: float
    ) -> list[Action]:
        """Return to the balancer a packet that the target has returned."""
        self.counts['packets_given_back'] += 1
        flow = self.flows.get(segment.flow)
        if flow is None:
            return []
        balancer = flow.balancer
        self._drop(segment.flow, flow)
        if balancer is None:
            return []
        if segment.opens:
            reason = DeclineReason.RETURNED
            return self._decline(balancer, segment.flow, reason, now)
        packet = self.segment_format.restore(segment.raw)
        return [Send(balancer, UnownedPacket(segment.flow, packet))]

    def _time_out_accept(
        self, key: bytes, flow: AgentFlow, now: float
    ) -> list[Action]:
        self._unanswered_offers += 1
        self.counts['offers_unanswered'] += 1
        if self._unanswered_offers >= UNANSWERED_OFFERS_MAX:
            self._down_until = now + DOWN_PAUSE
        assert flow.balancer is not None
        self.declined[key] = DeclinedFlow(flow.balancer, now)
        return self._drop_and_decline(key, flow, DeclineReason.UNANSWERED, now)

    def _end(self, key: bytes, flow: AgentFlow, now: float) -> list[Action]:
        if flow.state is AgentFlowState.ENDED:
            return []
        occupied = flow.counted
        self._set_counted(flow, False)
        flow.state = AgentFlowState.ENDED
        activity = flow.activity
        if activity.busy_since is None and activity.idle_since is not None:
            self.duty_cycles.record_idle(key, now - activity.idle_since)
        fields = {
            'flow': describe_flow(key),
            'requests': activity.requests,
            'served_ms': round(activity.busy * 1000, 1),
            'unanswered': activity.busy_since is not None,
            'age_ms': round((now - flow.began_at) * 1000, 1),
            'flows': self.in_progress,
        }
        log = Log(FLOW_ENDED, fields)
        return [log, *(self._report_free_slot(flow, now) if occupied else ())]

    def _report_free_slot(self, flow: AgentFlow, now: float) -> list[Action]:
        """Report the load to the balancer of a flow that has freed a slot.

        At a load peak, a free slot is filled sooner than the next regular
        report is due. Without this report, balancers would overload one target
        while slots of others stay unused.
        """
        if flow.balancer is None:
            return []
        return [Send(flow.balancer, LoadReport(self.describe_load(now)))]

    def _drop(self, key: bytes, flow: AgentFlow) -> None:
        del self.flows[key]
        self._set_counted(flow, False)
        self.waiting.pop(key, None)


def _is_opening(flow: AgentFlow) -> bool:
    """Tell whether a flow is in a state with a timeout below a second.

    It waits for its target's acceptance, or counts as in progress before its
    first request.
    """
    if flow.state in (AgentFlowState.WAITING, AgentFlowState.DELIVERED):
        return True
    return flow.counted and flow.activity.busy_since is None


def _is_open_elsewhere(flow: AgentFlow, acknowledged: int) -> bool:
    """Tell whether a caller has opened a flow at another target.

    :param flow: the flow as this agent knows it
    :param acknowledged: acknowledgement number of a packet of the caller other
        than the opening one
    """
    if flow.state in (AgentFlowState.WAITING, AgentFlowState.DELIVERED):
        return True
    # The first packet after the opening one acknowledges the number after it.
    ahead = (acknowledged - flow.sequence) % SEQUENCE_RANGE
    return flow.state is AgentFlowState.ACCEPTED and ahead != 1

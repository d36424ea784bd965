"""Decisions of an agent: what its target receives."""

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

#: Wait for a target to accept a flow, in seconds; it does so in less than a
#: millisecond, and the caller repeats after 0.2.
ACCEPT_TIMEOUT = 0.07

#: Offers in a row without an answer after which a target counts as down.
SILENT_OFFERS = 3

#: Time for which a target that counts as down gets no offers, in seconds.
DOWN_PAUSE = 1.0

#: Flows that a target is given beyond its slots: one whose handshake and
#: request come while another is answered. A target queues few more and sheds
#: the rest, and what waits here can still be opened elsewhere.
SPARE_FLOWS = 1

#: Share of the longest wait that the flows at an agent may take in all; the
#: rest is for work that takes longer than the mean, so that what is let in is
#: served, and what is not is refused at once.
QUEUE_SHARE = 0.75

#: Silence of a target after which one that seems to have started earlier is
#: taken for its successor, in seconds: more than two of its reports.
TARGET_SILENCE = 3.0

#: Life of a flow that a caller does not go on opening, in seconds; a caller
#: gives up after 1.4.
OPENING_TIMEOUT = 1.6

#: Multiple of the mean time in which callers go on opening a flow, after which
#: a caller counts as gone: a flow that is not gone on with runs nothing.
HANDSHAKE_MULTIPLE = 3.0

#: Mean time in which callers go on opening a flow before the first one was
#: measured, in seconds: the ways to callers and back over two zones.
HANDSHAKE = 0.01

#: Time for which a flow that has ended is still known, in seconds, for the
#: packets that its ends send again.
ENDED_TIMEOUT = 5.0

#: Part of a new measurement in a mean time.
SERVICE_TIME_GAIN = 0.1

#: Mean time of a flow before the first one was measured, in milliseconds.
SERVICE_MS = 50.0

#: Largest number of a sequence, and 1.
SEQUENCE_RANGE = 1 << 32


class FlowState(enum.Enum):
    """How far a flow has come at the target."""

    #: Its opening packet waits at the agent.
    WAITING = 'waiting'
    #: The target has the opening packet.
    OFFERED = 'offered'
    #: The target has accepted it.
    ACCEPTED = 'accepted'
    #: The caller has gone on.
    OPEN = 'open'
    #: An end has said that it sends nothing more.
    ENDED = 'ended'


@attrs.define
class AgentFlow:
    """A flow at the target.

    :param state: how far it has come
    :param balancer: who sent its last packet
    :param began_at: when its opening packet came
    :param touched_at: when its last packet went by, either way
    :param accepted_at: when the target accepted it
    :param sequence: number with which the target accepted it
    :param served_at: when the caller's first data came
    :param opening: its opening packet, as long as it waits
    :param counted: whether it counts as in progress
    :param shared_by: flows for each slot when its request came, at least 1
    """

    state: FlowState
    balancer: Address | None
    began_at: float
    touched_at: float
    accepted_at: float = 0.0
    sequence: int = 0
    served_at: float | None = None
    opening: bytes = b''
    counted: bool = True
    shared_by: float = 1.0


@attrs.define
class DeclinedFlow:
    """A flow that was declined, whose opening packet the target has.

    :param balancer: who has offered it
    :param declined_at: when it was declined
    :param accept: the target's packet that accepts it, kept from the caller
    """

    balancer: Address
    declined_at: float
    accept: Segment | None = None


@attrs.define
class TargetView:
    """What a target says of itself.

    :param name: its name
    :param born: its start, in milliseconds of the time of day
    :param sequence: number of its newest announcement since its start
    :param slots: requests that it runs at once
    :param leaving: whether it wants no new flows
    :param cold_until: until when it is slow after its start
    """

    name: str
    born: int
    sequence: int
    slots: int
    leaving: bool
    cold_until: float


@attrs.define
class Agent:
    """State of an agent for a target of a pass-through service.

    :param service: name of the target's service
    :param zone: availability zone
    :param form: form of the packets
    :param started: start of the agent, in milliseconds of the time of day
    :param started_at: the same on the clock of the calls
    :param target: what the target says of itself
    :param flows: flows at the target, and those that wait for it
    :param busy: how many of them have not ended
    :param waiting: those that wait
    :param declined: flows that were declined although the target has their
        opening packet, and when; it must not open them unasked
    :param stopping: whether the process is going away
    :param counts: packets and decisions by name
    :param service_ms: mean time that a flow occupies a slot
    :param handshake: mean time in which callers go on opening, in seconds
    :param idle_timeout: after which an idle flow is forgotten, in seconds
    :param flow_age_max: longest life of a flow, in seconds
    """

    service: str
    zone: str
    segment_format: SegmentFormat
    started: int
    started_at: float
    idle_timeout: float = 15.0
    flow_age_max: float = 60.0
    target: TargetView | None = None
    flows: dict[bytes, AgentFlow] = attrs.field(factory=dict)
    busy: int = 0
    waiting: dict[bytes, WaitingFlow] = attrs.field(factory=dict)
    declined: dict[bytes, DeclinedFlow] = attrs.field(factory=dict)
    stopping: bool = False
    counts: Counter[str] = attrs.field(factory=Counter)
    service_ms: float = SERVICE_MS
    handshake: float = HANDSHAKE
    _sequence: int = 0
    _announced_at: float = float('-inf')
    _silent_offers: int = 0
    _down_until: float = float('-inf')

    def describe_load(self, now: float) -> Load:
        """Return what balancers should know, numbered anew."""
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
            self.busy,
            round(self.service_ms, 1),
            int(cold * 1000),
        )

    def find_state(self, now: float) -> TargetState:
        """Return whether the target takes new flows."""
        if self.target is None:
            return TargetState.UNKNOWN
        if self.target.leaving or self.stopping:
            return TargetState.LEAVING
        if now < self._down_until:
            return TargetState.DOWN
        return TargetState.READY

    def announce_target(self, target: TargetView, now: float) -> list[Action]:
        """Take what the target says of itself.

        What an earlier start of it says late, or it says late itself, is
        dropped. A start that seems earlier is taken when the known one says
        nothing any more: the time of day may have jumped back.
        """
        known = self.target
        if known is not None and self._is_outdated(target, known, now):
            return []
        self._announced_at = now
        restarted = known is not None and known.born != target.born
        if restarted:
            self._start_anew()
        elif known is not None and known.leaving:
            target.leaving = True
        self.target = target
        same = known is not None and known.leaving == target.leaving
        return [] if same and not restarted else [self._log_target(target)]

    def _is_outdated(
        self, target: TargetView, known: TargetView, now: float
    ) -> bool:
        if target.born == known.born:
            return target.sequence <= known.sequence
        silent = now - self._announced_at > TARGET_SILENCE
        return target.born < known.born and not silent

    def withdraw_target(self, name: str) -> list[Action]:
        """Take that the target is going away."""
        if self.target is None or self.target.name != name:
            return []
        self.target.leaving = True
        return [self._log_target(self.target)]

    def _log_target(self, target: TargetView) -> Log:
        fields = {
            'target': target.name,
            'born': target.born,
            'leaving': target.leaving,
            'slots': target.slots,
        }
        return Log(TARGET_CHANGED, fields)

    def receive_message(
        self, sender: Address, message: object, now: float
    ) -> list[Action]:
        """Take what a balancer sends."""
        match message:
            case Offer():
                actions = self._take_offer(sender, message, now)
            case ForwardedPacket():
                actions = self._take_carry(sender, message, now)
            case FindOwner():
                actions = self._take_find(sender, message, now)
            case WithdrawOffer():
                actions = self._take_withdraw(sender, message, now)
            case _:
                self.counts['messages_unexpected'] += 1
                actions = []
        return actions + self._serve_waiting(now)

    def receive_packet(self, packet: bytes, now: float) -> list[Action]:
        """Take what the target sends or gives back."""
        actions: list[Action]
        segment = self.segment_format.read_target(packet)
        if segment is None:
            self.counts['packets_malformed'] += 1
            return []
        self._silent_offers = 0
        self._down_until = float('-inf')
        if segment.returned:
            actions = self._take_returned(segment, now)
            return actions + self._serve_waiting(now)
        flow = self.flows.get(segment.flow)
        if flow is None and segment.flow in self.declined:
            return self._keep_back(segment)
        if flow is None:
            flow = self._adopt(segment.flow, None, now)
        actions = [self._answer_caller(segment, flow, now)]
        if segment.ends or segment.resets:
            actions += self._end(segment.flow, flow, now)
        return actions + self._serve_waiting(now)

    def _answer_caller(
        self, segment: Segment, flow: AgentFlow, now: float
    ) -> DeliverToCaller:
        flow.touched_at = now
        if segment.accepts and flow.state is FlowState.OFFERED:
            flow.state = FlowState.ACCEPTED
            flow.accepted_at = now
            flow.sequence = segment.sequence
        self.counts['packets_to_callers'] += 1
        return DeliverToCaller(segment.flow, segment.raw)

    def expire(self, now: float) -> list[Action]:
        """Give back what the target does not answer; forget what is over."""
        actions: list[Action] = []
        for key, flow in list(self.flows.items()):
            actions += self._expire_flow(key, flow, now)
        over = now - OPENING_TIMEOUT
        for key, declined in list(self.declined.items()):
            if declined.declined_at < over:
                del self.declined[key]
        return actions + self._serve_waiting(now)

    def _expire_flow(
        self, key: bytes, flow: AgentFlow, now: float
    ) -> list[Action]:
        age = now - flow.touched_at
        if flow.state is FlowState.WAITING:
            return self._end_wait(key, flow, now)
        if flow.state is FlowState.OFFERED and age > ACCEPT_TIMEOUT:
            return self._give_up(key, flow, now)
        gone_after = self.handshake * HANDSHAKE_MULTIPLE
        if flow.state is FlowState.ACCEPTED and age > gone_after:
            self._count(flow, False)
        if age > self._find_life(flow):
            self._drop(key, flow)
        return []

    def _count(self, flow: AgentFlow, counted: bool) -> None:
        """Let a flow count as in progress, or not."""
        if flow.counted != counted:
            flow.counted = counted
            self.busy += 1 if counted else -1

    def _serve_waiting(self, now: float) -> list[Action]:
        """Hand in what waits as far as the target has room.

        Answers the load of more new flows at once than targets queue.
        """
        actions: list[Action] = []
        while self.waiting and self._has_room():
            chosen = choose_next(self.waiting.values(), now)
            assert chosen is not None
            flow = self.flows[chosen.key]
            ended = self._end_wait(chosen.key, flow, now)
            if ended:
                actions += ended
                continue
            del self.waiting[chosen.key]
            flow.state = FlowState.OFFERED
            flow.touched_at = now
            actions.append(DeliverToTarget(flow.opening))
            flow.opening = b''
        return actions

    def _end_wait(
        self, key: bytes, flow: AgentFlow, now: float
    ) -> list[Action]:
        """Give a flow back that waits in vain."""
        if self.find_state(now) is not TargetState.READY:
            return self._give_back(key, flow, DeclineReason.NOT_READY, now)
        if now > self.waiting[key].expires_at:
            return self._give_back(key, flow, DeclineReason.OVERLOADED, now)
        return []

    def _give_back(
        self, key: bytes, flow: AgentFlow, reason: DeclineReason, now: float
    ) -> list[Action]:
        self._drop(key, flow)
        assert flow.balancer is not None
        return self._decline(flow.balancer, key, reason, now)

    def _has_room(self) -> bool:
        slots = self.target.slots if self.target else 0
        return self.busy - len(self.waiting) < slots + SPARE_FLOWS

    def _find_life(self, flow: AgentFlow) -> float:
        if flow.state is FlowState.ACCEPTED:
            return OPENING_TIMEOUT
        if flow.state is FlowState.ENDED:
            return ENDED_TIMEOUT
        return self.idle_timeout

    def _start_anew(self) -> None:
        """Forget the flows of the target's former start."""
        self.flows.clear()
        self.waiting.clear()
        self.declined.clear()
        self.busy = 0
        self._silent_offers = 0
        self._down_until = float('-inf')

    def _is_uncertain(self, now: float) -> bool:
        """Tell whether the target may hold flows from before the start."""
        if now - self.started_at > self.flow_age_max:
            return False
        return self.target is None or self.target.born < self.started

    def _take_offer(
        self, sender: Address, offer: Offer, now: float
    ) -> list[Action]:
        segment = self.segment_format.read_caller(offer.packet)
        if segment is None or not segment.opens:
            self.counts['packets_malformed'] += 1
            return []
        known = self.flows.get(segment.flow)
        if known is not None and known.state is not FlowState.ENDED:
            known.balancer = sender
            return self._pass_on(segment, known, now)
        candidate = WaitingFlow(
            segment.flow,
            offer.priority,
            now,
            now + (offer.prompt_ms - self.service_ms) / 1000,
            now + offer.budget_ms / 1000,
        )
        reason = self._find_objection(offer, candidate, now)
        if reason is not None:
            return self._decline(sender, segment.flow, reason, now)
        if known is not None:
            self._drop(segment.flow, known)
        flow = AgentFlow(
            FlowState.WAITING, sender, now, now, opening=segment.raw
        )
        self.flows[segment.flow] = flow
        self.busy += 1
        declined = self.declined.pop(segment.flow, None)
        if declined is not None and declined.accept is not None:
            return self._open_late(declined.accept, flow, sender, now)
        self.waiting[segment.flow] = candidate
        self.counts['flows_offered'] += 1
        load = self.describe_load(now)
        taken = Send(sender, OfferAccepted(segment.flow, load))
        return [taken, *self._make_room(load, now)]

    def _open_late(
        self, accept: Segment, flow: AgentFlow, sender: Address, now: float
    ) -> list[Action]:
        """Open a flow that the target has accepted meanwhile."""
        flow.state = FlowState.OFFERED
        taken = OfferAccepted(accept.flow, self.describe_load(now))
        return [Send(sender, taken), self._answer_caller(accept, flow, now)]

    def _take_withdraw(
        self, sender: Address, withdraw: WithdrawOffer, now: float
    ) -> list[Action]:
        key = withdraw.flow
        flow = self.flows.get(key)
        pending = (FlowState.WAITING, FlowState.OFFERED)
        if flow is not None and flow.state not in pending:
            return [Send(sender, OfferAccepted(key, self.describe_load(now)))]
        # A flow that another balancer has offered since is that one's.
        if flow is not None and flow.balancer == sender:
            if flow.state is FlowState.OFFERED:
                self.declined[key] = DeclinedFlow(sender, now)
            self._drop(key, flow)
        return self._decline(sender, key, DeclineReason.WITHDRAWN, now)

    def _keep_back(self, segment: Segment) -> list[Action]:
        """Keep a late accept from the caller, and ask what became of it."""
        declined = self.declined[segment.flow]
        if not segment.accepts:
            return []
        self.counts['accepts_kept_back'] += 1
        declined.accept = segment
        return [Send(declined.balancer, LateAccept(segment.flow))]

    def _make_room(self, load: Load, now: float) -> list[Action]:
        """Give a flow back when more wait than can be served in time."""
        drain_ms = estimate_wait(load, load.flows)
        if drain_ms <= WAIT_MAX_MS * QUEUE_SHARE:
            return []
        last = choose_last(self.waiting.values(), now)
        if last is None:
            return []
        flow = self.flows[last.key]
        return self._give_back(last.key, flow, DeclineReason.OVERLOADED, now)

    def _pass_on(
        self, segment: Segment, flow: AgentFlow, now: float
    ) -> list[Action]:
        """Hand in an opening packet that the caller has sent again."""
        assert flow.balancer is not None
        taken = Send(
            flow.balancer, OfferAccepted(segment.flow, self.describe_load(now))
        )
        if flow.state is FlowState.WAITING:
            return [taken]
        return [DeliverToTarget(segment.raw), taken]

    def _find_objection(
        self, offer: Offer, candidate: WaitingFlow, now: float
    ) -> DeclineReason | None:
        if offer.service != self.service:
            return DeclineReason.WRONG_SERVICE
        if self.find_state(now) is not TargetState.READY:
            return DeclineReason.NOT_READY
        ahead = self.busy - len(self.waiting)
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
            'flows': self.busy,
            'slots': self.target.slots if self.target else 0,
        }
        declined = OfferDeclined(flow, reason, self.describe_load(now))
        return [Log(FLOW_DECLINED, fields), Send(balancer, declined)]

    def _take_carry(
        self, sender: Address, carry: ForwardedPacket, now: float
    ) -> list[Action]:
        segment = self.segment_format.read_caller(carry.packet)
        if segment is None:
            self.counts['packets_malformed'] += 1
            return []
        flow = self.flows.get(segment.flow)
        if carry.service != self.service:
            flow = None
        elif flow is None and not segment.opens and self._is_uncertain(now):
            flow = self._adopt(segment.flow, sender, now)
        elif (
            flow is not None
            and not segment.opens
            and _is_elsewhere(flow, segment.acknowledged)
        ):
            self._drop(segment.flow, flow)
            flow = None
        if flow is None:
            return self._send_back(sender, segment, now)
        return self._carry(sender, segment, flow, now)

    def _carry(
        self, sender: Address, segment: Segment, flow: AgentFlow, now: float
    ) -> list[Action]:
        flow.balancer = sender
        if flow.state is FlowState.WAITING:
            return []
        actions: list[Action] = [DeliverToTarget(segment.raw)]
        if segment.opens:
            return actions
        flow.touched_at = now
        if flow.state is FlowState.ACCEPTED:
            took = min(now - flow.accepted_at, OPENING_TIMEOUT)
            self.handshake += (took - self.handshake) * SERVICE_TIME_GAIN
            self._count(flow, True)
            flow.state = FlowState.OPEN
            opening_ms = round((now - flow.began_at) * 1000, 1)
            fields = {
                'flow': describe_flow(segment.flow),
                'opening_ms': opening_ms,
                'flows': self.busy,
            }
            actions.append(Log(FLOW_OPENED, fields))
        if segment.length and flow.served_at is None:
            flow.served_at = now
            slots = max(1, self.target.slots if self.target else 1)
            inside = self.busy - len(self.waiting)
            flow.shared_by = max(1.0, inside / slots)
        if segment.ends or segment.resets:
            actions += self._end(segment.flow, flow, now)
        return actions

    def _send_back(
        self, sender: Address, segment: Segment, now: float
    ) -> list[Action]:
        self.counts['packets_sent_back'] += 1
        if segment.opens:
            reason = DeclineReason.NOT_READY
            return self._decline(sender, segment.flow, reason, now)
        return [Send(sender, UnownedPacket(segment.flow, segment.raw))]

    def _take_find(
        self, sender: Address, find: FindOwner, now: float
    ) -> list[Action]:
        if find.service != self.service:
            return []
        flow = self.flows.get(find.flow)
        if flow is None:
            if not self._is_uncertain(now):
                return []
            return [Send(sender, OwnerReply(find.flow, False))]
        if _is_elsewhere(flow, find.acknowledged):
            return []
        return [Send(sender, OwnerReply(find.flow, True))]

    def _adopt(
        self, key: bytes, balancer: Address | None, now: float
    ) -> AgentFlow:
        """Know a flow that the target may hold from before the start."""
        flow = AgentFlow(FlowState.OPEN, balancer, now, now)
        self.flows[key] = flow
        self.busy += 1
        self.counts['flows_adopted'] += 1
        return flow

    def _take_returned(self, segment: Segment, now: float) -> list[Action]:
        """Send a packet back that the target does not want."""
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

    def _give_up(
        self, key: bytes, flow: AgentFlow, now: float
    ) -> list[Action]:
        self._silent_offers += 1
        self.counts['offers_unanswered'] += 1
        if self._silent_offers >= SILENT_OFFERS:
            self._down_until = now + DOWN_PAUSE
        assert flow.balancer is not None
        self.declined[key] = DeclinedFlow(flow.balancer, now)
        return self._give_back(key, flow, DeclineReason.UNANSWERED, now)

    def _end(self, key: bytes, flow: AgentFlow, now: float) -> list[Action]:
        if flow.state is FlowState.ENDED:
            return []
        self._count(flow, False)
        flow.state = FlowState.ENDED
        took_ms = 0.0
        if flow.served_at is not None:
            took_ms = (now - flow.served_at) * 1000
            alone_ms = took_ms / flow.shared_by
            gain = SERVICE_TIME_GAIN
            self.service_ms += (alone_ms - self.service_ms) * gain
        fields = {
            'flow': describe_flow(key),
            'served_ms': round(took_ms, 1),
            'age_ms': round((now - flow.began_at) * 1000, 1),
            'flows': self.busy,
        }
        return [Log(FLOW_ENDED, fields), *self._tell_room(flow, now)]

    def _tell_room(self, flow: AgentFlow, now: float) -> list[Action]:
        """Tell the balancer of a flow that has ended that there is room.

        Answers the load of a crest, where regular reports are older than the
        room lasts: balancers would crowd one target while others stand idle.
        """
        if flow.balancer is None:
            return []
        return [Send(flow.balancer, LoadReport(self.describe_load(now)))]

    def _drop(self, key: bytes, flow: AgentFlow) -> None:
        del self.flows[key]
        self._count(flow, False)
        self.waiting.pop(key, None)


def _is_elsewhere(flow: AgentFlow, acknowledged: int) -> bool:
    """Tell whether a caller has opened a flow at another target.

    :param acknowledged: acknowledgement of a packet of the caller that does
        not open the flow
    """
    if flow.state in (FlowState.WAITING, FlowState.OFFERED):
        return True
    ahead = (acknowledged - flow.sequence) % SEQUENCE_RANGE
    return flow.state is FlowState.ACCEPTED and ahead > 1

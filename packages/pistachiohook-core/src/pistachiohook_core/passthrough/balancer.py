"""State machine of a balancer: forwards each flow's packets to one agent."""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
import enum
import heapq
from itertools import count
from random import Random
from typing import TYPE_CHECKING

import attrs

from ..events import FLOW_ABANDONED
from ..events import FLOW_LOST
from ..events import FLOW_OFFERED
from ..events import FLOW_OWNER_LOOKUP
from ..events import FLOW_REFUSED
from .actions import Log
from .actions import ResetCaller
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
from .placement import AgentView
from .placement import Choice
from .placement import choose_agent
from .placement import find_report_timeout
from .placement import find_wait_budget
from .placement import is_reporting
from .routes import choose_service
from .routes import list_services
from .segments import describe_flow

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from ..addresses import Address
    from .actions import Action
    from .routes import Route
    from .routes import RouteTable
    from .segments import Segment
    from .segments import SegmentFormat

#: Time after which an offer without an answer times out, in seconds: several
#: round trips between zones, and well below the 200 ms after which a caller
#: retransmits its opening packet.
OFFER_TIMEOUT = 0.05

#: Lateness of a timer from which the balancer itself is assumed to have been
#: paused, in seconds: answers may have arrived that it has not read yet.
LATENESS_MAX = 0.02

#: Delay before the choice of an agent is repeated when none was eligible, in
#: seconds. Agents report several times before a caller gives up.
OFFER_RETRY_DELAY = 0.03

#: Largest number of offers for one opening packet. Each one may cost a target
#: a new connection.
OFFERS_MAX = 4

#: Time to wait for the answer of a flow's owner, in seconds, for the same
#: reasons as for an offer.
FIND_TIMEOUT = 0.06

#: Largest number of packets that are buffered while the owner of their flow is
#: searched for. A caller has no more than 16 in flight and retransmits dropped
#: ones.
BUFFERED_PACKETS_MAX = 16

#: Age of a flow by the number of retransmissions of its opening packet, in
#: seconds.
RETRANSMISSION_AGES = (0.0, 0.2, 0.6)

#: Time after an opening packet in which its caller does not retransmit it, in
#: seconds, by the number of retransmissions so far. Each is shorter than the
#: caller's interval by a quarter of the shortest interval, for packets that
#: were read late.
RETRANSMISSION_GAPS = (0.15, 0.35, 0.75)

#: Largest number of opening packets that are held until the balancer has its
#: first routes: what callers open at one balancer in a second or two.
HELD_OPENINGS_MAX = 1024

#: Time after which a held opening packet is dropped, in seconds: its caller
#: has given up soon after.
HELD_TIME_MAX = 1.2

#: Largest number of flows in the table; the least recently used are evicted.
FLOWS_MAX = 65_536

#: Time without a message after which an agent is removed, in seconds, or
#: longer when it reports rarely. Flows of an agent that restarts are found
#: again within this time.
AGENT_TIMEOUT = 10.0


class FlowEntryState(enum.Enum):
    """State of a flow as a balancer knows it."""

    #: The flow is being offered to agents.
    OFFERED = 'offered'
    #: An agent owns the flow.
    ASSIGNED = 'taken'
    #: The agents are being asked which one owns the flow.
    SEARCHING = 'finding'
    #: The caller was refused; delayed retransmissions are refused too.
    REFUSED = 'refused'


@attrs.define
class FlowEntry:
    """A balancer's entry for a flow; it may be evicted at any time.

    :param service: service that the flow belongs to
    :param state: state of the flow
    :param touched_at: when the caller's last packet arrived
    :param began_at: when the caller first sent its opening packet
    :param agent: agent that owns the flow or that it is offered to
    :param opening: the opening packet
    :param opening_at: when the opening packet arrived last
    :param handshake_completed: whether the caller has sent a packet other than
        the opening one, as it does after a target has accepted the flow
    :param offers: number of offers for the opening packet
    :param tried: agents that have declined the flow or do not own it
    :param unanswered: agents that have answered neither their offer nor its
        withdrawal
    :param buffered: packets to forward when the owner is found
    :param possible_owners: agents whose target may have opened the flow before
        the agent started, and which have not been tried yet
    :param timer_id: number of the running timer; earlier ones are superseded
    :param deadline_extended: whether the timeout of the newest offer was
        extended
    :param awaiting_withdrawals: whether no agent is left to offer the flow to
        and only late answers of the unanswered ones are awaited
    :param late_acceptor: agent whose target accepted the flow after the agent
        had declined it
    """

    service: str
    state: FlowEntryState
    touched_at: float
    began_at: float = 0.0
    agent: Address | None = None
    opening: Segment | None = None
    opening_at: float = 0.0
    handshake_completed: bool = False
    offers: int = 0
    tried: set[Address] = attrs.field(factory=set)
    unanswered: set[Address] = attrs.field(factory=set)
    buffered: list[Segment] = attrs.field(factory=list)
    possible_owners: list[Address] = attrs.field(factory=list)
    timer_id: int = 0
    deadline_extended: bool = False
    awaiting_withdrawals: bool = False
    late_acceptor: Address | None = None


@attrs.define
class Balancer:
    """State of a balancer for pass-through services.

    :param zone: availability zone of the balancer
    :param segment_format: format of the packets
    :param random: breaks ties
    :param started_at: when the balancer started
    :param choose_agent: chooses the agent for a new flow
    :param table: applied routes; ``None`` before the first
    :param views: agents by service and address
    :param flows: flow table, least recently used first
    :param counts: counters of packets and decisions by name
    """

    zone: str
    segment_format: SegmentFormat
    random: Random = attrs.field(factory=Random)
    started_at: float = float('-inf')
    choose_agent: Callable[..., Choice | None] = choose_agent
    table: RouteTable | None = None
    views: dict[str, dict[Address, AgentView]] = attrs.field(factory=dict)
    flows: OrderedDict[bytes, FlowEntry] = attrs.field(factory=OrderedDict)
    counts: Counter[str] = attrs.field(factory=Counter)
    _held: dict[bytes, tuple[Segment, float]] = attrs.field(factory=dict)
    _services: dict[Address, str] = attrs.field(factory=dict)
    _timers: list[tuple[float, int, bytes, int]] = attrs.field(factory=list)
    _timer_ids: Iterator[int] = attrs.field(factory=lambda: count(1))

    def set_routes(self, table: RouteTable) -> bool:
        """Apply routes that are newer than the applied ones.

        :returns: whether the routes were applied
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True

    def release_held(self, now: float) -> list[Action]:
        """Handle the opening packets that arrived before the first routes.

        Otherwise each caller would wait until it retransmits its packet. A
        flow without a route is not refused: another balancer with newer routes
        may have opened it meanwhile.
        """
        assert self.table is not None
        held, self._held = self._held, {}
        actions: list[Action] = []
        for flow, (segment, arrived_at) in held.items():
            route = self.table.find(flow)
            if route is not None and now - arrived_at <= HELD_TIME_MAX:
                self.counts['packets'] += 1
                actions += self._receive_opening(
                    route, segment, arrived_at, now
                )
        return actions

    def receive_packet(self, packet: bytes, now: float) -> list[Action]:
        """Handle a caller's packet."""
        segment = self.segment_format.read_caller(packet)
        if segment is None:
            self.counts['packets_malformed'] += 1
            return []
        if self.table is None:
            self._hold(segment, now)
            return []
        route = self.table.find(segment.flow)
        if route is None:
            return self._refuse_unrouted(segment)
        self.counts['packets'] += 1
        if segment.opens:
            return self._receive_opening(route, segment, now, now)
        return self._receive_subsequent(route, segment, now)

    def receive_message(
        self, sender: Address, message: object, now: float
    ) -> list[Action]:
        """Handle a message of an agent."""
        match message:
            case LoadReport(load):
                self._record_load(sender, load, now)
            case OfferAccepted():
                return self._handle_offer_accepted(sender, message, now)
            case OfferDeclined():
                return self._handle_offer_declined(sender, message, now)
            case LateAccept():
                return self._handle_late_accept(sender, message, now)
            case UnownedPacket():
                return self._handle_unowned_packet(sender, message, now)
            case OwnerReply():
                return self._handle_owner_reply(sender, message)
            case _:
                self.counts['messages_unexpected'] += 1
        return []

    def find_next_deadline(self) -> float | None:
        """Return when :meth:`expire` is due; ``None`` without a timer."""
        return self._timers[0][0] if self._timers else None

    def expire(self, now: float) -> list[Action]:
        """Handle offers and owner searches that have timed out."""
        actions: list[Action] = []
        while self._timers and self._timers[0][0] <= now:
            due, _, flow, timer_id = heapq.heappop(self._timers)
            entry = self.flows.get(flow)
            if entry is None or entry.timer_id != timer_id:
                continue
            if self._extend_deadline(entry, now - due):
                self._start_timer(flow, entry, now + OFFER_TIMEOUT)
            elif entry.state is FlowEntryState.OFFERED:
                actions += self._time_out_offer(flow, entry, now)
            elif entry.state is FlowEntryState.SEARCHING:
                actions += self._end_search(flow, entry)
        return actions

    def _extend_deadline(self, entry: FlowEntry, lateness: float) -> bool:
        """Extend the timeout of an offer once when its timer fired late.

        A balancer whose CPU quota is exhausted is paused, and the answer may
        have arrived without having been read. If it took its own pauses for
        missing answers, it would offer each flow several times and exhaust
        its quota even sooner.

        :returns: whether the timeout is extended
        """
        waits = (
            entry.state is FlowEntryState.OFFERED and entry.agent is not None
        )
        if not waits or entry.deadline_extended or lateness < LATENESS_MAX:
            return False
        entry.deadline_extended = True
        return True

    def expire_idle(self, now: float) -> None:
        """Remove idle flows and agents that have stopped reporting."""
        idle = self.table.idle_timeout_ms / 1000 if self.table else 0.0
        while self.flows:
            flow, entry = next(iter(self.flows.items()))
            if now - entry.touched_at <= idle:
                break
            del self.flows[flow]
        expired = [
            view.address
            for view in self._list_views()
            if now - view.heard_at
            > max(AGENT_TIMEOUT, find_report_timeout(view.load, self.zone))
        ]
        for address in expired:
            self._drop_view(address)

    def count_agents(self, now: float) -> int:
        """Return the number of agents that are reporting."""
        return sum(
            is_reporting(view, self.zone, now) for view in self._list_views()
        )

    def _list_views(self) -> Iterator[AgentView]:
        return (
            view for views in self.views.values() for view in views.values()
        )

    def _refuse_unrouted(self, segment: Segment) -> list[Action]:
        """Refuse a flow without a route.

        Only an opening packet is answered with a reset. Any other packet may
        belong to a flow that was opened under routes not applied here yet.
        """
        self.counts['packets_without_route'] += 1
        self.flows.pop(segment.flow, None)
        if not segment.opens:
            return []
        return self._refuse(segment.flow, 'no route', 0)

    def _refuse(self, flow: bytes, reason: str, offers: int) -> list[Action]:
        self.counts['flows_refused'] += 1
        fields = {
            'flow': describe_flow(flow),
            'reason': reason,
            'offers': offers,
            'version': self.table.version if self.table else 0,
        }
        return [Log(FLOW_REFUSED, fields), ResetCaller(flow)]

    def _remember(self, flow: bytes, entry: FlowEntry) -> None:
        self.flows[flow] = entry
        self.flows.move_to_end(flow)
        if len(self.flows) > FLOWS_MAX:
            self.flows.popitem(last=False)

    def _hold(self, segment: Segment, now: float) -> None:
        """Hold an opening packet until there are routes; drop any other."""
        self.counts['packets_without_routes'] += 1
        if not segment.opens:
            # The caller goes on, so that another balancer has opened it.
            self._held.pop(segment.flow, None)
        elif segment.flow in self._held or len(self._held) < HELD_OPENINGS_MAX:
            self._held[segment.flow] = segment, now

    def _receive_opening(
        self, route: Route, segment: Segment, arrived_at: float, now: float
    ) -> list[Action]:
        entry = self.flows.get(segment.flow)
        retransmitted = segment.acknowledged > 0
        if entry is None or not retransmitted:
            service = choose_service(route, segment.flow)
            began_at = (
                arrived_at
                - RETRANSMISSION_AGES[
                    min(segment.acknowledged, len(RETRANSMISSION_AGES) - 1)
                ]
            )
            entry = FlowEntry(service, FlowEntryState.OFFERED, now, began_at)
        entry.opening = segment
        entry.opening_at = arrived_at
        entry.touched_at = now
        self._remember(segment.flow, entry)
        if entry.state is FlowEntryState.ASSIGNED and self._is_live(
            entry, now
        ):
            assert entry.agent is not None
            return [
                Send(entry.agent, ForwardedPacket(entry.service, segment.raw))
            ]
        if entry.state is FlowEntryState.OFFERED and entry.timer_id:
            return []
        if entry.state is FlowEntryState.REFUSED:
            return [ResetCaller(segment.flow)]
        entry.offers = 0
        return self._offer(route, segment.flow, entry, now)

    def _is_live(self, entry: FlowEntry, now: float) -> bool:
        view = self._find_view(entry, entry.agent)
        return (
            view is not None
            and not view.suspect
            and is_reporting(view, self.zone, now)
        )

    def _offer(
        self, route: Route, flow: bytes, entry: FlowEntry, now: float
    ) -> list[Action]:
        """Offer a flow to the best agent, or refuse it when none is left.

        An agent whose offer has just timed out gets it again or is sent a
        withdrawal. Agents that have not answered older offers are not offered
        the flow.
        """
        assert entry.opening is not None
        previous = entry.agent if entry.agent in entry.unanswered else None
        choice = self._choose(route, entry, previous, now)
        if choice is None and self._may_find_agent(route, entry, now):
            entry.agent = None
            self._start_timer(flow, entry, now + OFFER_RETRY_DELAY)
            return []
        if (
            choice is None
            and entry.unanswered
            and not entry.awaiting_withdrawals
        ):
            # An agent may just have opened the flow; a reset would break it.
            entry.awaiting_withdrawals = True
            entry.agent = None
            self._start_timer(flow, entry, now + OFFER_TIMEOUT)
            return (
                []
                if previous is None
                else [Send(previous, WithdrawOffer(flow))]
            )
        if choice is None:
            return self._close_opening(flow, entry, now)
        actions = self._send_offer(route, flow, entry, choice, now)
        if previous is not None and previous != entry.agent:
            actions.append(Send(previous, WithdrawOffer(flow)))
        return actions

    def _close_opening(
        self, flow: bytes, entry: FlowEntry, now: float
    ) -> list[Action]:
        """Refuse a flow that no target accepts, or drop its entry silently.

        A caller that has completed the handshake, or whose retransmission may
        have gone to another balancer, may have opened the flow there. A reset
        would break it, so that only the entry is removed.
        """
        assert entry.opening is not None
        retransmissions = min(
            entry.opening.acknowledged, len(RETRANSMISSION_GAPS) - 1
        )
        sole_recipient = (
            now - entry.opening_at <= RETRANSMISSION_GAPS[retransmissions]
        )
        if sole_recipient and not entry.handshake_completed:
            entry.state = FlowEntryState.REFUSED
            entry.agent = entry.opening = None
            return self._refuse(
                flow, 'no target accepts the flow', entry.offers
            )
        del self.flows[flow]
        self.counts['flows_left'] += 1
        fields = {'flow': describe_flow(flow), 'offers': entry.offers}
        return [Log(FLOW_ABANDONED, fields)]

    def _choose(
        self,
        route: Route,
        entry: FlowEntry,
        previous: Address | None,
        now: float,
    ) -> Choice | None:
        view = self._find_view(entry, entry.late_acceptor)
        entry.late_acceptor = None
        if view is not None:
            return Choice(view, view.wait_ms, float('inf'))
        if entry.offers >= OFFERS_MAX:
            return None
        return self.choose_agent(
            self.views.get(entry.service, {}).values(),
            route,
            self.zone,
            entry.tried | (entry.unanswered - {previous}),
            self.random,
            now,
        )

    def _send_offer(
        self,
        route: Route,
        flow: bytes,
        entry: FlowEntry,
        choice: Choice,
        now: float,
    ) -> list[Action]:
        """Offer a flow to an agent and start the timer for its answer."""
        assert entry.opening is not None
        agent = choice.view.address
        entry.offers += 1
        entry.deadline_extended = entry.awaiting_withdrawals = False
        entry.state = FlowEntryState.OFFERED
        entry.agent = agent
        entry.unanswered.discard(agent)
        choice.view.add_offer(flow)
        self.counts['offers'] += 1
        self._start_timer(flow, entry, now + OFFER_TIMEOUT)
        age_ms = (now - entry.began_at) * 1000
        budget = find_wait_budget(route, age_ms)
        last = entry.offers == OFFERS_MAX
        offer = Offer(
            entry.service,
            budget if last else min(budget, choice.patience_ms),
            budget,
            route.target_latency_ms - age_ms,
            route.priority,
            entry.opening.raw,
        )
        return [
            Log(FLOW_OFFERED, self._describe_offer(flow, entry, choice, now)),
            Send(agent, offer),
        ]

    def _may_find_agent(
        self, route: Route, entry: FlowEntry, now: float
    ) -> bool:
        """Tell whether an agent that can open the flow may report soon.

        This is so shortly after a restart of this balancer or of agents, or
        when the network to them recovers. A caller that is refused then may
        have no retries left when the targets are available again.
        """
        age_ms = (now - entry.began_at) * 1000
        if entry.offers or find_wait_budget(route, age_ms) <= 0:
            return False
        if now - self.started_at < AGENT_TIMEOUT:
            return True
        views = self.views.get(entry.service, {}).values()
        return any(
            not is_reporting(view, self.zone, now)
            or view.load.state is TargetState.UNKNOWN
            for view in views
        )

    def _describe_offer(
        self, flow: bytes, entry: FlowEntry, choice: Choice, now: float
    ) -> dict[str, object]:
        view = choice.view
        return {
            'flow': describe_flow(flow),
            'agent': str(view.address),
            'offer': entry.offers,
            'wait_ms': round(choice.wait_ms, 1),
            'agent_flows': view.load.flows,
            'agent_slots': view.load.slots,
            'load_age_ms': round((now - view.heard_at) * 1000),
            'version': self.table.version if self.table else 0,
        }

    def _start_timer(self, flow: bytes, entry: FlowEntry, due: float) -> None:
        entry.timer_id = next(self._timer_ids)
        heapq.heappush(
            self._timers, (due, entry.timer_id, flow, entry.timer_id)
        )

    def _time_out_offer(
        self, flow: bytes, entry: FlowEntry, now: float
    ) -> list[Action]:
        if entry.agent is not None:
            self.counts['offers_unanswered'] += 1
            view = self._find_view(entry, entry.agent)
            if view is not None:
                view.remove_offer(flow)
                view.suspect = True
            if entry.handshake_completed:
                # The target has accepted the flow; only the answer was lost.
                # Another target's acceptance would come too late.
                entry.state = FlowEntryState.ASSIGNED
                return []
            entry.unanswered.add(entry.agent)
        return self._offer_again(flow, entry, now)

    def _offer_again(
        self, flow: bytes, entry: FlowEntry, now: float
    ) -> list[Action]:
        route = self.table.find(flow) if self.table else None
        if route is None:
            self.flows.pop(flow, None)
            return self._refuse(flow, 'no route', entry.offers)
        return self._offer(route, flow, entry, now)

    def _handle_offer_accepted(
        self, sender: Address, message: OfferAccepted, now: float
    ) -> list[Action]:
        self._record_load(sender, message.load, now, message.flow)
        entry = self.flows.get(message.flow)
        if entry is None or entry.state is not FlowEntryState.OFFERED:
            return []
        entry.state = FlowEntryState.ASSIGNED
        return self._reassign(message.flow, entry, sender)

    def _handle_late_accept(
        self, sender: Address, message: LateAccept, now: float
    ) -> list[Action]:
        """Store whose target accepted a flow late; it gets the next offer."""
        entry = self.flows.get(message.flow)
        if entry is None or entry.opening is None:
            return []
        entry.late_acceptor = sender
        if not entry.awaiting_withdrawals:
            return []
        return self._offer_again(message.flow, entry, now)

    def _reassign(
        self, flow: bytes, entry: FlowEntry, agent: Address
    ) -> list[Action]:
        """Assign a flow to an agent and withdraw the offer to another one."""
        previous, entry.agent = entry.agent, agent
        if previous is None or previous == agent:
            return []
        view = self._find_view(entry, previous)
        if view is not None:
            view.remove_offer(flow)
        return [Send(previous, WithdrawOffer(flow))]

    def _handle_offer_declined(
        self, sender: Address, message: OfferDeclined, now: float
    ) -> list[Action]:
        self._record_load(sender, message.load, now, message.flow)
        self.counts['offers_declined'] += 1
        entry = self.flows.get(message.flow)
        if entry is None or entry.opening is None:
            return []
        entry.unanswered.discard(sender)
        ended = entry.awaiting_withdrawals and not entry.unanswered
        if entry.agent != sender and not ended:
            return []
        if entry.state is FlowEntryState.SEARCHING:
            return []
        if (
            entry.agent is not None
            and message.reason is not DeclineReason.BUSY
        ):
            entry.tried.add(entry.agent)
        return self._offer_again(message.flow, entry, now)

    def _record_load(
        self, sender: Address, load: Load, now: float, flow: bytes = b''
    ) -> None:
        view = self.views.get(load.service, {}).get(sender)
        if view is None:
            self._drop_view(sender)
            view = AgentView(sender, load, now)
            self.views.setdefault(load.service, {})[sender] = view
            self._services[sender] = load.service
        view.remove_offer(flow)
        view.suspect = False
        view.heard_at = now
        # A start time before the known one counts as a restart too, since the
        # wall clock may jump back.
        restarted = load.started != view.load.started
        if restarted or load.sequence >= view.load.sequence:
            view.update_load(load)

    def _find_view(
        self, entry: FlowEntry, agent: Address | None
    ) -> AgentView | None:
        """Return the view of an agent if it serves the flow's service."""
        views = self.views.get(entry.service, {})
        return None if agent is None else views.get(agent)

    def _drop_view(self, address: Address) -> None:
        previous = self._services.pop(address, None)
        if previous is not None:
            del self.views[previous][address]

    def _receive_subsequent(
        self, route: Route, segment: Segment, now: float
    ) -> list[Action]:
        entry = self.flows.get(segment.flow)
        if entry is None or entry.state is FlowEntryState.REFUSED:
            return self._find_owner(route, segment, frozenset(), now)
        entry.touched_at = now
        entry.handshake_completed = True
        self.flows.move_to_end(segment.flow)
        if entry.state is FlowEntryState.SEARCHING:
            _buffer_packet(entry, segment)
            return []
        if entry.agent is None:
            return []
        return [Send(entry.agent, ForwardedPacket(entry.service, segment.raw))]

    def _find_owner(
        self,
        route: Route,
        segment: Segment,
        tried: Iterable[Address],
        now: float,
    ) -> list[Action]:
        entry = FlowEntry(
            choose_service(route, segment.flow),
            FlowEntryState.SEARCHING,
            now,
            tried=set(tried),
            buffered=[segment],
        )
        self._remember(segment.flow, entry)
        self._start_timer(segment.flow, entry, now + FIND_TIMEOUT)
        self.counts['owner_searches'] += 1
        return [
            Send(
                view.address,
                FindOwner(service, segment.flow, segment.acknowledged),
            )
            for service in dict.fromkeys(list_services(route))
            for view in self.views.get(service, {}).values()
            if view.address not in entry.tried
        ]

    def _handle_unowned_packet(
        self, sender: Address, message: UnownedPacket, now: float
    ) -> list[Action]:
        self.counts['packets_strayed'] += 1
        segment = self.segment_format.read_caller(message.packet)
        route = self.table.find(message.flow) if self.table else None
        if segment is None or route is None:
            return []
        entry = self.flows.get(message.flow)
        log = Log(
            FLOW_OWNER_LOOKUP,
            {'flow': describe_flow(message.flow), 'agent': str(sender)},
        )
        if entry is not None and entry.state is FlowEntryState.SEARCHING:
            _buffer_packet(entry, segment)
            return [log]
        if entry is not None and entry.agent == sender:
            entry.agent = _take_possible_owner(entry, sender)
        if entry is not None and entry.agent is not None:
            return [
                log,
                Send(entry.agent, ForwardedPacket(entry.service, segment.raw)),
            ]
        tried = {sender} if entry is None else entry.tried | {sender}
        return [log, *self._find_owner(route, segment, tried, now)]

    def _handle_owner_reply(
        self, sender: Address, message: OwnerReply
    ) -> list[Action]:
        entry = self.flows.get(message.flow)
        if entry is None or entry.state is not FlowEntryState.SEARCHING:
            return []
        if not message.certain:
            entry.possible_owners.append(sender)
            return []
        entry.possible_owners.clear()
        return self._assign_owner(entry, sender)

    def _assign_owner(self, entry: FlowEntry, agent: Address) -> list[Action]:
        entry.state = FlowEntryState.ASSIGNED
        entry.agent = agent
        entry.service = self._services.get(agent, entry.service)
        buffered, entry.buffered = entry.buffered, []
        return [
            Send(agent, ForwardedPacket(entry.service, segment.raw))
            for segment in buffered
        ]

    def _end_search(self, flow: bytes, entry: FlowEntry) -> list[Action]:
        owner = _take_possible_owner(entry, None)
        if owner is not None:
            return self._assign_owner(entry, owner)
        self.counts['owners_not_found'] += 1
        del self.flows[flow]
        asked = len(self.views.get(entry.service, {}))
        fields = {
            'flow': describe_flow(flow),
            'asked': asked,
            'dropped': len(entry.buffered),
        }
        return [Log(FLOW_LOST, fields)]


def _take_possible_owner(
    entry: FlowEntry, former: Address | None
) -> Address | None:
    """Return the next agent that may own a flow, or ``None``.

    :param entry: the flow's entry
    :param former: agent that does not own the flow, if one was tried
    """
    if former is not None:
        entry.tried.add(former)
    while entry.possible_owners:
        agent = entry.possible_owners.pop(0)
        if agent not in entry.tried:
            return agent
    return None


def _buffer_packet(entry: FlowEntry, segment: Segment) -> None:
    """Buffer a packet until the flow's owner is found; drop it when full."""
    if len(entry.buffered) < BUFFERED_PACKETS_MAX:
        entry.buffered.append(segment)

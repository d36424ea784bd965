"""Decisions of a balancer: which agent gets a packet of a flow."""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
import enum
import heapq
from itertools import count
from random import Random
from typing import TYPE_CHECKING

import attrs

from ..events import FLOW_LEFT
from ..events import FLOW_LOST
from ..events import FLOW_OFFERED
from ..events import FLOW_REFUSED
from ..events import FLOW_STRAYED
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

#: Wait for an agent's answer to an offer, in seconds: several ways between
#: zones and back, and well below the 200 ms after which a caller repeats.
OFFER_TIMEOUT = 0.05

#: Lateness from which a timer shows that the balancer itself stood still, in
#: seconds: answers may lie unread.
LATENESS_MAX = 0.02

#: Pause before a flow is offered again that no agent could be offered, in
#: seconds: agents report several times within a caller's patience.
AGENT_PAUSE = 0.03

#: Offers for one opening packet; each costs a target a new connection.
OFFERS_MAX = 4

#: Wait for the owner of a flow to answer, in seconds; as for an offer.
FIND_TIMEOUT = 0.06

#: Packets of one flow that wait for its owner; a caller has no more than
#: 16 under way and sends what is dropped again.
WAITING_MAX = 16

#: Age of a flow by how often its caller has sent the opening packet before,
#: in seconds.
REPEAT_AGES = (0.0, 0.2, 0.6)

#: Time after an opening packet in which its caller sends no other, in seconds,
#: by how often it has sent one before, less a quarter of the shortest for
#: packets that were read late.
SINGLE_TIMES = (0.15, 0.35, 0.75)

#: Flows that are remembered; the least recently used are forgotten first.
FLOWS_MAX = 65_536

#: Silence after which an agent is forgotten, in seconds; flows of an agent
#: that restarts are found again within.
AGENT_TIMEOUT = 10.0


class EntryState(enum.Enum):
    """What a balancer knows of a flow."""

    #: An agent was asked to open it.
    OFFERED = 'offered'
    #: An agent holds it.
    TAKEN = 'taken'
    #: Its owner is being asked for.
    FINDING = 'finding'
    #: Its caller was refused; repeats that come late are refused too.
    REFUSED = 'refused'


@attrs.define
class FlowEntry:
    """What a balancer remembers of a flow; it may be forgotten any time.

    :param service: service that the flow belongs to
    :param state: what is known
    :param touched_at: when the last packet came
    :param began_at: when the caller has begun to open it
    :param agent: who holds it or was asked to open it
    :param opening: the opening packet
    :param opening_at: when it came last
    :param gone_on: whether the caller has sent another packet since, as it
        does when a target has accepted
    :param offers: how often it was offered
    :param tried: agents that do not open it or do not hold it
    :param silent: agents that have not answered an offer, nor that it was
        withdrawn
    :param waiting: packets that wait for the owner
    :param possible: agents whose target may hold it
    :param step: number of the newest offer or question
    :param excused: whether the newest offer has been waited for longer
    :param ending: whether only agents that were silent are waited for
    :param late: agent whose target has accepted it after it was declined
    """

    service: str
    state: EntryState
    touched_at: float
    began_at: float = 0.0
    agent: Address | None = None
    opening: Segment | None = None
    opening_at: float = 0.0
    gone_on: bool = False
    offers: int = 0
    tried: set[Address] = attrs.field(factory=set)
    silent: set[Address] = attrs.field(factory=set)
    waiting: list[Segment] = attrs.field(factory=list)
    possible: list[Address] = attrs.field(factory=list)
    step: int = 0
    excused: bool = False
    ending: bool = False
    late: Address | None = None


@attrs.define
class Balancer:
    """State of a balancer for pass-through services.

    :param zone: its availability zone
    :param form: form of the packets
    :param random: settles ties
    :param started_at: start of the balancer
    :param choose: chooses the agent for a new flow
    :param table: routes in force; ``None`` before the first
    :param views: agents by service and address
    :param flows: what is remembered of flows, least recently used first
    :param counts: packets and decisions by name
    """

    zone: str
    form: SegmentFormat
    random: Random = attrs.field(factory=Random)
    started_at: float = float('-inf')
    choose: Callable[..., Choice | None] = choose_agent
    table: RouteTable | None = None
    views: dict[str, dict[Address, AgentView]] = attrs.field(factory=dict)
    flows: OrderedDict[bytes, FlowEntry] = attrs.field(factory=OrderedDict)
    counts: Counter[str] = attrs.field(factory=Counter)
    _services: dict[Address, str] = attrs.field(factory=dict)
    _timers: list[tuple[float, int, bytes, int]] = attrs.field(factory=list)
    _steps: Iterator[int] = attrs.field(factory=lambda: count(1))

    def set_routes(self, table: RouteTable) -> bool:
        """Put routes in force, unless newer ones are.

        :returns: whether they are in force now
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True

    def receive_packet(self, packet: bytes, now: float) -> list[Action]:
        """Steer a caller's packet."""
        segment = self.form.read_caller(packet)
        if segment is None:
            self.counts['packets_malformed'] += 1
            return []
        if self.table is None:
            self.counts['packets_without_routes'] += 1
            return []
        route = self.table.find(segment.flow)
        if route is None:
            return self._turn_away(segment)
        self.counts['packets'] += 1
        if segment.opens:
            return self._receive_opening(route, segment, now)
        return self._receive_later(route, segment, now)

    def receive_message(
        self, sender: Address, message: object, now: float
    ) -> list[Action]:
        """Take what an agent says."""
        match message:
            case LoadReport(load):
                self._note_load(sender, load, now)
            case OfferAccepted():
                return self._take_taken(sender, message, now)
            case OfferDeclined():
                return self._take_declined(sender, message, now)
            case LateAccept():
                return self._take_accepted(sender, message, now)
            case UnownedPacket():
                return self._take_stray(sender, message, now)
            case OwnerReply():
                return self._take_found(sender, message)
            case _:
                self.counts['messages_unexpected'] += 1
        return []

    def find_due(self) -> float | None:
        """Return when :meth:`expire` has something to do."""
        return self._timers[0][0] if self._timers else None

    def expire(self, now: float) -> list[Action]:
        """Go on where an answer has not come in time."""
        actions: list[Action] = []
        while self._timers and self._timers[0][0] <= now:
            due, _, flow, step = heapq.heappop(self._timers)
            entry = self.flows.get(flow)
            if entry is None or entry.step != step:
                continue
            if self._is_excused(entry, now - due):
                self._await_answer(flow, entry, now + OFFER_TIMEOUT)
            elif entry.state is EntryState.OFFERED:
                actions += self._give_up_offer(flow, entry, now)
            elif entry.state is EntryState.FINDING:
                actions += self._end_search(flow, entry)
        return actions

    def _is_excused(self, entry: FlowEntry, lateness: float) -> bool:
        """Tell whether the answer to an offer may only not have been read.

        Answers the load of a balancer that uses up its share of a processor:
        to take its own pauses for silence of the agents would have it offer
        each flow several times, and use up its share sooner.
        """
        waits = entry.state is EntryState.OFFERED and entry.agent is not None
        if not waits or entry.excused or lateness < LATENESS_MAX:
            return False
        entry.excused = True
        return True

    def forget(self, now: float) -> None:
        """Forget idle flows and agents that have fallen silent."""
        idle = self.table.idle_timeout_ms / 1000 if self.table else 0.0
        while self.flows:
            flow, entry = next(iter(self.flows.items()))
            if now - entry.touched_at <= idle:
                break
            del self.flows[flow]
        silent = [
            view.address
            for view in self._list_all()
            if now - view.heard_at > AGENT_TIMEOUT
        ]
        for address in silent:
            self._drop_view(address)

    def count_agents(self, now: float) -> int:
        """Return how many agents are heard."""
        return sum(
            is_reporting(view, self.zone, now) for view in self._list_all()
        )

    def _list_all(self) -> Iterator[AgentView]:
        return (
            view for views in self.views.values() for view in views.values()
        )

    def _turn_away(self, segment: Segment) -> list[Action]:
        """Refuse a flow without a route.

        Only an opening packet is answered: the flow of any other may be open
        by routes that are not known here yet.
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

    def _receive_opening(
        self, route: Route, segment: Segment, now: float
    ) -> list[Action]:
        entry = self.flows.get(segment.flow)
        repeated = segment.acknowledged > 0
        if entry is None or not repeated:
            service = choose_service(route, segment.flow)
            began_at = (
                now
                - REPEAT_AGES[min(segment.acknowledged, len(REPEAT_AGES) - 1)]
            )
            entry = FlowEntry(service, EntryState.OFFERED, now, began_at)
        entry.opening = segment
        entry.opening_at = entry.touched_at = now
        self._remember(segment.flow, entry)
        if entry.state is EntryState.TAKEN and self._is_live(entry, now):
            assert entry.agent is not None
            return [
                Send(entry.agent, ForwardedPacket(entry.service, segment.raw))
            ]
        if entry.state is EntryState.OFFERED and entry.step:
            return []
        if entry.state is EntryState.REFUSED:
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
        """Offer a flow to the best agent that may take it, or refuse it.

        An agent that has let its offer go unanswered is asked again or told
        that the offer is withdrawn; until it answers it gets no other one.
        """
        assert entry.opening is not None
        former = entry.agent if entry.agent in entry.silent else None
        choice = self._choose(route, entry, former, now)
        if choice is None and self._may_come(route, entry, now):
            entry.agent = None
            self._await_answer(flow, entry, now + AGENT_PAUSE)
            return []
        if choice is None and entry.silent and not entry.ending:
            # One may have taken it just now; a refusal would break the flow.
            entry.ending = True
            entry.agent = None
            self._await_answer(flow, entry, now + OFFER_TIMEOUT)
            return (
                [] if former is None else [Send(former, WithdrawOffer(flow))]
            )
        if choice is None:
            return self._end_opening(flow, entry, now)
        actions = self._ask(route, flow, entry, choice, now)
        if former is not None and former != entry.agent:
            actions.append(Send(former, WithdrawOffer(flow)))
        return actions

    def _end_opening(
        self, flow: bytes, entry: FlowEntry, now: float
    ) -> list[Action]:
        """Refuse a flow that no target takes.

        A caller that has gone on, or has sent its opening packet again and not
        here, may have opened the flow through another balancer; a reset would
        break it.
        """
        assert entry.opening is not None
        repeats = min(entry.opening.acknowledged, len(SINGLE_TIMES) - 1)
        alone = now - entry.opening_at <= SINGLE_TIMES[repeats]
        if alone and not entry.gone_on:
            entry.state = EntryState.REFUSED
            entry.agent = entry.opening = None
            return self._refuse(flow, 'no target takes it', entry.offers)
        del self.flows[flow]
        self.counts['flows_left'] += 1
        fields = {'flow': describe_flow(flow), 'offers': entry.offers}
        return [Log(FLOW_LEFT, fields)]

    def _choose(
        self,
        route: Route,
        entry: FlowEntry,
        former: Address | None,
        now: float,
    ) -> Choice | None:
        late = self._find_view(entry, entry.late)
        entry.late = None
        if late is not None:
            return Choice(late, late.wait_ms, float('inf'))
        if entry.offers >= OFFERS_MAX:
            return None
        return self.choose(
            self.views.get(entry.service, {}).values(),
            route,
            self.zone,
            entry.tried | (entry.silent - {former}),
            self.random,
            now,
        )

    def _ask(
        self,
        route: Route,
        flow: bytes,
        entry: FlowEntry,
        choice: Choice,
        now: float,
    ) -> list[Action]:
        """Offer a flow to an agent, and wait for its answer."""
        assert entry.opening is not None
        agent = choice.view.address
        entry.offers += 1
        entry.excused = entry.ending = False
        entry.state = EntryState.OFFERED
        entry.agent = agent
        entry.silent.discard(agent)
        choice.view.add_offer(flow)
        self.counts['offers'] += 1
        self._await_answer(flow, entry, now + OFFER_TIMEOUT)
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

    def _may_come(self, route: Route, entry: FlowEntry, now: float) -> bool:
        """Tell whether an agent may soon be heard that takes a flow.

        Answers the first moments after a restart, of this balancer, of agents
        or of the ways to them: a caller refused then has no try left when
        targets are back.
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

    def _await_answer(self, flow: bytes, entry: FlowEntry, due: float) -> None:
        entry.step = next(self._steps)
        heapq.heappush(self._timers, (due, entry.step, flow, entry.step))

    def _give_up_offer(
        self, flow: bytes, entry: FlowEntry, now: float
    ) -> list[Action]:
        if entry.agent is not None:
            self.counts['offers_unanswered'] += 1
            view = self._find_view(entry, entry.agent)
            if view is not None:
                view.remove_offer(flow)
                view.suspect = True
            entry.silent.add(entry.agent)
        return self._offer_again(flow, entry, now)

    def _offer_again(
        self, flow: bytes, entry: FlowEntry, now: float
    ) -> list[Action]:
        route = self.table.find(flow) if self.table else None
        if route is None:
            self.flows.pop(flow, None)
            return self._refuse(flow, 'no route', entry.offers)
        return self._offer(route, flow, entry, now)

    def _take_taken(
        self, sender: Address, message: OfferAccepted, now: float
    ) -> list[Action]:
        self._note_load(sender, message.load, now, message.flow)
        entry = self.flows.get(message.flow)
        if entry is None or entry.state is not EntryState.OFFERED:
            return []
        entry.state = EntryState.TAKEN
        return self._turn_to(message.flow, entry, sender)

    def _take_accepted(
        self, sender: Address, message: LateAccept, now: float
    ) -> list[Action]:
        """Note whose target has accepted a flow late; it is asked next."""
        entry = self.flows.get(message.flow)
        if entry is None or entry.opening is None:
            return []
        entry.late = sender
        if not entry.ending:
            return []
        return self._offer_again(message.flow, entry, now)

    def _turn_to(
        self, flow: bytes, entry: FlowEntry, agent: Address
    ) -> list[Action]:
        """Let an agent have a flow; withdraw it from another one."""
        former, entry.agent = entry.agent, agent
        if former is None or former == agent:
            return []
        view = self._find_view(entry, former)
        if view is not None:
            view.remove_offer(flow)
        return [Send(former, WithdrawOffer(flow))]

    def _take_declined(
        self, sender: Address, message: OfferDeclined, now: float
    ) -> list[Action]:
        self._note_load(sender, message.load, now, message.flow)
        self.counts['offers_declined'] += 1
        entry = self.flows.get(message.flow)
        if entry is None or entry.opening is None:
            return []
        entry.silent.discard(sender)
        ended = entry.ending and not entry.silent
        if entry.agent != sender and not ended:
            return []
        if entry.state is EntryState.FINDING:
            return []
        if (
            entry.agent is not None
            and message.reason is not DeclineReason.BUSY
        ):
            entry.tried.add(entry.agent)
        return self._offer_again(message.flow, entry, now)

    def _note_load(
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
        # A start that seems earlier counts too: the time of day may jump back.
        restarted = load.started != view.load.started
        if restarted or load.sequence >= view.load.sequence:
            view.update_load(load)

    def _find_view(
        self, entry: FlowEntry, agent: Address | None
    ) -> AgentView | None:
        """Return what is known of an agent of a flow's service."""
        views = self.views.get(entry.service, {})
        return None if agent is None else views.get(agent)

    def _drop_view(self, address: Address) -> None:
        former = self._services.pop(address, None)
        if former is not None:
            del self.views[former][address]

    def _receive_later(
        self, route: Route, segment: Segment, now: float
    ) -> list[Action]:
        entry = self.flows.get(segment.flow)
        if entry is None or entry.state is EntryState.REFUSED:
            return self._find_owner(route, segment, frozenset(), now)
        entry.touched_at = now
        entry.gone_on = True
        self.flows.move_to_end(segment.flow)
        if entry.state is EntryState.FINDING:
            _hold(entry, segment)
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
            EntryState.FINDING,
            now,
            tried=set(tried),
            waiting=[segment],
        )
        self._remember(segment.flow, entry)
        self._await_answer(segment.flow, entry, now + FIND_TIMEOUT)
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

    def _take_stray(
        self, sender: Address, message: UnownedPacket, now: float
    ) -> list[Action]:
        self.counts['packets_strayed'] += 1
        segment = self.form.read_caller(message.packet)
        route = self.table.find(message.flow) if self.table else None
        if segment is None or route is None:
            return []
        entry = self.flows.get(message.flow)
        log = Log(
            FLOW_STRAYED,
            {'flow': describe_flow(message.flow), 'agent': str(sender)},
        )
        if entry is not None and entry.state is EntryState.FINDING:
            _hold(entry, segment)
            return [log]
        if entry is not None and entry.agent not in (None, sender):
            assert entry.agent is not None
            return [
                log,
                Send(entry.agent, ForwardedPacket(entry.service, segment.raw)),
            ]
        tried = {sender} if entry is None else entry.tried | {sender}
        return [log, *self._find_owner(route, segment, tried, now)]

    def _take_found(
        self, sender: Address, message: OwnerReply
    ) -> list[Action]:
        entry = self.flows.get(message.flow)
        if entry is None or entry.state is not EntryState.FINDING:
            return []
        if not message.certain:
            entry.possible.append(sender)
            return []
        return self._settle(entry, sender)

    def _settle(self, entry: FlowEntry, agent: Address) -> list[Action]:
        entry.state = EntryState.TAKEN
        entry.agent = agent
        entry.service = self._services.get(agent, entry.service)
        waiting, entry.waiting = entry.waiting, []
        return [
            Send(agent, ForwardedPacket(entry.service, segment.raw))
            for segment in waiting
        ]

    def _end_search(self, flow: bytes, entry: FlowEntry) -> list[Action]:
        possible = [
            agent for agent in entry.possible if agent not in entry.tried
        ]
        if possible:
            return self._settle(entry, possible[0])
        self.counts['owners_not_found'] += 1
        del self.flows[flow]
        asked = len(self.views.get(entry.service, {}))
        fields = {
            'flow': describe_flow(flow),
            'asked': asked,
            'dropped': len(entry.waiting),
        }
        return [Log(FLOW_LOST, fields)]


def _hold(entry: FlowEntry, segment: Segment) -> None:
    """Keep a packet until the flow's owner is found; else it is dropped."""
    if len(entry.waiting) < WAITING_MAX:
        entry.waiting.append(segment)

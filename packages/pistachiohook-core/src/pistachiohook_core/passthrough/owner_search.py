"""Search of a balancer for the owner of a flow that it does not know."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import FLOW_GONE
from ..events import FLOW_LOST
from ..events import FLOW_OWNER_LOOKUP
from .actions import Log
from .actions import ResetCaller
from .actions import Send
from .flow_table import FlowEntry
from .flow_table import FlowEntryState
from .messages import FlowGone
from .messages import ForwardedPacket
from .messages import OwnerReply
from .messages import UnownedPacket
from .routes import choose_service
from .routes import list_services
from .search_batch import build_questions
from .search_batch import FAILING_SEARCH_INTERVAL
from .search_batch import SEARCH_INTERVAL
from .search_batch import SearchScope
from .segments import describe_flow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..addresses import Address
    from .actions import Action
    from .balancer_state import BalancerState
    from .messages import FlowReturned
    from .routes import Route
    from .segments import Segment

#: Time to wait for the answer of a flow's owner, in seconds, for the same
#: reasons as for an offer.
FIND_TIMEOUT = 0.06

#: Largest number of agents that are all asked at once. Of more, those of the
#: balancer's zone are asked first: they own most of its flows, and many
#: searches at a time would fill the link of a small instance.
ASKED_AT_ONCE_MAX = 16

#: Time to wait for the answer of an owner in the zone, in seconds, before the
#: other agents are asked.
LOCAL_FIND_TIMEOUT = 0.02

#: Time between two searches for packets that only end a flow, in seconds:
#: longer than a caller repeats such a packet.
ENDING_SEARCH_PAUSE = 12.0

#: Searches in succession that have found no owner, after which flows are
#: taken to be lost with their targets. Lost messages and agents that restart
#: make some searches fail, but not all.
LOST_IN_SUCCESSION_MAX = 20

#: Time between two searches for the same flow from then on, in seconds: one
#: for the first packet, and one for its fourth repetition.
LOST_SEARCH_PAUSE = 2.5

#: Agents that may get a packet of a flow only because they might own it, until
#: its owner is known. A flow whose packets reach other targets three times
#: counts as broken; so it waits until its own agent is back.
GUESSES_MAX = 2

#: Largest number of packets that are buffered while the owner of their flow is
#: searched for. A caller has no more than 16 in flight and retransmits dropped
#: ones.
BUFFERED_PACKETS_MAX = 16


def is_search_due(
    balancer: BalancerState, entry: FlowEntry, segment: Segment, now: float
) -> bool:
    """Tell whether another search for the owner of a lost flow is worth it.

    After a loss of all targets, callers repeat packets of many lost flows for
    some seconds, and searches for each of them would keep all agents busy. A
    caller that ends a flow waits for nothing.
    """
    pause = 0.0
    if segment.ends and not segment.length:
        pause = ENDING_SEARCH_PAUSE
    elif balancer.lost_in_succession >= LOST_IN_SUCCESSION_MAX:
        pause = LOST_SEARCH_PAUSE
    return now - entry.touched_at > pause


def find_owner(
    balancer: BalancerState,
    route: Route,
    segment: Segment,
    now: float,
    tried: Iterable[Address] = (),
    gone: bool = False,
) -> list[Action]:
    """Ask the agents which one owns a flow, those of the zone first.

    The flow may be older than the routes, and at a target of a service that
    its route no longer names.

    :param segment: packet of the flow, which is forwarded to the owner
    :param tried: agents that are known not to own the flow
    :param gone: whether one of them has said that its target has lost it
    """
    known = balancer.flows.get(segment.flow)
    views = tuple(balancer.views.list_all())
    local = any(view.load.zone == balancer.zone for view in views)
    asks_all = len(views) <= ASKED_AT_ONCE_MAX or not local
    entry = FlowEntry(
        choose_service(route, segment.flow),
        FlowEntryState.SEARCHING,
        now,
        tried=set(tried),
        buffered=[segment],
        guessed=set() if known is None else known.guessed,
        gone=gone,
        asked_all=asks_all,
    )
    balancer.flows.store(segment.flow, entry)
    balancer.counts['owner_searches'] += 1
    scope = SearchScope.ALL if asks_all else SearchScope.LOCAL
    return _search(balancer, segment.flow, scope, now)


def widen_search(
    balancer: BalancerState, flow: bytes, entry: FlowEntry, now: float
) -> list[Action]:
    """Ask the agents of other zones when none of the zone claims a flow."""
    entry.asked_all = True
    return _search(balancer, flow, SearchScope.REMOTE, now)


def _search(
    balancer: BalancerState, flow: bytes, scope: SearchScope, now: float
) -> list[Action]:
    """Send a step of a search, or let it wait for the next batch."""
    searches = balancer.searches
    failing = balancer.lost_in_succession >= LOST_IN_SUCCESSION_MAX
    searches.interval = FAILING_SEARCH_INTERVAL if failing else SEARCH_INTERVAL
    at_once = searches.add(flow, scope, now)
    return send_searches(balancer, now) if at_once else []


def send_searches(balancer: BalancerState, now: float) -> list[Action]:
    """Send the searches that wait, and start the timers for their answers."""
    searches = []
    for flow, scope in balancer.searches.take(now).items():
        entry = balancer.flows.get(flow)
        if entry is None or entry.state is not FlowEntryState.SEARCHING:
            continue
        local = scope is SearchScope.LOCAL
        timeout = LOCAL_FIND_TIMEOUT if local else FIND_TIMEOUT
        entry.deadline_extended = False
        balancer.flows.start_timer(flow, entry, now + timeout)
        searches.append((flow, entry, scope))
    return build_questions(searches, balancer.views.list_all(), balancer.zone)


def handle_unowned_packet(
    balancer: BalancerState,
    sender: Address,
    message: UnownedPacket,
    now: float,
) -> list[Action]:
    """Handle a packet whose flow the agent that got it does not own."""
    balancer.counts['packets_strayed'] += 1
    segment = balancer.segment_format.read_caller(message.packet)
    route = balancer.table.find(message.flow) if balancer.table else None
    if segment is None or route is None:
        return []
    entry = balancer.flows.get(message.flow)
    log = Log(
        FLOW_OWNER_LOOKUP,
        {'flow': describe_flow(message.flow), 'agent': str(sender)},
    )
    if entry is not None and entry.state is FlowEntryState.SEARCHING:
        buffer_packet(entry, segment)
        return [log]
    if entry is not None and entry.agent == sender:
        entry.guessed.add(sender)
        entry.agent = _take_possible_owner(balancer, entry, sender)
    if entry is not None and entry.agent is not None:
        return [
            log,
            Send(
                entry.agent,
                ForwardedPacket(entry.service, segment.raw),
                segment.flow,
            ),
        ]
    if entry is None or entry.state is FlowEntryState.LOST:
        tried = {sender}
    else:
        tried = entry.tried | {sender}
    return [
        log,
        *find_owner(balancer, route, segment, now, tried, message.gone),
    ]


def handle_owner_reply(
    balancer: BalancerState, sender: Address, message: OwnerReply
) -> list[Action]:
    """Handle the answer of an agent that owns, or may own, a flow."""
    entry = balancer.flows.get(message.flow)
    if entry is None:
        return []
    late = entry.state is FlowEntryState.LOST and message.certain
    if entry.state is not FlowEntryState.SEARCHING and not late:
        return []
    if not message.certain:
        if _may_get_flow(balancer, message.flow, sender):
            entry.possible_owners.append(sender)
        return []
    balancer.lost_in_succession = 0
    entry.possible_owners.clear()
    entry.guessed.clear()
    buffered, entry.buffered = entry.buffered, []
    return _assign_owner(balancer, entry, sender, buffered)


def _may_get_flow(
    balancer: BalancerState, flow: bytes, agent: Address
) -> bool:
    """Tell whether an agent that does not know a flow may be tried for it.

    The flow's route must name, or have named, the agent's service. A flow that
    another agent has left here belongs to that agent, which is restarting.
    """
    if balancer.kept_flows.find_agent(flow) not in (None, agent):
        return False
    route = balancer.table.find(flow) if balancer.table else None
    service = balancer.views.find_service(agent, '')
    return route is not None and service in list_services(route)


def handle_flow_gone(
    balancer: BalancerState, message: FlowGone
) -> list[Action]:
    """Note that the target of the agent that owned a flow has lost it.

    The caller may have opened the flow again at another target, whose agent
    answers too.
    """
    entry = balancer.flows.get(message.flow)
    if entry is not None and entry.state is FlowEntryState.SEARCHING:
        entry.gone = True
    return []


def handle_flow_returned(
    balancer: BalancerState, sender: Address, message: FlowReturned
) -> list[Action]:
    """Note that a flow was tried at an agent whose target does not have it.

    Another balancer may have tried it there: the bound of such guesses holds
    for a flow, whichever balancers its packets reach.
    """
    entry = balancer.flows.get(message.flow)
    if entry is not None and entry.state is FlowEntryState.SEARCHING:
        entry.guessed.add(sender)
        entry.tried.add(sender)
    return []


def _assign_owner(
    balancer: BalancerState,
    entry: FlowEntry,
    agent: Address,
    packets: Iterable[Segment],
) -> list[Action]:
    entry.state = FlowEntryState.ASSIGNED
    entry.agent = agent
    entry.service = balancer.views.find_service(agent, entry.service)
    return [
        Send(agent, ForwardedPacket(entry.service, segment.raw), segment.flow)
        for segment in packets
    ]


def end_search(
    balancer: BalancerState, flow: bytes, entry: FlowEntry
) -> list[Action]:
    """End a search in which no agent has claimed the flow for certain."""
    owner = _take_possible_owner(balancer, entry, None)
    if owner is not None:
        # The caller repeats the others; a wrong guess then costs one packet.
        first, entry.buffered = entry.buffered[:1], []
        return _assign_owner(balancer, entry, owner, first)
    balancer.counts['owners_not_found'] += 1
    balancer.lost_in_succession += 1
    fields = {
        'flow': describe_flow(flow),
        'asked': sum(1 for _ in balancer.views.list_all()),
        'dropped': len(entry.buffered),
    }
    segment = entry.buffered[-1]
    if not entry.gone or segment.resets:
        entry.state = FlowEntryState.LOST
        entry.buffered.clear()
        return [Log(FLOW_LOST, fields)]
    balancer.flows.remove(flow)
    balancer.counts['flows_gone'] += 1
    return [
        Log(FLOW_GONE, fields),
        ResetCaller(flow, segment.acknowledged),
    ]


def _take_possible_owner(
    balancer: BalancerState, entry: FlowEntry, former: Address | None
) -> Address | None:
    """Return the next agent that may own a flow, or ``None``.

    The number of guesses is bounded unless all known agents may own the flow:
    then none of them has kept its flows, and the owner is likely among them.

    :param entry: the flow's entry
    :param former: agent that does not own the flow, if one was tried
    """
    if former is not None:
        entry.tried.add(former)
    possible = entry.tried.union(entry.possible_owners)
    limited = any(
        view.address not in possible for view in balancer.views.list_all()
    )
    while entry.possible_owners:
        agent = entry.possible_owners.pop(0)
        if agent in entry.tried:
            continue
        if limited and len(entry.guessed) >= GUESSES_MAX:
            return None
        entry.guessed.add(agent)
        return agent
    return None


def buffer_packet(entry: FlowEntry, segment: Segment) -> None:
    """Buffer a packet until the flow's owner is found; drop it when full."""
    if len(entry.buffered) < BUFFERED_PACKETS_MAX:
        entry.buffered.append(segment)

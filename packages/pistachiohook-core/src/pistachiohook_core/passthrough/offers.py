"""Offers of a balancer: a new flow is offered to agents until one opens it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import FLOW_ABANDONED
from ..events import FLOW_OFFERED
from ..events import FLOW_REFUSED
from .actions import Log
from .actions import ResetCaller
from .actions import Send
from .agent_views import AGENT_TIMEOUT
from .flow_table import FlowEntry
from .flow_table import FlowEntryState
from .messages import DeclineReason
from .messages import ForwardedPacket
from .messages import LateAccept
from .messages import Offer
from .messages import OfferAccepted
from .messages import OfferDeclined
from .messages import TargetState
from .messages import WithdrawOffer
from .placement import Choice
from .placement import find_wait_budget
from .placement import is_reporting
from .routes import choose_service
from .segments import describe_flow

if TYPE_CHECKING:
    from ..addresses import Address
    from .actions import Action
    from .balancer_state import BalancerState
    from .routes import Route
    from .segments import Segment

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

#: Age of a flow by the number of retransmissions of its opening packet, in
#: seconds.
RETRANSMISSION_AGES = (0.0, 0.2, 0.6)

#: Time after an opening packet in which its caller does not retransmit it, in
#: seconds, by the number of retransmissions so far. Each is shorter than the
#: caller's interval by a quarter of the shortest interval, for packets that
#: were read late.
RETRANSMISSION_GAPS = (0.15, 0.35, 0.75)


def receive_opening(
    balancer: BalancerState,
    route: Route,
    segment: Segment,
    arrived_at: float,
    now: float,
) -> list[Action]:
    """Handle a caller's packet that opens a flow.

    :param arrived_at: when the packet arrived; earlier than now when it was
        held until there were routes
    """
    entry = balancer.flows.get(segment.flow)
    retransmitted = segment.acknowledged > 0
    known = entry is not None and entry.state is not FlowEntryState.LOST
    if entry is not None and entry.opening is not None:
        # Its first opening packet may have reached another balancer.
        known = known and entry.opening.sequence == segment.sequence
    began_at = (
        arrived_at
        - RETRANSMISSION_AGES[
            min(segment.acknowledged, len(RETRANSMISSION_AGES) - 1)
        ]
    )
    if entry is None or not known or not retransmitted:
        service = choose_service(route, segment.flow)
        entry = FlowEntry(service, FlowEntryState.OFFERED, now, began_at)
    if entry.opening is None:
        # The age of a flow that was found by a search was not known.
        entry.began_at = began_at
    entry.opening = segment
    entry.opening_at = arrived_at
    entry.touched_at = now
    balancer.flows.store(segment.flow, entry)
    if entry.state is FlowEntryState.ASSIGNED and _is_live(
        balancer, entry, now
    ):
        assert entry.agent is not None
        return [Send(entry.agent, ForwardedPacket(entry.service, segment.raw))]
    if entry.state is FlowEntryState.OFFERED and entry.timer_id:
        return []
    if entry.state is FlowEntryState.REFUSED:
        return [ResetCaller(segment.flow)]
    entry.offers = 0
    return _offer(balancer, route, segment.flow, entry, now)


def _offer(
    balancer: BalancerState,
    route: Route,
    flow: bytes,
    entry: FlowEntry,
    now: float,
) -> list[Action]:
    """Offer a flow to the best agent, or refuse it when none is left.

    An agent whose offer has just timed out gets it again or is sent a
    withdrawal. Agents that have not answered older offers are not offered
    the flow.
    """
    assert entry.opening is not None
    previous = entry.agent if entry.agent in entry.unanswered else None
    choice = choose_next_agent(balancer, route, entry, previous, now)
    if choice is None and may_find_agent(balancer, route, entry, now):
        entry.agent = None
        balancer.flows.start_timer(flow, entry, now + OFFER_RETRY_DELAY)
        return []
    if choice is None and entry.unanswered and not entry.awaiting_withdrawals:
        # An agent may just have opened the flow; a reset would break it.
        entry.awaiting_withdrawals = True
        entry.agent = None
        balancer.flows.start_timer(flow, entry, now + OFFER_TIMEOUT)
        return (
            [] if previous is None else [Send(previous, WithdrawOffer(flow))]
        )
    if choice is None:
        return _close_opening(balancer, flow, entry, now)
    actions = _send_offer(balancer, route, flow, entry, choice, now)
    if previous is not None and previous != entry.agent:
        actions.append(Send(previous, WithdrawOffer(flow)))
    return actions


def _close_opening(
    balancer: BalancerState, flow: bytes, entry: FlowEntry, now: float
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
        return refuse(
            balancer, flow, 'no target accepts the flow', entry.offers
        )
    balancer.flows.remove(flow)
    balancer.counts['flows_left'] += 1
    fields = {'flow': describe_flow(flow), 'offers': entry.offers}
    return [Log(FLOW_ABANDONED, fields)]


def choose_next_agent(
    balancer: BalancerState,
    route: Route,
    entry: FlowEntry,
    previous: Address | None,
    now: float,
) -> Choice | None:
    """Return the agent that gets the next offer of a flow.

    :param previous: agent whose offer has just timed out, which may get the
        next one too
    :returns: the choice; ``None`` when no agent is left
    """
    view = balancer.views.find(entry.service, entry.late_acceptor)
    entry.late_acceptor = None
    if view is not None:
        return Choice(view, view.wait_ms, float('inf'))
    if entry.offers >= OFFERS_MAX:
        return None
    return balancer.choose_agent(
        balancer.views.list_service(entry.service),
        route,
        balancer.zone,
        entry.tried | (entry.unanswered - {previous}),
        balancer.random,
        now,
    )


def _send_offer(
    balancer: BalancerState,
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
    balancer.counts['offers'] += 1
    balancer.flows.start_timer(flow, entry, now + OFFER_TIMEOUT)
    age_ms = (now - entry.began_at) * 1000
    budget = find_wait_budget(route, age_ms)
    last = entry.offers == OFFERS_MAX
    rates = balancer.table.cold_rates if balancer.table else {}
    cold = rates.get(entry.service)
    offer = Offer(
        entry.service,
        budget if last else min(budget, choice.patience_ms),
        budget,
        route.target_latency_ms - age_ms,
        route.priority,
        entry.opening.raw,
        cold.per_second if cold else 0.0,
        cold.seconds if cold else 0.0,
    )
    return [
        Log(FLOW_OFFERED, _describe_offer(balancer, flow, entry, choice, now)),
        Send(agent, offer),
    ]


def may_find_agent(
    balancer: BalancerState, route: Route, entry: FlowEntry, now: float
) -> bool:
    """Tell whether an agent that can open the flow may report soon.

    This is so shortly after a restart of this balancer or of agents, or
    when the network to them recovers. A caller that is refused then may
    have no retries left when the targets are available again.
    """
    age_ms = (now - entry.began_at) * 1000
    if entry.offers or find_wait_budget(route, age_ms) <= 0:
        return False
    if now - balancer.started_at < AGENT_TIMEOUT:
        return True
    views = balancer.views.list_service(entry.service)
    return any(
        view.load.state is not TargetState.EVACUATED
        and (
            not is_reporting(view, balancer.zone, now)
            or view.load.state is TargetState.UNKNOWN
        )
        for view in views
    )


def _describe_offer(
    balancer: BalancerState,
    flow: bytes,
    entry: FlowEntry,
    choice: Choice,
    now: float,
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
        'version': balancer.table.version if balancer.table else 0,
    }


def time_out_offer(
    balancer: BalancerState, flow: bytes, entry: FlowEntry, now: float
) -> list[Action]:
    """Handle an offer that was not answered, or the end of another wait."""
    if entry.agent is not None:
        balancer.counts['offers_unanswered'] += 1
        view = balancer.views.find(entry.service, entry.agent)
        if view is not None:
            view.remove_offer(flow)
            view.suspect = True
        if entry.handshake_completed:
            # The target has accepted the flow; only the answer was lost.
            # Another target's acceptance would come too late.
            entry.state = FlowEntryState.ASSIGNED
            return []
        entry.unanswered.add(entry.agent)
    return _offer_again(balancer, flow, entry, now)


def _offer_again(
    balancer: BalancerState, flow: bytes, entry: FlowEntry, now: float
) -> list[Action]:
    route = balancer.table.find(flow) if balancer.table else None
    if route is None:
        balancer.flows.remove(flow)
        return refuse(balancer, flow, 'no route', entry.offers)
    return _offer(balancer, route, flow, entry, now)


def handle_offer_accepted(
    balancer: BalancerState,
    sender: Address,
    message: OfferAccepted,
    now: float,
) -> list[Action]:
    """Handle the answer of an agent that has accepted an offer."""
    balancer.views.record_load(sender, message.load, now, message.flow)
    entry = balancer.flows.get(message.flow)
    if entry is None or entry.state is not FlowEntryState.OFFERED:
        return []
    entry.state = FlowEntryState.ASSIGNED
    return _reassign(balancer, message.flow, entry, sender)


def handle_late_accept(
    balancer: BalancerState, sender: Address, message: LateAccept, now: float
) -> list[Action]:
    """Store whose target accepted a flow late; it gets the next offer."""
    entry = balancer.flows.get(message.flow)
    if entry is None or entry.opening is None:
        return []
    entry.late_acceptor = sender
    if not entry.awaiting_withdrawals:
        return []
    return _offer_again(balancer, message.flow, entry, now)


def _reassign(
    balancer: BalancerState, flow: bytes, entry: FlowEntry, agent: Address
) -> list[Action]:
    """Assign a flow to an agent and withdraw the offer to another one."""
    previous, entry.agent = entry.agent, agent
    if previous is None or previous == agent:
        return []
    view = balancer.views.find(entry.service, previous)
    if view is not None:
        view.remove_offer(flow)
    return [Send(previous, WithdrawOffer(flow))]


def handle_offer_declined(
    balancer: BalancerState,
    sender: Address,
    message: OfferDeclined,
    now: float,
) -> list[Action]:
    """Handle the answer of an agent that has declined an offer."""
    balancer.views.record_load(sender, message.load, now, message.flow)
    balancer.counts['offers_declined'] += 1
    entry = balancer.flows.get(message.flow)
    if entry is None or entry.opening is None:
        return []
    entry.unanswered.discard(sender)
    ended = entry.awaiting_withdrawals and not entry.unanswered
    if entry.agent != sender and not ended:
        return []
    if entry.state is FlowEntryState.SEARCHING:
        return []
    if entry.agent is not None and message.reason is not DeclineReason.BUSY:
        entry.tried.add(entry.agent)
    return _offer_again(balancer, message.flow, entry, now)


def refuse(
    balancer: BalancerState, flow: bytes, reason: str, offers: int
) -> list[Action]:
    """Tell the caller of a flow that has not been opened that it won't be."""
    balancer.counts['flows_refused'] += 1
    fields = {
        'flow': describe_flow(flow),
        'reason': reason,
        'offers': offers,
        'version': balancer.table.version if balancer.table else 0,
    }
    return [Log(FLOW_REFUSED, fields), ResetCaller(flow)]


def extend_deadline(entry: FlowEntry, lateness: float) -> bool:
    """Extend the timeout of an offer or a search once when it fired late.

    A balancer whose CPU quota is exhausted is paused, and the answer may
    have arrived without having been read. If it took its own pauses for
    missing answers, it would offer or search for each flow several times
    and exhaust its quota even sooner.

    :returns: whether the timeout is extended
    """
    offered = entry.state is FlowEntryState.OFFERED and entry.agent is not None
    waits = offered or entry.state is FlowEntryState.SEARCHING
    if not waits or entry.deadline_extended or lateness < LATENESS_MAX:
        return False
    entry.deadline_extended = True
    return True


def _is_live(balancer: BalancerState, entry: FlowEntry, now: float) -> bool:
    view = balancer.views.find(entry.service, entry.agent)
    return (
        view is not None
        and not view.suspect
        and is_reporting(view, balancer.zone, now)
    )

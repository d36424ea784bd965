"""Admission of new flows by an agent, and those that wait for its target."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..events import FLOW_DECLINED
from .actions import DeliverToTarget
from .actions import Log
from .actions import Send
from .agent_flows import drop_flow
from .agent_flows import forward_to_caller
from .agent_flows import OPENING_CHECK_INTERVAL
from .agent_state import AgentFlow
from .agent_state import AgentFlowState
from .agent_state import DeclinedFlow
from .agent_state import is_accepted
from .cold_starts import estimate_token_wait
from .messages import DeclineReason
from .messages import LateAccept
from .messages import Load
from .messages import OfferAccepted
from .messages import OfferDeclined
from .messages import TargetState
from .placement import COLD_SLOWDOWN
from .placement import estimate_wait
from .placement import WAIT_MAX_MS
from .queueing import choose_last
from .queueing import choose_next
from .queueing import count_ahead
from .queueing import count_more_urgent
from .queueing import order_urgent
from .queueing import WaitingFlow
from .segments import describe_flow

if TYPE_CHECKING:
    from ..addresses import Address
    from .actions import Action
    from .agent_state import AgentState
    from .messages import Offer
    from .messages import WithdrawOffer
    from .segments import Segment

#: Flows that are delivered to a target beyond its slots: one, so that its
#: handshake and request arrive while another flow is being answered. A target
#: queues few more and sheds the rest, whereas a flow that waits here can still
#: be opened elsewhere.
SPARE_FLOWS = 1

#: Share of the longest wait that the queue of an agent may need to drain. The
#: rest is for requests that take longer than the mean, so that admitted flows
#: are served and the others are refused at once.
QUEUE_SHARE = 0.75

#: Share of its time that a flow may be expected to wait for the allowance of
#: a cold target when it is offered. The rest is for more urgent flows that
#: arrive later, so that few flows wait and are declined nevertheless.
COLD_SHARE = 0.5

#: Shortest interval at which the allowance of a cold target is checked for
#: waiting flows, in seconds; rounding may leave a token just incomplete.
TOKEN_CHECK_INTERVAL = 0.001


def handle_offer(
    agent: AgentState, sender: Address, offer: Offer, now: float
) -> list[Action]:
    """Accept or decline a flow that a balancer offers."""
    segment = agent.segment_format.read_caller(offer.packet)
    if segment is None or not segment.opens:
        agent.counts['packets_malformed'] += 1
        return []
    known = agent.flows.get(segment.flow)
    if known is not None and not _may_be_replaced(known):
        known.balancer = sender
        if agent.evacuated and not is_accepted(known):
            return decline_unaccepted(agent, segment.flow, known, now)
        return _forward_retransmission(agent, segment, known, now)
    candidate = WaitingFlow(
        segment.flow,
        offer.priority,
        now,
        now + (offer.prompt_ms - agent.service_ms) / 1000,
        now + offer.budget_ms / 1000,
        offer.patience_ms if offer.patience_ms < offer.budget_ms else math.inf,
    )
    if offer.service == agent.service:
        agent.learn_cold_rate(offer.cold_rate, offer.cold_s, now)
    reason = _find_decline_reason(agent, offer, candidate, now)
    if reason is not None:
        return decline(agent, sender, segment.flow, reason, now)
    if known is not None:
        drop_flow(agent, segment.flow, known)
    flow = AgentFlow(
        AgentFlowState.WAITING, sender, now, now, opening=segment.raw
    )
    agent.flows[segment.flow] = flow
    agent.in_progress += 1
    agent.check_within(OPENING_CHECK_INTERVAL, now)
    declined = agent.declined.pop(segment.flow, None)
    flow.charged = declined is not None and declined.charged
    if declined is not None and declined.accept is not None:
        return _forward_late_accept(agent, declined.accept, flow, sender, now)
    agent.waiting[segment.flow] = candidate
    agent.counts['flows_offered'] += 1
    load = agent.describe_load(now)
    accepted = Send(sender, OfferAccepted(segment.flow, load))
    return [accepted, *_shed_excess(agent, load, now)]


def handle_withdraw_offer(
    agent: AgentState, sender: Address, message: WithdrawOffer, now: float
) -> list[Action]:
    """Drop an offered flow, unless the target has accepted it."""
    key = message.flow
    flow = agent.flows.get(key)
    pending = (AgentFlowState.WAITING, AgentFlowState.DELIVERED)
    if flow is not None and flow.state not in pending:
        return [Send(sender, OfferAccepted(key, agent.describe_load(now)))]
    # Another balancer may have offered the flow since; its offer stands.
    if flow is not None and flow.balancer == sender:
        if flow.state is AgentFlowState.DELIVERED:
            agent.declined[key] = DeclinedFlow(
                sender, now, charged=flow.charged
            )
        drop_flow(agent, key, flow)
    return decline(agent, sender, key, DeclineReason.WITHDRAWN, now)


def withhold_accept(agent: AgentState, segment: Segment) -> list[Action]:
    """Withhold a late acceptance from the caller and report it."""
    declined = agent.declined[segment.flow]
    if not segment.accepts:
        return []
    agent.counts['accepts_kept_back'] += 1
    declined.accept = segment
    return [Send(declined.balancer, LateAccept(segment.flow))]


def deliver_waiting(agent: AgentState, now: float) -> list[Action]:
    """Deliver waiting flows while the target has capacity.

    A target that got a burst of new flows at once would shed those beyond
    its own short queue.
    """
    bounded = bool(agent.waiting) and agent.is_bounded(now)
    actions = _shed_cold(agent, now) if bounded else []
    if agent.waiting and agent.find_stall(now):
        actions += _decline_stalled(agent, now)
    while agent.waiting and _has_capacity(agent):
        chosen = (
            order_urgent(agent.waiting.values(), now)[0]
            if bounded
            else choose_next(agent.waiting.values(), now)
        )
        assert chosen is not None
        flow = agent.flows[chosen.key]
        wait = _find_token_wait(agent, 0, now) if bounded else 0.0
        if wait and not flow.charged:
            agent.check_within(max(wait, TOKEN_CHECK_INTERVAL), now)
            break
        ended = decline_expired(agent, chosen.key, flow, now)
        if ended:
            actions += ended
            continue
        del agent.waiting[chosen.key]
        if bounded and not flow.charged:
            agent.charge_request(now)
            flow.charged = True
        flow.state = AgentFlowState.DELIVERED
        flow.touched_at = now
        actions.append(DeliverToTarget(flow.opening))
        flow.opening = b''
    return actions


def decline_expired(
    agent: AgentState, key: bytes, flow: AgentFlow, now: float
) -> list[Action]:
    """Decline a waiting flow that the target can't serve any more."""
    if agent.find_state(now) is not TargetState.READY:
        return _drop_and_decline(
            agent, key, flow, DeclineReason.NOT_READY, now
        )
    if now > agent.waiting[key].expires_at:
        return _drop_and_decline(
            agent, key, flow, DeclineReason.OVERLOADED, now
        )
    return []


def decline_waiting(agent: AgentState, now: float) -> list[Action]:
    """Decline all waiting flows because the target accepts no new ones."""
    return [
        action
        for key in tuple(agent.waiting)
        for action in decline_unaccepted(agent, key, agent.flows[key], now)
    ]


def decline_unaccepted(
    agent: AgentState, key: bytes, flow: AgentFlow, now: float
) -> list[Action]:
    """Decline a flow that the target has not accepted, as it is not ready.

    A flow that has ended is kept for the packets that its ends retransmit.
    """
    assert flow.balancer is not None
    reason = DeclineReason.NOT_READY
    if flow.state is AgentFlowState.ENDED:
        return decline(agent, flow.balancer, key, reason, now)
    if flow.state is AgentFlowState.DELIVERED:
        agent.declined[key] = DeclinedFlow(flow.balancer, now)
    return _drop_and_decline(agent, key, flow, reason, now)


def time_out_accept(
    agent: AgentState, key: bytes, flow: AgentFlow, now: float
) -> list[Action]:
    """Decline a flow that the target has not accepted in time."""
    agent.record_unanswered(now)
    assert flow.balancer is not None
    agent.declined[key] = DeclinedFlow(
        flow.balancer, now, charged=flow.charged
    )
    return _drop_and_decline(agent, key, flow, DeclineReason.UNANSWERED, now)


def decline(
    agent: AgentState,
    balancer: Address,
    flow: bytes,
    reason: DeclineReason,
    now: float,
) -> list[Action]:
    """Tell a balancer that its flow won't be opened here."""
    agent.counts['flows_declined'] += 1
    fields = {
        'flow': describe_flow(flow),
        'reason': reason.value,
        'flows': agent.in_progress,
        'slots': agent.slots,
    }
    declined = OfferDeclined(flow, reason, agent.describe_load(now))
    return [Log(FLOW_DECLINED, fields), Send(balancer, declined)]


def _may_be_replaced(flow: AgentFlow) -> bool:
    """Tell whether an offer is of another flow at the ports of a known one.

    A target that has restarted has most likely lost the flows that were open,
    and one whose agent has restarted may have ended them. As a retransmission,
    the opening packet would be delivered even if the offer was withdrawn.
    """
    lost = flow.state is AgentFlowState.OPEN and flow.doubtful
    return lost or flow.state is AgentFlowState.ENDED


def _find_decline_reason(
    agent: AgentState, offer: Offer, candidate: WaitingFlow, now: float
) -> DeclineReason | None:
    if offer.service != agent.service:
        return DeclineReason.WRONG_SERVICE
    if agent.find_state(now) is not TargetState.READY:
        return DeclineReason.NOT_READY
    ahead = agent.delivered
    ahead += count_ahead(agent.waiting.values(), candidate, now)
    load = agent.describe_load(now)
    if estimate_wait(load, ahead) > candidate.patience_ms:
        return DeclineReason.BUSY
    wait = estimate_wait(_ignore_stall(agent, load, now), ahead)
    if agent.is_bounded(now) and not _is_charged(agent, candidate.key):
        urgent = count_more_urgent(agent.waiting.values(), candidate, now)
        token_wait = _find_token_wait(agent, urgent, now)
        longest = _find_token_patience(agent, candidate, now) * COLD_SHARE
        if token_wait > max(0.0, longest):
            agent.counts['cold_flows_declined'] += 1
            return DeclineReason.OVERLOADED
        wait = max(wait, token_wait * 1000)
    if wait > offer.budget_ms:
        return DeclineReason.OVERLOADED
    if wait > offer.patience_ms:
        return DeclineReason.BUSY
    return None


def _forward_late_accept(
    agent: AgentState,
    accept: Segment,
    flow: AgentFlow,
    sender: Address,
    now: float,
) -> list[Action]:
    """Open a newly offered flow that the target has already accepted."""
    flow.state = AgentFlowState.DELIVERED
    accepted = OfferAccepted(accept.flow, agent.describe_load(now))
    return [
        Send(sender, accepted),
        forward_to_caller(agent, accept, flow, now),
    ]


def _forward_retransmission(
    agent: AgentState, segment: Segment, flow: AgentFlow, now: float
) -> list[Action]:
    """Deliver an opening packet that the caller has retransmitted."""
    assert flow.balancer is not None
    accepted = Send(
        flow.balancer, OfferAccepted(segment.flow, agent.describe_load(now))
    )
    if flow.state is AgentFlowState.WAITING:
        return [accepted]
    return [DeliverToTarget(segment.raw), accepted]


def _shed_excess(agent: AgentState, load: Load, now: float) -> list[Action]:
    """Decline one waiting flow when the queue can't be served in time."""
    drain_ms = estimate_wait(_ignore_stall(agent, load, now), load.flows)
    if drain_ms <= WAIT_MAX_MS * QUEUE_SHARE:
        return []
    last = choose_last(agent.waiting.values(), now)
    if last is None:
        return []
    flow = agent.flows[last.key]
    return _drop_and_decline(
        agent, last.key, flow, DeclineReason.OVERLOADED, now
    )


def _ignore_stall(agent: AgentState, load: Load, now: float) -> Load:
    """Return the load as if the target did not hang.

    It may answer at any time. If flows were refused because of a time that it
    has hung so far, none would be left to serve when all targets hang.
    """
    if not agent.find_stall(now):
        return load
    return attrs.evolve(
        load, service_ms=agent.service_ms, limit=agent.capacity.limit
    )


def _decline_stalled(agent: AgentState, now: float) -> list[Action]:
    """Decline the flows that wait for a target that hangs.

    These are the ones that their balancers would rather have offered to
    another agent. The others wait on, since the target may recover.
    """
    load = agent.describe_load(now)
    actions: list[Action] = []
    kept = agent.delivered
    for waiting in sorted(agent.waiting.values(), key=_find_arrival):
        waited_ms = (now - waiting.arrived_at) * 1000
        wait = waited_ms + estimate_wait(load, kept)
        if wait <= waiting.patience_ms:
            kept += 1
            continue
        agent.counts['stalled_flows_declined'] += 1
        flow = agent.flows[waiting.key]
        actions += _drop_and_decline(
            agent, waiting.key, flow, DeclineReason.BUSY, now
        )
    return actions


def _find_arrival(flow: WaitingFlow) -> float:
    return flow.arrived_at


def _drop_and_decline(
    agent: AgentState,
    key: bytes,
    flow: AgentFlow,
    reason: DeclineReason,
    now: float,
) -> list[Action]:
    drop_flow(agent, key, flow)
    assert flow.balancer is not None
    return decline(agent, flow.balancer, key, reason, now)


def _shed_cold(agent: AgentState, now: float) -> list[Action]:
    """Decline the flows that a cold target can't take in time.

    The allowance may shrink while they wait: more urgent flows arrive, and
    requests on open flows are charged to it.
    """
    actions: list[Action] = []
    kept = 0
    for waiting in order_urgent(agent.waiting.values(), now):
        flow = agent.flows[waiting.key]
        if flow.charged:
            continue
        token_wait = _find_token_wait(agent, kept, now)
        longest = _find_token_patience(agent, waiting, now)
        if token_wait <= max(0.0, longest):
            kept += 1
            continue
        agent.counts['cold_flows_declined'] += 1
        actions += _drop_and_decline(
            agent, waiting.key, flow, DeclineReason.OVERLOADED, now
        )
    return actions


def _find_token_wait(agent: AgentState, ahead: int, now: float) -> float:
    return estimate_token_wait(agent.allowance, ahead + 1, now)


def _find_token_patience(
    agent: AgentState, flow: WaitingFlow, now: float
) -> float:
    """Return how long a flow may wait for its target's allowance, in seconds.

    It must leave time for a prompt answer: for two round trips, which are the
    handshake and the ways of the opening packet and of the answer, and for the
    target's slowness. The time of a warm target is part of ``prompt_until``.
    """
    slower_s = (COLD_SLOWDOWN - 1) * agent.service_ms / 1000
    return flow.prompt_until - now - slower_s - 2 * agent.handshake_time


def _is_charged(agent: AgentState, key: bytes) -> bool:
    """Tell whether an earlier opening packet of a flow was charged."""
    return key in agent.declined and agent.declined[key].charged


def _has_capacity(agent: AgentState) -> bool:
    return (
        agent.delivered < (agent.capacity.limit or agent.slots) + SPARE_FLOWS
    )

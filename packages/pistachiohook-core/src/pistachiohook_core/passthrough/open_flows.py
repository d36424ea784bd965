"""Flows that an agent's target has accepted: packets, requests, the end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import FLOW_ENDED
from ..events import FLOW_OPENED
from ..events import TARGET_LIMIT_CHANGED
from .actions import DeliverToTarget
from .actions import Log
from .actions import Send
from .admission import decline
from .admission import decline_unaccepted
from .agent_flows import become_idle
from .agent_flows import begin_request
from .agent_flows import CHECK_INTERVAL
from .agent_flows import drop_flow
from .agent_flows import HANDSHAKE_MULTIPLE
from .agent_flows import is_gone
from .agent_flows import is_open_elsewhere
from .agent_flows import may_be_earlier
from .agent_flows import note_gone
from .agent_flows import note_returned
from .agent_flows import OPENING_CHECK_INTERVAL
from .agent_flows import set_counted
from .agent_flows import was_returned
from .agent_state import AgentFlow
from .agent_state import AgentFlowState
from .agent_state import is_accepted
from .kept_flows import pack_flows
from .messages import DeclineReason
from .messages import FlowGone
from .messages import FlowReturned
from .messages import LoadReport
from .messages import OwnerReply
from .messages import UnownedPacket
from .segments import describe_flow

if TYPE_CHECKING:
    from ..addresses import Address
    from .actions import Action
    from .agent_state import AgentState
    from .messages import FindOwner
    from .messages import ForwardedPacket
    from .messages import KeptFlows
    from .segments import Segment

#: Weight of a new measurement in an exponential moving average.
MEAN_WEIGHT = 0.1


def handle_forwarded_packet(
    agent: AgentState, sender: Address, message: ForwardedPacket, now: float
) -> list[Action]:
    """Handle a caller's packet that a balancer has forwarded."""
    segment = agent.segment_format.read_caller(message.packet)
    if segment is None:
        agent.counts['packets_malformed'] += 1
        return []
    flow = agent.flows.get(segment.flow)
    if message.service != agent.service:
        flow = None
    elif (
        flow is None
        and not segment.opens
        and not is_gone(agent, segment.flow, segment.acknowledged)
        and not was_returned(agent, segment.flow, segment.acknowledged)
        and agent.may_own_earlier_flows(now)
    ):
        flow = adopt_flow(agent, segment.flow, sender, now)
    elif (
        flow is not None
        and not segment.opens
        # A caller's reset may come without an acknowledgement number.
        and not (segment.resets and flow.state is AgentFlowState.OPEN)
        and is_open_elsewhere(flow, segment.acknowledged)
    ):
        # The packet may also be a late one of an earlier flow.
        if flow.state is not AgentFlowState.OPEN:
            drop_flow(agent, segment.flow, flow)
        flow = None
    if flow is None:
        return _return_unowned(agent, sender, segment, now)
    return _forward_packet(agent, sender, segment, flow, now)


def handle_find_owner(
    agent: AgentState, sender: Address, message: FindOwner, now: float
) -> list[Action]:
    """Answer a balancer that searches for the owner of a flow."""
    if message.service != agent.service:
        return []
    flow = agent.flows.get(message.flow)
    if flow is not None and not is_open_elsewhere(flow, message.acknowledged):
        certain = not may_be_earlier(flow, message.acknowledged)
        return [Send(sender, OwnerReply(message.flow, certain))]
    if is_gone(agent, message.flow, message.acknowledged):
        return [Send(sender, FlowGone(message.flow))]
    if flow is not None:
        return []
    if was_returned(agent, message.flow, message.acknowledged):
        return [Send(sender, FlowReturned(message.flow))]
    if not agent.may_own_earlier_flows(now):
        return []
    return [Send(sender, OwnerReply(message.flow, False))]


def leave_flows(
    agent: AgentState, own: Address, holders: tuple[Address, ...], now: float
) -> list[Action]:
    """Return the messages that leave the open flows with balancers."""
    states = {flow.state for flow in agent.flows.values()}
    settled = states <= {AgentFlowState.OPEN, AgentFlowState.ENDED}
    flows = tuple(
        (key, flow.sequence)
        for key, flow in agent.flows.items()
        if flow.state is AgentFlowState.OPEN
    )
    complete = settled and not agent.may_own_earlier_flows(now)
    return pack_flows(
        own, agent.service, agent.started, flows, complete, holders
    )


def recover_flows(
    agent: AgentState, message: KeptFlows, now: float
) -> list[Action]:
    """Take over flows of the former process of this agent.

    When the target has lost some, it returns their next packet.
    """
    if message.service != agent.service or message.started == agent.started:
        return []
    for key, sequence in message.flows:
        if key not in agent.flows:
            adopt_flow(agent, key, None, now).sequence = sequence
    agent.recovered_parts.add(message.part)
    if message.complete and len(agent.recovered_parts) == message.parts:
        agent.recovered = True
    return []


def handle_returned_packet(
    agent: AgentState, segment: Segment, now: float
) -> list[Action]:
    """Return to the balancer a packet that the target has returned."""
    agent.counts['packets_given_back'] += 1
    flow = agent.flows.get(segment.flow)
    if flow is None:
        return []
    balancer = flow.balancer
    note_gone(agent, segment.flow, flow, now)
    note_returned(agent, segment, flow, now)
    drop_flow(agent, segment.flow, flow)
    if balancer is None:
        return []
    if segment.opens:
        reason = DeclineReason.RETURNED
        return decline(agent, balancer, segment.flow, reason, now)
    packet = agent.segment_format.restore(segment.raw)
    gone = is_gone(agent, segment.flow, segment.acknowledged)
    return [Send(balancer, UnownedPacket(segment.flow, packet, gone))]


def record_answer(
    agent: AgentState, segment: Segment, flow: AgentFlow, now: float
) -> list[Action]:
    """Free the slot of a request whose answer begins."""
    if segment.length:
        if agent.find_stall(now):
            agent.stalled_until = now
        agent.progress_at = now
    elapsed = flow.activity.record_target_data(segment, now)
    if elapsed is None:
        return []
    actions = _learn_capacity(agent, flow, elapsed, now)
    if flow.state is AgentFlowState.ENDED:
        return actions
    become_idle(agent, segment.flow, flow)
    return actions + _report_free_slot(agent, flow, now)


def adopt_flow(
    agent: AgentState, key: bytes, balancer: Address | None, now: float
) -> AgentFlow:
    """Add a flow that the target may have opened before this start."""
    flow = AgentFlow(AgentFlowState.OPEN, balancer, now, now, counted=False)
    flow.doubtful = True
    agent.flows[key] = flow
    become_idle(agent, key, flow)
    agent.check_within(CHECK_INTERVAL, now)
    agent.counts['flows_adopted'] += 1
    return flow


def end_flow(
    agent: AgentState, key: bytes, flow: AgentFlow, now: float
) -> list[Action]:
    """Note that the caller or the target has ended a flow."""
    if flow.state is AgentFlowState.ENDED:
        return []
    occupied = flow.counted
    set_counted(agent, flow, False)
    flow.state = AgentFlowState.ENDED
    activity = flow.activity
    fields = {
        'flow': describe_flow(key),
        'requests': activity.requests,
        'served_ms': round(activity.busy * 1000, 1),
        'unanswered': activity.busy_since is not None,
        'age_ms': round((now - flow.began_at) * 1000, 1),
        'flows': agent.in_progress,
    }
    log = Log(FLOW_ENDED, fields)
    return [log, *(_report_free_slot(agent, flow, now) if occupied else ())]


def _forward_packet(
    agent: AgentState,
    sender: Address,
    segment: Segment,
    flow: AgentFlow,
    now: float,
) -> list[Action]:
    flow.balancer = sender
    if segment.opens and flow.state is AgentFlowState.ENDED:
        # Its caller uses its port again: the balancer is to offer the flow.
        return decline(agent, sender, segment.flow, DeclineReason.BUSY, now)
    if agent.evacuated and segment.opens and not is_accepted(flow):
        return decline_unaccepted(agent, segment.flow, flow, now)
    if flow.state is AgentFlowState.WAITING:
        return []
    actions: list[Action] = [DeliverToTarget(segment.raw)]
    if segment.opens:
        return actions
    flow.touched_at = now
    if flow.state is AgentFlowState.ACCEPTED:
        _record_handshake(agent, now - flow.accepted_at)
        set_counted(agent, flow, True)
        agent.check_within(OPENING_CHECK_INTERVAL, now)
        flow.state = AgentFlowState.OPEN
        agent.counts['flows_opened'] += 1
        opening_ms = round((now - flow.began_at) * 1000, 1)
        fields = {
            'flow': describe_flow(segment.flow),
            'opening_ms': opening_ms,
            'flows': agent.in_progress,
        }
        actions.append(Log(FLOW_OPENED, fields))
    if flow.state is AgentFlowState.OPEN:
        _record_request(agent, segment, flow, now)
    if segment.ends or segment.resets:
        actions += end_flow(agent, segment.flow, flow, now)
    return actions


def _learn_capacity(
    agent: AgentState, flow: AgentFlow, elapsed: float, now: float
) -> list[Action]:
    """Learn from the response time of a request.

    A target that hangs or is cold shows nothing about its concurrency.
    """
    capacity = agent.capacity
    concurrency = flow.activity.concurrency
    limit = agent.find_limit()
    alone_ms = elapsed * 1000 / max(1.0, concurrency / limit)
    longest = agent.find_usual_time()
    usual = elapsed <= longest
    if now - elapsed < agent.stalled_until:
        # The time that the target has hung was reported meanwhile. As its
        # service time, it would have flows refused after the recovery.
        alone_ms = min(alone_ms, longest * 1000)
    capacity.record_response(alone_ms, now)
    if not usual or agent.find_cold_time(now) > 0:
        return []
    if not capacity.learn_limit(concurrency, alone_ms, agent.slots, now):
        return []
    agent.counts['limit_changes'] += 1
    fields = {
        'limit': capacity.limit,
        'before': limit,
        'slots': agent.slots,
        'reason': capacity.reason.value,
        'service_ms': round(capacity.service_ms, 1),
    }
    return [Log(TARGET_LIMIT_CHANGED, fields)]


def _charge_request(agent: AgentState, flow: AgentFlow, now: float) -> None:
    """Charge a request to a cold target, unless its flow was charged."""
    if not flow.charged:
        agent.charge_request(now)
    flow.charged = False


def _record_handshake(agent: AgentState, elapsed: float) -> None:
    """Record the time from a target's acceptance to the caller's next packet.

    Longer times count as the bound from which a half-open flow is not in
    progress: mostly a packet was lost, and a few of those would multiply the
    mean and let half-open flows occupy slots for as long.
    """
    elapsed = min(elapsed, agent.handshake_time * HANDSHAKE_MULTIPLE)
    agent.handshake_time += (elapsed - agent.handshake_time) * MEAN_WEIGHT


def _return_unowned(
    agent: AgentState, sender: Address, segment: Segment, now: float
) -> list[Action]:
    agent.counts['packets_sent_back'] += 1
    if segment.opens:
        reason = DeclineReason.NOT_READY
        return decline(agent, sender, segment.flow, reason, now)
    gone = is_gone(agent, segment.flow, segment.acknowledged)
    return [Send(sender, UnownedPacket(segment.flow, segment.raw, gone))]


def _record_request(
    agent: AgentState, segment: Segment, flow: AgentFlow, now: float
) -> None:
    """Occupy a slot for a request that has arrived without a gap."""
    activity = flow.activity
    begins = activity.record_caller_data(segment, now)
    if activity.busy_since is None:
        return
    if begins:
        _charge_request(agent, flow, now)
    if begins and flow.expected_on:
        agent.request_rates.record_request(flow.expected_on, now)
    occupies = not activity.is_incomplete
    if flow.counted == occupies and not begins:
        return
    set_counted(agent, flow, occupies)
    if occupies:
        begin_request(agent, flow, now)
    activity.concurrency = agent.delivered


def _report_free_slot(
    agent: AgentState, flow: AgentFlow, now: float
) -> list[Action]:
    """Report the load to the balancer of a flow that has freed a slot.

    At a load peak, a free slot is filled sooner than the next regular
    report is due. Without this report, balancers would overload one target
    while slots of others stay unused.
    """
    if flow.balancer is None:
        return []
    return [Send(flow.balancer, LoadReport(agent.describe_load(now)))]

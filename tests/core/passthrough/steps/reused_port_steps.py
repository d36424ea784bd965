"""Steps on callers that use the port of an earlier flow again."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
from measure_steps import answer
from measure_steps import BALANCER
from measure_steps import find_flow
from measure_steps import open_flow
from measure_steps import send
from measure_steps import TARGET_START
from mesh import ACCEPTS
from mesh import encode
from mesh import ENDS
from mesh import OPENS
from mesh import RETURNED
from mesh import SEGMENT_FORMAT
from pistachiohook_core.passthrough.actions import DeliverToCaller
from pistachiohook_core.passthrough.actions import DeliverToTarget
from pistachiohook_core.passthrough.agent import Agent
from pistachiohook_core.passthrough.agent_state import TargetAnnouncement
from pistachiohook_core.passthrough.messages import FlowReturned
from pistachiohook_core.passthrough.messages import ForwardedPacket
from pistachiohook_core.passthrough.messages import KeptFlows
from pistachiohook_core.passthrough.messages import Offer
from pistachiohook_core.passthrough.messages import WithdrawOffer
from pistachiohook_core.passthrough.open_flows import adopt_flow

#: Acknowledgement number of a flow at another target.
OTHER = TARGET_START + (1 << 28)


def contains(actions, kind):
    return any(isinstance(action, kind) for action in actions)


@when('a flow is open at its target')
def open_at_target(context):
    open_flow(context.agent, 0, 0.05)


@when('a late packet of an earlier flow arrives')
def send_late_packet(context):
    message = ForwardedPacket('s', encode(find_flow(0), 0, 8, OTHER, 10))
    context.actions = context.agent.receive_message(BALANCER, message, 1.0)


@then('the target does not get it')
def check_not_delivered(context):
    assert not contains(context.actions, DeliverToTarget), context.actions


@when('the target has sent data, and accepts another flow of the port')
def accept_another(context):
    agent = context.agent
    send(agent, 0, 0.1, 8, 10)
    answer(agent, 0, 0.2)
    accept = encode(find_flow(0), ACCEPTS, OTHER - 1, 18)
    agent.receive_packet(accept, 1.0)
    packet = encode(find_flow(0), 0, 18, OTHER, 0)
    agent.receive_message(BALANCER, ForwardedPacket('s', packet), 1.1)


@when('the flow has ended, and "{name}" has {how} it, and its target leaves')
def leave_after_end(context, name, how):
    mesh = context.mesh
    mesh.run(0.2)
    assert context.flow.outcome == 'answered', context.flow
    if how == 'found':
        context.flow.balancer = name
        mesh.send_subsequent(context.flow, ENDS, 0)
        mesh.run(0.2)
    entry = mesh.balancers[name].flows.get(context.flow.flow)
    assert entry.agent == mesh.address(context.owner), entry
    mesh.announce(context.owner, leaving=True)
    mesh.run(4)


@when(
    'the caller uses its port again, and its repeated opening packet reaches'
    ' "{name}"'
)
def reopen(context, name):
    mesh = context.mesh
    context.opened = {one: mesh.targets[one].opened for one in mesh.targets}
    for target in mesh.targets.values():
        target.flows.clear()
    context.flow.balancer = name
    packet = encode(context.flow.flow, OPENS, 70_000, 1)
    mesh.send_to_balancer(context.flow, packet)
    mesh.run(0.1)


@then('the other target has accepted the flow')
def check_opened_elsewhere(context):
    for name, target in context.mesh.targets.items():
        new = target.opened - context.opened[name]
        assert new == (name != context.owner), (name, new)


@given('another agent has adopted an earlier flow of its port')
def adopt_earlier(context):
    mesh = context.mesh
    other = next(name for name in mesh.agents if name != context.owner)
    adopt_flow(mesh.agents[other], context.flow.flow, None, mesh.now)


@given('an agent that has started after its target')
def build_later(context):
    agent = context.agent = Agent('s', 'x', SEGMENT_FORMAT, 5000, 0.0)
    announcement = TargetAnnouncement('t', 1, 1, 1, False, 0.0)
    agent.receive_announcement(announcement, 0.0)


def return_packet(context):
    packet = encode(find_flow(0), 0, 8, OTHER, 10)
    message = ForwardedPacket('s', packet)
    context.agent.receive_message(BALANCER, message, 1.0)
    returned = encode(find_flow(0), RETURNED, 8, OTHER, 10)
    context.agent.receive_packet(returned, 1.0)


@when('the target returns a packet of the port of a flow that {what}')
def return_other_packet(context, what):
    agent = context.agent
    if what == 'has ended':
        answer(agent, 0, 0.5, flags=ENDS)
    else:
        return_kept(context)
    return_packet(context)


@when('a balancer returns a flow that it had kept')
def return_kept(context):
    flows = ((find_flow(0), TARGET_START),)
    kept = KeptFlows(BALANCER, 's', 1, 0, 1, flows, False, ())
    context.agent.receive_message(BALANCER, kept, 0.5)


@then('its claim is {how}')
def check_certainty(context, how):
    [reply] = context.replies
    assert reply.message.certain == (how == 'certain'), reply


@when('the target returns a packet of the port and restarts')
def return_and_restart(context):
    return_packet(context)
    announcement = TargetAnnouncement('t', 6000, 1, 1, False, 0.0)
    context.agent.receive_announcement(announcement, 2.0)


@then('the agent answers that the packet was returned')
def check_returned(context):
    messages = [action.message for action in context.replies]
    assert messages == [FlowReturned(find_flow(0))], messages


@when('a flow of the port is offered and withdrawn')
def withdraw_offer(context):
    agent = context.agent
    opening = encode(find_flow(0), OPENS, 70_000)
    offer = Offer('s', 1000.0, 1000.0, 300.0, 1, opening)
    agent.receive_message(BALANCER, offer, 4.0)
    agent.receive_message(BALANCER, WithdrawOffer(find_flow(0)), 4.0)
    accept = encode(find_flow(0), ACCEPTS, OTHER, 70_001)
    context.actions = agent.receive_packet(accept, 4.0)


@when('the target restarts, and a flow of the port is offered and withdrawn')
def withdraw_after_restart(context):
    announcement = TargetAnnouncement('t', 3000, 1, 1, False, 0.0)
    context.agent.receive_announcement(announcement, 3.0)
    withdraw_offer(context)


@then("the caller does not get the target's acceptance")
def check_withheld(context):
    assert not contains(context.actions, DeliverToCaller), context.actions

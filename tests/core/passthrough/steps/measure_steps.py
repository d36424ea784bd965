"""Steps on what an agent measures of its target and its flows."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
from mesh import ACCEPTS
from mesh import encode
from mesh import ENDS
from mesh import ENTRY_NUMBER
from mesh import OPENS
from mesh import SEGMENT_FORMAT
from pistachiohook_core.addresses import Address
from pistachiohook_core.passthrough.agent import Agent
from pistachiohook_core.passthrough.agent_state import TargetAnnouncement
from pistachiohook_core.passthrough.messages import FindOwner
from pistachiohook_core.passthrough.messages import ForwardedPacket
from pistachiohook_core.passthrough.messages import Offer
from pistachiohook_core.passthrough.segments import make_flow

BALANCER = Address('b0', 1)
#: Sequence numbers of the first byte of a caller and of a target.
CALLER_START, TARGET_START = 8, 1001


def build_agent(context, slots=1):
    agent = context.agent = Agent('s', 'x', SEGMENT_FORMAT, 1, 0.0)
    agent.receive_announcement(
        TargetAnnouncement('t', 1, 1, slots, False, 0.0), 0.0
    )
    return agent


def find_flow(port):
    return make_flow(1, port, ENTRY_NUMBER, 443)


def open_flow(agent, port, now, handshake=0.001):
    """Open a flow; its caller answers the acceptance after a time."""
    flow = find_flow(port)
    offer = Offer('s', 1000.0, 1000.0, 300.0, 1, encode(flow, OPENS, 7))
    agent.receive_message(BALANCER, offer, now)
    accept = encode(flow, ACCEPTS, TARGET_START - 1, CALLER_START)
    agent.receive_packet(accept, now)
    if handshake < float('inf'):
        send(agent, port, now + handshake, CALLER_START, 0)


def send(agent, port, now, sequence, length):
    packet = encode(find_flow(port), 0, sequence, TARGET_START, length)
    agent.receive_message(BALANCER, ForwardedPacket('s', packet), now)


def answer(agent, port, now, sequence=TARGET_START, length=100, flags=0):
    packet = encode(find_flow(port), flags, sequence, 0, length)
    return agent.receive_packet(packet, now)


@given('an agent with {count:d} idle open flows on a route')
def build_with_flows(context, count):
    agent = build_agent(context)
    for port in range(count):
        open_flow(agent, port, 0.0)
        send(agent, port, 0.001, CALLER_START, 10)
        answer(agent, port, 0.031)
    agent.expire(0.5)
    agent.describe_load(0.5)
    context.count = count


@when(
    'half of them begin a request of {work:d} ms after {pause:g} s, and the'
    ' others none within {length:g} s'
)
def use_half(context, work, pause, length):
    agent = context.agent
    for port in range(context.count // 2):
        begin = 0.5 + pause + port * 0.05
        send(agent, port, begin, CALLER_START + 10, 10)
        answer(agent, port, begin + work / 1000, TARGET_START + 100)
    context.load = agent.describe_load(0.5 + length)


@then('the flows are expected to have at most {most:g} requests in progress')
def check_expected(context, most):
    assert 0 < context.load.expected <= most, context.load


@given('an agent with one slot')
def build_single(context):
    build_agent(context)


def send_upload(agent, port, begin):
    """Send an upload of three packets without the first one."""
    open_flow(agent, port, begin)
    for packet in (1, 2):
        sequence = CALLER_START + packet * 1200
        send(agent, port, begin + 0.001, sequence, 1200)


@when('the first packet of an upload is lost')
def lose_packet(context):
    send_upload(context.agent, 0, 0.0)


@when('it is repeated {late:d} ms later')
def repeat_packet(context, late):
    send(context.agent, 0, late / 1000, CALLER_START, 1200)


@then('no flow is in progress')
def check_none(context):
    assert context.agent.in_progress == 0


@then('1 flow is in progress')
def check_one(context):
    assert context.agent.in_progress == 1


@when(
    '{count:d} such uploads are answered {work:d} ms after their last packet'
)
def answer_uploads(context, count, work):
    agent = context.agent
    answer(agent, 0, 0.4 + work / 1000)
    for port in range(1, count):
        send_upload(agent, port, port)
        send(agent, port, port + 0.4, CALLER_START, 1200)
        answer(agent, port, port + 0.4 + work / 1000)
    context.load = agent.describe_load(count)


@then(
    'the service time is between {least:d} and {most:d} ms, and no flow is in'
    ' progress'
)
def check_service_time(context, least, most):
    assert least <= context.load.service_ms <= most, context.load
    assert context.load.flows == 0


@when(
    '{count:d} callers answer the acceptance after {usual:d} ms, and each'
    ' tenth of them after {rare:d} ms'
)
def answer_acceptances(context, count, usual, rare):
    for port in range(count):
        handshake = (rare if port % 10 == 0 else usual) / 1000
        open_flow(context.agent, port, port * 2.0, handshake)
        context.agent.expire(port * 2.0 + 1.9)


@then('a half-open flow is no longer in progress after {bound:d} ms')
def check_half_open(context, bound):
    agent = context.agent
    begin = 1000.0
    open_flow(agent, 60_000, begin, float('inf'))
    assert agent.in_progress == 1
    agent.expire(begin + bound / 1000)
    assert agent.in_progress == 0


@when('a flow has ended at its target')
def end_at_target(context):
    open_flow(context.agent, 0, 0.0)
    answer(context.agent, 0, 0.1, flags=ENDS)


@when(
    'a balancer asks for the owner of a packet that acknowledges data of'
    ' {whose} target'
)
def ask_for_owner(context, whose):
    acknowledged = TARGET_START + (100 if whose == 'its' else 1 << 28)
    message = FindOwner('s', find_flow(0), acknowledged)
    context.replies = context.agent.receive_message(BALANCER, message, 8.0)


@then('the agent {claims} the flow')
def check_claim(context, claims):
    assert bool(context.replies) == (claims == 'claims'), context.replies

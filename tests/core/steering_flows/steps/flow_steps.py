"""Steps about flows during changes of targets and balancers."""

from __future__ import annotations

import itertools

import attrs
from behave import given
from behave import then
from behave import when
from hypothesis.stateful import run_state_machine_as_test
from machine import SETTINGS
from machine import SteeringMachine
from mesh import DATAGRAM
from mesh import make_flow
from mesh import Mesh
from mesh import NUMBERS
from mesh import OPENING
from mesh import SERVICES
from pistachiohook_core.published import Balancer
from pistachiohook_core.steering.buckets import build_table
from pistachiohook_core.steering.envelope import Envelope
from pistachiohook_core.steering.envelope import Kind
from pistachiohook_core.steering.flow_messages import EnvelopeReceived
from pistachiohook_core.steering.flow_messages import FlowEnded
from pistachiohook_core.steering.flow_messages import SendMessage
from pistachiohook_core.steering.ownership import SETTLING_TIME

SOAPFLOOR = SERVICES[1]
WAIT = SETTLING_TIME + 1.0
LONG = 60.0


def start_agents(context):
    context.mesh = Mesh()
    for name in 'abc':
        context.mesh.join(name)
    context.mesh.spread()


def find_owner(targets, flow):
    table = build_table(SOAPFLOOR, targets)
    return table.find_owner(table.find_bucket(flow.caller, flow.entry)).name


def find_flow(mesh, *joining):
    """Return a flow whose bucket a owns, then each joining target in turn."""
    samples = [attrs.evolve(mesh.start(name)) for name in joining]
    for target in samples:
        del mesh.agents[target.agent]
    before = [
        one for one in mesh.published.targets if one.service == 'soapfloor'
    ]
    sets = [(*before, *samples[:count]) for count in range(len(samples) + 1)]
    wanted = ['a', *joining]
    tables = [build_table(SOAPFLOOR, one) for one in sets]

    def list_owners(flow):
        bucket = tables[0].find_bucket(flow.caller, flow.entry)
        return [table.find_owner(bucket).name for table in tables]

    flows = map(make_flow, itertools.count())
    return next(flow for flow in flows if list_owners(flow) == wanted)


@given('agents a, b and c, and a caller whose bucket a owns')
def start_with_caller(context):
    start_agents(context)
    context.flow = find_flow(context.mesh, 'd', 'e')


@given('agents a, b and c, and a flow that a holds')
def start_with_flow(context):
    start_with_caller(context)
    context.mesh.pass_time(WAIT)
    assert context.mesh.send_and_watch(context.flow, OPENING) == ['a']
    context.mesh.confirm(context.mesh.find_agent('a'), context.flow)


def join(mesh, name):
    mesh.join(name)
    mesh.spread()
    mesh.carry_all()


def kill(mesh, name):
    mesh.leave(name)
    mesh.spread()
    mesh.carry_all()


def restart(mesh, name):
    del mesh.agents[mesh.find_agent(name).target.agent]
    join(mesh, name)


def drain(mesh, name):
    mesh.drain(name)
    mesh.spread()
    mesh.carry_all()


def lag(mesh, name):
    mesh.find_agent(name).lagging = True


def catch_up(mesh, name):
    mesh.find_agent(name).lagging = False
    mesh.spread()
    mesh.carry_all()


def join_alone(mesh, name):
    mesh.join(name)
    mesh.apply_at(mesh.find_agent(name), mesh.published)


def pause(mesh, name):
    mesh.paused.add(name)


def resume(mesh, name):
    mesh.paused.discard(name)
    mesh.spread()
    mesh.carry_all()


def end_flow(mesh, name):
    agent = mesh.find_agent(name)
    for flow in agent.router.list_held():
        mesh.process(agent, FlowEnded(flow))
    agent.engine.clear()


AGENT_EVENTS = {
    'is paused': pause,
    'resumes': resume,
    'ends the flow': end_flow,
    'joins': join,
    'is killed': kill,
    'restarts': restart,
    'drains': drain,
    'lags': lag,
    'catches up': catch_up,
    'joins and alone applies it': join_alone,
}

GENERAL_EVENTS = {
    'none': lambda _mesh: None,
    'wait': lambda mesh: mesh.pass_time(WAIT),
    'wait long': lambda mesh: mesh.pass_time(LONG),
    'registrations are lost': lambda mesh: mesh.lost.add(SendMessage),
    'balancer 1 lags': lambda mesh: mesh.lagging_routers.add(0),
    'balancer 1 applies it too': lambda mesh: mesh.routers[0].apply_published(
        mesh.published
    ),
}


@when('these events happen in turn: {events}')
def make_changes(context, events):
    for change in events.split('; '):
        if change in GENERAL_EVENTS:
            GENERAL_EVENTS[change](context.mesh)
            continue
        name, _, what = change.partition(' ')
        AGENT_EVENTS[what](context.mesh, name)


@when('targets join and are killed in ten changes')
def make_ten_changes(context):
    names = ['d', 'e', 'd', 'e', 'd']
    for name in names:
        join(context.mesh, name)
        context.mesh.pass_time(1.0)
        assert context.mesh.send_and_watch(context.flow) == ['a']
        kill(context.mesh, name)
        assert context.mesh.send_and_watch(context.flow) == ['a']


@then('the flow\'s next datagram reaches "{outcome}"')
def compare_receiver(context, outcome):
    wanted = [] if outcome == 'nobody' else [outcome]
    found = context.mesh.send_and_watch(context.flow, patience=1.0)
    assert found == wanted, (found, context.mesh.drops)


@then('no other agent holds the flow')
def check_holders(context):
    holders = context.mesh.find_holders(context.flow)
    assert {holder.name for holder in holders} <= {'a'}, holders


@when("the caller's opening datagram comes by both balancers")
def open_by_both(context):
    open_by_balancers(context, 1, 2)


@when(
    "the caller's opening datagram comes by balancer {one:d}, then {other:d}"
)
def open_by_balancers(context, one, other):
    for number in (one, other):
        context.mesh.send(context.flow, OPENING, number - 1)
        context.mesh.pass_time(1.0)


@then('"{name}" alone holds the flow')
def compare_holders(context, name):
    mesh = context.mesh
    found = [target.name for target in mesh.find_holders(context.flow)]
    if name == 'the new owner':
        name = find_owner(mesh.published.targets, context.flow)
        assert name != 'a'
    assert found == ([] if name == 'nobody' else [name]), found


@when('d joins and opens the flow without an offer, and then {event}')
def open_at_both(context, event):
    mesh = context.mesh
    mesh.lagging_routers.add(1)
    mesh.lost.add(SendMessage)
    for name in 'abc':
        lag(mesh, name)
    mesh.join('d')
    agent = mesh.find_agent('d')
    alone = attrs.evolve(mesh.published, targets=(agent.target,))
    mesh.apply_at(agent, alone)
    mesh.routers[0].apply_published(mesh.published)
    mesh.now += 2.0
    assert mesh.send_and_watch(context.flow, OPENING) == ['d']
    if 'd completes a handshake' in event:
        mesh.confirm(agent, context.flow)
    if 'a completes another handshake' in event:
        mesh.now += 2.0
        mesh.confirm(mesh.find_agent('a'), context.flow)
    assert len(mesh.find_holders(context.flow)) == 2
    mesh.lost.clear()
    for name in 'abcd':
        lag(mesh, name)
    mesh.publish(mesh.published.targets)
    for name in 'abcd':
        mesh.find_agent(name).lagging = False
    mesh.spread()
    mesh.carry_all()


RECEIVERS = {
    'another service': {'service': NUMBERS['intake']},
    'an earlier incarnation': {'incarnation': 0},
    'a later incarnation': {'incarnation': 99},
    'itself after too many hops': {'hops': 5},
    'itself as an answer': {'kind': Kind.ANSWER},
}


@when('a gets an envelope for {receiver}')
def send_wrong_envelope(context, receiver):
    mesh = context.mesh
    agent = mesh.find_agent('a')
    envelope = Envelope(
        Kind.ENTRY,
        SOAPFLOOR.number,
        agent.target.incarnation,
        mesh.published.revision,
        0,
        context.flow.caller,
        context.flow.entry,
        mesh.routers[0].address,
        DATAGRAM,
    )
    wrong = attrs.evolve(envelope, **RECEIVERS[receiver])
    context.delivered = len(mesh.delivered)
    mesh.drops.clear()
    mesh.process(agent, EnvelopeReceived(wrong))


@when('a datagram of the flow comes, and then a is killed')
def kill_during_offer(context):
    mesh = context.mesh
    mesh.send(context.flow, DATAGRAM)
    mesh.carry_all()
    assert not mesh.closed
    kill(mesh, 'a')


@then('the flow is reset before any time passes')
def check_reset(context):
    assert context.mesh.closed == [context.flow], context.mesh.drops


REVISION_OFFSETS = {'the same': 0, 'an older': -1, 'a newer': 1}


@when(
    'a gets a datagram of an unknown flow from a balancer at {kind} revision'
)
def send_unknown_flow(context, kind):
    mesh = context.mesh
    agent = mesh.find_agent('a')
    flows = (make_flow(number) for number in itertools.count(5000))
    targets = mesh.published.targets
    flow = next(one for one in flows if find_owner(targets, one) == 'a')
    envelope = Envelope(
        Kind.ENTRY,
        SOAPFLOOR.number,
        agent.target.incarnation,
        mesh.published.revision + REVISION_OFFSETS[kind],
        0,
        flow.caller,
        flow.entry,
        mesh.routers[0].address,
        DATAGRAM,
    )
    mesh.drops.clear()
    mesh.process(agent, EnvelopeReceived(envelope))


@then('the flow\'s outcome is "{outcome}"')
def compare_outcome(context, outcome):
    mesh = context.mesh
    found = [one.value for one in mesh.drops] + ['reset' for _ in mesh.closed]
    assert found == [outcome], found


@then('it is dropped as "{reason}"')
def compare_drops(context, reason):
    found = [one.value for one in context.mesh.drops]
    assert found == [reason], found
    assert len(context.mesh.delivered) == context.delivered


@when("a's address is given to x of intake, while {node} lags")
def reuse_address(context, node):
    mesh = context.mesh
    if node == 'the balancer':
        mesh.lagging_routers.add(0)
    host = mesh.find_agent('a').target.agent.host
    mesh.leave('a')
    mesh.join('x', 'intake', host)
    mesh.spread()
    mesh.carry_all()


@then('x has received no datagram')
def check_none_received(context):
    names = [target.name for target, _ in context.mesh.delivered]
    assert 'x' not in names


def publish_balancers(mesh, numbers):
    mesh.published = attrs.evolve(
        mesh.published,
        balancers=tuple(
            Balancer(str(n), 'nadi-b', mesh.routers[n - 1].address, 1)
            for n in numbers
        ),
    )
    mesh.publish(mesh.published.targets)
    mesh.spread()


@given('the balancers 1 and 2 are published')
def publish_both(context):
    publish_balancers(context.mesh, [1, 2])


@when('balancer {removed} is removed and the flow is idle for {time:d} s')
def remove_balancer(context, removed, time):
    mesh = context.mesh
    assert mesh.send_and_watch(context.flow) == ['a']
    publish_balancers(mesh, [n for n in (1, 2) if str(n) != removed])
    mesh.pass_time(time)


@then('a sends its answer to balancer {chosen:d}')
def compare_balancer(context, chosen):
    mesh = context.mesh
    router = mesh.find_agent('a').router
    sent = router.wrap_answer(context.flow, b'answer', mesh.now)
    assert sent.address == mesh.routers[chosen - 1].address
    assert sent.envelope.kind is Kind.ANSWER


@then('no order of events breaks an established flow')
def run_machine(context):
    run_state_machine_as_test(SteeringMachine, settings=SETTINGS)

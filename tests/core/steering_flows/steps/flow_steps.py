"""Steps about flows and changes of targets and balancers."""

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
    """Return a flow of a's that each joining target takes over in turn."""
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


def start_unseen(mesh, name):
    mesh.join(name)
    mesh.apply_at(mesh.find_agent(name), mesh.published)


def freeze(mesh, name):
    mesh.frozen.add(name)


def thaw(mesh, name):
    mesh.frozen.discard(name)
    mesh.spread()
    mesh.carry_all()


def end_flow(mesh, name):
    agent = mesh.find_agent(name)
    for flow in agent.owner.list_held():
        mesh.feed(agent, FlowEnded(flow))
    agent.engine.clear()


CHANGES = {
    'is frozen': freeze,
    'returns': thaw,
    'ends the flow': end_flow,
    'joins': join,
    'is killed': kill,
    'restarts': restart,
    'drains': drain,
    'lags': lag,
    'catches up': catch_up,
    'starts unseen': start_unseen,
}

GENERAL = {
    'none': lambda _mesh: None,
    'wait': lambda mesh: mesh.pass_time(WAIT),
    'long': lambda mesh: mesh.pass_time(LONG),
    'registrations are lost': lambda mesh: mesh.lost.add(SendMessage),
    'the balancer lags': lambda mesh: mesh.lagging_routers.add(0),
    'the balancer alone applies': lambda mesh: mesh.routers[0].apply_published(
        mesh.published
    ),
}


@when('these happen, each change moving its bucket: {changes}')
def make_changes(context, changes):
    for change in changes.split('; '):
        if change in GENERAL:
            GENERAL[change](context.mesh)
            continue
        name, _, what = change.partition(' ')
        CHANGES[what](context.mesh, name)


@when('ten targets join and leave one after another')
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


@then('nobody else holds the flow')
def check_holders(context):
    holders = context.mesh.find_holders(context.flow)
    assert {holder.name for holder in holders} <= {'a'}, holders


@when("the caller's opening datagram comes twice")
def open_twice(context):
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
    if name == 'next':
        name = find_owner(mesh.published.targets, context.flow)
        assert name != 'a'
    assert found == ([] if name == 'nobody' else [name]), found


@when('d joins without asking, and the flow is {state} there too')
def start_twice(context, state):
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
    if 'confirmed' in state:
        mesh.confirm(agent, context.flow)
    if 'again at a' in state:
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


@when('a gets a datagram sealed for {receiver}')
def send_wrong_datagram(context, receiver):
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
    mesh.feed(agent, EnvelopeReceived(wrong))


@when('a datagram of the flow comes, and then a is killed')
def kill_while_asked(context):
    mesh = context.mesh
    mesh.send(context.flow, DATAGRAM)
    mesh.carry_all()
    assert not mesh.closed
    kill(mesh, 'a')


@then('the flow is closed before any time passes')
def check_closed(context):
    assert context.mesh.closed == [context.flow], context.mesh.drops


VERSIONS = {'the same': 0, 'an older': -1, 'a newer': 1}


@when('a gets a datagram of an unknown flow from a balancer on {kind} version')
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
        mesh.published.revision + VERSIONS[kind],
        0,
        flow.caller,
        flow.entry,
        mesh.routers[0].address,
        DATAGRAM,
    )
    mesh.drops.clear()
    mesh.feed(agent, EnvelopeReceived(envelope))


@then('the flow is "{outcome}"')
def compare_outcome(context, outcome):
    mesh = context.mesh
    found = [one.value for one in mesh.drops] + ['closed' for _ in mesh.closed]
    assert found == [outcome], found


@then('it is dropped as "{reason}"')
def compare_drops(context, reason):
    found = [one.value for one in context.mesh.drops]
    assert found == [reason], found
    assert len(context.mesh.delivered) == context.delivered


@when("a's address is given to x of intake, and the {who} lags")
def reuse_address(context, who):
    mesh = context.mesh
    if who == 'balancer':
        mesh.lagging_routers.add(0)
    host = mesh.find_agent('a').target.agent.host
    mesh.leave('a')
    mesh.join('x', 'intake', host)
    mesh.spread()
    mesh.carry_all()


@then('x has got nothing')
def check_nothing(context):
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


@when('balancer {gone} is gone and the flow is silent for {silence:d} s')
def lose_balancer(context, gone, silence):
    mesh = context.mesh
    assert mesh.send_and_watch(context.flow) == ['a']
    publish_balancers(mesh, [n for n in (1, 2) if str(n) != gone])
    mesh.pass_time(silence)


@then("a's answer leaves by balancer {taken:d}")
def compare_balancer(context, taken):
    mesh = context.mesh
    owner = mesh.find_agent('a').owner
    sent = owner.wrap_answer(context.flow, b'answer', mesh.now)
    assert sent.address == mesh.routers[taken - 1].address
    assert sent.envelope.kind is Kind.ANSWER


@then('no order of events breaks an established flow')
def run_machine(context):
    run_state_machine_as_test(SteeringMachine, settings=SETTINGS)

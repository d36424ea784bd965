"""Steps on discovery of nodes and on the replicated routes."""

from __future__ import annotations

import re

from behave import given
from behave import then
from behave import when
from pistachiohook_core.addresses import Address
from pistachiohook_core.passthrough.commands import COMMAND_CODEC
from pistachiohook_core.passthrough.commands import make_command
from pistachiohook_core.passthrough.commands import read_document
from pistachiohook_core.passthrough.commands import RouteStateMachine
from pistachiohook_core.passthrough.commands import unpack_routes
from pistachiohook_core.passthrough.discovery import AGENT
from pistachiohook_core.passthrough.discovery import BALANCER
from pistachiohook_core.passthrough.discovery import CONTROL
from pistachiohook_core.passthrough.discovery import Directory
from pistachiohook_core.passthrough.discovery import Finder
from pistachiohook_core.passthrough.discovery import HELLO_INTERVAL
from pistachiohook_core.passthrough.messages import Hello
from pistachiohook_core.passthrough.messages import Node
from pistachiohook_core.passthrough.messages import Welcome
from pistachiohook_core.passthrough.routes import RouteSet

#: Addresses by the names in the scenarios.
HOSTS = {
    name: Address(f'10.0.0.{number}', 1)
    for number, name in enumerate(('c1', 'c2', 'c3', 'b1', 'a1', 'b2'), 1)
}


def make_node(name, zone='x'):
    return Node(str(HOSTS[name]), zone)


def answer(context, name, zone, version=1, age=0, controls=(), balancers=()):
    nodes = (make_node(name, zone), *map(make_node, controls))
    welcome = Welcome(
        nodes[0],
        version,
        age,
        'routes:1',
        nodes,
        tuple(map(make_node, balancers)),
    )
    context.finder.receive_welcome(HOSTS[name], welcome, context.now)


@given('a node in zone "{zone}" with the seeds "{one}" and "{two}"')
def start_node(context, zone, one, two):
    context.now = 100.0
    context.finder = Finder(zone, (HOSTS[one], HOSTS[two]))
    context.asked = list(context.finder.choose_controls(context.now))


@when('"{one}" of zone "{zone}" and "{two}" of zone "{other}" answer')
def answer_both(context, one, zone, two, other):
    answer(context, one, zone)
    answer(context, two, other)


@when(
    '"{name}" of zone "{zone}" answers with a quorum confirmation that is'
    ' {age:d} ms old'
)
def answer_old(context, name, zone, age):
    answer(context, name, zone, age=age)


@when('"{name}" of zone "{zone}" answers and lists the instance "{other}"')
def answer_naming(context, name, zone, other):
    answer(context, name, zone, controls=(other,))


@when('"{name}" of zone "{zone}" answers for {seconds:f} seconds')
def answer_long(context, name, zone, seconds):
    end = context.now + seconds
    while context.now < end:
        answer(context, name, zone)
        context.asked += context.finder.choose_controls(context.now)
        context.now += 0.4


@when(
    '"{name}" of zone "{zone}" answers with version {version:d} and a quorum'
    ' confirmation that is {age:d} ms old'
)
def answer_version(context, name, zone, version, age):
    answer(context, name, zone, version, age)


@when('"{name}" of zone "{zone}" answers and lists the balancer "{other}"')
def answer_listing(context, name, zone, other):
    answer(context, name, zone, balancers=(other,))


@when(
    '"{name}" of zone "{zone}" answers and lists the balancer "{other}"'
    ' started at {started:d}'
)
def answer_listing_start(context, name, zone, other, started):
    control = make_node(name, zone)
    balancer = Node(str(HOSTS[other]), 'x', started)
    welcome = Welcome(control, 1, 0, 'routes:1', (control,), (balancer,))
    context.new_balancers = context.finder.receive_welcome(
        HOSTS[name], welcome, context.now
    )


@then('it is new')
def is_new(context):
    assert len(context.new_balancers) == 1


@then('it is not new')
def is_not_new(context):
    assert not context.new_balancers


@then('one balancer is known')
def knows_one(context):
    assert len(context.finder.list_balancers()) == 1


@when('"{name}" of zone "{zone}" answers and lists no balancer')
def answer_empty(context, name, zone):
    answer(context, name, zone)


@when('{seconds:d} seconds pass')
def pass_time(context, seconds):
    for _ in range(seconds):
        context.now += 1
        context.finder.choose_controls(context.now)
    context.now += 0.1


@then('it asks {names}')
def check_asked(context, names):
    asked = context.finder.choose_controls(context.now)
    wanted = {HOSTS[name] for name in re.findall('"(.+?)"', names)}
    assert set(asked) == wanted, asked


@then('after {seconds:f} seconds without an answer it asks {names}')
def asks_later(context, seconds, names):
    context.now += seconds
    check_asked(context, names)


@then('"{name}" is asked to list nodes')
def check_complete(context, name):
    assert not context.finder.wants_brief(HOSTS[name], context.now)


@then('"{name}" is asked for a brief answer')
def check_brief(context, name):
    assert context.finder.wants_brief(HOSTS[name], context.now)


@then(
    'after {seconds:f} seconds without an answer "{name}" is asked to list'
    ' nodes'
)
def check_complete_later(context, seconds, name):
    context.now += seconds
    check_complete(context, name)


@then('it has asked "{name}" at least {times:d} time')
def has_asked(context, name, times):
    assert context.asked.count(HOSTS[name]) >= times + 1


@then('version {version:d} is confirmed')
def is_confirmed(context, version):
    assert context.finder.is_confirmed(version, context.now)


@then('version {version:d} is not confirmed')
def is_not_confirmed(context, version):
    assert not context.finder.is_confirmed(version, context.now)


@given('control instances "{one}" and "{two}"')
def start_controls(context, one, two):
    context.now = 100.0
    context.directories = {
        name: Directory(make_node(name)) for name in (one, two)
    }


@when('a balancer "{name}" sends a hello to "{control}"')
def say_hello(context, name, control):
    hello = Hello(BALANCER, make_node(name))
    context.directories[control].receive_hello(hello, context.now)


@when('"{one}" sends its list of balancers to "{two}"')
def gossip(context, one, two):
    balancers = context.directories[one].list_relayed_balancers()
    hello = Hello(CONTROL, make_node(one), balancers)
    context.directories[two].receive_hello(hello, context.now)


def ask(context, control, brief=False):
    directory = context.directories[control]
    directory.expire(context.now)
    hello = Hello(AGENT, make_node('a1'), brief=brief)
    directory.receive_hello(hello, context.now)
    controls, balancers = directory.list_for(hello)
    assert bool(controls) is not brief
    return [node.address for node in balancers]


@then('an agent that asks "{control}" for a brief answer gets no balancer')
def is_told_briefly(context, control):
    assert ask(context, control, brief=True) == []


@then('an agent that asks "{control}" gets "{name}"')
def is_told(context, control, name):
    assert ask(context, control) == [str(HOSTS[name])]


@then(
    'after {seconds:f} seconds an agent that asks "{control}" gets no balancer'
)
def is_told_nobody(context, seconds, control):
    context.now += seconds
    assert ask(context, control) == []


@then('the balancer "{name}" is known')
def is_known(context, name):
    assert make_node(name) in context.finder.list_balancers()


@then('after {seconds:d} seconds it is no longer known')
def is_forgotten(context, seconds):
    pass_time(context, seconds)
    assert not context.finder.list_balancers()


@given('the routes of version {version:d} are applied')
def apply_first(context, version):
    context.state_machine = RouteStateMachine()
    apply_routes(context, version, b'document')


def apply_routes(context, version, document):
    command = make_command(RouteSet(version, (), ()), document)
    encoded = context.state_machine.apply(1, COMMAND_CODEC.encode(command))
    context.outcome = COMMAND_CODEC.decode(encoded, 'test').unwrap()


@when('a command with version {version:d} and {content} is applied')
def apply_further(context, version, content):
    document = b'document' if content == 'the same' else b'other'
    apply_routes(context, version, document)


@then('version {version:d} is applied afterwards and the outcome is {outcome}')
def check_outcome(context, version, outcome):
    assert context.outcome.version == version
    assert context.outcome.changed is (outcome == 'changed')
    assert (
        unpack_routes(context.state_machine.current.routes).version == version
    )
    document = read_document(context.state_machine.current)
    assert document == (b'document' if version == 5 else b'other')


@when('a snapshot is taken and restored')
def restore(context):
    snapshot = context.state_machine.take_snapshot()
    context.state_machine = RouteStateMachine()
    context.state_machine.restore(snapshot)


@then('the document is the one that was written')
def check_document(context):
    assert read_document(context.state_machine.current) == b'document'


@then('one instance alone is asked')
def asks_one(context):
    assert len(context.finder.choose_controls(context.now)) == 1


@when('"{name}" of zone "{zone}" answers and has a disk')
def answer_durable(context, name, zone):
    node = make_node(name, zone)
    welcome = Welcome(node, 1, 0, 'routes:1', (node,), (), durable=True)
    context.finder.receive_welcome(HOSTS[name], welcome, context.now)


@given(
    'a node in zone "{zone}" that knows {number:d} control instances, one of'
    ' them in its zone'
)
def start_among(context, zone, number):
    context.now = 100.0
    context.controls = [
        Address(f'10.1.0.{index}', 1) for index in range(number)
    ]
    context.finder = Finder(zone, tuple(context.controls))
    context.asked = []


@when('the one of its zone answers for {seconds:d} seconds')
def answer_locally(context, seconds):
    own = context.controls[0]
    node = Node(str(own), context.finder.zone)
    welcome = Welcome(node, 1, 0, 'routes:1', (node,), ())
    context.finder.receive_welcome(own, welcome, context.now)
    context.seconds = seconds
    end = context.now + seconds
    while context.now < end:
        context.finder.receive_welcome(own, welcome, context.now)
        context.asked += context.finder.choose_controls(context.now)
        context.now += HELLO_INTERVAL


@then('the node has sent at most {rate:f} hellos a second')
def check_rate(context, rate):
    assert len(context.asked) <= rate * context.seconds, len(context.asked)


@then('it has asked each control instance')
def check_all_asked(context):
    assert set(context.asked) == set(context.controls)


@when(
    'the node polls "{control}" for {seconds:d} seconds while "{name}" does so'
    ' too'
)
def poll_both(context, control, seconds, name):
    context.sent_lists = 0
    poll(context, control, seconds, name)


@when(
    'the hellos of "{name}" stop and the node polls "{control}" for'
    ' {seconds:d} seconds'
)
def poll_alone(context, name, control, seconds):
    poll(context, control, seconds)


def poll(context, control, seconds, balancer=None):
    directory = context.directories[control]
    finder, sender = context.finder, HOSTS[control]
    end = context.now + seconds
    while context.now < end:
        if balancer is not None:
            say_hello(context, balancer, control)
        directory.expire(context.now)
        hello = Hello(AGENT, make_node('a1'), lists=finder.find_lists(sender))
        controls, balancers = directory.list_for(hello)
        context.sent_lists += bool(controls)
        welcome = Welcome(
            directory.node,
            1,
            0,
            'routes:1',
            controls,
            balancers,
            directory.number_lists(hello),
        )
        finder.receive_welcome(sender, welcome, context.now)
        context.now += HELLO_INTERVAL


@then('it was sent the lists {times:d} time')
@then('it was sent the lists {times:d} times')
def check_sent(context, times):
    assert context.sent_lists == times, context.sent_lists


@then(
    'a node with version {version:d} fetches from "{first}", then after'
    ' failures from "{second}" and "{third}"'
)
def check_sources(context, version, first, second, third):
    sources = [
        context.finder.choose_source(version, failures, context.now)
        for failures in range(3)
    ]
    found = [source.node.address for source in sources]
    assert found == [str(HOSTS[one]) for one in (first, second, third)], found


@then('a node with version {version:d} fetches nothing')
def check_no_source(context, version):
    finder = context.finder
    assert finder.choose_source(version, 0, context.now) is None


@then('one instance alone is asked to list nodes')
def check_one_lists(context):
    finder = context.finder
    asked = finder.choose_controls(context.now)
    listing = [
        one for one in asked if not finder.wants_brief(one, context.now)
    ]
    assert len(listing) == 1, listing


@when('without a quorum the one of its zone answers for {seconds:d} seconds')
def answer_unconfirmed(context, seconds):
    own = context.controls[0]
    node = Node(str(own), context.finder.zone)
    welcome = Welcome(node, 1, 5000, 'routes:1', (node,), ())
    context.rounds = []
    end = context.now + seconds
    context.finder.receive_welcome(own, welcome, context.now)
    while context.now < end:
        asked = context.finder.choose_controls(context.now)
        if own in asked:
            context.finder.receive_welcome(own, welcome, context.now)
        context.rounds.append(asked)
        context.asked += asked
        context.now += HELLO_INTERVAL


@then('the node has asked at most {number:d} instances at a time')
def check_at_a_time(context, number):
    assert max(map(len, context.rounds)) <= number
    assert all(len(set(asked)) == len(asked) for asked in context.rounds)


@then('it has asked the one of its zone each time')
def check_own_asked(context):
    assert all(context.controls[0] in asked for asked in context.rounds)


@when(
    'for {seconds:d} seconds the node polls "{control}", and "{other}" relays'
    ' "{name}" to it, which surveys it every {pause:d} seconds'
)
def poll_surveyed(context, seconds, control, other, name, pause):
    context.sent_lists = 0
    for second in range(seconds):
        say_hello(context, name, other)
        gossip(context, other, control)
        if second and not second % pause:
            hello = Hello(BALANCER, make_node(name), brief=True)
            context.directories[control].receive_hello(hello, context.now)
        poll(context, control, 1)


@given(
    '"{one}" of zone "{zone}" and "{two}" of zone "{far}" are control'
    ' instances'
)
def start_controls_apart(context, one, zone, two, far):
    context.now = 100.0
    context.directories = {
        one: Directory(make_node(one, zone)),
        two: Directory(make_node(two, far)),
    }


@when('"{control}" hears the balancer "{name}" of zone "{zone}"')
def say_hello_from(context, name, zone, control):
    hello = Hello(BALANCER, make_node(name, zone))
    context.directories[control].receive_hello(hello, context.now)


@when('"{control}" hears the control instance "{other}"')
def hear_control(context, control, other):
    hello = Hello(CONTROL, context.directories[other].node)
    context.directories[control].receive_hello(hello, context.now)


@then('"{control}" relays {names}')
def check_relayed(context, control, names):
    relayed = context.directories[control].list_relayed_balancers()
    wanted = {str(HOSTS[name]) for name in re.findall('"(.+?)"', names)}
    assert {node.address for node in relayed} == wanted, relayed

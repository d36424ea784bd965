"""Steps for the replicated state."""

from __future__ import annotations

from behave import given
from behave import step
from behave import then
from behave import when
from pistachiohook_core.addresses import Address
from pistachiohook_core.configuration.commands import Accepted
from pistachiohook_core.configuration.commands import Change
from pistachiohook_core.configuration.commands import ChangeIdReused
from pistachiohook_core.configuration.commands import Conflict
from pistachiohook_core.configuration.commands import Drain
from pistachiohook_core.configuration.commands import Members
from pistachiohook_core.configuration.objects import ObjectSet
from pistachiohook_core.configuration.objects import PlaceObject
from pistachiohook_core.configuration.objects import PolicyObject
from pistachiohook_core.configuration.objects import ServiceObject
from pistachiohook_core.configuration.state import apply
from pistachiohook_core.configuration.state import apply_encoded
from pistachiohook_core.configuration.state import decode_state
from pistachiohook_core.configuration.state import encode_state
from pistachiohook_core.configuration.state import make_published
from pistachiohook_core.configuration.state import State
from pistachiohook_core.membership.deltas import apply_delta
from pistachiohook_core.membership.members import Announcement
from pistachiohook_core.membership.members import Departure
from pistachiohook_core.published import PublishedState
from pistachiohook_core.published import Target

HOUR = 3600.0


@given('an empty state')
def start_empty(context):
    context.state = State()
    context.time = 0.0
    context.outcomes = []
    context.published = PublishedState()


def run_command(context, command):
    transition = apply(context.state, context.state.index + 1, command)
    context.state = transition.state
    context.outcomes.append(transition.outcome)
    if transition.delta is not None:
        context.published = apply_delta(context.published, transition.delta)
    assert context.published == make_published(transition.state)
    return transition.outcome


def make_objects(names, zone=None):
    places = {'p': PlaceObject('r', (zone,))} if zone else {}
    return ObjectSet(
        services={
            name: ServiceObject((f'10.0.0.{n}:1',), 'q', tuple(places))
            for n, name in enumerate(names.split(), 1)
        },
        places=places,
        policies={'q': PolicyObject()},
    )


@step('change "{name}" based on revision {base:d} is proposed by "{author}"')
def make_change(context, name, base, author):
    objects = make_objects('a' if author == 'ana' else 'b')
    run_command(context, Change(name, base, objects, author, context.time))


@step('change "{name}" is proposed with other objects')
def make_other_change(context, name):
    context.before = context.state.objects
    objects = make_objects('x y')
    run_command(context, Change(name, 1, objects, 'ana', context.time))


@step('nothing happens')
def do_nothing(context):
    pass


@step('the state is read back from a snapshot')
def read_back(context):
    data = encode_state(context.state)
    assert decode_state(data, 'test').unwrap() == context.state
    context.state = decode_state(data, 'test').unwrap()


@step('{hours:d} hours pass and {count:d} other changes are accepted')
@step('a clock is {hours:d} hours ahead for {count:d} other changes')
def make_many(context, hours, count):
    context.time += hours * HOUR
    for n in range(count):
        base = context.state.configuration
        objects = make_objects('a')
        change = Change(f'other-{n}', base, objects, 'bea', context.time)
        assert isinstance(run_command(context, change), Accepted)


@then('change "{name}" is accepted at revision {revision:d}')
def compare_accepted(context, name, revision):
    assert context.outcomes[0] == Accepted(revision), context.outcomes


@then(
    'change "{name}" conflicts with "{winner}" by "{author}" '
    'at revision {revision:d}'
)
def compare_conflict(context, name, winner, author, revision):
    conflict = context.outcomes[1]
    assert isinstance(conflict, Conflict)
    assert conflict.revision == revision
    assert conflict.winner.change_id == winner
    assert conflict.winner.author == author


@then('the last outcome equals the first one')
def compare_outcomes(context):
    assert context.outcomes[-1] == context.outcomes[0], context.outcomes


@then('the change id is refused and nothing has changed')
def compare_reused(context):
    assert context.outcomes[-1] == ChangeIdReused('first')
    assert context.state.objects == context.before


@step('the services "{names}"')
@step('the services are "{names}"')
def put_services(context, names):
    put_objects(context, make_objects(names))


@given('the services "{names}" only in availability zone "{zone}"')
def put_services_in_zone(context, names, zone):
    put_objects(context, make_objects(names, zone))


def put_objects(context, objects):
    base = context.state.configuration
    change = Change(f'c{base}', base, objects, 'ana', context.time)
    assert isinstance(run_command(context, change), Accepted)


@then('the fencing numbers are "{numbers}"')
def compare_numbers(context, numbers):
    found = ' '.join(
        f'{service.name}={service.number}'
        for service in make_published(context.state).services
    )
    assert found == numbers, found


@step(
    'node "{node}" with incarnation {incarnation:d} announces '
    'target "{target}" through control instance "{holder}"'
)
def announce(context, node, incarnation, target, holder):
    announced = Target(
        name=target,
        service='a',
        availability_zone='lautoka-a',
        agent=Address('127.0.0.1', 1),
        link=Address('127.0.0.1', 2),
        incarnation=incarnation,
        slots=4,
    )
    announcement = Announcement(node, incarnation, announced)
    run_command(context, Members(holder, context.time, (announcement,)))


@step(
    'control instance "{holder}" expires node "{node}" '
    'with incarnation {number:d}'
)
def expire(context, holder, node, number):
    departure = Departure(node, number, holder)
    run_command(context, Members(holder, context.time, departed=(departure,)))


@when('node "{node}" with incarnation {incarnation:d} leaves')
def leave(context, node, incarnation):
    departure = Departure(node, incarnation, 'c3', left=True)
    run_command(context, Members('c3', context.time, departed=(departure,)))


@when('target "{target}" with incarnation {incarnation:d} is drained')
def drain(context, target, incarnation):
    run_command(context, Drain(target, incarnation, context.time))


@when('target "{target}" is drained and its node announces it again')
def drain_and_announce(context, target):
    drain(context, target, 5)
    announce(context, 'n', 5, target, 'c2')


@when('target "{target}" is drained and its node restarts')
def drain_and_restart(context, target):
    drain(context, target, 5)
    announce(context, 'n', 6, target, 'c1')


@when('node "{node}" leaves and a late heartbeat of incarnation 5 arrives')
def leave_and_announce(context, node):
    leave(context, node, 5)
    announce(context, node, 5, 't', 'c1')


@when('node "{node}" expires and returns with incarnation 5')
def expire_and_return(context, node):
    expire(context, 'c1', node, 5)
    announce(context, node, 5, 't', 'c1')


@then('target "{target}" is {state}')
def compare_target(context, target, state):
    found = context.state.targets.get(target)
    found_state = (
        f'{found.state.value} at {found.incarnation}'
        if found
        else 'not published'
    )
    assert found_state == state, found_state


@when('the bytes "{text}" are applied')
def apply_bytes(context, text):
    context.state = apply_encoded(context.state, 1, text.encode()).state


@then('the published revision is {revision:d}')
def compare_revision(context, revision):
    assert context.state.revision == revision
    assert context.state.index == 1


@then('the membership revision of service "{name}" is {state}')
def compare_membership(context, name, state):
    first = 2
    changed = context.state.services[name].membership > first
    assert changed is (state == 'changed'), context.state.services[name]

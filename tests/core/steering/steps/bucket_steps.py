"""Steps about the assignment of buckets, and about the balancer."""

from __future__ import annotations

from collections import Counter
import itertools
import random

import attrs
from behave import given
from behave import then
from behave import when
from hypothesis import given as each
from hypothesis import settings
import hypothesis.strategies as st
from pistachiohook_core.addresses import Address
from pistachiohook_core.addresses import pack_address
from pistachiohook_core.addresses import parse_address
from pistachiohook_core.published import PublishedState
from pistachiohook_core.published import Service
from pistachiohook_core.published import Target
from pistachiohook_core.published import TargetState
from pistachiohook_core.steering.balancer import BalancerRouter
from pistachiohook_core.steering.balancer import Forward
from pistachiohook_core.steering.buckets import build_table
from pistachiohook_core.steering.drops import DropReason
from pistachiohook_core.steering.envelope import Envelope
from pistachiohook_core.steering.envelope import Keys
from pistachiohook_core.steering.envelope import Kind
from pistachiohook_core.steering.envelope import seal
from returns.result import Success

ENTRY = Address('10.9.0.1', 443)
CALLER = Address('10.1.0.1', 4000)
BALANCER = Address('10.2.0.1', 5000)
SERVICE = Service('soapfloor', 1, (ENTRY,))
OTHER = Service('intake', 2, (Address('10.9.0.2', 443),))
KEYS = Keys(b'k' * 32)
PAYLOADS = {
    'opens a flow': bytes.fromhex('c00000000108').ljust(1200, b'\0'),
    'belongs to a flow': b'\x40' + b'x' * 40,
}


def make_target(name, slots=4, weight=100, state='serving', service=SERVICE):
    number = sum(name.encode()) % 250
    return Target(
        name,
        service.name,
        'lautoka-a',
        Address(f'10.3.0.{number}', 6000),
        Address(f'10.3.0.{number}', 6001),
        1,
        slots,
        TargetState(state),
        weight,
    )


def publish(targets, revision=1):
    return PublishedState(revision, 1, (OTHER, SERVICE), tuple(targets))


def count_buckets(targets):
    table = build_table(SERVICE, targets)
    return Counter(table.targets[index].name for index in table.owners)


@given('{count:d} targets with {slots:d} slots each')
def make_equal_targets(context, count, slots):
    context.targets = [make_target(f't{i}', slots) for i in range(count)]


@given('the targets')
def make_targets(context):
    context.targets = [
        make_target(
            row['name'], int(row['slots']), int(row['weight']), row['state']
        )
        for row in context.table
    ]


@then('the table is the same for any order of the targets')
def compare_orders(context):
    first = build_table(SERVICE, context.targets)
    for seed in range(5):
        shuffled = [*context.targets, make_target('x', service=OTHER)]
        random.Random(seed).shuffle(shuffled)
        assert build_table(SERVICE, shuffled) == first


@when('{count:d} flows are routed')
def route_flows(context, count):
    router = BalancerRouter(BALANCER, publish(context.targets))
    callers = [
        Address(f'10.1.{number % 8}.1', 20000 + number)
        for number in range(count)
    ]
    payload = PAYLOADS['opens a flow']
    context.loads = Counter(
        router.route(caller, ENTRY, payload).agent for caller in callers
    )


@then(
    'the busiest target has at most {bound:g} times the mean number of flows'
)
def compare_loads(context, bound):
    mean = sum(context.loads.values()) / len(context.targets)
    assert max(context.loads.values()) <= bound * mean, context.loads


@then('the shares of the buckets are')
def compare_shares(context):
    buckets = count_buckets(context.targets)
    total = sum(buckets.values())
    for row in context.table:
        share = buckets[row['name']] / total
        assert abs(share - float(row['share'])) < 0.02, (row['name'], share)


CHANGES = {
    'removed': lambda _target: [],
    'drained': lambda target: [
        attrs.evolve(target, state=TargetState.DRAINING)
    ],
    'given half': lambda target: [attrs.evolve(target, weight=50)],
    'joined': lambda target: [target, make_target('new')],
}


@when('target {name} is {change}')
def change_target(context, name, change):
    context.before = build_table(SERVICE, context.targets)
    changed = [
        CHANGES[change](target) if target.name == name else [target]
        for target in context.targets
    ]
    context.targets = list(itertools.chain(*changed))
    context.after = build_table(SERVICE, context.targets)
    context.changed = 'new' if change == 'joined' else name


def find_moves(context):
    owners = [
        [table.targets[index].name for index in table.owners]
        for table in (context.before, context.after)
    ]
    return [pair for pair in zip(*owners, strict=True) if len({*pair}) == 2]


@then('at most {factor:g} times the mean share of one target has moved')
def compare_moved_share(context, factor):
    count = len(context.before.targets)
    moved = len(find_moves(context)) / len(context.before.owners)
    assert 0 < moved <= factor / count, moved


@then('a bucket has moved only from or to {name}')
def compare_moves(context, name):
    assert all(context.changed in pair for pair in find_moves(context))


@when('a balancer gets a datagram that {opens}')
def route_datagram(context, opens):
    router = BalancerRouter(BALANCER, publish(context.targets))
    found = router.route(CALLER, ENTRY, PAYLOADS[opens])
    packed = pack_address(CALLER)
    sealed = router.forward(packed, ENTRY, PAYLOADS[opens], KEYS)
    if isinstance(found, Forward):
        assert seal(found.envelope, KEYS) == sealed.data
        assert found.agent == sealed.agent
    else:
        assert found is sealed
    names = {target.agent: target.name for target in context.targets}
    context.outcome = (
        names[found.agent] if isinstance(found, Forward) else found.value
    )


@then('the balancer\'s outcome is "{outcome}"')
def compare_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@given('a balancer that has routed a datagram')
def route_once(context):
    context.router = BalancerRouter(BALANCER, publish(context.targets))
    context.router.route(CALLER, ENTRY, PAYLOADS['belongs to a flow'])
    context.before = context.router.find_table(SERVICE)


PUBLICATIONS = {
    "another service's target": lambda targets: [
        make_target('x', service=OTHER),
        *targets,
    ],
    'a newer revision': lambda targets: targets,
    'one target less': lambda targets: targets[1:],
    'another weight': lambda targets: [
        attrs.evolve(targets[0], weight=90),
        *targets[1:],
    ],
}


@when('{what} is published')
def publish_change(context, what):
    targets = PUBLICATIONS[what](context.targets)
    context.router.apply_published(publish(targets, 2))


@then('the table is {fate}')
def compare_fate(context, fate):
    kept = context.router.find_table(SERVICE) is context.before
    assert kept is (fate == 'kept')


@when(
    'a balancer gets an answer of kind {kind} from service {service:d}'
    ' for {entry}'
)
def accept_answer(context, kind, service, entry):
    router = BalancerRouter(BALANCER, publish(context.targets))
    envelope = Envelope(
        Kind[kind],
        service,
        1,
        1,
        0,
        CALLER,
        parse_address(entry).unwrap(),
        BALANCER,
        b'answer',
    )
    result = router.accept_answer(seal(envelope, KEYS), KEYS)
    context.outcome = (
        'answered'
        if isinstance(result, Success)
        else DropReason(result.failure()).value
    )


members = st.lists(
    st.builds(
        make_target,
        st.sampled_from('abc'),
        st.sampled_from([0, 1, 4]),
        st.sampled_from([10, 50, 100]),
        st.sampled_from(['serving', 'draining']),
    ),
    unique_by=lambda target: target.name,
)


@then(
    'for any change of targets, the table is the same with and without a'
    ' former one'
)
def compare_with_former(context):
    @settings(derandomize=True, database=None, deadline=None, max_examples=60)
    @each(members, members)
    def check(before, after):
        former = build_table(SERVICE, before)
        assert {*former.rank_targets(0)} == {*before}
        assert build_table(SERVICE, after, former) == build_table(
            SERVICE, after
        )

    check()

"""Steps on answers that arrive after the process that waited for them."""

from __future__ import annotations

from behave import then
from behave import when
from network_steps import accept_elsewhere
from network_steps import record_leader
from pistachiohook_core.consensus.events import Read
from pistachiohook_core.consensus.messages import CONSENSUS_CODEC
from pistachiohook_core.consensus.messages import ReadIndexResponse
from pistachiohook_core.consensus.replica import Role


def run_and_hold(cluster, seconds, is_held):
    """Let time pass, and return the messages that are held back meanwhile.

    :param is_held: tells, by sender, receiver and message, what is held back
    """
    held = []
    end = cluster.now + seconds
    while cluster.now < end:
        cluster.tick()
        for _ in range(len(cluster.in_flight) * 3):
            if not cluster.in_flight:
                break
            source, target, data = cluster.in_flight[0]
            message = CONSENSUS_CODEC.decode(data, source).unwrap()
            if is_held(source, target, message):
                held.append(cluster.in_flight.pop(0))
            else:
                cluster.deliver()
    return held


def lead_again(cluster, name):
    """Let an instance win the election that follows its restart."""
    for _ in range(100):
        cluster.run(0.05)
        process = cluster.instances[name].process
        if process.replica.role is Role.LEADER:
            return
        for other in cluster.instances.values():
            replica = other.process.replica
            replica.leader_contact_at = float('-inf')
            replica.election_at = float('inf')
        process.replica.election_at = float('-inf')
    raise AssertionError('not elected again')


@when(
    'the appends of {seconds:d} second to a follower arrive only after the'
    ' leader has restarted and leads again'
)
def hold_appends(context, seconds):
    cluster = context.cluster
    # The former process has begun more heartbeat rounds than the new one.
    cluster.run(20)
    record_leader(context)
    follower = context.others[0]
    held = run_and_hold(
        cluster,
        seconds,
        lambda source, target, _: (
            (source, target) == (context.leader, follower)
        ),
    )
    assert held
    cluster.kill(context.leader)
    cluster.start(context.leader)
    lead_again(cluster, context.leader)
    cluster.in_flight.extend(held)
    cluster.run(1)
    assert cluster.find_leader() == context.leader


@when('the leader is frozen while the others accept a change')
def freeze_leader(context):
    cluster = context.cluster
    context.frozen = cluster.instances[context.leader]
    context.process, context.frozen.process = context.frozen.process, None
    cluster.run(6)
    accept_elsewhere(context, 1)
    context.frozen.process = context.process


@then('the first read on it is not answered')
def check_first_read(context):
    number = context.cluster.read(context.leader)
    assert number not in context.cluster.read_done


@when(
    'the answer to a read on a follower arrives only after it has restarted'
    ' and {count:d} more changes are accepted'
)
def hold_answer(context, count):
    cluster = context.cluster
    record_leader(context)
    context.follower = context.others[0]
    restart(cluster, context.follower)
    cluster.run(1)
    first = cluster.read(context.follower)
    context.held = run_and_hold(
        cluster,
        0.5,
        lambda _, target, message: (
            isinstance(message, ReadIndexResponse)
            and target == context.follower
        ),
    )
    assert context.held
    assert first not in cluster.read_done
    restart(cluster, context.follower)
    cluster.run(1)
    numbers = [cluster.propose(context.leader) for _ in range(count)]
    cluster.run(1)
    assert all(number in cluster.accepted for number in numbers)


def restart(cluster, name):
    cluster.kill(name)
    cluster.start(name)


@then('a read that it has begun meanwhile is not confirmed by that answer')
def check_unconfirmed(context):
    cluster = context.cluster
    replica = cluster.instances[context.follower].process.replica
    cluster.split(context.follower)
    for number in range(1, 10):
        cluster.reads[number] = (context.follower, 0)
        cluster.feed(context.follower, Read(number))
    cluster.heal()
    cluster.in_flight[:] = context.held
    while cluster.in_flight:
        cluster.deliver()
    assert not replica.confirmed_reads
    assert not set(range(1, 10)) & set(cluster.read_done)

"""Steps on network faults."""

from __future__ import annotations

from random import Random

from behave import then
from behave import when


def record_leader(context):
    cluster = context.cluster
    leader = cluster.find_leader()
    replica = cluster.instances[leader].process.replica
    context.leader = leader
    context.term = replica.hard_state.term
    context.others = [name for name in cluster.names if name != leader]


@when('the leader is isolated from the others for {seconds:d} seconds')
def isolate_leader(context, seconds):
    record_leader(context)
    context.isolated = context.leader
    context.cluster.split(context.leader)
    context.lost = [context.cluster.propose(context.leader)]
    context.reads = [context.cluster.read(context.leader)]
    context.cluster.run(seconds)
    context.lost += [context.cluster.propose(context.leader)]
    context.reads += [context.cluster.read(context.leader)]
    context.cluster.check()


@when('a follower is isolated from the others for {seconds:d} seconds')
def isolate_follower(context, seconds):
    record_leader(context)
    context.cluster.split(context.others[0])
    context.cluster.run(seconds)


@when('a follower receives nothing but can send for {seconds:d} seconds')
def cut_links_to_follower(context, seconds):
    record_leader(context)
    receiver = context.others[0]
    context.cluster.cut_links = {
        (name, receiver) for name in context.cluster.names
    }
    context.cluster.run(seconds)


@when('the network heals and {seconds:d} seconds pass')
def heal(context, seconds):
    context.cluster.heal()
    context.cluster.run(seconds)


@when('{count:d} changes are proposed to the leader, {snapshot} a snapshot')
def propose_many(context, count, snapshot):
    for _ in range(count):
        context.cluster.propose(context.leader)
    context.cluster.run(0.3)
    if snapshot == 'with':
        context.cluster.compact(context.leader)


@when(
    '{share:d} percent of all messages are {fault} while {count:d} changes '
    'are proposed'
)
def inject_faults(context, share, fault, count):
    record_leader(context)
    cluster = context.cluster
    random = Random(7)
    for _ in range(count):
        leader = cluster.find_leader()
        if leader:
            cluster.propose(leader)
        cluster.tick(0.02)
        for _ in range(min(200, len(cluster.in_flight))):
            deliver_or_fault(
                cluster, random.random() * 100 < share, fault, random
            )


def deliver_or_fault(cluster, faulty, fault, random):
    if not cluster.in_flight:
        return
    if not faulty:
        cluster.deliver()
    elif fault == 'lost':
        del cluster.in_flight[0]
    elif fault == 'duplicated':
        cluster.deliver(again=True)
        cluster.deliver()
    else:
        cluster.deliver(random.randrange(len(cluster.in_flight)))


@when('the leader is isolated and {count:d} changes are proposed to it')
def isolate_and_propose(context, count):
    record_leader(context)
    cluster = context.cluster
    cluster.split(context.leader)
    context.lost = [cluster.propose(context.leader) for _ in range(count)]
    cluster.run(5.0)


@when('the others accept {count:d} changes')
def accept_elsewhere(context, count):
    cluster = context.cluster
    leader = cluster.find_leader(tuple(context.others))
    numbers = [cluster.propose(leader) for _ in range(count)]
    cluster.run(1.0)
    assert all(number in cluster.accepted for number in numbers)


@when('a change is accepted by the others')
def accept_one(context):
    accept_elsewhere(context, 1)


@when('the leader receives no more messages')
def cut_links_to_leader(context):
    record_leader(context)
    cluster = context.cluster
    cluster.cut_links = {(name, context.leader) for name in cluster.names}


@then('the isolated instance is not the leader')
def check_no_leader(context):
    assert not context.cluster.find_leader((context.isolated,))


@then('no change that was proposed to the isolated instance is accepted')
def check_nothing(context):
    assert not set(context.lost) & set(context.cluster.accepted)


@then(
    'the state of the isolated instance is more than {seconds:d} seconds old'
)
def check_age(context, seconds):
    assert context.cluster.freshness(context.isolated) > seconds


@then('no read on the isolated instance is answered')
@then('a read on the isolated former leader is not answered')
def check_reads(context):
    context.reads.append(context.cluster.read(context.isolated))
    context.cluster.run(3.0)
    assert not set(context.reads) & set(context.cluster.read_done)
    assert set(context.reads) <= set(context.cluster.refused)


@then('a read on the new leader sees the change')
def check_new_read(context):
    cluster = context.cluster
    number = cluster.read(cluster.find_leader(tuple(context.others)))
    cluster.run(0.5)
    newest = max(index for index, _ in cluster.accepted.values())
    assert cluster.read_done[number] >= newest


@then('a read on the leader is not answered')
def check_unanswered(context):
    number = context.cluster.read(context.leader)
    context.cluster.run(0.5)
    assert number not in context.cluster.read_done


@then('the term is the same as before')
def check_term(context):
    assert max(context.cluster.leaders) == context.term


@then('some of the changes were accepted')
def check_some(context):
    assert len(context.cluster.accepted) > 10


@then('no instance holds any of the {count:d} changes')
def check_gone(context, count):
    assert len(context.lost) == count
    for name in context.cluster.names:
        held = {int(each) for each in context.cluster.commands(name)}
        assert not held & set(context.lost)


@when('all messages of one heartbeat arrive {seconds:d} seconds late')
def delay_all(context, seconds):
    cluster = context.cluster
    for _ in range(6):
        cluster.tick()
    late = len(cluster.in_flight)
    cluster.now += seconds
    for _ in range(late):
        cluster.deliver()


@then('the state of every instance is more than {seconds:d} seconds old')
def check_ages(context, seconds):
    for name in context.cluster.names:
        assert context.cluster.freshness(name) > seconds, name

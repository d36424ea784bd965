"""Steps on the bootstrap of a cluster, lost disks and repair."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
from pistachiohook_core.consensus.events import Received
from pistachiohook_core.consensus.events import Refusal
from pistachiohook_core.consensus.messages import Append
from pistachiohook_core.consensus.messages import CONSENSUS_CODEC
from pistachiohook_core.consensus.messages import PreVoteRequest
from pistachiohook_core.consensus.messages import VoteRequest
from virtual_cluster import Cluster
from virtual_cluster import start_cluster


@given('{size:d} control instances that all vote')
def start_all(context, size):
    context.cluster = start_cluster(size)
    context.proposed = []


@given('{size:d} control instances, of which only the first runs')
def start_first(context, size):
    context.cluster = Cluster(tuple('abcde'[:size]))
    context.cluster.start('a')


@given('{count:d} accepted changes')
def accept(context, count):
    propose(context, count)
    context.cluster.run(1.0)
    check_accepted(context, count)


@when('{count:d} changes are proposed to the leader')
def propose(context, count):
    leader = context.cluster.find_leader()
    context.proposed += [context.cluster.propose(leader) for _ in range(count)]


@when('{seconds:d} second passes')
@when('{seconds:d} seconds pass')
def run(context, seconds):
    context.cluster.run(seconds)


def list_followers(cluster):
    leader = cluster.find_leader()
    return [name for name in cluster.names if name != leader]


def kill_leader(cluster):
    cluster.kill(cluster.find_leader())


def kill_follower(cluster):
    cluster.kill(list_followers(cluster)[0])


def restart_leader(cluster):
    restart(cluster, cluster.find_leader())


def restart_all(cluster):
    for name in cluster.names:
        cluster.kill(name)
    for name in cluster.names:
        cluster.start(name)


def compact_and_restart(cluster):
    cluster.compact(cluster.find_leader())
    cluster.run(0.5)
    restart_all(cluster)


def restart(cluster, name):
    cluster.kill(name)
    cluster.start(name)


def restart_with_empty_disk(cluster, name):
    cluster.lose_disk(name)
    cluster.start(name)


def replace_leader(cluster):
    restart_with_empty_disk(cluster, cluster.find_leader())


def replace_follower(cluster):
    restart_with_empty_disk(cluster, list_followers(cluster)[0])


def compact_and_replace(cluster):
    cluster.compact(cluster.find_leader())
    replace_follower(cluster)


def wait_for_repair(cluster):
    """Let time pass until every instance's newest identity votes."""
    for _ in range(100):
        cluster.run(0.1)
        identities = {one.identity for one in cluster.instances.values()}
        if cluster.voters() == identities:
            return
    raise AssertionError('not repaired')


def replace_two(cluster):
    first, second = list_followers(cluster)[:2]
    restart_with_empty_disk(cluster, first)
    wait_for_repair(cluster)
    restart_with_empty_disk(cluster, second)


def replace_then_leader(cluster):
    replace_follower(cluster)
    wait_for_repair(cluster)
    replace_leader(cluster)


def replace_then_kill(cluster):
    first, second = list_followers(cluster)[:2]
    restart_with_empty_disk(cluster, first)
    wait_for_repair(cluster)
    cluster.kill(second)


LOSSES = {
    'the leader is killed': kill_leader,
    'a follower is killed': kill_follower,
    'the leader is killed and started': restart_leader,
    'all instances are killed and started': restart_all,
    'the leader takes a snapshot, all are restarted': compact_and_restart,
    'the leader loses its disk': replace_leader,
    'a follower loses its disk': replace_follower,
    'a follower loses its disk after a snapshot': compact_and_replace,
    'two followers lose their disks, one after repair': replace_two,
    'the leader loses its disk after a repair': replace_then_leader,
    'a follower loses its disk, another is killed after repair': (
        replace_then_kill
    ),
}


@when(
    'a follower loses its disk and only receives requests for its old identity'
)
def receive_old_requests(context):
    cluster = context.cluster
    name = list_followers(cluster)[0]
    old = cluster.instances[name].identity
    restart_with_empty_disk(cluster, name)
    leader = cluster.instances[cluster.find_leader()].identity
    common = (leader, leader, old, 99)
    cluster.in_flight.clear()
    for message in (
        PreVoteRequest(*common, 10_000, 99),
        VoteRequest(*common, 10_000, 99),
        Append(*common, 0, 0, (), 0, 1),
    ):
        CONSENSUS_CODEC.decode(
            CONSENSUS_CODEC.encode(message), 'test'
        ).unwrap()
        cluster.feed(name, Received(message))
    context.old = old


@when('a follower is replaced, and its instance restarts with its old disk')
def restart_with_old_disk(context):
    cluster = context.cluster
    name = list_followers(cluster)[0]
    context.old = cluster.instances[name].identity
    old_disk = cluster.instances[name].disk
    restart_with_empty_disk(cluster, name)
    wait_for_repair(cluster)
    cluster.kill(name)
    cluster.instances[name].disk = old_disk
    cluster.start(name)
    cluster.run(6.0)


@when('the following happens: {loss}')
def apply_loss(context, loss):
    LOSSES[loss](context.cluster)


@then('all {count:d} changes are accepted')
def check_accepted(context, count):
    accepted = context.cluster.accepted
    assert all(number in accepted for number in context.proposed)
    assert len(context.proposed) == count


@then('every instance holds the same changes')
@then('every running instance holds all accepted changes')
def check_same(context):
    cluster = context.cluster
    cluster.check()
    cluster.run(1.0)
    held = [
        cluster.commands(name)
        for name in cluster.names
        if cluster.instances[name].process
    ]
    assert held
    for commands in held:
        assert commands == held[0]
        numbers = {int(command) for command in commands}
        assert numbers.issuperset(cluster.accepted)


@then('the state of every instance is less than 0.5 seconds old')
def check_fresh(context):
    for name in context.cluster.names:
        assert context.cluster.freshness(name) < 0.5


@then('a leader accepts another change')
def check_further(context):
    number = context.cluster.propose(context.cluster.find_leader())
    context.cluster.run(1.0)
    assert number in context.cluster.accepted


@then('it answers none of them')
def check_none_answered(context):
    assert not context.cluster.in_flight, context.cluster.in_flight


@then('its old identity is retired once it has joined again')
def check_retired(context):
    wait_for_repair(context.cluster)
    assert context.old not in context.cluster.voters()
    last = max(context.cluster.committed)
    assert context.old in find_membership(context.cluster, last).retired


def find_membership(cluster, last):
    return next(
        entry.membership
        for index, entry in sorted(cluster.committed.items(), reverse=True)
        if index <= last and entry.membership is not None
    )


@then('the old identity is neither a voter nor the leader')
def check_excluded(context):
    cluster = context.cluster
    assert context.old not in cluster.voters()
    assert cluster.find_leader()
    assert cluster.instances[cluster.find_leader()].identity != context.old


@then('a change that is proposed to the first is refused')
def check_refused(context):
    number = context.cluster.propose('a')
    assert isinstance(context.cluster.refused[number], Refusal)


@then('it is told that it is retired')
def check_told(context):
    assert context.old in context.cluster.retired


@when(
    'a follower loses its disk, and only it receives the entry that admits it'
)
def admit_without_commit(context):
    cluster = context.cluster
    leader = cluster.find_leader()
    context.lost = list_followers(cluster)[0]
    restart_with_empty_disk(cluster, context.lost)
    cluster.cut_links = {
        (leader, name) for name in cluster.names if name != context.lost
    }
    cluster.run(0.6)
    replica = cluster.instances[context.lost].process.replica
    assert replica.membership.learners == (replica.identity,)
    assert replica.identity not in find_members(cluster)
    context.leader = leader


@when('the leader is killed and stays down')
def kill_leader_permanently(context):
    context.cluster.kill(context.leader)
    context.cluster.heal()


@then('the instance that lost its disk becomes a voter')
def check_becomes_voter(context):
    cluster = context.cluster
    cluster.run(10.0)
    assert cluster.instances[context.lost].identity in cluster.voters()


def find_members(cluster):
    last = max(cluster.committed)
    return find_membership(cluster, last).members

"""Steps on clusters whose membership follows the running instances."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
from pistachiohook_core.consensus.entries import make_identity
from pistachiohook_core.consensus.events import Leave
from pistachiohook_core.consensus.events import Received
from pistachiohook_core.consensus.messages import CONSENSUS_CODEC
from pistachiohook_core.consensus.messages import JoinResponse
from pistachiohook_core.consensus.replica import Role
from virtual_cluster import Cluster
from virtual_cluster import TIMING

#: Names in the order in which instances start; some are spare.
NAMES = 'abcdefghijkl'

#: Largest number of voters while the tolerance needs no more.
VOTERS_MAX = 9


def build_cluster(size, tolerance):
    cluster = Cluster(tuple(NAMES), seeds=tuple('abc'), tolerance=tolerance)
    for number, name in enumerate(NAMES):
        cluster.instances[name].clock_offset = number * 1000.0
    return cluster


def count_votes(size, tolerance, diskless=''):
    """Return how many of the first instances vote once all have joined."""
    with_disk = [name for name in NAMES[:size] if name not in diskless]
    return min(len(with_disk), max(VOTERS_MAX, 2 * tolerance + 1))


def list_running(cluster):
    return [
        name
        for name in cluster.names
        if cluster.instances[name].process is not None
    ]


def list_voting(cluster):
    """Return the instances that run and vote."""
    return [
        name
        for name in list_running(cluster)
        if cluster.instances[name].identity in cluster.voters()
    ]


def wait_until(cluster, seconds, condition):
    end = cluster.now + seconds
    while cluster.now < end:
        if condition():
            return
        cluster.run(0.2)
    raise AssertionError(f'not within {seconds} s: {cluster.voters()}')


@given('instances "{names}" have no disk')
def set_diskless(context, names):
    context.diskless = names


@given(
    '{size:d} instances with 3 seeds and a fault tolerance of {tolerance:d}'
)
def start_and_join(context, size, tolerance):
    context.cluster = build_cluster(size, tolerance)
    context.cluster.diskless = getattr(context, 'diskless', '')
    context.proposed = []
    for name in NAMES[:size]:
        context.cluster.start(name)
    votes = count_votes(size, tolerance, context.cluster.diskless)
    wait_until(
        context.cluster,
        20,
        lambda: len(list_voting(context.cluster)) == votes,
    )
    context.cluster.run(1)


@given(
    '{size:d} instances with 3 seeds and a fault tolerance of '
    '{tolerance:d}, of which {running:d} run'
)
def start_some(context, size, tolerance, running):
    context.cluster = build_cluster(size, tolerance)
    context.later = NAMES[running:size]
    for name in NAMES[:running]:
        context.cluster.start(name)
    if context.later:
        context.cluster.run(5)


@given('{disks:d} instances with disks and a fault tolerance of {tolerance:d}')
def start_with_disks(context, disks, tolerance):
    context.cluster = build_cluster(disks, tolerance)
    # A deployment's settings name at most three of its instances.
    context.cluster.seeds = tuple(NAMES[: min(3, disks)])
    for name in NAMES[:disks]:
        context.cluster.start(name)


@when('a voter is killed')
def kill_follower(context):
    context.cluster.kill(find_followers(context.cluster)[0])
    context.cluster.run(4)


def find_followers(cluster):
    leader = cluster.find_leader()
    return [name for name in list_voting(cluster) if name != leader]


@then('all voters that run hold all accepted changes')
def check_voters_hold(context):
    cluster = context.cluster
    index = max(index for index, _ in cluster.accepted.values())
    for name in list_voting(cluster):
        log = cluster.instances[name].process.replica.log
        assert log.last_index >= index, name


@when('another voter is cut off for 1 second while a change is proposed')
def cut_off_and_propose(context):
    cluster = context.cluster
    cluster.split(find_followers(cluster)[0])
    context.number = cluster.propose(cluster.find_leader())
    cluster.run(1)


@then('that change is not accepted meanwhile')
def check_not_accepted(context):
    assert context.number not in context.cluster.accepted


@when(
    "the leader's instances answer an old join request under an earlier"
    ' identity'
)
def answer_old_request(context):
    cluster = context.cluster
    context.leader = cluster.find_leader()
    replica = cluster.instances[context.leader].process.replica
    for name in find_followers(cluster):
        message = JoinResponse(
            '',
            make_identity(name, '0'),
            replica.identity,
            replica.hard_state.term,
            blank=True,
            retired=False,
            number=replica.join_number - 1,
        )
        data = CONSENSUS_CODEC.encode(message)
        context.old_responses = getattr(context, 'old_responses', [])
        context.old_responses.append((name, context.leader, data))


@when('all other voters are cut off')
def cut_off_others(context):
    context.cluster.split(context.leader)


@then(
    'the leader steps down and is not elected again within {seconds:d} seconds'
)
def check_not_elected(context, seconds):
    cluster = context.cluster
    cluster.run(4)
    replica = cluster.instances[context.leader].process.replica
    assert replica.role is not Role.LEADER
    end = cluster.now + seconds
    while cluster.now < end:
        for _, target, data in context.old_responses:
            message = CONSENSUS_CODEC.decode(data, target).unwrap()
            cluster.feed(target, Received(message))
        cluster.run(0.5)
        assert replica.role is not Role.LEADER


@when('the others start')
def start_others(context):
    for name in context.later:
        context.cluster.start(name)


@then('no change is accepted')
def check_none_accepted(context):
    cluster = context.cluster
    for name in list_running(cluster):
        cluster.propose(name)
    cluster.run(3)
    assert not cluster.accepted


def is_accepted(cluster):
    """Propose to the leader and tell whether that is accepted."""
    leader = cluster.find_leader()
    if not leader:
        return False
    number = cluster.propose(leader)
    cluster.run(0.5)
    return number in cluster.accepted


@then('a change is accepted within {seconds:d} seconds')
@then('within {seconds:d} seconds a leader accepts another change')
def accept_within(context, seconds):
    wait_until(context.cluster, seconds, lambda: is_accepted(context.cluster))
    context.cluster.run(1)


@then('{voters:d} of them vote, and all are members')
def check_voters(context, voters):
    cluster = context.cluster
    cluster.run(3)
    assert len(cluster.voters()) == voters, cluster.voters()
    leader = cluster.instances[cluster.find_leader()].process.replica
    members = leader.membership.members
    assert len(members) == len(list_running(cluster)), members


@then('every running instance applies a newly proposed change')
def check_held(context):
    cluster = context.cluster
    command = b'further %d' % len(cluster.accepted)
    cluster.propose(cluster.find_leader(), command)
    cluster.run(2)
    for name in list_running(cluster):
        assert command in cluster.commands(name), name


@then('no instance of "{names}" votes')
def check_diskless(context, names):
    voting = list_voting(context.cluster)
    assert not set(names).intersection(voting), voting


@when('all instances of "{names}" restart')
def restart_diskless(context, names):
    for name in names:
        context.cluster.lose_disk(name)
        context.cluster.start(name)


@when('all instances restart with empty disks and may not bootstrap a cluster')
def restart_with_empty_disks(context):
    cluster = context.cluster
    cluster.may_bootstrap = False
    running = list_running(cluster)
    for name in running:
        cluster.lose_disk(name)
    for name in running:
        cluster.start(name)


@then('there is no leader after {seconds:d} seconds')
def check_no_leader(context, seconds):
    context.cluster.run(seconds)
    roles = [
        context.cluster.instances[name].process.replica.role
        for name in list_running(context.cluster)
    ]
    assert Role.LEADER not in roles


@when('a voter is permanently lost')
def lose_voter(context):
    cluster = context.cluster
    context.cluster.may_bootstrap = False
    cluster.lose_disk(list_voting(cluster)[-1])


@when('a new instance starts at another address')
def start_new(context):
    start_spare(context.cluster)


def start_spare(cluster):
    started = [
        name
        for name in cluster.names
        if cluster.instances[name].identity_count
    ]
    cluster.start(cluster.names[len(started)])


@then('within {seconds:d} seconds {voters:d} of the running instances vote')
def check_voting(context, seconds, voters):
    cluster = context.cluster

    def have_voters():
        return len(list_voting(cluster)) == len(cluster.voters()) == voters

    wait_until(cluster, seconds, have_voters)
    cluster.run(1)


@when('another voter is killed')
def lose_further(context):
    cluster = context.cluster
    cluster.kill(list_voting(cluster)[0])
    cluster.run(5)


def stop_process(cluster, name, notice):
    if notice == 'with':
        cluster.stop(name)
    else:
        cluster.kill(name)


@when(
    'two new instances have run for 5 seconds, and two others are removed'
    ' {gap:g} seconds apart {notice} notice'
)
def replace_two(context, gap, notice):
    cluster = context.cluster
    cluster.may_bootstrap = False
    former = list_voting(cluster)[:2]
    for _ in former:
        start_spare(cluster)
    cluster.run(5)
    for name in former:
        stop_process(cluster, name, notice)
        cluster.run(gap)


@when(
    'a new instance has run for 5 seconds, another is removed {notice} notice,'
    ' and one more loses its disk {gap:g} seconds later'
)
def replace_one_and_lose_disk(context, notice, gap):
    cluster = context.cluster
    cluster.may_bootstrap = False
    removed, wiped = list_voting(cluster)[:2]
    start_spare(cluster)
    cluster.run(5)
    stop_process(cluster, removed, notice)
    cluster.run(gap)
    cluster.lose_disk(wiped)
    cluster.start(wiped)


@when(
    'each voter in turn is stopped with notice and started {pause:g} seconds'
    ' later'
)
def stop_in_turn(context, pause):
    cluster = context.cluster
    cluster.may_bootstrap = False
    context.changes = count_changes(cluster)
    for name in list_voting(cluster):
        assert cluster.stop(name)
        cluster.run(pause)
        cluster.start(name)
        cluster.run(4)


def count_changes(cluster):
    """Return how often the voters have changed."""
    return sum(
        entry.membership is not None and bool(entry.membership.former_voters)
        for entry in cluster.committed.values()
    )


@then('the voters have changed {number:d} times since')
def check_changes(context, number):
    changes = count_changes(context.cluster) - context.changes
    assert changes == number, changes


@when('a voter gives notice and 5 seconds pass')
def give_notice(context):
    cluster = context.cluster
    cluster.feed(list_voting(cluster)[0], Leave())
    cluster.run(5)


@when('a voter is cut off for {seconds:d} seconds')
def cut_off(context, seconds):
    cluster = context.cluster
    followers = [
        name for name in list_voting(cluster) if name != cluster.find_leader()
    ]
    cluster.split(followers[0])
    cluster.run(seconds)


@when('the network heals')
def heal(context):
    context.cluster.heal()


@then('within {seconds:d} seconds every running instance is a member')
def check_members(context, seconds):
    cluster = context.cluster

    def are_members():
        leader = cluster.find_leader()
        replica = cluster.instances[leader].process.replica
        identities = {
            cluster.instances[name].identity for name in list_running(cluster)
        }
        return set(replica.membership.members) == identities

    wait_until(cluster, seconds, are_members)


@when('two seeds are replaced by new instances, one after the other')
def replace_seeds(context):
    cluster = context.cluster
    cluster.may_bootstrap = False
    for name in 'ab':
        cluster.lose_disk(name)
        start_spare(cluster)
        cluster.run(8)


@when(
    'a change is accepted, all instances are killed, and {lost:d} '
    'voters that have it restart with empty disks, the others with their own'
)
def accept_and_lose_disks(context, lost):
    cluster = context.cluster
    cluster.may_bootstrap = False
    number = cluster.propose(cluster.find_leader())
    while number not in cluster.accepted:
        if cluster.in_flight:
            cluster.deliver()
        else:
            cluster.tick()
    running = list_running(cluster)
    index = cluster.accepted[number][0]
    holders = [
        name
        for name in list_voting(cluster)
        if cluster.instances[name].process.replica.log.last_index >= index
    ]
    cluster.in_flight.clear()
    for name in running:
        cluster.kill(name)
    for name in holders[:lost]:
        cluster.lose_disk(name)
    for name in running:
        cluster.start(name)


@when(
    'the last voter is slow to join, the first change is accepted and the'
    ' leader is killed at once'
)
def accept_first_and_kill_leader(context):
    cluster = context.cluster
    end = cluster.now + 20
    cut_until = None
    while not cluster.accepted:
        assert cluster.now < end
        leader = cluster.find_leader()
        if leader:
            cluster.propose(leader)
            replica = cluster.instances[leader].process.replica
            if cut_until is None and len(replica.membership.voters) == 2:
                cut_until = cluster.now + 3
                cluster.split(find_learner(cluster, replica))
        if cut_until is not None and cluster.now > cut_until:
            cluster.heal()
        cluster.tick()
        for _ in range(len(cluster.in_flight)):
            cluster.deliver()
    cluster.heal()
    cluster.kill(cluster.find_leader())


def find_learner(cluster, replica):
    """Return the instance that does not vote yet."""
    return next(
        name
        for name in list_running(cluster)
        if cluster.instances[name].identity not in replica.membership.voters
    )


@when('nothing is proposed for {length:d} s')
def count_messages(context, length):
    cluster = context.cluster
    wait_until(cluster, 20, lambda: len(cluster.voters()) == 8)
    cluster.run(5)
    context.heartbeats = length / TIMING.heartbeat
    context.messages = 0
    end = cluster.now + length
    while cluster.now < end:
        cluster.tick()
        while cluster.in_flight:
            context.messages += 1
            cluster.deliver()


@then(
    'at most {number:d} messages were sent for each other member and heartbeat'
)
def check_messages(context, number):
    others = len(list_running(context.cluster)) - 1
    # One more heartbeat fits into the interval when it begins with one.
    most = number * others * (context.heartbeats + 1)
    assert context.messages <= most, (context.messages, most)


@then('the state at each instance was confirmed at most {age:f} s ago')
def check_confirmed(context, age):
    cluster = context.cluster
    ages = [cluster.freshness(name) for name in list_running(cluster)]
    assert max(ages) <= age, ages

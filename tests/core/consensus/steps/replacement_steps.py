"""Steps on faults at every moment of the replacement of a voter."""

from __future__ import annotations

from itertools import permutations
from itertools import product

from behave import given
from behave import then
from dynamic_membership_steps import build_cluster
from dynamic_membership_steps import find_followers
from dynamic_membership_steps import is_accepted
from dynamic_membership_steps import list_voting
from dynamic_membership_steps import NAMES
from dynamic_membership_steps import wait_until
from virtual_cluster import STEP

#: Time between the starts of two instances of one deployment, in seconds.
START_GAP = 0.1


def start_all(size):
    """Return a cluster with a tolerance of half its voters, and a change."""
    tolerance = (size - 1) // 2
    cluster = build_cluster(size, tolerance)
    for name in NAMES[:size]:
        cluster.start(name)
    wait_until(cluster, 20, lambda: len(list_voting(cluster)) == size)
    cluster.run(1)
    accept(cluster)
    return cluster


def accept(cluster):
    """Propose to the leader until a change is accepted."""
    number = cluster.propose(cluster.find_leader())
    wait_until(cluster, 5, lambda: number in cluster.accepted)


def kill_voter(cluster, name):
    cluster.kill(name)


def lose_voter(cluster, name):
    cluster.lose_disk(name)
    cluster.start(name)


LOSSES = {
    'a voter is killed': kill_voter,
    'a voter loses its disk': lose_voter,
}


def restart_all(cluster, order):
    """Start all instances in an order, shortly one after the other."""
    for name in order:
        if cluster.instances[name].process is None:
            cluster.start(name)
        cluster.run(START_GAP)


def list_ticks(begin, end):
    first, last = round(begin / STEP), round(end / STEP)
    return [number * STEP for number in range(first, last + 1)]


@given(
    'each tick from {begin:g} to {end:g} seconds after {loss}, at which '
    'another voter of {size:d} instances is killed'
)
def set_kill_times(context, begin, end, loss, size):
    context.disturb = LOSSES[loss]
    context.size = size
    context.times = list_ticks(begin, end)


@then(
    'each time, a change accepted by the others survives the loss of the'
    " leader's disk when all are killed {pause:g} seconds later"
)
def check_survives(context, pause):
    orders = permutations(range(3))
    for time, order in product(context.times, orders):
        play_lost_disk(context, time, pause, order)


def play_lost_disk(context, time, pause, order):
    """Play the faults; the first three instances start again in an order."""
    cluster = start_all(context.size)
    leader = cluster.find_leader()
    first, second = find_followers(cluster)[:2]
    others = [
        name
        for name in NAMES[: context.size]
        if name not in (leader, first, second)
    ]
    context.disturb(cluster, first)
    cluster.run(time)
    cluster.kill(second)
    number = cluster.propose(leader)
    cluster.run(2.5 + pause)
    for name in NAMES[: context.size]:
        cluster.kill(name)
    cluster.lose_disk(leader)
    disturbed = (leader, first, second)
    restart_all(cluster, [*(disturbed[one] for one in order), *others])
    cluster.run(12)
    cluster.check()
    if number in cluster.accepted:
        for name in NAMES[: context.size]:
            assert b'%d' % number in cluster.commands(name), (time, order)


@given(
    'each tick from {begin:g} to {end:g} seconds after a voter is killed, at '
    'which {lost:d} others of {size:d} instances lose their disks'
)
def set_loss_times(context, begin, end, lost, size):
    context.lost = lost
    context.size = size
    context.times = list_ticks(begin, end)


@then(
    'each time, a leader accepts another change within {seconds:d} seconds '
    'after all have started again'
)
def check_leader(context, seconds):
    for time in context.times:
        play_lost_voters(context, time, seconds)


def play_lost_voters(context, time, seconds):
    cluster = start_all(context.size)
    killed, *others = find_followers(cluster)
    cluster.kill(killed)
    cluster.run(time)
    for name in others[: context.lost]:
        cluster.lose_disk(name)
        cluster.start(name)
    cluster.run(1)
    cluster.start(killed)
    wait_until(cluster, seconds, lambda: is_accepted(cluster))
    cluster.check()

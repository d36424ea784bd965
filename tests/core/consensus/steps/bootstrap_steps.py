"""Steps on the first start of all instances."""

from __future__ import annotations

from functools import partial
from random import Random

from behave import given
from behave import then
from behave import when
from dynamic_membership_steps import build_cluster
from dynamic_membership_steps import is_accepted
from dynamic_membership_steps import list_running
from dynamic_membership_steps import NAMES
from dynamic_membership_steps import wait_until
from virtual_cluster import STEP

#: Time within which all instances of a deployment start, in seconds.
START_SPREAD = 0.3

#: Time for which faults come after the first start, in seconds.
FAULTS = 3.0

#: Most processes that are killed during the first start.
KILLS_MAX = 2


@given(
    '{size:d} instances with 3 seeds and a fault tolerance of {tolerance:d},'
    ' of which "{diskless}" have no disk'
)
@given(
    '{size:d} instances with 3 seeds and a fault tolerance of {tolerance:d},'
    ' of which "" have no disk'
)
def set_deployment(context, size, tolerance, diskless=''):
    context.deployment = size, tolerance, diskless


def create_cluster(context, seed):
    size, tolerance, diskless = context.deployment
    cluster = build_cluster(size, tolerance)
    cluster.seed = seed
    cluster.diskless = diskless
    return cluster, NAMES[:size]


def draw_starts(cluster, names, random):
    return {
        name: cluster.now + random.uniform(0, START_SPREAD) for name in names
    }


def start_due(cluster, starts):
    """Start the instances whose time has come, and forget their times."""
    due = [name for name, at in starts.items() if at <= cluster.now]
    for name in due:
        del starts[name]
        cluster.start(name)


@when(
    'they start for the first time within 0.3 seconds of each other, with'
    ' seeds {first:d} to {last:d}'
)
def start_all(context, first, last):
    context.clusters = []
    for seed in range(first, last + 1):
        cluster, names = create_cluster(context, seed)
        starts = draw_starts(cluster, names, Random(seed))
        while starts:
            start_due(cluster, starts)
            cluster.run(STEP)
        context.clusters.append(cluster)


@when(
    'they start for the first time beside faults of processes and network,'
    ' with seeds {first:d} to {last:d}'
)
def start_beside_faults(context, first, last):
    context.clusters = [
        play_faults(context, seed) for seed in range(first, last + 1)
    ]


def play_faults(context, seed):
    random = Random(seed)
    cluster, names = create_cluster(context, seed)
    starts = draw_starts(cluster, names, random)
    kill_times = sorted(
        cluster.now + random.uniform(0, FAULTS)
        for _ in range(random.randint(0, KILLS_MAX))
    )
    end = cluster.now + FAULTS
    while cluster.now < end or starts:
        start_due(cluster, starts)
        cluster.tick()
        deliver_some(cluster, random)
        if kill_times and kill_times[0] <= cluster.now:
            del kill_times[0]
            name = random.choice(names)
            kill(cluster, name)
            starts[name] = cluster.now + random.uniform(0.3, 1.0)
    return cluster


def kill(cluster, name):
    if name in cluster.diskless:
        cluster.lose_disk(name)
    else:
        cluster.kill(name)


def deliver_some(cluster, random):
    """Deliver most messages in any order; lose a few."""
    for _ in range(len(cluster.in_flight) * 2):
        if not cluster.in_flight:
            return
        place = random.randrange(len(cluster.in_flight))
        if random.random() < 0.05:
            del cluster.in_flight[place]
        elif random.random() < 0.6:
            cluster.deliver(place)


@when(
    'they start for the first time, and the first candidate that two have'
    ' nominated loses its disk'
)
def lose_candidate(context):
    cluster, names = create_cluster(context, seed=0)
    for name in names:
        cluster.start(name)
    candidate = None
    while candidate is None:
        cluster.run(STEP)
        candidate = find_candidate(cluster, nominations=2)
    cluster.lose_disk(candidate)
    cluster.instances[candidate].may_bootstrap = False
    cluster.start(candidate)
    context.clusters = [cluster]


def find_candidate(cluster, nominations):
    """Return the instance that is nominated so often, or ``None``."""
    replicas = [
        cluster.instances[name].process.replica
        for name in list_running(cluster)
    ]
    assert not any(replica.cluster for replica in replicas)
    nominees = [replica.nominee for replica in replicas]
    return next(
        (
            name
            for name in list_running(cluster)
            if nominees.count(cluster.instances[name].identity) >= nominations
        ),
        None,
    )


@then(
    'each time they form one cluster, which accepts a change within'
    ' {seconds:d} seconds'
)
def check_clusters(context, seconds):
    for cluster in context.clusters:
        wait_until(cluster, seconds, partial(is_accepted, cluster))
        cluster.run(2)
        cluster.check()
        replicas = [
            cluster.instances[name].process.replica
            for name in list_running(cluster)
        ]
        assert len(replicas) == context.deployment[0], cluster.seed
        found = {replica.cluster for replica in replicas}
        assert len(found) == 1, (cluster.seed, found)


@then('each time there is no leader, and all of them run')
def check_no_cluster(context):
    for cluster in context.clusters:
        cluster.run(5)
        assert not cluster.find_leader()
        assert len(list_running(cluster)) == context.deployment[0]

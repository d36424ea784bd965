"""Steps on the first start of all instances."""

from __future__ import annotations

from behave import then
from behave import when
from dynamic_membership_steps import build_cluster
from dynamic_membership_steps import NAMES
from explore_membership import check_first_start
from virtual_cluster import STEP


@when(
    '{size:d} instances with 3 seeds start, of which "{diskless}" have no disk'
)
def start_all(context, size, diskless):
    context.cluster = build_cluster(size, 1)
    context.cluster.diskless = diskless
    context.started = NAMES[:size]
    for name in context.started:
        context.cluster.start(name)


@when(
    '{size:d} instances with 3 seeds start, of which "{diskless}" have no'
    ' disk, and the first candidate that two have nominated loses its disk'
)
def lose_candidate(context, size, diskless):
    start_all(context, size, diskless)
    cluster = context.cluster
    candidate = None
    while candidate is None:
        cluster.run(STEP)
        candidate = find_candidate(context)
    cluster.lose_disk(candidate)
    cluster.instances[candidate].may_bootstrap = False
    cluster.start(candidate)


def find_candidate(context):
    """Return the instance that two have nominated, if there is one."""
    instances = context.cluster.instances
    replicas = [instances[name].process.replica for name in context.started]
    assert not any(replica.cluster for replica in replicas)
    nominees = [replica.nominee for replica in replicas]
    return next(
        (
            name
            for name in context.started
            if nominees.count(instances[name].identity) >= 2
        ),
        None,
    )


@then('they form one cluster, which accepts a change within 12 seconds')
def check_cluster(context):
    check_first_start(context.cluster, context.started)

"""Steps on the start of a whole cluster."""

from __future__ import annotations

from behave import then
from behave import when


@when('all instances are killed and started at once')
def restart_all(context):
    cluster = context.cluster
    cluster.flying.clear()
    for name in cluster.names:
        cluster.kill(name)
    for name in cluster.names:
        cluster.start(name)


@then('within {seconds:d} second there is a leader')
def check_leader(context, seconds):
    cluster = context.cluster
    end = cluster.now + seconds
    while cluster.now < end and not cluster.find_leader():
        cluster.run(0.05)
    assert cluster.find_leader()
    cluster.run(0.5)


@then('no instance that starts anew disturbs it for {seconds:d} seconds')
def check_calm(context, seconds):
    cluster = context.cluster
    leader = cluster.find_leader()
    term = cluster.instances[leader].process.replica.hard_state.term
    other = next(name for name in cluster.names if name != leader)
    cluster.kill(other)
    cluster.start(other)
    cluster.run(seconds)
    assert cluster.find_leader() == leader
    replica = cluster.instances[leader].process.replica
    assert replica.hard_state.term == term

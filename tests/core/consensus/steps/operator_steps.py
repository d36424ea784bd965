"""Steps on changes of operators, replicated and applied."""

from __future__ import annotations

from behave import then
from behave import when
from pistachiohook_core.configuration.commands import Accepted
from pistachiohook_core.configuration.commands import Change
from pistachiohook_core.configuration.commands import COMMAND_CODEC
from pistachiohook_core.configuration.commands import Conflict
from pistachiohook_core.configuration.objects import ObjectSet
from pistachiohook_core.configuration.objects import PolicyObject
from pistachiohook_core.configuration.state import apply_encoded
from pistachiohook_core.configuration.state import State


def propose(context, change_id, name=''):
    """Propose a change that was made against revision 0."""
    cluster = context.cluster
    objects = ObjectSet(policies={change_id: PolicyObject()})
    change = Change(change_id, 0, objects, 'ana', cluster.now)
    command = COMMAND_CODEC.encode(change)
    return cluster.propose(name or cluster.find_leader(), command)


def replay(cluster, name):
    """Apply an instance's commands; return the state and the outcomes."""
    state = State()
    outcomes = []
    for index, command in enumerate(cluster.commands(name), 1):
        step = apply_encoded(state, index, command)
        state = step.state
        outcomes.append(step.outcome)
    return state, outcomes


def find_follower(cluster):
    leader = cluster.find_leader()
    return next(name for name in cluster.names if name != leader)


@when(
    'the response to change "{change_id}" is lost before any other '
    'instance has it'
)
def lose_before_replication(context, change_id):
    cluster = context.cluster
    leader = cluster.find_leader()
    cluster.split(leader)
    propose(context, change_id)
    cluster.kill(leader)
    cluster.in_flight.clear()
    cluster.heal()
    cluster.run(4.0)
    assert not cluster.commands(cluster.find_leader())
    cluster.start(leader)


@when(
    'the response to change "{change_id}" is lost before the commit, '
    'and it is committed later'
)
def lose_before_commit(context, change_id):
    cluster = context.cluster
    leader = cluster.find_leader()
    number = propose(context, change_id)
    for _ in range(len(cluster.in_flight)):
        cluster.deliver()
    assert number not in cluster.accepted
    cluster.kill(leader)
    cluster.in_flight.clear()
    cluster.run(4.0)
    assert len(cluster.commands(cluster.find_leader())) == 1
    cluster.start(leader)


@when('the response to change "{change_id}" is lost after the commit')
def lose_after_commit(context, change_id):
    cluster = context.cluster
    leader = cluster.find_leader()
    number = propose(context, change_id)
    cluster.run(1.0)
    assert number in cluster.accepted
    cluster.kill(leader)
    cluster.run(4.0)
    cluster.start(leader)


@when(
    'the response to change "{change_id}" is lost after the commit, '
    'and all instances restart'
)
def lose_and_restart(context, change_id):
    cluster = context.cluster
    lose_after_commit(context, change_id)
    for name in cluster.names:
        cluster.kill(name)
        cluster.start(name)
    cluster.run(4.0)


@when(
    'the response to change "{change_id}" is lost after the commit, '
    'and all instances take a snapshot'
)
def lose_and_compact(context, change_id):
    lose_after_commit(context, change_id)
    for name in context.cluster.names:
        context.cluster.compact(name)


@when('change "{change_id}" is sent again to the leader')
def send_again(context, change_id):
    number = propose(context, change_id)
    context.cluster.run(1.0)
    assert number in context.cluster.accepted


@when('change "first" and change "second" are sent together')
def send_together(context):
    propose(context, 'first')
    propose(context, 'second')
    context.cluster.run(1.0)


@when('change "first" and change "second" are sent in turn')
def send_in_turn(context):
    propose(context, 'first')
    context.cluster.run(1.0)
    propose(context, 'second')
    context.cluster.run(1.0)


@when(
    'change "first" and change "second" are sent to an isolated leader '
    'and to a new one'
)
def send_to_two_leaders(context):
    cluster = context.cluster
    former = cluster.find_leader()
    cluster.split(former)
    propose(context, 'first', former)
    cluster.run(4.0)
    propose(context, 'second', cluster.find_leader())
    cluster.run(1.0)
    cluster.heal()
    cluster.run(2.0)
    send_again(context, 'first')


@then(
    'each attempt at change "{change_id}" gives the same outcome, '
    'accepted at revision {revision:d}'
)
def check_same_outcome(context, change_id, revision):
    cluster = context.cluster
    _, outcomes = replay(cluster, cluster.find_leader())
    assert outcomes
    assert set(outcomes) == {Accepted(revision)}, outcomes


@then('one is accepted at revision 1 and the other conflicts with it')
def check_race(context):
    cluster = context.cluster
    _, outcomes = replay(cluster, cluster.find_leader())
    won, lost = outcomes
    assert won == Accepted(1)
    assert isinstance(lost, Conflict)
    assert lost.winner.revision == 1


@then('every instance holds the configuration at revision 1')
def check_configuration(context):
    cluster = context.cluster
    cluster.run(1.0)
    states = [replay(cluster, name)[0] for name in cluster.names]
    assert all(state == states[0] for state in states)
    assert states[0].configuration == 1

"""Steps for replicators that are stopped as planned."""

from __future__ import annotations

import attrs
from behave import then
from behave import when
from full_disk_steps import list_voters
from replicator_steps import call
from replicator_steps import find_leader
from replicator_steps import start_one
from replicator_steps import stop
from replicator_steps import wait

#: Longest wait for a departure, in seconds.
LEAVE_TIMEOUT = 5.0


@when('a further instance joins and votes')
def join(context):
    context.names += 'd'
    context.dynamic_membership = attrs.evolve(
        context.dynamic_membership, may_bootstrap=False
    )

    async def start():
        start_one(context, 'd')

    call(context, start())
    wait(context, lambda: 'd' in list_voters(context))


@when('{instance} leaves and is stopped')
def leave(context, instance):
    leader = find_leader(context)
    name = next(each for each in context.running if each != leader)
    if instance == 'the leader':
        name = leader

    async def leave_and_stop():
        began = context.loop.time()
        await context.running[name].replicator.leave(LEAVE_TIMEOUT)
        context.waited = context.loop.time() - began
        await stop(context, name)

    call(context, leave_and_stop())
    assert context.waited < LEAVE_TIMEOUT, context.waited


@then('it has not waited, since its vote is needed')
def check_no_wait(context):
    assert context.waited < 0.1, context.waited

"""Steps for replicators whose disks are full for a while."""

from __future__ import annotations

import asyncio

import attrs
from behave import then
from behave import when
from pistachiohook_core.consensus.entries import parse_instance_name
from pistachiohook_core.events import JOURNAL_BLOCKED
from pistachiohook_core.events import JOURNAL_RESUMED
from pistachiohook_daemon.control.replicator import NOT_LEADER
from pistachiohook_daemon.control.replicator import REFUSED
from pistachiohook_daemon.control.replicator import UNKNOWN_OUTCOME
from replicator_steps import call
from replicator_steps import find_leader
from replicator_steps import propose
from replicator_steps import start_one
from replicator_steps import stop
from replicator_steps import wait
from returns.result import Success

#: Operations that need room on the disk.
WRITES = ('write', 'append', 'truncate', 'sync')

#: Operations that fail, by what finds the disk full.
OPERATIONS = {
    'an append': ('append',),
    'a torn append': ('torn append',),
    'a sync': ('sync',),
    'a snapshot': ('write',),
}


@when('the disk of the leader has no room for {operation}')
def fill_disk(context, operation):
    context.filled = find_leader(context)
    context.full[context.filled] = OPERATIONS[operation]


@when('its disk has room again')
def empty_disk(context):
    context.full.pop(context.filled)


@then('a command proposed to it is not accepted')
def check_not_accepted(context):
    [result] = call(context, propose(context, context.filled, [b'lost']))
    assert result.failure().reason == UNKNOWN_OUTCOME, result


@then('it refuses further commands and reads at once, and counts as no leader')
def check_refused(context):
    replicator = context.running[context.filled].replicator
    assert not replicator.is_leader
    assert replicator.leader == ''
    assert replicator.freshness(replicator.clock()) == float('inf')
    began = context.loop.time()
    [result] = call(context, propose(context, context.filled, [b'refused']))
    assert result.failure().reason == REFUSED, result
    read = call(context, replicator.read_barrier())
    assert read.failure().reason == REFUSED, read
    assert context.loop.time() - began < 0.5


@then('no task has ended, and each disk that was full is reported once')
def check_reports(context):
    def resumed():
        return {
            name for name, event in context.events if event is JOURNAL_RESUMED
        }

    blocked = [
        name for name, event in context.events if event is JOURNAL_BLOCKED
    ]
    assert blocked
    assert len(blocked) == len(set(blocked)), blocked
    wait(context, lambda: resumed() == set(blocked))
    ended = [
        name
        for name, running in context.running.items()
        if running.task.done()
    ]
    assert not ended, ended


@when(
    'the disk of each instance is full for {length:f} s, one after another'
    ' with {gap:f} s between'
)
def fill_in_turn(context, length, gap):
    async def fill_all():
        for name in context.names:
            context.full[name] = WRITES
            await asyncio.sleep(length)
            del context.full[name]
            await asyncio.sleep(gap)

    async def play():
        filling = asyncio.ensure_future(fill_all())
        context.tried = []
        number = 0
        while not filling.done():
            number += 1
            command = b'c%d' % number
            for result in await asyncio.gather(
                *(
                    context.running[name].replicator.propose(command)
                    for name in context.names
                )
            ):
                context.tried.append((command, result))
            await asyncio.sleep(0.05)
        await filling

    call(context, play())
    context.accepted += [
        command
        for command, result in context.tried
        if isinstance(result, Success)
    ]


@then(
    'commands that were proposed to all instances meanwhile were accepted or'
    ' are unknown'
)
def check_tried(context):
    reasons = {
        result.failure().reason
        for _, result in context.tried
        if not isinstance(result, Success)
    }
    assert context.accepted
    assert reasons <= {NOT_LEADER, REFUSED, UNKNOWN_OUTCOME}, reasons


@then('{number:d} further commands are accepted')
def check_further(context, number):
    async def accept(command):
        while True:
            for running in context.running.values():
                if not running.replicator.is_leader:
                    continue
                result = await running.replicator.propose(command)
                if isinstance(result, Success):
                    return
            await asyncio.sleep(0.02)

    async def accept_all():
        for index in range(number):
            await accept(b'f%d' % index)
            context.accepted.append(b'f%d' % index)

    call(context, accept_all())


@then('every instance holds all accepted commands')
def check_held(context):
    def holds(running):
        return set(running.commands) >= set(context.accepted)

    for running in context.running.values():
        wait(context, lambda running=running: holds(running))


@when('{number:d} commands are proposed to it')
def propose_to_it(context, number):
    async def submit():
        replicator = context.running[context.filled].replicator
        await asyncio.gather(
            *(replicator.propose(b'%d' % each) for each in range(number))
        )

    call(context, submit())


@when('the disk of {voter} is full and a further instance joins')
def join_while_full(context, voter):
    leader = find_leader(context)
    follower = next(name for name in context.names if name != leader)
    context.filled = leader if voter == 'the leader' else follower
    context.full[context.filled] = WRITES
    context.names += 'd'
    context.dynamic_membership = attrs.evolve(
        context.dynamic_membership, may_bootstrap=False
    )

    async def join():
        start_one(context, 'd')

    call(context, join())


@when('the disk has room at once')
def empty_at_once(context):
    del context.full[context.filled]


@when('the disk has room after it was replaced as a voter')
def empty_later(context):
    wait(context, lambda: 'd' in list_voters(context))
    del context.full[context.filled]


@then('{number:d} instances vote')
def check_voters(context, number):
    wait(context, lambda: len(list_voters(context)) == number)


def list_voters(context):
    """Return the names of the voters as the leader knows them."""
    return [
        parse_instance_name(identity)
        for running in context.running.values()
        if running.replicator.is_leader
        for identity in running.replicator._replica.membership.voters
    ]


@when(
    'the leader is stopped while the disk of a follower is full for'
    ' {length:f} s'
)
def stop_leader_while_full(context, length):
    leader = find_leader(context)
    follower = next(name for name in context.names if name != leader)
    context.stopped = leader

    async def empty():
        await asyncio.sleep(length)
        del context.full[follower]

    async def fill_and_stop():
        context.full[follower] = WRITES
        # The follower meets the full disk before the election.
        await context.running[leader].replicator.propose(b'first')
        await stop(context, leader)
        context.emptying = asyncio.ensure_future(empty())

    call(context, fill_and_stop())


@when('the stopped one is started')
def start_stopped(context):
    async def start_again():
        start_one(context, context.stopped)

    call(context, start_again())


@when('a follower is started again with a full disk')
def start_full(context):
    leader = find_leader(context)
    name = next(each for each in context.names if each != leader)
    call(context, stop(context, name))
    context.filled = name
    context.full[name] = WRITES

    async def start_again():
        start_one(context, name)
        await asyncio.sleep(0.3)

    call(context, start_again())

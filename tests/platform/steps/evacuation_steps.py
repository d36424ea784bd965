"""Steps on the evacuation of availability zones over loopback."""

from __future__ import annotations

import asyncio
import json

from behave import given
from behave import then
from behave import when
from path_steps import call_many
from path_steps import stop_leader
from pistachiohook_core.events import AGENT_EVACUATION_CHANGED
from pistachiohook_core.events import EVACUATION_ACCEPTED
from pistachiohook_core.passthrough.messages import TargetState
from pistachiohook_daemon.control.replicator import Replicator

#: Longest time from the acknowledgement to the last new flow, in seconds.
EVACUATION_BOUND = 5.0


@given('an agent "{name}" in zone "{zone}"')
def start_agent(context, name, zone):
    context.platform.call(context.platform.start_agent(name, zone))


async def post(context, address, path, body=''):
    return await context.platform.post(address, path, body.encode())


def order(context, path):
    """Repeat an order at all instances until one accepts it."""
    platform = context.platform

    async def send():
        while True:
            for address in platform.operators.values():
                response = await post(context, address, path)
                if response.code == 200:
                    return
            await asyncio.sleep(0.05)

    platform.call(send())


def read(context):
    """Return the state from each running instance that confirms it."""
    platform = context.platform

    async def read_one(name):
        while True:
            address = platform.operators[name]
            response = await platform.get(address, '/Evacuate.Get')
            if response.code == 200:
                return json.loads(response.body)
            await asyncio.sleep(0.05)

    return [
        platform.call(read_one(name))
        for name in platform.controls
        if name in platform.supervisors
    ]


@then('these calls to each instance are answered as follows')
def check_answers(context):
    platform = context.platform
    for row in context.table:
        _, _, path = row['call'].partition(' ')
        for address in platform.operators.values():
            found = platform.call(post(context, address, path, row['body']))
            assert found.code == int(row['status']), (row, found.body)
            assert found.body.decode() == row['response'], (row, found.body)


@then('the revision is {revision:d}, and the zones {zones} are evacuated')
def check_state(context, revision, zones):
    for found in read(context):
        assert found['Revision'] == revision, found
        assert found['Zones'] == zones.split(','), found


@then('all {number:d} agents are counted as following by each instance')
def check_followers(context, number):
    def count():
        return {
            role.directory.count_followers(
                role.route_state.evacuation.revision
            )
            for role in context.platform.controls.values()
        }

    context.platform.wait(lambda: count() == {(number, number)})


def evacuate(context, zone, active):
    order(context, f'/Evacuate.{"Start" if active else "End"}/{zone}')


@when('zone "{zone}" is evacuated and the agents follow')
def evacuate_and_wait(context, zone):
    evacuate(context, zone, True)
    acknowledged_at = context.platform.loop.time()
    wait_until_followed(context)
    elapsed = context.platform.loop.time() - acknowledged_at
    assert elapsed <= EVACUATION_BOUND, elapsed


@when('zone "{zone}" is returned to service and the agents follow')
def return_and_wait(context, zone):
    evacuate(context, zone, False)
    wait_until_followed(context)


@when('the agents follow')
def wait_until_followed(context):
    """Wait until the balancers know the state of each agent, too."""
    platform = context.platform
    zones = set(read(context)[0]['Zones'])

    def is_known():
        return all(
            (view.load.state is TargetState.EVACUATED)
            == (view.load.zone in zones)
            for role in platform.balancers.values()
            for view in role.balancer.views.list_all()
        )

    platform.wait(is_known)
    for role in platform.agents.values():
        wanted = role.settings.node.zone in zones
        assert role.agent.evacuated == wanted, role.settings.node


@then('the metrics of "{name}" show that its zone is evacuated and empty')
def check_metrics(context, name):
    platform = context.platform
    metrics = platform.metrics[name]
    opened = metrics.counts['flows_opened']
    platform.wait(lambda: not platform.agents[name].agent.count_open())
    lines = metrics.render_text().splitlines()
    for line in (
        'pistachiohook_evacuation_revision 1',
        'pistachiohook_zones_evacuated 1',
        'pistachiohook_zone_evacuated 1',
        'pistachiohook_flows_open 0',
    ):
        assert line in lines, (line, lines)
    call_many(context, 5)
    assert metrics.counts['flows_opened'] == opened
    numbers = [number for number, _ in platform.events]
    assert EVACUATION_ACCEPTED.number in numbers
    assert numbers.count(AGENT_EVACUATION_CHANGED.number) == 2
    control = platform.metrics['c0'].render_text()
    assert 'pistachiohook_evacuation_revision 1' in control


def stop_controls(context, names):
    for name in names:
        context.platform.call(context.platform.stop(name))


def restart_controls(context):
    names = list(context.platform.controls)
    stop_controls(context, names)
    for name in names:
        context.platform.call(restart_control(context, name))


async def restart_control(context, name):
    context.platform.restart_control(name)


def restart_from_snapshot(context):
    platform = context.platform
    # A snapshot replaces all entries of the journal.
    platform.wait(
        lambda: all(
            role.replicator._snapshot_index == role.replicator.applied
            for role in platform.controls.values()
        )
    )
    restart_controls(context)


@when('zone "{zone}" is evacuated, just before {fault}')
def evacuate_before(context, zone, fault):
    if 'snapshot' in fault:
        due = Replicator._is_snapshot_due
        context.add_cleanup(setattr, Replicator, '_is_snapshot_due', due)
        Replicator._is_snapshot_due = lambda one: (
            one.applied > one._snapshot_index
        )
    evacuate(context, zone, True)
    if 'leader' in fault:
        stop_leader(context)
    elif 'snapshot' in fault:
        restart_from_snapshot(context)
    else:
        restart_controls(context)


@when('all control instances are stopped for {seconds:f} s')
def stop_all_controls(context, seconds):
    stop_controls(context, context.platform.controls)
    context.platform.call(asyncio.sleep(seconds))


@when(
    'two operators start and end the evacuation of zone "{zone}" {count:d}'
    ' times each'
)
def contradict(context, zone, count):
    """Send the calls of each operator one after another."""
    addresses = context.platform.operators.values()
    verbs = ('Start', 'End')

    async def send(address, verb):
        path = f'/Evacuate.{verb}/{zone}'
        return [await post(context, address, path) for _ in range(count)]

    async def send_all():
        return await asyncio.gather(*map(send, addresses, verbs))

    responses = context.platform.call(send_all())
    context.responses = [one for part in responses for one in part]


@then('all of these calls were answered with {status:d}')
def check_codes(context, status):
    unexpected = [one.body for one in context.responses if one.code != status]
    assert not unexpected, unexpected


@then('all instances agree on the revision and the zones')
def check_agreement(context):
    found = read(context)
    states = {(one['Revision'], tuple(one['Zones'])) for one in found}
    assert len(found) == len(context.platform.controls)
    assert len(states) == 1, states
    revision, zones = states.pop()
    # Each change ends or starts the evacuation.
    assert zones == (('x',) if revision % 2 else ()), (revision, zones)


@when('all control instances but one are stopped')
def stop_majority(context):
    names = list(context.platform.controls)
    stop_controls(context, names[1:])


@then('an order to it and a read of it are answered with {status:d}')
def check_unavailable(context, status):
    platform = context.platform
    address = platform.operators['c0']
    found = platform.call(post(context, address, '/Evacuate.Start/x'))
    assert found.code == status, found.body
    found = platform.call(platform.get(address, '/Evacuate.Get'))
    assert found.code == status, found.body


@then('no zone is evacuated there')
def check_not_applied(context):
    state = context.platform.controls['c0'].route_state
    assert not state.evacuation.revision, state.evacuation
    agents = context.platform.agents.values()
    assert not any(role.agent.evacuated for role in agents)

"""Steps on the whole path over loopback."""

from __future__ import annotations

import asyncio
import copy
import json

from behave import given
from behave import then
from behave import when
from loopback import Loopback
from pistachiohook_core.events import FLOW_DECLINED
from pistachiohook_core.events import FLOW_OFFERED
from pistachiohook_core.events import FLOW_REFUSED

ENTRY = ('198.18.0.1', 8443)

DOCUMENT = {
    'Version': 3,
    'Routes': [
        {
            'Name': 'r',
            'Hostname': ENTRY[0],
            'PathPrefix': f'/{ENTRY[1]}/',
            'RouteType': 'safe',
            'TimeoutMs': 1500,
            'TargetLatencyMs': 275,
            'Priority': 1,
            'Service': 's',
        }
    ],
    'Services': [{'Name': 's'}],
    'Limits': {'IdleTimeoutMs': 15000},
}


@given(
    '{controls:d} control instances, {balancers:d} balancers and'
    ' {agents:d} agents on loopback'
)
def start(context, controls, balancers, agents):
    path = context.path = Loopback()
    context.add_cleanup(path.close)
    path.call(path.start_controls([f'c{n}' for n in range(controls)]))
    for number in range(balancers):
        path.call(path.start_balancer(f'b{number}'))
    for number in range(agents):
        path.call(path.start_agent(f'a{number}'))


def write(version, **changes):
    return json.dumps({**DOCUMENT, 'Version': version, **changes}).encode()


def put(context, body, names=()):
    """Put a set at the instances in turn until one gives a clear answer."""
    path = context.path

    async def send():
        while True:
            for name in names or path.operators:
                response = await path.post(
                    path.operators[name], '/Config.Put', body
                )
                if response.code not in (503, 599):
                    return response.code
            await asyncio.sleep(0.05)

    return path.call(send())


def beat(context, name, **changes):
    path = context.path
    body = {
        'Service': 's',
        'Slots': 4,
        'State': 'ready',
        'Seq': next(path.beats),
        'born': 1,
        **changes,
    }
    response = path.call(
        path.post(
            path.calls[name],
            f'/Endpoints.Heartbeat/i-{name}',
            json.dumps(body).encode(),
        )
    )
    return response.code


@when('the operator puts version {version:d} and the targets report')
def put_and_report(context, version):
    assert put(context, write(version)) == 200
    for name in context.path.agents:
        assert beat(context, name) == 200


def is_ready(context, name):
    path = context.path
    return path.call(path.get(path.readiness[name], '/ready')).code == 200


@then('no balancer is ready before it has routes')
def none_ready(context):
    assert not any(is_ready(context, name) for name in context.path.balancers)


@then('every balancer becomes ready')
def all_ready(context):
    path = context.path
    path.wait(
        lambda: all(
            role.find_health().good
            and role.balancer.count_agents(path.loop.time())
            == len(path.agents)
            for role in path.balancers.values()
        )
    )
    assert all(is_ready(context, name) for name in path.balancers)


def call_many(context, number):
    path = context.path

    async def call_all():
        return await asyncio.gather(
            *(
                path.caller.call(role.settings.entry, ENTRY)
                for role in path.balancers.values()
                for _ in range(number)
            )
        )

    return path.call(call_all())


def list_refusals(path):
    """Return what was logged of offers and refusals, for a failed check."""
    numbers = (FLOW_OFFERED.number, FLOW_REFUSED.number, FLOW_DECLINED.number)
    return [one for one in path.events if one[0] in numbers]


@then('{number:d} calls through each balancer are answered')
def check_calls(context, number):
    before = {
        name: len(target.ran) for name, target in context.path.targets.items()
    }
    answers = call_many(context, number)
    assert all(answers), (answers, list_refusals(context.path))
    context.ran = {
        name: len(target.ran) - before[name]
        for name, target in context.path.targets.items()
    }
    assert sum(context.ran.values()) == len(answers), context.ran


@then('each target has run some of them')
def all_ran(context):
    assert all(context.ran.values()), context.ran


@then('the target of "{name}" has run none of them')
def ran_none(context, name):
    assert not context.ran[name], context.ran


@then('version {version:d} is read back from each instance as it was written')
def read_back(context, version):
    path = context.path
    for address in path.operators.values():

        async def read(address=address):
            while True:
                response = await path.get(address, '/Config.Get')
                if response.code == 200:
                    return response.body
                await asyncio.sleep(0.05)

        assert path.call(read()) == write(version)


def build_order(order):
    version = int(order.split()[1])
    route = copy.deepcopy(DOCUMENT['Routes'][0])
    if order.endswith('other content'):
        return write(version, Routes=[])
    if order.endswith('cut short'):
        return write(version)[:-20]
    if order.endswith('unknown service'):
        return write(version, Routes=[{**route, 'Service': 'u'}])
    if order.endswith('without a timeout'):
        return write(version, Routes=[{**route, 'TimeoutMs': 0}])
    return write(version)


@then('these orders are answered as follows')
def check_orders(context):
    path = context.path
    for row in context.table:
        body = build_order(row['order'])
        assert put(context, body) == int(row['status']), row
        for role in path.controls.values():
            path.wait(
                lambda role=role, row=row: (
                    role.route_state.current.version == int(row['in force'])
                )
            )
    read_back(context, int(context.table[-1]['in force']))


@when('the leading control instance is stopped')
def stop_leader(context):
    path = context.path
    leader = next(
        name
        for name, role in path.controls.items()
        if role.replicator.is_leader
    )
    path.call(path.stop(leader))
    context.stopped = leader


@then(
    'version {version:d} is acknowledged by another instance within the'
    " test's patience"
)
def put_elsewhere(context, version):
    names = [
        name for name in context.path.operators if name != context.stopped
    ]
    assert put(context, write(version), names) == 200


@when('a control instance "{name}" without a disk starts')
def start_diskless(context, name):
    context.path.call(context.path.start_diskless(name))


@then('version {version:d} is acknowledged by "{name}"')
def put_at(context, version, name):
    assert put(context, write(version), [name]) == 200


@when('the target of "{name}" reports that it is leaving')
def report_leaving(context, name):
    assert beat(context, name, State='draining') == 200


@then('these reports to "{name}" are refused and change nothing')
def check_reports(context, name):
    path = context.path
    known = path.agents[name].agent.target
    for row in context.table:
        response = path.call(
            path.post(
                path.calls[name],
                '/Endpoints.Heartbeat/i-x',
                row['report'].encode(),
            )
        )
        assert response.code == 400
        assert path.agents[name].agent.target is known


@when('version {version:d} drops the route')
def drop_route(context, version):
    assert put(context, write(version, Routes=[])) == 200
    path = context.path
    path.wait(
        lambda: all(
            role.balancer.table.version == version
            for role in path.balancers.values()
        )
    )


@then('new calls through each balancer are reset')
def check_reset(context):
    answers = call_many(context, 2)
    assert answers == [None] * len(answers), answers

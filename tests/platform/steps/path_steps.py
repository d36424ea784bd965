"""Steps for scenarios that run the whole platform on loopback."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
import copy
import errno
from functools import partial
import json
import socket
import time
from types import SimpleNamespace

from behave import given
from behave import then
from behave import when
from loopback import LoopbackPlatform
from pistachiohook_core.events import FLOW_DECLINED
from pistachiohook_core.events import FLOW_OFFERED
from pistachiohook_core.events import FLOW_REFUSED
from pistachiohook_core.passthrough.messages import LoadReport
from pistachiohook_core.passthrough.messages import Welcome
from pistachiohook_daemon.clocks import read_clock

SERVICE_ADDRESS = ('198.18.0.1', 8443)

ROUTE_SET = {
    'Version': 3,
    'Routes': [
        {
            'Name': 'r',
            'Hostname': SERVICE_ADDRESS[0],
            'PathPrefix': f'/{SERVICE_ADDRESS[1]}/',
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
def start_platform(context, controls, balancers, agents):
    platform = context.platform = LoopbackPlatform()
    context.closing = ExitStack()
    context.closing.callback(platform.close)
    context.add_cleanup(context.closing.close)
    platform.call(platform.start_controls([f'c{n}' for n in range(controls)]))
    for number in range(balancers):
        platform.call(platform.start_balancer(f'b{number}'))
    for number in range(agents):
        platform.call(platform.start_agent(f'a{number}'))


def encode_route_set(version, **changes):
    return json.dumps({**ROUTE_SET, 'Version': version, **changes}).encode()


def put_route_set(context, body, names=()):
    """Send a route set to the instances in turn until one decides on it.

    Status 503 and 599 mean that an instance was unavailable or timed out.
    """
    platform = context.platform

    async def send():
        while True:
            for name in names or platform.operators:
                response = await platform.post(
                    platform.operators[name], '/Config.Put', body
                )
                if response.code not in (503, 599):
                    return response.code
            await asyncio.sleep(0.05)

    return platform.call(send())


def send_heartbeat(context, name, **changes):
    platform = context.platform
    body = {
        'Service': 's',
        'Slots': 4,
        'State': 'ready',
        'Seq': next(platform.heartbeat_numbers),
        'born': 1,
        **changes,
    }
    response = platform.call(
        platform.post(
            platform.announcement_addresses[name],
            f'/Endpoints.Heartbeat/i-{name}',
            json.dumps(body).encode(),
        )
    )
    return response.code


@when('the operator puts version {version:d}')
def put_version(context, version):
    assert put_route_set(context, encode_route_set(version)) == 200


@when('the operator puts version {version:d} and the targets send heartbeats')
def put_and_announce(context, version):
    assert put_route_set(context, encode_route_set(version)) == 200
    for name in context.platform.agents:
        assert send_heartbeat(context, name) == 200


@when(
    'the operator puts version {version:d} with {rate:d} requests per second'
    ' for cold targets'
)
def put_cold_rate(context, version, rate):
    services = [{'Name': 's', 'ColdStartS': 8, 'ColdPerS': rate}]
    body = encode_route_set(version, Services=services)
    assert put_route_set(context, body) == 200


@when('the targets send heartbeats that they are cold for {left:d} ms')
def announce_cold(context, left):
    for name in context.platform.agents:
        assert send_heartbeat(context, name, ColdLeftMs=left) == 200


@then(
    'of {number:d} calls through each balancer within {seconds:d} s, each'
    ' target answers {least:d} to {most:d}'
)
def check_cold_calls(context, number, seconds, least, most):
    platform = context.platform

    async def call(role, delay):
        await asyncio.sleep(delay)
        entry = role.settings.entry
        return await platform.caller.call(entry, SERVICE_ADDRESS)

    async def call_all():
        await asyncio.gather(
            *(
                call(role, seconds * index / number)
                for role in platform.balancers.values()
                for index in range(number)
            )
        )

    platform.call(call_all())
    ran = [len(target.ran) for target in platform.targets.values()]
    assert all(least <= answered <= most for answered in ran), ran


@then('the agents have the bounds of their settings')
def check_bounds(context):
    for role in context.platform.agents.values():
        assert role.agent.cold_bounds == context.platform.cold_bounds


def is_ready(context, name):
    platform = context.platform
    return (
        platform.call(platform.get(platform.readiness[name], '/ready')).code
        == 200
    )


@then('no balancer is ready before it has routes')
def check_none_ready(context):
    assert not any(
        is_ready(context, name) for name in context.platform.balancers
    )


@then('every balancer becomes ready')
def check_all_ready(context):
    platform = context.platform
    platform.wait(
        lambda: all(
            role.find_health().good
            and role.balancer.count_agents(platform.loop.time())
            == len(platform.agents)
            for role in platform.balancers.values()
        )
    )
    assert all(is_ready(context, name) for name in platform.balancers)


def call_many(context, number):
    platform = context.platform

    async def call_all():
        return await asyncio.gather(
            *(
                platform.caller.call(role.settings.entry, SERVICE_ADDRESS)
                for role in platform.balancers.values()
                for _ in range(number)
            )
        )

    return platform.call(call_all())


def list_refusals(platform):
    """Return the logged events of offered, declined and refused flows.

    They are shown when a check fails.
    """
    numbers = (FLOW_OFFERED.number, FLOW_REFUSED.number, FLOW_DECLINED.number)
    return [one for one in platform.events if one[0] in numbers]


@then('{number:d} calls through each balancer are answered')
def check_calls(context, number):
    before = {
        name: len(target.ran)
        for name, target in context.platform.targets.items()
    }
    answers = call_many(context, number)
    assert all(answers), (answers, list_refusals(context.platform))
    context.answered = {
        name: len(target.ran) - before[name]
        for name, target in context.platform.targets.items()
    }
    assert sum(context.answered.values()) == len(answers), context.answered


@then('each target has answered some of them')
def check_all_answered(context):
    assert all(context.answered.values()), context.answered


@then('the target of "{name}" has answered none of them')
def check_none_answered(context, name):
    assert not context.answered[name], context.answered


@then('version {version:d} is read back from each instance as it was written')
def check_read_back(context, version):
    platform = context.platform
    for address in platform.operators.values():

        async def read(address=address):
            while True:
                response = await platform.get(address, '/Config.Get')
                if response.code == 200:
                    return response.body
                await asyncio.sleep(0.05)

        assert platform.call(read()) == encode_route_set(version)


def build_route_set(case):
    version = int(case.split()[1])
    route = copy.deepcopy(ROUTE_SET['Routes'][0])
    if case.endswith('other content'):
        return encode_route_set(version, Routes=[])
    if case.endswith('cut short'):
        return encode_route_set(version)[:-20]
    if case.endswith('unknown service'):
        return encode_route_set(version, Routes=[{**route, 'Service': 'u'}])
    if case.endswith('without a timeout'):
        return encode_route_set(version, Routes=[{**route, 'TimeoutMs': 0}])
    return encode_route_set(version)


@then('these route sets are answered as follows')
def check_route_sets(context):
    platform = context.platform
    for row in context.table:
        body = build_route_set(row['route set'])
        assert put_route_set(context, body) == int(row['status']), row
        for role in platform.controls.values():
            platform.wait(
                lambda role=role, row=row: (
                    role.route_state.current.version
                    == int(row['applied version'])
                )
            )
    check_read_back(context, int(context.table[-1]['applied version']))


@when('the leading control instance is stopped')
def stop_leader(context):
    platform = context.platform
    leader = next(
        name
        for name, role in platform.controls.items()
        if role.replicator.is_leader
    )
    platform.call(platform.stop(leader))
    context.stopped = leader


def make_request(line, body=b''):
    head = f'{line} HTTP/1.1\r\nHost: test\r\nContent-Length: {len(body)}'
    return f'{head}\r\n\r\n'.encode() + body


@when(
    '{which} control instance is told to stop while {changes:d} changes and'
    ' {reads:d} reads are in progress there'
)
def stop_during_calls(context, which, changes, reads):
    platform = context.platform
    leads = which == 'the leading'
    name, role = next(
        (name, role)
        for name, role in platform.controls.items()
        if role.replicator.is_leader == leads
    )
    address = context.address = platform.operators[name]
    started = asyncio.Event()
    propose = role.proposer.propose

    async def propose_noted(*arguments):
        started.set()
        return await propose(*arguments)

    role.proposer = SimpleNamespace(propose=propose_noted)

    async def stop():
        requests = [
            make_request('POST /Config.Put', encode_route_set(10 + number))
            for number in range(changes)
        ] + [make_request('GET /Config.Get')] * reads
        connections = [
            await asyncio.open_connection(address.host, address.port)
            for _ in requests
        ]
        for (_, writer), request in zip(connections, requests, strict=True):
            writer.write(request)
        await started.wait()
        await role.shut_down()
        # The process would exit here; what it has sent still arrives.
        context.unanswered = sum(server.in_progress for server in role.servers)
        context.status_lines = [
            (await reader.readline()).decode() for reader, _ in connections
        ]

    platform.call(stop())
    context.number = changes + reads


@then('each of these calls was answered before the shutdown ended')
def check_calls_answered(context):
    assert not context.unanswered, context.unanswered
    codes = [line.split()[1:2] for line in context.status_lines]
    assert len(codes) == context.number
    assert all(code in (['200'], ['503']) for code in codes), codes


@then("new connections to its operators' address are refused")
def check_refused_connections(context):
    with socket.socket() as probe:
        code = probe.connect_ex((context.address.host, context.address.port))
    assert code == errno.ECONNREFUSED, code


@then(
    'version {version:d} is acknowledged by another instance within the'
    " test's timeout"
)
def check_acknowledged_elsewhere(context, version):
    names = [
        name for name in context.platform.operators if name != context.stopped
    ]
    assert put_route_set(context, encode_route_set(version), names) == 200


@when('a control instance "{name}" without a disk starts')
def start_diskless(context, name):
    context.platform.call(context.platform.start_diskless(name))


@then('version {version:d} is acknowledged by "{name}"')
def check_acknowledged_by(context, version, name):
    assert put_route_set(context, encode_route_set(version), [name]) == 200


@when('the target of "{name}" announces that it is draining')
def announce_draining(context, name):
    assert send_heartbeat(context, name, State='draining') == 200


@then('these heartbeats to "{name}" are refused and change nothing')
def check_heartbeats(context, name):
    platform = context.platform
    known = platform.agents[name].agent.target
    for row in context.table:
        response = platform.call(
            platform.post(
                platform.announcement_addresses[name],
                '/Endpoints.Heartbeat/i-x',
                row['heartbeat'].encode(),
            )
        )
        assert response.code == 400
        assert platform.agents[name].agent.target is known


@when('version {version:d} removes the route')
def remove_route(context, version):
    assert put_route_set(context, encode_route_set(version, Routes=[])) == 200
    platform = context.platform
    platform.wait(
        lambda: all(
            role.balancer.table.version == version
            for role in platform.balancers.values()
        )
    )


@then('new calls through each balancer are reset')
def check_reset(context):
    answers = call_many(context, 2)
    assert answers == [None] * len(answers), answers


@when('all machines are suspended for {seconds:d} s')
def suspend(context, seconds):
    """Let the clock that counts suspensions jump, and no other."""
    read = time.clock_gettime

    def read_later(clock):
        return read(clock) + seconds * (clock == time.CLOCK_BOOTTIME)

    time.clock_gettime = read_later
    context.add_cleanup(setattr, time, 'clock_gettime', read)
    context.suspended_s = seconds


@then('no control instance counts as confirmed by a quorum since then')
def check_unconfirmed(context):
    ages = [
        role.replicator.freshness(read_clock())
        for role in context.platform.controls.values()
    ]
    assert min(ages) >= context.suspended_s, ages


@then(
    'no balancer would offer a flow to an agent that has not reported since'
    ' then'
)
def check_none_reporting(context):
    now = context.platform.loop.time()
    counts = [
        role.balancer.count_agents(now)
        for role in context.platform.balancers.values()
    ]
    assert not any(counts), counts


@when('the targets send heartbeats')
def send_heartbeats(context):
    for name in context.platform.agents:
        assert send_heartbeat(context, name) == 200


@then('version {version:d} is acknowledged by each instance')
def check_acknowledged_by_each(context, version):
    for name in context.platform.operators:
        check_acknowledged_by(context, version, name)


@when(
    'a balancer "{name}" starts in another zone and the messages of {role} are'
    ' counted for {seconds:d} s'
)
def start_far_balancer(context, name, role, seconds):
    context.platform.call(context.platform.start_balancer(name, 'far'))
    count_messages(context, role, seconds)


@when('the messages of {role} are counted for {seconds:d} s')
def count_messages(context, role, seconds):
    platform = context.platform
    roles = platform.controls if role == 'control' else platform.agents
    context.sent = []

    def record(send, address, message):
        context.sent.append((address, message))
        return send(address, message)

    for one in roles.values():
        one.send, former = partial(record, one.send), one.send
        context.add_cleanup(setattr, one, 'send', former)
    platform.call(asyncio.sleep(seconds))


@then('control instances have answered each other')
def check_answered_each_other(context):
    context.answers = [
        message
        for address, message in context.sent
        if isinstance(message, Welcome) and address in context.platform.seeds
    ]
    assert len(context.answers) >= len(context.platform.controls)


@then('no answer has listed any nodes')
def check_no_lists(context):
    listing = [one for one in context.answers if one.controls]
    assert not listing, (len(listing), len(context.answers))


@then('reports were sent to each balancer but "{name}"')
def check_reports_but(context, name):
    check_reported(context, set(context.platform.balancers) - {name})


@then('reports were sent to each balancer')
def check_reports(context):
    check_reported(context, set(context.platform.balancers))


def check_reported(context, names):
    links = {
        role.settings.node.link: name
        for name, role in context.platform.balancers.items()
    }
    reported = {
        links[address]
        for address, message in context.sent
        if isinstance(message, LoadReport)
    }
    assert reported == names, reported


@when('the platform is closed')
def close_platform(context):
    protocols = [context.platform.caller, *context.platform.targets.values()]
    context.addresses = [
        protocol.transport.get_extra_info('sockname') for protocol in protocols
    ]
    context.closing.close()


@then('the ports of callers and targets are free')
def check_ports(context):
    for address in context.addresses:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(address)

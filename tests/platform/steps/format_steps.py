"""Steps on the platform's formats."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from random import Random
import struct
import tempfile

from behave import then
from behave import when
from pistachiohook_core.passthrough.routes import check_routes
from pistachiohook_core.passthrough.segments import describe_flow
from pistachiohook_core.passthrough.segments import make_flow
from pistachiohook_platform.documents import read_configuration
from pistachiohook_platform.documents import read_heartbeat
from pistachiohook_platform.packets import SEGMENT_FORMAT
from pistachiohook_platform.settings import read_settings
from returns.result import Failure as Failed
from returns.result import Success

HEARTBEAT = {
    'Service': 's',
    'Address': '10.0.0.9:8080',
    'Zone': 'x',
    'Version': 'v1',
    'Slots': 4,
    'State': 'ready',
    'ColdLeftMs': 100,
    'Seq': 4,
}

CONFIGURATION = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'r1',
            'Hostname': '198.18.0.1',
            'PathPrefix': '/8443/',
            'RouteType': 'safe',
            'TimeoutMs': 1500,
            'TargetLatencyMs': 275,
            'Priority': 2,
            'WeightedBackends': [
                {'Service': 's', 'Weight': 90},
                {'Service': 't', 'Weight': 10},
            ],
            'MaxAttempts': 2,
        },
        {
            'Name': 'r2',
            'Hostname': '198.18.0.1',
            'PathPrefix': '/8080/',
            'RouteType': 'unsafe',
            'TimeoutMs': 2000,
            'TargetLatencyMs': 332,
            'Priority': 1,
            'Service': 's',
            'MaxAttempts': 2,
        },
    ],
    'Services': [{'Name': 's'}, {'Name': 't', 'Tls': False}],
    'Limits': {'MaxHeaderBytes': 16384, 'IdleTimeoutMs': 15000},
}

SETTINGS = {
    'NodeId': 'front-x-1',
    'Ip': '10.1.0.10',
    'Zone': 'x',
    'Listen': {
        'DatagramAddr': '10.1.0.10:8172',
        'ReadinessAddr': '10.1.0.10:8167',
        'Control': '10.1.0.10:8166',
        'outbound': '10.1.0.10:8162',
    },
    'InternalPorts': [7720, 7735],
    'Seeds': ['10.1.0.10:8166', '10.2.0.40:8166'],
    'Bootstrap': True,
    'DataDir': '/data/x',
    'FaultTolerance': {'Machines': 2, 'Zones': 0},
    'Bounds': {'GraceS': 6, 'MaxFlowS': 60},
    'app': '10.1.0.10:8165',
    'Service': 's',
}


def find_flow(text):
    caller, entry = text.split('>')
    host, port = caller.split(':')
    entry_host, entry_port = entry.split(':')
    return make_flow(
        find_number(host),
        int(port),
        find_number(entry_host),
        int(entry_port),
    )


def find_number(host):
    return int.from_bytes(bytes(map(int, host.split('.'))), 'big')


@when('the packet "{text}" is read')
def read_packet(context, text):
    context.segment = SEGMENT_FORMAT.read_caller(
        bytes.fromhex(text.replace(' ', ''))
    )


@then('it opens the flow {flow} with sequence {number}')
def check_opening(context, flow, number):
    segment = context.segment
    assert segment.opens
    assert not segment.accepts
    assert describe_flow(segment.flow) == flow
    assert segment.sequence == int(number, 16)


@when('a reset for the flow {flow} is made')
def make_reset(context, flow):
    context.packet = SEGMENT_FORMAT.make_reset(find_flow(flow))


@then('it is "{text}"')
def check_packet(context, text):
    assert context.packet == bytes.fromhex(text.replace(' ', ''))


@when(
    "a target's packet from {source} to {destination} with flags"
    ' {flags:d} is read'
)
def read_target(context, source, destination, flags):
    host, port = source.split(':')
    to_host, to_port = destination.split(':')
    packet = struct.pack(
        '<IHHIIB5sIIHI',
        1,
        int(to_port),
        int(port),
        find_number(host),
        find_number(to_host),
        flags,
        b'',
        5,
        6,
        3,
        9,
    )
    context.segment = SEGMENT_FORMAT.read_target(packet + b'abc')


@then('it accepts the flow {flow}')
def check_accepts(context, flow):
    assert context.segment.accepts
    assert describe_flow(context.segment.flow) == flow


@then('it was given back on the flow {flow}')
def check_given_back(context, flow):
    assert context.segment.returned
    assert describe_flow(context.segment.flow) == flow


@then('as its sender wrote it, its flags are {flags:d}')
def check_restored(context, flags):
    raw = context.segment.raw
    restored = SEGMENT_FORMAT.restore(raw)
    assert restored[16] == flags
    assert restored[:16] + restored[17:] == raw[:16] + raw[17:]


@when('{number:d} random and cut-off packets are read')
def read_random(context, number):
    random = Random(1)
    whole = SEGMENT_FORMAT.make_reset(b'f' * 12)
    context.taken = []
    for _ in range(number):
        noise = random.randbytes(random.randrange(1300))
        cut = whole[: random.randrange(len(whole))]
        for packet in (noise, cut, whole + b'x'):
            context.taken.append(SEGMENT_FORMAT.read_caller(packet))
            context.taken.append(SEGMENT_FORMAT.read_target(packet))


@then('none is taken, and no error arises')
def none_taken(context):
    assert not any(context.taken)


@when('a heartbeat with {key} {value} is read for service "{service}"')
def read_beat(context, key, value, service):
    body = json.dumps({**HEARTBEAT, key: json.loads(value)}).encode()
    context.result = read_heartbeat('i-1', body, service, 10.0)


@then('it is taken')
def check_taken(context):
    assert isinstance(context.result, Success), context.result


@then('it is taken as leaving')
def check_leaving(context):
    assert context.result.unwrap().leaving


@then('it is taken with start {born:d}')
def check_born(context, born):
    target = context.result.unwrap()
    assert target.started == born
    assert target.cold_until == 10.1


@then('it is refused')
def check_refused(context):
    assert isinstance(context.result, Failed), context.result


def change_configuration(case):
    document = copy.deepcopy(CONFIGURATION)
    first, second = document['Routes']
    changes = {
        'no change': lambda: None,
        'a route as text': lambda: document['Routes'].append('r3'),
        'no service of a route': lambda: second.pop('Service'),
        'two kinds of service': lambda: first.update(Service='s'),
        'an unknown type': lambda: first.update(RouteType='odd'),
        'a host name': lambda: first.update(Hostname='shop'),
        'a longer prefix': lambda: first.update(PathPrefix='/8443/x/'),
        'a version as text': lambda: document.update(Version='7'),
        'no services': lambda: document.pop('Services'),
        'an unknown service': lambda: second.update(Service='u'),
        'one place twice': lambda: second.update(PathPrefix='/8443/'),
        'a timeout of 0': lambda: second.update(TimeoutMs=0),
        'weights of 0': lambda: [
            one.update(Weight=0) for one in first['WeightedBackends']
        ],
        'a negative weight': lambda: first['WeightedBackends'][1].update(
            Weight=-1
        ),
    }
    if case in changes:
        changes[case]()
    body = json.dumps(document).encode()
    return {'its end cut off': body[:-40], 'no bytes': b''}.get(case, body)


@when('the example configuration is read with {case}')
def read_changed(context, case):
    context.result = read_configuration(change_configuration(case))


@when('the example configuration is checked with {case}')
def check_changed(context, case):
    routes = read_configuration(change_configuration(case)).unwrap()
    faults = check_routes(routes)
    context.result = Failed(faults[0]) if faults else Success(routes)


def read_from_file(body, role):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.json'
        path.write_bytes(body)
        return read_settings(path, role)


@when('the example settings are read for each role')
def read_example(context):
    body = json.dumps(SETTINGS).encode()
    context.settings = {
        role: read_from_file(body, role).unwrap()
        for role in ('balancer', 'agent', 'control')
    }


@then("control's seeds, the ports and the bounds are as the file says")
def check_settings(context):
    control = context.settings['control']
    assert [str(seed) for seed in control.control.seeds] == [
        '10.1.0.10:7720',
        '10.2.0.40:7720',
    ]
    assert control.control.tolerance == 2
    assert control.control.may_bootstrap
    assert str(control.calls) == '10.1.0.10:8166'
    agent = context.settings['agent']
    assert agent.agent.caller_port == 8172
    assert agent.agent.flow_age_max == 60
    assert agent.node.grace == 6
    links = {str(one.node.link) for one in context.settings.values()}
    assert len(links) == 3


@when('the example settings are read with {case}')
def read_bad(context, case):
    settings = copy.deepcopy(SETTINGS)
    if case == 'a bad address':
        settings['Seeds'] = ['control:8166']
    if case == 'too few ports':
        settings['InternalPorts'] = [7720, 7721]
    if case == 'no listen addresses':
        settings['Listen'] = {}
    body = json.dumps(settings).encode()
    if case == 'its end cut off':
        body = body[:-30]
    context.result = read_from_file(body, 'balancer')

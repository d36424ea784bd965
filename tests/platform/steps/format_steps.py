"""Steps for the formats of packets, heartbeats, route sets and settings."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from random import Random
import struct
import tempfile

from behave import then
from behave import when
from pistachiohook_core.passthrough.cold_starts import ColdBounds
from pistachiohook_core.passthrough.commands import load_routes
from pistachiohook_core.passthrough.commands import pack_routes
from pistachiohook_core.passthrough.commands import unpack_routes
from pistachiohook_core.passthrough.routes import build_table
from pistachiohook_core.passthrough.routes import check_routes
from pistachiohook_core.passthrough.routes import choose_service
from pistachiohook_core.passthrough.routes import ColdRate
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
    'Bounds': {'GraceS': 6, 'MaxFlowS': 60, 'ColdOver': 2, 'ColdSlack': 3},
    'app': '10.1.0.10:8165',
    'Service': 's',
}


def parse_flow(text):
    caller, entry = text.split('>')
    host, port = caller.split(':')
    entry_host, entry_port = entry.split(':')
    return make_flow(
        host_to_int(host),
        int(port),
        host_to_int(entry_host),
        int(entry_port),
    )


def host_to_int(host):
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


@when('a reset for the flow {flow} is built')
def make_reset(context, flow):
    context.packet = SEGMENT_FORMAT.make_reset(parse_flow(flow), 0)


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
        host_to_int(host),
        host_to_int(to_host),
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


@then('it is a returned packet of the flow {flow}')
def check_returned(context, flow):
    assert context.segment.returned
    assert describe_flow(context.segment.flow) == flow


@then('restored to what its caller sent, its flags are {flags:d}')
def check_restored(context, flags):
    raw = context.segment.raw
    restored = SEGMENT_FORMAT.restore(raw)
    assert restored[16] == flags
    assert restored[:16] + restored[17:] == raw[:16] + raw[17:]


@when(
    '{number:d} random, truncated and overlong packets of each kind are read'
)
def read_random(context, number):
    random = Random(1)
    whole = SEGMENT_FORMAT.make_reset(b'f' * 12, 0)
    context.segments = []
    for _ in range(number):
        random_bytes = random.randbytes(random.randrange(1300))
        truncated = whole[: random.randrange(len(whole))]
        for packet in (random_bytes, truncated, whole + b'x'):
            context.segments.append(SEGMENT_FORMAT.read_caller(packet))
            context.segments.append(SEGMENT_FORMAT.read_target(packet))


@then('none is accepted, and no exception is raised')
def check_none_accepted(context):
    assert not any(context.segments)


@when('a heartbeat with {key} {value} is read for service "{service}"')
def read_changed_heartbeat(context, key, value, service):
    body = json.dumps({**HEARTBEAT, key: json.loads(value)}).encode()
    context.result = read_heartbeat('i-1', body, service, 10.0)


@then('it is accepted')
def check_accepted(context):
    assert isinstance(context.result, Success), context.result


@then('it is accepted as draining')
def check_draining(context):
    assert context.result.unwrap().leaving


@then('it is accepted with start {start:d}')
def check_start(context, start):
    target = context.result.unwrap()
    assert target.started == start
    assert target.cold_until == 10.1


@then('it is refused')
def check_refused(context):
    assert isinstance(context.result, Failed), context.result


def change_configuration(case):
    document = copy.deepcopy(CONFIGURATION)
    first, second = document['Routes']
    service = document['Services'][0]
    changes = {
        'no change': lambda: None,
        'a string as route': lambda: document['Routes'].append('r3'),
        'a route without a service': lambda: second.pop('Service'),
        'both a service and weighted backends': lambda: first.update(
            Service='s'
        ),
        'a route for uploads': lambda: second.update(RouteType='upload'),
        'an unknown route type': lambda: first.update(RouteType='odd'),
        'a host name as address': lambda: first.update(Hostname='shop'),
        'a longer prefix': lambda: first.update(PathPrefix='/8443/x/'),
        'a string as version': lambda: document.update(Version='7'),
        'a version above 64 bits': lambda: document.update(Version=10**20),
        'a timeout above 64 bits': lambda: second.update(TimeoutMs=10**20),
        'port 0': lambda: second.update(PathPrefix='/0/'),
        'a port above 65535': lambda: second.update(PathPrefix='/65536/'),
        'a port above 64 bits': lambda: second.update(
            PathPrefix=f'/{10**20}/'
        ),
        'a port above 65535 after zeros': lambda: second.update(
            PathPrefix='/0000099999/'
        ),
        'a port with thousands of digits': lambda: second.update(
            PathPrefix=f'/{"9" * 5000}/'
        ),
        'one port written twice': lambda: second.update(
            PathPrefix='/0008443/'
        ),
        'empty lists of regions': lambda: first.update(
            AllowedRegions=[], Homes=[]
        ),
        'AllowedRegions': lambda: first.update(AllowedRegions=['x']),
        'Homes': lambda: second.update(Homes={'x': 1}),
        'rates of cold targets': lambda: [
            one.update(ColdStartS=8, ColdPerS=rate)
            for one, rate in zip(document['Services'], (20, 0), strict=True)
        ],
        'a negative ColdPerS': lambda: service.update(ColdPerS=-1),
        'a string as ColdPerS': lambda: service.update(ColdPerS='20'),
        'an infinite ColdPerS': lambda: service.update(ColdPerS=float('inf')),
        'a negative ColdStartS': lambda: service.update(ColdStartS=-0.5),
        'no list of services': lambda: document.pop('Services'),
        'an unknown service': lambda: second.update(Service='u'),
        'two routes for one address': lambda: second.update(
            PathPrefix='/8443/'
        ),
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
    body = json.dumps(document).replace('Infinity', '1e999').encode()
    return {'a truncated end': body[:-40], 'no content': b''}.get(case, body)


@when('the example configuration is read with {case}')
def read_changed_configuration(context, case):
    context.result = read_configuration(change_configuration(case))


@then('service "s" has a rate of 20 per second for 8 s, and "t" has none')
def check_cold_rates(context):
    routes = context.result.unwrap()
    assert routes.cold_rates == (ColdRate('s', 20, 8),)
    assert unpack_routes(pack_routes(routes)) == routes
    assert build_table(routes).cold_rates == {'s': ColdRate('s', 20, 8)}


@then('its requests may run at most once')
def check_at_most_once(context):
    uploads = context.result.unwrap().routes[1]
    assert not uploads.idempotent


@when('the example configuration is checked with {case}')
def check_changed_configuration(context, case):
    routes = read_configuration(change_configuration(case)).unwrap()
    faults = check_routes(routes)
    context.result = Failed(faults[0]) if faults else Success(routes)


#: Values that random configurations draw from, by their fields.
ODD_PORTS = ('1', '65535', '65536', '00443', '0000099999', '0', '9' * 30, '٣')
ODD_HOSTS = ('10.0.0.1', '10.0.0.256', '010.0.0.1', '10.0.0', 'a', '', '::1')
ODD_NUMBERS = (0, 1, -1, 2**31, 2**63 - 1, 2**63, 0.5, '1')


def draw_configuration(random):
    """Return the example configuration with some odd values."""
    document = copy.deepcopy(CONFIGURATION)
    for route in document['Routes']:
        odd = {
            'PathPrefix': f'/{random.choice(ODD_PORTS)}/',
            'Hostname': random.choice(ODD_HOSTS),
            'TimeoutMs': random.choice(ODD_NUMBERS),
            'TargetLatencyMs': random.choice(ODD_NUMBERS),
            'Priority': random.choice(ODD_NUMBERS),
        }
        field = random.choice([*odd])
        route[field] = odd[field]
        for backend in route.get('WeightedBackends', ()):
            if random.random() < 0.3:
                backend['Weight'] = random.choice(ODD_NUMBERS)
    return json.dumps(document).encode()


@when(
    '{number:d} configurations are drawn with odd addresses, ports, weights'
    ' and times'
)
def draw_configurations(context, number):
    random = Random(1)
    read = [
        read_configuration(draw_configuration(random)) for _ in range(number)
    ]
    context.accepted = [
        result.unwrap()
        for result in read
        if isinstance(result, Success) and not check_routes(result.unwrap())
    ]


@then('some of them are accepted, and balancers can apply each of these')
def apply_accepted(context):
    assert context.accepted
    for routes in context.accepted:
        table = load_routes(pack_routes(routes)).unwrap()
        for entry, route in table.routes.items():
            choose_service(route, bytes(6) + entry)


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


@then("control's seeds, the ports and the bounds have the values of the file")
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
    assert agent.agent.cold_bounds == ColdBounds(2, 3)
    assert agent.node.grace == 6
    links = {str(one.node.link) for one in context.settings.values()}
    assert len(links) == 3


@then('settings with the zones {table} name the zones {names}')
def check_zones(context, table, names):
    zones = {} if table == 'missing' else {'Zones': json.loads(table)}
    body = json.dumps({**SETTINGS, **zones}).encode()
    found = read_from_file(body, 'control').unwrap().zones
    assert ','.join(found) == names.strip('-'), found


@when('the example settings are read with {case}')
def read_changed_settings(context, case):
    settings = copy.deepcopy(SETTINGS)
    if case == 'a bad address':
        settings['Seeds'] = ['control:8166']
    if case == 'too few internal ports':
        settings['InternalPorts'] = [7720, 7721]
    if case == 'internal ports above 65535':
        settings['InternalPorts'] = [65534, 65560]
    if case == 'a negative ColdSlack':
        settings['Bounds']['ColdSlack'] = -1
    if case == 'a ColdOver of 0':
        settings['Bounds']['ColdOver'] = 0
    if case == 'no listen addresses':
        settings['Listen'] = {}
    body = json.dumps(settings).encode()
    if case == 'a truncated end':
        body = body[:-30]
    context.result = read_from_file(body, 'balancer')


DAMAGES = {
    "a byte that UTF-8 doesn't have": b'"\xff"',
    'a character that is cut short': b'"\xe2"',
    'lists nested 100,000 deep': b'[' * 100_000 + b']' * 100_000,
    'objects nested 100,000 deep': b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
    'half of a surrogate pair': b'"\\ud800"',
}


@when('a heartbeat and the example configuration are read with {content}')
def read_damaged(context, content):
    heartbeat, configuration = (
        json.dumps({**document, 'Further': 0})
        .encode()
        .replace(b'"Further": 0', b'"Further": ' + DAMAGES[content])
        for document in (HEARTBEAT, CONFIGURATION)
    )
    context.results = (
        read_heartbeat('i-1', heartbeat, 's', 10.0),
        read_configuration(configuration),
    )


@then('each is refused with a reason')
def check_all_refused(context):
    for result in context.results:
        assert isinstance(result, Failed), result
        assert result.failure().reason

"""Steps that run the fabric, a target and a caller in one event loop."""

from __future__ import annotations

import asyncio
from collections import Counter
import functools
import random

from aioquic.asyncio import QuicConnectionProtocol
from aioquic.asyncio import serve
from aioquic.h3.connection import H3_ALPN
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived
from aioquic.h3.events import HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from behave import given
from behave import then
from behave import when
from pistachiohook_standins.caller import Caller
from pistachiohook_standins.caller import run_work
from pistachiohook_standins.caller import Work
from pistachiohook_standins.caller import WorkKind
from pistachiohook_standins.certificates import make_certificates
from pistachiohook_standins.fabric import BalancerSettings
from pistachiohook_standins.fabric import FabricSettings
from pistachiohook_standins.fabric import make_fabric
from pistachiohook_standins.load import Demand
from pistachiohook_standins.load import plan_arrivals
from pistachiohook_standins.load import Shape
from pistachiohook_standins.tally import fetch_runs
from pistachiohook_standins.tally import Tally
from pistachiohook_standins.target import RunTime
from pistachiohook_standins.target import start_target
from pistachiohook_standins.target import TargetSettings
from tornado.httpclient import AsyncHTTPClient

AUTHORITY = 'soapfloor.example'
NOT_RUN = b'{"type": "urn:pistachiohook:not-run"}'
ENDLESS = 3600.0


def drop_first_line(body):
    """Remove the first line of a feed."""
    return body[body.find(b'\n1 ') + 1 :] if body.startswith(b'0 ') else body


RESPONSE_CHANGES = {
    "answers in another service's name": lambda body: body.replace(
        b'soapfloor', b'intake'
    ),
    'drops a line of each feed': drop_first_line,
    'answers with the digest of other data': lambda body: body.replace(
        b'"digest": "', b'"digest": "0'
    ),
}


class Terminator(QuicConnectionProtocol):
    """Terminates HTTP/3 and forwards the requests to the target.

    It stands in for the product and brings the scenario's fault about.
    """

    def __init__(self, quic, context, stream_handler=None):
        super().__init__(quic, stream_handler)
        self.context = context
        self.http = H3Connection(quic)
        self.requests = {}
        self.tasks = set()

    def quic_event_received(self, event):
        for part in self.http.handle_event(event):
            if isinstance(part, HeadersReceived):
                headers = {k.decode(): v.decode() for k, v in part.headers}
                self.requests[part.stream_id] = (headers, bytearray())
            if isinstance(part, DataReceived):
                self.requests[part.stream_id][1].extend(part.data)
                if part.stream_ended:
                    task = asyncio.create_task(self.answer(part.stream_id))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)

    async def answer(self, stream):
        headers, body = self.requests.pop(stream)
        fault = self.context.fault
        if fault == 'never answers':
            return
        if fault in ('refuses all requests', 'refuses once, then answers'):
            self.context.refused += 1
            if fault == 'refuses all requests' or self.context.refused == 1:
                self.http.send_headers(stream, [(b':status', b'503')])
                self.http.send_data(stream, NOT_RUN, True)
                self.transmit()
                return
        status, reply = await request_target(
            self.context, headers, bytes(body)
        )
        if fault == 'runs each order twice':
            await request_target(self.context, headers, bytes(body))
        if fault == 'refuses as not run what it has run':
            status, reply = 503, NOT_RUN
        if fault == 'sends a stateless reset to every flow':
            token = self._quic._host_cids[0].stateless_reset_token
            data = bytes(40) + token
            self._transport.sendto(data, self._quic._network_paths[0].addr)
            return
        reply = RESPONSE_CHANGES.get(fault, bytes)(reply)
        self.http.send_headers(stream, [(b':status', b'%d' % status)])
        self.http.send_data(stream, reply, True)
        self.transmit()


async def request_target(context, headers, body):
    """Forward one request to the target over HTTP/1.1."""
    method = headers[':method']
    names = ('idempotency-key', 'request-timeout')
    reply = await AsyncHTTPClient().fetch(
        context.url + headers[':path'],
        method=method,
        headers={name: headers[name] for name in names if name in headers},
        body=None if method == 'GET' else body,
        raise_error=False,
    )
    return reply.code, reply.body


@given(
    'a service behind a fabric with loss {loss:g}, reordering '
    '{reordering:g} and duplication {duplication:g}'
)
def start_service(context, loss, reordering, duplication):
    context.fault = ''
    context.refused = 0
    context.ca = str(make_certificates(context.path, [AUTHORITY]))
    context.runner.run(
        start_components(context, loss, reordering, duplication)
    )


async def start_components(context, loss, reordering, duplication):
    serve_target(context, TargetSettings('one', 'soapfloor', '127.0.0.1:0'))
    configuration = QuicConfiguration(alpn_protocols=H3_ALPN, is_client=False)
    configuration.load_cert_chain(
        context.path / f'{AUTHORITY}.pem', context.path / f'{AUTHORITY}.key'
    )
    front = await serve(
        '127.0.0.1',
        0,
        configuration=configuration,
        create_protocol=functools.partial(Terminator, context=context),
    )
    host, port = front._transport.get_extra_info('sockname')
    context.balancer = BalancerSettings(
        'balancer-1',
        context.url + '/health',
        {'127.0.0.1:0': f'{host}:{port}'},
    )
    context.fabric_settings = FabricSettings(
        ['127.0.0.1:0'],
        [context.balancer],
        health_interval=0.01,
        loss=loss,
        reordering=reordering,
        duplication=duplication,
    )
    await start_fabric(context)


async def start_fabric(context):
    context.fabric = make_fabric(context.fabric_settings)
    await context.fabric.start()
    context.running.append(context.fabric.stop)
    await wait_until(lambda: context.fabric.healthy)


def serve_target(context, settings):
    """Start a target in the running loop."""
    context.server = start_target(settings)
    context.running.append(context.server.stop)
    context.url = 'http://{}:{}'.format(*context.server.address)


@given('the service has the fault "{fault}"')
def set_fault(context, fault):
    context.fault = fault


@then('the caller counts {lost:d} lost and {refused:d} refused requests')
def check_lost(context, lost, refused):
    assert context.summary.lost == lost, context.summary
    assert context.summary.refused == refused, context.summary


@given(
    'a demand of {base:g} arrivals per second, and of {peak:g} in the second '
    'half of each {period:g} seconds'
)
def set_demand(context, base, peak, period):
    context.demand = Demand(
        'orders',
        WorkKind.ORDERS,
        'soapfloor',
        '',
        '',
        base,
        peak,
        Shape.STEP,
        period,
    )


@when('arrivals are planned for {duration:g} seconds with seed {seed:d}')
def plan(context, duration, seed):
    def plan_arrivals_once():
        draws = random.Random(seed)
        return list(plan_arrivals(context.demand, duration, draws))

    context.plans = (plan_arrivals_once(), plan_arrivals_once())


@then('about {base:d} arrive at the base rate and {peak:d} at the peak rate')
def check_arrivals(context, base, peak):
    counts = Counter(arrival.crest for arrival in context.plans[0])
    assert abs(counts[False] - base) < base * 0.1, counts
    assert abs(counts[True] - peak) < peak * 0.1, counts


@then('the same seed gives the same arrivals again')
def check_same_plan(context):
    first, second = context.plans
    assert first == second


@given('a second balancer whose health endpoint answers 503')
def add_balancer(context):
    context.runner.run(start_second_balancer(context))


async def start_second_balancer(context):
    unhealthy = start_target(
        TargetSettings('unhealthy', 'none', '127.0.0.1:0', start_delay=ENDLESS)
    )
    context.running.append(unhealthy.stop)
    second = BalancerSettings(
        'balancer-2',
        'http://{}:{}/health'.format(*unhealthy.address),
        context.balancer.addresses,
    )
    context.fabric_settings = FabricSettings(
        ['127.0.0.1:0'], [context.balancer, second], health_interval=0.01
    )
    await start_fabric(context)


@when(
    'a caller sends {orders:d} orders, a feed of {lines:d} lines '
    'and an upload of {size:d} bytes'
)
def send_work(context, orders, lines, size):
    context.tally = Tally()
    context.orders = orders
    host, port = context.fabric.listeners['127.0.0.1:0'].address
    make_work = functools.partial(
        Work,
        service='soapfloor',
        address=f'{host}:{port}',
        authority=AUTHORITY,
        timeout=1.5 if context.fault else 60.0,
        interval=0.001,
    )
    caller = Caller(context.ca, context.tally, random.Random(1))
    work = [
        make_work(WorkKind.ORDERS, requests=orders),
        make_work(WorkKind.FEED, lines=lines),
        make_work(WorkKind.UPLOAD, size=size),
    ]
    context.runner.run(send_all(context, caller, work))


async def send_all(context, caller, work):
    for item in work:
        await run_work(caller, item)
    context.runs = await fetch_runs([context.url])
    context.summary = context.tally.summarize(context.runs)


@then('the caller counts {requests:d} requests and no failure')
def check_clean(context, requests):
    assert context.summary.is_clean(), context.summary
    assert context.summary.requests == requests, context.summary


@then('each order ran once at the target')
def check_runs(context):
    runs = context.runs[0].runs
    assert list(runs.values()) == [1] * context.orders, runs


@then('the count of {count} is not 0')
def check_count(context, count):
    assert getattr(context.summary, count) > 0, context.summary
    assert not context.summary.is_clean()


@then('only the first balancer was sent datagrams')
def check_routed(context):
    assert context.fabric.routed['balancer-1'] > 0
    assert context.fabric.routed['balancer-2'] == 0


@given('a target with {slots:d} slots and orders that never end')
def start_slow_target(context, slots):
    settings = TargetSettings(
        'one',
        'soapfloor',
        '127.0.0.1:0',
        slots=slots,
        orders=RunTime(usual=ENDLESS, straggler=ENDLESS),
    )

    async def start():
        serve_target(context, settings)

    context.runner.run(start())


async def fetch(context, path, **options):
    client = AsyncHTTPClient()
    return await client.fetch(context.url + path, raise_error=False, **options)


async def open_order(context):
    """Send an order on a connection of its own."""
    _, writer = await asyncio.open_connection(*context.server.address)
    writer.write(
        b'POST /orders HTTP/1.1\r\nhost: one\r\ncontent-length: 0\r\n\r\n'
    )
    await writer.drain()
    return writer


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


async def order(context, headers=None):
    context.answer = await fetch(
        context, '/orders', method='POST', body=b'', headers=headers
    )


@when('{orders:d} orders arrive over HTTP')
def send_orders(context, orders):
    async def send():
        others = orders - 1
        context.writers = [await open_order(context) for _ in range(others)]
        await wait_until(lambda: context.server.target.running == others)
        await order(context)

    context.runner.run(send())


@then('the last order is refused with 503 as not run')
def check_refused(context):
    assert context.answer.code == 503
    assert b'not-run' in context.answer.body


@then(
    'the load endpoint reports that {running:d} of {slots:d} slots are taken'
)
def check_load(context, running, slots):
    answer = context.runner.run(fetch(context, '/load'))
    text = b'{"slots": %d, "running": %d, "state": "serving"}'
    assert answer.body == text % (slots, running), answer.body


@when('the connections of the other orders close')
def close_connections(context):
    for writer in context.writers:
        writer.close()


@then('the target is idle and has counted {count:d} cancelled requests')
def check_cancelled(context, count):
    target = context.server.target
    context.runner.run(wait_until(lambda: target.running == 0))
    assert target.counts['cancelled'] == count, target.counts


@when('an order with a deadline of {deadline} seconds arrives')
def send_with_deadline(context, deadline):
    context.runner.run(order(context, {'request-timeout': deadline}))


@then('the response is 504 and the target is idle')
def check_deadline(context):
    assert context.answer.code == 504
    assert context.server.target.running == 0


@when('the target is drained and an order arrives')
def drain(context):
    async def send():
        await fetch(context, '/drain', method='POST', body=b'')
        await order(context)

    context.runner.run(send())


@then('the health endpoint answers 503')
def check_health(context):
    answer = context.runner.run(fetch(context, '/health'))
    assert answer.code == 503

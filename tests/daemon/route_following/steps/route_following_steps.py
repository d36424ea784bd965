"""Steps for a balancer and stand-ins for control instances on loopback."""

from __future__ import annotations

import asyncio
from itertools import count

import attrs
from behave import given
from behave import then
from behave import when
from pistachiohook_core.addresses import Address
from pistachiohook_core.metrics import Metrics
from pistachiohook_core.passthrough.commands import pack_routes
from pistachiohook_core.passthrough.messages import Load
from pistachiohook_core.passthrough.messages import LoadReport
from pistachiohook_core.passthrough.messages import Node
from pistachiohook_core.passthrough.messages import TargetState
from pistachiohook_core.passthrough.messages import Welcome
from pistachiohook_core.passthrough.routes import Route
from pistachiohook_core.passthrough.routes import RouteSet
from pistachiohook_core.passthrough.routes import Share
from pistachiohook_core.passthrough.segments import SegmentFormat
from pistachiohook_daemon.passthrough.balancer import start_balancer
from pistachiohook_daemon.passthrough.settings import BalancerSettings
from pistachiohook_daemon.passthrough.settings import NodeSettings
from pistachiohook_daemon.serving import BINARY
from pistachiohook_daemon.serving import HttpResponse
from pistachiohook_daemon.serving import serve_http
from pistachiohook_daemon.supervisor import Supervisor
from ports import find_port

#: Interval at which the stand-ins announce their version, in seconds.
ANNOUNCE_INTERVAL = 0.1


@attrs.define(eq=False)
class StandIn:
    """Stand-in for a control instance.

    :param announced: version that its answers announce
    :param sent: version of the routes that it sends; ``None`` to send nothing
    :param body: what it sends instead of valid routes; empty for these
    :param asked: number of requests for its routes
    """

    node: Node
    routes: Address
    announced: int
    sent: int | None
    body: bytes = b''
    asked: int = 0

    async def show_routes(self, _):
        self.asked += 1
        if self.sent is None:
            await asyncio.sleep(60)
        body = self.body or pack_routes(RouteSet(self.sent, (), ()))
        return HttpResponse(body=body, content_type=BINARY)


def find_address():
    return Address('127.0.0.1', find_port())


def ignore(*_, **__):
    """Log nothing."""


@given('a balancer with version {version:d} of the routes')
def start(context, version):
    context.loop = asyncio.new_event_loop()
    context.standins, context.numbers = [], count(1)
    context.events = []

    def record(event, **_):
        context.events.append(event.number)

    async def run():
        supervisor = Supervisor('balancer', record)
        seed = find_address()
        node = NodeSettings(
            'b', 'z', find_address(), (seed,), find_address(), 0.0
        )
        settings = BalancerSettings(node, find_address())
        unused = SegmentFormat(*[lambda _: None] * 4)
        context.role = start_balancer(
            settings, unused, supervisor, Metrics(), record
        )
        context.tasks = [
            asyncio.create_task(supervisor.run()),
            asyncio.create_task(announce(context)),
        ]

    context.loop.run_until_complete(run())
    context.add_cleanup(stop, context)
    add(context, version, version)
    wait(context, 2.0, lambda: find_version(context) == version)
    context.standins.clear()


def stop(context):
    async def cancel():
        for task in context.tasks:
            task.cancel()
        await asyncio.gather(*context.tasks, return_exceptions=True)

    context.loop.run_until_complete(cancel())
    context.loop.close()


async def announce(context):
    """Send the balancer what control instances and an agent would."""
    for sequence in count(1):
        load = Load(sequence, 1, 's', 'z', TargetState.READY, 1, 0, 50.0)
        context.role.handle_message(Address('a', 1), LoadReport(load))
        for one in context.standins:
            welcome = Welcome(
                one.node, one.announced, 0, str(one.routes), (), ()
            )
            sender = Address(one.node.address, 1)
            context.role.handle_message(sender, welcome)
        await asyncio.sleep(ANNOUNCE_INTERVAL)


def add(context, announced, sent, zone='z'):
    async def serve():
        address = find_address()
        node = Node(f'c{next(context.numbers)}', zone)
        standin = StandIn(node, address, announced, sent)
        server = serve_http(
            address, {'GET /routes': standin.show_routes}, ignore
        )
        context.add_cleanup(server.stop)
        return standin

    standin = context.loop.run_until_complete(serve())
    context.standins.append(standin)
    return standin


def find_version(context):
    table = context.role.balancer.table
    return table.version if table else 0


def find_health(context):
    async def ask():
        return context.role.find_health()

    return context.loop.run_until_complete(ask())


def wait(context, seconds, holds):
    end = context.loop.time() + seconds
    while not holds():
        assert context.loop.time() < end, find_health(context)
        context.loop.run_until_complete(asyncio.sleep(0.02))


@given(
    'control instances that announce version {version:d}, of which the first'
    ' sends nothing'
)
def add_silent(context, version):
    context.first = add(context, version, None)
    add(context, version, version, 'y')


@given(
    'control instances that announce version {version:d}, of which the first'
    ' sends version {sent:d}'
)
def add_older(context, version, sent):
    context.first = add(context, version, sent)
    add(context, version, version, 'y')


@given(
    'one control instance that announces version {version:d} and sends'
    ' version {sent:d}'
)
def add_one(context, version, sent):
    context.first = add(context, version, sent)


def pack_route(host, port, weight=1):
    route = Route('r', Address(host, port), (Share('s', weight),), 1000)
    return pack_routes(RouteSet(2, ('s',), (route,)))


#: Routes that no balancer can apply.
UNUSABLE = {
    'a port above 65535': pack_route('127.0.0.1', 99_999),
    'an invalid host': pack_route('127.0.0', 80),
    'weights of 0': pack_route('127.0.0.1', 80, weight=0),
    'bytes that are no routes': b'routes',
}


@given(
    '{number:d} control instances that announce version {version:d}, with'
    ' {content}'
)
def add_unusable(context, number, version, content):
    for _ in range(number):
        add(context, version, version).body = UNUSABLE[content]


@when('the control instances send version {version:d} intact')
def mend(context, version):
    for one in context.standins:
        one.sent, one.body = version, b''


@when('one control instance announces and sends version {version:d}')
def add_intact(context, version):
    add(context, version, version)


@when('the first instance sends version {sent:d}')
def send(context, sent):
    context.first.sent = sent


@when(
    'one control instance announces and sends a newer version every'
    ' {pause:f} s for {length:f} s'
)
def storm(context, pause, length):
    one = add(context, 2, 2)
    context.unready = []
    end = context.loop.time() + length
    while context.loop.time() < end:
        one.announced = one.sent = one.announced + 1
        context.loop.run_until_complete(asyncio.sleep(pause))
        health = find_health(context)
        if not health.good:
            context.unready.append(health)


@when('{length:f} s pass')
def idle(context, length):
    context.states = []
    end = context.loop.time() + length
    while context.loop.time() < end:
        context.loop.run_until_complete(asyncio.sleep(ANNOUNCE_INTERVAL))
        state = find_health(context).good, find_version(context)
        context.states.append(state)


@then('the balancer has been ready with version {version:d} all the time')
def check_states(context, version):
    assert set(context.states) == {(True, version)}, context.states


@then('it has reported event {number:d}, and asked at most {times:d} times')
def check_reported(context, number, times):
    assert number in context.events, context.events
    asked = sum(one.asked for one in context.standins)
    assert asked <= times, asked


@then('within {seconds:f} s the balancer has version {version:d}')
def has_version(context, seconds, version):
    wait(context, seconds, lambda: find_version(context) == version)


@then('it is ready')
def is_ready(context):
    assert find_health(context).good, find_health(context)


@then(
    'within {seconds:f} s the balancer is not ready, since newer routes could'
    ' not be fetched'
)
def is_not_ready(context, seconds):
    wait(context, seconds, lambda: not find_health(context).good)
    reason = find_health(context).reason
    assert reason == 'newer routes could not be fetched', reason


@then('the first instance was asked at most {times:d} times')
def check_asked(context, times):
    assert context.first.asked <= times, context.first.asked


@then('the balancer was ready all the time')
def check_ready(context):
    assert not context.unready, context.unready

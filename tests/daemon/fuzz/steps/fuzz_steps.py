"""Steps for malformed, replayed and random input at every port."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
import random
import socket
import tempfile
from types import SimpleNamespace

from aioquic.h3.events import HeadersReceived
from behave import given
from behave import then
from behave import when
from pistachiohook_core.addresses import Address
from pistachiohook_core.metrics import Metrics
from pistachiohook_core.published import Balancer
from pistachiohook_core.published import PublishedState
from pistachiohook_core.published import Service
from pistachiohook_core.steering.envelope import Envelope
from pistachiohook_core.steering.envelope import Keys
from pistachiohook_core.steering.envelope import Kind
from pistachiohook_core.steering.envelope import seal
from pistachiohook_core.steering.flow_messages import FlowKey
from pistachiohook_core.steering.flow_messages import RegisterFlows
from pistachiohook_daemon.agent.engine import Flow as EngineFlow
from pistachiohook_daemon.agent.load import fetch_load
from pistachiohook_daemon.agent.peers import PEER_CODEC
from pistachiohook_daemon.agent.peers import PeerLinks
from pistachiohook_daemon.agent.wiring import start_agent
from pistachiohook_daemon.balancer.role import start_balancer
from pistachiohook_daemon.keys import LinkKeys
from pistachiohook_daemon.settings import AgentSettings
from pistachiohook_daemon.settings import BalancerSettings
from pistachiohook_daemon.settings import EntrySettings
from pistachiohook_daemon.settings import Settings
from pistachiohook_daemon.supervisor import Supervisor
from pistachiohook_standins.certificates import make_certificates

#: Binds to a port that the system chooses.
ANY = Address('127.0.0.1', 0)
#: An address where nothing listens.
UNUSED = Address('127.0.0.1', 9)
ENTRY = Address('127.0.0.1', 4433)
CALLER = Address('127.0.0.1', 40000)
KEYS = LinkKeys(b'k' * 32)
#: Seed of the random data.
SEED = 20
#: Timeout of the sending steps, in seconds.
TIMEOUT = 20.0


@given('a balancer and an agent with a published service')
def start_roles(context):
    context.loop = asyncio.new_event_loop()
    context.events = []
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.loop.close)
    context.add_cleanup(folder.cleanup)
    context.add_cleanup(stop_roles, context)
    make_certificates(Path(folder.name), ['soapfloor'])
    context.loop.run_until_complete(start(context, Path(folder.name)))


async def start(context, folder):
    events = context.events

    def report(event, **_):
        events.append(event.number)

    context.report = report
    context.supervisors = {
        'balancer': Supervisor('balancer', report),
        'agent': Supervisor('agent', report),
    }
    context.metrics = {'balancer': Metrics(), 'agent': Metrics()}
    context.balancer = start_balancer(
        Settings('balancer', 'b1', 'nadi-b', ANY, 'keys', (UNUSED,)),
        BalancerSettings(ANY, (EntrySettings(ENTRY, ANY),)),
        KEYS,
        context.supervisors['balancer'],
        context.metrics['balancer'],
        report,
    )
    context.agent = start_agent(
        Settings('agent', 'a1', 'nadi-b', ANY, 'keys', (UNUSED,)),
        AgentSettings(
            target='t1',
            service='soapfloor',
            slots=4,
            sealed=ANY,
            link=ANY,
            target_address=UNUSED,
            certificate=str(folder / 'soapfloor.pem'),
            private_key=str(folder / 'soapfloor.key'),
        ),
        KEYS,
        context.supervisors['agent'],
        context.metrics['agent'],
        report,
    )
    publish(context)


def publish(context):
    balancer = Balancer('b1', 'nadi-b', context.balancer.sealed.bind, 1)
    published = PublishedState(
        1,
        1,
        (Service('soapfloor', 1, (ENTRY,)),),
        (context.agent.target,),
        (balancer,),
    )
    for role in (context.balancer, context.agent):
        role.subscriber.subscription.current = True
        role.apply(published)


def stop_roles(context):
    for supervisor in context.supervisors.values():
        context.loop.run_until_complete(supervisor.cancel())


def make_datagram(kind, generator, context):
    envelope = Envelope(
        Kind.ENTRY,
        1,
        context.agent.target.incarnation,
        1,
        0,
        CALLER,
        ENTRY,
        context.balancer.sealed.bind,
        generator.randbytes(60),
    )
    sealed = seal(envelope, Keys(KEYS.current))
    return {
        'random': lambda: generator.randbytes(generator.randrange(1, 1500)),
        'truncated': lambda: sealed[: generator.randrange(1, len(sealed))],
        'oversized': lambda: sealed + generator.randbytes(60000),
        'replayed': lambda: sealed,
    }[kind]()


def find_port(context, port):
    return {
        "balancer's entry port": lambda: context.balancer.entries[ENTRY].bind,
        "balancer's sealed port": lambda: context.balancer.sealed.bind,
        "agent's sealed port": lambda: context.agent.target.agent,
        "agent's link port": lambda: context.agent.target.link,
        "agent's hand-over port": lambda: context.agent.target.hand_over,
    }[port]()


def count_datagrams(context, port):
    metrics = context.metrics['agent' if 'agent' in port else 'balancer']
    prefixes = ('dropped', 'forwarded', 'answered', 'unknown', 'datagrams')
    return sum(
        amount
        for name, amount in metrics.counts.items()
        if name.startswith(prefixes)
    )


@when('{count:d} {kind} datagrams arrive at the {port}')
def send_datagrams(context, count, kind, port):
    generator = random.Random(SEED)
    address = find_port(context, port)
    context.port = port
    context.count = count

    async def send_all():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(count):
                data = make_datagram(kind, generator, context)
                sender.sendto(data, (address.host, address.port))
                while count_datagrams(context, port) <= number:
                    await asyncio.sleep(0)

    wait_for(context, send_all())


def wait_for(context, awaitable):
    waiting = asyncio.wait_for(awaitable, TIMEOUT)
    return context.loop.run_until_complete(waiting)


@then('all datagrams are counted as dropped or handled')
def compare_counts(context):
    assert count_datagrams(context, context.port) >= context.count


@then('all tasks of both roles are still running')
def check_tasks(context):
    # Event 1001: a task failed and was restarted.
    assert 1001 not in context.events, context.events
    for supervisor in context.supervisors.values():
        tasks = supervisor._tasks
        assert tasks
        assert not any(task.done() for task in tasks.values())


@when('{count:d} connections send random bytes to the {port}')
def connect_all(context, count, port):
    generator = random.Random(SEED)
    address = find_port(context, port)

    async def connect():
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        with contextlib.suppress(OSError):
            writer.write(generator.randbytes(generator.randrange(1, 5000)))
            writer.write_eof()
            await reader.read()
        writer.close()

    async def connect_each():
        for _ in range(count):
            await connect()

    wait_for(context, connect_each())


@then('the agent still handles a message from a peer')
def send_message(context):
    counts = context.metrics['agent'].counts
    before = counts['dropped_wrong_service']
    # No service has the fencing number 99: the agent drops the registration
    # and counts it.
    message = RegisterFlows(99, context.agent.target.agent, 1, 1, b'')

    async def send_until_handled():
        peers = PeerLinks('t2', PEER_CODEC, KEYS, context.report)
        closing = asyncio.create_task(peers.close_idle_links())
        while counts['dropped_wrong_service'] == before:
            peers.send(context.agent.target.link, message)
            await asyncio.sleep(0.01)
        closing.cancel()
        await asyncio.gather(closing, return_exceptions=True)

    wait_for(context, send_until_handled())


class FakeConnection:
    """Counts the datagrams that it receives, or raises on each of them."""

    def __init__(self, fails):
        self.fails = fails
        self.received = 0

    def receive_datagram(self, *_, **__):
        if self.fails:
            raise ValueError('simulated error in one flow')
        self.received += 1

    def next_event(self):
        return None

    def datagrams_to_send(self, **_):
        return []

    def get_timer(self):
        return None


@when('a caller sends a header field with the bytes ff fe')
def send_header(context):
    headers = [
        (b':method', b'GET'),
        (b':path', b'/\xff'),
        (b'field', b'\xff\xfe'),
    ]
    key = FlowKey(CALLER, ENTRY)
    flow = EngineFlow(key, FakeConnection(fails=False))

    async def receive():
        event = HeadersReceived(headers, 0, True)
        context.agent.receive_event(flow, event)

    wait_for(context, receive())


@then('the agent has counted {count:d} request')
def compare_requests(context, count):
    assert context.metrics['agent'].counts['requests'] == count


@given('two flows at the agent, the first of which raises on every datagram')
def make_flows(context):
    engine = context.agent.engine
    context.flows = []
    for number in range(2):
        key = FlowKey(Address('127.0.0.1', 40000 + number), ENTRY)
        flow = EngineFlow(key, FakeConnection(fails=number == 0))
        engine._flows[key] = [flow]
        engine._add_connection_id(flow, bytes([number]) * 8)
        context.flows.append(flow)


@when('a datagram arrives for each flow')
def receive_each(context):
    async def receive():
        for number, flow in enumerate(context.flows):
            # A QUIC packet with a short header and the connection ID of the
            # flow.
            payload = b'\x40' + bytes([number]) * 8 + bytes(30)
            context.agent.engine.receive(flow.key, payload)

    wait_for(context, receive())


@then('the first flow has ended, and the second has received its datagram')
def check_flows(context):
    first, second = context.flows
    engine = context.agent.engine
    assert first.ended
    assert not engine.has_flow(first.key)
    assert engine.has_flow(second.key)
    assert second.connection.received == 1


@then('event {number:d} has been reported')
def check_event(context, number):
    assert number in context.events


LOADS = {
    'nested 100,000 deep': b'[' * 100_000 + b']' * 100_000,
    'with infinitely many slots': b'{"slots": Infinity, "running": 0,'
    b' "state": "serving"}',
    'with slots above 64 bits': b'{"slots": 99999999999999999999,'
    b' "running": 0, "state": "serving"}',
    'with fewer slots than 0': b'{"slots": -1, "running": 0,'
    b' "state": "serving"}',
}


@when('a target reports its load {how}')
def report_load(context, how):
    async def fetch(_, **__):
        return SimpleNamespace(body=LOADS[how])

    client = SimpleNamespace(fetch=fetch)
    context.load = asyncio.run(fetch_load(client, Address('127.0.0.1', 1)))


@then('there is no valid report of its load, and no exception is raised')
def check_no_load(context):
    assert context.load is None

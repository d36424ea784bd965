"""Steps for authenticated links between processes."""

from __future__ import annotations

import asyncio
import random

from behave import given
from behave import then
from behave import when
from pistachiohook_core.addresses import Address
from pistachiohook_core.codec import Codec
from pistachiohook_core.subscription_messages import Leave
from pistachiohook_core.subscription_messages import SUBSCRIPTION_CODEC
from pistachiohook_core.subscription_messages import Update
from pistachiohook_daemon.keys import LinkKeys
from pistachiohook_daemon.links import _authenticate
from pistachiohook_daemon.links import LinkClient
from pistachiohook_daemon.links import LinkServer

#: Longest wait for a condition that must come true, in seconds.
CONDITION_TIMEOUT = 20.0


@given('a listener with the key "{key}"')
def start_listener(context, key):
    context.events = []
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.keys = LinkKeys(bytes.fromhex(key))
    listen(context, Address('127.0.0.1', 0))


@given('the listener also accepts the key "{key}"')
def add_key(context, key):
    context.server.keys = LinkKeys(context.keys.current, bytes.fromhex(key))


def listen(context, address):
    context.server = LinkServer(
        SUBSCRIPTION_CODEC, context.keys, make_reporter(context)
    )

    async def bind():
        return context.server.listen(address)

    context.address = context.loop.run_until_complete(bind())
    context.add_cleanup(context.server.close)


def make_reporter(context):
    return lambda event, **_: context.events.append(event.number)


def dial(context, key, codec=SUBSCRIPTION_CODEC):
    client = LinkClient(
        'dialer',
        context.address,
        codec,
        LinkKeys(bytes.fromhex(key)),
        make_reporter(context),
    )

    async def start():
        client.dial()

    context.loop.run_until_complete(start())
    context.add_cleanup(client.close)
    return client


def wait_for(context, awaitable):
    waiting = asyncio.wait_for(awaitable, CONDITION_TIMEOUT)
    return context.loop.run_until_complete(waiting)


def finish_handshake(context, client):
    async def serve():
        receiving = asyncio.ensure_future(context.server.receive())
        client_receiving = asyncio.ensure_future(client.receive())
        while client._session is None:
            client._send_hello()
            await asyncio.sleep(0.01)
        receiving.cancel()
        client_receiving.cancel()
        await asyncio.gather(
            receiving, client_receiving, return_exceptions=True
        )

    wait_for(context, serve())


@given('a dialer with the key "{key}"')
def start_dialer(context, key):
    context.client = dial(context, key)
    finish_handshake(context, context.client)


@given('a dialer that sends {frame}')
def start_bad_dialer(context, frame):
    codec = Codec({9: Leave}) if frame.endswith('unknown type') else None
    wrong = frame.endswith('wrong key')
    key = ('33' if wrong else '11') * 16
    client = dial(context, key, codec or SUBSCRIPTION_CODEC)
    finish_handshake(context, client)
    if frame == 'random bytes':
        client._send_raw(b'X' + random.Random(4).randbytes(99))
    elif frame == 'a short hello':
        client._send_raw(b'H123')
    elif frame == 'a deeply nested message':
        # The body of a message of a known type.
        nested = b'\x92\x01' + b'\x91' * 50_000 + b'\x01'
        session, current = client._session, context.keys.current
        client._send_raw(_authenticate(session, b'>', nested, current))
    elif frame == 'a replayed message':
        body = SUBSCRIPTION_CODEC.encode(Leave('n', 1))
        session = client._session
        authenticated = _authenticate(
            session, b'>', body, context.keys.current
        )
        client._send_raw(authenticated)
        assert wait_for(context, context.server.receive()).message.node == 'n'
        client._send_raw(authenticated)
    else:
        client.send(Leave('n', 1))


@when('the dialer sends revision {number:d}')
def send_revision(context, number):
    assert context.client.send(Update(number, 0.0))


@when('the dialer sends revision {number:d} until it arrives')
def send_until_arrived(context, number):
    async def send_repeatedly():
        receiving = asyncio.ensure_future(context.server.receive())
        client_receiving = asyncio.ensure_future(context.client.receive())
        while not receiving.done():
            context.client.send(Update(number, 0.0))
            await asyncio.sleep(0.01)
        client_receiving.cancel()
        await asyncio.gather(client_receiving, return_exceptions=True)
        return receiving.result()

    context.received = wait_for(context, send_repeatedly())


@when('the dialer sends revision {number:d} until event 5002 is logged')
def send_until_refused(context, number):
    async def send_repeatedly():
        receivers = [
            asyncio.ensure_future(end.receive())
            for end in (context.server, context.client)
        ]
        while 5002 not in context.events:
            context.client.send(Update(number, 0.0))
            await asyncio.sleep(0.01)
        context.is_received = receivers[0].done()
        for receiver in receivers:
            receiver.cancel()
        await asyncio.gather(*receivers, return_exceptions=True)

    wait_for(context, send_repeatedly())


@then('the listener has received nothing')
def check_nothing_received(context):
    assert not context.is_received


@then('the listener receives revision {number:d}')
def receive_revision(context, number):
    incoming = getattr(context, 'received', None)
    context.incoming = incoming or wait_for(context, context.server.receive())
    assert context.incoming.message.revision == number


@when('the listener replies with revision {number:d}')
def reply_with_revision(context, number):
    peer = context.incoming.peer
    assert context.server.send(peer, Update(number, 0.0))


@then('the dialer receives revision {number:d}')
def receive_reply(context, number):
    message = wait_for(context, context.client.receive())
    assert message.revision == number


@when('the listener is restarted on its address')
def restart_listener(context):
    context.server.close()
    listen(context, context.address)


@then('the name of the sender is "dialer"')
def check_sender(context):
    assert context.incoming.sender == 'dialer'


@then('the logged events are {event}')
def compare_events(context, event):
    expected = [] if event == 'none' else [int(event)]
    assert context.events == expected, context.events


@when(
    '{count:d} readers of the listener are cancelled while a message arrives'
)
def cancel_readers(context, count):
    context.loop.run_until_complete(cancel_one_by_one(context, count))


async def cancel_one_by_one(context, count):
    client_reader = asyncio.create_task(receive_all(context.client))
    context.not_stopped = 0
    for turn in range(count):
        reader = asyncio.create_task(receive_all(context.server))
        await asyncio.sleep(0.002)
        context.client.send(Leave('n', 1))
        for _ in range(turn % 40):
            await asyncio.sleep(0)
        reader.cancel()
        done, _ = await asyncio.wait({reader}, timeout=CONDITION_TIMEOUT)
        context.not_stopped += not done
        if context.not_stopped:
            break
    client_reader.cancel()
    await asyncio.wait({client_reader}, timeout=CONDITION_TIMEOUT)


async def receive_all(end):
    while True:
        await end.receive()


@then('every reader has stopped')
def check_readers_stopped(context):
    assert not context.not_stopped

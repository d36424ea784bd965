"""Steps for sockets of one process with queued datagrams."""

from __future__ import annotations

import asyncio
import socket

from behave import given
from behave import then
from behave import when
from pistachiohook_core.addresses import Address
from pistachiohook_core.events import DATAGRAM_DROPPED
from pistachiohook_daemon.datagrams import DatagramSocket

#: Timeout for reading all datagrams, in seconds.
TIMEOUT = 30.0


def fail_on_event(event, **fields):
    raise AssertionError((event, fields))


@given(
    'a socket with a batch size of {batch:d} and {count:d} queued datagrams'
)
@given('a socket with a batch size of {batch:d} and {count:d} queued datagram')
def open_socket(context, batch, count):
    if 'sockets' not in context:
        context.sockets = {}
        context.read = []
    opened = DatagramSocket(Address('127.0.0.1', 0), fail_on_event, batch)
    address = opened.open()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(count):
            sender.sendto(b'.', (address.host, address.port))
    # The steps tell the sockets apart by their number of queued datagrams.
    context.sockets[count] = opened


@when('both are served until all datagrams are read')
def serve(context):
    async def run():
        done = asyncio.Event()

        def make_receiver(count):
            def receive(data, sender):
                del data, sender
                context.read.append(count)
                if len(context.read) == sum(context.sockets):
                    done.set()

            return receive

        tasks = [
            asyncio.create_task(opened.serve(make_receiver(count)))
            for count, opened in context.sockets.items()
        ]
        async with asyncio.timeout(TIMEOUT):
            await done.wait()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


@then('the {few:d} datagram was read after at most {bound:d} of the {many:d}')
def check_turn(context, few, bound, many):
    first = context.read.index(few)
    assert context.read[:first] == [many] * first
    assert first <= bound, first


@then('all {count:d} were read')
def check_all(context, count):
    assert len(context.read) == count


@when('a datagram of {length:d} bytes is sent')
def send_long(context, length):
    context.events = []

    def record(event, **fields):
        context.events.append((event, fields))

    opened = DatagramSocket(Address('127.0.0.1', 0), record)
    address = opened.open()
    context.sent = opened.send(bytes(length), address)


@then('it is reported as dropped with the reason "{part}"')
def check_reported(context, part):
    assert not context.sent
    ((event, fields),) = context.events
    assert event is DATAGRAM_DROPPED
    assert part in fields['reason'], fields

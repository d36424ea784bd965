"""Steps for the replacement of silent links between control instances."""

from __future__ import annotations

import asyncio

import attrs
from behave import given
from behave import then
from behave import when
from pistachiohook_daemon.control.peers import Peers

OTHER = '10.0.0.2:7000'


@attrs.define(eq=False)
class FakeLink:
    """Fake client end of a link; the test counts received frames."""

    frames: int = 0
    pings: int = 0
    sent: list = attrs.field(factory=list)
    closed: bool = False

    def send(self, message):
        self.sent.append(message)
        return True

    def ping(self):
        self.pings += 1

    def close(self):
        self.closed = True

    async def discard_messages(self):
        await asyncio.sleep(0)


@given('a control instance that sends to another one every {interval:f} s')
def start(context, interval):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.interval = interval
    context.now = 100.0
    context.dialed = []

    def dial(instance):
        if ':' not in instance:
            return None
        context.dialed.append(FakeLink())
        return context.dialed[-1]

    context.peers = Peers(None, {}, dial, lambda: context.now)


def run(context, seconds, answers):
    async def send_messages():
        end = context.now + seconds
        while context.now < end:
            context.peers.send(OTHER, 'message')
            if answers:
                context.dialed[-1].frames += 1
            context.now += context.interval
            await asyncio.sleep(0)

    context.loop.run_until_complete(send_messages())


@when('the other instance answers for {seconds:d} s')
def answer_messages(context, seconds):
    run(context, seconds, True)


@when('the link receives nothing for {seconds:g} s')
def receive_nothing(context, seconds):
    run(context, seconds, False)


@then('the instance was dialed {times:d} time')
def check_dialed(context, times):
    assert len(context.dialed) == times


@then('the instance was dialed {times:d} times; only the first link is closed')
def check_replaced(context, times):
    assert len(context.dialed) == times
    assert [link.closed for link in context.dialed] == [True, False]


@then('the instance was dialed at most {times:d} times')
def check_dial_limit(context, times):
    assert 2 <= len(context.dialed) <= times, len(context.dialed)


@then('the first link was pinged at least {times:d} times')
def check_pings(context, times):
    assert context.dialed[0].pings >= times


@then('a message to "{name}" is not sent')
def check_not_sent(context, name):
    async def send():
        return context.peers.send(name, 'message')

    assert not context.loop.run_until_complete(send())

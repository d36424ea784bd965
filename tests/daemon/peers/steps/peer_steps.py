"""Steps on connections that are watched."""

from __future__ import annotations

import asyncio

import attrs
from behave import given
from behave import then
from behave import when
from pistachiohook_daemon.control.peers import Peers

OTHER = '10.0.0.2:7000'


@attrs.define(eq=False)
class Connection:
    """A dialing end that is told what it hears."""

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


@given('a control instance that sends to another every {pause:f} s')
def start(context, pause):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.pause = pause
    context.now = 100.0
    context.dialed = []

    def dial(instance):
        if ':' not in instance:
            return None
        context.dialed.append(Connection())
        return context.dialed[-1]

    context.peers = Peers(None, {}, dial, lambda: context.now)


def run(context, seconds, answers):
    async def play():
        end = context.now + seconds
        while context.now < end:
            context.peers.send(OTHER, 'message')
            if answers:
                context.dialed[-1].frames += 1
            context.now += context.pause
            await asyncio.sleep(0)

    context.loop.run_until_complete(play())


@when('the other answers for {seconds:d} s')
def answer(context, seconds):
    run(context, seconds, True)


@when('its connection is silent for {seconds:g} s')
def fall_silent(context, seconds):
    run(context, seconds, False)


@then('it was dialed {times:d} time')
def check_dialed(context, times):
    assert len(context.dialed) == times


@then('it was dialed {times:d} times, and the former connection is closed')
def check_replaced(context, times):
    assert len(context.dialed) == times
    assert [one.closed for one in context.dialed] == [True, False]


@then('it was dialed at most {times:d} times')
def check_rarely(context, times):
    assert 2 <= len(context.dialed) <= times, len(context.dialed)


@then('it was asked for a sign of life at least {times:d} times')
def check_pings(context, times):
    assert context.dialed[0].pings >= times


@then('a message to "{name}" is not sent')
def check_not_sent(context, name):
    async def send():
        return context.peers.send(name, 'message')

    assert not context.loop.run_until_complete(send())

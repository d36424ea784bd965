"""Steps about the supervisor."""

from __future__ import annotations

import asyncio
import selectors

from behave import given
from behave import then
from behave import when
from pistachiohook_daemon.supervisor import Supervisor
from pistachiohook_daemon.supervisor import TaskGivenUpError


class VirtualSelector(selectors.SelectSelector):
    """Moves a virtual clock on in place of waiting."""

    now = 0.0

    def select(self, timeout=None):
        self.now += timeout or 0.0
        return super().select(0)


@given('a supervisor with a task that fails {count:d} times, then goes on')
def prepare_task(context, count):
    context.starts = 0
    context.events = []
    context.goes_on = asyncio.Event()

    async def run():
        context.starts += 1
        if context.starts <= count:
            raise ValueError('broken')
        context.goes_on.set()
        await asyncio.Event().wait()

    context.run = run


@when('the supervisor runs until the task goes on or is given up')
def run_supervisor(context):
    selector = VirtualSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    context.ending = loop.run_until_complete(watch(context))
    loop.close()


async def watch(context):
    supervisor = Supervisor(
        'root', lambda event, **_: context.events.append(event.number)
    )
    supervisor.supervise('task', context.run)
    running = asyncio.ensure_future(supervisor.run())
    good = asyncio.ensure_future(context.goes_on.wait())
    await asyncio.wait({running, good}, return_when='FIRST_COMPLETED')
    if good.done():
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return 'goes on'
    good.cancel()
    assert isinstance(running.exception(), TaskGivenUpError)
    return 'gives up'


@then('the task was started {count:d} times')
def compare_starts(context, count):
    assert context.starts == count, context.starts


@then('the supervisor goes on')
def check_going_on(context):
    assert context.ending == 'goes on'


@then('the supervisor gives up')
def check_giving_up(context):
    assert context.ending == 'gives up'


@then('the events are {events}')
def compare_events(context, events):
    expected = [] if events == 'none' else events.split(',')
    assert [str(number) for number in context.events] == expected

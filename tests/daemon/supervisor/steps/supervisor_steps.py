"""Steps about the supervisor."""

from __future__ import annotations

import asyncio
import gc
import os
import selectors
import signal

from behave import given
from behave import then
from behave import when
from pistachiohook_core.addresses import Address
from pistachiohook_core.metrics import Metrics
from pistachiohook_daemon.endpoints import Health
from pistachiohook_daemon.running import Role
from pistachiohook_daemon.running import run_role
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


@given('garbage is not collected while a role starts')
def stop_collecting(context):
    context.add_cleanup(gc.enable)
    context.add_cleanup(gc.unfreeze)
    gc.disable()


@when('the role has started and is told to stop')
def run_and_stop(context):
    async def shut_down():
        context.collecting = gc.isenabled()
        context.left_out = gc.get_freeze_count()

    async def start():
        assert not gc.isenabled()
        supervisor.supervise('work', asyncio.Event().wait)
        loop = asyncio.get_running_loop()
        loop.call_soon(os.kill, os.getpid(), signal.SIGTERM)
        return Role(lambda: Health(True, ''), shut_down)

    def report(event, **fields):
        del event, fields

    supervisor = Supervisor('test', report)
    status = asyncio.run(
        run_role(
            start,
            Address('127.0.0.1', 0),
            Metrics(),
            supervisor,
            report,
        )
    )
    assert status == 0


@then('garbage was collected while it ran')
def check_collecting(context):
    assert context.collecting


@then('what its start had made was left out')
def check_left_out(context):
    assert context.left_out > 0

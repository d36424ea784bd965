"""Steps for the supervisor and for running a role."""

from __future__ import annotations

import asyncio
import gc
import os
import selectors
import signal
import subprocess
import sys

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

#: Runs a role that gets a signal while it starts.
SIGNALLED_PROGRAM = """
import asyncio, os, signal, sys
from pistachiohook_core.addresses import Address
from pistachiohook_core.metrics import Metrics
from pistachiohook_daemon.endpoints import Health
from pistachiohook_daemon.running import Role
from pistachiohook_daemon.running import run_role
from pistachiohook_daemon.supervisor import Supervisor

async def shut_down():
    print('shut down')

async def start():
    supervisor.supervise('work', asyncio.Event().wait)
    os.kill(os.getpid(), signal.Signals[sys.argv[1]])
    return Role(lambda: Health(True, ''), shut_down)

def report(event, **fields):
    pass

supervisor = Supervisor('test', report)
address = Address('127.0.0.1', 0)
running = run_role(start, address, Metrics(), supervisor, report)
sys.exit(asyncio.run(running))
"""


class VirtualSelector(selectors.SelectSelector):
    """Advances a virtual clock instead of waiting."""

    now = 0.0

    def select(self, timeout=None):
        self.now += timeout or 0.0
        return super().select(0)


@given(
    'a supervisor with a task that fails {count:d} times, then keeps running'
)
def prepare_task(context, count):
    context.starts = 0
    context.events = []
    context.kept_running = asyncio.Event()

    async def run():
        context.starts += 1
        if context.starts <= count:
            raise ValueError('broken')
        context.kept_running.set()
        await asyncio.Event().wait()

    context.run = run


@when('the supervisor runs until the task keeps running or is given up')
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
    stable = asyncio.ensure_future(context.kept_running.wait())
    await asyncio.wait({running, stable}, return_when='FIRST_COMPLETED')
    if stable.done():
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return 'keeps running'
    stable.cancel()
    assert isinstance(running.exception(), TaskGivenUpError)
    return 'gives up'


@then('the task was started {count:d} times')
def compare_starts(context, count):
    assert context.starts == count, context.starts


@then('the supervisor keeps running')
def check_running(context):
    assert context.ending == 'keeps running'


@then('the supervisor gives up')
def check_given_up(context):
    assert context.ending == 'gives up'


@then('the events are {events}')
def compare_events(context, events):
    expected = [] if events == 'none' else events.split(',')
    assert [str(number) for number in context.events] == expected


@given('garbage collection is disabled while a role starts')
def disable_collection(context):
    context.add_cleanup(gc.enable)
    context.add_cleanup(gc.unfreeze)
    gc.disable()


@when('the role has started and the process gets SIGTERM')
def run_and_stop(context):
    async def shut_down():
        context.collection_enabled = gc.isenabled()
        context.frozen_count = gc.get_freeze_count()

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


@then('garbage collection was enabled while the role ran')
def check_collection(context):
    assert context.collection_enabled


@then('the objects created during the start were exempt from collection')
def check_frozen(context):
    assert context.frozen_count > 0


@when('a process gets {name} while its role starts')
def signal_during_start(context, name):
    context.finished = subprocess.run(
        [sys.executable, '-c', SIGNALLED_PROGRAM, name],
        check=False,
        capture_output=True,
        text=True,
        timeout=30,
    )


@then('it has shut the role down and exits with status {status:d}')
def check_shut_down(context, status):
    assert context.finished.returncode == status, context.finished
    assert context.finished.stdout == 'shut down\n', context.finished

"""Steps for the processes of the platform."""

from __future__ import annotations

import json
import os
from pathlib import Path
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.request import Request
from urllib.request import urlopen

from behave import given
from behave import then
from behave import when
from loopback import find_address
from pistachiohook_core.passthrough.messages import FindOwner
from pistachiohook_core.passthrough.messages import FLOW_CODEC
from pistachiohook_core.passthrough.messages import OwnerReply
from pistachiohook_core.passthrough.segments import make_flow
from ports import find_range

#: Time within which a process must exit, in seconds.
EXIT_TIMEOUT = 30.0

HOST = '127.0.0.1'

#: Imports the entry point of a role without the modules of the role, whose
#: place a module without content takes. Exits with 0 if a connection to the
#: address of the target's calls succeeds by then.
ENTRY_POINT_PROGRAM = """
import socket, sys, types

role, calls = sys.argv[1:]
sys.argv[1:] = [role]
stand_in = types.ModuleType('pistachiohook_platform.main')
stand_in.main = None
sys.modules['pistachiohook_platform.main'] = stand_in
import pistachiohook_platform.__main__
host, _, port = calls.rpartition(':')
refused = socket.socket().connect_ex((host, int(port)))
sys.exit(bool(refused))
"""


@given('the settings file of a {role} on loopback')
@given('the settings file of an {role} on loopback')
def write_settings(context, role):
    context.folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, context.folder)
    context.role = role
    first = find_range(16)
    context.settings = {
        'NodeId': 'node-1',
        'Ip': HOST,
        'Zone': 'x',
        'Listen': {
            'DatagramAddr': str(find_address()),
            'ReadinessAddr': str(find_address()),
            'Control': str(find_address()),
            'outbound': str(find_address()),
        },
        'InternalPorts': [first, first + 15],
        'Seeds': [f'{HOST}:8166'],
        'Bootstrap': True,
        'DataDir': str(context.folder / 'data'),
        'Bounds': {'GraceS': 2},
        'Service': 's',
        'app': str(find_address()),
    }
    write(context)


def write(context):
    """Replace the settings file atomically."""
    new = context.folder / 'new'
    new.write_text(json.dumps(context.settings))
    new.rename(context.folder / 'node.json')


def start(context, *arguments):
    return subprocess.Popen(
        [sys.executable, '-m', 'pistachiohook_platform', *arguments],
        env={
            **os.environ,
            'PISTACHIOHOOK_BOOT': str(context.folder / 'node.json'),
        },
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def kill_process(process):
    process.kill()
    process.communicate()


@when('its process is started')
def start_process(context):
    context.process = start(context, context.role)
    context.add_cleanup(kill_process, context.process)


def read_until(context, number):
    """Return the next log line with this event number, skipping others."""
    for text in context.process.stdout:
        line = json.loads(text)
        if line['event'] == number:
            return line
    raise AssertionError(context.process.stderr.read())


@then('it logs event {number:d}')
def check_event(context, number):
    line = read_until(context, number)
    assert line['role'] == context.role
    assert line['instance'] == 'node-1'


@when('the seeds in the file are changed and SIGHUP is sent')
def change_seeds(context):
    context.settings['Seeds'] = [f'{HOST}:8167']
    write(context)
    context.process.send_signal(signal.SIGHUP)


@when('the file is truncated and no signal is sent')
def truncate_file(context):
    new = context.folder / 'new'
    new.write_text(json.dumps(context.settings)[:-30])
    new.rename(context.folder / 'node.json')


@when('it gets SIGTERM')
def terminate(context):
    context.process.terminate()


@when('it gets SIGTERM, SIGINT and SIGHUP')
def signal_again(context):
    context.signalled_at = time.monotonic()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        context.process.send_signal(number)


@then('it exits with status {status:d} after {seconds:f} s or more')
def check_not_cut_short(context, status, seconds):
    assert context.process.wait(EXIT_TIMEOUT) == status
    took = time.monotonic() - context.signalled_at
    assert took >= seconds, took


@when('it gets SIGTERM while it is paused for {seconds:f} s')
def terminate_paused(context, seconds):
    context.process.send_signal(signal.SIGSTOP)
    context.process.terminate()
    time.sleep(seconds)
    context.process.send_signal(signal.SIGCONT)


@then(
    'it logs event {one:d} and event {two:d} and exits with status {status:d}'
)
def check_exit(context, one, two, status):
    read_until(context, one)
    read_until(context, two)
    assert context.process.wait(EXIT_TIMEOUT) == status


@when('a process with {fault} is started')
def start_with_fault(context, fault):
    arguments = {
        'no role': (),
        'an unknown role': ('other',),
        'no settings file': ('balancer',),
    }[fault]
    if fault == 'no settings file':
        (context.folder / 'node.json').unlink()
    context.process = start(context, *arguments)
    context.add_cleanup(kill_process, context.process)


@then('it exits with status {status:d} and prints "{part}"')
def check_fault(context, status, part):
    _, errors = context.process.communicate(timeout=EXIT_TIMEOUT)
    assert context.process.returncode == status
    assert part in errors, errors


@then('SIGHUP is ignored before the first import of a role')
def check_sighup_ignored(context):
    program = (
        'import signal, sys\n'
        "sys.modules['pistachiohook_platform.main'] = None\n"
        'try:\n'
        '    import pistachiohook_platform.__main__\n'
        'except ImportError:\n'
        '    pass\n'
        'ignored = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN\n'
        'sys.exit(0 if ignored else 1)\n'
    )
    finished = subprocess.run(
        [sys.executable, '-c', program], check=False, timeout=EXIT_TIMEOUT
    )
    assert finished.returncode == 0


@when('the modules of the {role} are about to be imported')
def import_entry_point(context, role):
    calls = context.settings['Listen']['Control']
    context.finished = subprocess.run(
        [sys.executable, '-c', ENTRY_POINT_PROGRAM, role, calls],
        env={
            **os.environ,
            'PISTACHIOHOOK_BOOT': str(context.folder / 'node.json'),
        },
        check=False,
        timeout=EXIT_TIMEOUT,
    )


@then('a target can connect to the agent')
def check_connected(context):
    assert context.finished.returncode == 0


@then('a process that imports the modules of the {role} lacks {module}')
def check_lacks_module(context, role, module):
    adapter = 'calls' if role == 'agent' else 'readiness'
    program = (
        'import sys\n'
        'import pistachiohook_platform.main\n'
        f'import pistachiohook_platform.{adapter}\n'
        f'import pistachiohook_daemon.passthrough.{role}\n'
        f'sys.exit({module!r} in sys.modules)\n'
    )
    finished = subprocess.run(
        [sys.executable, '-c', program], check=False, timeout=EXIT_TIMEOUT
    )
    assert finished.returncode == 0


def is_listening(address):
    host, _, port = address.rpartition(':')
    with socket.socket() as probe:
        return not probe.connect_ex((host, int(port)))


@when(
    'the agent is paused for {seconds:f} s during its imports, and its target'
    ' reports that it started with the agent'
)
def pause_during_imports(context, seconds):
    born = int(time.time() * 1000)
    start_process(context)
    calls = context.settings['Listen']['Control']
    # The agent listens for the calls of its target before its imports.
    while not is_listening(calls):
        time.sleep(0.005)
    context.process.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    context.process.send_signal(signal.SIGCONT)
    heartbeat = {
        'Service': 's',
        'Slots': 4,
        'State': 'ready',
        'Seq': 1,
        'born': born,
    }
    request = Request(
        f'http://{calls}/Endpoints.Heartbeat/i-1',
        json.dumps(heartbeat).encode(),
    )
    with urlopen(request, timeout=EXIT_TIMEOUT) as response:
        assert response.status == 200


@then('the agent does not claim an unknown flow')
def check_no_claim(context):
    agent = (HOST, context.settings['InternalPorts'][0] + 4)
    message = FindOwner('s', make_flow(1, 2, 3, 4), 5)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as link:
        link.bind((HOST, 0))
        link.settimeout(1.0)
        link.sendto(FLOW_CODEC.encode(message), agent)
        try:
            answer = FLOW_CODEC.decode(link.recv(65536), 'agent').unwrap()
        except TimeoutError:
            answer = None
    assert not isinstance(answer, OwnerReply), answer

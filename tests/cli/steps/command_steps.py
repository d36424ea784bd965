"""Steps that run the operators' commands."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import contextlib
import io
import json
import socket
import threading

from behave import given
from behave import then
from behave import when
from control_cluster import ControlCluster
from control_cluster import OPERATOR
from control_cluster import READER
from pistachiohook_cli.main import run

TOKENS = {
    'operator': OPERATOR,
    'reader': READER,
    'unknown': 'stranger-token-0001',
}


@given('{count:d} control instances')
def start_controls(context, count):
    context.cluster = ControlCluster()
    context.add_cleanup(context.cluster.stop)
    context.cluster.start(count)
    context.cluster.wait(context.cluster.find_leader)
    apis = [str(member.api) for member in context.cluster.members]
    write_settings(context, apis)


def write_settings(context, apis, name=''):
    for role, token in TOKENS.items():
        (context.cluster.folder / role).write_text(token)
        settings = f'api = {json.dumps(apis)}\ntoken_file = "{role}"\n'
        path = context.cluster.folder / f'{name}{role}.toml'
        path.write_text(settings + 'timeout = 9\n')


@given('a folder with the service "{service}" at "{address}"')
def write_objects(context, service, address):
    context.folder = context.cluster.folder / service
    context.folder.mkdir()
    policy = '[policy.p]' if service == 'soapfloor' else ''
    (context.folder / 'objects.toml').write_text(
        f'{policy}\n[service.{service}]\n'
        f'addresses = ["{address}"]\npolicy = "p"\n'
    )


@given('a node "{name}"')
def start_node(context, name):
    context.cluster.start_node(name)


def run_command(context, command, role='operator'):
    arguments = command.replace('{folder}', str(context.folder)).split()
    if '--settings' not in arguments:
        path = context.cluster.folder / f'{role}.toml'
        arguments += ['--settings', str(path)]
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = run(arguments)
    context.status = status
    context.out = out.getvalue()
    context.err = err.getvalue()


@when('"{command}" is run')
def run_operator(context, command):
    run_command(context, command)


@when('"{command}" is run with the token "{role}"')
def run_role(context, command, role):
    run_command(context, command, role)


@when('"{command}" is run with that API')
def run_with_lossy_api(context, command):
    run_command(context, command, 'lossy-operator')


@then('it exits with {status:d} and prints "{text}"')
def compare_output(context, status, text):
    found = (context.status, context.out, context.err)
    assert context.status == status, found
    assert text in context.out, found


@then('it exits with {status:d} and warns ""')
def compare_status(context, status):
    assert context.status == status, (context.status, context.err)


@then('it exits with {status:d} and warns "{text}"')
def compare_warning(context, status, text):
    compare_status(context, status)
    assert text in context.err, context.err


@then('it warns "{text}"')
def check_warning(context, text):
    assert text in context.err, context.err


@when('"status" is run to wait for the newest revision')
def wait_for_revision(context):
    run_command(context, 'show --json')
    revision = json.loads(context.out)['revision']
    run_command(context, f'status --wait {revision}')


@when('{count:d} changes based on revision 0 are sent at once')
def send_concurrently(context, count):
    path = str(context.cluster.folder / 'operator.toml')
    folder = str(context.folder)

    def send_one(number):
        arguments = ['apply', folder, '--revision', '0', '--json']
        arguments += ['--change-id', f'change-{number}', '--settings', path]
        return run(arguments)

    out = io.StringIO()
    with contextlib.redirect_stdout(out), ThreadPoolExecutor(count) as pool:
        context.statuses = list(pool.map(send_one, range(count)))
    context.out = out.getvalue()


@then('one is accepted and the problems of the others name it')
def check_one_accepted(context):
    assert sorted(context.statuses) == [0] + 7 * [1], context.statuses
    winner = context.statuses.index(0)
    shown = context.out.count(f'"change_id": "change-{winner}"')
    assert shown == len(context.statuses), context.out


@then('an event {number:d} is logged')
def find_event(context, number):
    numbers = {event for event, _ in context.cluster.events}
    assert number in numbers, numbers


@given('an API that forwards requests and drops the responses')
def start_lossy_api(context):
    """Forward each request to a control instance and drop the response."""
    api = context.cluster.members[0].api
    listener = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(listener.close)
    threading.Thread(
        target=forward_requests, args=(listener, api), daemon=True
    ).start()
    address = '{}:{}'.format(*listener.getsockname())
    write_settings(context, [address], 'lossy-')


def forward_requests(listener, api):
    with contextlib.suppress(OSError):
        while True:
            client, _ = listener.accept()
            with (
                client,
                socket.create_connection((api.host, api.port)) as server,
            ):
                request = client.recv(65536)
                server.sendall(request)
                server.recv(65536)


@when('"<command> --json" is run for each command')
def run_each(context):
    commands = (
        'check {folder}',
        'apply {folder}',
        'apply {folder} --revision 0',
        'show',
        'status',
        'targets',
        'drain nobody',
        'control members',
    )
    context.documents = []
    for command in commands:
        run_command(context, f'{command} --json')
        context.documents.append((command, context.status, context.out))


@then('each prints one JSON document')
def compare_documents(context):
    for command, status, out in context.documents:
        document = json.loads(out)
        assert isinstance(document, dict), command
        refused = command in ('drain nobody', 'apply {folder} --revision 0')
        assert status == int(refused), (command, status, out)

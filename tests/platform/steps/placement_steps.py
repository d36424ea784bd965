"""Steps on explanations of placements by the command line."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
from urllib.error import HTTPError
from urllib.request import urlopen

from behave import then
from loopback import find_address
from path_steps import SERVICE_ADDRESS
from pistachiohook_cli.main import run
from pistachiohook_core.events import ROLE_STARTED
from pistachiohook_core.metrics import Metrics
from pistachiohook_core.passthrough.messages import TargetState
from pistachiohook_daemon.endpoints import serve_endpoints
from process_steps import read_until

ENTRY = '{}:{}'.format(*SERVICE_ADDRESS)


def explain(*options):
    """Run the command.

    :returns: its status and what it has printed
    """
    printed = io.StringIO()
    with (
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(printed),
    ):
        status = run(['explain', 'placement', *options])
    return status, printed.getvalue()


def serve_placement(platform, name):
    """Serve the administration address of a balancer; return it."""
    role = platform.balancers[name]
    address = find_address()

    async def serve():
        serve_endpoints(
            address,
            Metrics(),
            role.find_health,
            platform.record_event,
            {'GET /placement': role.show_placement},
        )

    platform.call(serve())
    return str(address)


@then('"{name}" explains placements as follows')
def check_explanations(context, name):
    platform = context.platform
    admin = context.admin = serve_placement(platform, name)
    views = platform.balancers[name].balancer.views
    platform.wait(
        lambda: all(
            view.load.state is TargetState.READY for view in views.list_all()
        )
    )
    for row in context.table:
        options = row['options'].split()
        if '--balancer' not in options:
            options += ('--balancer', admin)
        status, printed = platform.call(asyncio.to_thread(explain, *options))
        assert status == int(row['status']), (row, printed)
        assert row['part'] in printed, (row, printed)


@then('it answers that it has no routes yet')
def check_process(context):
    admin = read_until(context, ROLE_STARTED.number)['admin']
    try:
        urlopen(f'http://{admin}/placement?entry={ENTRY}')
    except HTTPError as error:
        assert error.code == 503, error
        assert json.load(error) == {'error': 'no routes yet'}
    else:
        raise AssertionError('a placement without routes')


@then('a first call through "{name}" is answered by the target named before')
def check_named(context, name):
    """Check one call: each one changes the figures, with the next reports."""
    platform = context.platform
    options = ('--balancer', context.admin, '--entry', ENTRY, '--json')
    _, printed = platform.call(asyncio.to_thread(explain, *options))
    (service,) = json.loads(printed)['services']
    entry = platform.balancers[name].settings.entry
    answer = platform.call(platform.caller.call(entry, SERVICE_ADDRESS))
    link = platform.agents[answer].settings.node.link
    assert service['outcome']['agent'] == str(link), service

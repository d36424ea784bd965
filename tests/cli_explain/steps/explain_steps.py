"""Steps that explain flows from log lines."""

from __future__ import annotations

import contextlib
import io
import json
from pathlib import Path
import tempfile

from behave import given
from behave import then
from behave import when
from pistachiohook_cli.explanation import explain_flow
from pistachiohook_cli.main import run


@given('these log lines')
def write_lines(context):
    context.lines = []
    for row in context.table:
        document = {
            'time': f'2026-01-01T00:00:0{row["second"]}',
            'level': 'INFO',
            'role': row['role'],
            'instance': row['instance'],
            'event': int(row['event']),
            **json.loads(row['fields']),
            'text': 'What happened.',
        }
        if row['flow']:
            document['flow'] = row['flow']
        context.lines.append('  1.2 host ' + json.dumps(document))


@given('a truncated line')
def add_truncated(context):
    context.lines.append(context.lines[0][:-9])


@then('the cause of "{flow}" is "{cause}"')
def check_cause(context, flow, cause):
    context.found = explain_flow(flow, context.lines)
    assert context.found.cause == cause, context.found.cause


@then('the cause of "{flow}" contains "{part}"')
def check_part(context, flow, part):
    context.found = explain_flow(flow, context.lines)
    assert part in context.found.cause, context.found.cause


@then('{number:d} lines are shown')
def check_shown(context, number):
    assert len(context.found.lines) == number, context.found.lines


@then('{number:d} line could not be read')
def check_unreadable(context, number):
    assert context.found.unreadable == number


def call(context, path):
    out = io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(io.StringIO()),
    ):
        context.status = run(['explain', 'f', str(path)])
    context.printed = out.getvalue()


@when('"explain f" is run on a file with these lines')
def run_on_file(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'log'
        path.write_text('\n'.join(context.lines))
        call(context, path)


@when('"explain f" is run on a file that does not exist')
def run_on_nothing(context):
    call(context, Path('/nonexistent/log'))


@then('it exits with {status:d} and prints "{part}"')
def check_printed(context, status, part):
    assert context.status == status
    assert part in context.printed, context.printed


@then('it exits with {status:d}')
def check_status(context, status):
    assert context.status == status

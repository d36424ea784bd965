"""Steps for reading and validating settings."""

from __future__ import annotations

from pathlib import Path
import tempfile

from behave import given
from behave import then
from behave import when
from pistachiohook_daemon.settings import read_settings
from returns.result import Success

#: Settings of a balancer without an error.
VALID = """
role = 'balancer'
name = 'b1'
availability_zone = 'nadi-b'
admin = '127.0.0.1:0'
keys_file = 'keys'
control = ['127.0.0.1:7001']
[balancer]
sealed = '127.0.0.1:0'
stale_after = 5
[[balancer.entries]]
service_address = '127.0.0.10:4433'
bind = '127.0.0.1:0'
"""


def write(context, content):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / 'settings.toml'
    if content is not None:
        context.path.write_bytes(content)


@when('the settings of a balancer are read')
def read_valid(context):
    write(context, VALID.encode())
    context.outcome = read_settings(context.path)


@then('the role is balancer')
def check_role(context):
    assert context.outcome.unwrap().role == 'balancer'


@given('the settings of a balancer in which {change}')
def write_changed(context, change):
    context.content = change_text(VALID, change)
    write(context, context.content.encode())


@given('also {change}')
def write_changed_again(context, change):
    context.content = change_text(context.content, change)
    context.path.write_text(context.content)


def change_text(text, change):
    name = change.split()[0]
    lines = text.splitlines()
    if change.endswith('is missing'):
        kept = [line for line in lines if not line.startswith(f'{name} =')]
    elif change.endswith('is added'):
        kept = [change.removesuffix(' is added'), *lines]
    else:
        new_line = change.removesuffix(' is set')
        kept = [
            new_line if line.startswith(f'{name} =') else line
            for line in lines
        ]
    assert kept != lines
    return '\n'.join(kept)


@given('a settings file that {fault}')
def write_unreadable(context, fault):
    contents = {'is not TOML': b'role = = 1', 'is not UTF-8': b'\xff\xfe='}
    write(context, contents.get(fault))
    if fault == 'is a folder':
        context.path.mkdir()


@when('the settings are read')
def read_changed(context):
    context.outcome = read_settings(context.path)


@then('one error names the file, the key "{key}" and "{found}"')
def check_failure(context, key, found):
    assert not isinstance(context.outcome, Success)
    (failure,) = context.outcome.failure()
    assert failure.peer == str(context.path)
    assert failure.step in (f'read key {key}', f'read {key}'), failure
    assert found in failure.reason, failure


@then('{count:d} errors are reported')
def check_count(context, count):
    assert len(context.outcome.failure()) == count

"""Steps for the check of configuration objects."""

from __future__ import annotations

from pathlib import Path
import tempfile

from behave import given
from behave import then
from behave import when
from pistachiohook_core.configuration.check import check_objects
from pistachiohook_core.configuration.folder import read_folder
from pistachiohook_core.configuration.resolution import assign_numbers
from pistachiohook_core.configuration.resolution import resolve_services
from returns.result import Success


@given('the file "{name}"')
def write_file(context, name):
    write_text(context, name, context.text)


@given('the lines of "{name}" are "{table}" then {line}')
def write_lines(context, name, table, line):
    write_text(context, name, f'{table}\n{line}\n')


def write_text(context, name, text):
    if not hasattr(context, 'folder'):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = Path(folder.name)
    (context.folder / name).write_text(text)


@when('the set is checked')
def check_set(context):
    content = read_folder(context.folder)
    result = check_objects(content.objects)
    valid = isinstance(result, Success)
    context.objects = result.unwrap() if valid else None
    context.errors = content.errors + (() if valid else result.failure())


@then('service {name} has {key} {value} and {other} {more}')
def compare_service(context, name, key, value, other, more):
    assert not context.errors, context.errors
    numbers = assign_numbers(context.objects, {}, 1)
    service = resolve_services(context.objects, numbers)[name]
    assert str(getattr(service, key)) == value
    assert str(getattr(service, other)) == more


@then('an error at "{location}" says "{reason}"')
def find_error(context, location, reason):
    assert any(
        f'{error.file}/{error.object}/{error.key}' == location
        and reason in error.reason
        for error in context.errors
    ), context.errors


@then('there are {count:d} errors')
def count_errors(context, count):
    assert len(context.errors) == count, context.errors

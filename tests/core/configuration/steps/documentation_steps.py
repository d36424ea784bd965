"""Steps about the page on configuration objects."""

from __future__ import annotations

from pathlib import Path
import re

from behave import then
from pistachiohook_core.configuration.objects import KEYS

PAGE = Path('docs/configuration.md')


@then('docs/configuration.md holds a row for each key and no other')
def compare_page(context):
    rows = re.findall(r'^\| `.*\|$', PAGE.read_text(), re.MULTILINE)
    assert rows == [make_row(key) for key in KEYS], rows


def make_row(key):
    shown = 'required' if key.default is None else f'`{key.default}`'
    default = '`[]`' if key.default == () else shown
    span = f'{key.low:g} to {key.high:g}' if key.high else ''
    return (
        f'| `{key.name}` | {key.form.value} | {key.unit} | {default} '
        f'| {span} | {key.text} |'
    )

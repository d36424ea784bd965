"""Steps that compare pages with the code."""

from __future__ import annotations

from pathlib import Path
import re

from behave import then
from behave import when
from pistachiohook_core.configuration.check import check_objects
from pistachiohook_core.configuration.folder import read_folder
from pistachiohook_core.configuration.objects import KEYS
from pistachiohook_core.events import EVENTS
from pistachiohook_core.tables import list_keys
from pistachiohook_daemon.settings import read_settings
from pistachiohook_daemon.settings import Settings
from returns.pipeline import is_successful
import write_docs

LINK = re.compile(r'\]\(([^)#:]+)(?:#[^)]*)?\)')


def list_settings(table):
    """Return the names of all keys, nested ones too."""
    names = []
    for field, known in list_keys(table):
        names.append(field.name)
        if known.table is not None:
            names += list_settings(known.table)
    return names


def name_registry(registry):
    if registry == 'events':
        return [f'| {number} |' for number in EVENTS]
    if registry == 'keys of the objects':
        return [f'| `{key.name}` |' for key in KEYS]
    return [f'| `{name}` |' for name in list_settings(Settings)]


@when('the page {page} is written anew')
def render(context, page):
    context.path = Path('docs') / page
    context.page = write_docs.render_pages()[context.path]


@then('it equals the committed one')
def compare(context):
    assert write_docs.find_stale({context.path: context.page}) == [], (
        f'{context.path} differs from the code; run make docs'
    )


@then('it names all of the {registry}')
def check_names(context, registry):
    names = name_registry(registry)
    missing = [name for name in names if name not in context.page]
    assert names and not missing, missing


@when('the page {page} lacks its last line')
def cut_page(context, page):
    context.path = Path('docs') / page
    whole = write_docs.render_pages()[context.path]
    context.page = ''.join(whole.splitlines(keepends=True)[:-1])


@then('it is found to differ')
def check_differs(context):
    found = write_docs.find_stale({context.path: context.page})
    assert found == [context.path], found


@when("the daemon's settings below {folder} are read")
def read_all(context, folder):
    files = sorted(Path(folder).glob('*.toml'))
    context.results = [read_settings(file) for file in files]


@then('{count:d} files are accepted')
def check_accepted(context, count):
    good = [result for result in context.results if is_successful(result)]
    assert len(good) == len(context.results) == count, context.results


@when('the objects below {folder} are checked')
def check_folder(context, folder):
    content = read_folder(Path(folder))
    assert not content.errors, content.errors
    context.checked = check_objects(content.objects)


@then('there are {count:d} services and no fault')
def check_services(context, count):
    assert len(context.checked.unwrap().services) == count


@then('each relative link in README.md, CHANGES.md and docs leads to a file')
def check_links(context):
    pages = [
        Path('README.md'),
        Path('CHANGES.md'),
        *Path('docs').rglob('*.md'),
    ]
    broken = [
        f'{page}: {link}'
        for page in pages
        for link in LINK.findall(page.read_text())
        if not (page.parent / link).exists()
    ]
    assert not broken, broken

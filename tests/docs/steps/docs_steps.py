"""Steps that check the documentation pages and the files of the example."""

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

#: Target of a relative link in Markdown, without its fragment.
LINK = re.compile(r'\]\(([^)#:]+)(?:#[^)]*)?\)')


def list_settings(table):
    """Return the names of all keys, including those of nested tables."""
    names = []
    for field, key in list_keys(table):
        names.append(field.name)
        if key.table is not None:
            names += list_settings(key.table)
    return names


def list_table_cells(registry):
    """Return the table cells that the page of a registry must contain."""
    if registry == 'events':
        return [f'| {number} |' for number in EVENTS]
    if registry == 'keys of the objects':
        return [f'| `{key.name}` |' for key in KEYS]
    return [f'| `{name}` |' for name in list_settings(Settings)]


@when('the page {page} is generated')
def generate_page(context, page):
    context.path = Path('docs') / page
    context.page = write_docs.render_pages()[context.path]


@then('it equals the committed page')
def check_page(context):
    assert write_docs.find_stale({context.path: context.page}) == [], (
        f'{context.path} differs from the code; run make docs'
    )


@then('it lists all of the {registry}')
def check_registry(context, registry):
    cells = list_table_cells(registry)
    missing = [cell for cell in cells if cell not in context.page]
    assert cells and not missing, missing


@when('the page {page} lacks its last line')
def remove_last_line(context, page):
    context.path = Path('docs') / page
    complete = write_docs.render_pages()[context.path]
    context.page = ''.join(complete.splitlines(keepends=True)[:-1])


@then('it is reported as stale')
def check_stale(context):
    stale = write_docs.find_stale({context.path: context.page})
    assert stale == [context.path], stale


@when("the daemon's settings files in {folder} are read")
def read_settings_files(context, folder):
    files = sorted(Path(folder).glob('*.toml'))
    context.results = [read_settings(file) for file in files]


@then('{count:d} files are accepted')
def check_accepted(context, count):
    accepted = [result for result in context.results if is_successful(result)]
    assert len(accepted) == len(context.results) == count, context.results


@when('the objects in {folder} are checked')
def check_configuration(context, folder):
    content = read_folder(Path(folder))
    assert not content.errors, content.errors
    context.checked = check_objects(content.objects)


@then('they are valid and contain {count:d} services')
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

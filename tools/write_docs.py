"""Generate the documentation pages of events, settings and objects."""

from __future__ import annotations

from pathlib import Path
import sys
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.configuration import objects
from pistachiohook_core.events import EVENTS
from pistachiohook_core.tables import describe_key
from pistachiohook_core.tables import list_keys
from pistachiohook_daemon.settings import Settings

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

#: Folder of the generated pages.
DOCS = Path('docs')

_TABLE_HEAD = '| key | value | default | meaning |\n|---|---|---|---|\n'

_EVENTS_HEAD = """# Events

Every log line carries the number of one of these events. The numbers are
stable. `make docs` generates this page from the registry in
`pistachiohook_core.events`.

| number | level | what happened | what to do |
|---|---|---|---|
"""

_SETTINGS_HEAD = """# Settings of the daemon

`pistachiohookd --settings FILE` reads one TOML file. Each missing or unknown
key, value of a wrong type, invalid address and unreadable file is reported in
one line on standard error; the daemon then does not start and exits with
status 2. `make docs` generates this page from the settings classes.
"""

_OBJECTS_HEAD = """# Configuration objects

An object is a table `[KIND.NAME]` in a `*.toml` file of a folder.
`pistachiohook check DIR` checks the objects of a folder, and
`pistachiohook apply DIR` replaces the whole configuration by them. `make docs`
generates this page from the registry in
`pistachiohook_core.configuration.objects`.
"""


def main() -> int:
    """Write every page, or with ``--check`` compare each with its file.

    :returns: 1 when ``--check`` has found a difference, else 0
    """
    pages = render_pages()
    if '--check' not in sys.argv[1:]:
        for path, text in pages.items():
            path.write_text(text)
        return 0
    stale = find_stale(pages)
    for path in stale:
        print(f'{path} differs from the code; run make docs')
    return 1 if stale else 0


def render_pages() -> dict[Path, str]:
    """Return the text of each page."""
    return {
        DOCS / 'events.md': render_events(),
        DOCS / 'settings.md': render_settings(),
        DOCS / 'objects.md': render_objects(),
    }


def find_stale(pages: dict[Path, str]) -> list[Path]:
    """Return the paths of the pages whose files are missing or differ."""
    return [
        path
        for path, text in pages.items()
        if not path.exists() or path.read_text() != text
    ]


def render_events() -> str:
    """Return the page of the events."""
    rows = [
        f'| {number} | {event.level.value} | {event.text} | {event.action} |\n'
        for number, event in sorted(EVENTS.items())
    ]
    return _EVENTS_HEAD + ''.join(rows)


def render_settings() -> str:
    """Return the page of the settings."""
    return _SETTINGS_HEAD + ''.join(_render_table('', Settings))


def render_objects() -> str:
    """Return the page of the configuration objects."""
    sections = [
        f'\n## {kind}\n\n'
        + _TABLE_HEAD
        + ''.join(_render_object_key(key) for key in objects.list_keys(kind))
        for kind in objects.KINDS
    ]
    return _OBJECTS_HEAD + ''.join(sections)


def _render_object_key(key: objects.Key) -> str:
    unit = f' of {key.unit}' if key.unit else ''
    limits = f' from {key.low:g} to {key.high:g}' if key.high else ''
    default = (
        'required' if key.default is None else _format_default(key.default)
    )
    return (
        f'| `{key.name}` | {key.form.value}{unit}{limits} | {default} '
        f'| {key.text} |\n'
    )


def _render_table(name: str, table: type) -> Iterator[str]:
    title = f'table `{name}`' if name else 'top of the file'
    yield f'\n## {title}\n\n'
    yield _TABLE_HEAD
    keys = list_keys(table)
    for field, key in keys:
        default = (
            'required'
            if field.default is attrs.NOTHING
            else _format_default(field.default)
        )
        yield (
            f'| `{field.name}` | {describe_key(key)} | {default} '
            f'| {key.text} |\n'
        )
    yield from _render_nested(name, keys)


def _render_nested(
    name: str, keys: Iterable[tuple[attrs.Attribute[Any], Any]]
) -> Iterator[str]:
    for field, key in keys:
        if key.table is not None:
            prefix = f'{name}.' if name else ''
            yield from _render_table(f'{prefix}{field.name}', key.table)


def _format_default(default: object) -> str:
    if default is None or default == ():
        return 'none'
    if attrs.has(type(default)):
        return 'its defaults'
    return f'`{default}`'


if __name__ == '__main__':
    sys.exit(main())

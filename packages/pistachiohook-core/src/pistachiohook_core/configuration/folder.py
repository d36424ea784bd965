"""Reads configuration objects from the TOML files of a folder."""

from __future__ import annotations

import tomllib
from typing import Any
from typing import TYPE_CHECKING

import attrs

from .objects import ObjectError
from .objects import RawObject

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


@attrs.frozen
class FolderContent:
    """Objects and errors read from the files of a folder.

    :param objects: every object that could be read
    :param errors: errors of the files and tables that could not be read
    """

    objects: tuple[RawObject, ...] = ()
    errors: tuple[ObjectError, ...] = ()


def read_folder(folder: Path) -> FolderContent:
    """Read every ``*.toml`` file in a folder and its subfolders.

    :param folder: the folder
    :returns: objects and errors, in the order of the file names
    """
    files = sorted(folder.rglob('*.toml'))
    if not files:
        error = ObjectError('', '', str(folder), 'no *.toml file found')
        return FolderContent(errors=(error,))
    found = [
        item
        for file in files
        for item in _read_file(file, str(file.relative_to(folder)))
    ]
    return FolderContent(
        tuple(item for item in found if isinstance(item, RawObject)),
        tuple(item for item in found if isinstance(item, ObjectError)),
    )


def _read_file(file: Path, name: str) -> Iterator[RawObject | ObjectError]:
    try:
        document = tomllib.loads(file.read_text('utf-8'))
    except (OSError, ValueError) as error:
        yield ObjectError('', '', name, f'not readable as TOML: {error}')
        return
    for kind, objects in document.items():
        yield from _read_kind(kind, objects, name)


def _read_kind(
    kind: str, objects: Any, file: str
) -> Iterator[RawObject | ObjectError]:
    if not isinstance(objects, dict):
        yield ObjectError('', kind, file, 'expected a table of objects')
        return
    for name, keys in objects.items():
        if isinstance(keys, dict):
            yield RawObject(kind, name, file, keys)
        else:
            yield ObjectError(
                kind, name, file, f'expected a table [{kind}.NAME]'
            )

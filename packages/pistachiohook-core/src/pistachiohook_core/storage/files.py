"""Interface to the files of one data folder."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


@attrs.frozen
class FileOperations:
    """Everything that the storage does with files.

    Each callable raises :exc:`OSError` when it fails.

    :param read: returns a file's content, or ``None`` when there is none
    :param write: creates a file, or replaces its content; not yet durable
    :param append: writes at the end of a file; not yet durable
    :param truncate: cuts a file to a length in bytes; not yet durable
    :param sync: makes a file's content and length durable
    :param rename: gives the first file the second's name, in its place
    :param sync_folder: makes the names in the data folder durable
    """

    read: Callable[[str], bytes | None]
    write: Callable[[str, bytes], None]
    append: Callable[[str, bytes], None]
    truncate: Callable[[str, int], None]
    sync: Callable[[str], None]
    rename: Callable[[str, str], None]
    sync_folder: Callable[[], None]

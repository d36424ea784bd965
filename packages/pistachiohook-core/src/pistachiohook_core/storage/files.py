"""Interface to the files of a data folder."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


@attrs.frozen
class FileOperations:
    """File operations that the storage needs, given by the caller.

    Each callable takes names of files within the data folder and raises
    :exc:`OSError` when it fails.

    :param read: returns the content of a file; ``None`` when it doesn't exist
    :param write: creates a file or replaces its content; durable only after
        ``sync``
    :param append: appends to a file; durable only after ``sync``
    :param truncate: truncates a file to a length in bytes; durable only after
        ``sync``
    :param sync: makes the content and the length of a file durable
    :param rename: renames the first file to the second name, replacing a file
        of that name; durable only after ``sync_folder``
    :param sync_folder: makes the names of the files durable
    """

    read: Callable[[str], bytes | None]
    write: Callable[[str, bytes], None]
    append: Callable[[str, bytes], None]
    truncate: Callable[[str, int], None]
    sync: Callable[[str], None]
    rename: Callable[[str, str], None]
    sync_folder: Callable[[], None]

"""Files with marshaled code that the build writes.

They are checked when they are read. This module is imported before a bundle is
in use, so it imports little, and not :mod:`typing` either.
"""

from __future__ import annotations

import marshal
import sys
from zlib import crc32

# Type checkers know this name; importing it would take longer than the rest.
TYPE_CHECKING = False

if TYPE_CHECKING:
    from typing import Any

#: First line of each file: marshaled code fits one version of Python.
VERSION_LINE = f'{sys.implementation.cache_tag} {sys.hexversion:x}\n'.encode()

#: Length of the checksum that follows the first line, in bytes.
CHECKSUM_LENGTH = 4


def read_build_file(path: str) -> Any:
    """Return the content of a file that :func:`write_build_file` wrote.

    :raises OSError: when the file can't be read
    :raises ValueError: when it is damaged or of another version of Python
    """
    with open(path, 'rb') as file:
        # Slices of a view are not copies: a bundle has several megabytes.
        data = memoryview(file.read())
    length = len(VERSION_LINE)
    body = data[length + CHECKSUM_LENGTH :]
    if data[:length] != VERSION_LINE:
        raise ValueError('written by another version of Python')
    if data[length : length + CHECKSUM_LENGTH] != _make_checksum(body):
        raise ValueError('damaged; the checksum does not match')
    return marshal.loads(body)


def write_build_file(path: str, content: Any) -> None:
    """Write an object that :mod:`marshal` supports to a file.

    :raises OSError: when the file can't be written
    """
    body = marshal.dumps(content)
    with open(path, 'wb') as file:
        file.write(VERSION_LINE + _make_checksum(memoryview(body)) + body)


def _make_checksum(body: memoryview) -> bytes:
    return crc32(body).to_bytes(CHECKSUM_LENGTH, 'little')

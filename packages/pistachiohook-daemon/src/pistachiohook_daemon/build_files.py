"""Files with marshaled code that the build writes.

They are checked in the same way as Python's cache of compiled modules. This
module is imported before a bundle is in use, so it imports little.
"""

from __future__ import annotations

from importlib.util import MAGIC_NUMBER
from importlib.util import source_hash
import marshal
from typing import Any

#: Length of the checksum that follows Python's magic number, in bytes.
CHECKSUM_LENGTH = 8


def read_build_file(path: str) -> Any:
    """Return the content of a file that :func:`write_build_file` wrote.

    :raises OSError: when the file can't be read
    :raises ValueError: when it is damaged or of another version of Python
    """
    with open(path, 'rb') as file:
        # Slices of a view are not copies: a bundle has several megabytes.
        data = memoryview(file.read())
    length = len(MAGIC_NUMBER)
    body = data[length + CHECKSUM_LENGTH :]
    if data[:length] != MAGIC_NUMBER:
        raise ValueError('written by another version of Python')
    if data[length : length + CHECKSUM_LENGTH] != source_hash(body):
        raise ValueError('damaged; the checksum does not match')
    return marshal.loads(body)


def write_build_file(path: str, content: Any) -> None:
    """Write an object that :mod:`marshal` supports to a file.

    :raises OSError: when the file can't be written
    """
    body = marshal.dumps(content)
    with open(path, 'wb') as file:
        file.write(MAGIC_NUMBER + source_hash(body) + body)

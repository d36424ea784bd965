"""Keys of the links between the processes of the system."""

from __future__ import annotations

from pathlib import Path

import attrs
from pistachiohook_core.failures import Failure
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

#: Shortest key, in bytes.
KEY_LENGTH_MIN = 16

#: Longest key, in bytes; BLAKE2b takes no more.
KEY_LENGTH_MAX = 64


@attrs.frozen
class LinkKeys:
    """Keys that are valid now.

    :param current: key that seals what is sent
    :param former: key that is still taken from others during a rotation
    """

    current: bytes = attrs.field(repr=False)
    former: bytes | None = attrs.field(default=None, repr=False)

    def list_valid(self) -> tuple[bytes, ...]:
        """Return the keys that open what is received."""
        keys = (self.current, self.former)
        return tuple(one for one in keys if one is not None)


def read_keys(path: Path) -> Result[LinkKeys, Failure]:
    """Read the key file: one key in hex a line, the current one first.

    :param path: the file, one or two lines
    """
    step = 'read keys'
    try:
        lines = path.read_text('ascii').split()
        keys = [bytes.fromhex(line) for line in lines]
    except OSError as error:
        return Failed(Failure(step, str(path), str(error.strerror)))
    except ValueError:
        return Failed(Failure(step, str(path), 'expected keys in hex'))
    lengths_fit = all(
        KEY_LENGTH_MIN <= len(one) <= KEY_LENGTH_MAX for one in keys
    )
    if len(keys) not in (1, 2) or not lengths_fit:
        reason = (
            f'expected one or two keys of {KEY_LENGTH_MIN} '
            f'to {KEY_LENGTH_MAX} bytes'
        )
        return Failed(Failure(step, str(path), reason))
    return Success(LinkKeys(*keys))

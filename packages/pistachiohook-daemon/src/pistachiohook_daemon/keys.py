"""Shared keys that authenticate the processes to each other."""

from __future__ import annotations

from pathlib import Path

import attrs
from pistachiohook_core.failures import Failure
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

#: Shortest key, in bytes.
KEY_LENGTH_MIN = 16

#: Longest key, in bytes; the limit of BLAKE2b.
KEY_LENGTH_MAX = 64


@attrs.frozen
class LinkKeys:
    """Keys that are currently valid.

    :param current: key for outgoing messages
    :param former: previous key, still accepted in incoming messages during a
        key rotation
    """

    current: bytes = attrs.field(repr=False)
    former: bytes | None = attrs.field(default=None, repr=False)

    def list_valid(self) -> tuple[bytes, ...]:
        """Return the keys that are accepted in incoming messages."""
        keys = (self.current, self.former)
        return tuple(one for one in keys if one is not None)


def read_keys(path: Path) -> Result[LinkKeys, Failure]:
    """Read a key file.

    :param path: file with one hexadecimal key a line: the current key, then
        optionally the previous one
    """
    step = 'read keys'
    try:
        lines = path.read_text('ascii').split()
        keys = [bytes.fromhex(line) for line in lines]
    except OSError as error:
        return Failed(Failure(step, str(path), str(error.strerror)))
    except ValueError:
        return Failed(Failure(step, str(path), 'expected hexadecimal keys'))
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

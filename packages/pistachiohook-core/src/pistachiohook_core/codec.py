"""Binary encoding of the typed messages between processes."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from .failures import Failure

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Errors by which decoding tells that the data isn't valid.
_UNREADABLE = (
    msgspec.MsgspecError,
    KeyError,
    UnicodeDecodeError,
    RecursionError,
)


@attrs.frozen
class Codec:
    """Encodes and decodes messages, each preceded by the number of its class.

    :param kinds: attrs class of each message by its number on the wire
    """

    kinds: Mapping[int, type]
    _numbers: dict[type, int] = attrs.field(init=False)

    @_numbers.default
    def _invert_kinds(self) -> dict[type, int]:
        return {kind: number for number, kind in self.kinds.items()}

    def encode(self, message: object) -> bytes:
        """Encode one message.

        :param message: instance of one of the classes
        :raises KeyError: when the class of the message has no number
        """
        return msgspec.msgpack.encode((self._numbers[type(message)], message))

    def decode(self, data: bytes, peer: str) -> Result[Any, Failure]:
        """Decode one message.

        :param data: encoded message, which need not be valid
        :param peer: sender of the data, for the failure
        :returns: the message, or a failure when the data isn't valid
        """
        try:
            number, body = msgspec.msgpack.decode(
                data, type=tuple[int, msgspec.Raw]
            )
            kind: type[Any] = self.kinds[number]
            message: Any = msgspec.msgpack.decode(body, type=kind)
        except _UNREADABLE as error:
            return Failed(
                Failure(
                    'decode message', peer, f'not a valid message: {error}'
                )
            )
        return Success(message)

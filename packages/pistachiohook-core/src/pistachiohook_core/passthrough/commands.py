"""Replicated state: the applied route set as it was accepted."""

from __future__ import annotations

import zlib

import attrs
import msgspec

from ..codec import Codec
from .routes import RouteSet

#: Level of zlib compression of replicated route sets. They are repetitive, so
#: that even the fastest level reduces them to a tenth.
COMPRESSION_LEVEL = 1


@attrs.frozen
class ReplaceRoutes:
    """Replaces the applied route set by one with a higher version.

    :param version: version of the set
    :param routes: the set, encoded by :func:`pack_routes`
    :param document: the set as its operator wrote it, compressed
    """

    version: int
    routes: bytes
    document: bytes


@attrs.frozen
class Outcome:
    """Outcome of :class:`ReplaceRoutes`.

    :param version: version that is applied afterwards
    :param changed: whether the command has changed it
    """

    version: int
    changed: bool


_NO_ROUTES = ReplaceRoutes(0, b'', b'')

#: Encoding of the commands in the replicated log and of their outcomes.
COMMAND_CODEC = Codec({1: ReplaceRoutes, 2: Outcome})


@attrs.define
class RouteStateMachine:
    """Replicated state machine that holds the applied route set."""

    current: ReplaceRoutes = _NO_ROUTES

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its encoded outcome.

        :raises ValueError: when the command can't be decoded
        """
        decoded = COMMAND_CODEC.decode(command, f'entry {index}')
        replacement = decoded.value_or(None)
        if not isinstance(replacement, ReplaceRoutes):
            raise ValueError(f'entry {index} does not replace routes')
        changed = replacement.version > self.current.version
        if changed:
            self.current = replacement
        return COMMAND_CODEC.encode(Outcome(self.current.version, changed))

    def take_snapshot(self) -> bytes:
        """Encode the whole state."""
        return COMMAND_CODEC.encode(self.current)

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state.

        :raises ValueError: when the snapshot can't be decoded
        """
        current = COMMAND_CODEC.decode(snapshot, 'snapshot').value_or(None)
        if not isinstance(current, ReplaceRoutes):
            raise ValueError('the snapshot contains no routes')
        self.current = current


def make_command(routes: RouteSet, document: bytes) -> ReplaceRoutes:
    """Return the command that replaces the applied route set.

    :param routes: the new set, which has passed its check
    :param document: the new set as its operator wrote it
    """
    return ReplaceRoutes(
        routes.version,
        pack_routes(routes),
        zlib.compress(document, COMPRESSION_LEVEL),
    )


def read_document(replacement: ReplaceRoutes) -> bytes:
    """Return a route set as its operator wrote it."""
    return zlib.decompress(replacement.document)


def pack_routes(routes: RouteSet) -> bytes:
    """Encode a route set."""
    return zlib.compress(msgspec.msgpack.encode(routes), COMPRESSION_LEVEL)


def unpack_routes(packed: bytes) -> RouteSet:
    """Decode a route set that :func:`pack_routes` has encoded.

    :raises ValueError: when the bytes are not an encoded route set
    """
    try:
        content = zlib.decompress(packed)
        return msgspec.msgpack.decode(content, type=RouteSet)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f'not a route set: {error}') from error

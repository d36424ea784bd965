"""The replicated state: the route set in force, as it was accepted."""

from __future__ import annotations

import zlib

import attrs
import msgspec

from ..codec import Codec
from .routes import RouteSet

#: Level of compression of what is replicated: the sets repeat themselves, and
#: even the fastest level leaves a tenth of them.
COMPRESSION_LEVEL = 1


@attrs.frozen
class ReplaceRoutes:
    """Puts a route set in force, unless one of its version or above is.

    :param version: number of the set
    :param routes: the set, packed by :func:`pack_routes`
    :param document: the set as its operator wrote it, compressed
    """

    version: int
    routes: bytes
    document: bytes


@attrs.frozen
class Outcome:
    """What became of :class:`ReplaceRoutes`.

    :param version: version that is in force afterwards
    :param changed: whether the command has put it in force
    """

    version: int
    changed: bool


_NOTHING = ReplaceRoutes(0, b'', b'')

#: Commands and outcomes in the replicated log.
ORDER_CODEC = Codec({1: ReplaceRoutes, 2: Outcome})


@attrs.define
class RouteOrders:
    """The replicated state machine."""

    held: ReplaceRoutes = _NOTHING

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its encoded outcome.

        :raises ValueError: when the command can't be decoded
        """
        decoded = ORDER_CODEC.decode(command, f'entry {index}')
        order = decoded.value_or(None)
        if not isinstance(order, ReplaceRoutes):
            raise ValueError(f'entry {index} is no order')
        changed = order.version > self.held.version
        if changed:
            self.held = order
        return ORDER_CODEC.encode(Outcome(self.held.version, changed))

    def take_snapshot(self) -> bytes:
        """Encode the whole state."""
        return ORDER_CODEC.encode(self.held)

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state.

        :raises ValueError: when the snapshot can't be decoded
        """
        held = ORDER_CODEC.decode(snapshot, 'snapshot').value_or(None)
        if not isinstance(held, ReplaceRoutes):
            raise ValueError('the snapshot holds no routes')
        self.held = held


def make_order(routes: RouteSet, document: bytes) -> ReplaceRoutes:
    """Return the command that puts a checked route set in force.

    :param routes: the set
    :param document: the same as its operator wrote it
    """
    return ReplaceRoutes(
        routes.version,
        pack_routes(routes),
        zlib.compress(document, COMPRESSION_LEVEL),
    )


def read_document(order: ReplaceRoutes) -> bytes:
    """Return a route set as its operator wrote it."""
    return zlib.decompress(order.document)


def pack_routes(routes: RouteSet) -> bytes:
    """Encode a route set."""
    return zlib.compress(msgspec.msgpack.encode(routes), COMPRESSION_LEVEL)


def unpack_routes(packed: bytes) -> RouteSet:
    """Decode what :func:`pack_routes` made.

    :raises ValueError: when it was not made by it
    """
    try:
        content = zlib.decompress(packed)
        return msgspec.msgpack.decode(content, type=RouteSet)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f'not a route set: {error}') from error

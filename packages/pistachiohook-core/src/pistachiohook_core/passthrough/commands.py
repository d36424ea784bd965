"""Replicated state: the applied route set and the evacuated zones."""

from __future__ import annotations

import zlib

import attrs
import msgspec
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..codec import Codec
from ..failures import Failure
from .routes import build_table
from .routes import check_routes
from .routes import RouteSet
from .routes import RouteTable

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


@attrs.frozen
class SetEvacuation:
    """Evacuates an availability zone or returns it to service.

    :param zone: name of the zone
    :param active: whether the zone is evacuated from now on
    """

    zone: str
    active: bool


@attrs.frozen
class EvacuationOutcome:
    """Outcome of :class:`SetEvacuation`.

    :param revision: revision of the evacuated zones afterwards
    :param changed: whether the command has changed them
    """

    revision: int
    changed: bool


@attrs.frozen
class Evacuation:
    """The evacuated availability zones.

    :param revision: number of changes so far; 0 before the first one
    :param zones: names of the evacuated zones, in order
    """

    revision: int = 0
    zones: tuple[str, ...] = ()


@attrs.frozen
class ReplicatedState:
    """Content of a snapshot once a zone has been evacuated.

    :param routes: the applied route set
    :param evacuation: the evacuated zones
    """

    routes: ReplaceRoutes
    evacuation: Evacuation


_NO_ROUTES = ReplaceRoutes(0, b'', b'')

#: Encoding of the commands in the replicated log, of their outcomes, and of
#: snapshots. A snapshot of an earlier version is an encoded
#: :class:`ReplaceRoutes`.
COMMAND_CODEC = Codec(
    {
        1: ReplaceRoutes,
        2: Outcome,
        3: SetEvacuation,
        4: EvacuationOutcome,
        5: ReplicatedState,
    }
)


@attrs.define
class RouteStateMachine:
    """Replicated state machine that holds the state of control.

    :param current: the applied route set
    :param evacuation: the evacuated availability zones
    """

    current: ReplaceRoutes = _NO_ROUTES
    evacuation: Evacuation = Evacuation()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its encoded outcome.

        :raises ValueError: when the command can't be decoded
        """
        decoded = COMMAND_CODEC.decode(command, f'entry {index}')
        outcome: Outcome | EvacuationOutcome
        match decoded.value_or(None):
            case ReplaceRoutes() as replacement:
                outcome = self._replace_routes(replacement)
            case SetEvacuation() as change:
                outcome = self._set_evacuation(change)
            case _:
                raise ValueError(f'entry {index} is not a command')
        return COMMAND_CODEC.encode(outcome)

    def take_snapshot(self) -> bytes:
        """Encode the whole state.

        Until the first evacuation the encoding is that of earlier versions,
        which can read it.
        """
        if not self.evacuation.revision:
            return COMMAND_CODEC.encode(self.current)
        state = ReplicatedState(self.current, self.evacuation)
        return COMMAND_CODEC.encode(state)

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state.

        :raises ValueError: when the snapshot can't be decoded
        """
        match COMMAND_CODEC.decode(snapshot, 'snapshot').value_or(None):
            case ReplaceRoutes() as current:
                self.current, self.evacuation = current, Evacuation()
            case ReplicatedState(routes, evacuation):
                self.current, self.evacuation = routes, evacuation
            case _:
                raise ValueError('the snapshot contains no routes')

    def _replace_routes(self, replacement: ReplaceRoutes) -> Outcome:
        changed = replacement.version > self.current.version
        if changed:
            self.current = replacement
        return Outcome(self.current.version, changed)

    def _set_evacuation(self, change: SetEvacuation) -> EvacuationOutcome:
        former = self.evacuation
        changed = (change.zone in former.zones) != change.active
        if changed:
            zones = set(former.zones) ^ {change.zone}
            self.evacuation = Evacuation(
                former.revision + 1, tuple(sorted(zones))
            )
        return EvacuationOutcome(self.evacuation.revision, changed)


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


def load_routes(packed: bytes) -> Result[RouteTable, Failure]:
    """Decode, check and index a route set that :func:`pack_routes` encoded.

    Control accepts a route set only if this succeeds, and balancers apply what
    it returns, so that whatever is accepted can be applied.

    :param packed: the encoded set
    :returns: its table; or the first failure when it can't be applied
    """
    try:
        routes = unpack_routes(packed)
        failures = check_routes(routes)
        if failures:
            return Failed(failures[0])
        return Success(build_table(routes))
    except ValueError as error:
        return Failed(Failure('load routes', 'route set', str(error)))

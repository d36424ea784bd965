"""Events, actions and peer messages of the owner of flows."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import attrs

from ..addresses import Address
from ..addresses import pack_address
from ..addresses import PACKED_LENGTH
from ..addresses import unpack_address
from ..codec import Codec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from ..published import Published
    from .drops import DropReason
    from .envelope import Envelope

#: Most flows in one :class:`RegisterFlows`.
REGISTER_FLOWS_MAX = 512

# Caller, entry, age in milliseconds, whether the handshake is complete.
_RECORD = struct.Struct(f'!{PACKED_LENGTH}s{PACKED_LENGTH}sI?')
_AGE_MAX_MS = 2**32 - 1


@attrs.frozen
class Flow:
    """A caller's flow to a service address.

    :param caller: address of the caller
    :param entry: service address that the caller uses
    """

    caller: Address
    entry: Address


@attrs.frozen
class FlowRecord:
    """What a holder tells of one flow.

    :param flow: the flow
    :param age: time since its last handshake was complete, or since it was
        opened when none is, in seconds
    :param established: whether its handshake is complete
    """

    flow: Flow
    age: float
    established: bool


@attrs.frozen
class Holder:
    """One start of the agent that holds a flow.

    :param agent: where it receives envelopes
    :param incarnation: number of its start
    """

    agent: Address
    incarnation: int


@attrs.frozen
class RegisterFlows:
    """A holder tells the owner of a bucket which flows of it there are.

    :param service: fencing number of the service
    :param agent: where the holder receives envelopes
    :param incarnation: number of the holder's start
    :param revision: published revision that the holder has applied
    :param records: what :func:`pack_records` made
    """

    service: int
    agent: Address
    incarnation: int
    revision: int
    records: bytes


#: Messages between the agents of one service, on their links.
STEERING_CODEC = Codec({1: RegisterFlows})


@attrs.frozen
class EnvelopeReceived:
    """A sealed datagram came in and was unsealed."""

    envelope: Envelope


@attrs.frozen
class PublishedChanged:
    """A newer published state is to be applied."""

    published: Published


@attrs.frozen
class MessageReceived:
    """A message of a peer came in on a link."""

    message: RegisterFlows


@attrs.frozen
class FlowEstablished:
    """The local engine has completed a handshake on a flow.

    Sent again when a later connection on the same flow completes its own.
    """

    flow: Flow


@attrs.frozen
class FlowEnded:
    """The local engine has no connection left on a flow."""

    flow: Flow


@attrs.frozen
class Tick:
    """Time has passed; sent each :data:`~.flows.TICK_INTERVAL`."""


@attrs.frozen
class Deliver:
    """Hand a datagram to the local engine.

    :param flow: its flow
    :param payload: the datagram
    """

    flow: Flow
    payload: bytes


@attrs.frozen
class SendEnvelope:
    """Seal an envelope and send it.

    :param address: the agent or the balancer that it goes to
    :param envelope: what to seal
    """

    address: Address
    envelope: Envelope


@attrs.frozen
class SendMessage:
    """Send a message on the link to a peer.

    :param link: where the peer receives messages
    :param message: the message
    """

    link: Address
    message: RegisterFlows


@attrs.frozen
class SendReset:
    """Tell a caller that nobody holds its flow.

    :param flow: the flow
    :param balancer: where the datagram came from
    :param payload: the datagram, for its connection id
    """

    flow: Flow
    balancer: Address
    payload: bytes


@attrs.frozen
class AbandonFlow:
    """Forget a flow in the local engine, and send nothing to its caller.

    Another agent holds it, or its service is gone.
    """

    flow: Flow


@attrs.frozen
class Drop:
    """A datagram was dropped; count it.

    :param reason: why
    """

    reason: DropReason


Event = (
    EnvelopeReceived
    | PublishedChanged
    | MessageReceived
    | FlowEstablished
    | FlowEnded
    | Tick
)
Action = Deliver | SendEnvelope | SendMessage | SendReset | AbandonFlow | Drop
Actions = tuple[Action, ...]


def pack_records(records: Iterable[FlowRecord]) -> bytes:
    """Encode flow records for :class:`RegisterFlows`."""
    return b''.join(
        _RECORD.pack(
            pack_address(record.flow.caller),
            pack_address(record.flow.entry),
            min(_AGE_MAX_MS, int(record.age * 1000)),
            record.established,
        )
        for record in records
    )


def unpack_records(packed: bytes) -> Iterator[FlowRecord]:
    """Decode what :func:`pack_records` made; a cut record is left out."""
    whole = len(packed) - len(packed) % _RECORD.size
    for caller, entry, age, established in _RECORD.iter_unpack(packed[:whole]):
        flow = Flow(unpack_address(caller), unpack_address(entry))
        yield FlowRecord(flow, age / 1000, established)

"""Events, actions and peer messages of :class:`~.flows.AgentRouter`."""

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

    from ..published import PublishedState
    from .drops import DropReason
    from .envelope import Envelope

#: Maximum number of flows in one :class:`RegisterFlows`.
REGISTER_FLOWS_MAX = 512

# Packed caller and entry, age in milliseconds, whether a handshake is
# complete.
_RECORD = struct.Struct(f'!{PACKED_LENGTH}s{PACKED_LENGTH}sI?')
_AGE_MAX_MS = 2**32 - 1


@attrs.frozen
class FlowKey:
    """Identity of a flow: a caller and the service address that it uses.

    :param caller: address of the caller
    :param entry: service address that the caller uses
    """

    caller: Address
    entry: Address


@attrs.frozen
class FlowRecord:
    """Registration of one flow by its holder.

    :param flow: key of the flow
    :param age: time since its latest handshake was completed, or since it was
        opened when no handshake is complete, in seconds
    :param established: whether a handshake is complete
    """

    flow: FlowKey
    age: float
    established: bool


@attrs.frozen
class AgentIncarnation:
    """An agent in one incarnation, such as the holder of a flow.

    :param agent: address at which it receives envelopes
    :param incarnation: number of its start
    """

    agent: Address
    incarnation: int


@attrs.frozen
class RegisterFlows:
    """Registers flows that a holder has with the owner of their buckets.

    An owner sends it as well, in reply: for flows that it holds itself and
    keeps, so that the other agent abandons them.

    :param service: fencing number of the service
    :param agent: address at which the holder receives envelopes
    :param incarnation: number of the holder's start
    :param revision: published revision that the holder has applied
    :param records: flow records, encoded by :func:`pack_records`
    """

    service: int
    agent: Address
    incarnation: int
    revision: int
    records: bytes


#: Messages of steering between the agents of one service, on their links.
STEERING_CODEC = Codec({1: RegisterFlows})


@attrs.frozen
class EnvelopeReceived:
    """An envelope was received and unsealed."""

    envelope: Envelope


@attrs.frozen
class PublishedChanged:
    """A published state is to be applied."""

    published: PublishedState


@attrs.frozen
class MessageReceived:
    """A message of a peer was received on a link."""

    message: RegisterFlows


@attrs.frozen
class FlowEstablished:
    """The local QUIC engine has completed a handshake on a flow.

    The event comes again when a later connection on the same flow completes
    its handshake.
    """

    flow: FlowKey


@attrs.frozen
class FlowEnded:
    """The local QUIC engine has no connection left on a flow."""

    flow: FlowKey


@attrs.frozen
class Tick:
    """A timer event, at each :data:`~.flows.TICK_INTERVAL`."""


@attrs.frozen
class Deliver:
    """Pass a datagram to the local QUIC engine.

    :param flow: its flow
    :param payload: the datagram
    """

    flow: FlowKey
    payload: bytes


@attrs.frozen
class SendEnvelope:
    """Seal an envelope and send it.

    :param address: address of the receiving agent or balancer
    :param envelope: the envelope
    """

    address: Address
    envelope: Envelope


@attrs.frozen
class SendMessage:
    """Send a message on the link to a peer.

    :param link: address at which the peer receives messages
    :param message: the message
    """

    link: Address
    message: RegisterFlows


@attrs.frozen
class SendReset:
    """Send a stateless reset to a caller whose flow no agent holds.

    :param flow: the flow
    :param balancer: balancer to send it through
    :param payload: datagram of the caller, whose connection id determines the
        reset token
    """

    flow: FlowKey
    balancer: Address
    payload: bytes


@attrs.frozen
class AbandonFlow:
    """Discard a flow in the local QUIC engine, and send nothing to its caller.

    Done when another agent holds it, when its handshake was not completed in
    time, or when its service has got another number.
    """

    flow: FlowKey


@attrs.frozen
class Drop:
    """Count a datagram or peer message that was dropped.

    :param reason: why it was dropped
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
    """Decode flow records; a truncated last record is ignored."""
    whole = len(packed) - len(packed) % _RECORD.size
    for caller, entry, age, established in _RECORD.iter_unpack(packed[:whole]):
        flow = FlowKey(unpack_address(caller), unpack_address(entry))
        yield FlowRecord(flow, age / 1000, established)

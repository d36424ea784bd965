"""Envelopes that carry datagrams between balancers and agents.

The MAC covers the header and a fast, non-cryptographic hash of the payload. It
shows that a payload belongs to its header. The content of a caller's datagram
is protected end to end by QUIC, and is not protected again here.
"""

from __future__ import annotations

import enum
import hashlib
from hmac import compare_digest
import struct

import attrs
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
from xxhash import xxh3_64_digest

from ..addresses import Address
from ..addresses import pack_address
from ..addresses import PACKED_LENGTH
from ..addresses import unpack_address
from .drops import DropReason

#: Version of the format of envelopes: their first byte.
FORMAT = 1

#: Length of the MAC at the end of an envelope, in bytes.
MAC_LENGTH = 16

#: Maximum number of hops that the header can express.
HOPS_FIELD_MAX = 255

#: Placeholder for an address that is not given.
NO_ADDRESS = Address('0.0.0.0', 0)

# Format, kind, hops, service, incarnation, table version, incarnation of the
# sender; then the packed entry, balancer, sender and caller. The caller comes
# last, so that EntrySealer can reuse all that precedes it.
_HEADER = struct.Struct('!BBBxIQQQ6s6s6s6s')
_CALLER_OFFSET = _HEADER.size - PACKED_LENGTH

#: Length that an envelope adds to its payload, in bytes.
OVERHEAD = _HEADER.size + MAC_LENGTH


class Kind(enum.IntEnum):
    """Sender and receiver of an envelope, and its purpose."""

    #: Balancer to agent: a caller's datagram.
    ENTRY = 1
    #: Agent to balancer: a datagram for a caller.
    ANSWER = 2
    #: Agent to agent: a caller's datagram for the flow's holder or owner.
    PASSED = 3
    #: Agent to agent: a datagram returned to its sender, because the receiver
    #: neither holds its flow nor knows the holder.
    DECLINED = 4
    #: Agent to agent: a caller's datagram, to be accepted only when the
    #: receiver knows the holder of its flow.
    OFFERED = 5
    #: Agent to agent, in reply to an offer: the agent named as the sender
    #: holds the flow.
    HELD = 6


_KINDS = {int(kind): kind for kind in Kind}


@attrs.frozen
class Envelope:
    """A datagram from or to a caller, with the fields that route it.

    :param kind: sender, receiver and purpose
    :param service: fencing number of the service
    :param incarnation: that of the receiving agent; of the sending agent for
        :attr:`Kind.ANSWER`
    :param table_version: published revision that the sender has applied
    :param hops: number of agents that have forwarded the datagram
    :param caller: address of the caller
    :param entry: service address that the caller uses
    :param balancer: address of the balancer that sends answers to the caller
    :param payload: the datagram; empty for :attr:`Kind.HELD`
    :param sender: address of the agent that sent the envelope, or of the
        holder for :attr:`Kind.HELD`; not given by a balancer
    :param sender_incarnation: incarnation of that agent
    """

    kind: Kind
    service: int
    incarnation: int
    table_version: int
    hops: int
    caller: Address
    entry: Address
    balancer: Address
    payload: bytes
    sender: Address = NO_ADDRESS
    sender_incarnation: int = 0


def _prepare_mac(key: bytes) -> hashlib.blake2b:
    return hashlib.blake2b(digest_size=MAC_LENGTH, key=key, person=b'steering')


@attrs.frozen
class Keys:
    """Keys for the MACs of envelopes.

    :param current: makes and verifies MACs; 16 to 64 bytes
    :param previous: only verifies MACs, during a rotation of keys
    """

    current: bytes = attrs.field(
        repr=False, validator=attrs.validators.min_len(16)
    )
    previous: bytes | None = attrs.field(default=None, repr=False)
    _macs: tuple[hashlib.blake2b, ...] = attrs.field(
        init=False, repr=False, eq=False
    )

    @_macs.default
    def _prepare_macs(self) -> tuple[hashlib.blake2b, ...]:
        keys = (self.current, self.previous)
        return tuple(_prepare_mac(key) for key in keys if key is not None)

    def get_initial_mac(self) -> hashlib.blake2b:
        """Return the current key's MAC state, to be copied before use."""
        return self._macs[0]

    def make_mac(self, header: bytes, payload: bytes) -> bytes:
        """Return the MAC by the current key."""
        mac = self._macs[0].copy()
        mac.update(header + xxh3_64_digest(payload))
        return mac.digest()

    def check_mac(
        self, header: bytes, payload: bytes, expected: bytes
    ) -> bool:
        """Return whether a MAC was made by the current or previous key."""
        covered = header + xxh3_64_digest(payload)
        for prepared in self._macs:
            mac = prepared.copy()
            mac.update(covered)
            if compare_digest(mac.digest(), expected):
                return True
        return False


def seal(envelope: Envelope, keys: Keys) -> bytes:
    """Encode an envelope and append its MAC.

    :raises struct.error: when a number does not fit its field
    """
    header = _pack_header(envelope)
    payload = envelope.payload
    return b''.join((header, payload, keys.make_mac(header, payload)))


@attrs.frozen
class EntrySealer:
    """Seals envelopes that differ only in their caller and payload.

    :param agent: address that the envelopes are sent to
    """

    agent: Address
    _prefix: bytes = attrs.field(repr=False)
    _mac: hashlib.blake2b = attrs.field(repr=False, eq=False)

    def seal(self, caller: bytes, payload: bytes) -> bytes:
        """Return the same as :func:`seal` for the whole envelope.

        :param caller: packed address of the caller
        :param payload: the datagram
        """
        header = self._prefix + caller
        mac = self._mac.copy()
        mac.update(header + xxh3_64_digest(payload))
        return header + payload + mac.digest()


def make_entry_sealer(
    agent: Address, envelope: Envelope, keys: Keys
) -> EntrySealer:
    """Return a sealer for many datagrams to one agent.

    :param agent: address that the envelopes are sent to
    :param envelope: template; its caller and payload are ignored
    :param keys: valid keys of the envelopes
    """
    prefix = _pack_header(envelope)[:_CALLER_OFFSET]
    return EntrySealer(agent, prefix, keys.get_initial_mac())


def unseal(data: bytes, keys: Keys) -> Result[Envelope, DropReason]:
    """Verify and decode a sealed envelope.

    :param data: datagram from any, also an untrusted sender
    :param keys: valid keys of the envelopes
    :returns: the envelope, or why the datagram is dropped
    """
    if len(data) < OVERHEAD or data[0] != FORMAT:
        return Failed(DropReason.MALFORMED)
    kind = _KINDS.get(data[1])
    if kind is None:
        return Failed(DropReason.MALFORMED)
    payload = data[_HEADER.size : -MAC_LENGTH]
    header = data[: _HEADER.size]
    if not keys.check_mac(header, payload, data[-MAC_LENGTH:]):
        return Failed(DropReason.WRONG_KEY)
    fields = _HEADER.unpack_from(data)
    return Success(
        Envelope(
            kind=kind,
            hops=fields[2],
            service=fields[3],
            incarnation=fields[4],
            table_version=fields[5],
            sender_incarnation=fields[6],
            entry=unpack_address(fields[7]),
            balancer=unpack_address(fields[8]),
            sender=unpack_address(fields[9]),
            caller=unpack_address(fields[10]),
            payload=payload,
        )
    )


def _pack_header(envelope: Envelope) -> bytes:
    return _HEADER.pack(
        FORMAT,
        envelope.kind,
        envelope.hops,
        envelope.service,
        envelope.incarnation,
        envelope.table_version,
        envelope.sender_incarnation,
        pack_address(envelope.entry),
        pack_address(envelope.balancer),
        pack_address(envelope.sender),
        pack_address(envelope.caller),
    )

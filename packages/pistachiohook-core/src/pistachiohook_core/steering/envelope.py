"""Sealed form of a datagram between balancers and agents.

The MAC covers the header and a fast hash of the payload, which shows that the
two were not mixed up. What a caller's datagram says is protected by QUIC from
end to end, and not again here.
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

#: First byte of every envelope: the version of its format.
FORMAT = 1

#: Length of the MAC that ends an envelope, in bytes.
MAC_LENGTH = 16

#: Most hops that the header can hold.
HOPS_MAX = 255

#: Stands for an address that is not given.
NO_ADDRESS = Address('0.0.0.0', 0)

# Format, kind, hops, service, incarnation, table version, incarnation of the
# sender; then the packed entry, balancer, sender and caller. The caller comes
# last, so that all before it is the same for many datagrams.
_HEADER = struct.Struct('!BBBxIQQQ6s6s6s6s')
_CALLER_AT = _HEADER.size - PACKED_LENGTH

#: Bytes that an envelope adds to its payload.
OVERHEAD = _HEADER.size + MAC_LENGTH


class Kind(enum.IntEnum):
    """Which way an envelope goes, and what its receiver may do."""

    #: Balancer to agent: a caller's datagram.
    ENTRY = 1
    #: Agent to balancer: a datagram for a caller.
    ANSWER = 2
    #: Agent to agent: a caller's datagram for the flow's holder or owner.
    PASSED = 3
    #: Agent to agent: the flow is not known to the decliner.
    DECLINED = 4
    #: Agent to agent: a caller's datagram to take only if the flow is known.
    OFFERED = 5
    #: Agent to agent: the flow is held by the agent named as the sender.
    HELD = 6


_KINDS = {int(kind): kind for kind in Kind}


@attrs.frozen
class Envelope:
    """A caller's datagram, or the answer to one, with its way.

    :param kind: which way it goes
    :param service: fencing number of the service
    :param incarnation: of the receiving agent; of the sender for an answer
    :param table_version: published revision that the sender had applied
    :param hops: how many agents have handed it on
    :param caller: address of the caller
    :param entry: service address that the caller used
    :param balancer: where answers to the caller go
    :param payload: the datagram itself
    :param sender: agent that handed it on
    :param sender_incarnation: number of that agent's start
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
    """Keys of the envelopes' MACs.

    :param current: seals, and is valid; 16 to 64 bytes
    :param previous: only valid, during a rotation
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

    def start_mac(self) -> hashlib.blake2b:
        """Return the MAC of nothing by the current key, to be copied."""
        return self._macs[0]

    def make_mac(self, header: bytes, payload: bytes) -> bytes:
        """Return the MAC that the current key makes."""
        mac = self._macs[0].copy()
        mac.update(header + xxh3_64_digest(payload))
        return mac.digest()

    def check_mac(
        self, header: bytes, payload: bytes, expected: bytes
    ) -> bool:
        """Return whether one of the valid keys has made a MAC."""
        covered = header + xxh3_64_digest(payload)
        for prepared in self._macs:
            mac = prepared.copy()
            mac.update(covered)
            if compare_digest(mac.digest(), expected):
                return True
        return False


def seal(envelope: Envelope, keys: Keys) -> bytes:
    """Encode an envelope and add its MAC.

    :raises struct.error: when a number does not fit its field
    """
    header = _pack_header(envelope)
    payload = envelope.payload
    return b''.join((header, payload, keys.make_mac(header, payload)))


@attrs.frozen
class EntrySealer:
    """Seals datagrams that differ only in their caller and payload.

    :param agent: where the envelopes go
    """

    agent: Address
    _prefix: bytes = attrs.field(repr=False)
    _mac: hashlib.blake2b = attrs.field(repr=False, eq=False)

    def seal(self, caller: bytes, payload: bytes) -> bytes:
        """Return what :func:`seal` makes of the whole envelope.

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
    """Prepare the sealing of many datagrams for one agent.

    :param agent: where the envelopes go
    :param envelope: pattern of all but the caller and the payload
    :param keys: valid keys of the envelopes
    """
    prefix = _pack_header(envelope)[:_CALLER_AT]
    return EntrySealer(agent, prefix, keys.start_mac())


def unseal(data: bytes, keys: Keys) -> Result[Envelope, DropReason]:
    """Check and decode what :func:`seal` made.

    :param data: a datagram from anywhere
    :returns: the envelope, or why it is not one
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

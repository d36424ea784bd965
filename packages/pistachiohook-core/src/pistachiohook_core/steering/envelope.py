"""Sealed form of a datagram between balancers and agents."""

from __future__ import annotations

import enum
import hashlib
from hmac import compare_digest
import struct

import attrs
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..addresses import Address
from .drops import DropReason

#: First byte of every envelope: the version of its format.
FORMAT = 1

#: Length of the MAC that ends an envelope, in bytes.
MAC_LENGTH = 16

#: Most hops that the header can hold.
HOPS_MAX = 255

#: Stands for an address that is not given.
NO_ADDRESS = Address('0.0.0.0', 0)

# Format, kind, hops, service, incarnation, table version, four addresses
# (caller, entry, balancer, sender), incarnation of the sender.
_HEADER = struct.Struct('!BBBxIQQ4BH4BH4BH4BHQ')

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

    def make_mac(self, header: bytes, payload: bytes) -> bytes:
        """Return the MAC that the current key makes."""
        mac = self._macs[0].copy()
        mac.update(header)
        mac.update(payload)
        return mac.digest()

    def check_mac(self, body: memoryview, expected: memoryview) -> bool:
        """Return whether one of the valid keys has made a MAC."""
        for prepared in self._macs:
            mac = prepared.copy()
            mac.update(body)
            if compare_digest(mac.digest(), expected):
                return True
        return False


def seal(envelope: Envelope, keys: Keys) -> bytes:
    """Encode an envelope and add its MAC.

    :raises struct.error: when a number does not fit its field
    """
    header = _HEADER.pack(
        FORMAT,
        envelope.kind,
        envelope.hops,
        envelope.service,
        envelope.incarnation,
        envelope.table_version,
        *_split_address(envelope.caller),
        *_split_address(envelope.entry),
        *_split_address(envelope.balancer),
        *_split_address(envelope.sender),
        envelope.sender_incarnation,
    )
    payload = envelope.payload
    return b''.join((header, payload, keys.make_mac(header, payload)))


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
    view = memoryview(data)
    if not keys.check_mac(view[:-MAC_LENGTH], view[-MAC_LENGTH:]):
        return Failed(DropReason.WRONG_KEY)
    fields = _HEADER.unpack_from(data)
    return Success(
        Envelope(
            kind=kind,
            hops=fields[2],
            service=fields[3],
            incarnation=fields[4],
            table_version=fields[5],
            caller=_join_address(fields[6:11]),
            entry=_join_address(fields[11:16]),
            balancer=_join_address(fields[16:21]),
            payload=data[_HEADER.size : -MAC_LENGTH],
            sender=_join_address(fields[21:26]),
            sender_incarnation=fields[26],
        )
    )


def _split_address(address: Address) -> tuple[int, ...]:
    return (*map(int, address.host.split('.')), address.port)


def _join_address(fields: tuple[int, ...]) -> Address:
    return Address('.'.join(map(str, fields[:4])), fields[4])

"""Parsing of QUIC packet headers (RFC 8999, RFC 9000)."""

from __future__ import annotations

#: Minimum size of a datagram with a client's Initial packet, in bytes.
INITIAL_DATAGRAM_MIN = 1200

#: Maximum length of a connection id in QUIC versions 1 and 2, in bytes.
CONNECTION_ID_MAX = 20

#: Version number of a Version Negotiation packet.
VERSION_NEGOTIATION = 0

_LONG_HEADER = 0x80
_TYPE_MASK = 0x30
_ID_LENGTH_OFFSET = 5
# Packet type bits of an Initial packet, by version (RFC 9000, RFC 9369).
_INITIAL_TYPES = {0x00000001: 0x00, 0x6B3343CF: 0x10}


def may_open_flow(payload: bytes) -> bool:
    """Return whether a datagram may open a flow.

    True for a datagram of at least :data:`INITIAL_DATAGRAM_MIN` bytes that
    begins with an Initial packet, or with a long header of a version whose
    packet types are not known here.

    :param payload: a caller's datagram
    """
    if len(payload) < INITIAL_DATAGRAM_MIN or not payload[0] & _LONG_HEADER:
        return False
    version = int.from_bytes(payload[1:_ID_LENGTH_OFFSET], 'big')
    if version == VERSION_NEGOTIATION:
        return False
    packet_type = payload[0] & _TYPE_MASK
    return _INITIAL_TYPES.get(version, packet_type) == packet_type


def read_connection_id(payload: bytes, short_length: int) -> bytes | None:
    """Return the destination connection id of a datagram's first packet.

    :param payload: a caller's datagram
    :param short_length: length of the id in short headers, in bytes
    :returns: the id, or None when the datagram is truncated or malformed
    """
    if not payload:
        return None
    if not payload[0] & _LONG_HEADER:
        found = payload[1 : 1 + short_length]
        return found if len(found) == short_length else None
    if len(payload) <= _ID_LENGTH_OFFSET:
        return None
    length = payload[_ID_LENGTH_OFFSET]
    found = payload[_ID_LENGTH_OFFSET + 1 : _ID_LENGTH_OFFSET + 1 + length]
    valid = length <= CONNECTION_ID_MAX and len(found) == length
    return found if valid else None

"""What the version-independent header of QUIC shows (RFC 8999, RFC 9000)."""

from __future__ import annotations

#: Least size of a datagram that holds a caller's Initial packet, in bytes.
INITIAL_DATAGRAM_MIN = 1200

#: Longest connection id of the versions below, in bytes.
CONNECTION_ID_MAX = 20

#: Version number of a Version Negotiation packet.
VERSION_NEGOTIATION = 0

_LONG_HEADER = 0x80
_TYPE_MASK = 0x30
_ID_LENGTH_AT = 5
# Type bits of an Initial packet by version: RFC 9000, RFC 9369.
_INITIAL_TYPES = {0x00000001: 0x00, 0x6B3343CF: 0x10}


def opens_flow(payload: bytes) -> bool:
    """Return whether a datagram may open a flow.

    True for a full-size datagram that begins with an Initial packet, or with
    a long header of a version without known packet types.

    :param payload: a caller's datagram
    """
    if len(payload) < INITIAL_DATAGRAM_MIN or not payload[0] & _LONG_HEADER:
        return False
    version = int.from_bytes(payload[1:_ID_LENGTH_AT], 'big')
    if version == VERSION_NEGOTIATION:
        return False
    packet_type = payload[0] & _TYPE_MASK
    return _INITIAL_TYPES.get(version, packet_type) == packet_type


def read_connection_id(payload: bytes, short_length: int) -> bytes | None:
    """Return the destination connection id of a datagram's first packet.

    :param payload: a caller's datagram
    :param short_length: length of the id in short headers, in bytes
    :returns: the id, or None when the datagram is cut or malformed
    """
    if not payload:
        return None
    if not payload[0] & _LONG_HEADER:
        found = payload[1 : 1 + short_length]
        return found if len(found) == short_length else None
    if len(payload) <= _ID_LENGTH_AT:
        return None
    length = payload[_ID_LENGTH_AT]
    found = payload[_ID_LENGTH_AT + 1 : _ID_LENGTH_AT + 1 + length]
    valid = length <= CONNECTION_ID_MAX and len(found) == length
    return found if valid else None

"""Decoded packets of a flow and the keys of flows."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

_FLOW = struct.Struct('!IHIH')

#: Length of the caller's address and port in a flow's key, in bytes.
CALLER_LENGTH = 6


@attrs.define
class Segment:
    """Header fields of one packet of a flow.

    :param flow: key of the flow, from :func:`make_flow`
    :param opens: whether it is the first packet of the handshake
    :param accepts: whether it is the target's acceptance, the second packet of
        the handshake
    :param ends: whether its sender closes its side of the flow
    :param resets: whether it aborts the flow
    :param returned: whether a target has returned the packet unprocessed
    :param sequence: sequence number of its first byte
    :param acknowledged: acknowledgement number, which is the sequence number
        of the next byte that its sender expects; in an opening packet, the
        number of its retransmissions so far
    :param length: length of the data, in bytes
    :param raw: the packet as it arrived
    """

    flow: bytes
    opens: bool
    accepts: bool
    ends: bool
    resets: bool
    returned: bool
    sequence: int
    acknowledged: int
    length: int
    raw: bytes


@attrs.frozen
class SegmentFormat:
    """Functions that decode and build packets in their wire format.

    :param read_caller: decodes a caller's packet; ``None`` when malformed
    :param read_target: decodes a packet that a target sent or returned, with
        the flow's key in the caller's direction; ``None`` when malformed
    :param restore: rebuilds a returned packet as its caller sent it
    :param make_reset: builds a reset with a sequence number for the caller of
        a flow
    """

    read_caller: Callable[[bytes], Segment | None]
    read_target: Callable[[bytes], Segment | None]
    restore: Callable[[bytes], bytes]
    make_reset: Callable[[bytes, int], bytes]


def make_flow(
    caller: int, caller_port: int, entry: int, entry_port: int
) -> bytes:
    """Return the key of a flow.

    :param caller: IPv4 address of the caller, as a number
    :param caller_port: port of the caller
    :param entry: IPv4 address that the caller sends to, as a number
    :param entry_port: port that the caller sends to
    """
    return _FLOW.pack(caller, caller_port, entry, entry_port)


def read_flow(flow: bytes) -> tuple[int, int, int, int]:
    """Return the addresses and ports of a key from :func:`make_flow`."""
    caller, caller_port, entry, entry_port = _FLOW.unpack(flow)
    return caller, caller_port, entry, entry_port


def find_entry(flow: bytes) -> bytes:
    """Return the packed address that the caller of a flow sends to."""
    return flow[CALLER_LENGTH:]


def describe_flow(flow: bytes) -> str:
    """Return a flow's key as text for the log."""
    caller, caller_port, entry, entry_port = read_flow(flow)
    return (
        f'{write_host(caller)}:{caller_port}>{write_host(entry)}:{entry_port}'
    )


def write_host(number: int) -> str:
    """Return an IPv4 address in dotted-decimal notation."""
    return '.'.join(map(str, number.to_bytes(4, 'big')))

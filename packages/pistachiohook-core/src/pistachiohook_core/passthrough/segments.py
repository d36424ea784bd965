"""A packet of a flow, as far as steering reads it."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

_FLOW = struct.Struct('!IHIH')

#: Length of the part of a flow's key that names the caller, in bytes.
CALLER_LENGTH = 6


@attrs.define
class Segment:
    """One packet of a flow.

    :param flow: key of the flow, from :func:`make_flow`
    :param opens: whether it asks to open the flow
    :param accepts: whether a target accepts the flow with it
    :param ends: whether its sender sends nothing after it
    :param resets: whether it breaks the flow off
    :param returned: whether a target has given the packet back unread
    :param sequence: number of its first byte
    :param acknowledged: number of the next byte that its sender expects; in
        an opening packet, how often the caller has sent it before
    :param length: bytes of data
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
    """Form of the packets on the wire.

    :param read_caller: decodes what a caller sent; ``None`` when malformed
    :param read_target: decodes what a target sent or gave back, with the
        flow's key as the caller sees it; ``None`` when malformed
    :param restore: returns a given-back packet as its sender wrote it
    :param make_reset: returns a reset for the caller of a flow
    """

    read_caller: Callable[[bytes], Segment | None]
    read_target: Callable[[bytes], Segment | None]
    restore: Callable[[bytes], bytes]
    make_reset: Callable[[bytes], bytes]


def make_flow(
    caller: int, caller_port: int, entry: int, entry_port: int
) -> bytes:
    """Return the key of a flow.

    :param caller: IPv4 number of the caller
    :param caller_port: its port
    :param entry: IPv4 number that the caller has sent to
    :param entry_port: the port there
    """
    return _FLOW.pack(caller, caller_port, entry, entry_port)


def read_flow(flow: bytes) -> tuple[int, int, int, int]:
    """Return what :func:`make_flow` was given."""
    caller, caller_port, entry, entry_port = _FLOW.unpack(flow)
    return caller, caller_port, entry, entry_port


def find_entry(flow: bytes) -> bytes:
    """Return the packed address that the caller of a flow has sent to."""
    return flow[CALLER_LENGTH:]


def describe_flow(flow: bytes) -> str:
    """Return a flow's key as text for the log."""
    caller, caller_port, entry, entry_port = read_flow(flow)
    return (
        f'{write_host(caller)}:{caller_port}>{write_host(entry)}:{entry_port}'
    )


def write_host(number: int) -> str:
    """Return an IPv4 number in dotted form."""
    return '.'.join(map(str, number.to_bytes(4, 'big')))

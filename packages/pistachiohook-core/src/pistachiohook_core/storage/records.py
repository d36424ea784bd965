"""Length-prefixed records with checksums.

One append is one record and is synced before the next one is written, so only
the last record of a file can be torn.
"""

from __future__ import annotations

import struct

import attrs
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
import xxhash

from ..failures import Failure

#: Unit in which a disk writes, in bytes; a torn write leaves whole sectors.
SECTOR_BYTES = 512

#: Longest body of a record, in bytes.
BODY_MAX = 2**31

_LENGTH = struct.Struct('!I')
_HEADER = struct.Struct('!IIQ')

#: Length of a record's header, in bytes.
HEADER_BYTES = _HEADER.size


@attrs.frozen
class Records:
    """What a file holds.

    :param bodies: bodies of the whole records, in order
    :param length: where the whole records end, in bytes; a torn one follows
        when the file is longer
    """

    bodies: tuple[bytes, ...]
    length: int


def encode_record(body: bytes, offset: int) -> bytes:
    """Return a record.

    :param body: what the record holds
    :param offset: where in the file the record will stand; part of the
        checksums, so that a record that stands elsewhere is damaged
    """
    length_sum = _sum_length(len(body), offset)
    body_sum = xxhash.xxh3_64_intdigest(body, seed=offset)
    return _HEADER.pack(len(body), length_sum, body_sum) + body


def decode_records(data: bytes, file: str) -> Result[Records, Failure]:
    """Read all records of a file.

    :param data: the file's content
    :param file: name of the file, for the failure
    :returns: the whole records without a torn last one; a failure with the
        file and the offset when a record is damaged in another way
    """
    bodies = []
    offset = 0
    while offset < len(data):
        body = _decode_record(data, offset)
        if body is None:
            if _is_torn(data, offset):
                break
            return Failed(
                Failure(
                    'read records',
                    file,
                    f'damaged record at offset {offset} of {len(data)}',
                )
            )
        bodies.append(body)
        offset += HEADER_BYTES + len(body)
    return Success(Records(tuple(bodies), offset))


def _sum_length(length: int, offset: int) -> int:
    return xxhash.xxh32_intdigest(_LENGTH.pack(length), offset & 0xFFFFFFFF)


def _decode_record(data: bytes, offset: int) -> bytes | None:
    start = offset + HEADER_BYTES
    if len(data) < start:
        return None
    length, length_sum, body_sum = _HEADER.unpack_from(data, offset)
    if length_sum != _sum_length(length, offset):
        return None
    body = data[start : start + length]
    if len(body) < length:
        return None
    if xxhash.xxh3_64_intdigest(body, seed=offset) != body_sum:
        return None
    return body


def _is_torn(data: bytes, offset: int) -> bool:
    """Tell a write that was cut short from one that was damaged later."""
    rest = len(data) - offset
    if rest < HEADER_BYTES:
        return True
    length, length_sum, _ = _HEADER.unpack_from(data, offset)
    if length_sum != _sum_length(length, offset):
        header = data[: offset + HEADER_BYTES]
        return _has_empty_sector(header, offset) and not any(
            _decode_record(data, later) is not None
            for later in range(offset + 1, len(data))
        )
    end = offset + HEADER_BYTES + length
    if end > len(data):
        return True
    return end == len(data) and _has_empty_sector(data, offset)


def _end_of_sector(offset: int) -> int:
    return (offset // SECTOR_BYTES + 1) * SECTOR_BYTES


def _has_empty_sector(data: bytes, offset: int) -> bool:
    starts = [offset, *range(_end_of_sector(offset), len(data), SECTOR_BYTES)]
    return any(
        not any(data[start : _end_of_sector(start)]) for start in starts
    )

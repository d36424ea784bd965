"""Length-prefixed records with checksums.

Each append writes one record, which is synced before the next one is written.
Hence a crash can leave only the last record of a file incomplete (torn). Any
other invalid record was damaged later.
"""

from __future__ import annotations

import struct

import attrs
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
import xxhash

from ..failures import Failure

#: Unit in which a disk writes, in bytes; after a torn write, each sector is
#: either written or unchanged.
SECTOR_BYTES = 512

#: Longest body of a record, in bytes.
BODY_MAX = 2**31

_LENGTH = struct.Struct('!I')
_HEADER = struct.Struct('!IIQ')

#: Length of a record's header, in bytes.
HEADER_BYTES = _HEADER.size


@attrs.frozen
class Records:
    """Valid records of a file.

    :param bodies: bodies of the records, in order
    :param length: total length of the records, in bytes; when the file is
        longer, a torn record follows
    """

    bodies: tuple[bytes, ...]
    length: int


def encode_record(body: bytes, offset: int) -> bytes:
    """Return the bytes of a record.

    :param body: content of the record
    :param offset: offset of the record in the file, in bytes; it is part of
        the checksums, so that a record at another offset is found invalid
    """
    length_checksum = _checksum_length(len(body), offset)
    body_checksum = xxhash.xxh3_64_intdigest(body, seed=offset)
    return _HEADER.pack(len(body), length_checksum, body_checksum) + body


def decode_records(data: bytes, file: str) -> Result[Records, Failure]:
    """Read all records of a file.

    :param data: the file's content
    :param file: name of the file, for the failure
    :returns: the valid records, without a torn last one; a failure that names
        the file and the offset when a record is damaged in another way
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


def _checksum_length(length: int, offset: int) -> int:
    return xxhash.xxh32_intdigest(_LENGTH.pack(length), offset & 0xFFFFFFFF)


def _decode_record(data: bytes, offset: int) -> bytes | None:
    start = offset + HEADER_BYTES
    if len(data) < start:
        return None
    length, length_checksum, body_checksum = _HEADER.unpack_from(data, offset)
    if length_checksum != _checksum_length(length, offset):
        return None
    body = data[start : start + length]
    if len(body) < length:
        return None
    if xxhash.xxh3_64_intdigest(body, seed=offset) != body_checksum:
        return None
    return body


def _is_torn(data: bytes, offset: int) -> bool:
    """Tell a torn last record from one that was damaged after its sync.

    A torn record is shorter than its length says, or has a sector that was
    never written and holds zeros only. With a damaged header, it must also be
    the last record: none that is valid may follow.
    """
    remaining = len(data) - offset
    if remaining < HEADER_BYTES:
        return True
    length, length_checksum, _ = _HEADER.unpack_from(data, offset)
    if length_checksum != _checksum_length(length, offset):
        header = data[: offset + HEADER_BYTES]
        return _has_zeroed_sector(header, offset) and not any(
            _decode_record(data, later) is not None
            for later in range(offset + 1, len(data))
        )
    end = offset + HEADER_BYTES + length
    if end > len(data):
        return True
    return end == len(data) and _has_zeroed_sector(data, offset)


def _end_of_sector(offset: int) -> int:
    return (offset // SECTOR_BYTES + 1) * SECTOR_BYTES


def _has_zeroed_sector(data: bytes, offset: int) -> bool:
    starts = [offset, *range(_end_of_sector(offset), len(data), SECTOR_BYTES)]
    return any(
        not any(data[start : _end_of_sector(start)]) for start in starts
    )

"""A replicator of one instance: one file, synced before each answer."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import struct
from typing import TYPE_CHECKING
import zlib

import attrs
from returns.result import Result
from returns.result import Success

if TYPE_CHECKING:
    from pistachiohook_core.failures import Failure

    from .replication import StateMachine

#: Name of the log below the data folder.
FILE_NAME = 'solitary.log'

_HEADER = struct.Struct('!II')


@attrs.define
class SolitaryReplicator:
    """State of the log of a control instance that is alone.

    :param name: name of the instance
    :param folder: data folder
    :param machine: what commands are applied to
    """

    name: str
    folder: Path
    machine: StateMachine
    _index: int = 0
    _file: int = -1

    @property
    def leader(self) -> str | None:
        """Name of the leader: this instance."""
        return self.name

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads; it always does."""
        return True

    def open(self) -> None:
        """Apply the log; a torn record at its end is cut.

        :raises OSError: when the file can't be read or written
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / FILE_NAME
        data = path.read_bytes() if path.exists() else b''
        end = 0
        while (record := _read_record(data, end)) is not None:
            self._apply(record)
            end += _HEADER.size + len(record)
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
        os.ftruncate(self._file, end)
        os.lseek(self._file, end, os.SEEK_SET)
        os.fsync(self._file)

    async def propose(self, command: bytes) -> Result[bytes, Failure]:
        """Write a command and apply it."""
        header = _HEADER.pack(len(command), zlib.crc32(command))
        os.write(self._file, header + command)
        os.fsync(self._file)
        return Success(self._apply(command))

    async def read_barrier(self) -> Result[None, Failure]:
        """Return at once: what is written is applied."""
        return Success(None)

    def freshness(self, now: float) -> float:  # noqa: ARG002
        """Return 0: this instance is its own quorum."""
        return 0.0

    async def run(self) -> None:
        """Wait until cancelled."""
        await asyncio.Event().wait()

    def _apply(self, command: bytes) -> bytes:
        self._index += 1
        return self.machine.apply(self._index, command)


def _read_record(data: bytes, start: int) -> bytes | None:
    header = data[start : start + _HEADER.size]
    if len(header) < _HEADER.size:
        return None
    length, checksum = _HEADER.unpack(header)
    record = data[start + _HEADER.size : start + _HEADER.size + length]
    if len(record) < length or zlib.crc32(record) != checksum:
        return None
    return record

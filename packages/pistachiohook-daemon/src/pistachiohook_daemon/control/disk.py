"""File operations on the data folder of a control instance."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import attrs
from pistachiohook_core.storage.files import FileOperations

#: File whose lock keeps other processes from opening the data folder.
LOCK = 'lock'


@attrs.define
class DataFolder:
    """An open data folder, locked against other processes.

    Each file stays open after its first write, so that a failed write-back is
    reported to the descriptor that wrote the data.

    :param path: path of the folder
    """

    path: Path
    _descriptors: dict[str, int] = attrs.field(factory=dict)

    @property
    def files(self) -> FileOperations:
        """File operations within this folder."""
        return FileOperations(
            read=self._read,
            write=self._write,
            append=self._append,
            truncate=self._truncate,
            sync=self._sync,
            rename=self._rename,
            sync_folder=self._sync_folder,
        )

    def lock(self) -> None:
        """Lock the folder against other processes.

        :raises OSError: when another process holds the lock
        """
        fcntl.flock(self._get_descriptor(LOCK), fcntl.LOCK_EX | fcntl.LOCK_NB)

    def close(self) -> None:
        """Close the files, which releases the lock."""
        while self._descriptors:
            os.close(self._descriptors.popitem()[1])

    def _read(self, name: str) -> bytes | None:
        try:
            return (self.path / name).read_bytes()
        except FileNotFoundError:
            return None

    def _write(self, name: str, data: bytes) -> None:
        os.ftruncate(self._get_descriptor(name), 0)
        _write_all(self._get_descriptor(name), data)

    def _append(self, name: str, data: bytes) -> None:
        _write_all(self._get_descriptor(name), data)

    def _truncate(self, name: str, length: int) -> None:
        os.ftruncate(self._get_descriptor(name), length)

    def _sync(self, name: str) -> None:
        os.fsync(self._get_descriptor(name))

    def _rename(self, old: str, new: str) -> None:
        descriptor = self._get_descriptor(old)
        (self.path / old).rename(self.path / new)
        replaced = self._descriptors.pop(new, None)
        if replaced is not None:
            os.close(replaced)
        self._descriptors[new] = descriptor
        del self._descriptors[old]

    def _sync_folder(self) -> None:
        _sync_path(self.path)

    def _get_descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._descriptors[name] = os.open(self.path / name, flags, 0o600)
        return self._descriptors[name]


def create_memory_files() -> FileOperations:
    """Return operations on files that exist in memory only.

    They are for an instance without a disk, which is an observer and never
    votes.
    """
    contents: dict[str, bytearray] = {}

    def read(name: str) -> bytes | None:
        return bytes(contents[name]) if name in contents else None

    def write(name: str, data: bytes) -> None:
        contents[name] = bytearray(data)

    def append(name: str, data: bytes) -> None:
        contents.setdefault(name, bytearray()).extend(data)

    def truncate(name: str, length: int) -> None:
        del contents[name][length:]

    def rename(old: str, new: str) -> None:
        contents[new] = contents.pop(old)

    return FileOperations(
        read=read,
        write=write,
        append=append,
        truncate=truncate,
        sync=lambda _: None,
        rename=rename,
        sync_folder=lambda: None,
    )


def open_data_folder(path: Path) -> DataFolder:
    """Open and lock a data folder; create it if it doesn't exist.

    :param path: path of the folder
    :raises OSError: when it can't be created or another process has it open
    """
    path.mkdir(parents=True, exist_ok=True)
    _sync_path(path.parent)
    folder = DataFolder(path)
    try:
        folder.lock()
    except OSError:
        folder.close()
        raise
    return folder


def _write_all(descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def _sync_path(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)

"""A data folder in memory that can fail, tear and be killed."""

from __future__ import annotations

import errno

import attrs
from pistachiohook_core.storage.files import FileOperations

SECTOR = 512


class Killed(BaseException):
    """The process was killed within a file operation."""


@attrs.define(eq=False)
class Inode:
    """One file's content, as cached and as durable."""

    content: bytes = b''
    durable: bytes = b''


@attrs.define
class VirtualDisk:
    """Files by name, as cached and as durable."""

    names: dict[str, Inode] = attrs.field(factory=dict)
    durable_names: dict[str, Inode] = attrs.field(factory=dict)
    steps: int = 0
    kill_at: int = 0
    fail: str = ''
    sync_lies: bool = False

    def open(self) -> FileOperations:
        return FileOperations(
            read=self.read,
            write=self.write,
            append=self.append,
            truncate=self.truncate,
            sync=self.sync,
            rename=self.rename,
            sync_folder=self.sync_folder,
        )

    def read(self, name: str) -> bytes | None:
        inode = self.names.get(name)
        return None if inode is None else inode.content

    def write(self, name: str, data: bytes) -> None:
        inode = self.names[name] = Inode()
        self._put(inode, data, 'write')

    def append(self, name: str, data: bytes) -> None:
        self._put(self.names[name], data, 'append')

    def truncate(self, name: str, length: int) -> None:
        if self._step('truncate'):
            raise Killed
        self.names[name].content = self.names[name].content[:length]

    def sync(self, name: str) -> None:
        if self._step('sync'):
            raise Killed
        if not self.sync_lies:
            self.names[name].durable = self.names[name].content

    def rename(self, old: str, new: str) -> None:
        if self._step('rename'):
            raise Killed
        self.names[new] = self.names.pop(old)

    def sync_folder(self) -> None:
        if self._step('sync folder'):
            raise Killed
        self.durable_names = dict(self.names)

    def crash(self, names_kept: bool, kept: int, empty_sectors: bool) -> None:
        """Lose what was not durable.

        :param names_kept: whether renames outlive the crash all the same
        :param kept: bytes of an unsynced append that outlive it
        :param empty_sectors: whether those come back as zeros
        """
        self.names = dict(self.names if names_kept else self.durable_names)
        for inode in self.names.values():
            inode.content = _tear(inode, kept, empty_sectors)
            inode.durable = inode.content
        self.durable_names = dict(self.names)
        self.kill_at = 0
        self.fail = ''

    def _put(self, inode: Inode, data: bytes, step: str) -> None:
        if self._step(step):
            inode.content += data[: len(data) // 2]
            raise Killed
        inode.content += data

    def _step(self, name: str) -> bool:
        self.steps += 1
        if self.fail == name:
            number = errno.ENOSPC if name in ('write', 'append') else errno.EIO
            raise OSError(number, 'injected failure')
        return self.steps == self.kill_at


def _tear(inode: Inode, kept: int, empty_sectors: bool) -> bytes:
    if not inode.content.startswith(inode.durable):
        return inode.durable
    tail = inode.content[len(inode.durable) :][:kept]
    if empty_sectors:
        start = len(inode.durable)
        first = SECTOR - start % SECTOR
        tail = bytes(len(tail[:first])) + tail[first:]
    return inode.durable + tail

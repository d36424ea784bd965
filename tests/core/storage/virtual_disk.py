"""A data folder in memory with torn writes, failures and crashes."""

from __future__ import annotations

import errno

import attrs
from pistachiohook_core.storage.files import FileOperations

SECTOR = 512


class Killed(BaseException):
    """The process was killed during a file operation."""


@attrs.define(eq=False)
class Inode:
    """Content of a file.

    :param content: content as the process reads it
    :param durable: content that survives a crash for sure
    """

    content: bytes = b''
    durable: bytes = b''


@attrs.define
class VirtualDisk:
    """Files by name.

    :param names: files as the process finds them
    :param durable_names: files that are found after a crash for sure
    :param steps: number of operations so far that change a file or a name
    :param kill_at: number of the operation during which the process is killed
    :param fail: name of the operation that fails each time; empty for none
    :param sync_lies: whether a sync succeeds without making data durable
    """

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
        """Lose changes that were not made durable, and end all faults.

        :param names_kept: whether renames survive that were not synced
        :param kept: how many bytes of an unsynced append survive
        :param empty_sectors: whether the first sector of those is read back
            as zeros
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

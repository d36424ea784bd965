"""Free ports on loopback for tests and tools."""

from __future__ import annotations

from collections.abc import Iterator
import fcntl
from itertools import chain
import os
from pathlib import Path
import random
import socket
import tempfile

import attrs

#: Ports that are given out. They lie below the range from which Linux takes
#: the ports of outgoing connections, which begins at 32768.
PORTS = range(12_000, 32_000)

#: Number of ports that a process reserves at once.
BLOCK_SIZE = 100

#: Folder of the lock files of the reserved blocks, for all processes.
LOCK_FOLDER = Path(tempfile.gettempdir()) / 'pistachiohook-test-ports'


class NoFreePortError(RuntimeError):
    """All blocks of ports are reserved."""


@attrs.define
class PortAllocator:
    """Gives out each port once, from blocks that no other process uses.

    A port that is only probed may be taken by another run of the tests
    before the test binds it.
    """

    _unused: Iterator[int] = attrs.field(factory=lambda: iter(()))
    #: Open lock files; a block is free again when its process has ended.
    _locks: list[int] = attrs.field(factory=list)

    def find_port(self) -> int:
        """Return a port that is free on every local address, TCP and UDP.

        :raises NoFreePortError: when all blocks are reserved
        """
        while True:
            for port in self._unused:
                if _is_free(port):
                    return port
            self._unused = iter(self._reserve_block())

    def find_range(self, size: int) -> int:
        """Return the first of successive free ports.

        :param size: number of ports, at most :data:`BLOCK_SIZE`
        :raises NoFreePortError: when all blocks are reserved
        """
        while True:
            block = self._reserve_block()
            if all(_is_free(port) for port in block[:size]):
                self._unused = chain(self._unused, block[size:])
                return block[0]

    def _reserve_block(self) -> range:
        LOCK_FOLDER.mkdir(exist_ok=True)
        blocks = range(PORTS.start, PORTS.stop, BLOCK_SIZE)
        for first in random.sample(blocks, len(blocks)):
            lock = os.open(LOCK_FOLDER / str(first), os.O_CREAT | os.O_RDWR)
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(lock)
                continue
            self._locks.append(lock)
            return range(first, first + BLOCK_SIZE)
        raise NoFreePortError('all blocks of ports are reserved')


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(('0.0.0.0', port))
            except OSError:
                return False
    return True


_allocator = PortAllocator()

find_port = _allocator.find_port
find_range = _allocator.find_range

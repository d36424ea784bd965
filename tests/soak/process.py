"""Runs a role of the platform with injected faults of disk, clock and links.

The soak writes the faults to a file, which this process reads again at a short
interval. A folder beside the data folder holds the data that would survive a
power loss. The faults are injected within the process, so that neither
privileges nor a preloaded library are needed.
"""

from __future__ import annotations

import asyncio
import errno
from functools import partial
import json
import os
from pathlib import Path
from random import Random
import sys
import time

import attrs
from machines import DURABLE_FOLDER
from machines import FAULTS_FILE
from pistachiohook_core.storage.files import FileOperations
from pistachiohook_daemon.control import disk
from pistachiohook_daemon.datagrams import DatagramSocket
import pistachiohook_platform.__main__
from pistachiohook_platform.main import main

#: Prefix of the host addresses of machines; those of callers differ.
MACHINE_HOST_PREFIX = '127.0.1.'

#: Interval at which the faults are read again, in seconds.
READ_INTERVAL = 0.02


@attrs.define(eq=False)
class Faults:
    """Faults that are injected now, read again from a file at an interval.

    :param current: the faults by name, as last read
    :param read_at: when the file was last read, in seconds of the monotonic
        clock
    """

    path: Path
    current: dict = attrs.field(factory=dict)
    read_at: float = float('-inf')

    def get(self, name):
        """Return the value of a fault; 0 or ``()`` when it isn't injected."""
        now = time.monotonic()
        if now - self.read_at >= READ_INTERVAL:
            self.read_at = now
            try:
                self.current = json.loads(self.path.read_text())
            except FileNotFoundError:
                self.current = {}
        return self.current.get(name, () if name == 'cut' else 0)


@attrs.define(eq=False)
class FaultyDisk:
    """File operations with injected faults that track what is durable.

    :param folder: the data folder
    :param durable: folder with the data that would survive a power loss
    :param files: the product's operations on the data folder
    :param faults: faults that are injected
    :param renamed: durable name by present name, for each file that was
        renamed since the folder was last synced
    """

    folder: Path
    durable: Path
    files: FileOperations
    faults: Faults
    renamed: dict = attrs.field(factory=dict)

    def append(self, name, data):
        if self.faults.get('full'):
            self.files.append(name, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self.files.append(name, data)

    def write(self, name, data):
        if self.faults.get('full'):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self.files.write(name, data)

    def sync(self, name):
        time.sleep(self.faults.get('delay'))
        if self.faults.get('failing'):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        self.files.sync(name)
        new = self.durable / 'new'
        new.write_bytes((self.folder / name).read_bytes())
        new.rename(self.durable / self.renamed.get(name, name))

    def rename(self, old, new):
        self.files.rename(old, new)
        self.renamed[new] = self.renamed.pop(old, old)

    def sync_folder(self):
        self.files.sync_folder()
        for new, old in self.renamed.items():
            (self.durable / old).rename(self.durable / new)
        self.renamed.clear()


def open_faulty_disk(open_folder, faults, path):
    """Open a data folder as the product does, with faults injected."""
    folder = open_folder(path)
    durable = path.parent / DURABLE_FOLDER
    durable.mkdir(exist_ok=True)
    faulty_disk = FaultyDisk(path, durable, folder.files, faults)
    files = attrs.evolve(
        folder.files,
        append=faulty_disk.append,
        write=faulty_disk.write,
        sync=faulty_disk.sync,
        rename=faulty_disk.rename,
        sync_folder=faulty_disk.sync_folder,
    )
    return _DataFolder(files)


@attrs.frozen
class _DataFolder:
    """Stands for the data folder that the product opens."""

    files: FileOperations


def send_with_faults(send, faults, random, socket, data, address):
    """Send a datagram; delay or drop it when it goes to another machine.

    :param send: method of the product's socket that sends a datagram
    """
    host = address.host
    to_other_machine = (
        host.startswith(MACHINE_HOST_PREFIX) and host != socket.bind.host
    )
    if not to_other_machine or not (faults.get('loss') or faults.get('cut')):
        return send(socket, data, address)
    if random.random() < faults.get('loss') or host in faults.get('cut'):
        return True
    delay = faults.get('late') * random.random() ** 4
    asyncio.get_running_loop().call_later(delay, send, socket, data, address)
    return True


def run_role():
    """Run the role named on the command line with its machine's faults."""
    # The entry point prepared the handling of signals when it was imported.
    assert pistachiohook_platform.__main__.main is main
    folder = Path(os.environ['PISTACHIOHOOK_BOOT']).parent
    faults = Faults(folder / FAULTS_FILE)
    get_real_time = time.time
    time.time = lambda: get_real_time() + faults.get('clock')
    disk.open_data_folder = partial(
        open_faulty_disk, disk.open_data_folder, faults
    )
    send = partial(send_with_faults, DatagramSocket.send, faults, Random())
    DatagramSocket.send = lambda *arguments: send(*arguments)
    return main(listener=pistachiohook_platform.__main__.listener)


if __name__ == '__main__':
    sys.exit(run_role())

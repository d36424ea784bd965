"""The platform's processes as machines on loopback, and their faults."""

from __future__ import annotations

import json
import os
from pathlib import Path
import shutil
import signal
import subprocess
import sys

import attrs

#: Ports of a machine, counted from the soak's first one.
ENTRY, READY, CONTROL, OUTBOUND, APP, INTERNAL = range(6)
INTERNAL_COUNT = 8
PORTS = INTERNAL + INTERNAL_COUNT

#: Longest wait for the end of a process, in seconds.
PATIENCE = 30.0

#: What runs as a process.
PROGRAM = Path(__file__).with_name('process.py')

#: Names in a machine's folder: its data folder, what a loss of power would
#: leave of it, and what misbehaves.
DATA, DURABLE, FAULTS = 'data', 'durable', 'faults.json'


@attrs.define(eq=False)
class Process:
    """A process of a machine, started anew when it ends.

    :param log: file that gets what it writes
    :param ending: whether it was told to end
    :param exits: how often it ended by itself
    :param excused: whether it may end by itself, as its disk fails
    """

    role: str
    settings: Path
    log: Path
    running: subprocess.Popen | None = None
    paused: bool = False
    ending: bool = False
    exits: int = 0
    excused: bool = False

    def start(self):
        with self.log.open('ab') as log:
            self.running = subprocess.Popen(
                [sys.executable, str(PROGRAM), self.role],
                env={**os.environ, 'PISTACHIOHOOK_BOOT': str(self.settings)},
                stdout=log,
                stderr=log,
            )

    def check(self):
        """Start it anew when it has ended by itself."""
        ended = self.running is not None and self.running.poll() is not None
        if ended and not self.ending:
            self.exits += not self.excused
            self.start()

    def terminate(self):
        """Tell it to end."""
        if self.running is not None:
            self.ending = True
            self.running.terminate()

    def kill(self):
        """End it at once, and wait until it is gone."""
        if self.running is not None:
            self.running.kill()
            self.running.wait(PATIENCE)
        self.running = None
        self.paused = self.ending = False

    def pause(self):
        if self.running is not None and not self.paused:
            self.running.send_signal(signal.SIGSTOP)
            self.paused = True

    def resume(self):
        if self.running is not None and self.paused:
            self.running.send_signal(signal.SIGCONT)
        self.paused = False


@attrs.define(eq=False)
class Machine:
    """An instance with an address and the processes of its roles."""

    name: str
    host: str
    first: int
    folder: Path
    roles: tuple[str, ...]
    service: str = ''
    seeds: tuple[str, ...] = ()
    bootstrap: bool = True
    processes: dict = attrs.field(factory=dict)

    def address(self, number):
        return self.host, self.first + number

    def text(self, number):
        return f'{self.host}:{self.first + number}'

    def write_settings(self):
        """Put the settings file in place as a whole."""
        self.folder.mkdir(exist_ok=True)
        settings = {
            'NodeId': self.name,
            'Ip': self.host,
            'Zone': 'x',
            'Listen': {
                'DatagramAddr': self.text(ENTRY),
                'ReadinessAddr': self.text(READY),
                'Control': self.text(CONTROL),
                'outbound': self.text(OUTBOUND),
            },
            'InternalPorts': [
                self.first + INTERNAL,
                self.first + INTERNAL + INTERNAL_COUNT - 1,
            ],
            'Seeds': list(self.seeds),
            'Bootstrap': self.bootstrap,
            'DataDir': str(self.folder / DATA),
            'Bounds': {'GraceS': 3},
            'Service': self.service,
            'app': self.text(APP),
        }
        new = self.folder / 'new'
        new.write_text(json.dumps(settings))
        new.rename(self.folder / 'node.json')

    def start(self):
        self.write_settings()
        for role in self.roles:
            if role not in self.processes:
                self.processes[role] = Process(
                    role,
                    self.folder / 'node.json',
                    self.folder / f'{role}.log',
                )
            if self.processes[role].running is None:
                self.processes[role].start()

    def kill(self):
        for process in self.processes.values():
            process.kill()

    def terminate(self):
        for process in self.processes.values():
            process.terminate()

    def wipe(self):
        """Lose the disk; no process of the machine may run."""
        for name in (DATA, DURABLE):
            shutil.rmtree(self.folder / name, ignore_errors=True)

    def lose_power(self, part):
        """End all processes and what was not synced, or most of it.

        :param part: part of each file's unsynced end that stays
        """
        self.kill()
        for path in (self.folder / DATA).glob('*'):
            kept = self.folder / DURABLE / path.name
            durable = kept.read_bytes() if kept.exists() else None
            if durable is None:
                path.unlink()
                continue
            written = path.read_bytes()
            tail = b''
            if written.startswith(durable):
                tail = written[len(durable) :]
            path.write_bytes(durable + tail[: int(len(tail) * part)])

    def misbehave(self, **faults):
        """Let the disk or the clock misbehave; nothing ends it."""
        new = self.folder / 'new-faults'
        new.write_text(json.dumps(faults))
        new.rename(self.folder / FAULTS)

    def excuse(self, excused):
        """Let processes end by themselves, as their disk fails, or not."""
        for process in self.processes.values():
            process.excused = excused

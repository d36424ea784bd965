"""Machines on loopback that run processes of the platform, with faults."""

from __future__ import annotations

import json
import os
from pathlib import Path
import shutil
import signal
import subprocess
import sys

import attrs

#: Ports of a machine, as offsets from the first port of the run. ``INTERNAL``
#: is the first of a range.
ENTRY, READY, CONTROL, OUTBOUND, APP, INTERNAL = range(6)
INTERNAL_PORT_COUNT = 8
PORT_COUNT = INTERNAL + INTERNAL_PORT_COUNT

#: Availability zone that is evacuated in plans with evacuations.
EVACUATED_ZONE = 'y'

#: Longest wait for a killed process to exit, in seconds.
EXIT_TIMEOUT = 30.0

#: Script that each process runs.
PROCESS_SCRIPT = Path(__file__).with_name('process.py')

#: Names in a machine's folder: its data folder, the copy of the data that
#: would survive a power loss, and the file with the faults injected now.
DATA_FOLDER, DURABLE_FOLDER, FAULTS_FILE = 'data', 'durable', 'faults.json'


@attrs.define(eq=False)
class Process:
    """A process of a machine, restarted when it exits on its own.

    :param settings: path of the settings file
    :param log: file to which its standard output and error are appended
    :param popen: the operating system's process; ``None`` when there is none
    :param stopping: whether it was sent SIGTERM, so that it isn't restarted
    :param unexpected_exits: how often it exited without having been told to
    :param exit_allowed: whether an exit isn't counted as unexpected, since
        the disk of its machine fails
    """

    role: str
    settings: Path
    log: Path
    popen: subprocess.Popen | None = None
    paused: bool = False
    stopping: bool = False
    unexpected_exits: int = 0
    exit_allowed: bool = False

    def start(self):
        with self.log.open('ab') as log:
            self.popen = subprocess.Popen(
                [sys.executable, str(PROCESS_SCRIPT), self.role],
                env={**os.environ, 'PISTACHIOHOOK_BOOT': str(self.settings)},
                stdout=log,
                stderr=log,
            )

    def restart_if_ended(self):
        """Restart the process when it has exited on its own."""
        ended = self.popen is not None and self.popen.poll() is not None
        if ended and not self.stopping:
            self.unexpected_exits += not self.exit_allowed
            self.start()

    def terminate(self):
        """Send SIGTERM; the process isn't restarted when it exits."""
        if self.popen is not None:
            self.stopping = True
            self.popen.terminate()

    def kill(self):
        """Send SIGKILL and wait until the process has exited."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait(EXIT_TIMEOUT)
        self.popen = None
        self.paused = self.stopping = False

    def pause(self):
        if self.popen is not None and not self.paused:
            self.popen.send_signal(signal.SIGSTOP)
            self.paused = True

    def resume(self):
        if self.popen is not None and self.paused:
            self.popen.send_signal(signal.SIGCONT)
        self.paused = False


@attrs.define(eq=False)
class Machine:
    """An instance with an address and the processes of its roles.

    :param first_port: first port of the run, which is the same on all machines
    :param service: service of its target, on a machine with an agent
    :param zone: its availability zone
    :param seeds: addresses of control, as ``Seeds`` of the settings
    :param bootstrap: whether it may bootstrap a cluster
    :param processes: the process of each role that was started
    """

    name: str
    host: str
    first_port: int
    folder: Path
    roles: tuple[str, ...]
    service: str = ''
    zone: str = 'x'
    seeds: tuple[str, ...] = ()
    bootstrap: bool = True
    processes: dict = attrs.field(factory=dict)

    def get_address(self, offset):
        return self.host, self.first_port + offset

    def format_address(self, offset):
        return f'{self.host}:{self.first_port + offset}'

    def write_settings(self):
        """Replace the settings file atomically."""
        self.folder.mkdir(exist_ok=True)
        settings = {
            'NodeId': self.name,
            'Ip': self.host,
            'Zone': self.zone,
            'Zones': {'x': 'region', EVACUATED_ZONE: 'region'},
            'Listen': {
                'DatagramAddr': self.format_address(ENTRY),
                'ReadinessAddr': self.format_address(READY),
                'Control': self.format_address(CONTROL),
                'outbound': self.format_address(OUTBOUND),
            },
            'InternalPorts': [
                self.first_port + INTERNAL,
                self.first_port + INTERNAL + INTERNAL_PORT_COUNT - 1,
            ],
            'Seeds': list(self.seeds),
            'Bootstrap': self.bootstrap,
            'DataDir': str(self.folder / DATA_FOLDER),
            'Bounds': {'GraceS': 3},
            'Service': self.service,
            'app': self.format_address(APP),
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
            if self.processes[role].popen is None:
                self.processes[role].start()

    def kill(self):
        for process in self.processes.values():
            process.kill()

    def terminate(self):
        for process in self.processes.values():
            process.terminate()

    def wipe(self):
        """Delete all data; no process of the machine may be running."""
        for name in (DATA_FOLDER, DURABLE_FOLDER):
            shutil.rmtree(self.folder / name, ignore_errors=True)

    def lose_power(self, share):
        """Kill all processes and discard data that was not synced.

        :param share: share of the unsynced end of each file that is kept
        """
        self.kill()
        for path in (self.folder / DATA_FOLDER).glob('*'):
            kept = self.folder / DURABLE_FOLDER / path.name
            durable = kept.read_bytes() if kept.exists() else None
            if durable is None:
                path.unlink()
                continue
            written = path.read_bytes()
            tail = b''
            if written.startswith(durable):
                tail = written[len(durable) :]
            path.write_bytes(durable + tail[: int(len(tail) * share)])

    def set_faults(self, **faults):
        """Replace the faults that are injected in the machine's processes.

        They stay until the next call.

        :param faults: value of each fault; ``delay`` of a sync in seconds,
            ``full`` and ``failing`` of the disk, ``clock`` as the offset of
            the time of day in seconds, ``loss`` as a probability and ``late``
            as the longest delay in seconds of messages to other machines,
            ``cut`` as the hosts to which every message is lost
        """
        new = self.folder / 'new-faults'
        new.write_text(json.dumps(faults))
        new.rename(self.folder / FAULTS_FILE)

    def set_exit_allowed(self, exit_allowed):
        """Set whether exits are expected, since the machine's disk fails."""
        for process in self.processes.values():
            process.exit_allowed = exit_allowed

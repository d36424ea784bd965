"""Machines, and the project's processes with the commands of deploy/."""

import asyncio
import contextlib
import json
import os
from pathlib import Path
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from http_client import call

ROOT = Path(__file__).resolve().parents[2]
#: Offsets of a machine's ports from the first one of the run.
OFFSETS = {
    'datagram': 0,
    'ready': 1,
    'control': 2,
    'outbound': 3,
    'app': 4,
    'internal': 5,
}
INTERNAL_COUNT = 16
BOUNDS = {
    'SeedLagS': 3,
    'AddrReuseS': 2,
    'StabilityWindowMs': 4000,
    'AckMs': 5000,
    'CatchUpS': 4,
    'DrainMs': 3000,
    'GraceS': 6,
    'LossSlackMs': 200,
    'ConfigMs': 3000,
    'RollbackSlackMs': 250,
    'OuterMs': 12000,
    'RecoveryS': 12,
    'FlowMs': 2000,
    'MaxFlowS': 60,
}
#: Delay after which the platform restarts a process that has ended.
RESTART_DELAY = 0.3


def find_ports():
    """Return the first of enough free ports, the same on all addresses."""
    count = OFFSETS['internal'] + INTERNAL_COUNT
    while True:
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            first = probe.getsockname()[1]
        if first + count >= 65536:
            continue
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(('0.0.0.0', port))
        except OSError:
            continue
        return first


class Process:
    """A process of one role; restarted when it ends by itself."""

    def __init__(self, machine, role, command):
        self.machine, self.role, self.command = machine, role, command
        self.popen = None
        self.wanted = False
        self.own_ends = 0

    def start(self):
        self.machine.write_settings(self.role)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment.update(self.command.get('env', {}))
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PISTACHIOHOOK_BOOT'] = str(self.machine.boot(self.role))
        log = self.machine.folder / f'{self.role}.log'
        with log.open('ab') as output:
            self.popen = subprocess.Popen(
                self.command['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.wanted = True

    def send(self, number):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.wanted = False
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()

    async def stop(self, grace=BOUNDS['GraceS']):
        """Send SIGTERM, and SIGKILL after the grace."""
        self.wanted = False
        self.send(signal.SIGTERM)
        end = time.monotonic() + grace
        while self.popen.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        self.kill()


class Machine:
    """A machine with an address of its own."""

    def __init__(self, system, name, host, zone, roles, service=''):
        self.system, self.name, self.host = system, name, host
        self.zone, self.service = zone, service
        self.folder = system.folder / name
        self.folder.mkdir()
        self.bootstrap = True
        self.processes = {
            role: Process(self, role, system.commands[role]) for role in roles
        }

    def address(self, name):
        return self.host, self.system.first_port + OFFSETS[name]

    def text(self, name):
        return '{}:{}'.format(*self.address(name))

    def boot(self, role):
        return self.folder / f'{role}.json'

    def write_settings(self, role):
        side = role == 'agent'
        first = self.system.first_port + OFFSETS['internal']
        listen = {
            'DatagramAddr': self.text('datagram'),
            'ReadinessAddr': self.text('ready'),
            'Control': self.text('control'),
        }
        if side:
            listen['outbound'] = self.text('outbound')
        settings = {
            'NodeId': self.name,
            'Role': role,
            'MachineClass': 'side' if side else 'front',
            'Serves': ['side' if side else 'front'],
            'Ip': self.host,
            'Zone': self.zone,
            'Region': 'region-1',
            'Zones': dict.fromkeys(self.system.zones, 'region-1'),
            'Listen': listen,
            'InternalPorts': [first, first + INTERNAL_COUNT - 1],
            'Seeds': self.system.seeds,
            'Bootstrap': self.bootstrap,
            'InTolerance': 'control' in self.processes,
            'Limits': {'Cores': 1, 'MemoryMb': 300, 'MaxFds': 4100},
            'Discovery': 'local',
            'Entry': 'announce',
            'HeartbeatIntervalMs': int(self.system.interval * 1000),
            'Contracts': [
                'base', 'drain', 'config', 'cost', 'recover', 'flows'
            ],
            'FaultTolerance': {'Machines': 1, 'Zones': 0, 'Regions': 0},
            'Bounds': BOUNDS,
            'config_mode': 'highest',
            'Hash': 'steady',
            'DeployMode': 'agent',
        }
        if role == 'control':
            data = self.folder / 'data'
            data.mkdir(exist_ok=True)
            settings['DataDir'] = str(data)
        if side:
            settings['Service'] = self.service
            settings['app'] = self.text('app')
        new = self.folder / 'new.json'
        new.write_text(json.dumps(settings))
        new.rename(self.boot(role))

    def start(self):
        for process in self.processes.values():
            process.start()

    def kill(self):
        for process in self.processes.values():
            process.kill()

    def send(self, number):
        for process in self.processes.values():
            process.send(number)

    def lose_disk(self):
        """Lose the data; no process of the machine may be running."""
        shutil.rmtree(self.folder / 'data', ignore_errors=True)
        self.bootstrap = False

    async def roll(self, pause=0.5):
        """Stop with SIGTERM and start again, as planned work does."""
        self.system.record('SIGTERM', machine=self.name)
        await asyncio.gather(*(one.stop() for one in self.processes.values()))
        await asyncio.sleep(pause)
        self.system.record('started again', machine=self.name)
        self.start()


class System:
    """All machines of a small deployment and the record of what happens."""

    def __init__(
        self, folder, zones=('zone-a', 'zone-b', 'zone-c'), network=77
    ):
        self.case = Path(folder)
        self.network = network
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.first_port = find_ports()
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self.commands = deploy['roles']
        self.zones = zones
        self.interval = 1.2
        self.seeds = []
        self.fronts, self.sides = [], []
        self.begin = time.monotonic()
        self.lines = []
        self.listeners = []
        self.keeper = None

    def record(self, what, quiet=False, **fields):
        """Note what was seen; ``quiet`` ones are for the checks alone."""
        now = time.monotonic() - self.begin
        for listener in self.listeners:
            listener(now, what, fields)
        if not quiet:
            text = ' '.join(f'{name}={fields[name]}' for name in fields)
            self.lines.append(f'{now:8.3f} {what} {text}'.rstrip())

    def add_front(self, zone, control=False, roles=()):
        roles = roles or (
            ('balancer', 'control') if control else ('balancer',)
        )
        number = len(self.fronts) + 1
        machine = Machine(
            self, f'front-{number}', f'127.{self.network}.1.{number}', zone, roles
        )
        self.fronts.append(machine)
        return machine

    def add_side(self, zone, service):
        number = len(self.sides) + 1
        machine = Machine(
            self,
            f'side-{number}',
            f'127.{self.network}.2.{number}',
            zone,
            ('agent',),
            service,
        )
        self.sides.append(machine)
        return machine

    @property
    def machines(self):
        return self.fronts + self.sides

    @property
    def controls(self):
        return [one for one in self.fronts if 'control' in one.processes]

    async def start(self):
        self.seeds = [one.text('control') for one in self.controls]
        self.start_machines()

    def start_machines(self):
        for machine in self.machines:
            machine.start()
        self.keeper = asyncio.create_task(self.keep())

    async def keep(self):
        """Restart processes that have ended by themselves."""
        while True:
            await asyncio.sleep(0.1)
            for machine in self.machines:
                for process in machine.processes.values():
                    if process.wanted and process.popen.poll() is not None:
                        process.own_ends += 1
                        self.record(
                            'ended by itself',
                            machine=machine.name,
                            role=process.role,
                            status=process.popen.returncode,
                        )
                        await asyncio.sleep(RESTART_DELAY)
                        if process.wanted:
                            process.start()

    def stop(self):
        if self.keeper is not None:
            self.keeper.cancel()
        for machine in self.machines:
            machine.send(signal.SIGCONT)
            machine.kill()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)

    def write_record(self):
        with contextlib.suppress(OSError):
            (self.case / 'record.txt').write_text(
                '\n'.join(self.lines) + '\n'
            )

    # The operator

    async def put(self, document, seconds=10.0):
        """Send a configuration to one node after another until one accepts.

        :returns: when it was acknowledged, or ``None``
        """
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            node = self.controls[number % len(self.controls)]
            number += 1
            status, _ = await call(
                node.address('control'), 'POST', '/Config.Put', document, 1.0
            )
            if status == 200:
                self.record(
                    'acknowledged', version=document['Version'], by=node.name
                )
                return time.monotonic()
            if 400 <= status < 500:
                self.record(
                    'refused', version=document['Version'], status=status
                )
                return None
            await asyncio.sleep(0.1 * min(number, 5))
        return None

    async def wait_until_ready(self, router, seconds=20.0):
        end = time.monotonic() + seconds
        while len(router.ready) < len(router.nodes):
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.1)
        return True


def make_route(name, host, port, service, kind='unsafe', timeout=1500):
    return {
        'Name': name,
        'Hostname': host,
        'PathPrefix': f'/{port}/',
        'RouteType': kind,
        'TimeoutMs': timeout,
        'TargetLatencyMs': 300,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
    }


def make_configuration(version, routes, services, idle_ms=15000):
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {
                'Name': name,
                'HealthPath': '/health',
                'MaxFlows': 2000,
                'Protocol': 'h1',
                'Tls': False,
            }
            for name in services
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 262144,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': idle_ms,
        },
    }

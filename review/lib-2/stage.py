"""A small deployment on loopback: processes, platform, endpoints, consumers.

The processes are started with the commands of ``deploy/system.toml``. All
else here stands in for the platform as its pages describe it.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct('<IHHIIB5sIIHI')
SYN, ACK, FIN, RST, BOUNCED = 8, 4, 2, 128, 1
DATA_MAX = 1200
WINDOW = 16
RANGE = 1 << 32
SUM = 0xA5A5A5A5
#: Longest run of a case, in seconds.
TIME_MAX = 114
#: Offsets of the ports from the first one of a deployment.
DATAGRAM, READINESS, CONTROL, OUTBOUND, APP, INTERNAL = 0, 1, 2, 3, 4, 5
PORTS = 16
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


def to_int(host):
    return int.from_bytes(socket.inet_aton(host), 'big')


def to_host(number):
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


def pack(source, target, flags, seq, ack, data=b''):
    return (
        HEADER.pack(
            0,
            target[1],
            source[1],
            to_int(source[0]),
            to_int(target[0]),
            flags,
            b'',
            seq % RANGE,
            ack % RANGE,
            len(data),
            SUM,
        )
        + data
    )


def unpack(packet):
    _, dport, sport, src, dst, flags, _, seq, ack, _, _ = HEADER.unpack_from(
        packet
    )
    source, target = (to_host(src), sport), (to_host(dst), dport)
    return source, target, flags, seq, ack, packet[HEADER.size :]


class Record:
    """Lines of ``record.txt``, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, 'w')
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f'{self.now():8.3f} {text}\n')
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


class Process:
    """A process of a machine, started again by the platform after its end."""

    def __init__(self, stage, machine, role):
        self.stage, self.machine, self.role = stage, machine, role
        self.popen = None
        self.wanted = False
        self.ends = []

    def start(self):
        spec = self.stage.roles[self.role]
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env |= {
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PISTACHIOHOOK_BOOT': str(self.machine.settings),
            **spec.get('env', {}),
        }
        log = open(self.machine.folder / f'{self.role}.log', 'ab')
        self.popen = subprocess.Popen(
            spec['run'].split(),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        log.close()
        self.wanted = True
        self.stage.record(
            f'start {self.machine.name} {self.role} pid {self.popen.pid}'
        )

    async def watch(self):
        """Start the process again a short time after it has ended."""
        while True:
            await asyncio.sleep(0.02)
            if not self.wanted or self.popen is None:
                continue
            status = self.popen.poll()
            if status is None:
                continue
            self.ends.append((self.stage.record.now(), status))
            self.stage.record(
                f'end {self.machine.name} {self.role} status {status},'
                ' not asked for'
            )
            await asyncio.sleep(0.3)
            if self.wanted:
                self.start()

    async def stop(self):
        """Stop it as the platform does: SIGTERM, and SIGKILL after GraceS."""
        self.wanted = False
        began = self.stage.record.now()
        self.stage.record(f'SIGTERM {self.machine.name} {self.role}')
        self.popen.send_signal(signal.SIGTERM)
        while self.popen.poll() is None:
            if self.stage.record.now() - began > BOUNDS['GraceS']:
                self.popen.kill()
            await asyncio.sleep(0.01)
        self.stage.record(
            f'ended {self.machine.name} {self.role} after SIGTERM, status'
            f' {self.popen.returncode}'
        )

    def kill(self):
        self.wanted = False
        self.stage.record(f'SIGKILL {self.machine.name} {self.role}')
        self.popen.kill()
        self.popen.wait()


class Machine:
    def __init__(self, stage, name, host, zone, roles, disk, service=''):
        self.stage, self.name, self.host, self.zone = stage, name, host, zone
        self.disk, self.service = disk, service
        self.folder = stage.folder / name
        self.folder.mkdir()
        self.settings = self.folder / 'node.json'
        self.processes = {role: Process(stage, self, role) for role in roles}
        self.bootstrap = True

    def address(self, offset):
        return f'{self.host}:{self.stage.port + offset}'

    def write_settings(self):
        stage, front = self.stage, not self.service
        listen = {
            'DatagramAddr': self.address(DATAGRAM),
            'ReadinessAddr': self.address(READINESS),
            'Control': self.address(CONTROL),
        }
        if not front:
            listen['outbound'] = self.address(OUTBOUND)
        data = self.folder / 'data'
        settings = {
            'NodeId': self.name,
            'MachineClass': 'front' if front else 'side',
            'Ip': self.host,
            'Zone': self.zone,
            'Region': 'r',
            'Zones': {zone: 'r' for zone in stage.zones},
            'Listen': listen,
            'InternalPorts': [stage.port + INTERNAL, stage.port + PORTS - 1],
            'Seeds': [one.address(CONTROL) for one in stage.list_seeds()],
            'Bootstrap': self.bootstrap,
            'InTolerance': self.disk,
            'Limits': {
                'CpuShare': 0.559,
                'Cores': 1,
                'MemoryMb': 300,
                'MaxFds': 4100,
                'LinkMbps': 1000.0,
                'DiskMb': 64,
            },
            'Discovery': 'local',
            'Entry': 'announce',
            'HeartbeatIntervalMs': 1200,
            'Contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'recover',
                'flows',
            ],
            'FaultTolerance': {'Machines': 1, 'Zones': 0, 'Regions': 0},
            'Bounds': BOUNDS,
            'config_mode': 'highest',
            'Hash': 'steady',
            'DeployMode': 'agent',
        }
        if self.disk:
            data.mkdir(exist_ok=True)
            settings['DataDir'] = str(data)
        if self.service:
            settings |= {'Service': self.service, 'app': self.address(APP)}
        new = self.folder / 'new.json'
        new.write_text(json.dumps(settings))
        new.rename(self.settings)


class Endpoint(asyncio.DatagramProtocol):
    """An endpoint: accepts flows, answers requests, reports that it lives."""

    def __init__(self, stage, machine, slots=4):
        self.stage, self.machine, self.slots = stage, machine, slots
        self.name = f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = 'ready'
        self.flows = {}
        self.ran = []
        self.accept_delay = 0.0
        self.work = 0.02
        self.cold_until = 0.0
        #: Packets other than opening ones: time, flow, whether it is held.
        self.arrivals = []
        #: Opening packets: time, flow, entry address.
        self.openings = []
        self.acked_state_at = {}
        self.out = (machine.host, stage.port + OUTBOUND)

    def connection_made(self, transport):
        self.transport = transport

    def send(self, packet):
        if not self.transport.is_closing():
            self.transport.sendto(packet, self.out)

    def datagram_received(self, packet, _):
        source, target, flags, seq, ack, data = unpack(packet)
        key = source, target
        now = self.stage.record.now()
        flow = self.flows.get(key)
        if flags & SYN:
            self.openings.append((now, key, self))
            if flow is None:
                flow = self.flows[key] = EndpointFlow(self, key, seq)
            flow.accept()
            return
        held = flow is not None and (
            flow.opened or (flags & ACK and ack == (flow.number + 1) % RANGE)
        )
        self.arrivals.append((now, key, held))
        if not held:
            bounced = bytearray(packet)
            bounced[16] |= BOUNCED
            bounced[17:22] = bytes(5)
            self.send(bytes(bounced))
            return
        flow.receive(flags, seq, ack, data)

    async def report(self):
        """Send the liveness reports, about every HeartbeatIntervalMs."""
        while True:
            self.seq += 1
            left = max(0, self.cold_until - self.stage.record.now())
            state = self.state
            body = {
                'Service': self.machine.service,
                'Address': self.machine.address(APP),
                'Zone': self.machine.zone,
                'Version': 'v1',
                'Slots': self.slots,
                'State': state,
                'ColdLeftMs': int(left * 1000),
                'Seq': self.seq,
                'born': self.born,
            }
            status, _ = await fetch(
                self.machine.host,
                self.stage.port + CONTROL,
                'POST',
                f'/Endpoints.Heartbeat/{self.name}',
                json.dumps(body).encode(),
                1.0,
            )
            if status and 200 <= status < 300:
                self.acked_state_at.setdefault(state, self.stage.record.now())
            await asyncio.sleep(1.2 if status == 200 else 0.2)


class EndpointFlow:
    def __init__(self, endpoint, key, number):
        self.endpoint, self.key = endpoint, key
        self.number = random.getrandbits(32)
        self.received = (number + 1) % RANGE
        self.opened = self.ended = False
        self.later = {}
        self.buffer = b''
        self.unacknowledged = 0
        self.timer = None
        self.sent = (self.number + 1) % RANGE
        self.outgoing = {}

    def transmit(self, flags, seq, data=b''):
        source, target = self.key
        self.endpoint.send(
            pack(target, source, flags, seq, self.received, data)
        )

    def accept(self):
        if self.opened:
            self.transmit(SYN | ACK, self.number)
        elif self.timer is None:
            loop = asyncio.get_running_loop()
            delay = self.endpoint.accept_delay
            if delay:
                self.timer = loop.call_later(delay, self.send_accept, 0)
            else:
                self.send_accept(0)
        elif self.endpoint.accept_delay == 0:
            self.transmit(SYN | ACK, self.number)

    def send_accept(self, tries):
        """Send the SYN+ACK; it is a packet, and missing until answered."""
        if self.opened or tries > 8 or not self.endpoint.stage.running:
            return
        self.transmit(SYN | ACK, self.number)
        wait = min(1.6, 0.2 * 2**tries)
        self.timer = asyncio.get_running_loop().call_later(
            wait, self.send_accept, tries + 1
        )

    def receive(self, flags, seq, ack, data):
        if not self.opened:
            self.opened = True
            self.endpoint.stage.opened[self.key] = (
                self.endpoint.stage.record.now(),
                self.endpoint,
            )
        if flags & RST:
            self.ended = True
            return
        for number in list(self.outgoing):
            if (ack - number - 1) % RANGE < RANGE // 2:
                self.outgoing.pop(number)[1].cancel()
        if data:
            if self.ended:
                self.transmit(RST, self.sent)
                return
            self.later[seq] = data
            while self.received in self.later:
                piece = self.later.pop(self.received)
                self.buffer += piece
                self.received = (self.received + len(piece)) % RANGE
            for number in list(self.later):
                if (self.received - number) % RANGE < RANGE // 2:
                    del self.later[number]
            self.unacknowledged += 1
            if self.unacknowledged % 2 == 0:
                self.transmit(ACK, self.sent)
            self.serve()
        if flags & FIN:
            self.received = (self.received + 1) % RANGE
            self.ended = True
            self.transmit(ACK | FIN, self.sent)

    def serve(self):
        head, found, body = self.buffer.partition(b'\r\n\r\n')
        if not found:
            return
        fields = dict(
            line.split(': ', 1) for line in head.decode().split('\r\n')[1:]
        )
        length = int(fields.get('Content-Length', 0))
        if len(body) < length:
            return
        self.buffer = body[length:]
        attempt = fields['X-Attempt-Id']
        self.endpoint.ran.append((self.endpoint.stage.record.now(), attempt))
        self.endpoint.stage.record(
            f'run {attempt} at {self.endpoint.machine.name}'
        )
        asyncio.get_running_loop().call_later(
            self.endpoint.work, self.answer, attempt
        )

    def answer(self, attempt):
        body = f'{attempt} {self.endpoint.name}'.encode()
        data = (
            f'HTTP/1.1 200 OK\r\nX-Endpoint-Stamp: {attempt}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body
        number = self.sent
        self.sent = (number + len(data)) % RANGE
        self.repeat(number, data, 0)

    def repeat(self, number, data, tries):
        if tries > 8 or not self.endpoint.stage.running:
            self.outgoing.pop(number, None)
            return
        self.transmit(ACK, number, data)
        timer = asyncio.get_running_loop().call_later(
            min(1.6, 0.2 * 2**tries), self.repeat, number, data, tries + 1
        )
        self.outgoing[number] = len(data), timer


class ConsumerFlow:
    """A flow of a consumer, which carries one HTTP/1.1 connection."""

    def __init__(self, stage, zone, entry):
        self.stage, self.zone = stage, zone
        self.source = stage.consumer_host, next(stage.ports)
        self.entry = entry
        self.number = random.getrandbits(32)
        self.sent = (self.number + 1) % RANGE
        self.received = 0
        self.state = 'new'
        self.changed = asyncio.Event()
        self.outgoing = {}
        self.waiting = []
        self.answers = b''
        self.later = {}
        self.resets = []
        stage.flows[self.source[1]] = self

    @property
    def key(self):
        return self.source, self.entry

    def transmit(self, flags, seq, ack, data=b''):
        self.stage.route(
            self.zone, pack(self.source, self.entry, flags, seq, ack, data)
        )

    async def open(self):
        """Open the flow: copies after 200 and 600 ms, the end after 1.4 s."""
        self.state = 'opening'
        for tries, wait in enumerate((0.2, 0.4, 0.8)):
            self.transmit(SYN, self.number, tries)
            if await self.wait_for(lambda: self.state != 'opening', wait):
                break
        if self.state == 'opening':
            self.state = 'silent'
        self.stage.record(
            f'flow {self.source[1]}: {self.state} after {tries + 1} SYN'
        )
        return self.state == 'open'

    async def wait_for(self, condition, seconds):
        end = time.monotonic() + seconds
        while not condition():
            left = end - time.monotonic()
            if left <= 0:
                return False
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        return True

    def receive(self, flags, seq, ack, data):
        if flags & RST:
            self.resets.append((self.stage.record.now(), seq))
            if self.state in ('opening', 'open'):
                self.state = 'reset'
        elif self.state == 'opening' and flags & SYN and flags & ACK:
            if ack == (self.number + 1) % RANGE:
                self.received = (seq + 1) % RANGE
                self.state = 'open'
                self.transmit(ACK, self.sent, self.received)
        elif self.state == 'open' and not flags & SYN:
            if (seq - self.received + (1 << 20)) % RANGE > 1 << 21:
                return
            for number in list(self.outgoing):
                length, timer = self.outgoing[number]
                if (ack - number - length) % RANGE < RANGE // 2:
                    timer.cancel()
                    del self.outgoing[number]
            if data:
                self.later[seq] = data
                while self.received in self.later:
                    piece = self.later.pop(self.received)
                    self.answers += piece
                    self.received = (self.received + len(piece)) % RANGE
                self.transmit(ACK, self.sent, self.received)
            self.fill()
        self.changed.set()

    def fill(self):
        while self.waiting and len(self.outgoing) < WINDOW:
            number, data = self.waiting.pop(0)
            self.repeat(number, data, 0)

    def repeat(self, number, data, tries):
        if self.state != 'open' or not self.stage.running:
            self.outgoing.pop(number, None)
            return
        self.transmit(ACK, number, self.received, data)
        timer = asyncio.get_running_loop().call_later(
            min(1.6, 0.2 * 2**tries), self.repeat, number, data, tries + 1
        )
        self.outgoing[number] = len(data), timer

    async def request(self, attempt, size, deadline):
        """Send a request; return whether its whole answer has come."""
        self.answers = b''
        data = (
            f'POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\n'
            f'Content-Length: {size}\r\n\r\n'
        ).encode() + b'x' * size
        for begin in range(0, len(data), DATA_MAX):
            piece = data[begin : begin + DATA_MAX]
            self.waiting.append((self.sent, piece))
            self.sent = (self.sent + len(piece)) % RANGE
        self.fill()
        stamp = f'X-Endpoint-Stamp: {attempt}\r\n'.encode()

        def ended():
            return self.state != 'open' or stamp in self.answers

        await self.wait_for(ended, deadline)
        if stamp in self.answers:
            return True
        for _, timer in self.outgoing.values():
            timer.cancel()
        self.outgoing.clear()
        self.waiting.clear()
        return False


class Stage:
    """All of a deployment."""

    def __init__(self, record, zones):
        self.record = record
        self.zones = list(zones)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            self.roles = tomllib.load(file)['roles']
        self.net = (
            f'127.{random.randrange(20, 120)}.{random.randrange(1, 250)}'
        )
        self.consumer_host = f'{self.net}.250'
        self.machines, self.endpoints = {}, {}
        self.flows, self.opened = {}, {}
        self.ports = iter(range(20000, 60000))
        self.rotation, self.misses = {}, {}
        self.tasks = []
        #: Machines that are added later.
        self.absent = []
        #: Machines that Seeds names; chosen when there are none.
        self.seeds = []
        self.running = True
        self.port = self.find_ports()

    def find_ports(self):
        for _ in range(100):
            first = random.randrange(10000, 32000)
            try:
                for offset in range(PORTS):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as one:
                            one.bind(('127.0.0.1', first + offset))
                            one.close()
                return first
            except OSError:
                continue
        raise OSError('no free ports')

    def add(self, name, zone, roles, disk=False, service=''):
        host = f'{self.net}.{10 + len(self.machines)}'
        machine = Machine(self, name, host, zone, roles, disk, service)
        self.machines[name] = machine
        return machine

    @property
    def fronts(self):
        return [one for one in self.machines.values() if not one.service]

    def list_seeds(self):
        """Return the machines that Seeds names at the first start."""
        if self.seeds:
            return self.seeds
        controls = [
            one
            for one in self.fronts
            if 'control' in one.processes and one not in self.absent
        ]
        return controls[:3]

    def new_flow(self, zone, entry):
        return ConsumerFlow(self, zone, entry)

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def start_endpoint(self, machine, **options):
        endpoint = Endpoint(self, machine, **options)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: endpoint, local_addr=(machine.host, self.port + APP)
        )
        self.endpoints[machine.name] = endpoint
        endpoint.reporter = self.spawn(endpoint.report())
        return endpoint

    def start_machine(self, machine):
        machine.write_settings()
        for process in machine.processes.values():
            process.start()
            self.spawn(process.watch())

    async def start(self):
        stage = self

        class Inbox(asyncio.DatagramProtocol):
            def datagram_received(self, packet, _):
                _, target, flags, seq, ack, data = unpack(packet)
                flow = stage.flows.get(target[1])
                if flow is not None:
                    flow.receive(flags, seq, ack, data)

        loop = asyncio.get_running_loop()
        self.inbox, _ = await loop.create_datagram_endpoint(
            Inbox, local_addr=(self.consumer_host, self.port + DATAGRAM)
        )
        for machine in self.machines.values():
            if machine.service:
                await self.start_endpoint(machine)
        await asyncio.sleep(1.0)
        for machine in self.machines.values():
            if machine in self.absent:
                continue
            self.start_machine(machine)
            if not machine.service:
                self.spawn(self.probe(machine))

    async def probe(self, machine):
        """Ask a front twice per second whether it is ready."""
        while True:
            status, _ = await fetch(
                machine.host, self.port + READINESS, 'GET', '/ready', b'', 0.5
            )
            if status == 200:
                self.misses[machine.name] = 0
                if not self.rotation.get(machine.name):
                    self.record(f'in rotation {machine.name}')
                self.rotation[machine.name] = True
            else:
                misses = self.misses.get(machine.name, 0) + 1
                self.misses[machine.name] = misses
                if misses >= 2 and self.rotation.get(machine.name):
                    self.record(f'out of rotation {machine.name}')
                    self.rotation[machine.name] = False
            await asyncio.sleep(0.5)

    def choose_front(self, zone, packet):
        """Return the front for a packet, by a hash of its addresses."""
        fronts = [one for one in self.fronts if one.zone == zone]
        ready = [one for one in fronts if self.rotation.get(one.name)]
        if 2 * len(ready) >= len(fronts):
            fronts = ready
        flow = packet[4:16]
        return max(
            fronts,
            key=lambda one: hashlib.blake2b(
                flow + one.name.encode(), digest_size=8
            ).digest(),
        )

    def route(self, zone, packet):
        front = self.choose_front(zone, packet)
        self.inbox.sendto(packet, (front.host, self.port + DATAGRAM))

    async def wait_until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(what)
            await asyncio.sleep(0.05)

    async def put(self, document, machine=None):
        """Send a configuration as the operator does; return the status."""
        body = (
            document
            if isinstance(document, bytes)
            else json.dumps(document).encode()
        )
        controls = [
            one
            for one in self.fronts
            if 'control' in one.processes and one not in self.absent
        ]
        for tries in range(40):
            one = machine or random.choice(controls)
            status, answer = await fetch(
                one.host, self.port + CONTROL, 'POST', '/Config.Put', body, 1.0
            )
            self.record(f'Config.Put to {one.name}: {status} {answer[:120]!r}')
            if status is not None and (
                status == 200 or status in (400, 409, 412, 413, 422)
            ):
                return status
            await asyncio.sleep(min(1.0, 0.1 * 1.5**tries))
        return None

    async def get(self, machine):
        return await fetch(
            machine.host, self.port + CONTROL, 'GET', '/Config.Get', b'', 1.0
        )

    def close(self):
        self.running = False
        for task in self.tasks:
            task.cancel()
        for machine in self.machines.values():
            for process in machine.processes.values():
                process.wanted = False
                if process.popen is not None and process.popen.poll() is None:
                    process.popen.kill()
                    process.popen.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def fetch(host, port, method, path, body, timeout):
    """Return status and body of a response; ``None`` without one in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            head = (
                f'{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n'
                'Content-Type: application/json\r\nConnection: close\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            )
            writer.write(head.encode() + body)
            line = await reader.readline()
            status = int(line.split()[1])
            length = 0
            while (line := await reader.readline()).strip():
                name, _, value = line.decode().partition(':')
                if name.lower() == 'content-length':
                    length = int(value)
            return status, await reader.readexactly(length)
    except (OSError, ValueError, IndexError, EOFError, TimeoutError):
        return None, b''
    finally:
        if writer is not None:
            writer.close()


def make_route(name, entry, service, kind='unsafe', timeout=1500, **fields):
    return {
        'Name': name,
        'Hostname': entry[0],
        'PathPrefix': f'/{entry[1]}/',
        'RouteType': kind,
        'TimeoutMs': timeout,
        'TargetLatencyMs': 300,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        **fields,
    }


def make_document(version, routes, services):
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
            'IdleTimeoutMs': 15000,
        },
    }


async def send_first(stage, document, seconds):
    """Return when a configuration is acknowledged; ``None`` if never."""
    body = json.dumps(document).encode()
    begin = stage.record.now()
    while stage.record.now() - begin < seconds:
        for machine in stage.fronts:
            status, answer = await fetch(
                machine.host,
                stage.port + CONTROL,
                'POST',
                '/Config.Put',
                body,
                1.0,
            )
            stage.record(
                f'Config.Put to {machine.name}: {status} {answer[:80]!r}'
            )
            if status == 200:
                return stage.record.now() - begin
        await asyncio.sleep(0.3)
    return None


def run(case, folder, zones):
    """Run a case; exit with 1 if its rule was broken, 0 if not, 2 if not run.

    :param case: coroutine function of the stage that returns whether the rule
        was broken
    """
    record = Record(Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record(f'TROUBLE={int(trouble)}')
    stage = Stage(record, zones)

    async def play():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(TIME_MAX):
                return await case(stage, trouble)
        finally:
            stage.close()

    try:
        broken = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        record.say(f'could not run: {error!r}')
        return 2
    record.say('the rule was broken' if broken else 'the rule held')
    return 1 if broken else 0

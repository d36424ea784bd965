"""A small deployment on loopback: the project's programs and stand-ins.

The programs run as separate processes with the commands of the deploy file.
Targets, callers and the operator are stand-ins in this process. Every machine
has a loopback address of its own.
"""

import asyncio
import contextlib
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

#: Header of a packet: echo, destination and source port, source and
#: destination host, flags, padding, sequence and acknowledgement number,
#: length of the data, sum.
HEADER = struct.Struct('<IHHIIB5sIIHI')
SYN, ACK, FIN, RST, BOUNCED = 8, 4, 2, 128, 1

#: Times at which a caller sends the copies of its opening packet, and the time
#: after which it gives up, in seconds.
OPENING_TIMES = (0.0, 0.2, 0.6)
OPENING_TIMEOUT = 1.4

#: Time after which the operator turns to another instance, in seconds.
OPERATOR_TIMEOUT = 1.0

#: Sum of every packet: it is keyed, and the system can't check it.
SUM = 0x5EED5EED

ZONES = ('zone-a', 'zone-b', 'zone-c')


def pack_host(host):
    return int.from_bytes(socket.inet_aton(host), 'big')


def unpack_host(number):
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


def build_packet(source, destination, flags, seq, ack, data=b''):
    fields = (
        0,
        destination[1],
        source[1],
        pack_host(source[0]),
        pack_host(destination[0]),
        flags,
        b'',
        seq % 2**32,
        ack % 2**32,
        len(data),
        SUM,
    )
    return HEADER.pack(*fields) + data


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.lines.append(f'{self.now():8.3f} {text}')

    def write(self, path):
        Path(path).write_text('\n'.join(self.lines) + '\n')


class Packets(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, sender):
        if len(data) >= HEADER.size:
            self.receive(data)


async def open_socket(address, receive):
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: Packets(receive), local_addr=address
    )
    return protocol.transport


async def call(address, method, path, body=b'', timeout=OPERATOR_TIMEOUT):
    """Send one HTTP request.

    :returns: status and body; ``None`` without an answer in time
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = (
                f'{method} {path} HTTP/1.1\r\nHost: {address}\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
            )
            writer.write(head.encode() + body)
            response = await reader.read()
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    head, _, content = response.partition(b'\r\n\r\n')
    parts = head.split()
    return (int(parts[1]), content) if len(parts) > 1 else None


class Endpoint:
    """A target: takes flows, answers one request on each and closes it."""

    def __init__(self, deployment, machine):
        self.deployment = deployment
        self.machine = machine
        self.record = deployment.record
        self.name = f'i-{random.getrandbits(32):08x}'
        self.state = 'ready'
        self.seq = 0
        self.born = int(time.time() * 1000)
        #: For each flow: own initial sequence number, number of the caller's.
        self.flows = {}
        #: (time, flow, copy number, time when the caller sent it) of each
        #: opening packet.
        self.taken = []
        self.task = None
        #: Whether the machine stands still; its packets wait in the socket of
        #: the agent, which is stopped with it.
        self.frozen = False

    async def start(self):
        self.transport = await open_socket(
            (self.machine.ip, self.deployment.ports['app']), self.receive
        )
        self.outbound = (self.machine.ip, self.deployment.ports['outbound'])
        self.task = asyncio.create_task(self.beat_forever())

    def stop(self):
        self.task.cancel()
        self.transport.close()

    async def beat_forever(self):
        while True:
            if not self.frozen:
                await self.beat()
            await asyncio.sleep(self.deployment.heartbeat_ms / 1000)

    async def beat(self):
        self.seq += 1
        body = {
            'Service': self.machine.service,
            'Address': f'{self.machine.ip}:{self.deployment.ports["app"]}',
            'Zone': self.machine.zone,
            'Version': 'v1',
            'Slots': 4,
            'State': self.state,
            'ColdLeftMs': 0,
            'Seq': self.seq,
            'born': self.born,
        }
        answer = await call(
            self.machine.control,
            'POST',
            f'/Endpoints.Heartbeat/{self.name}',
            json.dumps(body).encode(),
        )
        return answer is not None and answer[0] == 200

    def receive(self, data):
        _, dport, sport, src, dst, flags, _, seq, ack, length, _ = (
            HEADER.unpack_from(data)
        )
        caller = (unpack_host(src), sport)
        entry = (unpack_host(dst), dport)
        flow = (caller, entry)
        if flags & SYN:
            if flow not in self.flows:
                self.flows[flow] = [random.getrandbits(32), (seq + 1) % 2**32]
                now = self.record.now()
                sent = self.deployment.sent.get((sport, ack))
                self.taken.append((now, flow, ack, sent))
                age = '?' if sent is None else f'{now - sent:.3f}'
                self.record.add(
                    f'{self.machine.name} ({self.machine.service},'
                    f' {self.machine.zone}) takes opening packet {ack} of'
                    f' caller port {sport}, sent {age} s ago'
                )
            own, expected = self.flows[flow]
            self.answer(entry, caller, SYN | ACK, own, expected)
            return
        if flow not in self.flows:
            returned = data[:16] + bytes((flags | BOUNCED,)) + data[17:]
            self.transport.sendto(returned, self.outbound)
            return
        own, expected = self.flows[flow]
        if length and seq == expected:
            self.flows[flow][1] = (seq + length) % 2**32
            self.record.add(
                f'{self.machine.name} ({self.machine.service}) runs'
                f' the request of caller port {sport}'
            )
            body = (
                'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
                f'X-Endpoint-Stamp: {self.name}\r\n\r\nok'
            )
            self.answer(
                entry,
                caller,
                ACK | FIN,
                own + 1,
                seq + length,
                body.encode(),
            )

    def answer(self, entry, caller, flags, seq, ack, data=b''):
        packet = build_packet(entry, caller, flags, seq, ack, data)
        self.transport.sendto(packet, self.outbound)


class Machine:
    """A machine and its processes, by role."""

    def __init__(self, deployment, number, name, kind, zone, service=''):
        self.deployment = deployment
        self.ip = f'{deployment.network}.{number}'
        self.name = name
        self.kind = kind
        self.zone = zone
        self.service = service
        self.control = f'{self.ip}:{deployment.ports["control"]}'
        self.entry = (self.ip, deployment.ports['data'])
        self.ready = f'{self.ip}:{deployment.ports["ready"]}'
        self.processes = {}

    def signal(self, number):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(number)


class Deployment:
    """Machines with their processes, and the stand-ins around them."""

    def __init__(self, record, tolerance=1, bounds=None, heartbeat_ms=1200):
        self.record = record
        self.tolerance = tolerance
        self.heartbeat_ms = heartbeat_ms
        self.bounds = {
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
            **(bounds or {}),
        }
        self.folder = Path(tempfile.mkdtemp(prefix='case-'))
        self.machines = {}
        self.network, self.ports = find_network()
        self.roles = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )['roles']
        self.sent = {}
        self.inboxes = {}
        self.caller_port = random.randrange(20_000, 30_000)
        self.caller_host = f'{self.network}.200'
        self.version = 0

    def add_machine(self, name, kind, zone, service=''):
        number = len(self.machines) + 1
        machine = Machine(self, number, name, kind, zone, service)
        self.machines[name] = machine
        return machine

    def list_kind(self, kind):
        return [one for one in self.machines.values() if one.kind == kind]

    def write_settings(self, machine, role, first):
        serves = self.roles[role]['serves']
        ports = self.ports
        listen = {}
        if 'control' in serves:
            listen['Control'] = machine.control
        if 'front' in serves:
            listen['DatagramAddr'] = f'{machine.ip}:{ports["data"]}'
            listen['ReadinessAddr'] = machine.ready
        if 'side' in serves:
            listen = {
                'DatagramAddr': f'{machine.ip}:{ports["data"]}',
                'ReadinessAddr': machine.ready,
                'outbound': f'{machine.ip}:{ports["outbound"]}',
                'Control': machine.control,
            }
        seeds = [one.control for one in self.list_kind('front')][:3]
        folder = self.folder / machine.name / role
        folder.mkdir(parents=True, exist_ok=True)
        settings = {
            'NodeId': machine.name,
            'Role': role,
            'MachineClass': machine.kind,
            'Serves': serves,
            'Ip': machine.ip,
            'Zone': machine.zone,
            'Region': 'region-1',
            'Zones': dict.fromkeys(ZONES, 'region-1'),
            'Listen': listen,
            'InternalPorts': [ports['internal'], ports['internal'] + 15],
            'Seeds': seeds,
            'Bootstrap': first,
            'InTolerance': machine.kind == 'front',
            'Limits': {
                'CpuShare': 0.5,
                'Cores': 2,
                'MemoryMb': 300,
                'MaxFds': 4100,
                'LinkMbps': 1000.0,
                'DiskMb': 64,
            },
            'Discovery': 'local',
            'Entry': 'announce',
            'HeartbeatIntervalMs': self.heartbeat_ms,
            'Contracts': ['base', 'drain', 'config', 'recover', 'flows'],
            'FaultTolerance': {
                'Machines': self.tolerance,
                'Zones': 0,
                'Regions': 0,
            },
            'Bounds': self.bounds,
            'config_mode': 'highest',
            'Hash': 'steady',
            'DeployMode': 'agent',
        }
        if role == 'control':
            data = folder / 'data'
            data.mkdir(exist_ok=True)
            settings['DataDir'] = str(data)
        if machine.kind == 'side':
            settings['Service'] = machine.service
            settings['app'] = f'{machine.ip}:{ports["app"]}'
        path = folder / 'node.json'
        path.write_text(json.dumps(settings, indent=1))
        return path

    def start_process(self, machine, role, first=False):
        settings = self.write_settings(machine, role, first)
        deps = str(ROOT / 'target' / 'deps')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= self.roles[role].get('env', {})
        environment |= {
            'PISTACHIOHOOK_BOOT': str(settings),
            'PYTHONPATH': deps,
        }
        log = (settings.parent / 'log.txt').open('ab')
        machine.processes[role] = subprocess.Popen(
            self.roles[role]['run'].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def start_all(self):
        roles = {'side': ['agent'], 'front': ['balancer', 'control']}
        for machine in self.machines.values():
            for role in roles[machine.kind]:
                self.start_process(machine, role, first=True)

    def stop_all(self):
        for machine in self.machines.values():
            for process in machine.processes.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGKILL)
            for process in machine.processes.values():
                process.wait()
        if os.environ.get('KEEP'):
            print('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def read_log(self, machine, role):
        path = self.folder / machine.name / role / 'log.txt'
        lines = []
        for line in path.read_text(errors='replace').splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    async def open_callers(self):
        self.callers = await open_socket(
            (self.caller_host, self.ports['data']), self.receive
        )

    def receive(self, data):
        fields = HEADER.unpack_from(data)
        inbox = self.inboxes.get(fields[1])
        if inbox is not None:
            inbox.put_nowait(
                (fields[5], fields[7], fields[8], data[HEADER.size :])
            )

    async def open_flow(self, balancer, entry, ask=True):
        """Open a flow as a caller, and send a request on it.

        :returns: ``reset``, ``silent``, or the answer of the target
        """
        self.caller_port += 1
        port = self.caller_port
        source = (self.caller_host, port)
        inbox = self.inboxes[port] = asyncio.Queue()
        first = random.getrandbits(32)
        began = self.record.now()
        for copy, at in enumerate(OPENING_TIMES):
            self.sent[port, copy] = self.record.now()
            packet = build_packet(source, entry, SYN, first, copy)
            self.callers.sendto(packet, balancer.entry)
            later = (*OPENING_TIMES, OPENING_TIMEOUT)[copy + 1]
            wait = began + later - self.record.now()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, wait)):
                    flags, seq, _, _ = await inbox.get()
                    break
        else:
            return 'silent'
        if flags & RST:
            return 'reset'
        if not ask:
            return 'open'
        request = b'GET / HTTP/1.1\r\nX-Attempt-Id: %d\r\n\r\n' % port
        packet = build_packet(source, entry, ACK, first + 1, seq + 1, request)
        for wait in (0.2, 0.4, 0.8, 1.6):
            self.callers.sendto(packet, balancer.entry)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    while True:
                        flags, _, _, data = await inbox.get()
                        if flags & RST:
                            return 'reset'
                        if data:
                            return data.decode()
        return 'no answer'

    async def order(self, machine, path, body=b''):
        """Send one order of the operator to one machine."""
        began = self.record.now()
        answer = await call(machine.control, 'POST', path, body)
        status = 'no answer' if answer is None else answer[0]
        self.record.add(
            f'operator: POST {path} to {machine.name}'
            f' sent at {began:.3f}: {status}'
        )
        return None if answer is None else answer[0]

    async def order_anywhere(self, machines, path, body=b'', attempts=20):
        """Send an order to one machine after the other until it is clear."""
        for attempt in range(attempts):
            machine = machines[attempt % len(machines)]
            status = await self.order(machine, path, body)
            if status is not None and status < 500:
                return status
            await asyncio.sleep(0.1)
        return None

    async def configure(self, machines, routes, services):
        """Send a configuration with the next version."""
        self.version += 1
        document = {
            'Version': self.version,
            'Routes': routes,
            'Services': [
                {
                    'Name': service,
                    'HealthPath': '/health',
                    'MaxFlows': 2000,
                    'Protocol': 'h1',
                    'Tls': False,
                }
                for service in services
            ],
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 262144,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
        }
        body = json.dumps(document).encode()
        return await self.order_anywhere(machines, '/Config.Put', body)

    async def await_ready(self, timeout=25.0):
        """Wait until all machines that are probed answer with 200."""
        end = self.record.now() + timeout
        waiting = list(self.machines.values())
        while waiting and self.record.now() < end:
            answers = await asyncio.gather(
                *(call(one.ready, 'GET', '/ready') for one in waiting)
            )
            waiting = [
                one
                for one, answer in zip(waiting, answers, strict=True)
                if answer is None or answer[0] != 200
            ]
            if waiting:
                await asyncio.sleep(0.2)
        return not waiting


def make_route(name, entry, service):
    return {
        'Name': name,
        'Hostname': entry[0],
        'PathPrefix': f'/{entry[1]}/',
        'RouteType': 'safe',
        'TimeoutMs': 1500,
        'TargetLatencyMs': 275,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
    }


def find_network():
    """Return a free loopback network and free ports on it."""
    for _ in range(50):
        network = f'127.{random.randrange(20, 250)}.{random.randrange(250)}'
        base = random.randrange(10_000, 30_000)
        ports = {
            'data': base,
            'ready': base + 1,
            'control': base + 2,
            'outbound': base + 3,
            'app': base + 4,
            'internal': base + 10,
        }
        if all(
            is_free(f'{network}.{number}', port)
            for number in (*range(1, 9), 200)
            for port in range(base, base + 26)
        ):
            return network, ports
    raise RuntimeError('no free ports')


def is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind((host, port))
            except OSError:
                return False
    return True


def run_case(folder, play):
    """Play a case, write its record, and return the exit status.

    :param play: coroutine function of a record that returns whether the rule
        held; ``None`` when the case couldn't run
    """
    record = Record()
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.add(f'with the disruption: {trouble}')
    held = None
    try:
        held = asyncio.run(play(record, trouble))
    except Exception as error:  # the case can't be judged then
        record.add(f'case failed: {type(error).__name__}: {error}')
    verdict = {True: 'held', False: 'BROKEN', None: 'not judged'}[held]
    record.add(f'rule: {verdict}')
    record.write(Path(folder) / 'record.txt')
    print(record.lines[-1])
    return {True: 0, False: 1, None: 2}[held]

"""Control, balancers, agents, callers and targets on loopback."""

from __future__ import annotations

import asyncio
from itertools import count
from pathlib import Path
from secrets import randbits
import shutil
import socket
import struct
import tempfile

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.metrics import Metrics
from pistachiohook_core.passthrough.cold_starts import ColdBounds
from pistachiohook_daemon.clocks import create_event_loop
from pistachiohook_daemon.keys import LinkKeys
from pistachiohook_daemon.passthrough.agent import start_agent
from pistachiohook_daemon.passthrough.balancer import start_balancer
from pistachiohook_daemon.passthrough.control import start_control
from pistachiohook_daemon.passthrough.settings import AgentSettings
from pistachiohook_daemon.passthrough.settings import BalancerSettings
from pistachiohook_daemon.passthrough.settings import ControlSettings
from pistachiohook_daemon.passthrough.settings import NodeSettings
from pistachiohook_daemon.supervisor import Supervisor
from pistachiohook_platform.calls import serve_operator
from pistachiohook_platform.calls import serve_target
from pistachiohook_platform.packets import SEGMENT_FORMAT
from pistachiohook_platform.readiness import serve_readiness
from ports import find_port
from tornado.httpclient import AsyncHTTPClient

#: Time after which a wait for a condition or an answer fails, in seconds.
WAIT_TIMEOUT = 30.0

#: Header of a packet: echo, destination and source port, source and
#: destination host, flags, padding, sequence and acknowledgement number,
#: length of the data, checksum.
HEADER = struct.Struct('<IHHIIB5sIIHI')
#: Bits of the flags. Besides, 128 is a reset, and 1 marks a packet that a
#: target has returned unprocessed.
SYN, ACK, FIN = 8, 4, 2

#: Number of sequence numbers; after the last one they start again at 0.
SEQUENCE_COUNT = 1 << 32

#: Address of all callers; balancers and targets have other ones.
CALLER_HOST = '127.0.0.9'
KEYS = LinkKeys(b'k' * 32)


def find_address():
    """Return an address with a free port."""
    return Address('127.0.0.1', find_port())


def host_to_int(host):
    return int.from_bytes(socket.inet_aton(host), 'big')


def build_packet(source, destination, flags, sequence, acknowledged, data=b''):
    return (
        HEADER.pack(
            0,
            destination[1],
            source[1],
            host_to_int(source[0]),
            host_to_int(destination[0]),
            flags,
            b'',
            sequence % SEQUENCE_COUNT,
            acknowledged % SEQUENCE_COUNT,
            len(data),
            0xABCD,
        )
        + data
    )


class PacketTarget(asyncio.DatagramProtocol):
    """A target that answers the first data of a flow and closes the flow.

    It returns a packet that acknowledges another sequence number than its
    own to the agent, because the flow then belongs to another target.
    """

    def __init__(self, name, outbound):
        self.name = name
        self.outbound = (outbound.host, outbound.port)
        #: Port and initial sequence number of the caller of each request.
        self.ran = []
        #: Initial sequence number of the target for each caller.
        self.flows = {}
        #: Initial sequence number of each caller of ``flows``.
        self.numbers = {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        _, dport, sport, src, dst, flags, _, seq, ack, length, _ = (
            HEADER.unpack_from(data)
        )
        caller = (socket.inet_ntoa(src.to_bytes(4, 'big')), sport)
        entry = (socket.inet_ntoa(dst.to_bytes(4, 'big')), dport)
        if flags & SYN:
            if self.opens_flow(caller, seq):
                # Initial sequence numbers close to those of another target
                # could be mistaken for them, and the check below would miss
                # a packet of a flow of the other target.
                self.flows[caller] = randbits(31)
                self.numbers[caller] = seq
            if self.numbers[caller] == seq:
                self.answer(entry, caller, SYN | ACK, seq + 1)
        elif ack - self.flows.get(caller, ack) != 1:
            returned = data[:16] + bytes((flags | 1,)) + data[17:]
            self.transport.sendto(returned, self.outbound)
        elif length:
            self.ran.append((caller[1], self.numbers[caller]))
            body = self.name.encode()
            self.answer(entry, caller, ACK | FIN, seq + length, body)

    def opens_flow(self, caller, number):
        """Return whether an opening packet begins a new flow.

        A caller that uses its port again has ended the flow before, and has a
        higher number. Late copies of earlier opening packets have a lower one.
        """
        if caller not in self.flows:
            return True
        difference = (number - self.numbers[caller]) % SEQUENCE_COUNT
        return 0 < difference < SEQUENCE_COUNT // 2

    def answer(self, entry, caller, flags, acknowledged, data=b''):
        packet = build_packet(
            entry, caller, flags, self.flows[caller], acknowledged, data
        )
        self.transport.sendto(packet, self.outbound)


class PacketCaller(asyncio.DatagramProtocol):
    """Callers on one host; each call is a new flow with one request."""

    def __init__(self):
        self.ports = count(20_000)
        #: Queue of received packets for each port of a caller.
        self.inboxes = {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        _, dport, _, _, _, flags, _, seq, _, _, _ = HEADER.unpack_from(data)
        inbox = self.inboxes.get(dport)
        if inbox is not None:
            inbox.put_nowait((flags, seq, data[HEADER.size :]))

    async def call(self, balancer, entry):
        """Open a flow, send one request and return the answer.

        :returns: the name of the answering target, ``None`` when the flow was
            reset, or an empty text when the handshake got no answer in three
            attempts
        """
        source = (CALLER_HOST, next(self.ports))
        inbox = self.inboxes[source[1]] = asyncio.Queue()
        for attempt, wait in enumerate((0.2, 0.4, 0.8)):
            opening = build_packet(source, entry, SYN, 7, attempt)
            self.transport.sendto(opening, (balancer.host, balancer.port))
            try:
                async with asyncio.timeout(wait):
                    flags, seq, _ = await inbox.get()
                break
            except TimeoutError:
                continue
        else:
            return ''
        if flags & 128:
            return None
        request = build_packet(source, entry, ACK, 8, seq + 1, b'request')
        self.transport.sendto(request, (balancer.host, balancer.port))
        async with asyncio.timeout(WAIT_TIMEOUT):
            while True:
                flags, _, body = await inbox.get()
                if flags & FIN:
                    return body.decode()


@attrs.define(eq=False)
class LoopbackPlatform:
    """All roles, callers and targets of a test, in one event loop."""

    loop: object = attrs.field(factory=create_event_loop)
    folder: Path = attrs.field(factory=lambda: Path(tempfile.mkdtemp()))
    controls: dict = attrs.field(factory=dict)
    operators: dict = attrs.field(factory=dict)
    #: Addresses of each control instance for nodes and for the others.
    control_addresses: dict = attrs.field(factory=dict)
    supervisors: dict = attrs.field(factory=dict)
    metrics: dict = attrs.field(factory=dict)
    balancers: dict = attrs.field(factory=dict)
    readiness: dict = attrs.field(factory=dict)
    agents: dict = attrs.field(factory=dict)
    targets: dict = attrs.field(factory=dict)
    #: Where each agent accepts the heartbeats of its target.
    announcement_addresses: dict = attrs.field(factory=dict)
    #: Addresses of the control instances for nodes, and for each other.
    seeds: tuple = ()
    peers: tuple = ()
    caller: object = None
    #: Source of the sequence numbers of the heartbeats.
    heartbeat_numbers: object = attrs.field(factory=lambda: count(1))
    #: Bounds of cold targets in the agents' settings, not the default ones.
    cold_bounds: object = attrs.field(factory=lambda: ColdBounds(1, 2))
    #: Number and fields of each logged event.
    events: list = attrs.field(factory=list)

    def call(self, coroutine):
        return self.loop.run_until_complete(
            asyncio.wait_for(coroutine, WAIT_TIMEOUT)
        )

    def wait(self, condition):
        async def poll():
            while not condition():
                await asyncio.sleep(0.02)

        self.call(poll())

    def add_metrics(self, name):
        self.metrics[name] = Metrics()
        return self.metrics[name]

    def record_event(self, event, **fields):
        self.events.append((event.number, fields))

    def make_node_settings(self, name, link, zone='x'):
        return NodeSettings(name, zone, link, self.seeds, find_address(), 6.0)

    async def start_controls(self, names):
        self.seeds = tuple(find_address() for _ in names)
        self.peers = tuple(find_address() for _ in names)
        for name, link, peer in zip(
            names, self.seeds, self.peers, strict=True
        ):
            self.start_control(name, link, peer, str(self.folder / name))

    def start_control(self, name, link, peer, data_folder):
        supervisor = self.supervisors[name] = Supervisor(
            name, self.record_event
        )
        self.control_addresses[name] = link, peer
        settings = ControlSettings(
            self.make_node_settings(name, link),
            data_folder,
            peer,
            self.peers,
            find_address(),
            1,
            True,
        )
        role = start_control(
            settings,
            KEYS,
            supervisor,
            self.add_metrics(name),
            self.record_event,
        )
        self.operators[name] = find_address()
        serve_operator(
            self.operators[name], role, lambda: ('x', 'y'), self.record_event
        )
        self.controls[name] = role

    async def start_diskless(self, name):
        link = find_address()
        self.start_control(name, link, find_address(), '')

    async def start_balancer(self, name, zone='x'):
        entry = find_address()
        if self.caller is not None:
            entry = Address(f'127.0.0.{2 + len(self.balancers)}', self.port)
        settings = BalancerSettings(
            self.make_node_settings(name, find_address(), zone),
            entry,
        )
        supervisor = self.supervisors[name] = Supervisor(
            name, self.record_event
        )
        role = start_balancer(
            settings,
            SEGMENT_FORMAT,
            supervisor,
            self.add_metrics(name),
            self.record_event,
        )
        self.balancers[name] = role
        self.readiness[name] = find_address()
        serve_readiness(
            self.readiness[name], role.find_health, self.record_event
        )
        if self.caller is None:
            _, self.caller = await self.loop.create_datagram_endpoint(
                PacketCaller, local_addr=(CALLER_HOST, self.port)
            )

    @property
    def port(self):
        """Port of the balancers, at which callers also receive answers."""
        return next(iter(self.balancers.values())).settings.entry.port

    async def start_agent(self, name, zone='x'):
        target = find_address()
        settings = AgentSettings(
            self.make_node_settings(name, find_address(), zone),
            's',
            find_address(),
            target,
            self.port,
            60.0,
            self.cold_bounds,
        )
        supervisor = self.supervisors[name] = Supervisor(
            name, self.record_event
        )
        role = start_agent(
            settings,
            SEGMENT_FORMAT,
            supervisor,
            self.add_metrics(name),
            self.record_event,
        )
        self.agents[name] = role
        self.announcement_addresses[name] = find_address()
        serve_target(
            self.announcement_addresses[name], role, self.record_event
        )
        _, self.targets[name] = await self.loop.create_datagram_endpoint(
            lambda: PacketTarget(name, settings.outbound),
            local_addr=(target.host, target.port),
        )

    async def post(self, address, path, body):
        return await AsyncHTTPClient().fetch(
            f'http://{address}{path}',
            method='POST',
            body=body,
            raise_error=False,
        )

    async def get(self, address, path):
        return await AsyncHTTPClient().fetch(
            f'http://{address}{path}', raise_error=False
        )

    def restart_control(self, name):
        """Start a stopped control instance with its addresses and disk.

        This process still holds the lock of the folder, so that it is copied.
        """
        link, peer = self.control_addresses[name]
        self.controls[name].proposer.send.__self__.close()
        folder = self.folder / f'{name}-restarted'
        shutil.copytree(self.folder / name, folder)
        self.start_control(name, link, peer, str(folder))

    async def stop(self, name):
        await self.supervisors.pop(name).cancel()

    async def stop_all(self):
        for name in list(self.supervisors):
            await self.stop(name)

    async def cancel_tasks(self):
        """Cancel the tasks that stopped roles have left.

        Left to the interpreter's exit, a task that reads from an nng socket
        would end the process with a panic of nng.
        """
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self):
        datagrams = [*self.targets.values(), self.caller]
        for protocol in filter(None, datagrams):
            protocol.transport.close()
        self.call(self.stop_all())
        self.loop.run_until_complete(self.cancel_tasks())
        self.loop.close()
        shutil.rmtree(self.folder)

"""Stand-ins for consumers and the routers, as PROTOCOL.md describes them."""

import asyncio
import hashlib
import random

from http_client import call
import packets
from packets import ACK
from packets import FIN
from packets import Packet
from packets import RST
from packets import SYN

#: When copies of an opening packet are sent, and when the attempt ends, in
#: seconds after the first one.
COPIES = (0.2, 0.6)
OPEN_TIMEOUT = 1.4
RETRANSMIT_MIN, RETRANSMIT_MAX = 0.2, 1.6
PROBE_INTERVAL = 0.5


class Router:
    """Selects a ready node by a steady hash; probes readiness."""

    def __init__(self, nodes, record):
        self.nodes = nodes
        self.record = record
        self.misses = dict.fromkeys(nodes, 2)

    @property
    def ready(self):
        return [node for node in self.nodes if self.misses[node] < 2]

    def select(self, source, destination):
        ready = self.ready
        if len(ready) * 2 < len(self.nodes):
            ready = self.nodes
        return max(
            ready,
            key=lambda node: hashlib.blake2b(
                repr((node.name, source, destination)).encode(), digest_size=8
            ).digest(),
        )

    async def probe(self):
        while True:
            await asyncio.gather(*map(self.probe_node, self.nodes))
            await asyncio.sleep(PROBE_INTERVAL)

    async def probe_node(self, node):
        address = node.address('ready')
        status, _ = await call(address, 'GET', '/ready', None, PROBE_INTERVAL)
        was_ready = self.misses[node] < 2
        self.misses[node] = 0 if status == 200 else self.misses[node] + 1
        if was_ready != (self.misses[node] < 2):
            self.record('rotation', node=node.name, ready=not was_ready)


class Flow:
    """A consumer's flow: opened once, then one request after another."""

    def __init__(self, host, source, entry):
        self.host, self.source, self.entry = host, source, entry
        self.state = 'opening'
        self.iss = random.getrandbits(32)
        self.next_seq = (self.iss + 1) % 2**32
        self.expected = 0
        self.unacknowledged = None
        self.tries = 0
        self.timer = None
        self.changed = asyncio.Event()
        self.opened_at = None
        self.reset_at = None
        self.reset_by_system = False
        self.answers = []

    @property
    def key(self):
        return self.source, self.entry

    async def open(self):
        """Return whether the flow is open."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        moments = (*COPIES, OPEN_TIMEOUT)
        for copy, end in enumerate(moments):
            self.send(SYN, b'', self.iss, copy)
            await self.wait(begin + end - loop.time())
            if self.state != 'opening':
                break
        if self.state == 'opening':
            self.state = 'silent'
        return self.state == 'open'

    async def wait(self, seconds):
        self.changed.clear()
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                await self.changed.wait()
        except TimeoutError:
            pass

    async def request(self, identity, timeout):
        """Send a request; return its answer, or ``None``."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        text = (
            f'POST /order HTTP/1.1\r\nHost: {self.entry[0]}\r\n'
            f'X-Attempt-Id: {identity}\r\nContent-Length: 0\r\n\r\n'
        )
        count = len(self.answers)
        data = text.encode()
        self.unacknowledged = self.next_seq, data
        self.next_seq = (self.next_seq + len(data)) % 2**32
        self.tries = 0
        self.repeat()
        while (
            self.state == 'open'
            and len(self.answers) == count
            and loop.time() < deadline
        ):
            await self.wait(deadline - loop.time())
        self.unacknowledged = None
        return self.answers[-1] if len(self.answers) > count else None

    def repeat(self):
        if self.unacknowledged is None or self.state != 'open':
            return
        seq, data = self.unacknowledged
        self.send(ACK, data, seq, self.expected)
        wait = min(RETRANSMIT_MIN * 2**self.tries, RETRANSMIT_MAX)
        self.tries += 1
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(wait, self.repeat)

    def send(self, flags, data, seq, ack):
        packet = Packet(self.source, self.entry, flags, seq, ack, data)
        self.host.send(self, packet)

    def receive(self, packet):
        loop = asyncio.get_running_loop()
        if packet.flags & RST:
            self.take_reset(packet, loop.time())
        elif packet.flags & SYN:
            self.take_acceptance(packet, loop.time())
        elif self.state in ('open', 'closing'):
            self.take_data(packet)
        self.changed.set()

    def take_reset(self, packet, now):
        near = (packet.seq - self.expected + 76_800) % 2**32 <= 2 * 76_800
        if self.state == 'opening':
            self.state = 'refused'
        elif self.state in ('open', 'closing') and near:
            self.state = 'reset'
            self.reset_at = now
            self.reset_by_system = packet.is_system_reset
            self.host.record(
                'reset',
                flow=self.key,
                by='system' if packet.is_system_reset else 'endpoint',
            )

    def take_acceptance(self, packet, now):
        if self.state == 'opening':
            self.state = 'open'
            self.opened_at = now
            self.expected = (packet.seq + 1) % 2**32
            self.send(ACK, b'', self.next_seq, self.expected)
        elif self.state == 'open' and packet.seq + 1 == self.expected:
            self.send(ACK, b'', self.next_seq, self.expected)

    def take_data(self, packet):
        if self.unacknowledged is not None:
            seq, data = self.unacknowledged
            end = (seq + len(data)) % 2**32
            if (packet.ack - end) % 2**32 < 2**31:
                self.unacknowledged = None
        if not packet.data and not packet.flags & FIN:
            return
        if packet.seq == self.expected:
            if packet.data:
                self.answers.append(packet.data.decode())
            length = len(packet.data) + bool(packet.flags & FIN)
            self.expected = (self.expected + length) % 2**32
            if packet.flags & FIN and self.state == 'open':
                self.host.record('flow ended', quiet=True, flow=self.key)
                self.send(FIN | ACK, b'', self.next_seq, self.expected)
                self.next_seq = (self.next_seq + 1) % 2**32
                self.state = 'closed'
                return
        self.send(ACK, b'', self.next_seq, self.expected)

    def close(self):
        if self.state == 'open':
            self.host.record('consumer closes', quiet=True, flow=self.key)
            self.send(FIN | ACK, b'', self.next_seq, self.expected)
            self.next_seq = (self.next_seq + 1) % 2**32
            self.state = 'closing'


class Host(asyncio.DatagramProtocol):
    """A consumer's host; its flows have a port each."""

    def __init__(self, address, router, record):
        self.address, self.router, self.record = address, router, record
        self.flows = {}
        self.port = 20_000
        self.transport = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )

    def make_flow(self, entry):
        self.port += 1
        flow = Flow(self, (self.address[0], self.port), entry)
        self.flows[flow.key] = flow
        return flow

    def send(self, flow, packet):
        self.record('consumer sends', quiet=True, flow=flow.key)
        node = self.router.select(flow.source, flow.entry)
        self.transport.sendto(packet.encode(), node.address('datagram'))

    def datagram_received(self, raw, _):
        packet = packets.decode(raw)
        if packet is None:
            return
        flow = self.flows.get((packet.dst, packet.src))
        if not packet.is_system_reset and not packet.is_genuine:
            self.record('foreign packet', flow=(packet.dst, packet.src))
        elif flow is not None:
            flow.receive(packet)

    def error_received(self, error):
        """A node may be down: what it is sent is lost."""

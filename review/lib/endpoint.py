"""A stand-in for an endpoint beside an agent, as PROTOCOL.md describes it."""

import asyncio
import random
import time

from http_client import call
import packets
from packets import ACK
from packets import FIN
from packets import Packet
from packets import RST
from packets import SYN

#: First wait for an acknowledgement and the longest one, in seconds.
RETRANSMIT_MIN, RETRANSMIT_MAX = 0.2, 1.6
#: Retransmissions after which an endpoint gives up.
RETRANSMISSIONS_MAX = 8
#: Time for which an ended flow is remembered, in seconds.
ENDED_KEPT = 60.0


class Flow:
    """A flow at an endpoint; one request at a time, each in one packet."""

    def __init__(self, consumer, entry, expected):
        self.consumer, self.entry = consumer, entry
        self.iss = random.getrandbits(32)
        #: Next byte to send, and next byte that the consumer has to send.
        self.next_seq = (self.iss + 1) % 2**32
        self.expected = expected
        self.state = 'half-open'
        self.opened_at = None
        self.unacknowledged = []
        self.timer = None
        self.tries = 0
        self.fin_sent = self.fin_received = False


class Endpoint(asyncio.DatagramProtocol):
    """One endpoint; :meth:`start` begins an incarnation.

    :param record: called with a name and fields of what happens
    """

    def __init__(self, name, service, machine, record, interval, **options):
        self.name, self.service, self.machine = name, service, machine
        self.record = record
        self.interval = interval
        self.work = options.get('work', 0.02)
        self.slots = options.get('slots', 4)
        self.max_flows = options.get('max_flows', 2000)
        #: Time from the start to the first report, in seconds.
        self.first_report = options.get('first_report', 0.0)
        self.zone = options.get('zone', 'zone-a')
        self.flows = {}
        self.running = False
        self.state = 'ready'
        self.born = self.seq = 0
        self.started_at = None
        self.transport = None
        self.tasks = set()
        self.incarnation = 0
        self.busy = asyncio.Semaphore(self.slots)
        self.ran = []
        self.draining_acknowledged_at = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.flows = {}
        self.state = 'ready'
        self.seq = 0
        self.incarnation += 1
        self.busy = asyncio.Semaphore(self.slots)
        self.draining_acknowledged_at = None
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.machine.address('app')
        )
        self.running = True
        self.born = int(time.time() * 1000)
        self.started_at = loop.time()
        self.record('endpoint started', endpoint=self.name, born=self.born)
        self.spawn(self.report(self.incarnation))

    def crash(self):
        """End at once and forget everything."""
        self.running = False
        self.transport.close()
        for flow in self.flows.values():
            if flow.timer:
                flow.timer.cancel()
        for task in self.tasks:
            task.cancel()
        self.record('endpoint crashed', endpoint=self.name)

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def report(self, incarnation):
        await asyncio.sleep(self.first_report)
        while self.running and self.incarnation == incarnation:
            await self.send_report()
            await asyncio.sleep(self.interval * random.uniform(0.95, 1.05))

    async def send_report(self):
        self.seq += 1
        state = self.state
        body = {
            'Service': self.service,
            'Address': '{}:{}'.format(*self.machine.address('app')),
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': self.slots,
            'State': state,
            'ColdLeftMs': 0,
            'Seq': self.seq,
            'born': self.born,
        }
        status, _ = await call(
            self.machine.address('control'),
            'POST',
            f'/Endpoints.Heartbeat/{self.name}',
            body,
            1.0,
        )
        if status // 100 != 2:
            return
        if state == 'draining' and self.draining_acknowledged_at is None:
            now = asyncio.get_running_loop().time()
            self.draining_acknowledged_at = now
            self.record('draining acknowledged', endpoint=self.name)
        if self.seq == 1:
            self.record('first report acknowledged', endpoint=self.name)

    async def drain(self):
        self.state = 'draining'
        await self.send_report()

    # Packets

    def datagram_received(self, raw, _):
        if not self.running:
            return
        packet = packets.decode(raw)
        if packet is None or not packet.is_genuine:
            self.record('unasked packet', endpoint=self.name)
            return
        key = packet.src, packet.dst
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if packet.flags & ACK:
                self.record('unasked packet', endpoint=self.name)
                return
            self.accept(key, flow, packet)
            return
        fits = flow is not None and (
            flow.state != 'half-open'
            or packet.ack == (flow.iss + 1) % 2**32
        )
        self.record(
            'packet at endpoint',
            quiet=fits,
            endpoint=self.name,
            flow=key,
            held=fits,
        )
        if not fits:
            self.send_raw(packets.bounce(raw))
        elif flow.state == 'ended':
            self.answer_ended(flow, packet)
        else:
            self.receive(flow, packet)

    def accept(self, key, flow, packet):
        if flow is None:
            if len(self.flows) >= self.max_flows:
                self.send_raw(packets.bounce(packet.raw))
                return
            flow = Flow(packet.src, packet.dst, (packet.seq + 1) % 2**32)
            self.flows[key] = flow
            self.record(
                'syn at endpoint',
                quiet=True,
                endpoint=self.name,
                flow=key,
            )
            self.transmit(flow, SYN | ACK, b'', flow.iss)
        elif flow.state == 'half-open':
            self.send(flow, SYN | ACK, b'', flow.iss)

    def answer_ended(self, flow, packet):
        if packet.flags & RST:
            return
        if packet.data:
            self.send(flow, RST, b'', flow.next_seq)
        elif packet.flags & FIN:
            self.send(flow, ACK, b'', flow.next_seq)

    def receive(self, flow, packet):
        if flow.state == 'half-open':
            flow.state = 'open'
            flow.opened_at = asyncio.get_running_loop().time()
            self.record(
                'flow open',
                endpoint=self.name,
                incarnation=self.incarnation,
                flow=(flow.consumer, flow.entry),
            )
        if packet.flags & RST:
            self.end(flow)
            return
        self.take_acknowledgement(flow, packet.ack)
        if packet.seq != flow.expected:
            if packet.data or packet.flags & FIN:
                self.send(flow, ACK, b'', flow.next_seq)
            return
        if packet.data:
            flow.expected = (flow.expected + len(packet.data)) % 2**32
            self.send(flow, ACK, b'', flow.next_seq)
            self.spawn(self.run(flow, packet.data))
        if packet.flags & FIN:
            flow.expected = (flow.expected + 1) % 2**32
            flow.fin_received = True
            if flow.fin_sent:
                self.send(flow, ACK, b'', flow.next_seq)
                self.end(flow)
            else:
                flow.fin_sent = True
                self.transmit(flow, FIN | ACK, b'', flow.next_seq)

    def take_acknowledgement(self, flow, ack):
        before = len(flow.unacknowledged)
        flow.unacknowledged = [
            one
            for one in flow.unacknowledged
            if not 0 <= (ack - one[1]) % 2**32 < 2**31
        ]
        if len(flow.unacknowledged) < before:
            flow.tries = 0
        if not flow.unacknowledged:
            if flow.timer:
                flow.timer.cancel()
                flow.timer = None
            if flow.fin_sent and flow.fin_received:
                self.end(flow)

    async def run(self, flow, data):
        text = data.decode()
        identity = text.partition('X-Attempt-Id: ')[2].partition('\r')[0]
        async with self.busy:
            self.ran.append(identity)
            self.record(
                'ran',
                endpoint=self.name,
                service=self.service,
                request=identity,
            )
            await asyncio.sleep(self.work)
        if not self.running or flow.state != 'open':
            return
        body = f'{self.name} answers {identity}'
        answer = (
            'HTTP/1.1 200 OK\r\n'
            f'X-Endpoint-Stamp: {self.name}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        )
        closing = self.state == 'draining'
        flags = FIN | ACK if closing else ACK
        flow.fin_sent = flow.fin_sent or closing
        self.transmit(flow, flags, answer.encode(), flow.next_seq)

    def transmit(self, flow, flags, data, seq):
        """Send a packet and repeat it until it is acknowledged."""
        length = len(data) + bool(flags & (SYN | FIN))
        end = (seq + length) % 2**32
        if not flags & SYN:
            flow.next_seq = end
        flow.unacknowledged.append((seq, end, flags, data))
        self.send(flow, flags, data, seq)
        if flow.timer is None:
            self.start_timer(flow)

    def start_timer(self, flow):
        wait = min(RETRANSMIT_MIN * 2**flow.tries, RETRANSMIT_MAX)
        loop = asyncio.get_running_loop()
        flow.timer = loop.call_later(wait, self.repeat, flow)

    def repeat(self, flow):
        flow.timer = None
        if not self.running or not flow.unacknowledged:
            return
        flow.tries += 1
        if flow.tries > RETRANSMISSIONS_MAX:
            self.flows.pop((flow.consumer, flow.entry), None)
            return
        for seq, _, flags, data in flow.unacknowledged:
            self.send(flow, flags, data, seq)
        self.start_timer(flow)

    def end(self, flow):
        flow.state = 'ended'
        flow.unacknowledged = []
        if flow.timer:
            flow.timer.cancel()
            flow.timer = None
        key = flow.consumer, flow.entry
        asyncio.get_running_loop().call_later(
            ENDED_KEPT, self.forget, key, flow
        )

    def forget(self, key, flow):
        if self.flows.get(key) is flow:
            del self.flows[key]

    def send(self, flow, flags, data, seq):
        packet = Packet(
            flow.entry, flow.consumer, flags, seq, flow.expected, data
        )
        self.send_raw(packet.encode())

    def send_raw(self, raw):
        if self.running:
            self.transport.sendto(raw, self.machine.address('outbound'))

    def error_received(self, error):
        """The agent may be down: what it is sent is lost."""

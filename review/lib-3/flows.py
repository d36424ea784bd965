"""Endpoints and consumers with flows of several requests."""

import asyncio
import random

from deployment import ACK
from deployment import BOUNCED
from deployment import build_packet
from deployment import Endpoint
from deployment import FIN
from deployment import HEADER
from deployment import OPENING_TIMES
from deployment import OPENING_TIMEOUT
from deployment import RST
from deployment import SYN
from deployment import unpack_host

#: Times after the first sending at which a missing packet is sent again, in
#: seconds: after 200 ms, and the interval doubles up to 1.6 s.
RETRANSMISSION_TIMES = (0.2, 0.6, 1.4, 3.0, 4.6, 6.2, 7.8, 9.4)


class LongEndpoint(Endpoint):
    """A target whose flows stay open for many requests.

    ``own`` holds, for each caller port, the times at which packets of a flow
    that is open here arrived; ``returned`` those of flows that it doesn't have.
    """

    def __init__(self, deployment, machine):
        super().__init__(deployment, machine)
        self.opened = {}
        self.own = {}
        self.returned = {}

    def receive(self, data):
        _, dport, sport, src, dst, flags, _, seq, ack, length, _ = (
            HEADER.unpack_from(data)
        )
        caller = (unpack_host(src), sport)
        entry = (unpack_host(dst), dport)
        key = (caller, entry)
        now = self.record.now()
        flow = self.flows.get(key)
        if flags & SYN:
            if flow is None:
                own = random.getrandbits(32)
                flow = self.flows[key] = {
                    'own': own,
                    'send': (own + 1) % 2**32,
                    'expected': (seq + 1) % 2**32,
                }
                sent = self.deployment.sent.get((sport, ack))
                self.taken.append((now, key, ack, sent))
            self.answer(entry, caller, SYN | ACK, flow['own'], seq + 1)
            return
        if flow is None:
            self.returned.setdefault(sport, []).append((now, seq, length))
            returned = data[:16] + bytes((flags | BOUNCED,)) + data[17:]
            self.transport.sendto(returned, self.outbound)
            return
        if sport not in self.opened:
            if ack != flow['send']:
                return
            self.opened[sport] = now
        self.own.setdefault(sport, []).append(now)
        flow['acknowledged'] = ack
        if length and seq == flow['expected']:
            flow['expected'] = (seq + length) % 2**32
            asyncio.create_task(self.respond(caller, entry, flow))
        elif length:
            self.answer(entry, caller, ACK, flow['send'], flow['expected'])
        elif flags & FIN:
            self.answer(entry, caller, ACK, flow['send'], seq + 1)

    async def respond(self, caller, entry, flow):
        body = (
            'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
            f'X-Endpoint-Stamp: {self.name}\r\n\r\nok'
        ).encode()
        seq = flow['send']
        end = flow['send'] = (seq + len(body)) % 2**32
        began = self.record.now()
        for at in RETRANSMISSION_TIMES:
            self.answer(entry, caller, ACK, seq, flow['expected'], body)
            await asyncio.sleep(max(0.0, began + at - self.record.now()))
            if flow['acknowledged'] == end:
                return


class LongFlow:
    """A consumer's flow, through the balancer that the router selects."""

    def __init__(self, deployment, balancer, entry):
        deployment.caller_port += 1
        self.deployment = deployment
        self.record = deployment.record
        self.balancer = balancer
        self.entry = entry
        self.port = deployment.caller_port
        self.source = (deployment.caller_host, self.port)
        self.inbox = deployment.inboxes[self.port] = asyncio.Queue()
        self.first = random.getrandbits(32)
        self.send_at = (self.first + 1) % 2**32
        self.expected = None
        self.reset_at = None

    def send(self, flags, seq, ack, data=b''):
        packet = build_packet(self.source, self.entry, flags, seq, ack, data)
        self.deployment.callers.sendto(packet, self.balancer.entry)

    async def open(self):
        began = self.record.now()
        for copy, at in enumerate(OPENING_TIMES):
            self.deployment.sent[self.port, copy] = self.record.now()
            self.send(SYN, self.first, copy)
            later = (*OPENING_TIMES, OPENING_TIMEOUT)[copy + 1]
            answer = await self.receive(began + later)
            if answer is None:
                continue
            flags, seq, _, _ = answer
            if flags & RST:
                return False
            self.expected = (seq + 1) % 2**32
            self.send(ACK, self.send_at, self.expected)
            return True
        return False

    async def request(self, timeout=12.0):
        """Send a request, and repeat it until it is answered.

        :returns: whether it was answered
        """
        data = b'GET / HTTP/1.1\r\nX-Attempt-Id: %d-%d\r\n\r\n' % (
            self.port,
            self.send_at,
        )
        began = self.record.now()
        for at in RETRANSMISSION_TIMES:
            if at > timeout:
                break
            self.send(ACK, self.send_at, self.expected, data)
            while True:
                answer = await self.receive(began + at)
                if answer is None:
                    break
                flags, seq, _, body = answer
                if flags & RST:
                    self.reset_at = self.record.now()
                    return False
                if body and seq == self.expected:
                    self.send_at = (self.send_at + len(data)) % 2**32
                    self.expected = (seq + len(body)) % 2**32
                    self.send(ACK, self.send_at, self.expected)
                    return True
        return False

    async def receive(self, until):
        wait = max(0.001, until - self.record.now())
        try:
            async with asyncio.timeout(wait):
                return await self.inbox.get()
        except TimeoutError:
            return None

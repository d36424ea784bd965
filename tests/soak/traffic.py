"""Callers, targets and the operator of the soak, and checks on the calls."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from collections import Counter
from collections import deque
import json
from random import Random

import attrs
from loopback import build_packet
from loopback import HEADER
from loopback import PacketTarget
from loopback import SEQUENCE_COUNT
from machines import EVACUATED_ZONE
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPError

ACK, FIN, RST, SYN = 4, 2, 128, 8
REQUEST = b'request'
CALLER_HOST = '127.0.9.1'
#: Address of each service, to which callers send.
SERVICE_ADDRESSES = {'s': ('198.18.0.1', 8443), 't': ('198.18.0.2', 9443)}
#: Requests per second that a cold target bears, and the time for which it is
#: cold after the end of an evacuation, in seconds.
COLD_PER_S, COLD_START = 2, 3
#: Largest number of requests that a cold target may get in any second, with
#: the default ``ColdOver`` and ``ColdSlack``.
COLD_BOUND = COLD_PER_S * 1.5 + 5
#: Share of the calls that use the port of an answered call again, and the
#: shortest time after its answer, in seconds.
REUSED_SHARE, REUSE_DELAY = 0.2, 0.3
#: Lowest and highest difference between the initial sequence numbers of
#: successive calls from a port.
NUMBER_STEPS = (1 << 24, 1 << 25)
#: Share of the answers that a target sends a second time, and the longest
#: delay of the copy, in seconds.
COPIED_SHARE, COPY_DELAY_MAX = 0.2, 1.0
#: Time that a caller waits for a reply to each transmission of its opening
#: packet or its request, in seconds. It gives up after the last one.
RETRANSMIT_TIMEOUTS = (0.2, 0.4, 0.8)
#: Status that stands for an HTTP request without a response.
NO_RESPONSE = 599
#: Interval of readiness probes of a balancer and their timeout, in seconds.
PROBE_INTERVAL = 0.5
#: Interval between the heartbeats of a target, in seconds.
HEARTBEAT_INTERVAL = 0.4


@attrs.frozen
class Bounds:
    """Times within which the checked guarantees must hold, in seconds.

    The defaults are those of the users' platform.

    :param visibility: from the acknowledgement of a version until every read
        returns it or a later one
    :param drain: from a target's announcement that it is draining until it
        gets no new flow
    :param evacuation: from the acknowledgement of an order to evacuate a zone
        until its targets get no new flow
    :param recovery: from the end of the last fault until all control
        instances return the latest version and calls are answered
    """

    visibility: float = 3.0
    drain: float = 3.0
    recovery: float = 12.0
    evacuation: float = 5.0


@attrs.define(eq=False)
class Call:
    """A flow with one request.

    :param port: port of the caller
    :param number: initial sequence number of the caller
    :param outcome: ``answered``; ``refused``, when the opening packet was
        answered with a reset; ``broken``, when the request was; ``silent``,
        when either got no reply; empty while the call runs
    :param answer: name of the target that answered the request
    :param sequence: number with which a target has accepted the flow
    """

    port: int
    number: int
    service: str
    started_at: float
    outcome: str = ''
    answer: str = ''
    sequence: int = 0

    def acknowledges(self, number):
        """Return whether a target's packet belongs to the flow."""
        difference = (number - self.number) % SEQUENCE_COUNT
        return 0 < difference <= 1 + len(REQUEST)


class Target(PacketTarget):
    """A target that answers a request after a random service time.

    ``opened_at`` holds the time at which each opening packet arrived,
    ``first_opened_at`` the time of the first one of each flow,
    ``cold_until`` when it is no longer cold, in seconds of the loop's clock,
    ``held`` the packets that arrive while the target hangs, or ``None``,
    ``served_as`` the name under which the target answered each flow, and
    ``misrouted`` its name and the caller's port for each packet that was for
    another service, and ``forgotten`` the caller's port and its own number for
    each flow that it has lost. A flow is the caller's port and number.
    """

    def __init__(self, name, outbound, random):
        super().__init__(name, outbound)
        self.random = random
        self.opened_at = []
        self.first_opened_at = {}
        self.cold_until = 0.0
        self.held = None
        self.served_as = {}
        self.misrouted = set()
        self.forgotten = set()

    def forget_flows(self):
        """Lose all flows, as a target does that starts again."""
        self.forgotten |= {
            (caller[1], number) for caller, number in self.flows.items()
        }
        self.flows.clear()
        self.numbers.clear()

    def count_opened(self, begin, end):
        """Return the most new flows of any second of a time span."""
        times = sorted(
            at for at in self.first_opened_at.values() if begin <= at <= end
        )
        return max(
            (bisect_left(times, at + 1.0) - i for i, at in enumerate(times)),
            default=0,
        )

    def answer(self, entry, caller, flags, acknowledged, data=b''):
        super().answer(entry, caller, flags, acknowledged, data)
        if flags & FIN:
            self.served_as[caller[1], self.numbers[caller]] = self.name
            if self.random.random() < COPIED_SHARE:
                packet = build_packet(
                    entry,
                    caller,
                    flags,
                    self.flows[caller],
                    acknowledged,
                    data,
                )
                asyncio.get_running_loop().call_later(
                    self.random.uniform(0.0, COPY_DELAY_MAX),
                    self.transport.sendto,
                    packet,
                    self.outbound,
                )

    def datagram_received(self, data, peer):
        _, service_port, caller_port, _, _, flags, _, seq, _, length, _ = (
            HEADER.unpack_from(data)
        )
        if service_port != SERVICE_ADDRESSES[self.name[0]][1]:
            self.misrouted.add((self.name, caller_port))
        if flags & SYN:
            now = asyncio.get_running_loop().time()
            self.opened_at.append(now)
            self.first_opened_at.setdefault((caller_port, seq), now)
        if not flags & SYN and length:
            service_time = self.random.expovariate(50)
            later = asyncio.get_running_loop().call_later
            later(service_time, self.handle_packet, data, peer)
            return
        self.handle_packet(data, peer)

    def handle_packet(self, data, peer):
        """Handle a packet, or hold it while the target hangs."""
        if self.held is None:
            super().datagram_received(data, peer)
        else:
            self.held.append((data, peer))

    def resume(self):
        """Handle the packets that arrived while the target hung."""
        held, self.held = self.held, None
        for data, peer in held:
            self.handle_packet(data, peer)


class Callers(asyncio.DatagramProtocol):
    """Callers of one host behind a fabric that can lose and duplicate packets.

    A packet goes to a random balancer that is ready, or to any balancer when
    none is.
    """

    def __init__(self, soak):
        self.soak = soak
        self.inboxes = {}
        self.calls = []
        self.port = 20_000
        #: When the port of each answered call may be used again, the port
        #: and the number of the call.
        self.released = deque()
        self.loss = 0.0

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        _, dport, _, _, _, flags, _, seq, ack, _, _ = HEADER.unpack_from(data)
        call, inbox = self.inboxes.get(dport, (None, None))
        if (
            call is not None
            and (flags & RST or call.acknowledges(ack))
            and not self.is_lost()
        ):
            inbox.put_nowait((flags, seq, data[HEADER.size :]))

    def is_lost(self):
        return self.soak.random.random() < self.loss

    def send(self, data):
        ready = self.soak.ready_balancers or list(self.soak.balancers)
        for _ in range(1 + (self.soak.random.random() < self.loss)):
            if not self.is_lost():
                name = self.soak.random.choice(ready)
                machine = self.soak.machines[name]
                self.transport.sendto(data, machine.get_address(0))

    async def call(self, service, pause=0.0):
        """Open a flow, send a request and return the finished call.

        :param pause: time for which the flow is open before the request, in
            seconds, as those of a pool are
        """
        loop = asyncio.get_running_loop()
        call = Call(*self.choose_port(), service, loop.time())
        self.calls.append(call)
        inbox = asyncio.Queue()
        self.inboxes[call.port] = call, inbox
        try:
            await self.run_call(call, inbox, pause)
        finally:
            del self.inboxes[call.port]
        if call.outcome == 'answered':
            self.released.append(
                (loop.time() + REUSE_DELAY, call.port, call.number)
            )
        return call

    def choose_port(self):
        """Return port and initial sequence number of the next call.

        The port is that of the call answered last, or an unused one.
        """
        random = self.soak.random
        now = asyncio.get_running_loop().time()
        released = None
        while self.released and self.released[0][0] <= now:
            released = self.released.popleft()
        if released is not None and random.random() < REUSED_SHARE:
            _, port, number = released
            step = random.randint(*NUMBER_STEPS)
            return port, (number + step) % SEQUENCE_COUNT
        self.port = self.port + 1 if self.port < 60_000 else 20_000
        return self.port, random.getrandbits(32)

    async def run_call(self, call, inbox, pause):
        """Do the handshake and the request of a call, and set its outcome."""
        source, entry = (
            (CALLER_HOST, call.port),
            SERVICE_ADDRESSES[call.service],
        )
        handshake_reply = await self.exchange(
            inbox,
            lambda attempt: build_packet(
                source, entry, SYN, call.number, attempt
            ),
            SYN | RST,
        )
        if handshake_reply is None:
            call.outcome = 'silent'
            return
        flags, seq, _ = handshake_reply
        if flags & RST:
            call.outcome = 'refused'
            return
        call.sequence = seq
        if pause:
            self.send(
                build_packet(source, entry, ACK, call.number + 1, seq + 1)
            )
            await asyncio.sleep(pause)
        answer = await self.exchange(
            inbox,
            lambda _: build_packet(
                source, entry, ACK, call.number + 1, seq + 1, REQUEST
            ),
            FIN | RST,
        )
        if answer is None:
            call.outcome = 'silent'
            return
        flags, _, body = answer
        call.outcome = 'broken' if flags & RST else 'answered'
        call.answer = body.decode()

    async def exchange(self, inbox, build, expected_flags):
        """Send a packet until a reply with an expected flag arrives.

        :param build: builds the packet, given the number of retransmissions
        :param expected_flags: flags of which a reply must have at least one
        :returns: flags, sequence number and data of the reply; ``None`` when
            there was none
        """
        for attempt, wait in enumerate(RETRANSMIT_TIMEOUTS):
            self.send(build(attempt))
            try:
                async with asyncio.timeout(wait):
                    while True:
                        packet = await inbox.get()
                        if packet[0] & expected_flags:
                            return packet
            except TimeoutError:
                continue
        return None


@attrs.define(eq=False)
class Operator:
    """Puts route sets and checks that reads return those that were accepted.

    :param version: version of the newest route set
    :param documents: document of each version
    :param accepted_at: when each version was acknowledged, in seconds of the
        loop's clock
    :param evacuated: whether the zone is evacuated by the last acknowledged
        order; ``None`` while the outcome of an order isn't known
    :param violations: descriptions of the violated guarantees
    """

    soak: object
    random: Random
    version: int = 0
    documents: dict = attrs.field(factory=dict)
    accepted_at: dict = attrs.field(factory=dict)
    evacuated: bool | None = False
    violations: list = attrs.field(factory=list)

    def create_version(self):
        """Create the document of a new version and return the version."""
        self.version += self.random.randint(1, 3)
        routes = [
            {
                'Name': f'r-{service}',
                'Hostname': host,
                'PathPrefix': f'/{port}/',
                'RouteType': 'unsafe',
                'TimeoutMs': 1500 + self.version,
                'TargetLatencyMs': 275,
                'Priority': 1,
                'Service': service,
            }
            for service, (host, port) in SERVICE_ADDRESSES.items()
        ]
        document = {
            'Version': self.version,
            'Routes': routes,
            'Services': [
                {
                    'Name': service,
                    'ColdPerS': COLD_PER_S,
                    'ColdStartS': COLD_START,
                }
                for service in SERVICE_ADDRESSES
            ],
        }
        self.documents[self.version] = json.dumps(document).encode()
        return self.version

    async def put_routes(self, until):
        """Send a new version to random control instances until one accepts it.

        :param until: when attempts end, in seconds of the loop's clock
        """
        loop = asyncio.get_running_loop()
        version = self.create_version()
        while loop.time() < until:
            name = self.random.choice(list(self.soak.controls))
            status, _ = await self.fetch(
                name,
                '/Config.Put',
                method='POST',
                body=self.documents[version],
            )
            if status == 200:
                self.accepted_at[version] = loop.time()
                return
            if 400 <= status < 500:
                self.violations.append(
                    f'{version} was refused with status {status}'
                )
                return
            await asyncio.sleep(0.1)

    async def read_version(self, name):
        """Read the version of an instance and check it.

        :returns: the version; 0 without a response of status 200
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        status, body = await self.fetch(name, '/Config.Get')
        if status != 200:
            return 0
        found = json.loads(body)['Version']
        if body != self.documents.get(found):
            self.violations.append(
                f'{name} returned version {found} with other text than sent'
            )
        required = self.find_latest_accepted(
            started_at - self.soak.bounds.visibility
        )
        if found < required:
            self.violations.append(
                f'{name} returned version {found}, older than {required}'
            )
        return found

    async def set_evacuated(self, evacuated, until):
        """Send an order to random control instances until one accepts it.

        :param until: when attempts end, in seconds of the loop's clock
        """
        loop = asyncio.get_running_loop()
        self.evacuated = None
        verb = 'Start' if evacuated else 'End'
        while loop.time() < until:
            name = self.random.choice(list(self.soak.controls))
            path = f'/Evacuate.{verb}/{EVACUATED_ZONE}'
            status, _ = await self.fetch(name, path, method='POST', body='')
            if status == 200:
                self.evacuated = evacuated
                return
            if 400 <= status < 500:
                self.violations.append(f'{path} was answered with {status}')
                return
            await asyncio.sleep(0.1)

    async def read_evacuation(self, name):
        """Read the evacuated zones from an instance and check them.

        :returns: whether they are those of the last acknowledged order
        """
        expected = self.evacuated
        status, body = await self.fetch(name, '/Evacuate.Get')
        # A read during an order may return the state before or after it.
        if status != 200 or expected is None or self.evacuated != expected:
            return False
        zones = json.loads(body)['Zones']
        if zones == [EVACUATED_ZONE] * expected:
            return True
        self.violations.append(
            f'{name} returned {zones}, but the last acknowledged order was '
            + ('to evacuate' if expected else 'to return')
        )
        return False

    def find_latest_accepted(self, until):
        """Return the highest version that was acknowledged by a time.

        :param until: time in seconds of the loop's clock
        :returns: the version; 0 when none was acknowledged by then
        """
        return max(
            (
                version
                for version, at in self.accepted_at.items()
                if at <= until
            ),
            default=0,
        )

    async def fetch(self, name, path, **options):
        address = self.soak.machines[name].format_address(2)
        return await fetch(f'http://{address}{path}', 1.0, **options)


async def fetch(url, timeout, **options):
    """Return status and body of a response; 599 when there is none."""
    try:
        response = await AsyncHTTPClient().fetch(
            url,
            raise_error=False,
            connect_timeout=timeout,
            request_timeout=timeout,
            **options,
        )
    except (HTTPError, OSError):
        return NO_RESPONSE, b''
    return response.code, response.body


def find_violations(calls, targets, operator):
    """Describe each guarantee whose violation the calls or targets show.

    Those that the operator has found are included.
    """
    runs = Counter(flow for target in targets for flow in set(target.ran))
    served = {
        flow: name
        for target in targets
        for flow, name in target.served_as.items()
    }
    forgotten = set().union(*(target.forgotten for target in targets))
    violations = list(operator.violations)
    violations += [
        f'{name} received a packet from port {port} for another service'
        for target in targets
        for name, port in target.misrouted
    ]
    for call in calls:
        name = f'call from {call.port} to {call.service}'
        flow = call.port, call.number
        if runs[flow] > 1:
            violations.append(f'{name} ran at {runs[flow]} targets')
        if call.outcome == 'refused' and runs[flow]:
            violations.append(f'{name} was refused and yet ran at a target')
        gone = (call.port, call.sequence) in forgotten
        if call.outcome == 'broken' and not gone:
            violations.append(f'{name} was reset after its handshake')
        if call.outcome == 'answered' and call.answer[:1] != call.service:
            violations.append(
                f'{name} was answered by another service: {call.answer}'
            )
        if served.get(flow, call.service)[:1] != call.service:
            violations.append(f'{name} ran at another service: {served[flow]}')
    return violations

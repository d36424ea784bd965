"""Simulation of callers, balancers, agents, targets and their network."""

from __future__ import annotations

from collections import Counter
import heapq
from itertools import count
from random import Random
import struct

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.passthrough.actions import DeliverToCaller
from pistachiohook_core.passthrough.actions import DeliverToTarget
from pistachiohook_core.passthrough.actions import Log
from pistachiohook_core.passthrough.actions import ResetCaller
from pistachiohook_core.passthrough.actions import Send
from pistachiohook_core.passthrough.agent import Agent
from pistachiohook_core.passthrough.agent_state import TargetAnnouncement
from pistachiohook_core.passthrough.balancer import Balancer
from pistachiohook_core.passthrough.messages import FLOW_CODEC
from pistachiohook_core.passthrough.messages import LoadReport
from pistachiohook_core.passthrough.placement import find_report_intervals
from pistachiohook_core.passthrough.routes import add_former_services
from pistachiohook_core.passthrough.routes import build_table
from pistachiohook_core.passthrough.routes import Route
from pistachiohook_core.passthrough.routes import RouteSet
from pistachiohook_core.passthrough.routes import Share
from pistachiohook_core.passthrough.segments import make_flow
from pistachiohook_core.passthrough.segments import Segment
from pistachiohook_core.passthrough.segments import SegmentFormat

HEADER = struct.Struct('!12sBIIH')
OPENS, ACCEPTS, ENDS, RESETS, RETURNED = 1, 2, 4, 8, 16
ENTRY = Address('198.18.0.1', 443)
URGENT = Address('198.18.0.1', 8080)
ENTRY_NUMBER = 0xC6120001
#: One-way latency within a zone, between zones and to callers.
LOCAL_MS, REMOTE_MS, CALLER_MS = 0.2, 1.4, 1.0
#: When a caller retransmits its opening packet, and when it gives up, in
#: seconds after the first transmission.
RETRANSMISSIONS = (0.2, 0.6)
GIVE_UP = 1.4
#: Delay before a caller retries.
RETRY_S = 0.002


def encode(flow, flags, sequence=0, acknowledged=0, length=0):
    return HEADER.pack(flow, flags, sequence, acknowledged, length)


def decode(packet):
    if len(packet) != HEADER.size:
        return None
    flow, flags, sequence, acknowledged, length = HEADER.unpack(packet)
    return Segment(
        flow,
        bool(flags & OPENS),
        bool(flags & ACCEPTS),
        bool(flags & ENDS),
        bool(flags & RESETS),
        bool(flags & RETURNED),
        sequence,
        acknowledged,
        length,
        packet,
    )


def restore(packet):
    flags = packet[12] & ~RETURNED
    return packet[:12] + bytes((flags,)) + packet[13:]


SEGMENT_FORMAT = SegmentFormat(
    decode,
    decode,
    restore,
    lambda flow, sequence: encode(flow, RESETS, sequence),
)


@attrs.define(eq=False)
class Target:
    """A target that serves requests in order of arrival, one in each slot."""

    slots: int = 2
    queue_max: int = 1000
    alive: bool = True
    service_s: float = 0.05
    numbers: object = attrs.field(factory=lambda: count(1000))
    flows: dict = attrs.field(factory=dict)
    running: int = 0
    queue: list = attrs.field(factory=list)
    opened: int = 0
    shed: int = 0
    runs: Counter = attrs.field(factory=Counter)
    unknown_flow_packets: int = 0


@attrs.define(eq=False)
class Attempt:
    """One flow of a caller with one request."""

    flow: bytes
    balancer: str
    began_at: float
    work_s: float | None = None
    opened_at: float | None = None
    accepted: int = 0
    ended_at: float | None = None
    outcome: str = ''
    urgent: bool = False
    deadline: float = float('inf')
    retries: int = 0
    retry: object = None
    #: Sequence number of the reset that ended it.
    reset_sequence: int | None = None


@attrs.define(eq=False)
class Mesh:
    """Simulated processes and the messages in flight between them."""

    now: float = 0.0
    events: list = attrs.field(factory=list)
    order: object = attrs.field(factory=count)
    balancers: dict = attrs.field(factory=dict)
    agents: dict = attrs.field(factory=dict)
    targets: dict = attrs.field(factory=dict)
    zones: dict = attrs.field(factory=dict)
    attempts: dict = attrs.field(factory=dict)
    logs: list = attrs.field(factory=list)
    ports: object = attrs.field(factory=lambda: count(10_000))
    disconnected: set = attrs.field(factory=set)
    is_lost: object = None
    version: int = 0
    route_set: RouteSet | None = None
    accept_s: float = 0.0
    #: Number of messages sent from one zone to another.
    messages_between_zones: int = 0
    #: Number of messages sent by each process.
    messages_from: Counter = attrs.field(factory=Counter)
    #: Number of times that each agent has checked its flows.
    expiries: Counter = attrs.field(factory=Counter)
    #: Start of each agent and the deadline that its timer is set to.
    timers: dict = attrs.field(factory=dict)
    #: Fraction of each 100 ms period in which balancers run; 0 for all of it.
    cpu_share: float = 0.0
    #: Whether callers drop answers with the sequence number of another flow.
    checks_sequence: bool = True
    #: When each paused process resumes.
    paused_until: dict = attrs.field(factory=dict)

    def at(self, time, action, *arguments):
        heapq.heappush(
            self.events, (time, next(self.order), action, arguments)
        )

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = end

    def set_routes(self, *services, idle_timeout_ms=15_000, cold_rates=()):
        self.version += 1
        shares = tuple(Share(service) for service in services)
        routes = (
            Route('r', ENTRY, shares, 1500, 275, 2),
            Route('u', URGENT, shares, 1500, 275, 1),
        )
        routes = routes if services else ()
        route_set = RouteSet(
            self.version, services, routes, idle_timeout_ms, cold_rates
        )
        if self.route_set is not None:
            route_set = add_former_services(route_set, self.route_set)
        self.route_set = route_set
        table = build_table(route_set)
        for name, balancer in self.balancers.items():
            if balancer.set_routes(table):
                self.carry_out(name, balancer.release_held(self.now))

    def add_balancer(self, name, zone):
        seed = len(self.balancers)
        self.balancers[name] = Balancer(zone, SEGMENT_FORMAT, Random(seed))
        self.zones[name] = zone

    def restart_balancer(self, name):
        """Replace a balancer by one that knows its routes alone."""
        table = self.balancers[name].table
        self.balancers[name] = Balancer(
            self.zones[name], SEGMENT_FORMAT, Random(1), started_at=self.now
        )
        self.balancers[name].set_routes(table)

    def add_agent(self, name, zone, service='s', slots=2, **options):
        self.targets[name] = Target(slots=slots, **options)
        self.zones[name] = zone
        self.start_agent(name, service)
        self.announce(name)

    def start_agent(self, name, service='s'):
        agent = Agent(
            service,
            self.zones[name],
            SEGMENT_FORMAT,
            started=int(self.now * 1000) + 1,
            started_at=self.now,
        )
        self.agents[name] = agent
        self.at(self.now, self.report, name, agent)

    def stop_agent(self, name):
        """Stop an agent as planned work does."""
        holders = tuple(map(self.address, self.balancers))
        agent = self.agents[name]
        self.carry_out(
            name, agent.leave_flows(self.address(name), holders, self.now)
        )
        del self.agents[name]

    def stop_balancer(self, name):
        """Let a balancer pass on what it keeps before it stops."""
        kept = self.balancers[name].kept_flows
        self.carry_out(name, kept.pass_on(self.address(name)))

    def announce(
        self, name, started=1, sequence=None, leaving=False, cold_s=0.0
    ):
        view = TargetAnnouncement(
            name,
            started,
            next(self.order) if sequence is None else sequence,
            self.targets[name].slots,
            leaving,
            self.now + cold_s,
        )
        self.agents[name].receive_announcement(view, self.now)

    def report(self, name, agent, remote_at=0.0):
        if self.agents.get(name) is not agent:
            return
        resumption = self.find_resumption(name)
        if resumption is not None:
            self.at(resumption, self.report, name, agent, remote_at)
            return
        local = [
            balancer
            for balancer in self.balancers
            if self.zones[balancer] == self.zones[name]
        ]
        agent.report_intervals = find_report_intervals(
            len(local), len(self.balancers) - len(local)
        )
        load = LoadReport(agent.describe_load(self.now))
        remote = self.now >= remote_at
        if remote:
            remote_at = self.now + agent.report_intervals.remote
        for balancer in self.balancers if remote else local:
            self.send(name, Send(self.address(balancer), load))
        later = self.now + agent.report_intervals.local
        self.at(later, self.report, name, agent, remote_at)

    def expire_agent(self, name, agent):
        resumption = self.find_resumption(name)
        if resumption is not None:
            self.at(resumption, self.expire_agent, name, agent)
            return
        due = agent.find_next_deadline()
        # Timers that were set during a pause fire together after it.
        is_due = due is not None and due <= self.now + 1e-9
        if self.agents.get(name) is agent and is_due:
            self.expiries[name] += 1
            self.carry_out(name, agent.expire(self.now))

    def address(self, name):
        return Address(name, 1)

    def delay(self, one, other):
        local = self.zones[one] == self.zones[other]
        return (LOCAL_MS if local else REMOTE_MS) / 1000

    def send(self, name, action):
        data = FLOW_CODEC.encode(action.message)
        self.messages_from[name] += 1
        receiver = action.address.host
        if {name, receiver} & self.disconnected or receiver not in self.zones:
            return
        if self.is_lost is not None and self.is_lost(name, receiver):
            return
        self.messages_between_zones += self.zones[name] != self.zones[receiver]
        when = self.now + self.delay(name, receiver)
        self.at(when, self.receive, name, receiver, data)

    def receive(self, sender, receiver, data):
        message = FLOW_CODEC.decode(data, sender).unwrap()
        process = self.balancers.get(receiver) or self.agents.get(receiver)
        resumption = self.find_resumption(receiver)
        if resumption is not None:
            # Expired timers run before the messages that arrived meanwhile.
            self.at(resumption + 1e-6, self.receive, sender, receiver, data)
            return
        if process is None or receiver in self.disconnected:
            return
        actions = process.receive_message(
            self.address(sender), message, self.now
        )
        self.carry_out(receiver, actions)

    def carry_out(self, name, actions):
        for action in actions:
            match action:
                case Send():
                    self.send(name, action)
                case ResetCaller(flow, sequence):
                    when = self.now + CALLER_MS / 1000
                    reset = encode(flow, RESETS, sequence)
                    self.at(when, self.receive_at_caller, reset)
                case DeliverToTarget(packet):
                    self.at(self.now, self.deliver_to_target, name, packet)
                case DeliverToCaller(_, packet):
                    self.at(
                        self.now + CALLER_MS / 1000,
                        self.receive_at_caller,
                        packet,
                    )
                case Log(event, fields):
                    self.logs.append((event, fields))
        balancer = self.balancers.get(name)
        due = balancer.find_next_deadline() if balancer is not None else None
        if due is not None:
            self.at(max(due, self.now), self.expire_balancer, name)
        self.set_agent_timer(name)

    def set_agent_timer(self, name):
        agent = self.agents.get(name)
        due = agent.find_next_deadline() if agent is not None else None
        if due is None or self.timers.get(name) == (agent.started, due):
            return
        self.timers[name] = (agent.started, due)
        self.at(max(due, self.now), self.expire_agent, name, agent)

    def find_resumption(self, name):
        """Return when a paused process resumes; ``None`` when it runs."""
        if self.paused_until.get(name, 0.0) > self.now:
            return self.paused_until[name]
        if name not in self.balancers:
            return None
        period = int(self.now * 10 + 1e-6)
        if not self.cpu_share or self.now * 10 - period <= self.cpu_share:
            return None
        return (period + 1) / 10

    def expire_balancer(self, name):
        balancer = self.balancers.get(name)
        resumption = self.find_resumption(name)
        if resumption is not None:
            self.at(resumption, self.expire_balancer, name)
        elif balancer is not None:
            self.carry_out(name, balancer.expire(self.now))

    def deliver_to_target(self, name, packet):
        target = self.targets[name]
        if not target.alive:
            return
        segment = decode(packet)
        if segment.opens:
            when = self.now + self.accept_s
            self.at(when, self.accept, name, target, segment)
            return
        number = target.flows.get(segment.flow)
        ahead = segment.acknowledged - (number or 0)
        if number is None or ahead not in (0, 1):
            target.unknown_flow_packets += 1
            returned = packet[:12] + bytes((packet[12] | RETURNED,))
            self.send_from_target(name, returned + packet[13:])
            return
        if segment.length:
            self.enqueue(name, target, segment)

    def accept(self, name, target, segment):
        if segment.flow not in target.flows:
            target.flows[segment.flow] = next(target.numbers)
            target.opened += 1
        number = target.flows[segment.flow]
        accept = encode(segment.flow, ACCEPTS, number, segment.sequence + 1)
        self.send_from_target(name, accept)

    def enqueue(self, name, target, segment):
        flow = segment.flow
        if target.runs[flow] or flow in target.queue:
            return
        if len(target.queue) >= target.queue_max:
            target.shed += 1
            self.send_answer(name, target, flow, 1)
            return
        target.runs[flow] += 1
        target.queue.append(flow)
        self.serve(name, target)

    def serve(self, name, target):
        while target.queue and target.running < target.slots:
            flow = target.queue.pop(0)
            target.running += 1
            attempt = self.attempts[flow]
            work = attempt.work_s or target.service_s
            self.at(self.now + work, self.finish, name, target, flow)

    def finish(self, name, target, flow):
        target.running -= 1
        if target.alive and flow in target.flows:
            self.send_answer(name, target, flow, 100)
        self.serve(name, target)

    def send_answer(self, name, target, flow, length):
        sequence = target.flows[flow] + 1
        self.send_from_target(name, encode(flow, ENDS, sequence, 0, length))

    def send_from_target(self, name, packet):
        agent = self.agents.get(name)
        resumption = self.find_resumption(name)
        if resumption is not None:
            self.at(resumption + 1e-6, self.send_from_target, name, packet)
        elif agent is not None and name not in self.disconnected:
            self.carry_out(name, agent.receive_packet(packet, self.now))

    def call(
        self,
        balancer,
        work_s=None,
        urgent=False,
        deadline=float('inf'),
        retries=0,
    ):
        port = (URGENT if urgent else ENTRY).port
        flow = make_flow(1, next(self.ports), ENTRY_NUMBER, port)
        attempt = Attempt(
            flow,
            balancer,
            self.now,
            work_s,
            urgent=urgent,
            deadline=deadline,
            retries=retries,
        )
        if deadline < float('inf'):
            self.at(deadline, self.miss_deadline, attempt)
        self.attempts[flow] = attempt
        self.send_opening(attempt, 0)
        for number, wait in enumerate(RETRANSMISSIONS, 1):
            self.at(self.now + wait, self.send_opening, attempt, number)
        self.at(self.now + GIVE_UP, self.give_up, attempt)
        return attempt

    def send_opening(self, attempt, number):
        if attempt.opened_at is None and not attempt.outcome:
            self.send_to_balancer(
                attempt, encode(attempt.flow, OPENS, 7, number)
            )

    def give_up(self, attempt):
        if attempt.opened_at is None and not attempt.outcome:
            attempt.outcome = 'gave up'
            attempt.ended_at = self.now
            self.schedule_retry(attempt)

    def miss_deadline(self, attempt):
        if not attempt.outcome:
            attempt.outcome = 'missed'
            attempt.ended_at = self.now

    def schedule_retry(self, attempt):
        """Retry, as callers do whose flow was not opened."""
        if attempt.retries:
            self.at(self.now + RETRY_S, self.retry, attempt)

    def retry(self, attempt):
        if self.now < attempt.deadline:
            attempt.retry = self.call(
                attempt.balancer,
                attempt.work_s,
                attempt.urgent,
                attempt.deadline,
                attempt.retries - 1,
            )

    def find_last_attempt(self, attempt):
        """Return the last attempt of a call."""
        return (
            self.find_last_attempt(attempt.retry) if attempt.retry else attempt
        )

    def send_to_balancer(self, attempt, packet):
        when = self.now + CALLER_MS / 1000
        self.at(when, self.receive_at_balancer, attempt.balancer, packet)

    def receive_at_balancer(self, name, packet):
        balancer = self.balancers.get(name)
        resumption = self.find_resumption(name)
        if resumption is not None:
            self.at(resumption + 1e-6, self.receive_at_balancer, name, packet)
        elif balancer is not None and name not in self.disconnected:
            actions = balancer.receive_packet(packet, self.now)
            self.carry_out(name, actions)

    def receive_at_caller(self, packet):
        segment = decode(packet)
        attempt = self.attempts[segment.flow]
        if attempt.outcome:
            return
        if segment.resets:
            broken = attempt.opened_at is not None
            attempt.outcome = 'broken' if broken else 'refused'
            attempt.reset_sequence = segment.sequence
            attempt.ended_at = self.now
            if not broken:
                self.schedule_retry(attempt)
        elif segment.accepts and attempt.opened_at is None:
            attempt.opened_at = self.now
            attempt.accepted = segment.sequence
            self.request(attempt)
        elif (
            segment.ends
            and attempt.opened_at is not None
            and (
                not self.checks_sequence
                or segment.sequence == attempt.accepted + 1
            )
        ):
            shed = segment.length == 1
            attempt.outcome = 'shed' if shed else 'answered'
            attempt.ended_at = self.now
            self.send_subsequent(attempt, ENDS, 0)

    def request(self, attempt, timeout=0.2):
        """Send the request and retransmit it until it is answered."""
        if attempt.outcome:
            return
        self.send_subsequent(attempt, 0, 50)
        self.at(self.now + timeout, self.request, attempt, timeout * 2)

    def send_subsequent(self, attempt, flags, length):
        packet = encode(attempt.flow, flags, 8, attempt.accepted + 1, length)
        self.send_to_balancer(attempt, packet)

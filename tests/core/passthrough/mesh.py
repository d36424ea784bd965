"""Callers, balancers, agents and targets on virtual time and network."""

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
from pistachiohook_core.passthrough.agent import TargetAnnouncement
from pistachiohook_core.passthrough.balancer import Balancer
from pistachiohook_core.passthrough.messages import FLOW_CODEC
from pistachiohook_core.passthrough.messages import LoadReport
from pistachiohook_core.passthrough.placement import REPORT_INTERVAL
from pistachiohook_core.passthrough.placement import REPORTS_PER_REMOTE_REPORT
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
NEAR_MS, FAR_MS, CALLER_MS = 0.2, 1.4, 1.0
#: When a caller repeats its opening packet, and when it gives up.
REPEATS = (0.2, 0.6)
GIVE_UP = 1.4
#: Pause of a caller before it tries again.
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


FORM = SegmentFormat(
    decode, decode, restore, lambda flow: encode(flow, RESETS)
)


@attrs.define(eq=False)
class Target:
    """A target that runs what it has slots for, in order of arrival."""

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
    foreign: int = 0


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
    again: object = None


@attrs.define(eq=False)
class Mesh:
    """Everything, and the messages under way between them."""

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
    cut: set = attrs.field(factory=set)
    lost: object = None
    version: int = 0
    accept_s: float = 0.0
    #: Messages sent from one zone to another.
    crossed: int = 0
    #: Part of each tenth of a second that each balancer gets; 0 for all of it.
    share: float = 0.0
    #: When each process that stands still wakes up.
    wakes: dict = attrs.field(factory=dict)

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

    def set_routes(self, *services, idle_timeout_ms=15_000):
        self.version += 1
        shares = tuple(Share(service) for service in services)
        routes = (
            Route('r', ENTRY, shares, 1500, 275, 2),
            Route('u', URGENT, shares, 1500, 275, 1),
        )
        routes = routes if services else ()
        table = build_table(
            RouteSet(self.version, services, routes, idle_timeout_ms)
        )
        for balancer in self.balancers.values():
            balancer.set_routes(table)

    def add_balancer(self, name, zone):
        seed = len(self.balancers)
        self.balancers[name] = Balancer(zone, FORM, Random(seed))
        self.zones[name] = zone

    def add_agent(self, name, zone, service='s', slots=2, **options):
        self.targets[name] = Target(slots=slots, **options)
        self.zones[name] = zone
        self.start_agent(name, service)
        self.beat(name)

    def start_agent(self, name, service='s'):
        agent = Agent(
            service,
            self.zones[name],
            FORM,
            started=int(self.now * 1000) + 1,
            started_at=self.now,
        )
        self.agents[name] = agent
        self.at(self.now, self.report, name, agent)
        self.at(self.now, self.expire_agent, name, agent)

    def beat(self, name, born=1, sequence=None, leaving=False):
        view = TargetAnnouncement(
            name,
            born,
            next(self.order) if sequence is None else sequence,
            self.targets[name].slots,
            leaving,
            0.0,
        )
        self.agents[name].receive_announcement(view, self.now)

    def report(self, name, agent, turn=0):
        if self.agents.get(name) is not agent:
            return
        wake = self.find_wake(name)
        if wake is not None:
            self.at(wake, self.report, name, agent, turn)
            return
        load = LoadReport(agent.describe_load(self.now))
        far = not turn % REPORTS_PER_REMOTE_REPORT
        for balancer in self.balancers:
            if far or self.zones[balancer] == self.zones[name]:
                self.send(name, Send(self.address(balancer), load))
        later = self.now + REPORT_INTERVAL
        self.at(later, self.report, name, agent, turn + 1)

    def expire_agent(self, name, agent):
        wake = self.find_wake(name)
        if wake is not None:
            self.at(wake, self.expire_agent, name, agent)
        elif self.agents.get(name) is agent:
            self.carry_out(name, agent.expire(self.now))
            self.at(self.now + 0.025, self.expire_agent, name, agent)

    def address(self, name):
        return Address(name, 1)

    def delay(self, one, other):
        near = self.zones[one] == self.zones[other]
        return (NEAR_MS if near else FAR_MS) / 1000

    def send(self, name, action):
        data = FLOW_CODEC.encode(action.message)
        receiver = action.address.host
        if {name, receiver} & self.cut or receiver not in self.zones:
            return
        if self.lost is not None and self.lost(name, receiver):
            return
        self.crossed += self.zones[name] != self.zones[receiver]
        when = self.now + self.delay(name, receiver)
        self.at(when, self.receive, name, receiver, data)

    def receive(self, sender, receiver, data):
        message = FLOW_CODEC.decode(data, sender).unwrap()
        process = self.balancers.get(receiver) or self.agents.get(receiver)
        wake = self.find_wake(receiver)
        if wake is not None:
            # What is due is looked at before what has come meanwhile.
            self.at(wake + 1e-6, self.receive, sender, receiver, data)
            return
        if process is None or receiver in self.cut:
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
                case ResetCaller(flow):
                    when = self.now + CALLER_MS / 1000
                    self.at(when, self.hear, encode(flow, RESETS))
                case DeliverToTarget(packet):
                    self.at(self.now, self.reach_target, name, packet)
                case DeliverToCaller(_, packet):
                    self.at(self.now + CALLER_MS / 1000, self.hear, packet)
                case Log(event, fields):
                    self.logs.append((event, fields))
        balancer = self.balancers.get(name)
        due = balancer.find_next_deadline() if balancer is not None else None
        if due is not None:
            self.at(max(due, self.now), self.expire_balancer, name)

    def find_wake(self, name):
        """Return when a process that stands still runs again."""
        if self.wakes.get(name, 0.0) > self.now:
            return self.wakes[name]
        if name not in self.balancers:
            return None
        period = int(self.now * 10 + 1e-6)
        if not self.share or self.now * 10 - period <= self.share:
            return None
        return (period + 1) / 10

    def expire_balancer(self, name):
        balancer = self.balancers.get(name)
        wake = self.find_wake(name)
        if wake is not None:
            self.at(wake, self.expire_balancer, name)
        elif balancer is not None:
            self.carry_out(name, balancer.expire(self.now))

    def reach_target(self, name, packet):
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
            target.foreign += 1
            returned = packet[:12] + bytes((packet[12] | RETURNED,))
            self.leave_target(name, returned + packet[13:])
            return
        if segment.length:
            self.enqueue(name, target, segment.flow)

    def accept(self, name, target, segment):
        if segment.flow not in target.flows:
            target.flows[segment.flow] = next(target.numbers)
            target.opened += 1
        number = target.flows[segment.flow]
        self.leave_target(name, encode(segment.flow, ACCEPTS, number))

    def enqueue(self, name, target, flow):
        if target.runs[flow] or flow in target.queue:
            return
        if len(target.queue) >= target.queue_max:
            target.shed += 1
            self.leave_target(name, encode(flow, ENDS, 1, 0, 1))
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
            self.leave_target(name, encode(flow, ENDS, 1, 0, 100))
        self.serve(name, target)

    def leave_target(self, name, packet):
        agent = self.agents.get(name)
        wake = self.find_wake(name)
        if wake is not None:
            self.at(wake + 1e-6, self.leave_target, name, packet)
        elif agent is not None and name not in self.cut:
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
            self.at(deadline, self.miss, attempt)
        self.attempts[flow] = attempt
        self.open(attempt, 0)
        for number, wait in enumerate(REPEATS, 1):
            self.at(self.now + wait, self.open, attempt, number)
        self.at(self.now + GIVE_UP, self.give_up, attempt)
        return attempt

    def open(self, attempt, number):
        if attempt.opened_at is None and not attempt.outcome:
            self.to_balancer(attempt, encode(attempt.flow, OPENS, 7, number))

    def give_up(self, attempt):
        if attempt.opened_at is None and not attempt.outcome:
            attempt.outcome = 'gave up'
            attempt.ended_at = self.now
            self.retry(attempt)

    def miss(self, attempt):
        if not attempt.outcome:
            attempt.outcome = 'missed'
            attempt.ended_at = self.now

    def retry(self, attempt):
        """Try again, as callers do whose flow has not opened."""
        if attempt.retries:
            self.at(self.now + RETRY_S, self.call_again, attempt)

    def call_again(self, attempt):
        if self.now < attempt.deadline:
            attempt.again = self.call(
                attempt.balancer,
                attempt.work_s,
                attempt.urgent,
                attempt.deadline,
                attempt.retries - 1,
            )

    def find_end(self, attempt):
        """Return the last try of a call."""
        return self.find_end(attempt.again) if attempt.again else attempt

    def to_balancer(self, attempt, packet):
        when = self.now + CALLER_MS / 1000
        self.at(when, self.enter, attempt.balancer, packet)

    def enter(self, name, packet):
        balancer = self.balancers.get(name)
        wake = self.find_wake(name)
        if wake is not None:
            self.at(wake + 1e-6, self.enter, name, packet)
        elif balancer is not None and name not in self.cut:
            actions = balancer.receive_packet(packet, self.now)
            self.carry_out(name, actions)

    def hear(self, packet):
        segment = decode(packet)
        attempt = self.attempts[segment.flow]
        if attempt.outcome:
            return
        if segment.resets:
            broken = attempt.opened_at is not None
            attempt.outcome = 'broken' if broken else 'refused'
            attempt.ended_at = self.now
            if not broken:
                self.retry(attempt)
        elif segment.accepts and attempt.opened_at is None:
            attempt.opened_at = self.now
            attempt.accepted = segment.sequence
            self.request(attempt)
        elif segment.ends and attempt.opened_at is not None:
            shed = segment.length == 1
            attempt.outcome = 'shed' if shed else 'answered'
            attempt.ended_at = self.now
            self.go_on(attempt, ENDS, 0)

    def request(self, attempt, repeat=0.2):
        """Send the request, again and again until it is answered."""
        if attempt.outcome:
            return
        self.go_on(attempt, 0, 50)
        self.at(self.now + repeat, self.request, attempt, repeat * 2)

    def go_on(self, attempt, flags, length):
        packet = encode(attempt.flow, flags, 8, attempt.accepted + 1, length)
        self.to_balancer(attempt, packet)

"""Agents and balancers of two services, with the datagrams between them."""

from __future__ import annotations

from collections import Counter

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.published import Published
from pistachiohook_core.published import Service
from pistachiohook_core.published import Target
from pistachiohook_core.published import TargetState
from pistachiohook_core.steering.balancer import BalancerRouter
from pistachiohook_core.steering.balancer import Forward
from pistachiohook_core.steering.flow_messages import AbandonFlow
from pistachiohook_core.steering.flow_messages import Deliver
from pistachiohook_core.steering.flow_messages import Drop
from pistachiohook_core.steering.flow_messages import EnvelopeReceived
from pistachiohook_core.steering.flow_messages import Flow
from pistachiohook_core.steering.flow_messages import FlowEstablished
from pistachiohook_core.steering.flow_messages import MessageReceived
from pistachiohook_core.steering.flow_messages import PublishedChanged
from pistachiohook_core.steering.flow_messages import SendEnvelope
from pistachiohook_core.steering.flow_messages import SendMessage
from pistachiohook_core.steering.flow_messages import SendReset
from pistachiohook_core.steering.flow_messages import Tick
from pistachiohook_core.steering.flows import AgentRouter
from pistachiohook_core.steering.flows import HOPS_MAX

SERVICES = (
    Service('intake', 2, (Address('10.9.0.2', 443),)),
    Service('soapfloor', 1, (Address('10.9.0.1', 443),)),
)
ENTRIES = {service.name: service.addresses[0] for service in SERVICES}
NUMBERS = {service.name: service.number for service in SERVICES}
OPENING = bytes.fromhex('c00000000108').ljust(1200, b'\0')
DATAGRAM = b'\x40' + b'x' * 40
STEP = 0.05


@attrs.define
class Agent:
    """One start of an agent, its engine's flows, and what it has applied."""

    target: Target
    owner: AgentRouter
    engine: set = attrs.field(factory=set)
    applied: int = 0
    lagging: bool = False


@attrs.define
class Mesh:
    """Agents by address; each datagram and message waits to be carried."""

    now: float = 100.0
    published: Published = attrs.field(
        factory=lambda: Published(1, 1, SERVICES)
    )
    history: list = attrs.field(factory=list)
    agents: dict = attrs.field(factory=dict)
    routers: list = attrs.field(factory=list)
    lagging_routers: set = attrs.field(factory=set)
    waiting: list = attrs.field(factory=list)
    lost: set = attrs.field(factory=set)
    frozen: set = attrs.field(factory=set)
    delivered: list = attrs.field(factory=list)
    closed: list = attrs.field(factory=list)
    abandoned: list = attrs.field(factory=list)
    drops: Counter = attrs.field(factory=Counter)
    starts: int = 0

    def __attrs_post_init__(self):
        self.history.append(self.published)
        self.routers = [
            BalancerRouter(Address(f'10.2.0.{n}', 5000), self.published)
            for n in (1, 2)
        ]

    def publish(self, targets):
        self.published = attrs.evolve(
            self.published,
            revision=self.published.revision + 1,
            targets=tuple(sorted(targets, key=lambda one: one.name)),
        )
        self.history.append(self.published)

    def spread(self):
        """Let everybody but those that lag apply what is published."""
        for number in range(len(self.routers)):
            if number not in self.lagging_routers:
                self.routers[number].apply_published(self.published)
        for agent in list(self.agents.values()):
            if not agent.lagging and agent.target.name not in self.frozen:
                self.apply_at(agent, self.published)

    def apply_at(self, agent, published):
        agent.applied = max(agent.applied, published.revision)
        self.feed(agent, PublishedChanged(published))

    def start(self, name, service='soapfloor', host=None):
        """Start an agent; it announces itself with its next publication."""
        self.starts += 1
        host = host or f'10.3.0.{ord(name[0])}'
        target = Target(
            name,
            service,
            'lautoka-a',
            Address(host, 6000),
            Address(host, 6001),
            self.starts,
            4,
        )
        owner = AgentRouter(service, name, target.agent, self.starts)
        self.agents[target.agent] = Agent(target, owner)
        return target

    def find_agent(self, name):
        return next(
            agent
            for agent in self.agents.values()
            if agent.target.name == name
        )

    def join(self, name, service='soapfloor', host=None):
        target = self.start(name, service, host)
        self.publish([*self.without(name), target])

    def leave(self, name):
        self.agents = {
            address: agent
            for address, agent in self.agents.items()
            if agent.target.name != name
        }
        self.publish(self.without(name))

    def drain(self, name):
        target = attrs.evolve(
            self.find_agent(name).target, state=TargetState.DRAINING
        )
        self.publish([*self.without(name), target])

    def without(self, name):
        return [one for one in self.published.targets if one.name != name]

    def send(self, flow, payload, router=0):
        """Let a caller's datagram come to a balancer."""
        found = self.routers[router].route(flow.caller, flow.entry, payload)
        if isinstance(found, Forward):
            self.waiting.append(SendEnvelope(found.agent, found.envelope))
        else:
            self.drops[found] += 1

    def carry(self, index=0):
        """Carry one waiting datagram or message to its receiver."""
        item = self.waiting.pop(index)
        if type(item) in self.lost:
            return
        if isinstance(item, SendEnvelope):
            agent = self.agents.get(item.address)
            event = EnvelopeReceived(item.envelope)
        else:
            link = attrs.evolve(item.link, port=6000)
            agent = self.agents.get(link)
            event = MessageReceived(item.message)
        if agent is not None and agent.target.name not in self.frozen:
            self.feed(agent, event)

    def carry_all(self):
        while self.waiting:
            self.carry()

    def pass_time(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for agent in list(self.agents.values()):
                if agent.target.name not in self.frozen:
                    self.feed(agent, Tick())
            self.carry_all()

    def feed(self, agent, event):
        for action in agent.owner.handle(event, self.now):
            self.act(agent, action)

    def act(self, agent, action):
        match action:
            case SendEnvelope(envelope=envelope):
                assert envelope.hops <= HOPS_MAX, envelope
                self.waiting.append(action)
            case SendMessage():
                self.waiting.append(action)
            case Deliver(flow, payload):
                self.deliver(agent, flow, payload)
            case AbandonFlow(flow):
                agent.engine.discard(flow)
                self.abandoned.append((agent.target, flow))
            case SendReset(flow):
                self.closed.append(flow)
            case Drop(reason):
                self.drops[reason] += 1

    def deliver(self, agent, flow, payload):
        service = agent.target.service
        assert ENTRIES[service] == flow.entry, (service, flow)
        self.delivered.append((agent.target, flow))
        if payload == OPENING:
            agent.engine.add(flow)

    def confirm(self, agent, flow):
        self.feed(agent, FlowEstablished(flow))

    def find_holders(self, flow):
        return [
            agent.target
            for agent in self.agents.values()
            if flow in agent.engine
        ]

    def send_and_watch(self, flow, payload=DATAGRAM, router=0, patience=0.0):
        """Return who gets a datagram: targets' names, or ``closed``."""
        before = len(self.delivered), len(self.closed)
        self.send(flow, payload, router)
        self.carry_all()
        self.pass_time(patience)
        names = [target.name for target, _ in self.delivered[before[0] :]]
        closes = ['closed' for _ in self.closed[before[1] :]]
        return [*names, *closes]


def make_flow(number, service='soapfloor'):
    caller = Address(f'10.1.0.{number % 250}', 20000 + number)
    return Flow(caller, ENTRIES[service])

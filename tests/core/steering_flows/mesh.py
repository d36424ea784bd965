"""Simulated agents and balancers of two services, and their network."""

from __future__ import annotations

from collections import Counter

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.published import PublishedState
from pistachiohook_core.published import Service
from pistachiohook_core.published import Target
from pistachiohook_core.published import TargetState
from pistachiohook_core.steering.balancer import BalancerRouter
from pistachiohook_core.steering.balancer import Forward
from pistachiohook_core.steering.flow_messages import AbandonFlow
from pistachiohook_core.steering.flow_messages import Deliver
from pistachiohook_core.steering.flow_messages import Drop
from pistachiohook_core.steering.flow_messages import EnvelopeReceived
from pistachiohook_core.steering.flow_messages import FlowEstablished
from pistachiohook_core.steering.flow_messages import FlowKey
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
    """An agent in one incarnation, with a fake QUIC engine.

    :param target: its target
    :param router: its router
    :param engine: flows that the engine holds
    :param applied: newest published revision that it has applied
    :param lagging: whether it applies nothing newly published
    """

    target: Target
    router: AgentRouter
    engine: set = attrs.field(factory=set)
    applied: int = 0
    lagging: bool = False


@attrs.define
class Mesh:
    """A virtual network between agents and balancers, with its own clock.

    Datagrams and messages stay in transit until :meth:`carry` delivers them.

    :param now: virtual time in seconds
    :param published: published state
    :param history: all published states
    :param agents: running agents by the address of their envelopes
    :param routers: balancers 1 and 2
    :param lagging_routers: indexes of the balancers that apply nothing newly
        published
    :param waiting: datagrams and messages in transit
    :param lost: types of actions whose datagrams or messages are lost
    :param paused: names of the targets whose agents process no event
    :param delivered: target and flow of each datagram passed to an engine
    :param closed: flows whose callers were sent a stateless reset
    :param abandoned: target and flow of each flow that was abandoned
    :param drops: number of dropped datagrams and messages by reason
    :param starts: number of started agents, also the last incarnation
    """

    now: float = 100.0
    published: PublishedState = attrs.field(
        factory=lambda: PublishedState(1, 1, SERVICES)
    )
    history: list = attrs.field(factory=list)
    agents: dict = attrs.field(factory=dict)
    routers: list = attrs.field(factory=list)
    lagging_routers: set = attrs.field(factory=set)
    waiting: list = attrs.field(factory=list)
    lost: set = attrs.field(factory=set)
    paused: set = attrs.field(factory=set)
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
        """Apply the published state at all nodes that do not lag or pause."""
        for number in range(len(self.routers)):
            if number not in self.lagging_routers:
                self.routers[number].apply_published(self.published)
        for agent in list(self.agents.values()):
            if not agent.lagging and agent.target.name not in self.paused:
                self.apply_at(agent, self.published)

    def apply_at(self, agent, published):
        agent.applied = max(agent.applied, published.revision)
        self.process(agent, PublishedChanged(published))

    def start(self, name, service='soapfloor', host=None):
        """Start an agent without publishing its target; return the target."""
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
        router = AgentRouter(service, name, target.agent, self.starts)
        self.agents[target.agent] = Agent(target, router)
        return target

    def find_agent(self, name):
        return next(
            agent
            for agent in self.agents.values()
            if agent.target.name == name
        )

    def join(self, name, service='soapfloor', host=None):
        target = self.start(name, service, host)
        self.publish([*self.list_others(name), target])

    def leave(self, name):
        self.agents = {
            address: agent
            for address, agent in self.agents.items()
            if agent.target.name != name
        }
        self.publish(self.list_others(name))

    def drain(self, name):
        target = attrs.evolve(
            self.find_agent(name).target, state=TargetState.DRAINING
        )
        self.publish([*self.list_others(name), target])

    def list_others(self, name):
        return [one for one in self.published.targets if one.name != name]

    def send(self, flow, payload, router=0):
        """Send a caller's datagram through a balancer."""
        found = self.routers[router].route(flow.caller, flow.entry, payload)
        if isinstance(found, Forward):
            self.waiting.append(SendEnvelope(found.agent, found.envelope))
        else:
            self.drops[found] += 1

    def carry(self, index=0):
        """Deliver one datagram or message in transit to its receiver."""
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
        if agent is not None and agent.target.name not in self.paused:
            self.process(agent, event)

    def carry_all(self):
        while self.waiting:
            self.carry()

    def pass_time(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for agent in list(self.agents.values()):
                if agent.target.name not in self.paused:
                    self.process(agent, Tick())
            self.carry_all()

    def process(self, agent, event):
        for action in agent.router.handle(event, self.now):
            self.perform(agent, action)

    def perform(self, agent, action):
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
        self.process(agent, FlowEstablished(flow))

    def find_holders(self, flow):
        return [
            agent.target
            for agent in self.agents.values()
            if flow in agent.engine
        ]

    def send_and_watch(self, flow, payload=DATAGRAM, router=0, patience=0.0):
        """Send a caller's datagram; return what comes of it.

        :param patience: virtual time that passes before the result, in seconds
        :returns: names of the targets that got a datagram, and ``reset`` for
            each reset
        """
        before = len(self.delivered), len(self.closed)
        self.send(flow, payload, router)
        self.carry_all()
        self.pass_time(patience)
        names = [target.name for target, _ in self.delivered[before[0] :]]
        resets = ['reset' for _ in self.closed[before[1] :]]
        return [*names, *resets]


def make_flow(number, service='soapfloor'):
    caller = Address(f'10.1.0.{number % 250}', 20000 + number)
    return FlowKey(caller, ENTRIES[service])

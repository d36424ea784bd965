"""Simulated control instances and nodes on a virtual clock."""

from __future__ import annotations

from random import Random

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.configuration.commands import Change
from pistachiohook_core.configuration.commands import Members
from pistachiohook_core.configuration.objects import ObjectSet
from pistachiohook_core.configuration.objects import PolicyObject
from pistachiohook_core.configuration.objects import ServiceObject
from pistachiohook_core.configuration.state import apply
from pistachiohook_core.configuration.state import decode_state
from pistachiohook_core.configuration.state import encode_state
from pistachiohook_core.membership.leases import LeaseTable
from pistachiohook_core.membership.server import SendUpdate
from pistachiohook_core.membership.server import SubscriptionServer
from pistachiohook_core.membership.subscription import Apply
from pistachiohook_core.membership.subscription import Connect
from pistachiohook_core.membership.subscription import Send
from pistachiohook_core.membership.subscription import Subscription
from pistachiohook_core.membership.subscription import Tick
from pistachiohook_core.membership.subscription import UpdateReceived
from pistachiohook_core.published import Target
from pistachiohook_core.subscription_messages import Heartbeat

STEP = 0.1


@attrs.define(eq=False)
class Control:
    """A control instance; :class:`World` replaces its replicator.

    :param paused: whether its process is paused
    :param isolated: whether it is cut off from the other control instances
    :param confirmed_at: time of its last quorum confirmation, in seconds
    """

    name: str
    address: Address
    subscriptions: SubscriptionServer
    up: bool = True
    isolated: bool = False
    paused: bool = False
    confirmed_at: float = 0.0


@attrs.define(eq=False)
class Node:
    """A node and its connection.

    :param cut: names of the control instances that it can't reach
    :param sent: updates that were sent to it
    :param delayed: updates that wait while the node is paused; ``None`` when
        it runs
    :param highest: highest revision that it has applied
    """

    subscription: Subscription
    number: int
    up: bool = True
    cut: set[str] = attrs.field(factory=set)
    control: Control | None = None
    sent: list[object] = attrs.field(factory=list)
    delayed: list[object] | None = None
    highest: int = 0


@attrs.define(eq=False)
class World:
    """All control instances and nodes, and the replicated log.

    :param connects: times at which a node has connected
    :param removed: names of nodes that were removed from the members
    """

    now: float = 0.0
    log: list[object] = attrs.field(factory=list)
    outcomes: dict[str, object] = attrs.field(factory=dict)
    controls: dict[str, Control] = attrs.field(factory=dict)
    nodes: list[Node] = attrs.field(factory=list)
    linearizable: bool = True
    connects: list[float] = attrs.field(factory=list)
    removed: set[str] = attrs.field(factory=set)

    def add_control(self, name):
        address = Address('127.0.0.1', 9000 + len(self.controls))
        subscriptions = SubscriptionServer(name, LeaseTable(name, self.now))
        self.controls[name] = Control(name, address, subscriptions)

    def add_node(self, name, incarnation=1, seed=0):
        target = Target(
            name=name,
            service='a',
            availability_zone='lautoka-a',
            agent=Address('127.0.0.1', 1),
            link=Address('127.0.0.1', 2),
            incarnation=incarnation,
            slots=4,
        )
        subscription = Subscription(
            node=name,
            incarnation=incarnation,
            instances=tuple(c.address for c in self.controls.values()),
            random=Random(f'{name} {seed}'),
            target=target,
        )
        node = Node(subscription, len(self.nodes))
        self.nodes.append(node)
        return node

    def find_node(self, name):
        return next(
            n for n in reversed(self.nodes) if n.subscription.node == name
        )

    def list_connected(self):
        return [c for c in self.controls.values() if c.up and not c.isolated]

    def has_quorum(self):
        return 2 * len(self.list_connected()) > len(self.controls)

    def propose(self, control, command):
        """Append a command to the log if the instance has a quorum."""
        if control.isolated or not control.up or not self.has_quorum():
            return None
        self.log.append(command)
        outcomes = [self.catch_up(c) for c in self.list_connected()]
        return outcomes[0]

    def catch_up(self, control):
        outcome = None
        while control.subscriptions.state.index < len(self.log):
            index = control.subscriptions.state.index
            command = self.log[index]
            before = control.subscriptions.state.members
            transition = apply(control.subscriptions.state, index + 1, command)
            holder = command.holder if isinstance(command, Members) else None
            control.subscriptions.handle_applied(transition, holder, self.now)
            self.removed |= before.keys() - transition.state.members.keys()
            outcome = transition.outcome
        return outcome

    def change(self, change_id=None, base=None):
        """Propose a change of the configuration and return its outcome."""
        connected = self.list_connected()
        if not connected:
            return None
        state = connected[0].subscriptions.state
        name = change_id or f'change {len(self.log)}'
        objects = ObjectSet(
            {'a': ServiceObject((f'10.0.0.1:{name.split()[1]}',), 'p')},
            {},
            {'p': PolicyObject()},
        )
        command = Change(
            name,
            state.configuration if base is None else base,
            objects,
            'ana',
            self.now,
        )
        return self.propose(connected[0], command)

    def restart(self, control):
        """Restart a control instance with the state on its disk."""
        snapshot = encode_state(control.subscriptions.state)
        self.restart_empty(control)
        control.subscriptions.restore(decode_state(snapshot, 'disk').unwrap())

    def restart_empty(self, control):
        """Restart a control instance that has yet to replay its log."""
        control.subscriptions = SubscriptionServer(
            control.name, LeaseTable(control.name, self.now)
        )
        control.up = True

    def advance(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for control in self.controls.values():
                if control.up and not control.paused:
                    self.run_control(control)
            for node in self.nodes:
                if node.up and node.delayed is None:
                    self.run_node(node, Tick())

    def run_control(self, control):
        leader = None
        if not control.isolated and self.has_quorum():
            self.catch_up(control)
            control.confirmed_at = self.now
            leader = self.list_connected()[0].name
        freshness = self.now - control.confirmed_at
        subscriptions = control.subscriptions
        self.deliver(subscriptions.tick(freshness, leader, self.now))
        self.deliver(subscriptions.push_updates(freshness))
        if leader and self.linearizable:
            self.deliver(
                subscriptions.confirm_current(
                    subscriptions.list_unconfirmed(), freshness
                )
            )
        report = subscriptions.make_report(self.now, self.now)
        if report and self.propose(control, report) is not None:
            subscriptions.mark_reported(report)

    def deliver(self, actions):
        for action in actions:
            if isinstance(action, SendUpdate):
                node = self.nodes[action.peer]
                node.sent.append(action.update)
                if node.delayed is not None:
                    node.delayed.append(action.update)
                elif node.up and self.reaches(node):
                    event = UpdateReceived(node.control.address, action.update)
                    self.run_node(node, event)

    def reaches(self, node):
        control = node.control
        return control is not None and control.name not in node.cut

    def run_node(self, node, event):
        for action in node.subscription.handle(event, self.now):
            if isinstance(action, Connect):
                self.connects.append(self.now)
                node.control = next(
                    c
                    for c in self.controls.values()
                    if c.address == action.instance
                )
            elif isinstance(action, Send) and self.reaches(node):
                self.handle_message(node, action.message)
            elif isinstance(action, Apply):
                assert action.published.revision >= node.highest
                node.highest = action.published.revision

    def handle_message(self, node, message):
        control = node.control
        if not control.up or control.paused:
            return
        if not isinstance(message, Heartbeat):
            control.subscriptions.handle_leave(message)
            return
        freshness = self.now - control.confirmed_at
        self.deliver(
            control.subscriptions.handle_heartbeat(
                node.number, message, freshness, self.now
            )
        )

    def cut_all(self, node):
        node.cut = set(self.controls)


def make_world(names):
    """Return a world of control instances with one published service."""
    world = World()
    for name in names:
        world.add_control(name)
    world.change()
    return world

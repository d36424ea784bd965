"""Agents of a ledger on a simulated network and clock."""

from __future__ import annotations

from collections import Counter

import attrs
from pistachiohook_core.requests.history import MembershipHistory
from pistachiohook_core.requests.keys import Member
from pistachiohook_core.requests.ledger_client import Begin
from pistachiohook_core.requests.ledger_client import Grant
from pistachiohook_core.requests.ledger_client import KeyRefusal
from pistachiohook_core.requests.ledger_client import LedgerClient
from pistachiohook_core.requests.ledger_client import LookUp
from pistachiohook_core.requests.ledger_client import RefuseKey
from pistachiohook_core.requests.ledger_client import Replay
from pistachiohook_core.requests.ledger_client import RunEnded
from pistachiohook_core.requests.ledger_messages import LEDGER_CODEC
from pistachiohook_core.requests.ledger_messages import MembershipConfirmed
from pistachiohook_core.requests.ledger_messages import MessageReceived
from pistachiohook_core.requests.ledger_messages import Send
from pistachiohook_core.requests.ledger_messages import Tick
from pistachiohook_core.requests.ledger_replica import LedgerReplica

START = 1_000_000.0
LIFETIME = 600.0
ZONES = ('red', 'green', 'blue')


@attrs.define
class Agent:
    """Client and replica of the ledger at one agent."""

    client: LedgerClient
    replica: LedgerReplica


@attrs.define
class Bench:
    """Agents, the messages in flight between them, and requests' outcomes.

    :param cut: agents on one side of a partition
    :param unconfirmed: agents that control does not reach
    :param requested_after_grant: requests whose key was granted before
    """

    names: tuple
    formed_at: float | None = None
    now: float = START
    revision: int = 0
    agents: dict = attrs.field(factory=dict)
    incarnations: Counter = attrs.field(factory=Counter)
    members: set = attrs.field(factory=set)
    network: list = attrs.field(factory=list)
    cut: set = attrs.field(factory=set)
    unconfirmed: set = attrs.field(factory=set)
    grants: Counter = attrs.field(factory=Counter)
    granted_to: dict = attrs.field(factory=dict)
    answers: dict = attrs.field(factory=dict)
    requests: dict = attrs.field(factory=dict)
    outcomes: dict = attrs.field(factory=dict)
    requested_after_grant: set = attrs.field(factory=set)
    dropped: Counter = attrs.field(factory=Counter)

    def start(self, name):
        """Start an agent without stored state and add it to the members."""
        self.incarnations[name] += 1
        incarnation = self.incarnations[name]
        history = MembershipHistory(LIFETIME, self.formed_at)
        self.agents[name] = Agent(
            LedgerClient(name, incarnation, LIFETIME, history),
            LedgerReplica(
                name, incarnation, self.now, LIFETIME, self.formed_at
            ),
        )
        self.members.add(name)
        self.revision += 1

    def kill(self, name):
        """Kill an agent, which remains a member."""
        self.agents.pop(name, None)

    def leave(self, name):
        """Kill an agent and remove it from the members."""
        self.kill(name)
        self.members.discard(name)
        self.revision += 1

    def read_members(self):
        return tuple(
            sorted(
                Member(
                    name,
                    ZONES[self.names.index(name) % len(ZONES)],
                    self.incarnations[name],
                )
                for name in self.members
            )
        )

    def confirm(self, name):
        """Confirm the current membership to one agent, as control does."""
        read = MembershipConfirmed(
            self.read_members(), self.now, self.revision
        )
        self.feed(name, read)

    def feed(self, name, event):
        """Let an agent handle an event and perform its actions."""
        agent = self.agents.get(name)
        if not agent:
            return
        if isinstance(event, MembershipConfirmed | MessageReceived | Tick):
            for send in agent.replica.handle(event, self.now):
                self.send(name, send)
        for action in agent.client.handle(event, self.now):
            if isinstance(action, Send):
                self.send(name, action)
            else:
                self.record_action(name, action)

    def send(self, name, send):
        data = LEDGER_CODEC.encode(send.message)
        self.network.append((name, send.peer, data))

    def record_action(self, name, action):
        key = self.requests[action.id].key
        match action:
            case Grant(id):
                self.grants[key] += 1
                self.granted_to[key] = name
                self.outcomes[id] = 'granted'
            case Replay(id, answer):
                assert answer == self.answers[key], 'another answer'
                self.outcomes[id] = 'replayed'
            case RefuseKey(id, reason):
                if reason is KeyRefusal.NOT_RUN:
                    assert action.id not in self.requested_after_grant, (
                        'not run, but granted'
                    )
                self.outcomes[id] = reason.value
        assert self.grants[key] <= 1, f'{key} was granted twice'

    def request(self, name, key, body=b'body', kind=Begin, time_left=30.0):
        number = len(self.requests) + 1
        self.requests[number] = kind(number, key, body, self.now + time_left)
        self.outcomes[number] = 'waiting'
        if self.grants[key]:
            self.requested_after_grant.add(number)
        if name in self.agents:
            self.feed(name, self.requests[number])
        return number

    def look_up(self, name, key):
        return self.request(name, key, kind=LookUp)

    def end_run(self, key, answer):
        name = self.granted_to[key]
        self.answers[key] = answer
        self.feed(name, RunEnded(key, answer))

    def exchange(self, random, loss):
        """Deliver the messages in any order; lose and duplicate some."""
        for _ in range(400):
            if not self.network:
                return
            index = random.randrange(len(self.network))
            if random.random() < loss:
                self.network.pop(index)
                continue
            if random.random() < loss / 4:
                self.network.append(self.network[index])
            self.deliver(index)

    def deliver(self, index):
        sender, receiver, data = self.network.pop(index)
        if self.is_cut(sender) == self.is_cut(receiver):
            message = LEDGER_CODEC.decode(data, sender).unwrap()
            self.feed(receiver, MessageReceived(sender, message))
        else:
            self.dropped[sender, receiver] += 1

    def is_cut(self, name):
        return name in self.cut

    def deliver_all(self):
        for _ in range(2000):
            if not self.network:
                return
            self.deliver(0)

    def advance(self, seconds, step=0.5):
        """Advance the clock with confirmations, ticks and all messages."""
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for name in tuple(self.agents):
                if name not in self.unconfirmed:
                    self.confirm(name)
                self.feed(name, Tick())
            self.deliver_all()


def make_bench(count, settled=True):
    """Return a bench whose agents had the membership confirmed for 30 s."""
    bench = Bench(tuple('abcdefgh'[:count]))
    for name in bench.names:
        bench.start(name)
    if settled:
        bench.advance(30.0)
    return bench


def make_key(bench, tag='one', age=0.0):
    return f'{int(bench.now - age)}-random-{tag}'

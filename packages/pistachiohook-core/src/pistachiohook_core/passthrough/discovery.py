"""How nodes find control instances and each other, from seeds alone."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import attrs

from ..addresses import Address
from ..addresses import parse_address
from .messages import Hello
from .messages import Node
from .messages import Welcome

if TYPE_CHECKING:
    from collections.abc import Iterable

_Key = TypeVar('_Key')

#: Role of a balancer in :class:`Hello`.
BALANCER = 'balancer'

#: Role of an agent in :class:`Hello`.
AGENT = 'agent'

#: Role of a control instance in :class:`Hello`.
CONTROL = 'control'

#: Time between two questions to control, in seconds: routes are in force
#: everywhere within a fraction of the 3 s that are allowed.
HELLO_INTERVAL = 0.4

#: The same as long as a node lacks what it needs to serve, in seconds: after
#: a stop of the whole system each moment counts.
HELLO_INTERVAL_LACKING = 0.1

#: Silence after which a control instance no longer lists a node, in seconds:
#: several of its questions lost.
NODE_TIMEOUT = 3.0

#: Time for which an agent keeps a balancer that no control instance lists,
#: in seconds: longer than control needs to restart.
LISTED_TIMEOUT = 12.0

#: Silence after which a control instance that is no seed is forgotten, in
#: seconds.
CONTROL_TIMEOUT = 30.0

#: Silence after which a node asks further control instances, in seconds:
#: two answers lost.
ANSWER_TIMEOUT = 1.0

#: Age of a proof of a quorum from which a node asks further control
#: instances, in milliseconds: a few of a leader's heartbeats.
PROOF_AGE_MAX_MS = 1000

#: Time between two messages of a control instance to the others when it hears
#: the same balancers, in seconds: two may be lost before they forget one.
GOSSIP_INTERVAL = 1.0

#: Time between two questions to all control instances, in seconds.
SURVEY_INTERVAL = 2.0


@attrs.define
class Directory:
    """Nodes that a control instance has heard; nothing of it is durable.

    :param node: the control instance itself
    """

    node: Node
    _balancers: dict[Node, float] = attrs.field(factory=dict)
    _relayed: dict[Node, float] = attrs.field(factory=dict)
    _controls: dict[Node, float] = attrs.field(factory=dict)

    def hear(self, hello: Hello, now: float) -> None:
        """Note who is there."""
        if hello.role == BALANCER:
            self._balancers[hello.node] = now
        elif hello.role == CONTROL and hello.node != self.node:
            self._controls[hello.node] = now
            self._relayed.update(dict.fromkeys(hello.balancers, now))

    def forget(self, now: float) -> None:
        """Forget who has fallen silent."""
        for nodes in (self._balancers, self._relayed, self._controls):
            _drop_old(nodes, now - NODE_TIMEOUT)

    def list_for(
        self, hello: Hello
    ) -> tuple[tuple[Node, ...], tuple[Node, ...]]:
        """Return the control instances and balancers that an answer names."""
        if hello.brief:
            return (), ()
        balancers = self.list_balancers() if hello.role == AGENT else ()
        return self.list_controls(), balancers

    def list_heard(self) -> tuple[Node, ...]:
        """Return the balancers that were heard here."""
        return tuple(self._balancers)

    def list_balancers(self) -> tuple[Node, ...]:
        """Return the balancers that were heard by any control instance."""
        return tuple({**self._relayed, **self._balancers})

    def list_controls(self) -> tuple[Node, ...]:
        """Return the control instances, this one too."""
        return (self.node, *self._controls)


@attrs.define
class Finder:
    """What a node knows of control.

    :param zone: availability zone of the node
    :param seeds: control instances of the settings
    """

    zone: str
    seeds: tuple[Address, ...]
    _welcomes: dict[Address, tuple[Welcome, float]] = attrs.field(factory=dict)
    _controls: dict[Address, float] = attrs.field(factory=dict)
    _balancers: dict[Node, float] = attrs.field(factory=dict)
    _surveyed_at: float = float('-inf')

    def hear(
        self, sender: Address, welcome: Welcome, now: float
    ) -> tuple[Node, ...]:
        """Take the answer of a control instance.

        :returns: balancers that were not known, such as one that started anew
        """
        fresh = tuple(
            node for node in welcome.balancers if node not in self._balancers
        )
        self._welcomes[sender] = (welcome, now)
        for address in _list_addresses(welcome.controls):
            self._controls[address] = now
        for node in welcome.balancers:
            self._balancers[node] = now
        return fresh

    def choose_controls(self, now: float) -> tuple[Address, ...]:
        """Return the control instances to ask now.

        Those of the own zone while they answer and have a quorum; else all.
        """
        self._forget(now)
        near = self._list_near(now)
        if near and now - self._surveyed_at < SURVEY_INTERVAL:
            return near
        self._surveyed_at = now
        return self.list_controls()

    def wants_brief(self, control: Address, now: float) -> bool:
        """Tell whether the answer of a control instance should name no nodes.

        Those of the own zone name them all, and bytes between zones cost.
        """
        near = self._list_near(now)
        return bool(near) and control not in near

    def list_controls(self) -> tuple[Address, ...]:
        """Return every control instance that is known."""
        return tuple(dict.fromkeys((*self.seeds, *self._controls)))

    def list_balancers(self) -> tuple[Node, ...]:
        """Return the balancers that control has listed of late.

        One that has started anew is listed once.
        """
        return tuple({node.address: node for node in self._balancers}.values())

    def find_newest(self, now: float) -> Welcome | None:
        """Return the newest answer with the highest version.

        :returns: ``None`` when no control instance has answered of late
        """
        recent = [
            welcome
            for welcome, heard_at in self._welcomes.values()
            if now - heard_at <= NODE_TIMEOUT
        ]
        return max(recent, key=lambda one: one.version, default=None)

    def is_confirmed(self, version: int, now: float) -> bool:
        """Tell whether a control instance with a quorum has no newer one."""
        return any(
            welcome.version <= version
            and welcome.proof_age_ms <= PROOF_AGE_MAX_MS
            and now - heard_at <= NODE_TIMEOUT
            for welcome, heard_at in self._welcomes.values()
        )

    def _list_near(self, now: float) -> tuple[Address, ...]:
        return tuple(
            sender
            for sender, (welcome, heard_at) in self._welcomes.items()
            if welcome.node.zone == self.zone
            and now - heard_at <= ANSWER_TIMEOUT
            and welcome.proof_age_ms <= PROOF_AGE_MAX_MS
        )

    def _forget(self, now: float) -> None:
        _drop_old(self._controls, now - CONTROL_TIMEOUT)
        _drop_old(self._balancers, now - LISTED_TIMEOUT)
        gone = [
            sender
            for sender, (_, heard_at) in self._welcomes.items()
            if now - heard_at > CONTROL_TIMEOUT
        ]
        for sender in gone:
            del self._welcomes[sender]


def _drop_old(known: dict[_Key, float], since: float) -> None:
    for key in [key for key, at in known.items() if at < since]:
        del known[key]


def _list_addresses(nodes: Iterable[Node]) -> Iterable[Address]:
    for node in nodes:
        address = parse_address(node.address).value_or(None)
        if address is not None:
            yield address

"""Discovery of control instances and balancers, starting from seeds."""

from __future__ import annotations

from itertools import cycle
from itertools import islice
from operator import itemgetter
from random import SystemRandom
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
    from collections.abc import Iterator

_Key = TypeVar('_Key')

#: Role of a balancer in :class:`Hello`.
BALANCER = 'balancer'

#: Role of an agent in :class:`Hello`.
AGENT = 'agent'

#: Role of a control instance in :class:`Hello`.
CONTROL = 'control'

#: Time between two hellos of a node to control, in seconds. New routes are
#: applied everywhere within a fraction of the 3 s that are allowed.
HELLO_INTERVAL = 0.4

#: The same while a node is not ready to serve, in seconds: shorter, since it
#: delays the recovery after an outage of the whole system.
HELLO_INTERVAL_UNREADY = 0.1

#: Time without a hello after which a control instance no longer lists a node,
#: in seconds: several lost hellos.
NODE_TIMEOUT = 3.0

#: Time for which a node keeps a balancer that no control instance lists, in
#: seconds: longer than control needs to restart.
LISTED_TIMEOUT = 12.0

#: Time for which a node keeps a control instance that is not a seed and that
#: no answer lists, in seconds.
CONTROL_TIMEOUT = 30.0

#: Time without an answer after which a node asks control instances of other
#: zones too, in seconds: two lost answers.
ANSWER_TIMEOUT = 1.0

#: Age of a quorum confirmation above which it is stale, so that a node asks
#: further control instances, in milliseconds: a few of a leader's heartbeats.
CONFIRMATION_AGE_MAX_MS = 1000

#: Time between two hellos of a control instance to the others while its list
#: of balancers is unchanged, in seconds. Two may be lost before the others
#: remove a balancer.
GOSSIP_INTERVAL = 1.0

#: Time between two hellos to control instances of other zones, in seconds.
SURVEY_INTERVAL = 2.0

#: Control instances of other zones that are sent a hello at a time, in turn:
#: two, so that one that is down does not hide the others. What a node sends
#: does not grow with their number.
SURVEY_SIZE = 2

#: Control instances that are sent a hello at a time while none of the own zone
#: confirms a quorum: all of a small cluster, and of a larger one those of the
#: own zone and some others in turn. When control is disturbed, all nodes do so
#: at the same time.
UNCONFIRMED_SIZE = 6

#: Control instances of the own zone among these; at least one more is asked.
UNCONFIRMED_LOCAL_SIZE = 3

#: Bits of the number of lists that count their changes; those above tell the
#: runs of a control instance apart.
LISTS_BITS = 32


@attrs.define
class Directory:
    """Live nodes as a control instance knows them; kept in memory only.

    :param node: the control instance itself
    """

    node: Node
    _balancers: dict[Node, float] = attrs.field(factory=dict)
    _relayed: dict[Node, float] = attrs.field(factory=dict)
    _controls: dict[Node, float] = attrs.field(factory=dict)
    _agents: dict[Node, float] = attrs.field(factory=dict)
    _followed: dict[Node, int] = attrs.field(factory=dict)
    _lists: int = attrs.field(
        factory=lambda: (
            (SystemRandom().getrandbits(LISTS_BITS - 1) | 1) << LISTS_BITS
        )
    )

    def receive_hello(self, hello: Hello, now: float) -> None:
        """Register the sender of a hello and the balancers that it lists."""
        if hello.role == BALANCER:
            self._register(self._balancers, (hello.node,), now)
        elif hello.role == CONTROL and hello.node != self.node:
            self._register(self._controls, (hello.node,), now)
            self._register(self._relayed, hello.balancers, now)
        elif hello.role == AGENT:
            # No answer lists agents, so that they don't change the lists.
            self._agents[hello.node] = now
            self._followed[hello.node] = hello.evacuation

    def expire(self, now: float) -> None:
        """Remove nodes whose hellos have stopped."""
        for agent in _drop_older(self._agents, now - NODE_TIMEOUT):
            del self._followed[agent]
        removed = [
            *_drop_older(self._balancers, now - NODE_TIMEOUT),
            *_drop_older(self._relayed, now - NODE_TIMEOUT),
            *_drop_older(self._controls, now - NODE_TIMEOUT),
        ]
        if not all(map(self._is_listed, removed)):
            self._lists += 1

    def _register(
        self, known: dict[Node, float], nodes: Iterable[Node], now: float
    ) -> None:
        """Note when nodes were heard; new ones change the lists.

        A balancer that is listed already does not: it surveys this instance,
        and its own zone's instance has relayed it.
        """
        for node in nodes:
            if not self._is_listed(node):
                self._lists += 1
            known[node] = now

    def _is_listed(self, node: Node) -> bool:
        return (
            node in self._balancers
            or node in self._relayed
            or node in self._controls
        )

    def number_lists(self, hello: Hello) -> int:
        """Return the number of the lists for an answer; 0 for a brief one."""
        return 0 if hello.brief else self._lists

    def list_for(
        self, hello: Hello
    ) -> tuple[tuple[Node, ...], tuple[Node, ...]]:
        """Return the control instances and balancers that an answer lists.

        A node that has the newest lists gets none.
        """
        if hello.brief or hello.lists == self._lists:
            return (), ()
        balancers = self.list_balancers() if hello.role == AGENT else ()
        return self.list_controls(), balancers

    def list_relayed_balancers(self) -> tuple[Node, ...]:
        """Return the balancers that this instance lists to the others.

        These are the ones of its zone that send it hellos, and those of zones
        without a control instance. The others are relayed by the instances of
        their own zones.
        """
        zones = {control.zone for control in self._controls}
        return tuple(
            balancer
            for balancer in self._balancers
            if balancer.zone == self.node.zone or balancer.zone not in zones
        )

    def list_balancers(self) -> tuple[Node, ...]:
        """Return the balancers that are known to any control instance."""
        return tuple({**self._relayed, **self._balancers})

    def count_followers(self, revision: int) -> tuple[int, int]:
        """Count the agents that send hellos to this instance.

        :param revision: revision of the evacuated zones
        :returns: number of those that follow the revision or a later one, and
            of all
        """
        following = sum(
            followed >= revision for followed in self._followed.values()
        )
        return following, len(self._followed)

    def list_controls(self) -> tuple[Node, ...]:
        """Return the live control instances, including this one."""
        return (self.node, *self._controls)


@attrs.define
class Finder:
    """Control instances and balancers as a node knows them.

    :param zone: availability zone of the node
    :param seeds: addresses of control instances from the settings
    :param evacuation: highest known revision of the evacuated zones
    :param evacuated: evacuated availability zones at that revision
    :param informed: whether a control instance has answered that has
        replicated state, or is confirmed to be up to date without any; one
        that has just started may have none yet
    """

    zone: str
    seeds: tuple[Address, ...]
    evacuation: int = 0
    evacuated: tuple[str, ...] = ()
    informed: bool = False
    _welcomes: dict[Address, tuple[Welcome, float]] = attrs.field(factory=dict)
    _controls: dict[Address, float] = attrs.field(factory=dict)
    _balancers: dict[Node, float] = attrs.field(factory=dict)
    _listed: dict[Address, Welcome] = attrs.field(factory=dict)
    _surveyed_at: float = float('-inf')
    _surveys: int = 0

    def receive_welcome(
        self, sender: Address, welcome: Welcome, now: float
    ) -> tuple[Node, ...]:
        """Apply the answer of a control instance.

        :returns: balancers that were not known, including restarted ones
        """
        if welcome.evacuation > self.evacuation:
            self.evacuation = welcome.evacuation
            self.evacuated = welcome.evacuated
        self.informed |= (
            welcome.version > 0
            or welcome.evacuation > 0
            or welcome.proof_age_ms <= CONFIRMATION_AGE_MAX_MS
        )
        listed = self._listed.get(sender)
        if listed is None or not welcome.lists or welcome.controls:
            listed = welcome
        if welcome.lists:
            self._listed[sender] = listed
        unknown = tuple(
            node for node in listed.balancers if node not in self._balancers
        )
        self._welcomes[sender] = (welcome, now)
        for address in _list_addresses(listed.controls):
            self._controls[address] = now
        for node in listed.balancers:
            self._balancers[node] = now
        return unknown

    def find_lists(self, control: Address) -> int:
        """Return the number of the lists that are held from an instance."""
        listed = self._listed.get(control)
        return 0 if listed is None else listed.lists

    def choose_controls(self, now: float) -> tuple[Address, ...]:
        """Return the control instances to send a hello to now.

        This is one instance of the own zone, best with a disk, while any there
        answers and confirms a quorum. At every :data:`SURVEY_INTERVAL`, some
        other instances are added, in turn. Otherwise they are up to
        :data:`UNCONFIRMED_SIZE` of all known instances.
        """
        self._expire(now)
        local = self._list_local(now)
        if not local:
            self._surveyed_at = now
            chosen = self._choose_unconfirmed(now)
            return (*chosen, *self._survey(chosen, UNCONFIRMED_SIZE))
        chosen = (max(local, key=self._is_durable),)
        if now - self._surveyed_at < SURVEY_INTERVAL:
            return chosen
        self._surveyed_at = now
        return (*chosen, *self._survey(chosen, SURVEY_SIZE + 1))

    def _choose_unconfirmed(self, now: float) -> tuple[Address, ...]:
        """Return the instances that are asked at each hello without a quorum.

        These are the one that lists the nodes, and some of the own zone.
        """
        lister = self._find_lister(now)
        local = (
            control
            for control, (welcome, _) in self._welcomes.items()
            if welcome.node.zone == self.zone and control != lister
        )
        listing = () if lister is None else (lister,)
        return (*listing, *islice(local, UNCONFIRMED_LOCAL_SIZE))

    def _is_durable(self, control: Address) -> bool:
        return self._welcomes[control][0].durable

    def _survey(
        self, chosen: tuple[Address, ...], size: int
    ) -> Iterator[Address]:
        """Return the next instances to survey, each in its turn.

        :param chosen: instances that are asked anyway
        :param size: number of instances to ask together with these
        """
        others = [one for one in self.list_controls() if one not in chosen]
        count = min(size - len(chosen), len(others))
        first = self._surveys % max(1, len(others))
        self._surveys = first + count
        return islice(cycle(others), first, first + count)

    def wants_brief(self, control: Address, now: float) -> bool:
        """Tell whether a control instance should omit the lists of nodes.

        The instances of the own zone send the complete lists, and traffic
        between zones is billed. While none of these confirms a quorum, one
        instance that answers sends them.
        """
        local = self._list_local(now)
        if local:
            return control not in local
        return self._find_lister(now) not in (None, control)

    def _find_lister(self, now: float) -> Address | None:
        """Return an instance that has answered, best one of the own zone."""
        recent = [
            (welcome.node.zone != self.zone, not welcome.lists, control)
            for control, (welcome, heard_at) in self._welcomes.items()
            if now - heard_at <= ANSWER_TIMEOUT
        ]
        return min(recent, key=itemgetter(0, 1))[2] if recent else None

    def list_controls(self) -> tuple[Address, ...]:
        """Return all known control instances."""
        return tuple(dict.fromkeys((*self.seeds, *self._controls)))

    def list_balancers(self) -> tuple[Node, ...]:
        """Return the balancers that control has listed recently.

        A balancer that has restarted is returned once.
        """
        return tuple({node.address: node for node in self._balancers}.values())

    def find_newest(self, now: float) -> Welcome | None:
        """Return the recent answer with the highest version of the routes.

        :returns: ``None`` when no control instance has answered recently
        """
        return next(iter(self._list_newest(now)), None)

    def choose_source(
        self, version: int, failures: int, now: float
    ) -> Welcome | None:
        """Return the answer of the instance to fetch newer routes from.

        :param version: version that is applied
        :param failures: fetches that have failed since the last success; each
            leads to another instance, since one may answer and yet be unable
            to send its routes
        :returns: ``None`` when no recent answer has a higher version
        """
        newest = self._list_newest(now)
        if not newest or newest[0].version <= version:
            return None
        return newest[failures % len(newest)]

    def _list_newest(self, now: float) -> tuple[Welcome, ...]:
        """Return the recent answers that have the highest version.

        Those of the own zone come first, those with a disk before others.
        """
        recent = [
            welcome
            for welcome, heard_at in self._welcomes.values()
            if now - heard_at <= NODE_TIMEOUT
        ]
        version = max((one.version for one in recent), default=0)
        newest = [one for one in recent if one.version == version]
        return tuple(sorted(newest, key=self._rank_source))

    def _rank_source(self, welcome: Welcome) -> tuple[bool, bool]:
        return (welcome.node.zone != self.zone, not welcome.durable)

    def is_confirmed(self, version: int, now: float) -> bool:
        """Tell whether a version of the routes is confirmed as the newest.

        This requires a recent answer of a control instance that has confirmed
        a quorum and has no newer version.
        """
        return any(
            welcome.version <= version
            and welcome.proof_age_ms <= CONFIRMATION_AGE_MAX_MS
            and now - heard_at <= NODE_TIMEOUT
            for welcome, heard_at in self._welcomes.values()
        )

    def _list_local(self, now: float) -> tuple[Address, ...]:
        return tuple(
            sender
            for sender, (welcome, heard_at) in self._welcomes.items()
            if welcome.node.zone == self.zone
            and now - heard_at <= ANSWER_TIMEOUT
            and welcome.proof_age_ms <= CONFIRMATION_AGE_MAX_MS
        )

    def _expire(self, now: float) -> None:
        _drop_older(self._controls, now - CONTROL_TIMEOUT)
        _drop_older(self._balancers, now - LISTED_TIMEOUT)
        expired = [
            sender
            for sender, (_, heard_at) in self._welcomes.items()
            if now - heard_at > CONTROL_TIMEOUT
        ]
        for sender in expired:
            del self._welcomes[sender]
            self._listed.pop(sender, None)


def _drop_older(known: dict[_Key, float], since: float) -> list[_Key]:
    """Remove and return the keys of earlier times."""
    removed = [key for key, at in known.items() if at < since]
    for key in removed:
        del known[key]
    return removed


def _list_addresses(nodes: Iterable[Node]) -> Iterable[Address]:
    for node in nodes:
        address = parse_address(node.address).value_or(None)
        if address is not None:
            yield address

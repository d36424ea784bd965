"""Control's side of the connections to the nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..configuration.commands import Members
from ..configuration.state import make_published
from ..configuration.state import State
from ..events import CONTROL_LEASE_EXPIRED
from ..events import CONTROL_NODE_FENCED
from ..events import Event
from ..subscription_messages import Heartbeat
from ..subscription_messages import Leave
from ..subscription_messages import Update
from .leases import LeaseTable
from .leases import Renewal
from .members import Announcement
from .members import Departure
from .members import Laggard
from .members import Progress
from .publication import Publication
from .subscription import FRESHNESS_BOUND

if TYPE_CHECKING:
    from ..configuration.state import Transition
    from .members import Member

#: Longest time between two reports of a control instance, in seconds.
REPORT_INTERVAL = 1.0

#: Shortest time between two reports, in seconds.
REPORT_INTERVAL_MIN = 0.1


@attrs.frozen
class SendUpdate:
    """Send an update on a node's connection.

    :param peer: number of the connection
    :param update: what to send
    """

    peer: int
    update: Update


@attrs.frozen
class Note:
    """Log an event about a node."""

    event: Event
    node: str


#: What a :class:`Holder` asks for.
HolderAction = SendUpdate | Note


@attrs.define
class Node:
    """State of one node's connection.

    :param peer: number of the connection
    :param incarnation: number of this start of the process
    :param applied: published revision that the node applies
    :param offered: published revision that was last sent to it
    :param current: whether the node has been shown current
    :param sent: time that its last heartbeat carried
    """

    peer: int
    incarnation: int
    applied: int
    offered: int
    current: bool
    sent: float


@attrs.define
class Holder:
    """State of a control instance's connections to its nodes.

    Times are seconds of one clock that never goes back.

    :param instance: name of the control instance
    :param leases: leases of its nodes
    :param state: the replicated state as far as it is applied here
    :param publication: history of what was published
    """

    instance: str
    leases: LeaseTable
    state: State = attrs.field(factory=State)
    publication: Publication = attrs.field(factory=Publication)
    _nodes: dict[str, Node] = attrs.field(factory=dict)
    _announced: dict[str, Announcement] = attrs.field(factory=dict)
    _left: dict[str, Departure] = attrs.field(factory=dict)
    _expired: tuple[Departure, ...] = ()
    _reported: Progress | None = None
    _reported_at: float = float('-inf')
    _own: frozenset[str] = frozenset()
    _own_among: dict[str, Member] | None = None
    _adopted_at: float = float('-inf')
    _leader: str | None = None
    _fresh: bool = False

    def take_heartbeat(
        self, peer: int, heartbeat: Heartbeat, freshness: float, now: float
    ) -> tuple[HolderAction, ...]:
        """Renew the node's lease and answer it.

        :param peer: number of the connection
        :param heartbeat: what came in
        :param freshness: age of the last proof of a quorum, in seconds
        :param now: time, in seconds
        """
        name = heartbeat.node
        if self._is_fenced(heartbeat):
            return (Note(CONTROL_NODE_FENCED, name),)
        renewal = self.leases.renew(name, heartbeat.incarnation, now)
        if renewal is Renewal.FENCED:
            return (Note(CONTROL_NODE_FENCED, name),)
        self._left.pop(name, None)
        node = Node(
            peer=peer,
            incarnation=heartbeat.incarnation,
            applied=heartbeat.applied,
            offered=heartbeat.applied,
            current=heartbeat.current,
            sent=heartbeat.sent,
        )
        self._nodes[name] = node
        self._note_announcement(heartbeat)
        return (self._offer(node, freshness, linearized=False),)

    def take_leave(self, leave: Leave) -> None:
        """Take back the node's lease."""
        departure = self.leases.release(leave.node, leave.incarnation)
        if departure is not None:
            self._left[leave.node] = departure
            self._announced.pop(leave.node, None)
            self._nodes.pop(leave.node, None)

    def list_unproved(self) -> tuple[str, ...]:
        """Return the nodes that wait for a linearizable read."""
        return tuple(
            name for name, node in self._nodes.items() if not node.current
        )

    def prove(
        self, names: tuple[str, ...], freshness: float
    ) -> tuple[HolderAction, ...]:
        """Answer nodes after a linearizable read.

        :param names: nodes that had waited when the read began
        :param freshness: age of the last proof of a quorum, in seconds
        """
        nodes = (self._nodes.get(name) for name in names)
        return tuple(
            self._offer(node, freshness, linearized=True)
            for node in nodes
            if node is not None
        )

    def push(self, freshness: float) -> tuple[HolderAction, ...]:
        """Send what is new to each node that was not offered it."""
        newest = self.publication.revision
        return tuple(
            self._offer(node, freshness, linearized=False)
            for node in self._nodes.values()
            if node.offered < newest
        )

    def follow(
        self, transition: Transition, holder: str | None, now: float
    ) -> None:
        """Take a command that was applied.

        :param transition: result of the command
        :param holder: control instance that reported its nodes with it
        :param now: time, in seconds
        """
        self.state = transition.state
        if transition.delta is not None:
            self.publication.record(transition.delta)
        if holder is not None:
            self.leases.hear_holder(holder, now)

    def restart(self, state: State) -> None:
        """Take a state that came from a snapshot."""
        self.state = state
        self.publication.restart(state.revision)

    def tick(
        self, freshness: float, leader: str | None, now: float
    ) -> tuple[HolderAction, ...]:
        """Look for leases that have run out; call it ten times a second.

        :param freshness: age of the last proof of a quorum, in seconds
        :param leader: name of the leader, when it is known
        :param now: time, in seconds
        """
        fresh = freshness <= FRESHNESS_BOUND
        if (fresh and not self._fresh) or leader != self._leader:
            self.leases.extend(now)
        self._fresh = fresh
        self._leader = leader
        if now - self._adopted_at >= REPORT_INTERVAL:
            self._adopted_at = now
            leads = fresh and leader == self.instance
            self.leases.adopt(self.state.members.values(), leads, now)
        before = set(self._expired)
        self._expired = self.leases.find_expired(now)
        for departure in self._expired:
            self._nodes.pop(departure.node, None)
        return tuple(
            Note(CONTROL_LEASE_EXPIRED, departure.node)
            for departure in self._expired
            if departure not in before
        )

    def make_report(self, now: float, time: float) -> Members | None:
        """Return the command that is due, when one is.

        :param now: time, in seconds
        :param time: time for the command, in seconds since the epoch
        """
        known = self._adopted_at > float('-inf')
        if not known or now - self._reported_at < REPORT_INTERVAL_MIN:
            return None
        progress = self._measure_progress()
        news = self._announced or self._left or self._expired
        waited = now - self._reported_at
        same = not news and progress == self._reported
        if same and waited < REPORT_INTERVAL:
            return None
        self._reported_at = now
        return Members(
            holder=self.instance,
            time=time,
            announced=tuple(self._announced.values()),
            departed=(*self._left.values(), *self._expired),
            progress=progress,
        )

    def settle(self, report: Members) -> None:
        """Take that a report was written."""
        self._reported = report.progress
        for announcement in report.announced:
            if self._announced.get(announcement.node) == announcement:
                del self._announced[announcement.node]
        for departure in report.departed:
            if self._left.get(departure.node) == departure:
                del self._left[departure.node]
            elif not departure.left:
                self.leases.forget(departure)

    def _is_fenced(self, heartbeat: Heartbeat) -> bool:
        member = self.state.members.get(heartbeat.node)
        known = member.incarnation if member else 0
        fence = self.state.fences.get(heartbeat.node)
        least = max(known, fence.incarnation if fence else 0)
        return heartbeat.incarnation < least

    def _note_announcement(self, heartbeat: Heartbeat) -> None:
        announcement = Announcement(
            node=heartbeat.node,
            incarnation=heartbeat.incarnation,
            target=heartbeat.target,
            balancer=heartbeat.balancer,
        )
        member = self.state.members.get(heartbeat.node)
        written = member is not None and (
            member.holder == self.instance
            and member.announcement == announcement
        )
        if written:
            self._announced.pop(heartbeat.node, None)
        else:
            self._announced[heartbeat.node] = announcement

    def _offer(
        self, node: Node, freshness: float, *, linearized: bool
    ) -> SendUpdate:
        update = self.publication.make_update(
            node.applied,
            freshness,
            linearized,
            lambda: make_published(self.state),
            node.sent,
        )
        node.offered = max(node.offered, update.revision)
        return SendUpdate(node.peer, update)

    def _measure_progress(self) -> Progress:
        newest = self.publication.revision
        lagging = {
            name: node.applied
            for name, node in self._nodes.items()
            if node.applied < newest
        }
        unheard = dict.fromkeys(self._list_own() - self._nodes.keys(), 0)
        behind = sorted({**unheard, **lagging}.items())
        return Progress(newest, tuple(Laggard(*pair) for pair in behind))

    def _list_own(self) -> frozenset[str]:
        """Return the members that this instance holds by its newest state.

        Progress that names the newest revision must name all of them: one left
        out would count as applying it.
        """
        members = self.state.members
        if members is not self._own_among:
            self._own_among = members
            self._own = frozenset(
                member.node
                for member in members.values()
                if member.holder == self.instance
            )
        return self._own

"""The control instance's side of its nodes' subscriptions."""

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
from .deltas import DeltaHistory
from .leases import LeaseTable
from .leases import RenewalResult
from .members import Announcement
from .members import Departure
from .members import LaggingNode
from .members import Progress
from .subscription import FRESHNESS_BOUND

if TYPE_CHECKING:
    from ..configuration.state import Transition
    from .members import Member

#: Interval at which a control instance reports its nodes to the replicated
#: log when nothing has changed, in seconds.
REPORT_INTERVAL = 1.0

#: Minimum interval between two reports, in seconds.
REPORT_INTERVAL_MIN = 0.1


@attrs.frozen
class SendUpdate:
    """Send an update on a node's connection.

    :param peer: number of the connection
    :param update: the update
    """

    peer: int
    update: Update


@attrs.frozen
class LogEvent:
    """Log an event about a node."""

    event: Event
    node: str


#: Action that a :class:`SubscriptionServer` returns to its caller.
SubscriptionServerAction = SendUpdate | LogEvent


@attrs.define
class NodeConnection:
    """State of one node's connection.

    :param peer: number of the connection
    :param incarnation: incarnation of the node's process
    :param applied: published revision that the node applies
    :param sent_revision: newest published revision that was sent to it
    :param current: whether a linearizable read has confirmed the node's state
        since it started
    :param heartbeat_sent_at: send time in its last heartbeat, in seconds of
        the node's own clock
    """

    peer: int
    incarnation: int
    applied: int
    sent_revision: int
    current: bool
    heartbeat_sent_at: float


@attrs.define
class SubscriptionServer:
    """Serves the subscriptions of the nodes of one control instance.

    It keeps the leases of the nodes, sends them what is published and reports
    their announcements, departures and progress to the replicated log. Times
    are seconds of a monotonic clock unless said otherwise.

    :param instance: name of the control instance
    :param leases: leases of its nodes
    :param state: replicated state up to the last command applied here
    :param history: newest published deltas
    """

    instance: str
    leases: LeaseTable
    state: State = attrs.field(factory=State)
    history: DeltaHistory = attrs.field(factory=DeltaHistory)
    _nodes: dict[str, NodeConnection] = attrs.field(factory=dict)
    _pending_announcements: dict[str, Announcement] = attrs.field(factory=dict)
    _pending_departures: dict[str, Departure] = attrs.field(factory=dict)
    _expired: tuple[Departure, ...] = ()
    _reported_progress: Progress | None = None
    _reported_at: float = float('-inf')
    _own_nodes: frozenset[str] = frozenset()
    _own_nodes_members: dict[str, Member] | None = None
    _reconciled_at: float = float('-inf')
    _leader: str | None = None
    _had_quorum: bool = False

    def handle_heartbeat(
        self, peer: int, heartbeat: Heartbeat, freshness: float, now: float
    ) -> tuple[SubscriptionServerAction, ...]:
        """Renew the node's lease and answer with an update.

        :param peer: number of the connection
        :param heartbeat: the received heartbeat
        :param freshness: time since the last quorum confirmation, in seconds
        :param now: present time, in seconds
        """
        name = heartbeat.node
        if self._is_fenced(heartbeat):
            return (LogEvent(CONTROL_NODE_FENCED, name),)
        renewal = self.leases.renew(name, heartbeat.incarnation, now)
        if renewal is RenewalResult.FENCED:
            return (LogEvent(CONTROL_NODE_FENCED, name),)
        self._pending_departures.pop(name, None)
        node = NodeConnection(
            peer=peer,
            incarnation=heartbeat.incarnation,
            applied=heartbeat.applied,
            sent_revision=heartbeat.applied,
            current=heartbeat.current,
            heartbeat_sent_at=heartbeat.sent,
        )
        self._nodes[name] = node
        self._queue_announcement(heartbeat)
        return (self._send_update(node, freshness, linearized=False),)

    def handle_leave(self, leave: Leave) -> None:
        """Release the lease of a node that leaves."""
        departure = self.leases.release(leave.node, leave.incarnation)
        if departure is not None:
            self._pending_departures[leave.node] = departure
            self._pending_announcements.pop(leave.node, None)
            self._nodes.pop(leave.node, None)

    def list_unconfirmed(self) -> tuple[str, ...]:
        """Return the nodes that a linearizable read has yet to confirm."""
        return tuple(
            name for name, node in self._nodes.items() if not node.current
        )

    def confirm_current(
        self, names: tuple[str, ...], freshness: float
    ) -> tuple[SubscriptionServerAction, ...]:
        """Send nodes an update that a linearizable read confirms.

        :param names: nodes that were unconfirmed when the read began
        :param freshness: time since the last quorum confirmation, in seconds
        """
        nodes = (self._nodes.get(name) for name in names)
        return tuple(
            self._send_update(node, freshness, linearized=True)
            for node in nodes
            if node is not None
        )

    def push_updates(
        self, freshness: float
    ) -> tuple[SubscriptionServerAction, ...]:
        """Send an update to each node that wasn't sent the newest revision.

        :param freshness: time since the last quorum confirmation, in seconds
        """
        newest = self.history.revision
        return tuple(
            self._send_update(node, freshness, linearized=False)
            for node in self._nodes.values()
            if node.sent_revision < newest
        )

    def handle_applied(
        self, transition: Transition, holder: str | None, now: float
    ) -> None:
        """Take over the state after a command was applied.

        :param transition: result of the command
        :param holder: control instance that proposed it, when the command is
            a report of the nodes
        :param now: present time, in seconds
        """
        self.state = transition.state
        if transition.delta is not None:
            self.history.record(transition.delta)
        if holder is not None:
            self.leases.record_holder_report(holder, now)

    def restore(self, state: State) -> None:
        """Replace the state with one that was restored from a snapshot."""
        self.state = state
        self.history.reset(state.revision)

    def tick(
        self, freshness: float, leader: str | None, now: float
    ) -> tuple[SubscriptionServerAction, ...]:
        """Find expired leases; to be called ten times a second.

        All leases are extended when this instance regains a quorum or the
        leader changes, so that the nodes have time to reconnect.

        :param freshness: time since the last quorum confirmation, in seconds
        :param leader: name of the leader, when it is known
        :param now: present time, in seconds
        """
        has_quorum = freshness <= FRESHNESS_BOUND
        if (has_quorum and not self._had_quorum) or leader != self._leader:
            self.leases.extend_all(now)
        self._had_quorum = has_quorum
        self._leader = leader
        if now - self._reconciled_at >= REPORT_INTERVAL:
            self._reconciled_at = now
            leads = has_quorum and leader == self.instance
            self.leases.reconcile(self.state.members.values(), leads, now)
        before = set(self._expired)
        self._expired = self.leases.find_expired(now)
        for departure in self._expired:
            self._nodes.pop(departure.node, None)
        return tuple(
            LogEvent(CONTROL_LEASE_EXPIRED, departure.node)
            for departure in self._expired
            if departure not in before
        )

    def make_report(self, now: float, time: float) -> Members | None:
        """Return the report to propose to the replicated log, if one is due.

        :param now: present time, in seconds
        :param time: time of the command, in seconds since the epoch
        """
        reconciled = self._reconciled_at > float('-inf')
        if not reconciled or now - self._reported_at < REPORT_INTERVAL_MIN:
            return None
        progress = self._measure_progress()
        has_changes = (
            self._pending_announcements
            or self._pending_departures
            or self._expired
        )
        elapsed = now - self._reported_at
        unchanged = not has_changes and progress == self._reported_progress
        if unchanged and elapsed < REPORT_INTERVAL:
            return None
        self._reported_at = now
        return Members(
            holder=self.instance,
            time=time,
            announced=tuple(self._pending_announcements.values()),
            departed=(*self._pending_departures.values(), *self._expired),
            progress=progress,
        )

    def mark_reported(self, report: Members) -> None:
        """Drop the changes that a committed report contains."""
        self._reported_progress = report.progress
        for announcement in report.announced:
            if (
                self._pending_announcements.get(announcement.node)
                == announcement
            ):
                del self._pending_announcements[announcement.node]
        for departure in report.departed:
            if self._pending_departures.get(departure.node) == departure:
                del self._pending_departures[departure.node]
            elif not departure.left:
                self.leases.remove(departure)

    def _is_fenced(self, heartbeat: Heartbeat) -> bool:
        member = self.state.members.get(heartbeat.node)
        known = member.incarnation if member else 0
        fence = self.state.fences.get(heartbeat.node)
        lowest = max(known, fence.incarnation if fence else 0)
        return heartbeat.incarnation < lowest

    def _queue_announcement(self, heartbeat: Heartbeat) -> None:
        announcement = Announcement(
            node=heartbeat.node,
            incarnation=heartbeat.incarnation,
            target=heartbeat.target,
            balancer=heartbeat.balancer,
        )
        member = self.state.members.get(heartbeat.node)
        committed = member is not None and (
            member.holder == self.instance
            and member.announcement == announcement
        )
        if committed:
            self._pending_announcements.pop(heartbeat.node, None)
        else:
            self._pending_announcements[heartbeat.node] = announcement

    def _send_update(
        self, node: NodeConnection, freshness: float, *, linearized: bool
    ) -> SendUpdate:
        update = self.history.make_update(
            node.applied,
            freshness,
            linearized,
            lambda: make_published(self.state),
            node.heartbeat_sent_at,
        )
        node.sent_revision = max(node.sent_revision, update.revision)
        return SendUpdate(node.peer, update)

    def _measure_progress(self) -> Progress:
        newest = self.history.revision
        lagging = {
            name: node.applied
            for name, node in self._nodes.items()
            if node.applied < newest
        }
        unseen = dict.fromkeys(self._list_own_nodes() - self._nodes.keys(), 0)
        behind = sorted({**unseen, **lagging}.items())
        return Progress(newest, tuple(LaggingNode(*pair) for pair in behind))

    def _list_own_nodes(self) -> frozenset[str]:
        """Return the members whose leases this instance keeps.

        Each of them that has not applied the newest revision must be listed
        in the progress, since a node that isn't listed counts as applying it.
        The result is cached until the members of the state change.
        """
        members = self.state.members
        if members is not self._own_nodes_members:
            self._own_nodes_members = members
            self._own_nodes = frozenset(
                member.node
                for member in members.values()
                if member.holder == self.instance
            )
        return self._own_nodes

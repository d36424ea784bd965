"""The node's side of its subscription to control."""

from __future__ import annotations

import enum
from random import Random

import attrs

from ..addresses import Address
from ..events import CONTROL_STALE
from ..events import CONTROL_UNREACHABLE
from ..events import Event
from ..published import Balancer
from ..published import PublishedState
from ..published import Target
from ..subscription_messages import Heartbeat
from ..subscription_messages import Leave
from ..subscription_messages import Update
from .deltas import apply_delta

#: Time between two heartbeats, in seconds.
HEARTBEAT_INTERVAL = 1.0

#: Time without an answer after which the node tries another control
#: instance, in seconds.
ANSWER_TIMEOUT = 1.5

#: Time since the last quorum confirmation above which state counts as stale,
#: in seconds.
FRESHNESS_BOUND = 3.0

#: Initial and largest upper bound of the random delay before another control
#: instance is tried, in seconds.
BACKOFF_INITIAL = 0.25
BACKOFF_MAX = 5.0

#: Number of doublings after which the bound has reached :data:`BACKOFF_MAX`.
BACKOFF_DOUBLINGS = 5

#: Time without an answer of any control instance after which control counts
#: as unreachable, in seconds; long enough to try a second instance.
UNREACHABLE_TIMEOUT = 5.0


class ControlStatus(enum.Enum):
    """What a node knows about control and the age of its own state."""

    #: A quorum has confirmed the state within :data:`FRESHNESS_BOUND`.
    FRESH = 'fresh'
    #: A control instance answers, but none has recently confirmed a quorum.
    STALE = 'stale'
    #: No control instance answers; the node keeps using its last state.
    UNREACHABLE = 'silent'


@attrs.frozen
class Tick:
    """Time has passed; to be passed in a few times each second."""


@attrs.frozen
class UpdateReceived:
    """An update was received.

    :param instance: control instance that sent it
    :param update: the update
    """

    instance: Address
    update: Update


@attrs.frozen
class AnnouncementChanged:
    """The announcement of the node has changed.

    :param target: target to announce, when the node is an agent
    :param balancer: balancer to announce, when the node is one
    """

    target: Target | None = None
    balancer: Balancer | None = None


@attrs.frozen
class Stopped:
    """The process stops, and the node leaves."""


#: Any event for :meth:`Subscription.handle`.
SubscriptionEvent = Tick | UpdateReceived | AnnouncementChanged | Stopped


@attrs.frozen
class Connect:
    """Close the present connection, if any, and connect to this instance."""

    instance: Address


@attrs.frozen
class Send:
    """Send a message on the connection to this instance."""

    instance: Address
    message: Heartbeat | Leave


@attrs.frozen
class Apply:
    """Apply the published state on this node."""

    published: PublishedState


@attrs.frozen
class LogEvent:
    """Log an event about a control instance."""

    event: Event
    instance: Address


#: Any action that :meth:`Subscription.handle` returns.
SubscriptionAction = Connect | Send | Apply | LogEvent


@attrs.define
class Subscription:
    """State of one node's subscription.

    Times are seconds of a monotonic clock.

    :param node: name of the instance
    :param incarnation: number of this process start; a later start has a
        higher one
    :param instances: every control instance
    :param random: source of the jitter
    :param published: published state that the node applies
    :param current: whether a linearizable read has confirmed the published
        state since the process started; the node serves only then
    :param target: target to announce, when the node is an agent
    :param balancer: balancer to announce, when the node is one
    """

    node: str
    incarnation: int
    instances: tuple[Address, ...]
    random: Random
    published: PublishedState = attrs.field(factory=PublishedState)
    current: bool = False
    target: Target | None = None
    balancer: Balancer | None = None
    _instance: Address | None = None
    _next_index: int | None = None
    _connect_at: float = float('-inf')
    _heartbeat_at: float = 0.0
    _connected_at: float = 0.0
    _last_answer_at: float = float('-inf')
    _confirmed_at: float = float('-inf')
    _failures: int = 0
    _stopped: bool = False

    def handle(
        self, event: SubscriptionEvent, now: float
    ) -> tuple[SubscriptionAction, ...]:
        """Process one event.

        :param event: the event
        :param now: time of the event, in seconds
        :returns: actions to perform in this order
        """
        if self._stopped:
            return ()
        if isinstance(event, UpdateReceived):
            return self._handle_update(event, now)
        if isinstance(event, AnnouncementChanged):
            self.target = event.target
            self.balancer = event.balancer
            return self._send_heartbeat(now)
        if isinstance(event, Stopped):
            return self._stop()
        return self._tick(now)

    def measure_freshness(self, now: float) -> float:
        """Return the time since the last quorum confirmation, in seconds."""
        return now - self._confirmed_at

    def assess_control(self, now: float) -> ControlStatus:
        """Return what the node knows about control and its state's age."""
        if self.measure_freshness(now) <= FRESHNESS_BOUND:
            return ControlStatus.FRESH
        if now - self._last_answer_at <= UNREACHABLE_TIMEOUT:
            return ControlStatus.STALE
        return ControlStatus.UNREACHABLE

    def _tick(self, now: float) -> tuple[SubscriptionAction, ...]:
        if self._instance is None:
            return self._connect(now) if now >= self._connect_at else ()
        last_answer_at = max(self._last_answer_at, self._connected_at)
        confirmed_at = max(self._confirmed_at, self._connected_at)
        if now - last_answer_at >= ANSWER_TIMEOUT:
            return self._disconnect(CONTROL_UNREACHABLE, now)
        if now - confirmed_at > FRESHNESS_BOUND:
            return self._disconnect(CONTROL_STALE, now)
        return self._send_heartbeat(now) if now >= self._heartbeat_at else ()

    def _connect(self, now: float) -> tuple[SubscriptionAction, ...]:
        if not self.instances:
            return ()
        if self._next_index is None:
            self._next_index = self.random.randrange(len(self.instances))
        self._instance = self.instances[self._next_index]
        self._connected_at = now
        return (Connect(self._instance), *self._send_heartbeat(now))

    def _disconnect(
        self, event: Event, now: float
    ) -> tuple[SubscriptionAction, ...]:
        """Abandon this instance, and schedule a connection to the next.

        The random delay keeps nodes from reconnecting all at once.
        """
        assert self._instance is not None
        assert self._next_index is not None
        abandoned = self._instance
        max_delay = min(BACKOFF_MAX, BACKOFF_INITIAL * 2**self._failures)
        self._instance = None
        self._next_index = (self._next_index + 1) % len(self.instances)
        self._connect_at = now + self.random.uniform(0, max_delay)
        self._failures = min(self._failures + 1, BACKOFF_DOUBLINGS)
        return (LogEvent(event, abandoned),)

    def _send_heartbeat(self, now: float) -> tuple[SubscriptionAction, ...]:
        if self._instance is None:
            return ()
        self._heartbeat_at = now + HEARTBEAT_INTERVAL
        heartbeat = Heartbeat(
            node=self.node,
            incarnation=self.incarnation,
            applied=self.published.revision,
            current=self.current,
            target=self.target,
            balancer=self.balancer,
            sent=now,
        )
        return (Send(self._instance, heartbeat),)

    def _handle_update(
        self, event: UpdateReceived, now: float
    ) -> tuple[SubscriptionAction, ...]:
        update = event.update
        if event.instance != self._instance:
            return ()
        self._last_answer_at = now
        published = self._merge_update(update)
        changed = published.revision > self.published.revision
        self.published = published
        became_current = self._update_confirmation(update)
        applied = (Apply(published),) if changed or became_current else ()
        return (*applied, *(self._send_heartbeat(now) if applied else ()))

    def _merge_update(self, update: Update) -> PublishedState:
        """Return the published state after the update; it never goes back."""
        known = self.published
        if update.snapshot and update.snapshot.revision > known.revision:
            return update.snapshot
        if update.delta and update.delta.base <= known.revision:
            return apply_delta(known, update.delta)
        return known

    def _update_confirmation(self, update: Update) -> bool:
        """Update the confirmation time, unless the revisions differ.

        They differ when the control instance or the node lags behind. The
        confirmation counts from when the answered heartbeat was sent, so
        that an update that was delayed on the network never makes the state
        look fresh.

        :returns: whether the node has just become current
        """
        if update.revision != self.published.revision:
            return False
        self._confirmed_at = max(
            self._confirmed_at, update.sent - update.freshness
        )
        if update.freshness <= FRESHNESS_BOUND:
            self._failures = 0
        became_current = update.linearized and not self.current
        self.current = self.current or became_current
        return became_current

    def _stop(self) -> tuple[SubscriptionAction, ...]:
        self._stopped = True
        if self._instance is None:
            return ()
        return (Send(self._instance, Leave(self.node, self.incarnation)),)

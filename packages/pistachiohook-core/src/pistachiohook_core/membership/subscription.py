"""The node's side of its connection to control."""

from __future__ import annotations

import enum
from random import Random

import attrs

from ..addresses import Address
from ..events import CONTROL_STALE
from ..events import CONTROL_UNREACHABLE
from ..events import Event
from ..published import Balancer
from ..published import Published
from ..published import Target
from ..subscription_messages import Heartbeat
from ..subscription_messages import Leave
from ..subscription_messages import Update
from .deltas import apply_delta

#: Time between two heartbeats, in seconds.
HEARTBEAT_INTERVAL = 1.0

#: Silence of a control instance after which the node turns to another, in
#: seconds.
ANSWER_TIMEOUT = 1.5

#: Age of the last proof of a quorum from which state counts as stale, in
#: seconds.
FRESHNESS_BOUND = 3.0

#: First and longest mean wait before another control instance is tried, in
#: seconds.
BACKOFF_FIRST = 0.25
BACKOFF_MAX = 5.0

#: Doublings after which the wait has reached :data:`BACKOFF_MAX`.
BACKOFF_DOUBLINGS = 5

#: Silence of all control instances after which the node counts them as
#: unreachable, in seconds; time enough to try a second one.
SILENCE_BOUND = 5.0


class Condition(enum.Enum):
    """What a node knows about the age of its state."""

    #: A quorum has confirmed it within :data:`FRESHNESS_BOUND`.
    FRESH = 'fresh'
    #: A control instance answers, but none has shown a quorum of late.
    STALE = 'stale'
    #: No control instance answers; the node goes on with what it has.
    SILENT = 'silent'


@attrs.frozen
class Tick:
    """Time has passed; sent a few times each second."""


@attrs.frozen
class Received:
    """An update came in.

    :param instance: control instance that sent it
    :param update: what it sent
    """

    instance: Address
    update: Update


@attrs.frozen
class Announced:
    """The node announces something new of itself.

    :param target: target that this agent announces
    :param balancer: balancer that announces itself
    """

    target: Target | None = None
    balancer: Balancer | None = None


@attrs.frozen
class Stopped:
    """The node leaves for good."""


#: What :meth:`Subscription.handle` takes.
SubscriptionEvent = Tick | Received | Announced | Stopped


@attrs.frozen
class Connect:
    """Close the connection, if any, and open one to this instance."""

    instance: Address


@attrs.frozen
class Send:
    """Send a message on the connection to this instance."""

    instance: Address
    message: Heartbeat | Leave


@attrs.frozen
class Apply:
    """Put this in force."""

    published: Published


@attrs.frozen
class Report:
    """Log an event about a control instance."""

    event: Event
    instance: Address


#: What :meth:`Subscription.handle` asks for.
SubscriptionAction = Connect | Send | Apply | Report


@attrs.define
class Subscription:
    """State of one node's subscription.

    Times are seconds of one clock that never goes back.

    :param node: name of the instance
    :param incarnation: number of this start of the process
    :param instances: every control instance
    :param random: source of the jitter
    :param published: what is in force
    :param current: whether a linearizable read has shown it current since
        the start; the node serves only then
    :param target: target that is announced
    :param balancer: balancer that is announced
    """

    node: str
    incarnation: int
    instances: tuple[Address, ...]
    random: Random
    published: Published = attrs.field(factory=Published)
    current: bool = False
    target: Target | None = None
    balancer: Balancer | None = None
    _instance: Address | None = None
    _next: int | None = None
    _connect_at: float = float('-inf')
    _heartbeat_at: float = 0.0
    _connected: float = 0.0
    _answered: float = float('-inf')
    _proved: float = float('-inf')
    _failures: int = 0
    _stopped: bool = False

    def handle(
        self, event: SubscriptionEvent, now: float
    ) -> tuple[SubscriptionAction, ...]:
        """Take one event.

        :param event: what happened
        :param now: time of the event, in seconds
        :returns: what is to be done, in this order
        """
        if self._stopped:
            return ()
        if isinstance(event, Received):
            return self._take_update(event, now)
        if isinstance(event, Announced):
            self.target = event.target
            self.balancer = event.balancer
            return self._beat(now)
        if isinstance(event, Stopped):
            return self._stop()
        return self._tick(now)

    def measure_freshness(self, now: float) -> float:
        """Return the age of the last proof of a quorum, in seconds."""
        return now - self._proved

    def find_condition(self, now: float) -> Condition:
        """Return what the node knows about the age of its state."""
        if self.measure_freshness(now) <= FRESHNESS_BOUND:
            return Condition.FRESH
        if now - self._answered <= SILENCE_BOUND:
            return Condition.STALE
        return Condition.SILENT

    def _tick(self, now: float) -> tuple[SubscriptionAction, ...]:
        if self._instance is None:
            return self._connect(now) if now >= self._connect_at else ()
        heard = max(self._answered, self._connected)
        proved = max(self._proved, self._connected)
        if now - heard >= ANSWER_TIMEOUT:
            return self._move(CONTROL_UNREACHABLE, now)
        if now - proved > FRESHNESS_BOUND:
            return self._move(CONTROL_STALE, now)
        return self._beat(now) if now >= self._heartbeat_at else ()

    def _connect(self, now: float) -> tuple[SubscriptionAction, ...]:
        if not self.instances:
            return ()
        if self._next is None:
            self._next = self.random.randrange(len(self.instances))
        self._instance = self.instances[self._next]
        self._connected = now
        return (Connect(self._instance), *self._beat(now))

    def _move(
        self, event: Event, now: float
    ) -> tuple[SubscriptionAction, ...]:
        """Leave this instance, and wait a random time before the next."""
        assert self._instance is not None
        assert self._next is not None
        left = self._instance
        longest = min(BACKOFF_MAX, BACKOFF_FIRST * 2**self._failures)
        self._instance = None
        self._next = (self._next + 1) % len(self.instances)
        self._connect_at = now + self.random.uniform(0, longest)
        self._failures = min(self._failures + 1, BACKOFF_DOUBLINGS)
        return (Report(event, left),)

    def _beat(self, now: float) -> tuple[SubscriptionAction, ...]:
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

    def _take_update(
        self, event: Received, now: float
    ) -> tuple[SubscriptionAction, ...]:
        update = event.update
        if event.instance != self._instance:
            return ()
        self._answered = now
        published = self._advance(update)
        changed = published.revision > self.published.revision
        self.published = published
        became = self._note_proof(update)
        applied = (Apply(published),) if changed or became else ()
        return (*applied, *(self._beat(now) if applied else ()))

    def _advance(self, update: Update) -> Published:
        """Return what is in force after the update; never a lower one."""
        known = self.published
        if update.snapshot and update.snapshot.revision > known.revision:
            return update.snapshot
        if update.delta and update.delta.base <= known.revision:
            return apply_delta(known, update.delta)
        return known

    def _note_proof(self, update: Update) -> bool:
        """Renew the proof, unless the instance or the node lags behind.

        :returns: whether the node has just been shown to be current
        """
        if update.revision != self.published.revision:
            return False
        self._proved = max(self._proved, update.sent - update.freshness)
        if update.freshness <= FRESHNESS_BOUND:
            self._failures = 0
        became = update.linearized and not self.current
        self.current = self.current or became
        return became

    def _stop(self) -> tuple[SubscriptionAction, ...]:
        self._stopped = True
        if self._instance is None:
            return ()
        return (Send(self._instance, Leave(self.node, self.incarnation)),)

"""Admission and order of requests at one target."""

from __future__ import annotations

from collections import Counter
import math
from typing import Any
from typing import TYPE_CHECKING

import attrs

from .budgets import RetryBudget
from .estimates import Estimate
from .estimates import Estimates
from .limits import ConcurrencyLimit
from .peers import Peers
from .scheduler_messages import Action
from .scheduler_messages import AttemptProgress
from .scheduler_messages import CancelAtPeer
from .scheduler_messages import CancelAtTarget
from .scheduler_messages import DrainStarted
from .scheduler_messages import Ending
from .scheduler_messages import Event
from .scheduler_messages import Finish
from .scheduler_messages import HandOver
from .scheduler_messages import HandOverAnswered
from .scheduler_messages import HandOverOutcome
from .scheduler_messages import LoadReported
from .scheduler_messages import PeerGone
from .scheduler_messages import PeerSlots
from .scheduler_messages import RefusalReason
from .scheduler_messages import Refuse
from .scheduler_messages import Request
from .scheduler_messages import RequestArrived
from .scheduler_messages import RequestCancelled
from .scheduler_messages import Start
from .scheduler_messages import StartWithdrawn
from .scheduler_messages import TargetAnswered
from .scheduler_messages import TargetFailed
from .scheduler_messages import Tick
from .waiting import FlowUsage
from .waiting import rank_waiting
from .waiting import Waiting

if TYPE_CHECKING:
    from collections.abc import Callable

    from .waiting import Rank

#: Longest wait behind shorter requests, in seconds.
AGING_BOUND = 2.0

#: Time over which a cold target gets its full share, in seconds.
SLOW_START = 5.0

#: Expected wait that is worth a hand-over, in seconds.
HAND_OVER_WAIT_MIN = 0.03

#: Expected time to its end after which a run's slot counts as free for the
#: peers' short requests, in seconds.
FREE_SOON = 0.05

#: Longest request body that is handed over, in bytes.
HAND_OVER_SIZE_MAX = 65_536

#: Time for which a draining agent still starts what waits, in seconds.
DRAIN_START_MAX = 1.0

#: Time after a cancellation in which the target gives its slot back, in
#: seconds.
CANCEL_TIMEOUT = 1.0

#: Attempts for one request at this target, the first included.
ATTEMPTS_MAX = 3

#: Shortest and longest time that a caller is told to wait, in seconds.
RETRY_AFTER_RANGE = (1, 30)


@attrs.frozen
class SchedulerSettings:
    """Limits of one target.

    :param slots: slots that the target announced
    :param queue_limit: most requests that wait
    :param long_after: expected run time that makes a request long, in seconds
    :param aging_bound: longest wait behind shorter requests, in seconds
    :param slow_start: time over which a cold target gets its share, in seconds
    """

    slots: int
    queue_limit: int = 64
    long_after: float = 1.0
    aging_bound: float = AGING_BOUND
    slow_start: float = SLOW_START


@attrs.frozen
class FreeSlots:
    """What a peer may hand over.

    :param free: slots that any request may take
    :param free_for_long: slots that a long request may take
    """

    free: int
    free_for_long: int


@attrs.frozen
class _Running:
    waiting: Waiting
    started: float
    cancelled: float | None = None


@attrs.frozen
class _HandedOver:
    waiting: Waiting
    peer: str


@attrs.define
class Scheduler:
    """State of the requests at one target.

    :param settings: limits of the target
    :param started_at: when the target was started
    """

    settings: SchedulerSettings
    started_at: float
    estimates: Estimates = attrs.field(factory=Estimates)
    counts: Counter[str] = attrs.field(factory=Counter)
    _limit: ConcurrencyLimit = attrs.field(init=False)
    _budget: RetryBudget = attrs.field(factory=RetryBudget, init=False)
    _peers: Peers = attrs.field(factory=Peers, init=False)
    _usage: FlowUsage = attrs.field(factory=FlowUsage, init=False)
    _waiting: dict[int, Waiting] = attrs.field(factory=dict, init=False)
    _running: dict[int, _Running] = attrs.field(factory=dict, init=False)
    _handed: dict[int, _HandedOver] = attrs.field(factory=dict, init=False)
    _draining: float | None = attrs.field(default=None, init=False)
    _paused: bool = attrs.field(default=False, init=False)
    _idle_reports: int = attrs.field(default=0, init=False)
    _actions: list[Action] = attrs.field(factory=list, init=False)

    @_limit.default
    def _make_limit(self) -> ConcurrencyLimit:
        return ConcurrencyLimit(
            self.settings.slots, self.started_at, self.settings.slow_start
        )

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Take in one event.

        :param event: what has happened
        :param now: current time, in seconds; never goes back
        :returns: what is to be done, in this order
        """
        _HANDLERS[type(event)](self, event, now)
        self._expire(now)
        self._start_waiting(now)
        self._move_waiting(now)
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def count_free(self, now: float) -> FreeSlots:
        """Return the free slots, for the peers."""
        if not self._accepts():
            return FreeSlots(0, 0)
        free = max(0, self._limit.compute(now) - len(self._running))
        room = self._limit.compute_for_long(now) - self._count_long(now)
        ending = sum(
            self._estimate_left(running, now) <= FREE_SOON
            for running in self._running.values()
        )
        waiting = sum(
            self._is_short(waiting.request, now)
            for waiting in self._waiting.values()
        )
        return FreeSlots(
            max(0, free + ending - waiting), max(0, min(free, room))
        )

    @property
    def idle(self) -> bool:
        """Whether nothing waits, runs, or is with a peer."""
        return not (self._waiting or self._running or self._handed)

    @property
    def queue_length(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    def _accepts(self) -> bool:
        return self._draining is None and not self._paused

    def _expect(self, request: Request, now: float) -> Estimate:
        return self.estimates.expect(request.route, request.size, now)

    def _is_long(self, request: Request, now: float) -> bool:
        return self._expect(request, now).typical >= self.settings.long_after

    def _is_short(self, request: Request, now: float) -> bool:
        return self._expect(request, now).trusted and not self._is_long(
            request, now
        )

    def _count_long(self, now: float) -> int:
        return sum(
            now - running.started >= self.settings.long_after
            or self._is_long(running.waiting.request, now)
            for running in self._running.values()
        )

    def _rank(self, waiting: Waiting, now: float) -> Rank:
        return rank_waiting(
            waiting,
            self._expect(waiting.request, now),
            self.settings.aging_bound,
            now,
        )

    def _estimate_wait(self, waiting: Waiting, now: float) -> float:
        if self._may_start(waiting.request, now):
            return 0.0
        limit = self._limit.compute(now)
        rank = self._rank(waiting, now)
        ahead = sum(
            self._expect(other.request, now).mean
            for other in self._waiting.values()
            if other is not waiting and self._rank(other, now) <= rank
        )
        left = sum(self._estimate_left(r, now) for r in self._running.values())
        return (ahead + left) / limit

    def _may_start(self, request: Request, now: float) -> bool:
        """Return whether a slot is free that the request may take.

        What waits beside a free slot may not take it.
        """
        if len(self._running) >= self._limit.compute(now):
            return False
        return self._has_room(now) or self._is_short(request, now)

    def _has_room(self, now: float, alone: bool = False) -> bool:
        """Return whether one more long request may run."""
        limit = self._limit.compute_for_long(now, alone)
        return self._count_long(now) < limit

    def _estimate_left(self, running: _Running, now: float) -> float:
        expected = self._expect(running.waiting.request, now).mean
        elapsed = now - running.started
        return expected - elapsed if elapsed < expected else elapsed

    def _handle_arrival(self, event: RequestArrived, now: float) -> None:
        self._budget.deposit()
        waiting = Waiting(event.request, now, movable=not event.handed_over)
        if not self._admit(waiting, now):
            self._refuse(waiting, now)

    def _admit(self, waiting: Waiting, now: float) -> bool:
        if not self._accepts():
            return self._move(waiting, now)
        if self._is_better_elsewhere(waiting, now) and self._move(
            waiting, now
        ):
            return True
        wait = self._estimate_wait(waiting, now)
        expected = self._expect(waiting.request, now).typical
        if now + wait + expected > waiting.request.deadline and wait > 0:
            return self._move(waiting, now)
        if now >= waiting.request.deadline:
            return False
        full = len(self._waiting) >= self.settings.queue_limit
        if full and not self._may_start(waiting.request, now):
            return self._move(waiting, now) or self._displace(waiting, now)
        self._enqueue(waiting, now)
        return True

    def _is_better_elsewhere(self, waiting: Waiting, now: float) -> bool:
        """Return whether a peer has more room for a long request."""
        request = waiting.request
        return (
            waiting.movable
            and self._is_long(request, now)
            and self._peers.count_free_for_long(now)
            > self.count_free(now).free_for_long
        )

    def _enqueue(self, waiting: Waiting, now: float) -> None:
        request = waiting.request
        used = self._usage.read(request.flow, now)
        expected = self._expect(request, now).typical
        self._usage.add(request.flow, expected, now)
        self._waiting[request.id] = attrs.evolve(
            waiting, used=used, charged=expected
        )

    def _refund(self, waiting: Waiting, now: float) -> None:
        self._usage.add(waiting.request.flow, -waiting.charged, now)

    def _displace(self, waiting: Waiting, now: float) -> bool:
        shares = Counter(w.request.flow for w in self._waiting.values())
        flow, most = shares.most_common(1)[0]
        if most <= shares[waiting.request.flow] + 1:
            return False
        last = max(
            (w for w in self._waiting.values() if w.request.flow == flow),
            key=lambda w: (w.arrived, w.request.id),
        )
        del self._waiting[last.request.id]
        self._refund(last, now)
        self._refuse(last, now)
        self._enqueue(waiting, now)
        return True

    def _move(self, waiting: Waiting, now: float) -> bool:
        request = waiting.request
        if not waiting.movable or request.size > HAND_OVER_SIZE_MAX:
            return False
        peer = self._peers.take(request.id, self._is_long(request, now), now)
        if peer is None:
            return False
        self._waiting.pop(request.id, None)
        self._handed[request.id] = _HandedOver(waiting, peer)
        self._actions.append(HandOver(request.id, peer))
        self.counts['handed_over'] += 1
        return True

    def _refuse(self, waiting: Waiting, now: float) -> None:
        reason = (
            RefusalReason.UNKNOWN_OUTCOME
            if waiting.may_have_run
            else RefusalReason.NOT_RUN
        )
        wait = self._estimate_wait(waiting, now)
        low, high = RETRY_AFTER_RANGE
        after = min(high, max(low, math.ceil(wait)))
        self._actions.append(Refuse(waiting.request.id, reason, after))
        self.counts[f'refused {reason.value}'] += 1

    def _handle_answer(self, event: TargetAnswered, now: float) -> None:
        running = self._running.pop(event.id, None)
        if running is None:
            self.counts['late_answers'] += 1
            return
        self._limit.record_answer()
        self._learn(running, now)
        if running.cancelled is None:
            self._actions.append(Finish(event.id, Ending.ANSWERED))

    def _learn(self, running: _Running, now: float) -> None:
        request = running.waiting.request
        run_time = now - running.started
        self._usage.add(request.flow, run_time - running.waiting.charged, now)
        self.estimates.learn(request.route, request.size, run_time, now)

    def _learn_at_least(self, running: _Running, now: float) -> None:
        expected = self._expect(running.waiting.request, now)
        if now - running.started > expected.mean:
            self._learn(running, now)

    def _handle_failure(self, event: TargetFailed, now: float) -> None:
        running = self._running.pop(event.id, None)
        if running is None:
            return
        if event.progress is AttemptProgress.SHED:
            self._limit.record_shed(len(self._running))
        if running.cancelled is not None:
            self._learn_at_least(running, now)
            return
        sent = event.progress is AttemptProgress.SENT
        waiting = (
            _mark_may_have_run(running.waiting) if sent else running.waiting
        )
        if not self._retry(waiting, now):
            self._refuse(waiting, now)

    def _retry(self, waiting: Waiting, now: float) -> bool:
        again = (
            (waiting.request.idempotent or not waiting.may_have_run)
            and waiting.attempts < ATTEMPTS_MAX
            and now < waiting.request.deadline
            and self._accepts()
            and self._budget.withdraw()
        )
        if again:
            self._waiting[waiting.request.id] = waiting
            self.counts['retries'] += 1
        return again

    def _handle_withdrawal(self, event: StartWithdrawn, now: float) -> None:
        running = self._running.pop(event.id, None)
        if running:
            self._refund(running.waiting, now)

    def _handle_cancel(self, event: RequestCancelled, now: float) -> None:
        running = self._running.get(event.id)
        if waiting := self._waiting.pop(event.id, None):
            self._refund(waiting, now)
            self._actions.append(Finish(event.id, Ending.CANCELLED))
        elif running and running.cancelled is None:
            self._cancel_running(event.id, now)
            self._actions.append(Finish(event.id, Ending.CANCELLED))
        elif handed := self._handed.pop(event.id, None):
            self._actions.append(CancelAtPeer(event.id, handed.peer))
            self._actions.append(Finish(event.id, Ending.CANCELLED))

    def _cancel_running(self, request_id: int, now: float) -> None:
        running = self._running[request_id]
        self._running[request_id] = attrs.evolve(running, cancelled=now)
        self._actions.append(CancelAtTarget(request_id))

    def _handle_load(self, event: LoadReported, _now: float) -> None:
        self._limit.record_report(event.slots)
        self._idle_reports = 0 if event.serving else self._idle_reports + 1
        self._paused = self._idle_reports > 1

    def _handle_drain(self, _event: DrainStarted, now: float) -> None:
        if self._draining is None:
            self._draining = now

    def _handle_peer(self, event: PeerSlots, now: float) -> None:
        self._peers.record(event, now)

    def _handle_peer_gone(self, event: PeerGone, _now: float) -> None:
        self._peers.forget(event.peer)

    def _handle_hand_over(self, event: HandOverAnswered, now: float) -> None:
        handed = self._handed.pop(event.id, None)
        if handed is None:
            self.counts['late_answers'] += 1
            return
        waiting = attrs.evolve(handed.waiting, movable=False)
        if event.outcome is HandOverOutcome.ANSWERED:
            self._actions.append(Finish(event.id, Ending.ANSWERED))
            return
        if event.outcome is HandOverOutcome.UNKNOWN:
            again = self._retry(_mark_may_have_run(waiting), now)
        else:
            again = self._admit(waiting, now)
        if not again:
            lost = event.outcome is HandOverOutcome.UNKNOWN
            self._refuse(_mark_may_have_run(waiting) if lost else waiting, now)

    def _handle_tick(self, _event: Tick, _now: float) -> None:
        """Expiry and starts follow every event."""

    def _expire(self, now: float) -> None:
        for waiting in tuple(self._waiting.values()):
            if self._is_hopeless(waiting, now):
                del self._waiting[waiting.request.id]
                self._refund(waiting, now)
                self._refuse(waiting, now)
        for request_id, running in tuple(self._running.items()):
            self._expire_running(request_id, running, now)
        for request_id, handed in tuple(self._handed.items()):
            if now >= handed.waiting.request.deadline:
                del self._handed[request_id]
                self._actions.append(CancelAtPeer(request_id, handed.peer))
                self._refuse(_mark_may_have_run(handed.waiting), now)

    def _is_hopeless(self, waiting: Waiting, now: float) -> bool:
        if self._draining is not None:
            over = now - self._draining >= DRAIN_START_MAX
            return over or now >= waiting.request.deadline
        estimate = self._expect(waiting.request, now)
        needed = estimate.typical if estimate.trusted else 0.0
        return now + needed >= waiting.request.deadline

    def _expire_running(
        self, request_id: int, running: _Running, now: float
    ) -> None:
        if running.cancelled is not None:
            if now - running.cancelled >= CANCEL_TIMEOUT:
                del self._running[request_id]
        elif now >= running.waiting.request.deadline:
            self._cancel_running(request_id, now)
            self._refuse(_mark_may_have_run(running.waiting), now)

    def _start_waiting(self, now: float) -> None:
        if not self._waiting or self._paused:
            return
        limit = self._limit.compute(now)
        while len(self._running) < limit:
            waiting = self._choose(now)
            if waiting is None:
                return
            self._start(waiting, now)

    def _choose(self, now: float) -> Waiting | None:
        room = self._has_room(now)
        chosen = self._find_first(
            now, lambda w: room or self._is_short(w.request, now)
        )
        if chosen is None and self._has_room(now, alone=True):
            chosen = self._find_first(now, lambda _: True)
        return chosen

    def _find_first(
        self, now: float, allows: Callable[[Waiting], bool]
    ) -> Waiting | None:
        return min(
            filter(allows, self._waiting.values()),
            key=lambda waiting: self._rank(waiting, now),
            default=None,
        )

    def _start(self, waiting: Waiting, now: float) -> None:
        request = waiting.request
        del self._waiting[request.id]
        started = attrs.evolve(
            waiting, attempts=waiting.attempts + 1, movable=False
        )
        self._running[request.id] = _Running(started, now)
        self._actions.append(Start(request.id))

    def _move_waiting(self, now: float) -> None:
        if not self._waiting or not self._peers.have_free(now):
            return
        movable = sorted(
            (w for w in self._waiting.values() if w.movable),
            key=lambda waiting: self._rank(waiting, now),
        )
        for waiting in movable:
            if self._is_worth_moving(waiting, now):
                self._move(waiting, now)

    def _is_worth_moving(self, waiting: Waiting, now: float) -> bool:
        wait = self._estimate_wait(waiting, now)
        return not self._accepts() or wait >= HAND_OVER_WAIT_MIN


def _mark_may_have_run(waiting: Waiting) -> Waiting:
    return attrs.evolve(waiting, may_have_run=True)


_HANDLERS: dict[type, Callable[[Scheduler, Any, float], None]] = {
    RequestArrived: Scheduler._handle_arrival,
    TargetAnswered: Scheduler._handle_answer,
    TargetFailed: Scheduler._handle_failure,
    StartWithdrawn: Scheduler._handle_withdrawal,
    RequestCancelled: Scheduler._handle_cancel,
    LoadReported: Scheduler._handle_load,
    DrainStarted: Scheduler._handle_drain,
    PeerSlots: Scheduler._handle_peer,
    PeerGone: Scheduler._handle_peer_gone,
    HandOverAnswered: Scheduler._handle_hand_over,
    Tick: Scheduler._handle_tick,
}

"""Admission, queueing and hand-over of the requests at one target."""

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
from .waiting import WaitingRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from .waiting import Rank

#: Queueing time after which a request is started before all shorter ones, in
#: seconds.
AGING_BOUND = 2.0

#: Time over which the concurrency limit of a newly started target rises to
#: its full value, in seconds.
SLOW_START = 5.0

#: Shortest expected queueing delay for which a request is handed over to a
#: peer, in seconds.
HAND_OVER_WAIT_MIN = 0.03

#: Longest expected remaining run time with which a request's slot is already
#: reported to the peers as free for short requests, in seconds.
FREE_SOON_TIME = 0.05

#: Largest request body that is handed over to a peer, in bytes.
HAND_OVER_SIZE_MAX = 65_536

#: Time after the start of a drain in which queued requests are still started,
#: in seconds.
DRAIN_START_MAX = 1.0

#: Time after which the slot of a cancelled request counts as free even though
#: the target has not ended the attempt, in seconds.
CANCEL_TIMEOUT = 1.0

#: Most attempts for one request at this target, the first included.
ATTEMPTS_MAX = 3

#: Shortest and longest time after which a refused caller is told to retry, in
#: seconds.
RETRY_AFTER_RANGE = (1, 30)


@attrs.frozen
class SchedulerSettings:
    """Limits of one target.

    :param slots: concurrent requests that the target announced it can run
    :param queue_limit: most requests in the queue
    :param long_after: expected run time from which a request counts as long,
        in seconds
    :param aging_bound: queueing time after which a request is started before
        all shorter ones, in seconds
    :param slow_start: time over which the concurrency limit of a newly
        started target rises to its full value, in seconds
    """

    slots: int
    queue_limit: int = 64
    long_after: float = 1.0
    aging_bound: float = AGING_BOUND
    slow_start: float = SLOW_START


@attrs.frozen
class FreeSlots:
    """Slots that are free for requests which peers hand over.

    :param free: slots that any request may take
    :param free_for_long: slots that a long request may take
    """

    free: int
    free_for_long: int


@attrs.frozen
class _RunningRequest:
    """A request that occupies a slot of the target.

    :param waiting: the request as it was queued
    :param started: when the current attempt was started
    :param cancelled: when it was cancelled; none when it was not
    """

    waiting: WaitingRequest
    started: float
    cancelled: float | None = None


@attrs.frozen
class _HandedOverRequest:
    """A request that a peer has not answered yet.

    :param waiting: the request as it was queued
    :param peer: name of the peer's target
    """

    waiting: WaitingRequest
    peer: str


@attrs.define
class Scheduler:
    """Queues the requests at one target and decides when each is started.

    The scheduler does no I/O and reads no clock: it is driven by
    :meth:`handle`, which returns the actions to perform.

    :param settings: limits of the target
    :param started_at: when the target was started, on the clock of ``now``
    :param estimates: expected run times of the routes
    :param counts: number of retries, hand-overs, refusals and late answers
    """

    settings: SchedulerSettings
    started_at: float
    estimates: Estimates = attrs.field(factory=Estimates)
    counts: Counter[str] = attrs.field(factory=Counter)
    _limit: ConcurrencyLimit = attrs.field(init=False)
    _retry_budget: RetryBudget = attrs.field(factory=RetryBudget, init=False)
    _peers: Peers = attrs.field(factory=Peers, init=False)
    _usage: FlowUsage = attrs.field(factory=FlowUsage, init=False)
    _waiting: dict[int, WaitingRequest] = attrs.field(factory=dict, init=False)
    _running: dict[int, _RunningRequest] = attrs.field(
        factory=dict, init=False
    )
    _handed_over: dict[int, _HandedOverRequest] = attrs.field(
        factory=dict, init=False
    )
    _draining_since: float | None = attrs.field(default=None, init=False)
    _paused: bool = attrs.field(default=False, init=False)
    _not_serving_reports: int = attrs.field(default=0, init=False)
    _actions: list[Action] = attrs.field(factory=list, init=False)

    @_limit.default
    def _make_limit(self) -> ConcurrencyLimit:
        return ConcurrencyLimit(
            self.settings.slots, self.started_at, self.settings.slow_start
        )

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Process one event.

        After each event, requests that have expired are refused, queued
        requests are started on free slots, and others are handed over to
        peers.

        :param event: what has happened
        :param now: current time of a monotonic clock, in seconds
        :returns: actions to perform, in this order
        """
        _HANDLERS[type(event)](self, event, now)
        self._expire(now)
        self._start_waiting(now)
        self._hand_over_waiting(now)
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def count_free(self, now: float) -> FreeSlots:
        """Return the free slots to report to the peers.

        ``free`` includes the slots that are about to become free, less one
        for each queued short request; ``free_for_long`` counts only slots
        that are free now.
        """
        if not self._accepts():
            return FreeSlots(0, 0)
        free = max(0, self._limit.compute(now) - len(self._running))
        free_for_long = self._limit.compute_for_long(now) - self._count_long(
            now
        )
        ending = sum(
            self._estimate_remaining(running, now) <= FREE_SOON_TIME
            for running in self._running.values()
        )
        waiting = sum(
            self._is_short(waiting.request, now)
            for waiting in self._waiting.values()
        )
        return FreeSlots(
            max(0, free + ending - waiting), max(0, min(free, free_for_long))
        )

    @property
    def idle(self) -> bool:
        """Whether no request is queued, running or handed over to a peer."""
        return not (self._waiting or self._running or self._handed_over)

    @property
    def queue_length(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    def _accepts(self) -> bool:
        return self._draining_since is None and not self._paused

    def _estimate(self, request: Request, now: float) -> Estimate:
        return self.estimates.expect(request.route, request.size, now)

    def _is_long(self, request: Request, now: float) -> bool:
        return self._estimate(request, now).typical >= self.settings.long_after

    def _is_short(self, request: Request, now: float) -> bool:
        """Return whether a request is short according to a reliable estimate.

        A request without one is not short: it may take only a slot that a
        long request may take.
        """
        return self._estimate(request, now).trusted and not self._is_long(
            request, now
        )

    def _count_long(self, now: float) -> int:
        return sum(
            now - running.started >= self.settings.long_after
            or self._is_long(running.waiting.request, now)
            for running in self._running.values()
        )

    def _rank(self, waiting: WaitingRequest, now: float) -> Rank:
        return rank_waiting(
            waiting,
            self._estimate(waiting.request, now),
            self.settings.aging_bound,
            now,
        )

    def _estimate_wait(self, waiting: WaitingRequest, now: float) -> float:
        """Return the expected queueing delay of a request, in seconds."""
        if self._may_start(waiting.request, now):
            return 0.0
        limit = self._limit.compute(now)
        rank = self._rank(waiting, now)
        ahead = sum(
            self._estimate(other.request, now).mean
            for other in self._waiting.values()
            if other is not waiting and self._rank(other, now) <= rank
        )
        remaining = sum(
            self._estimate_remaining(r, now) for r in self._running.values()
        )
        return (ahead + remaining) / limit

    def _may_start(self, request: Request, now: float) -> bool:
        """Return whether the request could be started at once.

        Queued requests need not be considered: each free slot has already
        been offered to them, so it is one that none of them may take.
        """
        if len(self._running) >= self._limit.compute(now):
            return False
        return self._has_slot_for_long(now) or self._is_short(request, now)

    def _has_slot_for_long(
        self, now: float, no_short_waiting: bool = False
    ) -> bool:
        """Return whether one more long request may run.

        :param now: current time
        :param no_short_waiting: whether no short request is queued, so that
            fewer slots are reserved for short requests
        """
        limit = self._limit.compute_for_long(now, no_short_waiting)
        return self._count_long(now) < limit

    def _estimate_remaining(
        self, running: _RunningRequest, now: float
    ) -> float:
        # A request that has exceeded its expected run time is expected to
        # need as long again as it has already run.
        expected = self._estimate(running.waiting.request, now).mean
        elapsed = now - running.started
        return expected - elapsed if elapsed < expected else elapsed

    def _handle_arrival(self, event: RequestArrived, now: float) -> None:
        self._retry_budget.deposit()
        waiting = WaitingRequest(
            event.request, now, may_hand_over=not event.handed_over
        )
        if not self._admit(waiting, now):
            self._refuse(waiting, now)

    def _admit(self, waiting: WaitingRequest, now: float) -> bool:
        """Queue a request or hand it over to a peer.

        :returns: False when neither is possible, so that it must be refused
        """
        if not self._accepts():
            return self._hand_over(waiting, now)
        if self._has_peer_more_for_long(waiting, now) and self._hand_over(
            waiting, now
        ):
            return True
        wait = self._estimate_wait(waiting, now)
        expected = self._estimate(waiting.request, now).typical
        if now + wait + expected > waiting.request.deadline and wait > 0:
            return self._hand_over(waiting, now)
        if now >= waiting.request.deadline:
            return False
        full = len(self._waiting) >= self.settings.queue_limit
        if full and not self._may_start(waiting.request, now):
            return self._hand_over(waiting, now) or self._evict_for(
                waiting, now
            )
        self._enqueue(waiting, now)
        return True

    def _has_peer_more_for_long(
        self, waiting: WaitingRequest, now: float
    ) -> bool:
        """Return whether a long request has more free slots at a peer."""
        request = waiting.request
        return (
            waiting.may_hand_over
            and self._is_long(request, now)
            and self._peers.count_free_for_long(now)
            > self.count_free(now).free_for_long
        )

    def _enqueue(self, waiting: WaitingRequest, now: float) -> None:
        request = waiting.request
        used = self._usage.read(request.flow, now)
        expected = self._estimate(request, now).typical
        self._usage.add(request.flow, expected, now)
        self._waiting[request.id] = attrs.evolve(
            waiting, used=used, charged=expected
        )

    def _refund(self, waiting: WaitingRequest, now: float) -> None:
        self._usage.add(waiting.request.flow, -waiting.charged, now)

    def _evict_for(self, waiting: WaitingRequest, now: float) -> bool:
        """Refuse a queued request of the flow that has most of them.

        :param waiting: the request that takes its place in the queue
        :param now: current time
        :returns: False when no flow has at least two queued requests more
            than the flow of the new one
        """
        waiting_by_flow = Counter(
            w.request.flow for w in self._waiting.values()
        )
        flow, most = waiting_by_flow.most_common(1)[0]
        if most <= waiting_by_flow[waiting.request.flow] + 1:
            return False
        newest = max(
            (w for w in self._waiting.values() if w.request.flow == flow),
            key=lambda w: (w.arrived, w.request.id),
        )
        del self._waiting[newest.request.id]
        self._refund(newest, now)
        self._refuse(newest, now)
        self._enqueue(waiting, now)
        return True

    def _hand_over(self, waiting: WaitingRequest, now: float) -> bool:
        request = waiting.request
        if not waiting.may_hand_over or request.size > HAND_OVER_SIZE_MAX:
            return False
        peer = self._peers.reserve(
            request.id, self._is_long(request, now), now
        )
        if peer is None:
            return False
        self._waiting.pop(request.id, None)
        self._handed_over[request.id] = _HandedOverRequest(waiting, peer)
        self._actions.append(HandOver(request.id, peer))
        self.counts['handed_over'] += 1
        return True

    def _refuse(self, waiting: WaitingRequest, now: float) -> None:
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

    def _learn(self, running: _RunningRequest, now: float) -> None:
        request = running.waiting.request
        run_time = now - running.started
        self._usage.add(request.flow, run_time - running.waiting.charged, now)
        self.estimates.learn(request.route, request.size, run_time, now)

    def _learn_if_longer(self, running: _RunningRequest, now: float) -> None:
        """Learn from a cancelled attempt if it exceeded the expected time.

        The time up to its end is only a lower bound of its run time.
        """
        expected = self._estimate(running.waiting.request, now)
        if now - running.started > expected.mean:
            self._learn(running, now)

    def _handle_failure(self, event: TargetFailed, now: float) -> None:
        running = self._running.pop(event.id, None)
        if running is None:
            return
        if event.progress is AttemptProgress.SHED:
            self._limit.record_shed(len(self._running))
        if running.cancelled is not None:
            self._learn_if_longer(running, now)
            return
        sent = event.progress is AttemptProgress.SENT
        waiting = (
            _mark_may_have_run(running.waiting) if sent else running.waiting
        )
        if not self._retry(waiting, now):
            self._refuse(waiting, now)

    def _retry(self, waiting: WaitingRequest, now: float) -> bool:
        """Queue a request again after a failed attempt, if that is allowed.

        :returns: whether it was queued
        """
        retried = (
            (waiting.request.idempotent or not waiting.may_have_run)
            and waiting.attempts < ATTEMPTS_MAX
            and now < waiting.request.deadline
            and self._accepts()
            and self._retry_budget.withdraw()
        )
        if retried:
            self._waiting[waiting.request.id] = waiting
            self.counts['retries'] += 1
        return retried

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
        elif handed_request := self._handed_over.pop(event.id, None):
            self._actions.append(CancelAtPeer(event.id, handed_request.peer))
            self._actions.append(Finish(event.id, Ending.CANCELLED))

    def _cancel_running(self, request_id: int, now: float) -> None:
        running = self._running[request_id]
        self._running[request_id] = attrs.evolve(running, cancelled=now)
        self._actions.append(CancelAtTarget(request_id))

    def _handle_load(self, event: LoadReported, _now: float) -> None:
        self._limit.record_report(event.slots)
        self._not_serving_reports = (
            0 if event.serving else self._not_serving_reports + 1
        )
        self._paused = self._not_serving_reports > 1

    def _handle_drain(self, _event: DrainStarted, now: float) -> None:
        if self._draining_since is None:
            self._draining_since = now

    def _handle_peer(self, event: PeerSlots, now: float) -> None:
        self._peers.record(event, now)

    def _handle_peer_gone(self, event: PeerGone, _now: float) -> None:
        self._peers.remove(event.peer)

    def _handle_hand_over(self, event: HandOverAnswered, now: float) -> None:
        handed_request = self._handed_over.pop(event.id, None)
        if handed_request is None:
            self.counts['late_answers'] += 1
            return
        waiting = attrs.evolve(handed_request.waiting, may_hand_over=False)
        if event.outcome is HandOverOutcome.ANSWERED:
            self._actions.append(Finish(event.id, Ending.ANSWERED))
            return
        if event.outcome is HandOverOutcome.UNKNOWN:
            kept = self._retry(_mark_may_have_run(waiting), now)
        else:
            kept = self._admit(waiting, now)
        if not kept:
            may_have_run = event.outcome is HandOverOutcome.UNKNOWN
            self._refuse(
                _mark_may_have_run(waiting) if may_have_run else waiting, now
            )

    def _handle_tick(self, _event: Tick, _now: float) -> None:
        """Do nothing: :meth:`handle` expires and starts after every event."""

    def _expire(self, now: float) -> None:
        """Refuse the requests whose deadline has passed or can not be met."""
        for waiting in tuple(self._waiting.values()):
            if self._must_refuse(waiting, now):
                del self._waiting[waiting.request.id]
                self._refund(waiting, now)
                self._refuse(waiting, now)
        for request_id, running in tuple(self._running.items()):
            self._expire_running(request_id, running, now)
        for request_id, handed_request in tuple(self._handed_over.items()):
            if now >= handed_request.waiting.request.deadline:
                del self._handed_over[request_id]
                self._actions.append(
                    CancelAtPeer(request_id, handed_request.peer)
                )
                self._refuse(_mark_may_have_run(handed_request.waiting), now)

    def _must_refuse(self, waiting: WaitingRequest, now: float) -> bool:
        """Return whether a queued request can not end by its deadline.

        While draining, queued requests are refused once
        :data:`DRAIN_START_MAX` is over.
        """
        if self._draining_since is not None:
            start_time_over = now - self._draining_since >= DRAIN_START_MAX
            return start_time_over or now >= waiting.request.deadline
        estimate = self._estimate(waiting.request, now)
        needed = estimate.typical if estimate.trusted else 0.0
        return now + needed >= waiting.request.deadline

    def _expire_running(
        self, request_id: int, running: _RunningRequest, now: float
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

    def _choose(self, now: float) -> WaitingRequest | None:
        may_run_long = self._has_slot_for_long(now)
        chosen = self._find_first(
            now, lambda w: may_run_long or self._is_short(w.request, now)
        )
        if chosen is None and self._has_slot_for_long(
            now, no_short_waiting=True
        ):
            chosen = self._find_first(now, lambda _: True)
        return chosen

    def _find_first(
        self, now: float, allows: Callable[[WaitingRequest], bool]
    ) -> WaitingRequest | None:
        return min(
            filter(allows, self._waiting.values()),
            key=lambda waiting: self._rank(waiting, now),
            default=None,
        )

    def _start(self, waiting: WaitingRequest, now: float) -> None:
        request = waiting.request
        del self._waiting[request.id]
        started = attrs.evolve(
            waiting, attempts=waiting.attempts + 1, may_hand_over=False
        )
        self._running[request.id] = _RunningRequest(started, now)
        self._actions.append(Start(request.id))

    def _hand_over_waiting(self, now: float) -> None:
        if not self._waiting or not self._peers.have_free(now):
            return
        candidates = sorted(
            (w for w in self._waiting.values() if w.may_hand_over),
            key=lambda waiting: self._rank(waiting, now),
        )
        for waiting in candidates:
            if self._is_worth_handing_over(waiting, now):
                self._hand_over(waiting, now)

    def _is_worth_handing_over(
        self, waiting: WaitingRequest, now: float
    ) -> bool:
        wait = self._estimate_wait(waiting, now)
        return not self._accepts() or wait >= HAND_OVER_WAIT_MIN


def _mark_may_have_run(waiting: WaitingRequest) -> WaitingRequest:
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

"""Discrete-event simulation of one service's queues, in virtual time."""

from __future__ import annotations

from collections import Counter
from collections import deque
import heapq
import itertools
from random import Random
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.requests.scheduler import Scheduler
from pistachiohook_core.requests.scheduler import SchedulerSettings
import pistachiohook_core.requests.scheduler_messages as messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

#: One-way delay between two agents, in seconds.
AGENT_DELAY = 0.0015

#: Time from a cancellation until the target has stopped the run, in seconds.
CANCEL_DELAY = 0.001

#: Time between two reports of an agent's free slots, in seconds.
PEER_REPORT_INTERVAL = 0.05


@attrs.frozen
class Job:
    """A request with its run time, which the scheduler does not know.

    :param id: number of the request
    :param arrival: virtual time of its arrival
    :param flow: flow on which it arrives
    :param route: method and path pattern
    :param run_time: time that a target needs to run it, in seconds
    :param deadline: virtual time at which the caller stops waiting
    :param owner: target that owns the flow
    """

    id: int
    arrival: float
    flow: str
    route: str
    run_time: float
    deadline: float
    owner: int


@attrs.define
class Results:
    """Outcomes of the jobs, by the number of the job.

    :param waits: time from arrival to the first start, in seconds
    :param answered: virtual time at which the owner of the flow had the
        response
    :param runs: how often targets started to run it
    :param refused: jobs refused as not run
    :param unknown: jobs refused with an unknown outcome
    """

    waits: dict[int, float] = attrs.field(factory=dict)
    answered: dict[int, float] = attrs.field(factory=dict)
    runs: Counter[int] = attrs.field(factory=Counter)
    refused: set[int] = attrs.field(factory=set)
    unknown: set[int] = attrs.field(factory=set)


@attrs.define
class VirtualClock:
    """Virtual clock that makes scheduled calls in the order of their times.

    Calls at the same time are made in the order in which they were scheduled.
    """

    now: float = 0.0
    _calls: list[tuple[float, int, Callable[..., None], Any]] = attrs.field(
        factory=list
    )
    _numbers: Iterable[int] = attrs.field(factory=itertools.count)

    def call_at(
        self, at: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a call at a virtual time."""
        number = next(iter(self._numbers))
        heapq.heappush(self._calls, (at, number, function, args))

    def run(self) -> None:
        """Make all scheduled calls, including those that they schedule."""
        while self._calls:
            self.now, _, function, args = heapq.heappop(self._calls)
            function(*args)


@attrs.define
class Service:
    """Simulated service whose targets each have a scheduler.

    :param targets: number of targets
    :param settings: settings of each scheduler
    :param end: virtual time at which the schedulers' ticks and the reports
        of free slots stop
    """

    targets: int
    settings: SchedulerSettings
    end: float
    clock: VirtualClock = attrs.field(factory=VirtualClock)
    results: Results = attrs.field(factory=Results)
    schedulers: list[Scheduler] = attrs.field(init=False)
    _jobs: dict[int, Job] = attrs.field(factory=dict)
    #: Target that handed a request over to another, by number of the request.
    _origins: dict[int, int] = attrs.field(factory=dict)
    _cancelled: set[int] = attrs.field(factory=set)

    @schedulers.default
    def _make_schedulers(self) -> list[Scheduler]:
        # The targets started long ago: slow start no longer limits the slots.
        return [Scheduler(self.settings, -1e6) for _ in range(self.targets)]

    def run(self, jobs: Iterable[Job]) -> Results:
        """Simulate all jobs until none is left."""
        for job in jobs:
            self._jobs[job.id] = job
            self.clock.call_at(
                job.arrival, self._arrive, job, job.owner, False
            )
        for target in range(self.targets):
            self.clock.call_at(0.0, self._tick, target)
            self.clock.call_at(0.0, self._report, target)
        self.clock.run()
        return self.results

    def _arrive(self, job: Job, target: int, handed_over: bool) -> None:
        request = messages.Request(
            job.id, job.flow, job.route, False, job.deadline
        )
        event = messages.RequestArrived(request, handed_over)
        self._handle(target, event)

    def _tick(self, target: int) -> None:
        self._handle(target, messages.Tick())
        if self.clock.now < self.end:
            after = self.clock.now + messages.TICK_INTERVAL
            self.clock.call_at(after, self._tick, target)

    def _report(self, target: int) -> None:
        free = self.schedulers[target].count_free(self.clock.now)
        event = messages.PeerSlots(str(target), free.free, free.free_for_long)
        for peer in range(self.targets):
            if peer != target:
                at = self.clock.now + AGENT_DELAY
                self.clock.call_at(at, self._handle, peer, event)
        if self.clock.now < self.end:
            after = self.clock.now + PEER_REPORT_INTERVAL
            self.clock.call_at(after, self._report, target)

    def _handle(self, target: int, event: messages.Event) -> None:
        for action in self.schedulers[target].handle(event, self.clock.now):
            self._perform(target, action)

    def _perform(self, target: int, action: messages.Action) -> None:
        match action:
            case messages.Start(id=number):
                self._start(target, self._jobs[number])
            case messages.HandOver(id=number, peer=peer):
                self._origins[number] = target
                at = self.clock.now + AGENT_DELAY
                job = self._jobs[number]
                self.clock.call_at(at, self._arrive, job, int(peer), True)
            case messages.Refuse(id=number, reason=reason):
                self._refuse(target, number, reason)
            case messages.CancelAtTarget(id=number):
                self._cancelled.add(number)
                event = messages.TargetFailed(
                    number, messages.AttemptProgress.SENT
                )
                at = self.clock.now + CANCEL_DELAY
                self.clock.call_at(at, self._handle, target, event)

    def _start(self, target: int, job: Job) -> None:
        self.results.runs[job.id] += 1
        self.results.waits.setdefault(job.id, self.clock.now - job.arrival)
        at = self.clock.now + job.run_time
        self.clock.call_at(at, self._answer, target, job)

    def _answer(self, target: int, job: Job) -> None:
        if job.id in self._cancelled:
            return
        origin = self._origins.get(job.id, target)
        delay = AGENT_DELAY if origin != target else 0.0
        self.results.answered.setdefault(job.id, self.clock.now + delay)
        self._handle(target, messages.TargetAnswered(job.id))
        if origin != target:
            self._return_outcome(
                target, job.id, messages.HandOverOutcome.ANSWERED
            )

    def _refuse(
        self, target: int, number: int, reason: messages.RefusalReason
    ) -> None:
        not_run = reason is messages.RefusalReason.NOT_RUN
        if self._origins.get(number, target) != target:
            outcome = (
                messages.HandOverOutcome.NOT_RUN
                if not_run
                else messages.HandOverOutcome.UNKNOWN
            )
            self._return_outcome(target, number, outcome)
        else:
            known = self.results.refused if not_run else self.results.unknown
            known.add(number)

    def _return_outcome(
        self, target: int, number: int, outcome: messages.HandOverOutcome
    ) -> None:
        origin = self._origins.pop(number, target)
        event = messages.HandOverAnswered(number, outcome)
        self.clock.call_at(
            self.clock.now + AGENT_DELAY, self._handle, origin, event
        )


def run_fifo(
    jobs: Iterable[Job], targets: int, slots: int, random: Random | None
) -> Results:
    """Simulate unlimited first-in, first-out queues that ignore deadlines.

    :param jobs: in the order of their arrival
    :param targets: number of targets
    :param slots: slots of each target
    :param random: chooses a target for each job; with ``None`` a job runs at
        the owner of its flow
    """
    results = Results()
    free = [[0.0] * slots for _ in range(targets)]
    for job in jobs:
        target = random.randrange(targets) if random else job.owner
        start = max(job.arrival, heapq.heappop(free[target]))
        heapq.heappush(free[target], start + job.run_time)
        results.runs[job.id] += 1
        results.waits[job.id] = start - job.arrival
        results.answered[job.id] = start + job.run_time
    return results


def compute_work_bound(
    jobs: Iterable[Job], servers: int, start: float, end: float
) -> float:
    """Return an upper bound on the work done before deadlines in a window.

    The bound is the work of earliest-deadline-first scheduling with all slots
    in one pool, where a job can be preempted and spread over all slots. No
    scheduler can do more.

    :param jobs: in the order of their arrival
    :param servers: slots of all targets together
    :param start: start of the window
    :param end: end of the window
    :returns: work in the window, as run time in seconds
    """
    waiting: list[tuple[float, int, float]] = []
    arrivals = deque(jobs)
    now = done = 0.0
    while arrivals or waiting:
        if not waiting:
            now = max(now, arrivals[0].arrival)
        while arrivals and arrivals[0].arrival <= now:
            job = arrivals.popleft()
            heapq.heappush(waiting, (job.deadline, job.id, job.run_time))
        deadline, number, remaining = heapq.heappop(waiting)
        until = min(
            now + remaining / servers,
            deadline,
            arrivals[0].arrival if arrivals else deadline,
        )
        if until <= now:
            continue
        work = (until - now) * servers
        done += max(0.0, min(until, end) - max(now, start)) * servers
        now = until
        # Rounding errors can leave a tiny remainder of a finished job.
        if remaining - work > 1e-12 and deadline > now:
            heapq.heappush(waiting, (deadline, number, remaining - work))
    return done


def compute_quantile(values: Iterable[float], share: float) -> float:
    """Return a quantile of the values, 0 when there are none.

    :param share: share of the values that do not exceed the quantile
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

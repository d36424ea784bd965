"""Queueing of one service in virtual time, for the request measures."""

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

#: One way between two agents, in seconds.
AGENT_DELAY = 0.0015

#: Time in which a target stops a run that is cancelled, in seconds.
CANCEL_DELAY = 0.001

#: Time between two reports of an agent's free slots, in seconds.
PEER_REPORT_INTERVAL = 0.05


@attrs.frozen
class Job:
    """A request, and the run time that nobody knows beforehand.

    :param id: number of the request
    :param at: when it arrives
    :param flow: flow on which it comes
    :param route: method and path pattern
    :param run: run time, in seconds
    :param deadline: when the caller stops waiting
    :param home: target that owns the flow
    """

    id: int
    at: float
    flow: str
    route: str
    run: float
    deadline: float
    home: int


@attrs.define
class Results:
    """What became of the jobs.

    :param waits: time from arrival to the first start, by job
    :param answered: when the answer was there, by job
    :param runs: how often the target ran it, by job
    :param refused: jobs refused as not run
    :param unknown: jobs whose outcome the caller does not know
    """

    waits: dict[int, float] = attrs.field(factory=dict)
    answered: dict[int, float] = attrs.field(factory=dict)
    runs: Counter[int] = attrs.field(factory=Counter)
    refused: set[int] = attrs.field(factory=set)
    unknown: set[int] = attrs.field(factory=set)


@attrs.define
class Clock:
    """Calls in the order of virtual time."""

    now: float = 0.0
    _calls: list[tuple[float, int, Callable[..., None], Any]] = attrs.field(
        factory=list
    )
    _numbers: Iterable[int] = attrs.field(factory=itertools.count)

    def call(
        self, at: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Call a function at a time."""
        number = next(iter(self._numbers))
        heapq.heappush(self._calls, (at, number, function, args))

    def run(self) -> None:
        """Make all calls."""
        while self._calls:
            self.now, _, function, args = heapq.heappop(self._calls)
            function(*args)


@attrs.define
class Service:
    """The targets of one service, each behind its scheduler.

    :param targets: number of targets
    :param settings: limits of each
    :param end: when the agents stop to tell their free slots
    """

    targets: int
    settings: SchedulerSettings
    end: float
    clock: Clock = attrs.field(factory=Clock)
    results: Results = attrs.field(factory=Results)
    schedulers: list[Scheduler] = attrs.field(init=False)
    _jobs: dict[int, Job] = attrs.field(factory=dict)
    _homes: dict[int, int] = attrs.field(factory=dict)
    _cancelled: set[int] = attrs.field(factory=set)

    @schedulers.default
    def _make_schedulers(self) -> list[Scheduler]:
        return [Scheduler(self.settings, -1e6) for _ in range(self.targets)]

    def run(self, jobs: Iterable[Job]) -> Results:
        """Run all jobs to their end."""
        for job in jobs:
            self._jobs[job.id] = job
            self.clock.call(job.at, self._arrive, job, job.home, False)
        for target in range(self.targets):
            self.clock.call(0.0, self._tick, target)
            self.clock.call(0.0, self._report, target)
        self.clock.run()
        return self.results

    def _arrive(self, job: Job, target: int, handed_over: bool) -> None:
        request = messages.Request(
            job.id, job.flow, job.route, False, job.deadline
        )
        event = messages.RequestArrived(request, handed_over)
        self._feed(target, event)

    def _tick(self, target: int) -> None:
        self._feed(target, messages.Tick())
        if self.clock.now < self.end:
            after = self.clock.now + messages.TICK_INTERVAL
            self.clock.call(after, self._tick, target)

    def _report(self, target: int) -> None:
        free = self.schedulers[target].count_free(self.clock.now)
        event = messages.PeerSlots(str(target), free.free, free.free_for_long)
        for peer in range(self.targets):
            if peer != target:
                at = self.clock.now + AGENT_DELAY
                self.clock.call(at, self._feed, peer, event)
        if self.clock.now < self.end:
            after = self.clock.now + PEER_REPORT_INTERVAL
            self.clock.call(after, self._report, target)

    def _feed(self, target: int, event: messages.Event) -> None:
        for action in self.schedulers[target].handle(event, self.clock.now):
            self._carry_out(target, action)

    def _carry_out(self, target: int, action: messages.Action) -> None:
        match action:
            case messages.Start(id=number):
                self._start(target, self._jobs[number])
            case messages.HandOver(id=number, peer=peer):
                self._homes[number] = target
                at = self.clock.now + AGENT_DELAY
                job = self._jobs[number]
                self.clock.call(at, self._arrive, job, int(peer), True)
            case messages.Refuse(id=number, reason=reason):
                self._refuse(target, number, reason)
            case messages.CancelAtTarget(id=number):
                self._cancelled.add(number)
                event = messages.TargetFailed(
                    number, messages.AttemptProgress.SENT
                )
                at = self.clock.now + CANCEL_DELAY
                self.clock.call(at, self._feed, target, event)

    def _start(self, target: int, job: Job) -> None:
        self.results.runs[job.id] += 1
        self.results.waits.setdefault(job.id, self.clock.now - job.at)
        at = self.clock.now + job.run
        self.clock.call(at, self._answer, target, job)

    def _answer(self, target: int, job: Job) -> None:
        if job.id in self._cancelled:
            return
        home = self._homes.get(job.id, target)
        delay = AGENT_DELAY if home != target else 0.0
        self.results.answered.setdefault(job.id, self.clock.now + delay)
        self._feed(target, messages.TargetAnswered(job.id))
        if home != target:
            self._return(target, job.id, messages.HandOverOutcome.ANSWERED)

    def _refuse(
        self, target: int, number: int, reason: messages.RefusalReason
    ) -> None:
        not_run = reason is messages.RefusalReason.NOT_RUN
        if self._homes.get(number, target) != target:
            outcome = (
                messages.HandOverOutcome.NOT_RUN
                if not_run
                else messages.HandOverOutcome.UNKNOWN
            )
            self._return(target, number, outcome)
        else:
            known = self.results.refused if not_run else self.results.unknown
            known.add(number)

    def _return(
        self, target: int, number: int, outcome: messages.HandOverOutcome
    ) -> None:
        home = self._homes.pop(number, target)
        event = messages.HandOverAnswered(number, outcome)
        self.clock.call(self.clock.now + AGENT_DELAY, self._feed, home, event)


def run_first_come(
    jobs: Iterable[Job], targets: int, slots: int, random: Random | None
) -> Results:
    """Run the jobs first come, first served, without a queue limit.

    :param jobs: in the order of their arrival
    :param targets: number of targets
    :param slots: slots of each
    :param random: picks a target for each job; without it, the flow's own
    """
    results = Results()
    free = [[0.0] * slots for _ in range(targets)]
    for job in jobs:
        target = random.randrange(targets) if random else job.home
        start = max(job.at, heapq.heappop(free[target]))
        heapq.heappush(free[target], start + job.run)
        results.runs[job.id] += 1
        results.waits[job.id] = start - job.at
        results.answered[job.id] = start + job.run
    return results


def bound_work(
    jobs: Iterable[Job], servers: int, start: float, end: float
) -> float:
    """Return the most work within deadlines that could be done in a window.

    All slots as one pool, work cut at will, the earliest deadline first: no
    policy can do more.

    :param jobs: in the order of their arrival
    :param servers: slots of all targets together
    :param start: start of the window
    :param end: end of the window
    :returns: run time, in seconds
    """
    waiting: list[tuple[float, int, float]] = []
    arrivals = deque(jobs)
    now = done = 0.0
    while arrivals or waiting:
        if not waiting:
            now = max(now, arrivals[0].at)
        while arrivals and arrivals[0].at <= now:
            job = arrivals.popleft()
            heapq.heappush(waiting, (job.deadline, job.id, job.run))
        deadline, number, left = heapq.heappop(waiting)
        until = min(
            now + left / servers,
            deadline,
            arrivals[0].at if arrivals else deadline,
        )
        if until <= now:
            continue
        work = (until - now) * servers
        done += max(0.0, min(until, end) - max(now, start)) * servers
        now = until
        if left - work > 1e-12 and deadline > now:
            heapq.heappush(waiting, (deadline, number, left - work))
    return done


def find_quantile(values: Iterable[float], share: float) -> float:
    """Return the value that this share of the values does not exceed."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

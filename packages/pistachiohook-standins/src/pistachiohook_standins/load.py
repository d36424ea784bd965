"""Load tool: sends requests at rates that change over time, and reports."""

from __future__ import annotations

import asyncio
from collections import Counter
import contextlib
import enum
import itertools
import math
from pathlib import Path
import random
import sys
import time
from typing import TYPE_CHECKING

import attrs
import cyclopts
from pistachiohook_core.metrics import Metrics

from .caller import Caller
from .caller import make_request
from .caller import ReconnectingFlow
from .caller import Work
from .caller import WorkKind
from .flows import FlowLostError
from .processes import print_line
from .settings import read_settings
from .tally import fetch_runs
from .tally import Outcome
from .tally import Summary
from .tally import Tally

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .tally import TargetRuns

#: Quantiles of the report, in percent.
QUANTILES = (50.0, 99.0)


class Shape(enum.Enum):
    """How the arrival rate of a demand changes over time."""

    #: Always the base rate.
    STEADY = 'steady'
    #: The base rate in the first half of each period, then the peak rate.
    STEP = 'step'
    #: A sine wave between base and peak rate; it starts at the base rate.
    WAVE = 'wave'


@attrs.frozen
class Demand:
    """Requests of one kind in an open loop.

    They arrive at given rates, whether earlier ones were answered or not.

    :param name: name of the demand in the report
    :param kind: kind of the requests
    :param service: name of the service
    :param address: service address
    :param authority: DNS name of the service's certificate
    :param base: base rate, in arrivals per second
    :param peak: peak rate, in arrivals per second
    :param shape: how the rate changes between base and peak
    :param period: period of these changes, in seconds
    :param flows: number of flows over which the arrivals are spread
    :param timeout: deadline of each request with all its attempts, in seconds
    :param retry: whether an attempt that failed is repeated until the timeout
    :param seconds: run time of an order that is no straggler, in seconds; 0
        lets the target choose it
    :param straggler: run time of a straggler, in seconds; 0 lets the target
        choose it
    :param straggler_share: share of the requests that are stragglers
    :param lines: lines of a feed
    :param interval: time between two lines, in seconds
    :param size: size of an upload, in bytes
    :param rate: speed of an upload, in bytes per second
    """

    name: str
    kind: WorkKind
    service: str
    address: str
    authority: str
    base: float
    peak: float = 0.0
    shape: Shape = Shape.STEADY
    period: float = 10.0
    flows: int = 8
    timeout: float = 5.0
    retry: bool = False
    seconds: float = 0.0
    straggler: float = 0.0
    straggler_share: float = 0.0
    lines: int = 20
    interval: float = 0.1
    size: int = 1 << 20
    rate: float = 1e6


@attrs.frozen
class LoadSettings:
    """Settings of the load tool.

    :param ca: file with the certificate authority
    :param duration: time during which requests arrive, in seconds
    :param demands: demands, all from the start on
    :param targets: base URLs of the targets whose runs are counted
    :param seed: seed for arrivals, stragglers and retry delays
    """

    ca: str
    duration: float
    demands: list[Demand]
    targets: list[str] = attrs.field(factory=list)
    seed: int = 1


@attrs.frozen
class Arrival:
    """Arrival of one request.

    :param time: time since the start of the run, in seconds
    :param crest: whether the rate is then above the midpoint between base and
        peak; never with a steady rate
    :param straggler: whether the request has the stragglers' run time
    """

    time: float
    crest: bool
    straggler: bool


@attrs.frozen
class RequestGroup:
    """Requests of one demand that are alike in crest and straggler.

    :param demand: name of the demand
    :param crest: whether they arrived while the rate was above its midpoint
    :param straggler: whether they have the stragglers' run time
    """

    demand: str
    crest: bool
    straggler: bool


@attrs.frozen
class GroupReport:
    """Outcomes and durations of a group of requests.

    :param group: the group
    :param done: number of requests with a complete response in time
    :param refused: number of requests whose last outcome was a refusal as not
        run
    :param unknown: number of all others
    :param seconds: quantiles of the time until the complete response, as
        ``p50`` and ``p99``
    """

    group: RequestGroup
    done: int
    refused: int
    unknown: int
    seconds: dict[str, float]


@attrs.frozen
class LoadReport:
    """Result of one run of the load tool.

    :param seed: seed of the run
    :param summary: counters of callers and targets
    :param refusals: number of refused attempts, by the last part of the
        problem's type
    :param lost_flows: for each broken flow, the reason
    :param groups: outcomes and durations of each group of requests
    :param runs: by target, the number of runs with an idempotency key
    :param imbalance: by service, the runs of its busiest target divided by
        the mean of its targets
    """

    seed: int
    summary: Summary
    refusals: dict[str, int]
    lost_flows: list[str]
    groups: tuple[GroupReport, ...]
    runs: dict[str, int]
    imbalance: dict[str, float]


@attrs.define
class _Results:
    outcomes: Counter[tuple[RequestGroup, Outcome]] = attrs.field(
        factory=Counter
    )
    durations: Metrics = attrs.field(factory=Metrics)
    names: dict[RequestGroup, str] = attrs.field(factory=dict)

    def record(
        self, group: RequestGroup, outcome: Outcome, seconds: float
    ) -> None:
        """Record the outcome and the duration of one request."""
        self.outcomes[group, outcome] += 1
        name = self.names.setdefault(group, str(len(self.names)))
        if outcome is Outcome.DONE:
            self.durations.record_duration(name, seconds)


def plan_arrivals(
    demand: Demand, duration: float, draws: random.Random
) -> Iterator[Arrival]:
    """Yield the arrivals of a Poisson process whose rate follows the shape.

    The arrivals at the maximum rate are thinned to the rate at their time.

    :param demand: the demand
    :param duration: length of the run, in seconds
    :param draws: source of randomness
    """
    max_rate = max(demand.base, demand.peak)
    midpoint = (demand.base + demand.peak) / 2
    now = 0.0
    while max_rate > 0:
        now += draws.expovariate(max_rate)
        if now >= duration:
            return
        rate = compute_rate(demand, now)
        if draws.random() * max_rate < rate:
            crest = demand.shape is not Shape.STEADY and rate > midpoint
            straggler = draws.random() < demand.straggler_share
            yield Arrival(now, crest, straggler)


def compute_rate(demand: Demand, now: float) -> float:
    """Return the arrivals per second at a time of the run, in seconds."""
    if demand.shape is Shape.STEADY:
        return demand.base
    phase = now / demand.period % 1.0
    if demand.shape is Shape.STEP:
        return demand.peak if phase >= 0.5 else demand.base
    weight = (1 - math.cos(2 * math.pi * phase)) / 2
    return demand.base + (demand.peak - demand.base) * weight


async def run_load(settings: LoadSettings) -> LoadReport:
    """Send all demands, then compare the counters with the targets' runs."""
    tally = Tally()
    results = _Results()
    caller = Caller(settings.ca, tally, random.Random(settings.seed))
    await asyncio.gather(
        *(
            _send_demand(settings, demand, caller, results, number)
            for number, demand in enumerate(settings.demands)
        )
    )
    runs = await fetch_runs(settings.targets)
    return LoadReport(
        seed=settings.seed,
        summary=tally.summarize(runs),
        refusals=dict(tally.refusals),
        lost_flows=tally.lost_flows,
        groups=_report_groups(results),
        runs={one.target: sum(one.runs.values()) for one in runs},
        imbalance=compute_imbalance(runs),
    )


def compute_imbalance(runs: list[TargetRuns]) -> dict[str, float]:
    """Return, by service, the runs of its busiest target over the mean."""
    services = sorted({one.service for one in runs})
    counts = {
        service: [
            sum(one.runs.values()) for one in runs if one.service == service
        ]
        for service in services
    }
    return {
        service: max(found) * len(found) / sum(found)
        for service, found in counts.items()
        if sum(found)
    }


async def _send_demand(
    settings: LoadSettings,
    demand: Demand,
    caller: Caller,
    results: _Results,
    number: int,
) -> None:
    draws = random.Random(f'{settings.seed}/{number}')
    regular_work = _make_work(demand, False)
    connections = [
        ReconnectingFlow(caller, regular_work) for _ in range(demand.flows)
    ]
    for connection in connections:
        with contextlib.suppress(FlowLostError):
            await connection.get_flow()
    loop = asyncio.get_running_loop()
    started = loop.time()
    tasks = []
    rotation = itertools.cycle(connections)
    for arrival in plan_arrivals(demand, settings.duration, draws):
        await asyncio.sleep(started + arrival.time - loop.time())
        work = _make_work(demand, arrival.straggler)
        request = _send_arrival(demand, next(rotation), work, arrival, results)
        tasks.append(asyncio.create_task(request))
    await asyncio.gather(*tasks)
    for connection in connections:
        await connection.close()


async def _send_arrival(
    demand: Demand,
    connection: ReconnectingFlow,
    work: Work,
    arrival: Arrival,
    results: _Results,
) -> None:
    started = time.monotonic()
    outcome = await make_request(connection, work)
    group = RequestGroup(demand.name, arrival.crest, arrival.straggler)
    results.record(group, outcome, time.monotonic() - started)


def _make_work(demand: Demand, straggler: bool) -> Work:
    return Work(
        kind=demand.kind,
        service=demand.service,
        address=demand.address,
        authority=demand.authority,
        timeout=demand.timeout,
        lines=demand.lines,
        interval=demand.interval,
        size=demand.size,
        rate=demand.rate,
        seconds=demand.straggler if straggler else demand.seconds,
        retry=demand.retry,
    )


def _report_groups(results: _Results) -> tuple[GroupReport, ...]:
    return tuple(
        GroupReport(
            group=group,
            done=results.outcomes[group, Outcome.DONE],
            refused=results.outcomes[group, Outcome.NOT_RUN],
            unknown=results.outcomes[group, Outcome.UNKNOWN],
            seconds={
                f'p{percent:g}': results.durations.histograms[
                    name
                ].get_value_at_percentile(percent)
                / 1e6
                for percent in QUANTILES
                if name in results.durations.histograms
            },
        )
        for group, name in sorted(results.names.items(), key=str)
    )


def main(*, settings: Path) -> None:
    """Run the load tool and print its report as a line of JSON.

    :param settings: TOML file
    """
    report = asyncio.run(run_load(read_settings(settings, LoadSettings)))
    print_line(attrs.asdict(report))
    sys.exit(0 if report.summary.is_clean() else 1)


if __name__ == '__main__':
    cyclopts.run(main)

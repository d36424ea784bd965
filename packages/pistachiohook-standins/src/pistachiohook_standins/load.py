"""Load tool: demand over time on a running system, and a report."""

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
    """How demand changes over time."""

    #: The base rate all along.
    STEADY = 'steady'
    #: The base rate, and the peak rate in the second half of each period.
    STEP = 'step'
    #: A wave between base and peak rate.
    WAVE = 'wave'


@attrs.frozen
class Demand:
    """Requests of one kind that arrive by themselves, answered or not.

    :param name: name in the report
    :param kind: what each request is
    :param service: name of the service asked
    :param address: service address
    :param authority: DNS name of the service's certificate
    :param base: arrivals a second
    :param peak: arrivals a second at the crest
    :param shape: way between base and peak
    :param period: length of one swing, in seconds
    :param flows: flows over which the arrivals are spread
    :param timeout: deadline of each request, in seconds
    :param retry: whether what was refused is sent again
    :param seconds: run time asked of the target; 0 leaves it to the target
    :param straggler: run time asked for the stragglers, in seconds
    :param straggler_share: share of the stragglers
    :param lines: lines of a feed
    :param interval: time between two lines, in seconds
    :param size: length of an upload, in bytes
    :param rate: speed of an upload, in bytes a second
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

    :param ca: file of the certificate authority
    :param duration: time in which requests arrive, in seconds
    :param demands: what arrives
    :param targets: base URLs of the targets whose runs are counted
    :param seed: of arrivals and stragglers
    """

    ca: str
    duration: float
    demands: list[Demand]
    targets: list[str] = attrs.field(factory=list)
    seed: int = 1


@attrs.frozen
class Arrival:
    """One request to be made.

    :param time: since the start, in seconds
    :param crest: whether demand is above the middle of its swing
    :param straggler: whether it runs long
    """

    time: float
    crest: bool
    straggler: bool


@attrs.frozen
class Group:
    """Requests of one demand at its crest or off it, long or short.

    :param demand: name of the demand
    :param crest: whether they arrived at the crest
    :param straggler: whether they run long
    """

    demand: str
    crest: bool
    straggler: bool


@attrs.frozen
class GroupReport:
    """How a group of requests went.

    :param group: which one
    :param done: whole answers in time
    :param refused: refused as not run
    :param unknown: everything else
    :param seconds: quantiles of the time until a whole answer, by percent
    """

    group: Group
    done: int
    refused: int
    unknown: int
    seconds: dict[str, float]


@attrs.frozen
class LoadReport:
    """What one run has shown.

    :param seed: seed of the run
    :param summary: counts at callers and targets
    :param refusals: refused attempts by the end of the problem's type
    :param lost_flows: reasons of flows that ended by another's act
    :param groups: how each group of requests went
    :param runs: keyed runs by target
    :param imbalance: most runs of a target over the mean, by service
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
    outcomes: Counter[tuple[Group, Outcome]] = attrs.field(factory=Counter)
    durations: Metrics = attrs.field(factory=Metrics)
    names: dict[Group, str] = attrs.field(factory=dict)

    def note(self, group: Group, outcome: Outcome, seconds: float) -> None:
        """Note how one request ended."""
        self.outcomes[group, outcome] += 1
        name = self.names.setdefault(group, str(len(self.names)))
        if outcome is Outcome.DONE:
            self.durations.record_duration(name, seconds)


def plan_arrivals(
    demand: Demand, duration: float, draws: random.Random
) -> Iterator[Arrival]:
    """Yield the arrivals of a Poisson process whose rate follows the shape.

    :param demand: what arrives
    :param duration: length of the run, in seconds
    :param draws: source of randomness
    """
    highest = max(demand.base, demand.peak)
    middle = (demand.base + demand.peak) / 2
    now = 0.0
    while highest > 0:
        now += draws.expovariate(highest)
        if now >= duration:
            return
        rate = find_rate(demand, now)
        if draws.random() * highest < rate:
            crest = demand.shape is not Shape.STEADY and rate > middle
            straggler = draws.random() < demand.straggler_share
            yield Arrival(now, crest, straggler)


def find_rate(demand: Demand, now: float) -> float:
    """Return the arrivals a second at one time of the run."""
    if demand.shape is Shape.STEADY:
        return demand.base
    part = now / demand.period % 1.0
    if demand.shape is Shape.STEP:
        return demand.peak if part >= 0.5 else demand.base
    swing = (1 - math.cos(2 * math.pi * part)) / 2
    return demand.base + (demand.peak - demand.base) * swing


async def run_load(settings: LoadSettings) -> LoadReport:
    """Send all demand, then count with the targets."""
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
        imbalance=measure_imbalance(runs),
    )


def measure_imbalance(runs: list[TargetRuns]) -> dict[str, float]:
    """Return the most runs of a target over the mean, by service."""
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
    usual = _make_work(demand, False)
    connections = [
        ReconnectingFlow(caller, usual) for _ in range(demand.flows)
    ]
    for connection in connections:
        with contextlib.suppress(FlowLostError):
            await connection.get_flow()
    loop = asyncio.get_running_loop()
    started = loop.time()
    tasks = []
    turns = itertools.cycle(connections)
    for arrival in plan_arrivals(demand, settings.duration, draws):
        await asyncio.sleep(started + arrival.time - loop.time())
        work = _make_work(demand, arrival.straggler)
        request = _send_one(demand, next(turns), work, arrival, results)
        tasks.append(asyncio.create_task(request))
    await asyncio.gather(*tasks)
    for connection in connections:
        await connection.close()


async def _send_one(
    demand: Demand,
    connection: ReconnectingFlow,
    work: Work,
    arrival: Arrival,
    results: _Results,
) -> None:
    started = time.monotonic()
    outcome = await make_request(connection, work)
    group = Group(demand.name, arrival.crest, arrival.straggler)
    results.note(group, outcome, time.monotonic() - started)


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

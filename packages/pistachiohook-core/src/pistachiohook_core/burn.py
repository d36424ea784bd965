"""Service-level burn, from samples of the agents' metrics.

The burn rate of a window is the share of bad requests in it over the share
that the objective allows: at 1 the budget of a period lasts just that period.
An alert needs a long and a short window above its threshold, so that it is
neither raised by a moment nor held long after the end.
"""

from __future__ import annotations

from collections import Counter
import enum
import itertools
from typing import TYPE_CHECKING

import attrs
from hdrh.histogram import HdrHistogram

from .metrics import HISTOGRAM_DIGITS
from .metrics import HISTOGRAM_RANGE_US

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from .published import Service

#: Name of the histogram with the durations of requests.
DURATIONS = 'request'

#: Counter of the requests with a whole answer.
ANSWERED = 'answered'

#: Start of the names of the counters of refused requests.
REFUSED = 'refused_'

#: Counter of the requests that failed at the target.
FAILED = 'target_failed'

#: Age at which the newest sample of an agent counts as missing, in seconds.
STALE_AFTER = 120.0

#: Quantiles shown of the merged histogram, in percent.
QUANTILES = (50.0, 99.0)


class Kind(enum.Enum):
    """What an objective is about."""

    LATENCY = 'latency'
    AVAILABILITY = 'availability'


class Verdict(enum.Enum):
    """Whether an alert is raised."""

    #: Both windows are above the threshold.
    BURNING = 'burning'
    #: One window is not, and nothing is missing.
    CALM = 'calm'
    #: Not burning by what is known, and something is missing.
    UNKNOWN = 'unknown'


@attrs.frozen
class Alert:
    """A rule with two windows.

    :param name: ``fast`` or ``slow``
    :param long: the longer window, in seconds
    :param short: the shorter window, in seconds
    :param threshold: burn rate above which both must lie
    """

    name: str
    long: float
    short: float
    threshold: float


#: Rules for a budget of 30 days: 2 % of it in an hour, 5 % in six.
ALERTS = (
    Alert('fast', 3600.0, 300.0, 14.4),
    Alert('slow', 21600.0, 1800.0, 6.0),
)

#: Every window of the rules, shortest first, in seconds.
WINDOWS = tuple(
    sorted({length for rule in ALERTS for length in (rule.long, rule.short)})
)


@attrs.frozen
class Sample:
    """Metrics of one agent at one time, counted since its start.

    :param time: seconds since the epoch
    :param agent: admin address of the agent
    :param service: name of its service
    :param counts: counters by name
    :param histograms: encoded histograms by name
    """

    time: float
    agent: str
    service: str
    counts: dict[str, int]
    histograms: dict[str, str]


@attrs.frozen
class Window:
    """Requests of one window.

    :param length: length asked for, in seconds
    :param covered: part of it between samples at the agent that has the
        least of it, in seconds
    :param good: requests within the objective
    :param total: all requests
    :param rate: burn rate; nothing when there were no requests
    """

    length: float
    covered: float
    good: int
    total: int
    rate: float | None


@attrs.frozen
class AlertState:
    """One rule and its verdict."""

    name: str
    verdict: Verdict


@attrs.frozen
class Objective:
    """Burn of one objective of one service.

    :param service: name of the service
    :param kind: what the objective is about
    :param share: share of requests that must be good
    :param bound: latency bound, in seconds; nothing for availability
    :param windows: shortest first
    :param alerts: state of each rule
    """

    service: str
    kind: Kind
    share: float
    bound: float | None
    windows: tuple[Window, ...]
    alerts: tuple[AlertState, ...]


@attrs.frozen
class Quantile:
    """A quantile of the merged durations.

    :param percent: which one
    :param seconds: its value
    """

    percent: float
    seconds: float


@attrs.frozen
class ServiceBurn:
    """Burn of one service.

    :param service: name of the service
    :param agents: agents that were asked
    :param missing: those without a fresh sample
    :param restarts: restarts seen between samples; what an agent counted
        after its last sample before a restart is not known
    :param quantiles: of the longest window, merged from histograms
    :param objectives: latency and availability
    """

    service: str
    agents: tuple[str, ...]
    missing: tuple[str, ...]
    restarts: int
    quantiles: tuple[Quantile, ...]
    objectives: tuple[Objective, ...]


@attrs.frozen
class _Point:
    """A sample with its histogram decoded."""

    time: float
    counts: Counter[str]
    durations: Counter[int]


@attrs.frozen
class _Growth:
    """What agents counted in one window.

    :param covered: part of the window between samples, in seconds
    :param counts: counters
    :param durations: requests by duration in microseconds
    :param restarts: restarts between samples
    """

    covered: float
    counts: Counter[str] = attrs.field(factory=Counter)
    durations: Counter[int] = attrs.field(factory=Counter)
    restarts: int = 0


def measure_burn(
    samples: Iterable[Sample],
    services: Iterable[Service],
    agents: Mapping[str, str],
    now: float,
) -> tuple[ServiceBurn, ...]:
    """Measure the burn of every service.

    :param samples: in any order
    :param services: with their objectives
    :param agents: service by agent, of every agent that should be there
    :param now: end of all windows, in seconds since the epoch
    """
    ordered = sorted(samples, key=lambda sample: sample.time)
    return tuple(
        _measure_service(
            service,
            {
                agent: [
                    _Point(
                        sample.time, Counter(sample.counts), _decode(sample)
                    )
                    for sample in ordered
                    if sample.agent == agent and sample.time <= now
                ]
                for agent, name in sorted(agents.items())
                if name == service.name
            },
            now,
        )
        for service in sorted(services, key=lambda service: service.name)
    )


def _measure_service(
    service: Service, series: dict[str, list[_Point]], now: float
) -> ServiceBurn:
    missing = tuple(
        agent
        for agent, points in series.items()
        if not points or now - points[-1].time > STALE_AFTER
    )
    growths = {
        length: _merge(
            _measure_growth(points, now - length) for points in series.values()
        )
        for length in WINDOWS
    }
    longest = growths[WINDOWS[-1]]
    return ServiceBurn(
        service=service.name,
        agents=tuple(series),
        missing=missing,
        restarts=longest.restarts,
        quantiles=_find_quantiles(longest.durations),
        objectives=tuple(
            _measure_objective(service, kind, growths, bool(missing))
            for kind in Kind
        ),
    )


def _measure_growth(points: list[_Point], start: float) -> _Growth:
    """Add up what one agent counted between its samples of a window."""
    before = [point for point in points if point.time <= start]
    within = [point for point in points if point.time > start]
    chain = [*before[-1:], *within]
    if len(chain) < 2:
        return _Growth(0.0)
    steps = [_subtract(*pair) for pair in itertools.pairwise(chain)]
    covered = chain[-1].time - max(start, chain[0].time)
    return attrs.evolve(_merge(steps), covered=covered)


def _subtract(former: _Point, later: _Point) -> _Growth:
    if later.counts >= former.counts and later.durations >= former.durations:
        return _Growth(
            0.0,
            later.counts - former.counts,
            later.durations - former.durations,
        )
    return _Growth(0.0, later.counts, later.durations, 1)


def _decode(sample: Sample) -> Counter[int]:
    encoded = sample.histograms.get(DURATIONS)
    if encoded is None:
        return Counter()
    histogram = HdrHistogram.decode(encoded)
    return Counter(
        {
            item.value_iterated_to: item.count_at_value_iterated_to
            for item in histogram.get_recorded_iterator()
        }
    )


def _merge(growths: Iterable[_Growth]) -> _Growth:
    growths = list(growths)
    return _Growth(
        min((growth.covered for growth in growths), default=0.0),
        sum((growth.counts for growth in growths), Counter()),
        sum((growth.durations for growth in growths), Counter()),
        sum(growth.restarts for growth in growths),
    )


def _find_quantiles(durations: Counter[int]) -> tuple[Quantile, ...]:
    if not durations:
        return ()
    merged = HdrHistogram(*HISTOGRAM_RANGE_US, HISTOGRAM_DIGITS)
    for value, count in durations.items():
        merged.record_value(value, count)
    return tuple(
        Quantile(percent, merged.get_value_at_percentile(percent) / 1e6)
        for percent in QUANTILES
    )


def _measure_objective(
    service: Service,
    kind: Kind,
    growths: dict[float, _Growth],
    missing: bool,
) -> Objective:
    count = {Kind.LATENCY: _count_in_time, Kind.AVAILABILITY: _count_answered}
    allowed = 1.0 - service.objective_share
    windows = tuple(
        _rate_window(length, growth, count[kind](service, growth), allowed)
        for length, growth in growths.items()
    )
    return Objective(
        service=service.name,
        kind=kind,
        share=service.objective_share,
        bound=service.latency_objective if kind is Kind.LATENCY else None,
        windows=windows,
        alerts=tuple(_judge(rule, windows, missing) for rule in ALERTS),
    )


@attrs.frozen
class _Count:
    good: int
    total: int


def _count_in_time(service: Service, growth: _Growth) -> _Count:
    bound = HdrHistogram(
        *HISTOGRAM_RANGE_US, HISTOGRAM_DIGITS
    ).get_highest_equivalent_value(int(service.latency_objective * 1e6))
    good = sum(
        count for value, count in growth.durations.items() if value <= bound
    )
    return _Count(good, growth.durations.total())


def _count_answered(service: Service, growth: _Growth) -> _Count:
    del service
    good = growth.counts[ANSWERED]
    bad = growth.counts[FAILED] + sum(
        count
        for name, count in growth.counts.items()
        if name.startswith(REFUSED)
    )
    return _Count(good, good + bad)


def _rate_window(
    length: float, growth: _Growth, count: _Count, allowed: float
) -> Window:
    bad = count.total - count.good
    rate = bad / count.total / allowed if count.total else None
    return Window(length, growth.covered, count.good, count.total, rate)


def _judge(
    rule: Alert, windows: tuple[Window, ...], missing: bool
) -> AlertState:
    pair = [
        window
        for window in windows
        if window.length in (rule.long, rule.short)
    ]
    if all((window.rate or 0.0) > rule.threshold for window in pair):
        return AlertState(rule.name, Verdict.BURNING)
    whole = all(window.covered >= window.length for window in pair)
    if missing or not whole:
        return AlertState(rule.name, Verdict.UNKNOWN)
    return AlertState(rule.name, Verdict.CALM)

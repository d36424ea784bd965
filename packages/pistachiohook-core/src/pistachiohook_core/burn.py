"""Burn rates of service-level objectives, from samples of agents' metrics.

The burn rate of a window is the share of bad requests in it divided by the
share that the objective allows. At a constant burn rate of 1, the error budget
of a period is used up exactly at its end. An alert fires only while both a
long and a short window exceed its threshold: the long window filters brief
spikes, and the short one ends the alert soon after the errors stop.
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

#: Counter of the requests that were answered completely.
ANSWERED = 'answered'

#: Prefix of the names of the counters of refused requests.
REFUSED = 'refused_'

#: Counter of the requests that failed at the target.
FAILED = 'target_failed'

#: Age of the newest sample of an agent above which the agent counts as
#: missing, in seconds.
STALE_AFTER = 120.0

#: Quantiles of the merged histogram that are reported, in percent.
QUANTILES = (50.0, 99.0)


class ObjectiveKind(enum.Enum):
    """Property of requests that an objective bounds."""

    LATENCY = 'latency'
    AVAILABILITY = 'availability'


class AlertStatus(enum.Enum):
    """Whether an alert fires."""

    #: Fires: both windows exceed the threshold.
    FIRING = 'burning'
    #: Does not fire, and the samples cover both windows.
    INACTIVE = 'calm'
    #: Does not fire, but samples are missing.
    UNKNOWN = 'unknown'


@attrs.frozen
class AlertRule:
    """An alerting rule with two windows.

    :param name: ``fast`` or ``slow``
    :param long: length of the longer window, in seconds
    :param short: length of the shorter window, in seconds
    :param threshold: burn rate that both windows must exceed
    """

    name: str
    long: float
    short: float
    threshold: float


#: Rules for an error budget of 30 days: they fire when 2 % of it are used in
#: one hour, or 5 % in six hours.
ALERTS = (
    AlertRule('fast', 3600.0, 300.0, 14.4),
    AlertRule('slow', 21600.0, 1800.0, 6.0),
)

#: Lengths of all windows of the rules, shortest first, in seconds.
WINDOWS = tuple(
    sorted({length for rule in ALERTS for length in (rule.long, rule.short)})
)


@attrs.frozen
class Sample:
    """Metrics of one agent at one time, cumulative since its start.

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
    """Requests and burn rate of one window.

    :param length: nominal length, in seconds
    :param covered: time of it that lies between samples, in seconds; the
        least of all agents
    :param good: number of requests within the objective
    :param total: number of all requests
    :param rate: burn rate; None without requests
    """

    length: float
    covered: float
    good: int
    total: int
    rate: float | None


@attrs.frozen
class AlertState:
    """Status of one alerting rule.

    :param name: name of the rule
    :param verdict: status of the alert
    """

    name: str
    verdict: AlertStatus


@attrs.frozen
class Objective:
    """Burn rates and alerts of one objective of one service.

    :param service: name of the service
    :param kind: property that the objective bounds
    :param share: share of requests that must be good
    :param bound: latency bound, in seconds; None for availability
    :param windows: windows of the rules, shortest first
    :param alerts: status of each rule
    """

    service: str
    kind: ObjectiveKind
    share: float
    bound: float | None
    windows: tuple[Window, ...]
    alerts: tuple[AlertState, ...]


@attrs.frozen
class Quantile:
    """A quantile of the durations of all agents.

    :param percent: rank of the quantile, in percent
    :param seconds: its value, in seconds
    """

    percent: float
    seconds: float


@attrs.frozen
class ServiceBurn:
    """Burn rates and durations of one service.

    :param service: name of the service
    :param agents: agents that were to be sampled
    :param missing: agents without a recent sample
    :param restarts: number of restarts detected between samples; requests
        between the last sample before a restart and the restart are not
        counted
    :param quantiles: quantiles of the durations in the longest window
    :param objectives: objectives for latency and availability
    """

    service: str
    agents: tuple[str, ...]
    missing: tuple[str, ...]
    restarts: int
    quantiles: tuple[Quantile, ...]
    objectives: tuple[Objective, ...]


@attrs.frozen
class _DecodedSample:
    """A sample with decoded durations.

    :param time: seconds since the epoch
    :param counts: counters by name
    :param durations: number of requests by duration, in microseconds
    """

    time: float
    counts: Counter[str]
    durations: Counter[int]


@attrs.frozen
class _Increase:
    """Increase of the metrics of one or more agents in one window.

    :param covered: time of the window that lies between samples, in seconds
    :param counts: increase of each counter
    :param durations: number of requests by duration, in microseconds
    :param restarts: number of restarts between samples
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
    """Compute the burn rates and alerts of every service.

    :param samples: samples of all agents, in any order
    :param services: services with their objectives
    :param agents: name of the service by agent, for every expected agent
    :param now: end of all windows, in seconds since the epoch
    :returns: one result for each service, sorted by name
    """
    ordered = sorted(samples, key=lambda sample: sample.time)
    return tuple(
        _measure_service(
            service,
            {
                agent: [
                    _DecodedSample(
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
    service: Service, series: dict[str, list[_DecodedSample]], now: float
) -> ServiceBurn:
    missing = tuple(
        agent
        for agent, agent_samples in series.items()
        if not agent_samples or now - agent_samples[-1].time > STALE_AFTER
    )
    increases = {
        length: _merge(
            _measure_increase(agent_samples, now - length)
            for agent_samples in series.values()
        )
        for length in WINDOWS
    }
    longest = increases[WINDOWS[-1]]
    return ServiceBurn(
        service=service.name,
        agents=tuple(series),
        missing=missing,
        restarts=longest.restarts,
        quantiles=_compute_quantiles(longest.durations),
        objectives=tuple(
            _measure_objective(service, kind, increases, bool(missing))
            for kind in ObjectiveKind
        ),
    )


def _measure_increase(
    agent_samples: list[_DecodedSample], start: float
) -> _Increase:
    """Return the increase of one agent's metrics since the start of a window.

    The baseline is the last sample before the start; without one, it is the
    first sample in the window.
    """
    before = [sample for sample in agent_samples if sample.time <= start]
    within = [sample for sample in agent_samples if sample.time > start]
    selected = [*before[-1:], *within]
    if len(selected) < 2:
        return _Increase(0.0)
    step_increases = [
        _compute_increase(*pair) for pair in itertools.pairwise(selected)
    ]
    covered = selected[-1].time - max(start, selected[0].time)
    return attrs.evolve(_merge(step_increases), covered=covered)


def _compute_increase(
    earlier: _DecodedSample, later: _DecodedSample
) -> _Increase:
    if later.counts >= earlier.counts and later.durations >= earlier.durations:
        return _Increase(
            0.0,
            later.counts - earlier.counts,
            later.durations - earlier.durations,
        )
    return _Increase(0.0, later.counts, later.durations, 1)


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


def _merge(increases: Iterable[_Increase]) -> _Increase:
    increases = list(increases)
    return _Increase(
        min((increase.covered for increase in increases), default=0.0),
        sum((increase.counts for increase in increases), Counter()),
        sum((increase.durations for increase in increases), Counter()),
        sum(increase.restarts for increase in increases),
    )


def _compute_quantiles(durations: Counter[int]) -> tuple[Quantile, ...]:
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
    kind: ObjectiveKind,
    increases: dict[float, _Increase],
    missing: bool,
) -> Objective:
    count = {
        ObjectiveKind.LATENCY: _count_within_bound,
        ObjectiveKind.AVAILABILITY: _count_answered,
    }
    allowed_share = 1.0 - service.objective_share
    windows = tuple(
        _compute_window(
            length, increase, count[kind](service, increase), allowed_share
        )
        for length, increase in increases.items()
    )
    return Objective(
        service=service.name,
        kind=kind,
        share=service.objective_share,
        bound=service.latency_objective
        if kind is ObjectiveKind.LATENCY
        else None,
        windows=windows,
        alerts=tuple(
            _evaluate_alert(rule, windows, missing) for rule in ALERTS
        ),
    )


@attrs.frozen
class _RequestCount:
    good: int
    total: int


def _count_within_bound(
    service: Service, increase: _Increase
) -> _RequestCount:
    bound = HdrHistogram(
        *HISTOGRAM_RANGE_US, HISTOGRAM_DIGITS
    ).get_highest_equivalent_value(int(service.latency_objective * 1e6))
    good = sum(
        count for value, count in increase.durations.items() if value <= bound
    )
    return _RequestCount(good, increase.durations.total())


def _count_answered(service: Service, increase: _Increase) -> _RequestCount:
    del service
    good = increase.counts[ANSWERED]
    bad = increase.counts[FAILED] + sum(
        count
        for name, count in increase.counts.items()
        if name.startswith(REFUSED)
    )
    return _RequestCount(good, good + bad)


def _compute_window(
    length: float,
    increase: _Increase,
    count: _RequestCount,
    allowed_share: float,
) -> Window:
    bad = count.total - count.good
    rate = bad / count.total / allowed_share if count.total else None
    return Window(length, increase.covered, count.good, count.total, rate)


def _evaluate_alert(
    rule: AlertRule, windows: tuple[Window, ...], missing: bool
) -> AlertState:
    rule_windows = [
        window
        for window in windows
        if window.length in (rule.long, rule.short)
    ]
    if all((window.rate or 0.0) > rule.threshold for window in rule_windows):
        return AlertState(rule.name, AlertStatus.FIRING)
    fully_covered = all(
        window.covered >= window.length for window in rule_windows
    )
    if missing or not fully_covered:
        return AlertState(rule.name, AlertStatus.UNKNOWN)
    return AlertState(rule.name, AlertStatus.INACTIVE)

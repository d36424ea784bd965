"""Number of requests that a target serves well concurrently.

A target that serves a request as fast beside many others as beside few has the
capacity of its slots. One that is slower while it is busy has a lower limit.
The two are compared within short windows, so that a change of the target's
speed, which affects both, is not mistaken for a lack of capacity.
"""

from __future__ import annotations

import enum
import math

import attrs

#: Share of the limit up to which a target counts as lightly loaded when a
#: request begins.
LIGHT_SHARE = 0.6

#: Share of the limit from which it counts as busy.
BUSY_SHARE = 0.85

#: Number of answers in a window: enough for both loads to occur in it, and a
#: fraction of a second for targets that are busy.
WINDOW_SAMPLES = 24

#: Age from which a window is dropped unfinished, in seconds. The target's
#: speed may change meanwhile, and few samples show nothing.
WINDOW_AGE_MAX = 5.0

#: Weight of the earlier windows beside a new one; about 25 of them count, or
#: 600 answers. Fewer can't tell a slowdown of 1.3 from chance.
WINDOW_KEPT = 0.96

#: Degrees of freedom of the variance from which a result is used.
FREEDOM_MIN = 40.0

#: Slowdown of a busy target that is tolerated.
SLOWDOWN_MIN = 1.1

#: Standard errors by which the slowdown must exceed the tolerated one. With
#: three, none of 3.6 million answers of targets that are as fast when busy has
#: lowered a limit.
ERRORS_MIN = 3.0

#: Time for which a limit is kept before a higher one is tried, in seconds.
#: Learning the lower one takes 8 at 136 answers per second, longer at fewer.
HOLD_TIME = 30.0

#: Share of the slots by which the limit is raised, at least 1.
RAISE_SHARE = 0.125

#: Weight of a measurement in the mean of response times.
MEAN_WEIGHT = 0.1

#: Lowest weight of a measurement in their long-run mean.
LONG_RUN_WEIGHT = 0.01

#: Time without a measurement after which the mean begins to approach the
#: long-run mean, in seconds: several load reports.
IDLE_AFTER = 1.0

#: Time in which all but a third of the difference disappears, in seconds.
IDLE_DECAY = 5.0


class LimitReason(enum.Enum):
    """Why the limit of a target has changed."""

    #: It has not changed: the slots apply.
    UNKNOWN = 'not learned'
    #: The target was slower while it was busy.
    SLOWER = 'slower when busy'
    #: A higher limit is tried.
    RAISED = 'higher limit tried'
    #: The target has restarted, or its slots have changed.
    RESET = 'target changed'


@attrs.define
class _Sums:
    """Sums over the logarithms of response times."""

    count: int = 0
    total: float = 0.0
    squares: float = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        self.total += value
        self.squares += value * value

    def find_deviation(self) -> float:
        """Return the sum of the squared deviations from the mean."""
        return max(0.0, self.squares - self.total**2 / self.count)


@attrs.define
class Comparison:
    """Response times of a busy target compared with those under light load.

    :param light: answers to requests that began under light load, in this
        window
    :param busy: the same while the target was busy
    :param samples: number of answers in this window
    :param began_at: when the window began
    :param weight: sum of the weights of earlier windows
    :param spread: sum of the squared weights, for the standard error
    :param difference: weighted sum of the differences of the logarithms
    :param deviation: sum of the squared deviations within the windows
    :param freedom: degrees of freedom of the deviation
    """

    light: _Sums = attrs.field(factory=_Sums)
    busy: _Sums = attrs.field(factory=_Sums)
    samples: int = 0
    began_at: float = 0.0
    weight: float = 0.0
    spread: float = 0.0
    difference: float = 0.0
    deviation: float = 0.0
    freedom: float = 0.0

    def find_slowdown(self) -> float:
        """Return the slowdown of a busy target that is certain.

        :returns: a factor, below 1 when nothing is known
        """
        if self.freedom < FREEDOM_MIN or not self.weight:
            return 0.0
        variance = self.deviation / self.freedom
        error = math.sqrt(variance * self.spread) / self.weight
        return math.exp(self.difference / self.weight - ERRORS_MIN * error)


@attrs.define
class Capacity:
    """What an agent has learned about its target's response times.

    :param limit: requests that the target serves well concurrently; 0 when it
        is not learned, so that the slots count
    :param service_ms: mean time for which a request occupies a slot
    :param long_run_ms: the same over a longer time
    :param samples: number of measurements of it
    :param sampled_at: when the newest one was made
    :param changed_at: when the limit was changed
    :param reason: why it was changed
    :param learns: whether a limit is learned
    """

    service_ms: float
    limit: int = 0
    long_run_ms: float = 0.0
    samples: int = 0
    sampled_at: float = 0.0
    changed_at: float = 0.0
    reason: LimitReason = LimitReason.UNKNOWN
    learns: bool = True
    comparison: Comparison = attrs.field(factory=Comparison)
    _settled_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.long_run_ms = self.service_ms

    def record_response(self, alone_ms: float, now: float) -> None:
        """Record for how long a request has occupied a slot."""
        self.settle(now)
        self.service_ms += (alone_ms - self.service_ms) * MEAN_WEIGHT
        self.samples += 1
        weight = max(LONG_RUN_WEIGHT, 1 / (self.samples + 1))
        self.long_run_ms += (alone_ms - self.long_run_ms) * weight
        self.sampled_at = self._settled_at = now

    def settle(self, now: float) -> None:
        """Let the mean of an idle target approach the long-run mean."""
        begin = max(self._settled_at, self.sampled_at + IDLE_AFTER)
        if now <= begin:
            return
        kept = math.exp((begin - now) / IDLE_DECAY)
        excess = self.service_ms - self.long_run_ms
        self.service_ms = self.long_run_ms + excess * kept
        self._settled_at = now

    def reset_limit(self, now: float) -> None:
        """Forget the limit: the target has restarted or changed its slots."""
        self.comparison = Comparison()
        if self.limit:
            self.limit = 0
            self.changed_at = now
            self.reason = LimitReason.RESET

    def learn_limit(
        self, concurrency: int, alone_ms: float, slots: int, now: float
    ) -> bool:
        """Learn from the answer of a request.

        Its class is that of the load when it began, which does not depend on
        how long it took. With the load during the request, long requests would
        count as busy ones at a high load.

        :param concurrency: requests in progress when it began, with itself
        :param alone_ms: for how long it has occupied a slot
        :param slots: requests that the target runs concurrently
        :returns: whether the limit has changed
        """
        if not self.learns or slots < 2 or alone_ms <= 0:
            return False
        limit = self.limit or slots
        compared = self.comparison
        if now - compared.began_at > WINDOW_AGE_MAX:
            _begin_window(compared, now)
        compared.samples += 1
        if concurrency <= LIGHT_SHARE * limit:
            compared.light.add(math.log(alone_ms))
        elif concurrency >= BUSY_SHARE * limit:
            compared.busy.add(math.log(alone_ms))
        if compared.samples < WINDOW_SAMPLES:
            return False
        _add_window(compared)
        _begin_window(compared, now)
        return self._adjust_limit(limit, slots, now)

    def _adjust_limit(self, limit: int, slots: int, now: float) -> bool:
        slowdown = self.comparison.find_slowdown()
        if limit > 1 and slowdown >= SLOWDOWN_MIN:
            lower = min(limit - 1, round(limit / slowdown))
            self._set_limit(lower, LimitReason.SLOWER, now)
            return True
        if limit < slots and now - self.changed_at >= HOLD_TIME:
            higher = limit + max(1, int(slots * RAISE_SHARE))
            self._set_limit(
                higher if higher < slots else 0, LimitReason.RAISED, now
            )
            return True
        return False

    def _set_limit(self, limit: int, reason: LimitReason, now: float) -> None:
        self.limit = limit
        self.reason = reason
        self.changed_at = now
        self.comparison = Comparison(began_at=now)


def _begin_window(comparison: Comparison, now: float) -> None:
    comparison.light = _Sums()
    comparison.busy = _Sums()
    comparison.samples = 0
    comparison.began_at = now


def _add_window(comparison: Comparison) -> None:
    """Add a window to the sums; one with a single kind of load adds none."""
    light, busy = comparison.light, comparison.busy
    if not light.count or not busy.count:
        return
    weight = light.count * busy.count / (light.count + busy.count)
    change = busy.total / busy.count - light.total / light.count
    comparison.weight = comparison.weight * WINDOW_KEPT + weight
    comparison.spread = comparison.spread * WINDOW_KEPT**2 + weight
    comparison.difference = (
        comparison.difference * WINDOW_KEPT + weight * change
    )
    comparison.deviation = (
        comparison.deviation * WINDOW_KEPT
        + light.find_deviation()
        + busy.find_deviation()
    )
    comparison.freedom = (
        comparison.freedom * WINDOW_KEPT + light.count + busy.count - 2
    )

"""Expected run times, learned for each route and size of request body."""

from __future__ import annotations

import math

import attrs

#: Smallest weight of a new run time in the moving averages.
SAMPLE_WEIGHT = 0.1

#: Run times from which an estimate is considered reliable.
TRUSTED_SAMPLES_MIN = 5

#: Expected run time of a route that has no measured run times, in seconds.
RUN_TIME_DEFAULT = 0.1

#: Shortest run time that is distinguished, in seconds.
RUN_TIME_MIN = 0.0001

#: Time without a new run time after which an estimate expires, in seconds.
ESTIMATE_LIFETIME = 60.0

#: Most estimates that are kept; the least recently updated one is evicted.
ESTIMATES_MAX = 1024

#: Size classes of request bodies are logarithmic: each one spans so many bit
#: lengths of the body's length in bytes.
BITS_PER_SIZE_CLASS = 4


@attrs.frozen
class Estimate:
    """Expected run time for one route and size class of request bodies.

    :param mean: moving arithmetic mean, in seconds
    :param typical: moving geometric mean, which outliers hardly affect, in
        seconds
    :param samples: number of run times that it was learned from
    :param learned_at: when the last run time was added
    """

    mean: float = RUN_TIME_DEFAULT
    typical: float = RUN_TIME_DEFAULT
    samples: int = 0
    learned_at: float = 0.0

    @property
    def trusted(self) -> bool:
        """Whether the estimate is based on enough run times."""
        return self.samples >= TRUSTED_SAMPLES_MIN


@attrs.define
class Estimates:
    """Estimates of all routes."""

    _by_class: dict[tuple[str, int], Estimate] = attrs.field(factory=dict)

    def expect(self, route: str, size: int, now: float) -> Estimate:
        """Return the estimate for a request.

        :param route: method and path pattern
        :param size: length of the request body, in bytes
        :param now: current time
        """
        estimate = self._by_class.get(_classify(route, size))
        if not estimate or now - estimate.learned_at > ESTIMATE_LIFETIME:
            return Estimate()
        return estimate

    def learn(
        self, route: str, size: int, run_time: float, now: float
    ) -> None:
        """Update the estimate of a route with one run time.

        :param route: method and path pattern
        :param size: length of the request body, in bytes
        :param run_time: measured run time, in seconds
        :param now: current time
        """
        key = _classify(route, size)
        old = self.expect(route, size, now)
        weight = max(SAMPLE_WEIGHT, 1 / (old.samples + 1))
        run_time = max(RUN_TIME_MIN, run_time)
        self._by_class.pop(key, None)
        self._by_class[key] = Estimate(
            mean=old.mean + weight * (run_time - old.mean),
            typical=math.exp(
                (1 - weight) * math.log(old.typical)
                + weight * math.log(run_time)
            ),
            samples=old.samples + 1,
            learned_at=now,
        )
        if len(self._by_class) > ESTIMATES_MAX:
            del self._by_class[next(iter(self._by_class))]


def _classify(route: str, size: int) -> tuple[str, int]:
    return route, size.bit_length() // BITS_PER_SIZE_CLASS

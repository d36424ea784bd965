"""Expected run times, learned for each route."""

from __future__ import annotations

import math

import attrs

#: Weight of a new run time in the averages.
SAMPLE_WEIGHT = 0.1

#: Run times after which an estimate is relied upon.
SAMPLES_TRUSTED = 5

#: Expected run time of a route without run times, in seconds.
RUN_TIME_DEFAULT = 0.1

#: Shortest run time that is told apart, in seconds.
RUN_TIME_MIN = 0.0001

#: Time without a new run time after which a route counts as unknown again,
#: in seconds.
ESTIMATE_LIFETIME = 60.0

#: Most estimates that are kept; the longest unused goes first.
ESTIMATES_MAX = 1024

#: Request bodies are told apart by how many times their length, in bytes,
#: halves; so many halvings make one class.
SIZE_CLASS_BITS = 4


@attrs.frozen
class Estimate:
    """Expected run time of one route and size of request body.

    :param mean: arithmetic mean, in seconds
    :param typical: geometric mean, which stragglers hardly move, in seconds
    :param samples: run times that it was learned from
    :param learned_at: when the last run time came in
    """

    mean: float = RUN_TIME_DEFAULT
    typical: float = RUN_TIME_DEFAULT
    samples: int = 0
    learned_at: float = 0.0

    @property
    def trusted(self) -> bool:
        """Whether enough run times stand behind the estimate."""
        return self.samples >= SAMPLES_TRUSTED


@attrs.define
class Estimates:
    """State of the learned run times."""

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
        """Take in one run time, in seconds."""
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
    return route, size.bit_length() // SIZE_CLASS_BITS

"""Weight of a target, from its load and what callers experience.

A target starts with the least weight; as a weight changes in small steps,
it takes its whole share only after some time.
"""

from __future__ import annotations

import math

import attrs

from ..published import WEIGHT_FULL

#: Weight of a target that has just started, and the least there is.
WEIGHT_MIN = 10

#: Most that a weight changes at once, and least change that is made.
STEP = 10

#: Least time between two changes of a weight, in seconds.
STEP_INTERVAL = 2.0

#: Time constant of the smoothed pressure, in seconds.
SMOOTHING = 5.0

#: Share of the weight that the greatest pressure takes away.
PRESSURE_EFFECT = 0.5

#: Load above which a target is under pressure, as a share of its slots.
LOAD_FREE = 0.75

#: Most that a load report moves the load that the agent sees itself, as a
#: share of the slots.
REPORT_EFFECT = 0.25

#: Share of the greatest pressure that load without waiting callers makes.
LOAD_EFFECT = 0.5

#: Age above which a load report is not used, in seconds.
REPORT_LIFETIME = 3.0

#: Mean wait for a slot that makes the greatest pressure, in seconds.
WAIT_FULL = 0.5


@attrs.frozen
class LoadReported:
    """The target has told its load.

    :param running: requests that run, as the target says
    """

    running: int


@attrs.frozen
class RequestsMeasured:
    """What the agent has seen since it measured last.

    :param running: requests that run, as the agent counts them
    :param waited: mean wait of requests for a slot, in seconds
    :param failed: share of requests that the target failed to answer
    """

    running: int
    waited: float = 0.0
    failed: float = 0.0


@attrs.frozen
class WeightChanged:
    """A weight to announce.

    :param weight: from :data:`WEIGHT_MIN` to ``WEIGHT_FULL``
    :param version: counts the changes since the agent started; grows
    """

    weight: int
    version: int


@attrs.define
class WeightKeeper:
    """State of one target's weight.

    :param slots: requests that the target runs at once
    """

    slots: int
    weight: int = attrs.field(default=WEIGHT_MIN, init=False)
    version: int = attrs.field(default=0, init=False)
    _pressure: float = attrs.field(default=0.0, init=False)
    _measured_at: float | None = attrs.field(default=None, init=False)
    _changed_at: float = attrs.field(default=-math.inf, init=False)
    _reported: int = attrs.field(default=0, init=False)
    _reported_at: float = attrs.field(default=-math.inf, init=False)

    def handle(
        self, event: LoadReported | RequestsMeasured, now: float
    ) -> tuple[WeightChanged, ...]:
        """Take in one event.

        A load report alone changes nothing; the next measurement of the
        agent, due each second, does.

        :param event: what has happened
        :param now: time in seconds
        :returns: the new weight when it changes
        """
        match event:
            case LoadReported(running):
                self._reported = running
                self._reported_at = now
                return ()
            case RequestsMeasured():
                self._smooth(self._estimate_pressure(event, now), now)
                return self._step(now)

    def _estimate_pressure(
        self, measured: RequestsMeasured, now: float
    ) -> float:
        load = self._estimate_load(measured.running / self.slots, now)
        excess = (load - LOAD_FREE) / (1 - LOAD_FREE) * LOAD_EFFECT
        return _clamp(
            max(excess, measured.waited / WAIT_FULL, measured.failed), 0, 1
        )

    def _estimate_load(self, seen: float, now: float) -> float:
        if now - self._reported_at > REPORT_LIFETIME:
            return seen
        reported = self._reported / self.slots
        return _clamp(reported, seen - REPORT_EFFECT, seen + REPORT_EFFECT)

    def _smooth(self, pressure: float, now: float) -> None:
        elapsed = 0.0 if self._measured_at is None else now - self._measured_at
        share = 1 - math.exp(-max(0.0, elapsed) / SMOOTHING)
        self._pressure += (pressure - self._pressure) * share
        self._measured_at = now

    def _step(self, now: float) -> tuple[WeightChanged, ...]:
        change = self._choose_weight() - self.weight
        if abs(change) < STEP or now - self._changed_at < STEP_INTERVAL:
            return ()
        self.weight += STEP if change > 0 else -STEP
        self.version += 1
        self._changed_at = now
        return (WeightChanged(self.weight, self.version),)

    def _choose_weight(self) -> float:
        return WEIGHT_FULL * (1 - PRESSURE_EFFECT * self._pressure)


def _clamp(value: float, low: float, high: float) -> float:
    return min(high, max(low, value))

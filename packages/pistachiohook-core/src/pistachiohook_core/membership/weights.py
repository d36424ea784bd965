"""Weight of a target, derived from its load and its requests' outcomes.

A target starts with the lowest weight. Since a weight changes in small steps,
it gets its full share of the flows only after some time.
"""

from __future__ import annotations

import math

import attrs

from ..published import WEIGHT_FULL

#: Weight of a target that has just started; also the lowest weight.
WEIGHT_MIN = 10

#: Amount by which a weight changes at once; smaller changes are not made.
WEIGHT_STEP = 10

#: Minimum time between two changes of a weight, in seconds.
WEIGHT_STEP_INTERVAL = 2.0

#: Time constant of the exponential smoothing of the pressure, in seconds.
PRESSURE_TIME_CONSTANT = 5.0

#: Share of the full weight that is subtracted at a pressure of 1.
WEIGHT_REDUCTION_MAX = 0.5

#: Load above which a target is under pressure, as a share of its slots.
LOAD_THRESHOLD = 0.75

#: Maximum difference that a load report of the target makes to the load that
#: the agent measures itself, as a share of the slots.
REPORT_CORRECTION_MAX = 0.25

#: Pressure that a full target causes while no requests wait for a slot.
LOAD_PRESSURE_MAX = 0.5

#: Age above which a load report is ignored, in seconds.
REPORT_MAX_AGE = 3.0

#: Mean wait for a slot from which the pressure is 1, in seconds.
WAIT_OF_FULL_PRESSURE = 0.5


@attrs.frozen
class LoadReported:
    """The target has reported its load.

    :param running: number of running requests, as reported by the target
    """

    running: int


@attrs.frozen
class RequestsMeasured:
    """Measurements of the agent since its previous ones.

    :param running: number of running requests, as counted by the agent
    :param waited: mean wait of requests for a slot, in seconds
    :param failed: share of requests that the target failed to answer
    """

    running: int
    waited: float = 0.0
    failed: float = 0.0


@attrs.frozen
class WeightChanged:
    """A new weight to announce.

    :param weight: from :data:`WEIGHT_MIN` to ``WEIGHT_FULL``
    :param version: number of changes since the agent started
    """

    weight: int
    version: int


@attrs.define
class WeightController:
    """Computes the weight of one target.

    The pressure is a number from 0 to 1 that grows with the load, the wait
    for a slot and the share of failures; its smoothed value lowers the
    weight.

    :param slots: number of requests that the target runs at once
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
        """Process one event.

        A load report is only stored; the weight changes with the next
        measurement of the agent, which is due each second.

        :param event: the event
        :param now: present time, in seconds
        :returns: the new weight if it has changed
        """
        match event:
            case LoadReported(running):
                self._reported = running
                self._reported_at = now
                return ()
            case RequestsMeasured():
                self._update_pressure(self._estimate_pressure(event, now), now)
                return self._step_weight(now)

    def _estimate_pressure(
        self, measured: RequestsMeasured, now: float
    ) -> float:
        load = self._estimate_load(measured.running / self.slots, now)
        excess = (
            (load - LOAD_THRESHOLD) / (1 - LOAD_THRESHOLD) * LOAD_PRESSURE_MAX
        )
        return _clamp(
            max(
                excess,
                measured.waited / WAIT_OF_FULL_PRESSURE,
                measured.failed,
            ),
            0,
            1,
        )

    def _estimate_load(self, measured_load: float, now: float) -> float:
        if now - self._reported_at > REPORT_MAX_AGE:
            return measured_load
        reported = self._reported / self.slots
        return _clamp(
            reported,
            measured_load - REPORT_CORRECTION_MAX,
            measured_load + REPORT_CORRECTION_MAX,
        )

    def _update_pressure(self, pressure: float, now: float) -> None:
        elapsed = 0.0 if self._measured_at is None else now - self._measured_at
        smoothing_factor = 1 - math.exp(
            -max(0.0, elapsed) / PRESSURE_TIME_CONSTANT
        )
        self._pressure += (pressure - self._pressure) * smoothing_factor
        self._measured_at = now

    def _step_weight(self, now: float) -> tuple[WeightChanged, ...]:
        change = self._compute_weight() - self.weight
        if (
            abs(change) < WEIGHT_STEP
            or now - self._changed_at < WEIGHT_STEP_INTERVAL
        ):
            return ()
        self.weight += WEIGHT_STEP if change > 0 else -WEIGHT_STEP
        self.version += 1
        self._changed_at = now
        return (WeightChanged(self.weight, self.version),)

    def _compute_weight(self) -> float:
        return WEIGHT_FULL * (1 - WEIGHT_REDUCTION_MAX * self._pressure)


def _clamp(value: float, low: float, high: float) -> float:
    return min(high, max(low, value))

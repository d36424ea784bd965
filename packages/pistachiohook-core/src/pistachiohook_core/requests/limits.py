"""How many requests a target is given at once."""

from __future__ import annotations

import math

import attrs

#: Share of the limit that remains after the target has shed a request.
DECREASE_FACTOR = 0.7

#: Answers a slot after which the limit grows by one.
ANSWERS_TO_GROW = 10

#: Reports in a row that must agree before they are believed.
REPORTS_TO_BELIEVE = 2

#: Share of the announced slots that a report alone can not take away.
REPORTED_SHARE_MIN = 0.5

#: Share of a target's slots that are kept for short work.
SHORT_SHARE = 0.5

#: Share that is kept from long work while no short work waits.
SHORT_SHARE_MIN = 0.25


@attrs.define
class ConcurrencyLimit:
    """State of the limit of one target.

    What the target does counts more than what it reports: a shed request
    lowers the limit at once, answers raise it again, and a report can only
    halve it.

    :param slots: slots that the target announced
    :param started_at: when the target was started
    :param slow_start: time over which a cold target gets its share, in seconds
    """

    slots: int
    started_at: float
    slow_start: float
    _ceiling: float = attrs.field()
    _answers: int = 0
    _reported: int = attrs.field(init=False)
    _doubts: int = 0

    @_ceiling.default
    def _start_ceiling(self) -> float:
        return float(self.slots)

    def __attrs_post_init__(self) -> None:
        self._reported = self.slots

    def compute(self, now: float) -> int:
        """Return how many requests may run at once, at least 1."""
        age = max(0.0, now - self.started_at)
        warm = 1.0 if age >= self.slow_start else age / self.slow_start
        allowed = min(self._ceiling, self._reported, self.slots * warm)
        return max(1, math.floor(allowed + 0.001))

    def compute_for_long(self, now: float, alone: bool = False) -> int:
        """Return how many of these may be long, at least 1.

        :param now: current time
        :param alone: whether no short work waits
        """
        limit = self.compute(now)
        share = SHORT_SHARE_MIN if alone else SHORT_SHARE
        return max(1, limit - math.ceil(limit * share))

    def record_answer(self) -> None:
        """Count an answer; enough of them raise the limit by one."""
        self._answers += 1
        if self._answers >= ANSWERS_TO_GROW * self._ceiling:
            self._answers = 0
            self._ceiling = min(float(self.slots), self._ceiling + 1)

    def record_shed(self, running: int) -> None:
        """Lower the limit below what ran when the target shed.

        :param running: requests that ran beside the one that was shed
        """
        self._answers = 0
        lowered = min(self._ceiling * DECREASE_FACTOR, float(running))
        self._ceiling = max(1.0, lowered)

    def record_report(self, slots: int) -> None:
        """Follow the reported slots once reports in a row agree."""
        floor = math.ceil(self.slots * REPORTED_SHARE_MIN)
        bounded = max(floor, min(self.slots, slots))
        if bounded == self._reported:
            self._doubts = 0
            return
        self._doubts += 1
        if self._doubts >= REPORTS_TO_BELIEVE:
            self._reported = bounded
            self._doubts = 0

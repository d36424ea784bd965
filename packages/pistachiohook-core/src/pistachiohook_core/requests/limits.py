"""Adaptive limit on the concurrent requests at one target."""

from __future__ import annotations

import math

import attrs

#: Factor by which the limit is multiplied when the target sheds a request.
DECREASE_FACTOR = 0.7

#: Answers per allowed concurrent request after which the limit rises by one.
ANSWERS_TO_GROW = 10

#: Consecutive load reports that must differ from the value in use before it
#: is replaced.
REPORTS_TO_CONFIRM = 2

#: Share of the announced slots below which a load report can not lower the
#: limit.
REPORTED_SHARE_MIN = 0.5

#: Share of the limit that is reserved for short requests.
SHORT_RESERVE = 0.5

#: Share of the limit that is reserved for short requests while none of them
#: is queued.
SHORT_RESERVE_MIN = 0.25


@attrs.define
class ConcurrencyLimit:
    """Limits how many requests run at one target at once.

    The observed behaviour of the target has more weight than its load
    reports: a shed request lowers the limit at once, answers raise it again,
    and a report can lower it to half of the announced slots at most.

    :param slots: concurrent requests that the target announced it can run
    :param started_at: when the target was started
    :param slow_start: time over which the limit of a newly started target
        rises to its full value, in seconds
    """

    slots: int
    started_at: float
    slow_start: float
    _ceiling: float = attrs.field()
    _answers: int = 0
    _reported: int = attrs.field(init=False)
    _differing_reports: int = 0

    @_ceiling.default
    def _make_ceiling(self) -> float:
        return float(self.slots)

    def __attrs_post_init__(self) -> None:
        self._reported = self.slots

    def compute(self, now: float) -> int:
        """Return how many requests may run at once, at least 1."""
        age = max(0.0, now - self.started_at)
        warm_share = 1.0 if age >= self.slow_start else age / self.slow_start
        allowed = min(self._ceiling, self._reported, self.slots * warm_share)
        return max(1, math.floor(allowed + 0.001))

    def compute_for_long(
        self, now: float, no_short_waiting: bool = False
    ) -> int:
        """Return how many long requests may run at once, at least 1.

        :param now: current time
        :param no_short_waiting: whether no short request is queued
        """
        limit = self.compute(now)
        share = SHORT_RESERVE_MIN if no_short_waiting else SHORT_RESERVE
        return max(1, limit - math.ceil(limit * share))

    def record_answer(self) -> None:
        """Count an answer; every so many of them raise the limit by one."""
        self._answers += 1
        if self._answers >= ANSWERS_TO_GROW * self._ceiling:
            self._answers = 0
            self._ceiling = min(float(self.slots), self._ceiling + 1)

    def record_shed(self, running: int) -> None:
        """Lower the limit because the target has shed a request.

        :param running: number of other requests that were running then; the
            new limit does not exceed it, unless it is 0
        """
        self._answers = 0
        lowered = min(self._ceiling * DECREASE_FACTOR, float(running))
        self._ceiling = max(1.0, lowered)

    def record_report(self, slots: int) -> None:
        """Take in the slots of a load report.

        A new value is used once :data:`REPORTS_TO_CONFIRM` consecutive
        reports have differed from the one in use.

        :param slots: slots that the target reported
        """
        floor = math.ceil(self.slots * REPORTED_SHARE_MIN)
        bounded = max(floor, min(self.slots, slots))
        if bounded == self._reported:
            self._differing_reports = 0
            return
        self._differing_reports += 1
        if self._differing_reports >= REPORTS_TO_CONFIRM:
            self._reported = bounded
            self._differing_reports = 0

"""Past memberships of a service, whose replicas may have granted a key."""

from __future__ import annotations

import attrs

from .keys import CLOCK_SKEW_MAX
from .keys import Member
from .keys import place_replicas
from .ledger_messages import MembershipConfirmed
from .ledger_messages import MembershipInterval

#: Age of the last confirmation after which no key is granted, in seconds.
MEMBERSHIP_LEASE = 2.0

#: Time before the issue of a key from which on memberships are taken into
#: account, in seconds; allows for clock skew and late confirmations.
HISTORY_MARGIN = 2 * (CLOCK_SKEW_MAX + MEMBERSHIP_LEASE)


@attrs.define
class MembershipHistory:
    """The memberships of a service that this agent knows of.

    :param lifetime: how long memberships are kept, in seconds
    :param formed_at: when the ledger of the service was created, if that is
        known; no key was granted before
    """

    lifetime: float
    formed_at: float | None = None
    _intervals: list[MembershipInterval] = attrs.field(factory=list)

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the newest membership."""
        return self._intervals[-1].members if self._intervals else ()

    @property
    def intervals(self) -> tuple[MembershipInterval, ...]:
        """Return the memberships, oldest first."""
        return tuple(self._intervals)

    def record(self, confirmation: MembershipConfirmed) -> None:
        """Store a confirmation, unless it is older than the last one."""
        at = confirmation.confirmed_at
        last = self._intervals[-1] if self._intervals else None
        if last and at < last.last:
            return
        if last and _extends_interval(last, confirmation):
            self._intervals[-1] = attrs.evolve(
                last, last=at, revision=confirmation.revision
            )
        else:
            interval = MembershipInterval(
                confirmation.members, at, at, confirmation.revision
            )
            self._intervals.append(interval)
        self._remove_old(at)

    def merge(self, others: tuple[MembershipInterval, ...]) -> None:
        """Add the memberships that another agent knows of."""
        all_intervals = sorted(
            {*self._intervals, *others}, key=lambda s: s.first
        )
        merged: list[MembershipInterval] = []
        for interval in all_intervals:
            index = next(
                (
                    index
                    for index, other in enumerate(merged)
                    if other.members == interval.members
                    and interval.first <= other.last
                ),
                None,
            )
            if index is None:
                merged.append(interval)
            else:
                newer = max(merged[index], interval, key=lambda s: s.last)
                first = merged[index].first
                merged[index] = attrs.evolve(newer, first=first)
        self._intervals = sorted(merged, key=lambda s: s.last)

    def is_fresh(self, now: float) -> bool:
        """Return whether the newest confirmation is within the lease."""
        if not self._intervals:
            return False
        return now - self._intervals[-1].last <= MEMBERSHIP_LEASE

    def find_replica_sets(
        self, key: str, issued: float
    ) -> tuple[tuple[str, ...], ...]:
        """Return every replica set that may have granted a key.

        :param key: the key
        :param issued: when the key was issued
        """
        start = issued - HISTORY_MARGIN
        return tuple(
            dict.fromkeys(
                place_replicas(key, interval.members)
                for interval in self._intervals
                if interval.last >= start or interval is self._intervals[-1]
            )
        )

    def allows_grants(self, now: float) -> bool:
        """Return whether the ledger is old enough for a first grant.

        A membership that ends earlier could be taken by an agent whose clock
        differs for one that ended before the ledger was created.
        """
        if self.formed_at is None:
            return True
        return now >= self.formed_at + CLOCK_SKEW_MAX

    def covers(self, issued: float) -> bool:
        """Return whether every membership since a key's issue is known.

        The known memberships must leave no gap longer than the lease, and
        one of them must have lasted for the lease, so that every agent with
        a recent confirmation knows of it.

        :param issued: when the key was issued
        """
        start = issued - HISTORY_MARGIN
        if self.formed_at is not None:
            start = max(start, self.formed_at)
        covered_until = start
        lease_seen = False
        for interval in sorted(self._intervals, key=lambda s: s.first):
            if interval.last < start:
                continue
            if interval.first - covered_until > MEMBERSHIP_LEASE:
                return False
            covered_until = max(covered_until, interval.last)
            overlap = interval.last - max(interval.first, start)
            lease_seen = lease_seen or overlap >= MEMBERSHIP_LEASE
        return lease_seen

    def _remove_old(self, now: float) -> None:
        oldest = now - self.lifetime - HISTORY_MARGIN
        self._intervals = [s for s in self._intervals if s.last >= oldest]


def _extends_interval(
    last: MembershipInterval, confirmation: MembershipConfirmed
) -> bool:
    """Return whether a confirmation extends the newest interval.

    It does if the members have been the same since the last confirmation.
    When more than the lease has passed since then, only an unchanged revision
    proves that the membership has not changed and changed back.

    :param last: the newest interval
    :param confirmation: the confirmation, not older than the interval's end
    """
    if last.members != confirmation.members:
        return False
    unchanged = (
        confirmation.revision > 0 and confirmation.revision == last.revision
    )
    return (
        unchanged or confirmation.confirmed_at - last.last <= MEMBERSHIP_LEASE
    )

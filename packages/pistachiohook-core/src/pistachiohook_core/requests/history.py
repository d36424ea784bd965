"""Which memberships of a service may have granted a key."""

from __future__ import annotations

import attrs

from .keys import CLOCK_SKEW_MAX
from .keys import Member
from .keys import place_replicas
from .ledger_messages import MembershipRead
from .ledger_messages import Sighting

#: Age of the last confirmation after which nothing is granted, in seconds.
MEMBERSHIP_LEASE = 2.0

#: How long before a key's issue a membership may have ended and yet count,
#: in seconds.
HISTORY_MARGIN = 2 * (CLOCK_SKEW_MAX + MEMBERSHIP_LEASE)


@attrs.define
class History:
    """State of the memberships that were seen.

    :param lifetime: how long memberships are kept, in seconds
    :param formed_at: when the service's ledger came into being; nothing was
        granted before
    """

    lifetime: float
    formed_at: float | None = None
    _sightings: list[Sighting] = attrs.field(factory=list)

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the newest membership."""
        return self._sightings[-1].members if self._sightings else ()

    @property
    def sightings(self) -> tuple[Sighting, ...]:
        """Return the memberships seen, oldest first."""
        return tuple(self._sightings)

    def record(self, read: MembershipRead) -> None:
        """Take in a confirmation, which is not older than the last."""
        at = read.confirmed_at
        last = self._sightings[-1] if self._sightings else None
        if last and at < last.last:
            return
        if last and _continues(last, read):
            self._sightings[-1] = attrs.evolve(
                last, last=at, revision=read.revision
            )
        else:
            sighting = Sighting(read.members, at, at, read.revision)
            self._sightings.append(sighting)
        self._forget(at)

    def merge(self, others: tuple[Sighting, ...]) -> None:
        """Take in what another agent saw."""
        known = sorted({*self._sightings, *others}, key=lambda s: s.first)
        merged: list[Sighting] = []
        for sighting in known:
            index = next(
                (
                    index
                    for index, other in enumerate(merged)
                    if other.members == sighting.members
                    and sighting.first <= other.last
                ),
                None,
            )
            if index is None:
                merged.append(sighting)
            else:
                later = max(merged[index], sighting, key=lambda s: s.last)
                first = merged[index].first
                merged[index] = attrs.evolve(later, first=first)
        self._sightings = sorted(merged, key=lambda s: s.last)

    def is_fresh(self, now: float) -> bool:
        """Return whether the newest confirmation is young enough."""
        if not self._sightings:
            return False
        return now - self._sightings[-1].last <= MEMBERSHIP_LEASE

    def find_replica_sets(
        self, key: str, issued: float
    ) -> tuple[tuple[str, ...], ...]:
        """Return every set of replicas that may have granted a key."""
        start = issued - HISTORY_MARGIN
        return tuple(
            dict.fromkeys(
                place_replicas(key, sighting.members)
                for sighting in self._sightings
                if sighting.last >= start or sighting is self._sightings[-1]
            )
        )

    def is_open(self, now: float) -> bool:
        """Return whether the ledger is old enough for a first grant.

        Until then a membership may end that an agent whose clock differs
        would take for one before the ledger came into being.
        """
        if self.formed_at is None:
            return True
        return now >= self.formed_at + CLOCK_SKEW_MAX

    def covers(self, issued: float) -> bool:
        """Return whether no membership since a key's issue was missed.

        One of them must have lasted for the lease, so that every agent that
        is fresh has seen it.
        """
        start = issued - HISTORY_MARGIN
        if self.formed_at is not None:
            start = max(start, self.formed_at)
        reached = start
        settled = False
        for sighting in sorted(self._sightings, key=lambda s: s.first):
            if sighting.last < start:
                continue
            if sighting.first - reached > MEMBERSHIP_LEASE:
                return False
            reached = max(reached, sighting.last)
            seen = sighting.last - max(sighting.first, start)
            settled = settled or seen >= MEMBERSHIP_LEASE
        return settled

    def _forget(self, now: float) -> None:
        oldest = now - self.lifetime - HISTORY_MARGIN
        self._sightings = [s for s in self._sightings if s.last >= oldest]


def _continues(last: Sighting, read: MembershipRead) -> bool:
    """Return whether a membership has lasted since it was last confirmed.

    Over a longer silence of control only an unchanged revision proves that
    no other membership came between.
    """
    if last.members != read.members:
        return False
    unchanged = read.revision > 0 and read.revision == last.revision
    return unchanged or read.confirmed_at - last.last <= MEMBERSHIP_LEASE

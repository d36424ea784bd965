"""In-memory log of a replica: a snapshot and the entries after it."""

from __future__ import annotations

from itertools import accumulate
from itertools import takewhile
from typing import TYPE_CHECKING

import attrs

from .entries import Entry
from .entries import Membership
from .entries import Snapshot

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Largest number of entries in one batch.
BATCH_ENTRIES = 1024


@attrs.define
class Log:
    """A snapshot and the entries that follow it without a gap.

    :param snapshot: replaces all entries up to its index
    :param entries: entries after the snapshot
    """

    snapshot: Snapshot = attrs.field(factory=Snapshot)
    entries: list[Entry] = attrs.field(factory=list)
    _memberships: list[tuple[int, Membership]] = attrs.field(init=False)

    @_memberships.default
    def _find_memberships(self) -> list[tuple[int, Membership]]:
        return _list_memberships(self.entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def find_term(self, index: int) -> int | None:
        """Return the term of an entry; ``None`` when the log lacks it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def slice(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, inclusive."""
        base = self.snapshot.index + 1
        return tuple(self.entries[first - base : last - base + 1])

    def batch(self, first: int, size: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` on that fit in one message.

        :param size: limit for the payloads of all entries but the first, in
            bytes; the first entry is returned whatever its size
        """
        start = first - self.snapshot.index - 1
        tail = self.entries[start : start + BATCH_ENTRIES]
        sizes = accumulate(len(entry.payload) for entry in tail[1:])
        more = takewhile(
            lambda pair: pair[1] <= size, zip(tail[1:], sizes, strict=True)
        )
        return (*tail[:1], *(entry for entry, _ in more))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Replace all entries from the first one's index on by these."""
        first = entries[0].index
        self.entries[first - self.snapshot.index - 1 :] = entries
        kept = [pair for pair in self._memberships if pair[0] < first]
        self._memberships = kept + _list_memberships(entries)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to the snapshot's index by the snapshot.

        The entries after it stay only when the log agrees with the snapshot.
        """
        rest: tuple[Entry, ...] = ()
        if self.find_term(snapshot.index) == snapshot.term:
            rest = self.slice(snapshot.index + 1, self.last_index)
        self.snapshot = snapshot
        self.entries = list(rest)
        self._memberships = _list_memberships(rest)

    def find_membership(self, index: int) -> tuple[int, Membership]:
        """Return the index and the value of the newest membership.

        :param index: index up to which memberships count
        """
        found = [pair for pair in self._memberships if pair[0] <= index]
        if found:
            return found[-1]
        return self.snapshot.index, self.snapshot.membership


def _list_memberships(
    entries: Iterable[Entry],
) -> list[tuple[int, Membership]]:
    return [
        (entry.index, entry.membership)
        for entry in entries
        if entry.membership is not None
    ]

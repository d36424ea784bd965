"""Free slots that the peers of a service have reported."""

from __future__ import annotations

import attrs
from xxhash import xxh3_64_intdigest

from .scheduler_messages import PeerSlots

#: Age at which a peer's report of free slots becomes stale, in seconds.
PEER_SLOTS_LIFETIME = 1.0

#: Most peers whose reports are kept.
PEERS_MAX = 64


@attrs.define
class Peers:
    """The latest report of free slots from each peer."""

    _slots: dict[str, PeerSlots] = attrs.field(factory=dict)
    _updated_at: dict[str, float] = attrs.field(factory=dict)

    def record(self, slots: PeerSlots, now: float) -> None:
        """Store a peer's report, evicting the oldest one if necessary."""
        if slots.peer not in self._slots and len(self._slots) >= PEERS_MAX:
            self.remove(
                min(self._updated_at, key=self._updated_at.__getitem__)
            )
        self._slots[slots.peer] = slots
        self._updated_at[slots.peer] = now

    def remove(self, peer: str) -> None:
        """Remove a peer."""
        self._slots.pop(peer, None)
        self._updated_at.pop(peer, None)

    def have_free(self, now: float) -> bool:
        """Return whether a recent report of any peer has a free slot."""
        return any(
            slots.free > 0 and self._is_recent(peer, now)
            for peer, slots in self._slots.items()
        )

    def count_free_for_long(self, now: float) -> int:
        """Return the largest number of slots for long requests at one peer."""
        return max(
            (
                slots.free_for_long
                for peer, slots in self._slots.items()
                if self._is_recent(peer, now)
            ),
            default=0,
        )

    def reserve(self, request_id: int, long: bool, now: float) -> str | None:
        """Choose the peer with the most free slots and reserve one of them.

        :param request_id: number of the request; spreads requests over peers
            that have equally many free slots
        :param long: whether the request is expected to be long
        :param now: current time
        :returns: the peer, or none when no recent report has a free slot
        """
        candidates = [
            slots
            for peer, slots in self._slots.items()
            if self._is_recent(peer, now)
            and (slots.free_for_long if long else slots.free) > 0
        ]
        if not candidates:
            return None
        chosen = max(
            candidates, key=lambda slots: _rank(slots, request_id, long)
        )
        for_long = chosen.free_for_long - 1 if long else chosen.free_for_long
        free = chosen.free - 1
        self._slots[chosen.peer] = attrs.evolve(
            chosen, free=free, free_for_long=min(free, for_long)
        )
        return chosen.peer

    def _is_recent(self, peer: str, now: float) -> bool:
        return now - self._updated_at[peer] <= PEER_SLOTS_LIFETIME


def _rank(slots: PeerSlots, request_id: int, long: bool) -> tuple[int, int]:
    free = slots.free_for_long if long else slots.free
    return free, xxh3_64_intdigest(f'{request_id} {slots.peer}'.encode())

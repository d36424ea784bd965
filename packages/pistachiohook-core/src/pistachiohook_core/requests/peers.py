"""Free slots at the peers of a service."""

from __future__ import annotations

import attrs
from xxhash import xxh3_64_intdigest

from .scheduler_messages import PeerSlots

#: Time after which a peer's free slots are no longer relied upon, in seconds.
PEER_SLOTS_LIFETIME = 1.0

#: Most peers whose free slots are kept.
PEERS_MAX = 64


@attrs.define
class Peers:
    """State of what is known of the peers' free slots."""

    _slots: dict[str, PeerSlots] = attrs.field(factory=dict)
    _heard_at: dict[str, float] = attrs.field(factory=dict)

    def record(self, slots: PeerSlots, now: float) -> None:
        """Take in what a peer has told."""
        if slots.peer not in self._slots and len(self._slots) >= PEERS_MAX:
            self.forget(min(self._heard_at, key=self._heard_at.__getitem__))
        self._slots[slots.peer] = slots
        self._heard_at[slots.peer] = now

    def forget(self, peer: str) -> None:
        """Drop a peer."""
        self._slots.pop(peer, None)
        self._heard_at.pop(peer, None)

    def have_free(self, now: float) -> bool:
        """Return whether any peer is known to have a free slot."""
        return any(
            slots.free > 0 and self._is_recent(peer, now)
            for peer, slots in self._slots.items()
        )

    def count_free_for_long(self, now: float) -> int:
        """Return the most slots that a peer has free for long requests."""
        return max(
            (
                slots.free_for_long
                for peer, slots in self._slots.items()
                if self._is_recent(peer, now)
            ),
            default=0,
        )

    def take(self, request_id: int, long: bool, now: float) -> str | None:
        """Choose a peer and count one of its slots as taken.

        :param request_id: the request, which spreads equal choices
        :param long: whether the request is expected to be long
        :param now: current time
        :returns: the peer, or none when no slot is known to be free
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
        return now - self._heard_at[peer] <= PEER_SLOTS_LIFETIME


def _rank(slots: PeerSlots, request_id: int, long: bool) -> tuple[int, int]:
    free = slots.free_for_long if long else slots.free
    return free, xxh3_64_intdigest(f'{request_id} {slots.peer}'.encode())

"""Offers of unknown flows to peers, one peer after another."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .quic import may_open_flow

if TYPE_CHECKING:
    from ..published import Target
    from .envelope import Envelope

#: Time that a peer has to answer one offer, in seconds.
ANSWER_TIMEOUT = 0.1

#: Number of attempts with one peer before the next one is tried.
ATTEMPTS_MAX = 3

#: Maximum number of flows on offer at one agent.
OFFERS_PENDING_MAX = 1024

#: Maximum number of datagrams that are queued during the offer of a flow.
DATAGRAMS_MAX = 4


@attrs.frozen
class Offer:
    """An offer of an unknown flow to the peers that may hold it.

    :param datagrams: queued envelopes with datagrams of the flow
    :param candidates: peers still to be tried; the offer is at the first one
    :param sent_at: when the latest attempt was made, in seconds on the clock
        of the agent
    :param attempts: number of attempts with the first candidate
    :param uncertain: whether a peer was not tried, or did not answer, so that
        it may hold the flow
    """

    datagrams: tuple[Envelope, ...]
    candidates: tuple[Target, ...]
    sent_at: float
    attempts: int = 1
    uncertain: bool = False

    def has_timed_out(self, now: float) -> bool:
        """Return whether the latest attempt has timed out."""
        return now - self.sent_at >= ANSWER_TIMEOUT

    def choose_datagram(self) -> Envelope:
        """Return the datagram to send with the offer.

        It is the first one that may open a flow, or else the first one.
        """
        opening = (one for one in self.datagrams if may_open_flow(one.payload))
        return next(opening, self.datagrams[0])

    def add_datagram(self, envelope: Envelope) -> Offer | None:
        """Return the offer with one more datagram, or None at the limit."""
        if len(self.datagrams) >= DATAGRAMS_MAX:
            return None
        return attrs.evolve(self, datagrams=(*self.datagrams, envelope))

    def select_next(self, now: float) -> Offer:
        """Return the offer with its first candidate removed."""
        return attrs.evolve(
            self, candidates=self.candidates[1:], sent_at=now, attempts=1
        )

    def retry(self, now: float) -> Offer:
        """Return the offer after a timeout: to the same peer or the next."""
        if self.attempts < ATTEMPTS_MAX:
            return attrs.evolve(self, sent_at=now, attempts=self.attempts + 1)
        return attrs.evolve(self.select_next(now), uncertain=True)

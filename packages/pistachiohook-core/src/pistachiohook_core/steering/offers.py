"""Datagrams of unknown flows, while their peers are asked one by one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .quic import opens_flow

if TYPE_CHECKING:
    from ..published import Target
    from .envelope import Envelope

#: Time that a peer has to answer, in seconds.
ANSWER_TIMEOUT = 0.1

#: Times that a peer is asked before the next one is.
ATTEMPTS_MAX = 3

#: Most flows that wait for the answers of peers at one agent.
OFFERS_PENDING_MAX = 1024

#: Most datagrams of one flow that wait.
DATAGRAMS_MAX = 4


@attrs.frozen
class Offer:
    """An unknown flow, the peer that is asked, and those to ask next.

    :param datagrams: envelopes that wait; the first one is offered
    :param candidates: peers to ask; the first one is asked now
    :param asked_at: time in seconds
    :param attempts: times that the first candidate has been asked
    :param uncertain: whether a peer was left out or has not answered
    """

    datagrams: tuple[Envelope, ...]
    candidates: tuple[Target, ...]
    asked_at: float
    attempts: int = 1
    uncertain: bool = False

    def is_due(self, now: float) -> bool:
        """Return whether the peer has had its time to answer."""
        return now - self.asked_at >= ANSWER_TIMEOUT

    def choose_datagram(self) -> Envelope:
        """Return the datagram to offer: one that may open a flow first."""
        opening = (one for one in self.datagrams if opens_flow(one.payload))
        return next(opening, self.datagrams[0])

    def add_datagram(self, envelope: Envelope) -> Offer | None:
        """Return the offer with one more datagram, or None when full."""
        if len(self.datagrams) >= DATAGRAMS_MAX:
            return None
        return attrs.evolve(self, datagrams=(*self.datagrams, envelope))

    def ask_next(self, now: float) -> Offer:
        """Return the offer for the peer that comes next."""
        return attrs.evolve(
            self, candidates=self.candidates[1:], asked_at=now, attempts=1
        )

    def ask_again(self, now: float) -> Offer:
        """Return the offer after a peer has not answered in time."""
        if self.attempts < ATTEMPTS_MAX:
            return attrs.evolve(self, asked_at=now, attempts=self.attempts + 1)
        return attrs.evolve(self.ask_next(now), uncertain=True)

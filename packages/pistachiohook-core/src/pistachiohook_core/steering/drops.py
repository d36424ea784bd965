"""Reasons to drop a datagram or a peer message."""

from __future__ import annotations

import enum


class DropReason(enum.Enum):
    """Why a datagram was dropped; the value is part of a counter's name."""

    #: Too short, or with an unknown format or kind.
    MALFORMED = 'malformed'
    #: No valid key verifies its MAC.
    WRONG_KEY = 'wrong_key'
    #: An envelope of a kind that this role does not accept.
    WRONG_KIND = 'wrong_kind'
    #: Addressed to, or sent by, another service; or the service of this
    #: agent is not published yet.
    WRONG_SERVICE = 'wrong_service'
    #: Addressed to another incarnation of the agent, or sent by a holder
    #: that is not among the published targets.
    WRONG_INCARNATION = 'wrong_incarnation'
    #: No service has the address that the datagram was sent to.
    UNKNOWN_ENTRY = 'unknown_entry'
    #: The service has no target that accepts the datagram.
    NO_TARGET = 'no_target'
    #: Too many agents have forwarded it.
    TOO_MANY_HOPS = 'too_many_hops'
    #: The flow is unknown here, but another agent may still hold it.
    OWNER_UNCERTAIN = 'owner_uncertain'
    #: Its flow is on offer to a peer, and the queue of waiting datagrams, or
    #: the number of pending offers, is at its limit.
    OFFER_PENDING = 'offer_pending'
    #: Declined by a peer after the offer has ended or moved to another peer.
    OFFER_OVER = 'offer_over'
    #: It would open a flow at a target that is draining.
    DRAINING = 'draining'
    #: No balancer is known that could send it to the caller.
    NO_BALANCER = 'no_balancer'

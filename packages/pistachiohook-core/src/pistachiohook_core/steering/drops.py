"""Reasons for which a datagram is not handed on."""

from __future__ import annotations

import enum


class DropReason(enum.Enum):
    """Why a datagram was dropped; the value names its counter."""

    #: Too short, or of another format.
    MALFORMED = 'malformed'
    #: No valid key has made its MAC.
    WRONG_KEY = 'wrong_key'
    #: An envelope that this role does not receive.
    WRONG_KIND = 'wrong_kind'
    #: Sealed for, or by, another service.
    WRONG_SERVICE = 'wrong_service'
    #: Sealed for another start of the agent.
    WRONG_INCARNATION = 'wrong_incarnation'
    #: No service has the address that the caller used.
    UNKNOWN_ENTRY = 'unknown_entry'
    #: The service has no target that may take it.
    NO_TARGET = 'no_target'
    #: Too many agents have handed it on.
    TOO_MANY_HOPS = 'too_many_hops'
    #: Its flow may be held by an agent that is not known yet.
    OWNER_UNCERTAIN = 'owner_uncertain'
    #: Another datagram of its flow awaits the answer of a peer.
    OFFER_PENDING = 'offer_pending'
    #: An answer of a peer to an offer that is over.
    OFFER_OVER = 'offer_over'
    #: It would start a flow at a target that is leaving.
    DRAINING = 'draining'
    #: No balancer is live.
    NO_BALANCER = 'no_balancer'

"""Events that the scheduler processes and actions that it returns."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen
class Request:
    """The properties of a request that the scheduler needs.

    :param id: number of the request at this agent; never reused
    :param flow: flow on which it arrived
    :param route: method and path pattern, such as ``POST /orders``
    :param idempotent: whether it may run more than once
    :param deadline: when the caller stops waiting, on the clock of ``now``
    :param key: idempotency key, empty when the request has none
    :param size: length of the request body, in bytes; 0 when unknown
    """

    id: int
    flow: str
    route: str
    idempotent: bool
    deadline: float
    key: str = ''
    size: int = 0


class AttemptProgress(enum.Enum):
    """How far a failed attempt at the target got."""

    #: No byte of the request was sent to the target.
    NOT_SENT = 'not sent'
    #: The target answered that it refused the request without running it.
    SHED = 'shed'
    #: The request was sent; whether it ran is not known.
    SENT = 'sent'


class HandOverOutcome(enum.Enum):
    """Result of handing a request over to a peer."""

    #: The peer's target answered; the answer was forwarded to the caller.
    ANSWERED = 'answered'
    #: The peer refused; the request was not sent to its target.
    NOT_RUN = 'not run'
    #: The peer's answer is lost, or says that the outcome is unknown.
    UNKNOWN = 'unknown'


class RefusalReason(enum.Enum):
    """Reason that the caller is given for a refused request."""

    #: The request has not run and will not.
    NOT_RUN = 'not-run'
    #: The request may have run.
    UNKNOWN_OUTCOME = 'unknown-outcome'


class Ending(enum.Enum):
    """How a request that was not refused has ended."""

    #: The answer was forwarded to the caller.
    ANSWERED = 'answered'
    #: The caller no longer waits; a late answer is dropped and counted.
    CANCELLED = 'cancelled'


@attrs.frozen
class RequestArrived:
    """A request was read from a flow or received from a peer.

    :param request: the request
    :param handed_over: whether a peer handed it over; such a request is not
        handed over again
    """

    request: Request
    handed_over: bool = False


@attrs.frozen
class TargetAnswered:
    """The target's complete answer was received."""

    id: int


@attrs.frozen
class TargetFailed:
    """An attempt ended without a complete answer.

    :param id: the request
    :param progress: how far the attempt got
    """

    id: int
    progress: AttemptProgress


@attrs.frozen
class StartWithdrawn:
    """A started request was not sent to the target.

    The ledger did not grant its key, and the agent has answered the caller
    with the ledger's result.
    """

    id: int


@attrs.frozen
class RequestCancelled:
    """The caller no longer waits for the answer."""

    id: int


@attrs.frozen
class LoadReported:
    """The target's load endpoint has answered.

    :param slots: concurrent requests that the target reports it can run
    :param running: requests that it reports as running
    :param serving: whether it reports that it accepts new requests
    """

    slots: int
    running: int
    serving: bool = True


@attrs.frozen
class DrainStarted:
    """The agent or its target is leaving; no new request is accepted."""


@attrs.frozen
class PeerSlots:
    """A peer of the same service has reported its free slots.

    :param peer: name of the peer's target
    :param free: slots that any request may take
    :param free_for_long: slots that a long request may take
    :param local: whether the peer is in the same availability zone
    """

    peer: str
    free: int
    free_for_long: int
    local: bool = True


@attrs.frozen
class PeerGone:
    """A peer has left; no more requests are handed over to it."""

    peer: str


@attrs.frozen
class HandOverAnswered:
    """A hand-over ended: the peer answered, or its answer is lost."""

    id: int
    outcome: HandOverOutcome


@attrs.frozen
class Tick:
    """Time has passed; sent every :data:`TICK_INTERVAL` seconds."""


#: Time between two ticks, in seconds.
TICK_INTERVAL = 0.05

Event = (
    RequestArrived
    | TargetAnswered
    | TargetFailed
    | StartWithdrawn
    | RequestCancelled
    | LoadReported
    | DrainStarted
    | PeerSlots
    | PeerGone
    | HandOverAnswered
    | Tick
)


@attrs.frozen
class Start:
    """Send the request to the target.

    If the request has an idempotency key, it is sent only after the ledger
    has granted the key.
    """

    id: int


@attrs.frozen
class Refuse:
    """Answer the caller with a refusal.

    :param id: the request
    :param reason: whether the request may have run
    :param retry_after: time after which a retry may succeed, in whole
        seconds
    """

    id: int
    reason: RefusalReason
    retry_after: int


@attrs.frozen
class HandOver:
    """Hand the request over to a peer.

    :param id: the request; no attempt of it is running
    :param peer: name of the peer's target
    """

    id: int
    peer: str


@attrs.frozen
class CancelAtTarget:
    """Abort the attempt at the target.

    The slot stays occupied until :class:`TargetAnswered` or
    :class:`TargetFailed` follows, or a timeout expires.
    """

    id: int


@attrs.frozen
class CancelAtPeer:
    """Tell a peer that the caller of a handed-over request no longer waits.

    :param id: the request
    :param peer: name of the peer's target
    """

    id: int
    peer: str


@attrs.frozen
class Finish:
    """The request has ended; no further action follows for it."""

    id: int
    ending: Ending


Action = Start | Refuse | HandOver | CancelAtTarget | CancelAtPeer | Finish

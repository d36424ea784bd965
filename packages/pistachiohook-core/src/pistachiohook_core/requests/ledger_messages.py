"""Messages and events of the ledger of idempotency keys."""

from __future__ import annotations

import enum

import attrs

from ..codec import Codec
from .keys import Member


class RecordState(enum.Enum):
    """What is known of the only run that a key allows."""

    #: Only the holder may run the request.
    GRANTED = 'granted'
    #: The run ended and its answer is stored.
    DONE = 'done'
    #: The request may have run and its answer is lost.
    UNKNOWN = 'unknown'


@attrs.frozen(order=True)
class AgentIncarnation:
    """One start of an agent.

    :param agent: name of the agent's target
    :param incarnation: number of that start of the agent
    """

    agent: str
    incarnation: int


@attrs.frozen
class Record:
    """What a replica stores about one key.

    :param key: the key
    :param digest: digest of the request, body included
    :param holder: the agent that the key is granted to
    :param state: what is known of the run
    :param answer: the stored answer, as the agent encodes it
    """

    key: str
    digest: bytes
    holder: AgentIncarnation
    state: RecordState = RecordState.GRANTED
    answer: bytes = b''


@attrs.frozen
class MembershipInterval:
    """A membership and the time over which control confirmed it.

    :param members: agents of the service, sorted
    :param first: when it was first confirmed, in seconds since the epoch
    :param last: when it was last confirmed, in seconds since the epoch
    :param revision: published revision at which the members last changed
    """

    members: tuple[Member, ...]
    first: float
    last: float
    revision: int = 0


@attrs.frozen
class ProposeRequest:
    """Request a replica's vote on a key; a replica votes only once.

    :param key: the key
    :param digest: digest of the request, body included
    :param holder: the agent that asks, which would run the request
    :param replica_sets: the replica sets in each of which a majority is needed
    """

    key: str
    digest: bytes
    holder: AgentIncarnation
    replica_sets: tuple[tuple[str, ...], ...]


@attrs.frozen
class ProposeResponse:
    """A replica's vote on a key.

    :param key: the key
    :param replica: the replica that answers
    :param replica_sets: those of the request
    :param record: the record whose holder has the vote; none when the replica
        abstains
    :param restarts: latest starts of other replicas that it knows of
    """

    key: str
    replica: AgentIncarnation
    replica_sets: tuple[tuple[str, ...], ...]
    record: Record | None
    restarts: tuple[AgentIncarnation, ...] = ()


@attrs.frozen
class ReadRequest:
    """Request the record that a replica stores for a key.

    :param key: the key
    :param reader: the agent that asks
    :param number: number of the request, unique for this start of the reader;
        0 for requests of a recovering replica
    """

    key: str
    reader: AgentIncarnation
    number: int = 0


@attrs.frozen
class ReadResponse:
    """The record that a replica stores for a key.

    :param key: the key
    :param replica: the replica that answers
    :param reader: the agent that asked
    :param number: that of the request
    :param remembers: whether the replica has every vote that it may have cast
        on the key, as it has run since before the key was issued
    :param record: the record; none when the replica stores none
    """

    key: str
    replica: AgentIncarnation
    reader: AgentIncarnation
    number: int
    remembers: bool
    record: Record | None


@attrs.frozen
class OutcomeRequest:
    """The holder sends the outcome of a run to a replica."""

    record: Record


@attrs.frozen
class OutcomeResponse:
    """A replica acknowledges that it has stored the outcome of a run."""

    key: str
    replica: AgentIncarnation


@attrs.frozen
class ReplicateRecord:
    """Copies a record to a new replica after a change of the membership."""

    record: Record


@attrs.frozen
class HistoryRequest:
    """Request the memberships that an agent knows of."""

    reader: AgentIncarnation


@attrs.frozen
class HistoryResponse:
    """The memberships that an agent knows of.

    :param sightings: the memberships and when control confirmed them, oldest
        first
    """

    sightings: tuple[MembershipInterval, ...]


Message = (
    ProposeRequest
    | ProposeResponse
    | ReadRequest
    | ReadResponse
    | OutcomeRequest
    | OutcomeResponse
    | ReplicateRecord
    | HistoryRequest
    | HistoryResponse
)

#: Messages of the ledger between agents.
LEDGER_CODEC = Codec(
    {
        1: ProposeRequest,
        2: ProposeResponse,
        3: ReadRequest,
        4: ReadResponse,
        5: OutcomeRequest,
        6: OutcomeResponse,
        7: ReplicateRecord,
        8: HistoryRequest,
        9: HistoryResponse,
    }
)


@attrs.frozen
class MembershipConfirmed:
    """Control has confirmed the membership of the service.

    :param members: agents of the service, sorted
    :param confirmed_at: time for which it is confirmed, in seconds since the
        epoch
    :param revision: published revision at which the members last changed; 0
        when that is not known
    """

    members: tuple[Member, ...]
    confirmed_at: float
    revision: int = 0


@attrs.frozen
class MessageReceived:
    """A message was received from another agent or from this one itself.

    :param peer: name of the agent that sent it
    :param message: the message
    """

    peer: str
    message: Message


@attrs.frozen
class Tick:
    """Time has passed; sent every :data:`TICK_INTERVAL` seconds."""


#: Time between two ticks, in seconds.
TICK_INTERVAL = 0.05


@attrs.frozen
class Send:
    """Send a message to an agent, which may be this one.

    :param peer: name of the agent
    :param message: the message
    """

    peer: str
    message: Message

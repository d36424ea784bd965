"""Messages between the agents of a service about idempotency keys."""

from __future__ import annotations

import enum

import attrs

from ..codec import Codec
from .keys import Member


class RecordState(enum.Enum):
    """What is known of a key's only run."""

    #: The holder may run the request, and nobody else ever.
    GRANTED = 'granted'
    #: The run ended and its answer is stored.
    DONE = 'done'
    #: The run began and its answer is lost.
    UNKNOWN = 'unknown'


@attrs.frozen(order=True)
class AgentIncarnation:
    """The agent that a key is granted to.

    :param agent: name of the agent's target
    :param incarnation: number of that start of the agent
    """

    agent: str
    incarnation: int


@attrs.frozen
class Record:
    """What a replica stores of one key.

    :param key: the key
    :param digest: digest of the request, body included
    :param holder: the agent that may run it
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
    """A membership that control confirmed over some time.

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
    """Ask a replica for its only vote on a key.

    :param key: the key
    :param digest: digest of the request, body included
    :param holder: who asks, and would run the request
    :param replica_sets: every set of replicas whose majority is needed
    """

    key: str
    digest: bytes
    holder: AgentIncarnation
    replica_sets: tuple[tuple[str, ...], ...]


@attrs.frozen
class ProposeResponse:
    """A replica's only vote on a key.

    :param key: the key
    :param replica: who answers
    :param replica_sets: those of the question
    :param record: what the vote is bound to; none when the replica abstains
    :param restarts: newest starts of other replicas that it has heard of
    """

    key: str
    replica: AgentIncarnation
    replica_sets: tuple[tuple[str, ...], ...]
    record: Record | None
    restarts: tuple[AgentIncarnation, ...] = ()


@attrs.frozen
class ReadRequest:
    """Ask a replica what it stores of a key.

    :param key: the key
    :param reader: who asks
    :param number: distinguishes the questions of this start of the reader
    """

    key: str
    reader: AgentIncarnation
    number: int = 0


@attrs.frozen
class ReadResponse:
    """What a replica stores of a key.

    :param key: the key
    :param replica: who answers
    :param reader: who asked
    :param number: that of the question
    :param remembers: whether it would know of a vote of its own
    :param record: what it stores
    """

    key: str
    replica: AgentIncarnation
    reader: AgentIncarnation
    number: int
    remembers: bool
    record: Record | None


@attrs.frozen
class OutcomeRequest:
    """The holder says how the run ended."""

    record: Record


@attrs.frozen
class OutcomeResponse:
    """A replica has stored how the run ended."""

    key: str
    replica: AgentIncarnation


@attrs.frozen
class ReplicateRecord:
    """A replica hands its record to one that a change made a replica."""

    record: Record


@attrs.frozen
class HistoryRequest:
    """Ask an agent which memberships it saw."""

    reader: AgentIncarnation


@attrs.frozen
class HistoryResponse:
    """The memberships that an agent saw, oldest first."""

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
    :param confirmed_at: for which moment, in seconds since the epoch
    :param revision: published revision at which the members last changed; 0
        when that is not known
    """

    members: tuple[Member, ...]
    confirmed_at: float
    revision: int = 0


@attrs.frozen
class MessageReceived:
    """A message came from another agent, or from this one to itself.

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
    """Send a message to an agent, which may be this one."""

    peer: str
    message: Message

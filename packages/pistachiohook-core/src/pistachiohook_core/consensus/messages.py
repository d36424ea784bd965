"""Messages between replicas."""

from __future__ import annotations

import attrs

from ..codec import Codec
from .entries import Entry
from .entries import Snapshot


@attrs.frozen
class Message:
    """What every message between replicas carries.

    :param cluster: identity of the founder; empty when the sender has none
    :param sender: identity of the sender
    :param receiver: identity of the receiver; empty when it is not known
    :param term: newest term that the sender knows
    """

    cluster: str
    sender: str
    receiver: str
    term: int


@attrs.frozen
class PreVoteRequest(Message):
    """Asks whether a vote in the next term would be granted.

    :param last_index: index of the sender's last entry
    :param last_term: term of that entry
    """

    last_index: int
    last_term: int


@attrs.frozen
class PreVoteResponse(Message):
    """Answers :class:`PreVoteRequest`.

    :param asked: term that the asker had
    :param granted: whether a vote would be granted
    """

    asked: int
    granted: bool


@attrs.frozen
class VoteRequest(Message):
    """Asks for the vote in the sender's term.

    :param last_index: index of the sender's last entry
    :param last_term: term of that entry
    """

    last_index: int
    last_term: int


@attrs.frozen
class VoteResponse(Message):
    """Answers :class:`VoteRequest`.

    :param granted: whether the sender has voted for the receiver
    """

    granted: bool


@attrs.frozen
class Append(Message):
    """A leader's heartbeat, with or without entries.

    :param previous_index: index of the entry before ``entries``
    :param previous_term: term of that entry
    :param entries: entries that the receiver may lack
    :param commit: index up to which entries are committed
    :param probe: number of this round; the answer carries it back
    """

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    probe: int


@attrs.frozen
class AppendResponse(Message):
    """Answers :class:`Append` and :class:`InstallSnapshot`.

    :param matched: whether the receiver has all entries up to ``index``
    :param index: last index that agrees with the leader; when not
        ``matched``, where the leader should try next
    :param probe: number of the round that is answered
    """

    matched: bool
    index: int
    probe: int


@attrs.frozen
class InstallSnapshot(Message):
    """A snapshot for a replica whose entries the leader has compacted.

    :param snapshot: the snapshot as a whole
    :param probe: number of this round; the answer carries it back
    """

    snapshot: Snapshot
    probe: int


@attrs.frozen
class ReadIndex(Message):
    """Asks a leader for an index to read at.

    :param request: number that the sender gave its read
    """

    request: int


@attrs.frozen
class ReadIndexResponse(Message):
    """Answers :class:`ReadIndex` after a quorum confirmed the leader.

    :param request: number from the question
    :param index: the read sees everything that was accepted before the
        question once this index is applied
    """

    request: int
    index: int


@attrs.frozen
class JoinRequest(Message):
    """Asks to be let in; sent by a replica that is no member.

    :param durable: whether what the sender saves outlives a loss of power
    """

    durable: bool = True


@attrs.frozen
class JoinResponse(Message):
    """Answers :class:`JoinRequest`.

    :param blank: whether the sender belongs to no cluster
    :param retired: whether the asker's identity is never let in again
    :param instances: names of the members' instances
    :param durable: whether what the sender saves outlives a loss of power
    """

    blank: bool
    retired: bool
    instances: tuple[str, ...] = ()
    durable: bool = True


#: Messages between replicas.
CONSENSUS_CODEC = Codec(
    {
        1: PreVoteRequest,
        2: PreVoteResponse,
        3: VoteRequest,
        4: VoteResponse,
        5: Append,
        6: AppendResponse,
        7: InstallSnapshot,
        8: ReadIndex,
        9: ReadIndexResponse,
        10: JoinRequest,
        11: JoinResponse,
    }
)

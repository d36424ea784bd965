"""Messages between replicas."""

from __future__ import annotations

import attrs

from ..codec import Codec
from .entries import Entry
from .entries import Snapshot


@attrs.frozen
class Message:
    """Common fields of all messages between replicas.

    :param cluster: identity of the replica that bootstrapped the cluster;
        empty when the sender belongs to no cluster
    :param sender: identity of the sender
    :param receiver: identity of the receiver; empty when not known
    :param term: newest term that the sender has seen
    """

    cluster: str
    sender: str
    receiver: str
    term: int


@attrs.frozen
class PreVoteRequest(Message):
    """Request to tell whether a vote in the next term would be granted.

    :param last_index: index of the sender's last entry
    :param last_term: term of that entry
    """

    last_index: int
    last_term: int


@attrs.frozen
class PreVoteResponse(Message):
    """Response to :class:`PreVoteRequest`.

    :param asked: term of the request
    :param granted: whether a vote would be granted
    """

    asked: int
    granted: bool


@attrs.frozen
class VoteRequest(Message):
    """Request for a vote for the sender, in its term.

    :param last_index: index of the sender's last entry
    :param last_term: term of that entry
    """

    last_index: int
    last_term: int


@attrs.frozen
class VoteResponse(Message):
    """Response to :class:`VoteRequest`.

    :param granted: whether the sender has voted for the receiver
    """

    granted: bool


@attrs.frozen
class Append(Message):
    """A leader's entries for a follower, or none as a heartbeat.

    :param previous_index: index of the entry before ``entries``
    :param previous_term: term of that entry
    :param entries: entries that the receiver may lack
    :param commit: index up to which entries are committed
    :param probe: number of the leader's newest heartbeat round; the response
        echoes it
    """

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    probe: int


@attrs.frozen
class AppendResponse(Message):
    """Response to :class:`Append` and :class:`InstallSnapshot`.

    :param matched: whether the responder's log agrees with the leader's up to
        ``index``
    :param index: last index that agrees with the leader; when not
        ``matched``, the index after which the leader should try next
    :param probe: number of the heartbeat round that is acknowledged
    """

    matched: bool
    index: int
    probe: int


@attrs.frozen
class InstallSnapshot(Message):
    """A snapshot for a replica that lacks entries the leader has compacted.

    :param snapshot: the whole snapshot
    :param probe: number of the leader's newest heartbeat round; the response
        echoes it
    """

    snapshot: Snapshot
    probe: int


@attrs.frozen
class ReadIndex(Message):
    """Request for the leader to confirm a read.

    :param request: number that the sender gave the read
    """

    request: int


@attrs.frozen
class ReadIndexResponse(Message):
    """Response to :class:`ReadIndex`, once a quorum confirmed the leader.

    :param request: number of the read, from the request
    :param index: index that the reader must have applied first; it covers
        everything that was accepted before the request
    """

    request: int
    index: int


@attrs.frozen
class JoinRequest(Message):
    """Request for admission to the cluster, or to learn whether there is one.

    Sent by a replica that is no member or hears no leader.

    :param durable: whether the sender's journal survives a loss of power
    :param number: number that the response echoes; it changes whenever the
        sender hears from a leader
    :param candidate: whether the sender asks the receiver to nominate it for
        the bootstrap of a cluster
    """

    durable: bool = True
    number: int = 0
    candidate: bool = False


@attrs.frozen
class JoinResponse(Message):
    """Response to :class:`JoinRequest`.

    :param blank: whether the responder belongs to no cluster
    :param retired: whether the requester's identity is retired and never
        admitted again
    :param instances: names of the instances that are members, or may
        bootstrap the cluster
    :param number: number of the request
    :param nominee: identity that the responder has nominated for the
        bootstrap of a cluster; empty when none
    """

    blank: bool
    retired: bool
    instances: tuple[str, ...] = ()
    number: int = 0
    nominee: str = ''


@attrs.frozen
class LeaveRequest(Message):
    """Request of a voter, to the leader, to vote no more.

    Sent by a voter whose process is about to stop.
    """


@attrs.frozen
class LeaveResponse(Message):
    """Response to :class:`LeaveRequest`, once the removal is committed."""


#: Codec of the messages between replicas; the numbers identify the classes.
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
        12: LeaveRequest,
        13: LeaveResponse,
    }
)

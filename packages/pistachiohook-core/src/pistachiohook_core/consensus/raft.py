"""Raft as a pure state machine: an event and the time in, actions out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .changes import change_membership
from .changes import receive_join
from .changes import receive_join_answer
from .changes import seek_membership
from .election import elect
from .election import receive_pre_vote
from .election import receive_pre_vote_answer
from .election import receive_vote
from .election import receive_vote_answer
from .events import Compact
from .events import Propose
from .events import Read
from .events import Received
from .events import Tick
from .messages import Append
from .messages import AppendAnswer
from .messages import InstallSnapshot
from .messages import Join
from .messages import JoinAnswer
from .messages import PreVote
from .messages import PreVoteAnswer
from .messages import ReadIndex
from .messages import ReadIndexAnswer
from .messages import Vote
from .messages import VoteAnswer
from .reading import confirm_reads
from .reading import read
from .reading import receive_read_index
from .reading import receive_read_index_answer
from .reading import refresh
from .reading import settle_reads
from .replica import drain
from .replica import follow
from .replica import Role
from .replication import broadcast
from .replication import check_quorum
from .replication import compact
from .replication import propose
from .replication import receive_answer
from .replication import receive_append
from .replication import receive_snapshot

if TYPE_CHECKING:
    from .events import Action
    from .events import Event
    from .messages import Message
    from .replica import Replica


def handle(replica: Replica, event: Event, now: float) -> tuple[Action, ...]:
    """Handle one event.

    :param replica: state, changed in place
    :param event: what has happened
    :param now: time, in seconds; never goes down
    :returns: actions to carry out in order; when something must be durable,
        one :class:`events.Persist` comes first
    """
    match event:
        case Tick():
            _tick(replica, now)
        case Received(message):
            _receive(replica, message, now)
        case Propose():
            propose(replica, event, now)
        case Read():
            read(replica, event, now)
        case Compact():
            compact(replica, event)
    if replica.role is Role.LEADER:
        confirm_reads(replica)
    settle_reads(replica, now)
    return drain(replica)


def _tick(replica: Replica, now: float) -> None:
    seek_membership(replica, now)
    if replica.role is not Role.LEADER:
        elect(replica, now)
    if replica.role is not Role.LEADER:
        refresh(replica, now)
        return
    check_quorum(replica, now)
    if replica.role is Role.LEADER:
        change_membership(replica, now)
        if now >= replica.heartbeat_at:
            broadcast(replica, now)


def _receive(replica: Replica, message: Message, now: float) -> None:
    if not _is_for(replica, message):
        return
    newer = message.term > replica.hard_state.term
    if newer and not isinstance(message, PreVote | Join | JoinAnswer):
        follow(replica, message.term, '', now)
    _dispatch(replica, message, now)


def _is_for(replica: Replica, message: Message) -> bool:
    if isinstance(message, Join):
        return message.cluster in ('', replica.cluster)
    if message.receiver != replica.identity:
        return False
    if isinstance(message, Append | InstallSnapshot | JoinAnswer):
        return '' in (replica.cluster, message.cluster) or (
            replica.cluster == message.cluster
        )
    return replica.cluster == message.cluster


def _dispatch(replica: Replica, message: Message, now: float) -> None:
    match message:
        case Append() | InstallSnapshot():
            _take_entries(replica, message, now)
        case AppendAnswer():
            receive_answer(replica, message, now)
        case PreVote() | PreVoteAnswer() | Vote() | VoteAnswer():
            _take_vote(replica, message, now)
        case ReadIndex():
            receive_read_index(replica, message, now)
        case ReadIndexAnswer():
            receive_read_index_answer(replica, message)
        case Join():
            receive_join(replica, message)
        case JoinAnswer():
            receive_join_answer(replica, message)


def _take_entries(
    replica: Replica, message: Append | InstallSnapshot, now: float
) -> None:
    if isinstance(message, Append):
        receive_append(replica, message, now)
    else:
        receive_snapshot(replica, message, now)


def _take_vote(
    replica: Replica,
    message: PreVote | PreVoteAnswer | Vote | VoteAnswer,
    now: float,
) -> None:
    match message:
        case PreVote():
            receive_pre_vote(replica, message, now)
        case PreVoteAnswer():
            receive_pre_vote_answer(replica, message, now)
        case Vote():
            receive_vote(replica, message, now)
        case VoteAnswer():
            receive_vote_answer(replica, message, now)

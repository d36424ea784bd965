"""Raft as a state machine without I/O: events in, actions out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .departure import leave
from .departure import receive_leave
from .departure import receive_leave_response
from .departure import request_departure
from .election import check_election_timeout
from .election import receive_pre_vote
from .election import receive_pre_vote_response
from .election import receive_vote
from .election import receive_vote_response
from .entries import parse_instance_name
from .events import Compact
from .events import Leave
from .events import Propose
from .events import Read
from .events import Received
from .events import Tick
from .membership_changes import change_membership
from .membership_changes import complete_change
from .membership_changes import join_or_bootstrap
from .membership_changes import receive_join
from .membership_changes import receive_join_response
from .messages import Append
from .messages import AppendResponse
from .messages import InstallSnapshot
from .messages import JoinRequest
from .messages import JoinResponse
from .messages import LeaveRequest
from .messages import LeaveResponse
from .messages import PreVoteRequest
from .messages import PreVoteResponse
from .messages import ReadIndex
from .messages import ReadIndexResponse
from .messages import VoteRequest
from .messages import VoteResponse
from .reading import begin_background_read
from .reading import complete_reads
from .reading import confirm_reads
from .reading import read
from .reading import receive_read_index
from .reading import receive_read_index_response
from .replica import become_follower
from .replica import collect_actions
from .replica import Role
from .replication import begin_heartbeat_round
from .replication import check_quorum
from .replication import compact
from .replication import propose
from .replication import receive_append
from .replication import receive_append_response
from .replication import receive_snapshot

if TYPE_CHECKING:
    from .events import Action
    from .events import Event
    from .messages import Message
    from .replica import Replica


def handle(replica: Replica, event: Event, now: float) -> tuple[Action, ...]:
    """Handle one event.

    :param replica: state of the replica, changed in place
    :param event: the event
    :param now: monotonic time, in seconds
    :returns: actions to carry out in order; when anything must be made
        durable, a :class:`events.Persist` comes first
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
        case Leave():
            leave(replica, now)
    if replica.role is Role.LEADER:
        complete_change(replica, now)
        confirm_reads(replica)
    complete_reads(replica, now)
    return collect_actions(replica)


def _tick(replica: Replica, now: float) -> None:
    if replica.leaving:
        request_departure(replica, now)
    else:
        join_or_bootstrap(replica, now)
    if replica.role is not Role.LEADER:
        check_election_timeout(replica, now)
    if replica.role is not Role.LEADER:
        begin_background_read(replica, now)
        return
    check_quorum(replica, now)
    if replica.role is Role.LEADER:
        change_membership(replica, now)
        if now >= replica.heartbeat_at:
            begin_heartbeat_round(replica, now)


def _receive(replica: Replica, message: Message, now: float) -> None:
    if replica.dynamic_membership is not None and message.cluster:
        # All seeds may have lost their disks: the members that write to their
        # former identities are then the only ones that know the cluster.
        sender = parse_instance_name(message.sender)
        replica.discovered_instances.add(sender)
    if not _is_addressed_to(replica, message):
        return
    newer = message.term > replica.hard_state.term
    if newer and not isinstance(
        message, PreVoteRequest | JoinRequest | JoinResponse
    ):
        become_follower(replica, message.term, '', now)
    _dispatch(replica, message, now)


def _is_addressed_to(replica: Replica, message: Message) -> bool:
    if isinstance(message, JoinRequest):
        return '' in (replica.cluster, message.cluster) or (
            replica.cluster == message.cluster
        )
    if message.receiver != replica.identity:
        return False
    if isinstance(message, Append | InstallSnapshot | JoinResponse):
        return '' in (replica.cluster, message.cluster) or (
            replica.cluster == message.cluster
        )
    return replica.cluster == message.cluster


def _dispatch(replica: Replica, message: Message, now: float) -> None:
    match message:
        case Append() | InstallSnapshot():
            _receive_replication(replica, message, now)
        case AppendResponse():
            receive_append_response(replica, message, now)
        case (
            PreVoteRequest()
            | PreVoteResponse()
            | VoteRequest()
            | VoteResponse()
        ):
            _receive_election_message(replica, message, now)
        case ReadIndex():
            receive_read_index(replica, message, now)
        case ReadIndexResponse():
            receive_read_index_response(replica, message)
        case JoinRequest() | JoinResponse() | LeaveRequest() | LeaveResponse():
            _receive_membership_message(replica, message, now)


def _receive_membership_message(
    replica: Replica,
    message: JoinRequest | JoinResponse | LeaveRequest | LeaveResponse,
    now: float,
) -> None:
    match message:
        case JoinRequest():
            receive_join(replica, message)
        case JoinResponse():
            receive_join_response(replica, message)
        case LeaveRequest():
            receive_leave(replica, message, now)
        case LeaveResponse():
            receive_leave_response(replica)


def _receive_replication(
    replica: Replica, message: Append | InstallSnapshot, now: float
) -> None:
    if isinstance(message, Append):
        receive_append(replica, message, now)
    else:
        receive_snapshot(replica, message, now)


def _receive_election_message(
    replica: Replica,
    message: PreVoteRequest | PreVoteResponse | VoteRequest | VoteResponse,
    now: float,
) -> None:
    match message:
        case PreVoteRequest():
            receive_pre_vote(replica, message, now)
        case PreVoteResponse():
            receive_pre_vote_response(replica, message, now)
        case VoteRequest():
            receive_vote(replica, message, now)
        case VoteResponse():
            receive_vote_response(replica, message, now)

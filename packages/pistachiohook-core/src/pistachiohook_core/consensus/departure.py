"""Departure of a voter whose process is about to stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import LeaveRequest
from .messages import LeaveResponse
from .replica import Role
from .replica import send

if TYPE_CHECKING:
    from .replica import Replica


def leave(replica: Replica, now: float) -> None:
    """Ask from now on that this replica votes no more.

    The others decide: a voter that they need stays one until it is replaced.
    """
    replica.leaving = True
    request_departure(replica, now)


def request_departure(replica: Replica, now: float) -> None:
    """Ask the leader to remove this voter, once in a heartbeat interval."""
    if now < replica.leave_at or not is_departing(replica):
        return
    replica.leave_at = now + replica.timing.heartbeat
    if replica.role is Role.LEADER:
        replica.departures[replica.identity] = now
    elif replica.leader:
        message = LeaveRequest(
            replica.cluster,
            replica.identity,
            replica.leader,
            replica.hard_state.term,
        )
        send(replica, message)


def receive_leave(replica: Replica, message: LeaveRequest, now: float) -> None:
    """Record, as the leader, that a voter is about to stop.

    Once its removal is committed, it is told so.
    """
    if replica.role is not Role.LEADER:
        return
    replica.departures[message.sender] = now
    _, committed = replica.log.find_membership(replica.commit)
    if message.sender not in (
        replica.membership.all_voters + committed.all_voters
    ):
        response = LeaveResponse(
            replica.cluster,
            replica.identity,
            message.sender,
            replica.hard_state.term,
        )
        send(replica, response)


def receive_leave_response(replica: Replica) -> None:
    """Record that the vote of this replica is not needed any more."""
    replica.departed = replica.leaving


def is_departing(replica: Replica) -> bool:
    """Tell whether a stop of this replica should wait for its removal.

    That is so while the others can do without its vote, because more voters
    remain than the tolerance needs, or a learner can take its place; and when
    its removal has begun, until that is known to be committed.
    """
    dynamic_membership = replica.dynamic_membership
    if dynamic_membership is None or replica.departed:
        return False
    membership = replica.membership
    if replica.identity in membership.voters:
        return len(membership.voters) > dynamic_membership.voters or bool(
            membership.learners
        )
    _, committed = replica.log.find_membership(replica.commit)
    return replica.identity in committed.all_voters


def list_departing(replica: Replica, now: float) -> tuple[str, ...]:
    """Return the voters that have asked lately, as the leader, to leave.

    A request lapses soon: a voter that goes on asks no more.
    """
    since = now - replica.timing.election_min
    return tuple(
        voter
        for voter in replica.membership.voters
        if replica.departures.get(voter, float('-inf')) >= since
    )

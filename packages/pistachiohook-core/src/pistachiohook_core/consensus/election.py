"""Leader elections with a pre-vote phase."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .entries import compute_quorum
from .messages import PreVoteRequest
from .messages import PreVoteResponse
from .messages import VoteRequest
from .messages import VoteResponse
from .replica import reset_election_timeout
from .replica import Role
from .replica import send
from .replica import set_hard_state
from .replication import become_leader

if TYPE_CHECKING:
    from .replica import Replica


def check_election_timeout(replica: Replica, now: float) -> None:
    """Begin an election when the election timeout has expired.

    Only a voter does. The only voter of a cluster skips the timeout and the
    pre-vote.
    """
    voters = replica.membership.all_voters
    if replica.identity not in voters:
        return
    if voters == (replica.identity,):
        _campaign(replica, now)
    elif now >= replica.election_at:
        _start_pre_vote(replica, now)


def receive_pre_vote(
    replica: Replica, message: PreVoteRequest, now: float
) -> None:
    """Answer whether a vote would be granted, without granting it.

    A replica that is the leader, or has heard from one within the shortest
    election timeout, refuses, so that a replica that was cut off does not
    disturb a working leader.
    """
    leaderless = now - replica.leader_contact_at >= replica.timing.election_min
    granted = (
        replica.role is not Role.LEADER
        and leaderless
        and message.term >= replica.hard_state.term
        and _is_up_to_date(replica, message)
    )
    send(
        replica,
        PreVoteResponse(
            replica.cluster,
            replica.identity,
            message.sender,
            replica.hard_state.term,
            message.term,
            granted,
        ),
    )


def receive_pre_vote_response(
    replica: Replica, message: PreVoteResponse, now: float
) -> None:
    """Count a granted pre-vote; with a quorum, become a candidate."""
    if replica.role is not Role.PRE_CANDIDATE:
        return
    if message.granted and message.asked == replica.hard_state.term:
        replica.granted_votes.add(message.sender)
        if _has_quorum(replica):
            _campaign(replica, now)


def receive_vote(replica: Replica, message: VoteRequest, now: float) -> None:
    """Grant a vote, at most one in a term."""
    state = replica.hard_state
    granted = (
        message.term == state.term
        and state.vote in ('', message.sender)
        and _is_up_to_date(replica, message)
    )
    if granted:
        set_hard_state(replica, state.term, message.sender)
        reset_election_timeout(replica, now)
    send(
        replica,
        VoteResponse(
            replica.cluster,
            replica.identity,
            message.sender,
            state.term,
            granted,
        ),
    )


def receive_vote_response(
    replica: Replica, message: VoteResponse, now: float
) -> None:
    """Count a granted vote; with a quorum, become the leader."""
    if replica.role is not Role.CANDIDATE:
        return
    if message.granted and message.term == replica.hard_state.term:
        replica.granted_votes.add(message.sender)
        if _has_quorum(replica):
            _take_over(replica, now)


def _start_pre_vote(replica: Replica, now: float) -> None:
    replica.role = Role.PRE_CANDIDATE
    _request_votes(replica, PreVoteRequest, now)
    if _has_quorum(replica):
        _campaign(replica, now)


def _campaign(replica: Replica, now: float) -> None:
    replica.role = Role.CANDIDATE
    set_hard_state(replica, replica.hard_state.term + 1, replica.identity)
    _request_votes(replica, VoteRequest, now)
    if _has_quorum(replica):
        _take_over(replica, now)


def _take_over(replica: Replica, now: float) -> None:
    """Become the leader, and note whether fewer than a quorum voted."""
    replica.recovering = not all(
        len(replica.granted_votes.intersection(voters))
        >= compute_quorum(voters)
        for voters in replica.membership.voter_sets
    )
    become_leader(replica, now)


def _request_votes(
    replica: Replica,
    request_class: type[PreVoteRequest | VoteRequest],
    now: float,
) -> None:
    replica.leader = ''
    replica.granted_votes = {replica.identity}
    reset_election_timeout(replica, now)
    for voter in replica.membership.all_voters:
        if voter == replica.identity:
            continue
        send(
            replica,
            request_class(
                replica.cluster,
                replica.identity,
                voter,
                replica.hard_state.term,
                replica.log.last_index,
                replica.log.last_term,
            ),
        )


def _has_quorum(replica: Replica) -> bool:
    if replica.must_recover:
        return replica.granted_votes.issuperset(replica.surviving_voters)
    return all(
        len(replica.granted_votes.intersection(voters))
        >= _count_needed_votes(replica, voters)
        for voters in replica.membership.voter_sets
    )


def _count_needed_votes(replica: Replica, voters: tuple[str, ...]) -> int:
    """Return how many of some voters have to grant their votes.

    That is a quorum. Where disks are known to be lost it may be fewer, since
    nobody can be elected by these voters any more: those that vote must be
    more than half of the others, and one of them must be in every quorum that
    has accepted an entry.
    """
    quorum = compute_quorum(voters)
    if replica.dynamic_membership is None:
        return quorum
    others = set(voters) - replica.lost_voters
    return max(len(voters) - quorum + 1, len(others) // 2 + 1)


def _is_up_to_date(
    replica: Replica, message: PreVoteRequest | VoteRequest
) -> bool:
    own_position = (replica.log.last_term, replica.log.last_index)
    return (message.last_term, message.last_index) >= own_position

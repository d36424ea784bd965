"""Elections with a pre-vote round."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import PreVote
from .messages import PreVoteAnswer
from .messages import Vote
from .messages import VoteAnswer
from .replica import delay_election
from .replica import Role
from .replica import send
from .replica import set_hard_state
from .replication import lead

if TYPE_CHECKING:
    from .replica import Replica


def elect(replica: Replica, now: float) -> None:
    """Ask for votes when no leader has been heard for long enough."""
    membership = replica.membership
    if replica.identity not in membership.voters:
        return
    if membership.voters == (replica.identity,):
        _campaign(replica, now)
    elif now >= replica.election_at:
        _ask_pre_votes(replica, now)


def receive_pre_vote(replica: Replica, message: PreVote, now: float) -> None:
    """Say whether a vote would be granted; changes nothing."""
    silent = now - replica.heard_at >= replica.timing.election_min
    granted = (
        replica.role is not Role.LEADER
        and silent
        and message.term >= replica.hard_state.term
        and _is_up_to_date(replica, message)
    )
    send(
        replica,
        PreVoteAnswer(
            replica.cluster,
            replica.identity,
            message.sender,
            replica.hard_state.term,
            message.term,
            granted,
        ),
    )


def receive_pre_vote_answer(
    replica: Replica, message: PreVoteAnswer, now: float
) -> None:
    """Count a granted pre-vote; a quorum of them begins the election."""
    if replica.role is not Role.PRE_CANDIDATE:
        return
    if message.granted and message.asked == replica.hard_state.term:
        replica.grants.add(message.sender)
        if _has_quorum(replica):
            _campaign(replica, now)


def receive_vote(replica: Replica, message: Vote, now: float) -> None:
    """Vote at most once in a term."""
    state = replica.hard_state
    granted = (
        message.term == state.term
        and state.vote in ('', message.sender)
        and _is_up_to_date(replica, message)
    )
    if granted:
        set_hard_state(replica, state.term, message.sender)
        delay_election(replica, now)
    send(
        replica,
        VoteAnswer(
            replica.cluster,
            replica.identity,
            message.sender,
            state.term,
            granted,
        ),
    )


def receive_vote_answer(
    replica: Replica, message: VoteAnswer, now: float
) -> None:
    """Count a vote; a quorum of them makes a leader."""
    if replica.role is not Role.CANDIDATE:
        return
    if message.granted and message.term == replica.hard_state.term:
        replica.grants.add(message.sender)
        if _has_quorum(replica):
            lead(replica, now)


def _ask_pre_votes(replica: Replica, now: float) -> None:
    replica.role = Role.PRE_CANDIDATE
    _ask(replica, PreVote, now)


def _campaign(replica: Replica, now: float) -> None:
    replica.role = Role.CANDIDATE
    set_hard_state(replica, replica.hard_state.term + 1, replica.identity)
    _ask(replica, Vote, now)
    if _has_quorum(replica):
        lead(replica, now)


def _ask(replica: Replica, question: type[PreVote | Vote], now: float) -> None:
    replica.leader = ''
    replica.grants = {replica.identity}
    delay_election(replica, now)
    for voter in replica.membership.voters:
        if voter == replica.identity:
            continue
        send(
            replica,
            question(
                replica.cluster,
                replica.identity,
                voter,
                replica.hard_state.term,
                replica.log.last_index,
                replica.log.last_term,
            ),
        )


def _has_quorum(replica: Replica) -> bool:
    membership = replica.membership
    granted = replica.grants.intersection(membership.voters)
    return len(granted) >= membership.quorum


def _is_up_to_date(replica: Replica, message: PreVote | Vote) -> bool:
    own = (replica.log.last_term, replica.log.last_index)
    return (message.last_term, message.last_index) >= own

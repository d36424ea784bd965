"""Linearizable reads and the age of the last quorum's proof."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .events import ReadReady
from .events import Refusal
from .events import Refused
from .messages import ReadIndex
from .messages import ReadIndexResponse
from .replica import PendingRead
from .replica import Role
from .replica import send
from .replication import broadcast
from .replication import compute_quorum_value

if TYPE_CHECKING:
    from .events import Read
    from .replica import Replica


def read(replica: Replica, event: Read, now: float) -> None:
    """Begin a read; a follower asks its leader."""
    if not replica.leader:
        refused = Refused(event.request, Refusal.NOT_LEADER)
        replica.outbox.append(refused)
        return
    _begin_read(replica, event.request, now)


def begin_background_read(replica: Replica, now: float) -> None:
    """Let a follower ask for a fresh proof, once a heartbeat."""
    if now < replica.heartbeat_at or not replica.leader:
        return
    replica.heartbeat_at = now + replica.timing.heartbeat
    replica.background_reads += 1
    _begin_read(replica, -replica.background_reads, now)


def receive_read_index(
    replica: Replica, message: ReadIndex, now: float
) -> None:
    """Begin a round for a follower's read, as a leader."""
    if replica.role is Role.LEADER:
        _confirm_later(replica, message.request, message.sender, now)


def receive_read_index_response(
    replica: Replica, message: ReadIndexResponse
) -> None:
    """Take the index that a leader gave, as a follower."""
    _take_index(replica, message.request, message.index)


def confirm_reads(replica: Replica) -> None:
    """Answer the reads whose round a quorum has answered, as a leader."""
    term = replica.hard_state.term
    if replica.log.find_term(replica.commit) != term:
        return
    confirmed = compute_quorum_value(
        replica,
        replica.heartbeat_round,
        {
            name: peer.acknowledged_round
            for name, peer in replica.progress.items()
        },
    )
    _renew_proof(replica, confirmed)
    reads = replica.pending_reads
    replica.pending_reads = [
        read for read in reads if read.heartbeat_round > confirmed
    ]
    for pending in reads:
        if pending.heartbeat_round <= confirmed:
            _answer(replica, pending)


def complete_reads(replica: Replica, now: float) -> None:
    """Report the reads whose index is applied; give up on old ones."""
    ready = {
        request: began
        for request, (index, began) in replica.confirmed_reads.items()
        if index <= replica.applied
    }
    for request, began in ready.items():
        del replica.confirmed_reads[request]
        replica.confirmed_at = max(replica.confirmed_at, began)
        if request > 0:
            replica.outbox.append(ReadReady(request, replica.applied))
    since = now - replica.timing.election_max
    late = [
        request
        for request, began in replica.outstanding_reads.items()
        if began < since
    ]
    for request in late:
        del replica.outstanding_reads[request]
        if request > 0:
            refused = Refused(request, Refusal.NO_ANSWER)
            replica.outbox.append(refused)


def measure_freshness(replica: Replica, now: float) -> float:
    """Return the age of the last quorum's proof, in seconds.

    All that was accepted anywhere before then is applied here.
    """
    return now - replica.confirmed_at


def _begin_read(replica: Replica, request: int, now: float) -> None:
    replica.outstanding_reads[request] = now
    if replica.role is Role.LEADER:
        _confirm_later(replica, request, replica.identity, now)
        return
    send(
        replica,
        ReadIndex(
            replica.cluster,
            replica.identity,
            replica.leader,
            replica.hard_state.term,
            request,
        ),
    )


def _confirm_later(
    replica: Replica, request: int, requester: str, now: float
) -> None:
    broadcast(replica, now)
    pending = PendingRead(request, requester, replica.heartbeat_round)
    replica.pending_reads.append(pending)


def _renew_proof(replica: Replica, confirmed: int) -> None:
    proved = [
        probe for probe in replica.round_start_times if probe <= confirmed
    ]
    times = [replica.round_start_times.pop(probe) for probe in proved]
    replica.confirmed_at = max([replica.confirmed_at, *times])


def _answer(replica: Replica, pending: PendingRead) -> None:
    if pending.requester == replica.identity:
        _take_index(replica, pending.request, replica.commit)
        return
    send(
        replica,
        ReadIndexResponse(
            replica.cluster,
            replica.identity,
            pending.requester,
            replica.hard_state.term,
            pending.request,
            replica.commit,
        ),
    )


def _take_index(replica: Replica, request: int, index: int) -> None:
    began = replica.outstanding_reads.pop(request, None)
    if began is not None:
        replica.confirmed_reads[request] = (index, began)

"""Linearizable reads by Raft's ReadIndex, and the age of the state."""

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
from .replication import begin_heartbeat_round
from .replication import compute_quorum_value

if TYPE_CHECKING:
    from .events import Read
    from .replica import Replica


def read(replica: Replica, event: Read, now: float) -> None:
    """Begin a read, or refuse it when no leader is known."""
    if not replica.leader:
        refused = Refused(event.request, Refusal.NOT_LEADER)
        replica.outbox.append(refused)
        return
    _begin_read(replica, replica.first_read + event.request, now)


def begin_background_read(replica: Replica, now: float) -> None:
    """Begin a read of a follower's own, once in a heartbeat interval.

    Its confirmation shows how recent the state at this replica is. The number
    of such a read is negative, and its end is not reported.
    """
    if now < replica.heartbeat_at or not replica.leader:
        return
    replica.heartbeat_at = now + replica.timing.heartbeat
    replica.background_reads += 1
    number = replica.first_read + replica.background_reads
    _begin_read(replica, -number, now)


def receive_read_index(
    replica: Replica, message: ReadIndex, now: float
) -> None:
    """Begin a heartbeat round for a follower's read, as the leader."""
    if replica.role is Role.LEADER:
        _queue_read(replica, message.request, message.sender, now)


def receive_read_index_response(
    replica: Replica, message: ReadIndexResponse
) -> None:
    """Record the index at which the leader confirmed a read."""
    _record_read_index(replica, message.request, message.index)


def confirm_reads(replica: Replica) -> None:
    """Answer, as the leader, the reads whose round a quorum acknowledged.

    A new leader knows what is committed only after an entry of its own term
    is; until then it answers no read.
    """
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
    _update_confirmed_at(replica, confirmed)
    reads = replica.pending_reads
    replica.pending_reads = [
        read for read in reads if read.heartbeat_round > confirmed
    ]
    for pending in reads:
        if pending.heartbeat_round <= confirmed:
            _respond(replica, pending)


def complete_reads(replica: Replica, now: float) -> None:
    """Report the reads whose index is applied, and refuse expired ones."""
    ready = {
        request: began
        for request, (index, began) in replica.confirmed_reads.items()
        if index <= replica.applied
    }
    for request, began in ready.items():
        del replica.confirmed_reads[request]
        replica.confirmed_at = max(replica.confirmed_at, began)
        if request > 0:
            number = request - replica.first_read
            replica.outbox.append(ReadReady(number, replica.applied))
    since = now - replica.timing.election_max
    expired = [
        request
        for request, began in replica.outstanding_reads.items()
        if began < since
    ]
    for request in expired:
        del replica.outstanding_reads[request]
        if request > 0:
            number = request - replica.first_read
            refused = Refused(number, Refusal.NO_ANSWER)
            replica.outbox.append(refused)


def measure_freshness(replica: Replica, now: float) -> float:
    """Return the age of the state at this replica, in seconds.

    The age counts from the start of the newest heartbeat round or read that a
    quorum confirmed. Every command that was accepted before then is applied
    here.
    """
    return now - replica.confirmed_at


def _begin_read(replica: Replica, request: int, now: float) -> None:
    replica.outstanding_reads[request] = now
    if replica.role is Role.LEADER:
        _queue_read(replica, request, replica.identity, now)
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


def _queue_read(
    replica: Replica, request: int, requester: str, now: float
) -> None:
    """Queue a read until a quorum acknowledges a round that begins after it.

    Such a round begins now, but for background reads, which wait for the next
    heartbeat: each replica begins some every second, so that messages would
    grow with the square of the replicas.
    """
    if request > 0:
        begin_heartbeat_round(replica, now)
        heartbeat_round = replica.heartbeat_round
    else:
        heartbeat_round = replica.heartbeat_round + 1
    pending = PendingRead(request, requester, heartbeat_round)
    replica.pending_reads.append(pending)


def _update_confirmed_at(replica: Replica, confirmed: int) -> None:
    rounds = [
        number for number in replica.round_start_times if number <= confirmed
    ]
    times = [replica.round_start_times.pop(number) for number in rounds]
    replica.confirmed_at = max([replica.confirmed_at, *times])


def _respond(replica: Replica, pending: PendingRead) -> None:
    if pending.requester == replica.identity:
        _record_read_index(replica, pending.request, replica.commit)
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


def _record_read_index(replica: Replica, request: int, index: int) -> None:
    began = replica.outstanding_reads.pop(request, None)
    if began is not None:
        replica.confirmed_reads[request] = (index, began)

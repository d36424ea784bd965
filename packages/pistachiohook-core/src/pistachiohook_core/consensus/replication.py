"""Log replication, on the leader and on its followers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .entries import compute_quorum
from .entries import EntryKind
from .entries import Snapshot
from .events import Appended
from .events import Refusal
from .events import Refused
from .events import Restore
from .messages import Append
from .messages import AppendResponse
from .messages import InstallSnapshot
from .replica import add_entries
from .replica import add_entry
from .replica import become_follower
from .replica import commit_up_to
from .replica import Progress
from .replica import reset_election_timeout
from .replica import Role
from .replica import send

if TYPE_CHECKING:
    from .entries import Entry
    from .events import Compact
    from .events import Propose
    from .replica import Replica

#: Limit for the payloads in one message, in bytes.
BATCH_BYTES = 262_144

#: Time after the last change of the voters from which a leader accepts
#: commands with fewer voters than wanted, in seconds: longer than the starts
#: of instances of one deployment lie apart.
MORE_VOTERS_WAIT = 5.0

#: The same while there are so few that the tolerated loss of disks could
#: destroy an accepted command, in seconds.
TOLERANT_VOTERS_WAIT = 20.0


def become_leader(replica: Replica, now: float) -> None:
    """Become the leader of the current term."""
    replica.role = Role.LEADER
    replica.leader = replica.identity
    replica.granted_votes.clear()
    replica.counted_voters = ()
    # A response to an earlier join request may be older than the changes that
    # this leader makes.
    replica.join_number += 1
    replica.first_round = replica.heartbeat_round + 1
    add_entry(replica, EntryKind.NOOP)
    begin_heartbeat_round(replica, now)


def begin_heartbeat_round(replica: Replica, now: float) -> None:
    """Send every other member a heartbeat, or what it lacks.

    All messages until the next call carry the number of this round. A response
    to one shows that the follower still accepted this leader after the round
    began.
    """
    replica.heartbeat_at = now + replica.timing.heartbeat
    replica.heartbeat_round += 1
    replica.round_start_times[replica.heartbeat_round] = now
    _update_progress(replica, now)
    for identity in replica.progress:
        send_entries(replica, identity, now)
    advance_commit(replica, now)


def propose(replica: Replica, event: Propose, now: float) -> None:
    """Append commands to the log as the leader, or refuse all of them."""
    refusal = _check_proposal(replica, now)
    if refusal is not None:
        replica.outbox.extend(
            Refused(request, refusal) for request in event.requests
        )
        return
    for request, command in zip(event.requests, event.commands, strict=True):
        entry = add_entry(replica, EntryKind.COMMAND, command)
        replica.outbox.append(Appended(request, entry.index, entry.term))
    for identity in replica.progress:
        send_entries(replica, identity, now)
    advance_commit(replica, now)


def send_entries(replica: Replica, identity: str, now: float) -> None:
    """Send a replica the entries or the snapshot that it lacks.

    A replica that lacks nothing gets an append without entries, as a
    heartbeat. So does one that has not responded for the longest election
    timeout, so that no large messages queue up for a replica that is down.
    """
    progress = replica.progress[identity]
    snapshot = replica.log.snapshot
    if now - progress.last_response_at > replica.timing.election_max:
        previous = max(progress.next_index - 1, snapshot.index)
        _send_append(replica, identity, previous, ())
        return
    if progress.next_index <= snapshot.index:
        if _may_send_snapshot(replica, progress, now):
            progress.snapshot_at = now
            _send_snapshot(replica, identity)
            return
        _send_append(replica, identity, snapshot.index, ())
        return
    previous = progress.next_index - 1
    entries = replica.log.batch(progress.next_index, BATCH_BYTES)
    progress.next_index += len(entries)
    _send_append(replica, identity, previous, entries)


def receive_append(replica: Replica, message: Append, now: float) -> None:
    """Append a leader's entries to the log, as a follower.

    When the entry before them differs from the leader's or is missing, they
    are rejected, and the response says where the leader should try next.
    """
    if message.term < replica.hard_state.term:
        _respond(replica, message, False, replica.commit)
        return
    _accept_leader(replica, message, now)
    if message.previous_index < replica.log.snapshot.index:
        _respond(replica, message, True, replica.commit)
        return
    held = replica.log.find_term(message.previous_index)
    if held != message.previous_term:
        hint = replica.log.last_index if held is None else replica.commit
        _respond(replica, message, False, hint)
        return
    _add_new_entries(replica, message.entries)
    match = message.previous_index + len(message.entries)
    commit_up_to(replica, min(message.commit, match))
    _respond(replica, message, True, match)


def receive_snapshot(
    replica: Replica, message: InstallSnapshot, now: float
) -> None:
    """Install a leader's snapshot, as a follower.

    A snapshot that doesn't go beyond the committed entries is only
    acknowledged.
    """
    if message.term < replica.hard_state.term:
        _respond(replica, message, False, replica.commit)
        return
    _accept_leader(replica, message, now)
    snapshot = message.snapshot
    if snapshot.index > replica.commit:
        replica.log.compact(snapshot)
        replica.unsaved = ()
        replica.commit = snapshot.index
        replica.applied = snapshot.index
        replica.dirty = True
        replica.rewrite = True
        replica.outbox.append(Restore(snapshot))
    _respond(replica, message, True, replica.commit)


def receive_append_response(
    replica: Replica, message: AppendResponse, now: float
) -> None:
    """Update a follower's progress from its response, as the leader.

    A response in the present term may still answer an earlier leadership, also
    one of a former process. It shows nothing about this one.
    """
    progress = replica.progress.get(message.sender)
    if progress is None or message.term != replica.hard_state.term:
        return
    if not replica.first_round <= message.probe <= replica.heartbeat_round:
        return
    progress.last_response_at = now
    progress.acknowledged_round = max(
        progress.acknowledged_round, message.probe
    )
    if message.matched:
        progress.match_index = max(progress.match_index, message.index)
        progress.next_index = max(
            progress.next_index, progress.match_index + 1
        )
        advance_commit(replica, now)
    else:
        progress.next_index = max(progress.match_index, message.index) + 1
    if _may_send_more(replica, progress, now):
        send_entries(replica, message.sender, now)


def advance_commit(replica: Replica, now: float) -> None:
    """Commit the entries that enough voters hold.

    An entry of an earlier term is not committed by counting replicas, only
    together with a later entry of the leader's own term.
    """
    values = {
        name: peer.match_index for name, peer in replica.progress.items()
    }
    values[replica.identity] = replica.log.last_index
    index = min(
        _find_reached_value(
            values, voters, _count_needed_holders(replica, voters, now)
        )
        for voters in replica.membership.voter_sets
    )
    if replica.log.find_term(index) == replica.hard_state.term:
        commit_up_to(replica, index)


def compute_quorum_value(
    replica: Replica, own: int, others: dict[str, int]
) -> int:
    """Return the greatest value that at least a quorum of voters has reached.

    During a change of the voters, a quorum of the former ones has, too.

    :param own: value of the replica itself
    :param others: values of the other replicas, by identity; a voter without
        one counts as 0
    """
    values = {**others, replica.identity: own}
    return min(
        _find_reached_value(values, voters, compute_quorum(voters))
        for voters in replica.membership.voter_sets
    )


def _find_reached_value(
    values: dict[str, int], voters: tuple[str, ...], number: int
) -> int:
    """Return the greatest value that a number of voters has reached."""
    reached = sorted((values.get(voter, 0) for voter in voters), reverse=True)
    return reached[number - 1]


def _count_needed_holders(
    replica: Replica, voters: tuple[str, ...], now: float
) -> int:
    """Return how many voters must hold an entry before it is committed.

    That is a quorum, and with few voters more: the entry must survive the
    loss of as many disks as are tolerated. Voters that do not respond count
    as lost already.
    """
    quorum = compute_quorum(voters)
    if replica.dynamic_membership is None:
        return quorum
    since = now - replica.timing.election_max
    responding = sum(
        voter == replica.identity
        or (
            voter in replica.progress
            and replica.progress[voter].last_response_at >= since
        )
        for voter in voters
    )
    lost = len(voters) - responding
    survivors = replica.dynamic_membership.tolerance - lost + 1
    return max(quorum, min(responding, survivors))


def check_quorum(replica: Replica, now: float) -> None:
    """Step down as the leader when a quorum no longer responds."""
    since = now - replica.timing.election_max
    responding = {
        name: int(peer.last_response_at >= since)
        for name, peer in replica.progress.items()
    }
    if not compute_quorum_value(replica, 1, responding):
        become_follower(replica, replica.hard_state.term, '', now)


def count_missing_voters(replica: Replica, now: float) -> int:
    """Return how many voters are missing although commands are accepted.

    :param now: time, in seconds
    :returns: 0 unless this replica is the leader
    """
    dynamic_membership = replica.dynamic_membership
    if dynamic_membership is None or _check_proposal(replica, now) is not None:
        return 0
    return max(0, dynamic_membership.voters - len(replica.membership.voters))


def compact(replica: Replica, event: Compact) -> None:
    """Replace the entries up to an index by a snapshot.

    A snapshot that is older than the present one, or goes beyond the applied
    entries, is ignored.
    """
    log = replica.log
    term = log.find_term(event.index)
    if term is None or not log.snapshot.index < event.index <= replica.applied:
        return
    _, membership = log.find_membership(event.index)
    log.compact(Snapshot(event.index, term, membership, event.state))
    replica.dirty = True
    replica.rewrite = True


def _check_proposal(replica: Replica, now: float) -> Refusal | None:
    if replica.role is not Role.LEADER:
        return Refusal.NOT_LEADER
    if _has_too_few_voters(replica, now):
        return Refusal.TOO_FEW_VOTERS
    return None


def _has_too_few_voters(replica: Replica, now: float) -> bool:
    """Tell whether commands must wait for further voters.

    With dynamic membership, the first command needs the full number of
    voters. Later ones need more voters than disks that may be lost, so that
    commands are still accepted while a voter is replaced. When no further
    voter has come for some time, there are no more instances with a disk, and
    commands are accepted by those that there are.
    """
    voters = min(map(len, replica.membership.voter_sets))
    dynamic_membership = replica.dynamic_membership
    if dynamic_membership is None:
        return voters <= len(replica.instances) // 2
    tolerance = dynamic_membership.tolerance
    needed = tolerance + 1
    if not _has_command(replica):
        needed = dynamic_membership.voters
    if voters >= needed:
        return False
    wait = MORE_VOTERS_WAIT if voters > tolerance else TOLERANT_VOTERS_WAIT
    return now - replica.voters_changed_at < wait


def _has_command(replica: Replica) -> bool:
    """Tell whether the log or its snapshot may hold a command."""
    log = replica.log
    return log.snapshot.index > 0 or any(
        entry.kind is EntryKind.COMMAND for entry in log.entries
    )


def _update_progress(replica: Replica, now: float) -> None:
    """Keep the progress of exactly the present other members.

    Notes when the voters have changed, too.
    """
    if replica.counted_voters != replica.membership.voters:
        replica.counted_voters = replica.membership.voters
        replica.voters_changed_at = now
    former = replica.progress
    others = [
        member
        for member in replica.membership.members
        if member != replica.identity
    ]
    next_index = replica.log.last_index + 1
    replica.progress = {
        member: former.get(member, Progress(next_index, 0, now))
        for member in others
    }


def _may_send_snapshot(
    replica: Replica, progress: Progress, now: float
) -> bool:
    """Tell whether the last snapshot was sent long enough ago."""
    return now - progress.snapshot_at >= replica.timing.election_max


def _may_send_more(replica: Replica, progress: Progress, now: float) -> bool:
    if progress.next_index <= replica.log.snapshot.index:
        return _may_send_snapshot(replica, progress, now)
    return progress.next_index <= replica.log.last_index


def _send_append(
    replica: Replica,
    identity: str,
    previous: int,
    entries: tuple[Entry, ...],
) -> None:
    send(
        replica,
        Append(
            replica.cluster,
            replica.identity,
            identity,
            replica.hard_state.term,
            previous,
            replica.log.find_term(previous) or 0,
            entries,
            replica.commit,
            replica.heartbeat_round,
        ),
    )


def _send_snapshot(replica: Replica, identity: str) -> None:
    send(
        replica,
        InstallSnapshot(
            replica.cluster,
            replica.identity,
            identity,
            replica.hard_state.term,
            replica.log.snapshot,
            replica.heartbeat_round,
        ),
    )


def _accept_leader(
    replica: Replica, message: Append | InstallSnapshot, now: float
) -> None:
    if replica.cluster != message.cluster:
        replica.cluster = message.cluster
        replica.dirty = True
        replica.rewrite = True
    if replica.role is not Role.FOLLOWER or replica.leader != message.sender:
        become_follower(replica, message.term, message.sender, now)
    replica.leader_contact_at = now
    replica.join_number += 1
    replica.lost_voters.clear()
    replica.superseded_voters.clear()
    reset_election_timeout(replica, now)


def _add_new_entries(replica: Replica, entries: tuple[Entry, ...]) -> None:
    """Add the entries from the first one on that the log lacks.

    When it lacks none, the log stays as it is: the message may be delayed, and
    later entries may have been appended since.
    """
    present = sum(
        1
        for entry in entries
        if replica.log.find_term(entry.index) == entry.term
    )
    if present < len(entries):
        add_entries(replica, entries[present:])


def _respond(
    replica: Replica,
    message: Append | InstallSnapshot,
    matched: bool,
    index: int,
) -> None:
    send(
        replica,
        AppendResponse(
            replica.cluster,
            replica.identity,
            message.sender,
            replica.hard_state.term,
            matched,
            index,
            message.probe,
        ),
    )

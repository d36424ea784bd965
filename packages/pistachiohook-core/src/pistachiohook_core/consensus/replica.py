"""State of one replica and the operations that all roles share."""

from __future__ import annotations

import enum
from random import Random

import attrs

from .entries import compute_quorum
from .entries import Entry
from .entries import EntryKind
from .entries import HardState
from .entries import Membership
from .entries import parse_instance_name
from .entries import SavedState
from .events import Action
from .events import Apply
from .events import Persist
from .events import Send
from .log import Log
from .messages import Message

#: Number of short election timeouts after a start, while no leader has been
#: heard. They leave the other replicas time to start; with more of them, slow
#: disks could delay the votes and increase the term again and again.
STARTUP_ELECTIONS = 4

#: Size of the random numbers from which a process counts its requests, in
#: bits. A delayed response to the former process is then not taken for one to
#: this process.
FIRST_NUMBER_BITS = 48


#: Largest number of voters, unless the tolerance needs more: a change waits
#: for more than half of them.
VOTERS_MAX = 9


class Role(enum.Enum):
    """Role of a replica in its term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@attrs.frozen
class Timing:
    """Durations, in seconds, that must be the same on all replicas.

    :param heartbeat: interval between two heartbeats of a leader
    :param election_min: shortest election timeout
    :param election_max: longest election timeout
    :param startup_max: longest election timeout of a replica that has heard
        no leader since its start; it can be short, because the others refuse
        a pre-vote while they hear a leader
    """

    heartbeat: float = 0.2
    election_min: float = 1.0
    election_max: float = 2.0
    startup_max: float = 0.3


@attrs.frozen
class DynamicMembership:
    """How the membership follows the instances that run.

    :param tolerance: number of voters whose disks may be lost at the same time
    :param may_bootstrap: whether this instance may create a new cluster; true
        only when the whole system starts for the first time
    :param durable: whether the instance's journal survives a loss of power;
        an instance without a disk becomes an observer and never votes
    """

    tolerance: int
    may_bootstrap: bool = False
    durable: bool = True

    @property
    def voters(self) -> int:
        """Number of voters that bear the tolerated losses."""
        return 2 * self.tolerance + 1

    @property
    def voters_max(self) -> int:
        """Largest number of voters; further members are learners."""
        return max(self.voters, VOTERS_MAX)


@attrs.define
class Progress:
    """Replication state of another replica, as the leader knows it.

    :param next_index: index of the first entry to send
    :param match_index: last index up to which the replica is known to agree
        with the leader
    :param last_response_at: time of its last response
    :param acknowledged_round: newest heartbeat round that it has acknowledged
    :param snapshot_at: time when a snapshot was last sent to it
    """

    next_index: int
    match_index: int
    last_response_at: float
    acknowledged_round: int = 0
    snapshot_at: float = float('-inf')


@attrs.define
class PendingRead:
    """A read that the leader answers once a quorum has confirmed it as leader.

    :param request: number that the requester gave the read
    :param requester: identity of the replica that asks
    :param heartbeat_round: first round whose acknowledgement by a quorum
        confirms the read
    """

    request: int
    requester: str
    heartbeat_round: int


@attrs.define
class Replica:
    """State of one replica; change it only through :func:`raft.handle`.

    :param identity: identity of the replica, unique to its data folder
    :param instances: names of all instances in the settings
    :param timing: heartbeat interval and election timeouts
    :param dynamic_membership: rules by which running instances become members
        and leave; ``None`` when exactly the configured instances vote
    :param random: source of the random election timeouts
    :param cluster: identity of the replica that bootstrapped the cluster;
        empty before it is known
    :param hard_state: term and vote
    :param log: newest snapshot and the entries after it
    :param commit: index up to which entries are committed
    :param applied: index up to which entries were given to the state machine
    :param role: role in the current term
    :param leader: identity of the leader; empty when not known
    :param leader_contact_at: time of the last message from a leader
    :param election_at: time when the election timeout expires
    :param startup_elections: how many of the short timeouts after the start
        were used before the first message from a leader
    :param heartbeat_at: time of a leader's next heartbeat, or of a follower's
        next background read
    :param join_at: time when the next join requests may be sent
    :param granted_votes: identities that granted a vote or a pre-vote
    :param progress: as leader, the replication state of each other member, by
        identity
    :param counted_voters: as leader, the voters at the last heartbeat
    :param voters_changed_at: as leader, when these changed last; not before
        its election
    :param heartbeat_round: number of the newest heartbeat round that it began
        as leader
    :param first_round: number of the first one since it became the leader
    :param round_start_times: start time of each heartbeat round that no quorum
        has acknowledged yet
    :param pending_reads: as leader, the reads that wait for a quorum
    :param outstanding_reads: start time of each read of this replica that the
        leader has not confirmed yet
    :param confirmed_reads: for each confirmed read, the index that must be
        applied first, and the time when the read began
    :param first_read: number from which the reads are counted in messages
    :param background_reads: number of reads that the replica itself began to
        keep ``confirmed_at`` recent
    :param confirmed_at: start time of the newest heartbeat round or read that
        a quorum has confirmed; what was accepted before then is applied here
    :param join_requests: as leader, identities that ask to join, and whether
        their journal survives a loss of power
    :param clusterless_instances: names of instances that reported that they
        belong to no cluster
    :param nominee: identity that this replica has nominated for the bootstrap
        of a cluster; empty when none
    :param nominators: names of instances that have nominated this replica
    :param discovered_instances: names of instances that other replicas named
        as members or as their nominee
    :param join_number: number of the join requests since a leader was last
        heard
    :param lost_voters: voters whose instances have answered such a request
        under a new identity, so that their disks are known to be lost
    :param superseded_voters: those whose new identity is a committed member:
        they hold no vote in anything that was accepted after its admission
    :param recovering: as leader, whether it was elected by fewer voters than a
        quorum, since the disks of others are lost
    :param leaving: whether the process of this replica is about to stop
    :param departed: whether its vote is known not to be needed any more
    :param leave_at: time when the next request to leave may be sent
    :param departures: as leader, the time of the last request of each voter
        to leave
    :param unsaved: entries for the next :class:`Persist`
    :param dirty: whether anything has changed that must be made durable
    :param rewrite: whether the journal must be written as a whole again
    :param outbox: actions to carry out after the next :class:`Persist`
    """

    identity: str
    instances: tuple[str, ...]
    timing: Timing
    random: Random
    cluster: str
    hard_state: HardState
    log: Log
    commit: int
    applied: int
    role: Role = Role.FOLLOWER
    leader: str = ''
    leader_contact_at: float = float('-inf')
    election_at: float = 0.0
    startup_elections: int = 0
    heartbeat_at: float = 0.0
    join_at: float = 0.0
    granted_votes: set[str] = attrs.field(factory=set)
    progress: dict[str, Progress] = attrs.field(factory=dict)
    counted_voters: tuple[str, ...] = ()
    voters_changed_at: float = float('inf')
    heartbeat_round: int = 0
    first_round: int = 0
    round_start_times: dict[int, float] = attrs.field(factory=dict)
    pending_reads: list[PendingRead] = attrs.field(factory=list)
    outstanding_reads: dict[int, float] = attrs.field(factory=dict)
    confirmed_reads: dict[int, tuple[int, float]] = attrs.field(factory=dict)
    first_read: int = 0
    background_reads: int = 0
    confirmed_at: float = float('-inf')
    join_requests: dict[str, bool] = attrs.field(factory=dict)
    clusterless_instances: set[str] = attrs.field(factory=set)
    nominee: str = ''
    nominators: set[str] = attrs.field(factory=set)
    discovered_instances: set[str] = attrs.field(factory=set)
    join_number: int = 0
    lost_voters: set[str] = attrs.field(factory=set)
    superseded_voters: set[str] = attrs.field(factory=set)
    recovering: bool = False
    leaving: bool = False
    departed: bool = False
    leave_at: float = float('-inf')
    departures: dict[str, float] = attrs.field(factory=dict)
    dynamic_membership: DynamicMembership | None = None
    unsaved: tuple[Entry, ...] = ()
    dirty: bool = False
    rewrite: bool = False
    outbox: list[Action] = attrs.field(factory=list)

    @property
    def membership(self) -> Membership:
        """Newest membership in the log, committed or not."""
        return self.log.find_membership(self.log.last_index)[1]

    @property
    def saved_state(self) -> SavedState:
        """State that a journal has to hold for a restart to resume here."""
        return SavedState(
            self.identity,
            self.cluster,
            self.hard_state,
            self.log.snapshot,
            tuple(self.log.entries),
            self.commit,
        )

    @property
    def surviving_voters(self) -> tuple[str, ...]:
        """Voters whose disks are not known to be lost."""
        return tuple(
            voter
            for voter in self.membership.all_voters
            if voter not in self.lost_voters
        )

    @property
    def must_recover(self) -> bool:
        """Whether so many voters are lost that no quorum is left.

        As long as no more are lost than is tolerated, the surviving voters
        together hold every accepted command. When more are lost, an accepted
        command may be gone, and the cluster stays without a leader.
        """
        if self.dynamic_membership is None or not self.lost_voters:
            return False
        without_quorum = [
            voters
            for voters in self.membership.voter_sets
            if len(self.lost_voters.intersection(voters))
            > len(voters) - compute_quorum(voters)
        ]
        return bool(without_quorum and self.surviving_voters) and all(
            map(self._is_loss_tolerated, without_quorum)
        )

    def _is_loss_tolerated(self, voters: tuple[str, ...]) -> bool:
        """Tell whether the survivors hold all that these voters accepted.

        Superseded voters count, too, unless no quorum is small enough to have
        been lost with the others alone.
        """
        assert self.dynamic_membership is not None
        lost = self.lost_voters.intersection(voters)
        if compute_quorum(voters) > self.dynamic_membership.tolerance:
            lost -= self.superseded_voters
        return len(lost) <= self.dynamic_membership.tolerance

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts towards a quorum."""
        return self.identity in self.membership.all_voters

    @property
    def is_durable(self) -> bool:
        """Whether the journal of this replica survives a loss of power."""
        return (
            self.dynamic_membership is None or self.dynamic_membership.durable
        )


def create_replica(
    saved: SavedState,
    instances: tuple[str, ...],
    timing: Timing,
    seed: int,
    now: float,
    dynamic_membership: DynamicMembership | None = None,
) -> Replica:
    """Return a replica that resumes from its durable state.

    :param saved: the durable state, as loaded from the journal
    :param instances: names of all instances in the settings
    :param timing: heartbeat interval and election timeouts
    :param seed: seed of the random election timeouts
    :param now: time, in seconds
    :param dynamic_membership: rules by which running instances become members
        and leave; ``None`` when exactly the configured instances vote
    """
    random = Random(seed)
    replica = Replica(
        identity=saved.identity,
        instances=instances,
        timing=timing,
        random=random,
        heartbeat_round=random.getrandbits(FIRST_NUMBER_BITS),
        first_read=random.getrandbits(FIRST_NUMBER_BITS),
        join_number=random.getrandbits(FIRST_NUMBER_BITS),
        cluster=saved.cluster,
        hard_state=saved.hard_state,
        log=Log(saved.snapshot, list(saved.entries)),
        commit=saved.snapshot.index,
        applied=saved.snapshot.index,
        dynamic_membership=dynamic_membership,
    )
    reset_election_timeout(replica, now)
    # The saved index may lie beyond the log: the entries up to it may have
    # been in a torn last record of the journal, which was cut off.
    commit_up_to(replica, min(saved.commit, replica.log.last_index))
    return replica


def reset_election_timeout(replica: Replica, now: float) -> None:
    """Restart the election timeout with a new random duration.

    The first timeouts after a start are short, so that a cluster whose
    instances have all restarted elects a leader soon.
    """
    timing = replica.timing
    shortest, longest = timing.election_min, timing.election_max
    started = replica.leader_contact_at == float('-inf')
    if started and replica.startup_elections < STARTUP_ELECTIONS:
        replica.startup_elections += 1
        shortest, longest = timing.startup_max / 3, timing.startup_max
    replica.election_at = now + replica.random.uniform(shortest, longest)


def send(replica: Replica, message: Message) -> None:
    """Send a message to its receiver once all earlier changes are durable."""
    instance = parse_instance_name(message.receiver)
    replica.outbox.append(Send(instance, message))


def set_hard_state(replica: Replica, term: int, vote: str) -> None:
    """Set term and vote; they become durable before any message is sent."""
    hard_state = HardState(term, vote)
    if hard_state != replica.hard_state:
        replica.hard_state = hard_state
        replica.dirty = True


def add_entries(replica: Replica, entries: tuple[Entry, ...]) -> None:
    """Add entries to the log, in place of all from the first one's index on.

    They become durable before any message is sent.
    """
    first = entries[0].index
    kept = tuple(entry for entry in replica.unsaved if entry.index < first)
    replica.unsaved = kept + entries
    replica.log.append(entries)
    replica.dirty = True


def add_entry(
    replica: Replica,
    kind: EntryKind,
    payload: bytes = b'',
    membership: Membership | None = None,
) -> Entry:
    """Add one entry of the current term at the end of the log."""
    index = replica.log.last_index + 1
    term = replica.hard_state.term
    entry = Entry(index, term, kind, payload, membership)
    add_entries(replica, (entry,))
    return entry


def commit_up_to(replica: Replica, index: int) -> None:
    """Commit entries up to an index and have them applied."""
    if index <= replica.commit:
        return
    replica.commit = index
    entries = replica.log.slice(replica.applied + 1, index)
    replica.outbox.extend(Apply(entry) for entry in entries)
    replica.applied = index


def become_follower(
    replica: Replica, term: int, leader: str, now: float
) -> None:
    """Become a follower and discard all state of a candidate or leader.

    :param term: new term; not below the current one
    :param leader: identity of the leader of that term; empty when not known
    """
    if term > replica.hard_state.term:
        set_hard_state(replica, term, '')
    if replica.role is not Role.FOLLOWER:
        reset_election_timeout(replica, now)
    replica.role = Role.FOLLOWER
    replica.leader = leader
    replica.granted_votes.clear()
    replica.progress.clear()
    replica.round_start_times.clear()
    replica.pending_reads.clear()
    replica.join_requests.clear()
    replica.departures.clear()
    replica.recovering = False


def collect_actions(replica: Replica) -> tuple[Action, ...]:
    """Return all actions since the last call, and clear them.

    When anything must be made durable, a :class:`Persist` comes first.
    """
    actions = tuple(replica.outbox)
    replica.outbox.clear()
    if not replica.dirty:
        return actions
    entries = replica.unsaved
    snapshot = None
    if replica.rewrite:
        entries = tuple(replica.log.entries)
        snapshot = replica.log.snapshot
    persist = Persist(
        replica.cluster,
        replica.hard_state,
        entries,
        snapshot,
        replica.commit,
    )
    replica.unsaved = ()
    replica.dirty = False
    replica.rewrite = False
    return (persist, *actions)

"""Log entries, memberships and the durable state of a replica."""

from __future__ import annotations

import enum

import attrs


class EntryKind(enum.Enum):
    """Kind of a log entry."""

    #: Has no effect itself; a new leader appends one, because committing an
    #: entry of its own term also commits those of earlier terms.
    NOOP = 'noop'
    #: Changes the state machine.
    COMMAND = 'command'
    #: Changes the membership of the cluster.
    MEMBERSHIP = 'membership'


@attrs.frozen
class Membership:
    """Members of the cluster, by identity.

    :param voters: replicas that count towards a quorum
    :param learners: replicas that receive the log but do not vote yet
    :param retired: identities that are never admitted again, oldest first
    :param observers: replicas without a disk, which receive the log and
        never vote
    :param former_voters: voters before the change of voters in progress, of
        which a quorum is needed too; empty when no such change is in progress
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    retired: tuple[str, ...] = ()
    observers: tuple[str, ...] = ()
    former_voters: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """Identities of all members, voters first."""
        return self.all_voters + self.learners + self.observers

    @property
    def all_voters(self) -> tuple[str, ...]:
        """Voters, and those that a change in progress removes."""
        return tuple(dict.fromkeys(self.voters + self.former_voters))

    @property
    def voter_sets(self) -> tuple[tuple[str, ...], ...]:
        """Sets of voters of each of which a quorum is needed."""
        if self.former_voters:
            return (self.voters, self.former_voters)
        return (self.voters,)


@attrs.frozen
class Entry:
    """One entry of the log.

    :param index: position in the log, from 1
    :param term: term of the leader that appended it
    :param kind: kind of the entry
    :param payload: encoded command; empty unless the kind is
        :attr:`EntryKind.COMMAND`
    :param membership: new membership; ``None`` unless the kind is
        :attr:`EntryKind.MEMBERSHIP`
    """

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b''
    membership: Membership | None = None


@attrs.frozen
class HardState:
    """Term and vote, which must be durable before a replica responds.

    :param term: newest term that the replica has seen
    :param vote: identity that it voted for in this term; empty when none
    """

    term: int = 0
    vote: str = ''


@attrs.frozen
class Snapshot:
    """State that replaces all log entries up to an index.

    :param index: index of the last entry that the snapshot includes
    :param term: term of that entry
    :param membership: membership as of that entry
    :param state: encoded state machine; empty before the first entry
    """

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    state: bytes = b''


@attrs.frozen
class SavedState:
    """Durable state of a replica.

    :param identity: identity of the replica, created with its data folder
    :param cluster: identity of the replica that bootstrapped the cluster;
        empty before it is known
    :param hard_state: newest term and vote
    :param snapshot: newest snapshot
    :param entries: log entries after the snapshot
    :param commit: index up to which entries were known to be committed
    """

    identity: str
    cluster: str = ''
    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()
    commit: int = 0


def make_identity(instance: str, folder_id: str) -> str:
    """Return the identity of a replica.

    An instance whose data folder is lost gets a new identity, so that it
    can't vote twice in a term.

    :param instance: name of the instance
    :param folder_id: random text, generated once for each data folder
    """
    return f'{instance}/{folder_id}'


def compute_quorum(voters: tuple[str, ...]) -> int:
    """Return the number of voters that form a majority."""
    return len(voters) // 2 + 1


def parse_instance_name(identity: str) -> str:
    """Return the instance name within an identity."""
    return identity.rpartition('/')[0]

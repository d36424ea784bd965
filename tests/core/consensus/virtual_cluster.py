"""A cluster of replicas on a virtual network, virtual disks and a clock."""

from __future__ import annotations

from itertools import count

import attrs
import msgspec
from pistachiohook_core.consensus.departure import is_departing
from pistachiohook_core.consensus.entries import EntryKind
from pistachiohook_core.consensus.entries import make_identity
from pistachiohook_core.consensus.entries import SavedState
from pistachiohook_core.consensus.events import Appended
from pistachiohook_core.consensus.events import Apply
from pistachiohook_core.consensus.events import Compact
from pistachiohook_core.consensus.events import Leave
from pistachiohook_core.consensus.events import Persist
from pistachiohook_core.consensus.events import Propose
from pistachiohook_core.consensus.events import Read
from pistachiohook_core.consensus.events import ReadReady
from pistachiohook_core.consensus.events import Received
from pistachiohook_core.consensus.events import Refused
from pistachiohook_core.consensus.events import Restore
from pistachiohook_core.consensus.events import Retired
from pistachiohook_core.consensus.events import Send
from pistachiohook_core.consensus.events import Tick
from pistachiohook_core.consensus.messages import CONSENSUS_CODEC
from pistachiohook_core.consensus.raft import handle
from pistachiohook_core.consensus.reading import measure_freshness
from pistachiohook_core.consensus.replica import create_replica
from pistachiohook_core.consensus.replica import DynamicMembership
from pistachiohook_core.consensus.replica import Replica
from pistachiohook_core.consensus.replica import Role
from pistachiohook_core.consensus.replica import Timing
from pistachiohook_core.storage.journal import Journal
from pistachiohook_core.storage.journal import load_journal
from pistachiohook_core.storage.journal import save
from returns.result import Failure as Failed
from virtual_disk import Killed
from virtual_disk import VirtualDisk

TIMING = Timing()

#: Time between two ticks, in seconds.
STEP = 0.05

#: Longest time for which a process that is stopped waits for its departure,
#: in seconds.
LEAVE_TIMEOUT = 4.0


@attrs.define(eq=False)
class Process:
    """One run of a control instance.

    :param replica: state of the replica
    :param journal: its open journal
    :param commands: state machine: all applied commands, in order
    :param applied: index of the last applied entry
    :param proposals: number of each proposal, by index and term of its entry
    """

    replica: Replica
    journal: Journal
    commands: list[bytes] = attrs.field(factory=list)
    applied: int = 0
    proposals: dict[tuple[int, int], int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Instance:
    """A control instance, its disk and its clock.

    :param clock_offset: what its clock is ahead of the cluster's, in seconds
    :param identity_count: number of identities that it has had
    :param start_count: number of its processes so far
    :param process: its running process; ``None`` when it is down
    :param failure: why its journal failed; empty when it didn't
    :param identity: its newest identity; empty before its first start
    :param may_bootstrap: whether it may create a new cluster, if the cluster
        allows it
    """

    name: str
    disk: VirtualDisk
    clock_offset: float = 0.0
    identity_count: int = 0
    start_count: int = 0
    process: Process | None = None
    failure: str = ''
    identity: str = ''
    may_bootstrap: bool = True


@attrs.define(eq=False)
class Cluster:
    """Instances with a virtual network, and checks of their invariants.

    :param names: names of all instances
    :param seed: seed of the election timeouts
    :param seeds: names that the settings hold; empty for all
    :param tolerance: voters whose disks may be lost; ``None`` when exactly
        the configured instances vote
    :param may_bootstrap: whether the instances may create a new cluster
    :param diskless: names of the instances without a disk, as one string
    :param now: virtual time, in seconds
    :param in_flight: sender, receiver and data of each undelivered message
    :param cut_links: pairs of sender and receiver that lose all messages
    :param leaders: identity of the leader of each term
    :param committed: committed entry at each index
    :param accepted: index and time at which each proposal was accepted
    :param refused: reason for which each proposal or read was refused
    :param reads: instance of each read, and the index that it must reach
    :param read_done: index at which each read was answered
    :param retired: identities that were told that they are retired
    """

    names: tuple[str, ...]
    seed: int = 0
    seeds: tuple[str, ...] = ()
    tolerance: int | None = None
    may_bootstrap: bool = True
    diskless: str = ''
    now: float = 100.0
    instances: dict[str, Instance] = attrs.field(factory=dict)
    in_flight: list[tuple[str, str, bytes]] = attrs.field(factory=list)
    cut_links: set[tuple[str, str]] = attrs.field(factory=set)
    leaders: dict[int, str] = attrs.field(factory=dict)
    committed: dict[int, object] = attrs.field(factory=dict)
    accepted: dict[int, tuple[int, float]] = attrs.field(factory=dict)
    refused: dict[int, object] = attrs.field(factory=dict)
    reads: dict[int, tuple[str, int]] = attrs.field(factory=dict)
    read_done: dict[int, int] = attrs.field(factory=dict)
    retired: set[str] = attrs.field(factory=set)
    numbers: count[int] = attrs.field(factory=lambda: count(1))

    def __attrs_post_init__(self) -> None:
        for name in self.names:
            self.instances[name] = Instance(name, VirtualDisk())

    # Processes

    def start(self, name: str) -> None:
        """Start the process of an instance from its disk."""
        instance = self.instances[name]
        instance.failure = ''
        journal = Journal(instance.disk.open())
        try:
            saved = self._load(instance, journal)
        except Killed:
            return
        if saved is None:
            return
        instance.identity = saved.identity
        instance.start_count += 1
        seed = hash((self.seed, instance.start_count, self.names.index(name)))
        dynamic_membership = None
        if self.tolerance is not None:
            dynamic_membership = DynamicMembership(
                self.tolerance,
                self.may_bootstrap and instance.may_bootstrap,
                name not in self.diskless,
            )
        replica = create_replica(
            saved,
            self.seeds or self.names,
            TIMING,
            seed,
            self.clock(name),
            dynamic_membership,
        )
        instance.process = Process(replica, journal)
        self._restore(instance.process, saved.snapshot)

    def _load(self, instance: Instance, journal: Journal) -> SavedState | None:
        loaded = load_journal(journal)
        if isinstance(loaded, Failed):
            instance.failure = str(loaded.failure())
            return None
        saved = loaded.unwrap()
        if saved is not None:
            return saved
        instance.identity_count += 1
        saved = SavedState(
            make_identity(instance.name, str(instance.identity_count))
        )
        written = journal.replace(saved)
        if isinstance(written, Failed):
            instance.failure = str(written.failure())
            return None
        return saved

    def kill(self, name, names_kept=False, kept=0, empty_sectors=False):
        """Kill a process and crash its disk.

        The arguments are those of :meth:`VirtualDisk.crash`.
        """
        instance = self.instances[name]
        instance.process = None
        instance.disk.crash(names_kept, kept, empty_sectors)

    def stop(self, name: str) -> bool:
        """Stop a process as planned.

        :returns: whether its vote did not count any more before its end
        """
        self.feed(name, Leave())
        replica = self.instances[name].process.replica
        end = self.now + LEAVE_TIMEOUT
        while self.now < end and is_departing(replica):
            self.run(STEP)
        self.kill(name)
        return replica.departed

    def lose_disk(self, name: str) -> None:
        self.instances[name].process = None
        self.instances[name].identity = ''
        self.instances[name].disk = VirtualDisk()

    def clock(self, name: str) -> float:
        return self.now + self.instances[name].clock_offset

    # Events

    def feed(self, name: str, event: object) -> None:
        """Pass an event to a replica and carry out its actions."""
        instance = self.instances[name]
        process = instance.process
        if process is None:
            return
        try:
            for action in handle(process.replica, event, self.clock(name)):
                if instance.process is None:
                    return
                self._carry_out(instance, process, action)
        except Killed:
            self.kill(name, kept=77)
        self._record_leader(process)

    def propose(self, name: str, command: bytes = b'') -> int:
        number = next(self.numbers)
        command = command or b'%d' % number
        self.feed(name, Propose((number,), (command,)))
        return number

    def read(self, name: str) -> int:
        number = next(self.numbers)
        min_index = max(
            (index for index, _ in self.accepted.values()), default=0
        )
        self.reads[number] = (name, min_index)
        self.feed(name, Read(number))
        return number

    def compact(self, name: str) -> None:
        process = self.instances[name].process
        if process is not None:
            state = msgspec.msgpack.encode(process.commands)
            self.feed(name, Compact(process.applied, state))

    def deliver(self, position: int = 0, again: bool = False) -> None:
        """Deliver one message of those in flight, unless its link is cut.

        :param again: whether the message stays in flight as a duplicate
        """
        source, target, data = self.in_flight[position]
        if not again:
            del self.in_flight[position]
        if (source, target) in self.cut_links:
            return
        message = CONSENSUS_CODEC.decode(data, source).unwrap()
        self.feed(target, Received(message))

    def tick(self, seconds: float = STEP) -> None:
        self.now += seconds
        for name in self.names:
            self.feed(name, Tick())

    def run(self, seconds: float) -> None:
        """Let time pass while the network delivers all messages in order."""
        until = self.now + seconds
        while self.now < until:
            self.tick()
            for _ in range(len(self.in_flight) * 3):
                if self.in_flight:
                    self.deliver()

    def split(self, *names: str) -> None:
        """Cut the links, both ways, between some instances and all others."""
        for other in set(self.names) - set(names):
            self.cut_links |= {(name, other) for name in names}
            self.cut_links |= {(other, name) for name in names}

    def heal(self) -> None:
        self.cut_links.clear()

    # Observations

    def find_leader(self, among: tuple[str, ...] = ()) -> str:
        """Return the leader with the highest term."""
        leaders = [
            (process.replica.hard_state.term, name)
            for name in among or self.names
            if (process := self.instances[name].process) is not None
            and process.replica.role is Role.LEADER
        ]
        return max(leaders, default=(0, ''))[1]

    def freshness(self, name: str) -> float:
        process = self.instances[name].process
        if process is None:
            return float('inf')
        return measure_freshness(process.replica, self.clock(name))

    def commands(self, name: str) -> list[bytes]:
        process = self.instances[name].process
        return [] if process is None else process.commands

    def voters(self) -> set[str]:
        """Return the voters after the newest change that is complete."""
        memberships = [
            entry.membership
            for _, entry in sorted(self.committed.items())
            if entry.membership is not None
            and not entry.membership.former_voters
        ]
        return set(memberships[-1].voters) if memberships else set()

    # Actions

    def _carry_out(
        self, instance: Instance, process: Process, action: object
    ) -> None:
        match action:
            case Persist():
                result = save(process.journal, instance.identity, action)
                if isinstance(result, Failed):
                    instance.failure = str(result.failure())
                    instance.process = None
            case Send(target, message):
                data = CONSENSUS_CODEC.encode(message)
                self.in_flight.append((instance.name, target, data))
            case Restore(snapshot):
                self._restore(process, snapshot)
            case Apply(entry):
                self._apply(process, entry)
            case _:
                self._record_outcome(instance, process, action)

    def _record_outcome(
        self, instance: Instance, process: Process, action: object
    ) -> None:
        match action:
            case Appended(request, index, term):
                process.proposals[index, term] = request
            case ReadReady(request, index):
                min_index = self.reads[request][1]
                assert index >= min_index, 'a read misses what was accepted'
                assert process.applied >= index
                self.read_done[request] = index
            case Refused(request, refusal):
                self.refused[request] = refusal
            case Retired():
                self.retired.add(instance.identity)

    def _restore(self, process: Process, snapshot: object) -> None:
        assert snapshot.index >= process.applied, 'applied went down'
        state = snapshot.state or msgspec.msgpack.encode([])
        process.commands = msgspec.msgpack.decode(state, type=list[bytes])
        process.applied = snapshot.index
        history = [
            entry.payload
            for index, entry in sorted(self.committed.items())
            if index <= snapshot.index and entry.kind is EntryKind.COMMAND
        ]
        assert process.commands == history, 'a snapshot lost a command'

    def _apply(self, process: Process, entry: object) -> None:
        assert entry.index == process.applied + 1, 'applied out of order'
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, f'committed entry changed: {known} {entry}'
        process.applied = entry.index
        if entry.kind is EntryKind.COMMAND:
            again = entry.payload in process.commands
            assert not (again and entry.payload.isdigit()), 'applied twice'
            process.commands.append(entry.payload)
        request = process.proposals.pop((entry.index, entry.term), None)
        if request is not None:
            self.accepted[request] = (entry.index, self.now)

    def _record_leader(self, process: Process) -> None:
        replica = process.replica
        if replica.role is Role.LEADER:
            term = replica.hard_state.term
            known = self.leaders.setdefault(term, replica.identity)
            assert known == replica.identity, f'two leaders in term {term}'

    def check(self) -> None:
        """Check each instance's reported age of its state.

        Everything that was accepted before then must be applied there.
        """
        for name in self.names:
            process = self.instances[name].process
            if process is None:
                continue
            confirmed_at = self.now - self.freshness(name)
            missing = [
                request
                for request, (index, at) in self.accepted.items()
                if at < confirmed_at - 1e-6 and index > process.applied
            ]
            assert not missing, f'{name} reports too low an age: {missing}'


def start_cluster(size: int, seed: int = 0) -> Cluster:
    """Return a cluster whose instances all vote."""
    cluster = Cluster(tuple('abcde'[:size]), seed)
    for number, name in enumerate(cluster.names):
        cluster.instances[name].clock_offset = number * 1000.0
        cluster.start(name)
    for _ in range(200):
        cluster.run(0.1)
        if len(cluster.voters()) == size or (size == 1 and cluster.committed):
            return cluster
    raise AssertionError('the instances did not join')

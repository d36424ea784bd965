"""State machine test with random faults and requests."""

from __future__ import annotations

from random import Random

from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as st
from pistachiohook_core.consensus.events import Tick
from virtual_cluster import Cluster
from virtual_cluster import start_cluster

NAMES = st.sampled_from('abcde')
POSITIONS = st.integers(0, 10_000)

#: Settings under which each run draws the same examples.
FIXED = settings(
    derandomize=True,
    database=None,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
    max_examples=60,
    stateful_step_count=60,
    print_blob=False,
)


class ConsensusMachine(RuleBasedStateMachine):
    """Rules that each inject a fault, send requests or let time pass.

    The cluster itself checks each applied entry, leader and read. The names
    and parameters of the rules determine the random draws.
    """

    cluster: Cluster

    @initialize(
        size=st.sampled_from((3, 5)),
        seed=st.integers(0, 1000),
    )
    def start(self, size, seed):
        self.cluster = start_cluster(size, seed)

    def pick(self, name):
        names = self.cluster.names
        return names[ord(name) % len(names)]

    @rule(position=POSITIONS)
    def deliver_any(self, position):
        if self.cluster.in_flight:
            self.cluster.deliver(position % len(self.cluster.in_flight))

    @rule(position=POSITIONS)
    def deliver_twice(self, position):
        if self.cluster.in_flight:
            place = position % len(self.cluster.in_flight)
            self.cluster.deliver(place, again=True)

    @rule(position=POSITIONS, several=st.integers(1, 20))
    def lose_messages(self, position, several):
        start = position % (len(self.cluster.in_flight) + 1)
        del self.cluster.in_flight[start : start + several]

    @rule(hundredths=st.integers(1, 300))
    def let_time_pass(self, hundredths):
        self.cluster.tick(hundredths / 100)

    @rule(tenths=st.integers(1, 40))
    def run_well(self, tenths):
        self.cluster.run(tenths / 10)

    @rule(name=NAMES, several=st.integers(1, 5))
    def propose(self, name, several):
        for _ in range(several):
            self.cluster.propose(self.pick(name))

    @rule(several=st.integers(1, 5))
    def propose_to_leaders(self, several):
        for name in self.cluster.names:
            for _ in range(several):
                self.cluster.propose(name)

    @rule(name=NAMES)
    def lose_patience(self, name):
        """Expire the election timeout of an instance."""
        process = self.cluster.instances[self.pick(name)].process
        if process is not None:
            process.replica.election_at = float('-inf')
            process.replica.leader_contact_at = float('-inf')
            self.cluster.feed(self.pick(name), Tick())

    @rule(position=POSITIONS, several=st.integers(1, 30))
    def deliver_some(self, position, several):
        random = Random(position)
        for _ in range(min(several, len(self.cluster.in_flight))):
            place = random.randrange(len(self.cluster.in_flight))
            self.cluster.deliver(place)

    @rule(name=NAMES)
    def restart(self, name):
        self.kill(name, False, 0, False)
        self.start_process(name)

    @rule(name=NAMES)
    def read(self, name):
        self.cluster.read(self.pick(name))

    @rule(names=st.sets(NAMES, min_size=1, max_size=2))
    def cut_off(self, names):
        self.cluster.split(*{self.pick(name) for name in names})

    @rule(source=NAMES, sink=NAMES)
    def cut_one_way(self, source, sink):
        self.cluster.cut_links.add((self.pick(source), self.pick(sink)))

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(name=NAMES)
    def take_snapshot(self, name):
        self.cluster.compact(self.pick(name))

    @rule(name=NAMES, step=st.integers(1, 8))
    def kill_at_step(self, name, step):
        disk = self.cluster.instances[self.pick(name)].disk
        disk.kill_at = disk.steps + step

    @rule(
        name=NAMES,
        names_kept=st.booleans(),
        kept=st.integers(0, 400),
        empty_sectors=st.booleans(),
    )
    def kill(self, name, names_kept, kept, empty_sectors):
        self.cluster.kill(self.pick(name), names_kept, kept, empty_sectors)

    @rule(name=NAMES, step=st.sampled_from(('append', 'sync')))
    def fail_disk(self, name, step):
        self.cluster.instances[self.pick(name)].disk.fail = step

    @rule(name=NAMES)
    def start_process(self, name):
        name = self.pick(name)
        instance = self.cluster.instances[name]
        if instance.process is None:
            self.cluster.kill(name)
            self.cluster.start(name)
            assert not instance.failure, instance.failure

    def is_whole(self):
        """Tell whether every instance votes under its current identity."""
        identities = {
            instance.identity for instance in self.cluster.instances.values()
        }
        return self.cluster.voters() == identities

    @precondition(is_whole)
    @rule(name=NAMES)
    def lose_disk(self, name):
        self.cluster.lose_disk(self.pick(name))

    @invariant()
    def is_truthful(self):
        self.cluster.check()

    def teardown(self):
        """End all faults; then every instance must hold each accepted change.

        A leader must also accept a new one, and every instance must vote.
        """
        if not hasattr(self, 'cluster'):
            return
        cluster = self.cluster
        cluster.heal()
        for name in cluster.names:
            instance = cluster.instances[name]
            if instance.disk.fail or instance.process is None:
                cluster.kill(name)
                cluster.start(name)
            instance.disk.kill_at = 0
        cluster.run(15.0)
        number = cluster.propose(cluster.find_leader() or cluster.names[0])
        cluster.run(1.0)
        assert number in cluster.accepted, 'no leader after the repair'
        cluster.check()
        for name in cluster.names:
            held = {int(command) for command in cluster.commands(name)}
            assert held.issuperset(cluster.accepted), 'accepted, then lost'
        assert self.is_whole(), 'an instance does not vote after the repair'

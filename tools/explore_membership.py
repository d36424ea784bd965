"""Run random schedules of losses and replacements of control instances.

Each schedule plays on a virtual network, virtual disks and a virtual clock. It
does only what the rule in docs/design/control.md allows, and checks that the
instances keep it.
"""

from __future__ import annotations

from collections.abc import Callable
import importlib
from pathlib import Path
from random import Random
from string import ascii_letters
import sys
import time
from typing import Any

import attrs
import cyclopts
from pistachiohook_core.consensus.entries import compute_quorum
from pistachiohook_core.consensus.entries import parse_instance_name

#: Folders of the virtual cluster and of its disks.
TEST_FOLDERS = (Path('tests/core/consensus'), Path('tests/core/storage'))

#: Time within which all instances of a deployment start, in seconds.
START_SPREAD = 0.3

#: Time for which processes and network are disturbed at a first start, in
#: seconds.
START_FAULTS = 3.0

#: Most processes that are killed during a first start.
START_KILLS_MAX = 2

#: Most instances without a disk at a first start.
DISKLESS_MAX = 4

#: Time after which an instance that is back, or new, is no longer lost, in
#: seconds.
CATCH_UP = 4.0

#: Time after which all instances vote that should, and no others, in seconds.
SETTLING = 8.0

#: Names of all instances that there may be in one schedule.
NAMES = ascii_letters[:40]

#: Time within which a change is accepted while no instance is lost, in
#: seconds.
ACCEPTANCE = 8.0

#: Time within which the first change is accepted, in seconds.
FIRST_ACCEPTANCE = 12.0

#: Interval at which losses end, in seconds.
STEP = 0.05

#: Most instances with a disk at the same time.
DISKS_MAX = 8


@attrs.define
class Schedule:
    """A cluster, and what its instances count for by the documented rule.

    :param random: source of all random choices
    :param cluster: the cluster
    :param disks: instances with a disk that are in service, and when each of
        them counts
    :param diskless: running instances without a disk
    :param successors: new instances that have replaced none yet
    :param lost_until: time until which an instance counts as lost
    :param returns: what ends a loss, by its time
    :param steps: what was done, for messages
    """

    random: Random
    cluster: Any
    disks: dict[str, float] = attrs.field(factory=dict)
    diskless: list[str] = attrs.field(factory=list)
    successors: list[str] = attrs.field(factory=list)
    lost_until: dict[str, float] = attrs.field(factory=dict)
    returns: list[tuple[float, str]] = attrs.field(factory=list)
    steps: list[str] = attrs.field(factory=list)

    def note(self, text: str) -> None:
        """Record what is done, for the message of a failure."""
        self.steps.append(f'{self.cluster.now - 100:.2f} {text}')

    def run(self, seconds: float) -> None:
        """Let time pass; losses end in time, and changes are proposed."""
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.run(STEP)
            for entry in [
                one for one in self.returns if one[0] <= self.cluster.now
            ]:
                self.returns.remove(entry)
                self.end_loss(entry[1])
            if self.random.random() < 0.1:
                leader = self.cluster.find_leader()
                if leader:
                    self.cluster.propose(leader)

    def list_lost(self) -> list[str]:
        """Return the instances that count as lost."""
        return [
            name
            for name, until in self.lost_until.items()
            if name in self.disks and until > self.cluster.now
        ]

    def list_calm(self) -> list[str]:
        """Return the instances with a disk that are not lost."""
        lost = self.list_lost()
        return [
            name
            for name, since in self.disks.items()
            if name not in lost and since <= self.cluster.now
        ]

    def is_recoverable(self, gone: str = '', wiped: str = '') -> bool:
        """Tell whether the voters can go on after a further loss for good.

        :param gone: instance that would be removed without notice
        :param wiped: instance whose disk would be lost
        """
        instances = self.cluster.instances
        present = {
            name: instances[name].identity
            for name in self.disks
            if name != gone
        }
        surviving = {
            identity for name, identity in present.items() if name != wiped
        }
        return all(
            _has_quorum(voters, set(voters) & surviving, set(present))
            for voters in self.list_voter_sets()
        )

    def list_voter_sets(self) -> list[tuple[str, ...]]:
        """Return the voters, and those of all changes in progress."""
        memberships = [
            instance.process.replica.membership
            for instance in self.cluster.instances.values()
            if instance.process is not None
        ]
        return [
            voters
            for membership in memberships
            for voters in membership.voter_sets
            if voters
        ]

    def is_settled(self) -> bool:
        """Tell whether all vote, and more than the tolerance needs."""
        identities = {
            self.cluster.instances[name].identity for name in self.disks
        }
        return (
            not self.list_lost()
            and bool(self.cluster.find_leader())
            and self.cluster.voters() == identities
            and len(identities) > 2 * self.cluster.tolerance + 1
        )

    def may_lose(self) -> bool:
        return len(self.list_lost()) < int(self.cluster.tolerance)

    def start(self, name: str) -> None:
        """Start a process; its settings name three of the others that run."""
        running = [
            other
            for other, instance in self.cluster.instances.items()
            if instance.process is not None and other != name
        ]
        if len(running) >= 3:
            self.cluster.seeds = tuple(sorted(self.random.sample(running, 3)))
        self.cluster.start(name)

    def find_spare(self) -> str:
        """Return the name of an instance that has never run."""
        return next(
            str(name)
            for name in self.cluster.names
            if not self.cluster.instances[name].identity_count
        )

    def add(self) -> None:
        if len(self.disks) >= DISKS_MAX:
            return
        name = self.find_spare()
        self.note(f'add {name}')
        self.start(name)
        self.disks[name] = self.cluster.now + CATCH_UP
        self.successors.append(name)

    def add_diskless(self) -> None:
        name = self.find_spare()
        self.note(f'add {name} without a disk')
        self.cluster.diskless += name
        self.start(name)
        self.diskless.append(name)

    def restart_diskless(self) -> None:
        if self.diskless:
            name = self.random.choice(self.diskless)
            self.note(f'restart {name}, which has no disk')
            self.cluster.lose_disk(name)
            self.start(name)

    def remove(self, notice: bool) -> None:
        """Remove an instance for which a new one has run long enough."""
        ready = [name for name in self.successors if name in self.list_calm()]
        calm = [name for name in self.list_calm() if name not in ready[:1]]
        if not ready or not calm:
            return
        name = self.random.choice(calm)
        if not notice and not self.is_recoverable(gone=name):
            return
        self.note(f'remove {name}' + (' with notice' if notice else ''))
        settled = self.is_settled()
        departed = notice and self.cluster.stop(name)
        if notice and not departed:
            assert not settled, f'{name} has not departed: {self.steps}'
            if not self.is_recoverable(gone=name):
                self.note('give up, since it has not departed')
                self.start(name)
                return
        self.successors.remove(ready[0])
        self.cluster.lose_disk(name)
        del self.disks[name]
        if name in self.successors:
            self.successors.remove(name)

    def lose(self, kind: str) -> None:
        """Kill, wipe or cut off an instance; it is back after some time."""
        calm = self.list_calm()
        if not calm or not self.may_lose():
            return
        name = self.random.choice(calm)
        if kind == 'wipe' and not self.is_recoverable(wiped=name):
            return
        seconds = self.random.uniform(0.3, 6.0)
        self.note(f'{kind} {name} for {seconds:.2f} s')
        if kind == 'kill':
            self.cluster.kill(name)
        elif kind == 'wipe':
            self.cluster.lose_disk(name)
        else:
            self.cluster.split(name)
        back = self.cluster.now + seconds
        self.lost_until[name] = back + CATCH_UP
        self.returns.append((back, name))

    def replace_several(self) -> None:
        """Add instances, remove as many later, and lose one more."""
        number = self.random.randint(1, 2)
        for _ in range(number):
            self.add()
        self.run(CATCH_UP + 1.0)
        for _ in range(number):
            self.remove(notice=self.random.random() < 0.6)
            self.run(self.random.choice((0.0, 0.5, 1.0)))
        self.lose(self.random.choice(('kill', 'cut', 'wipe', 'wipe')))

    def end_loss(self, name: str) -> None:
        self.cluster.cut_links = {
            link for link in self.cluster.cut_links if name not in link
        }
        if self.cluster.instances[name].process is None:
            self.start(name)

    def stop_in_turn(self) -> None:
        """Stop and start all instances, one after the other, as planned."""
        if self.list_lost() or not self.cluster.tolerance:
            return
        self.note('stop all in turn')
        for name in self.list_calm():
            self.cluster.stop(name)
            seconds = self.random.uniform(0.3, 2.0)
            self.lost_until[name] = self.cluster.now + seconds + CATCH_UP
            self.run(seconds)
            self.start(name)
            self.run(CATCH_UP)

    def kill_all(self) -> None:
        self.note('kill all')
        running = [
            name
            for name in (*self.disks, *self.diskless)
            if self.cluster.instances[name].process is not None
        ]
        self.cluster.in_flight.clear()
        for name in running:
            if name in self.diskless:
                self.cluster.lose_disk(name)
            else:
                self.cluster.kill(name)
        self.random.shuffle(running)
        for name in running:
            self.cluster.run(self.random.uniform(0, 0.8 / len(running)))
            self.start(name)

    def play(self, steps: int) -> None:
        """Do something allowed, several times, and check in between."""
        actions: list[Callable[[], None]] = [
            self.add,
            self.replace_several,
            self.replace_several,
            self.replace_several,
            lambda: self.remove(notice=True),
            lambda: self.remove(notice=False),
            lambda: self.lose('kill'),
            lambda: self.lose('cut'),
            lambda: self.lose('wipe'),
            self.stop_in_turn,
            self.kill_all,
            self.add_diskless,
            self.restart_diskless,
        ]
        for _ in range(steps):
            self.random.choice(actions)()
            self.run(self.random.choice((0.0, 0.2, 1.0, 2.5, 5.0)))
            if not self.list_lost() and self.random.random() < 0.3:
                self.check_acceptance()
        while self.returns or self.list_lost():
            self.run(0.5)
        self.check_acceptance()
        self.check_end()

    def check_acceptance(self) -> None:
        self.note('check')
        accept_change(self.cluster, ACCEPTANCE, f'after {self.steps}')

    def check_end(self) -> None:
        """Check who votes, and that nothing accepted is missing anywhere."""
        cluster = self.cluster
        cluster.run(SETTLING)
        cluster.check()
        identities = {cluster.instances[name].identity for name in self.disks}
        assert cluster.voters() == identities, (cluster.voters(), self.steps)
        for name in (*self.disks, *self.diskless):
            held = {int(command) for command in cluster.commands(name)}
            missing = set(cluster.accepted) - held
            assert not missing, (name, missing, self.steps)


def _has_quorum(
    voters: tuple[str, ...], surviving: set[str], present: set[str]
) -> bool:
    """Tell whether the survivors of some voters can elect a leader.

    :param voters: identities that vote
    :param surviving: those whose disks are not lost
    :param present: names of all instances in service
    """
    lost = [
        voter
        for voter in voters
        if voter not in surviving and parse_instance_name(voter) in present
    ]
    quorum = compute_quorum(voters)
    needed = max(len(voters) - quorum + 1, (len(voters) - len(lost)) // 2 + 1)
    return len(surviving) >= needed


def create_cluster(random: Random, seed: int) -> tuple[Any, int]:
    """Return a cluster that has not started, and the number of instances.

    Some of them have no disk, also of those that the settings name.
    """
    sys.path[:0] = [
        str(folder) for folder in TEST_FOLDERS if str(folder) not in sys.path
    ]
    virtual_cluster = importlib.import_module('virtual_cluster')
    tolerance = random.choice((1, 1, 2))
    disks = random.randint(2 * tolerance + 1, 2 * tolerance + 3)
    size = disks + random.choice((0, 0, *range(1, DISKLESS_MAX + 1)))
    names = NAMES[:size]
    cluster = virtual_cluster.Cluster(
        tuple(NAMES),
        seed,
        seeds=tuple(names[:3]),
        tolerance=tolerance,
        diskless=''.join(random.sample(names, size - disks)),
    )
    return cluster, size


def play_first_start(seed: int) -> None:
    """Start all instances while some are killed, and messages are disturbed.

    :raises AssertionError: when they do not form exactly one cluster, or it
        accepts no change
    """
    random = Random(seed)
    cluster, size = create_cluster(random, seed)
    names = NAMES[:size]
    starts = draw_starts(cluster, names, random)
    kills = sorted(
        cluster.now + random.uniform(0, START_FAULTS)
        for _ in range(random.randint(0, START_KILLS_MAX))
    )
    end = cluster.now + START_FAULTS * random.randint(0, 1)
    while cluster.now < end or starts:
        start_due(cluster, starts)
        cluster.tick()
        deliver_some(cluster, random)
        if kills and kills[0] <= cluster.now:
            del kills[0]
            name = random.choice(names)
            kill(cluster, name)
            starts[name] = cluster.now + random.uniform(0.3, 1.0)
    check_first_start(cluster, names)


def draw_starts(cluster: Any, names: str, random: Random) -> dict[str, float]:
    """Return the time of the first start of each instance."""
    return {
        name: cluster.now + random.uniform(0, START_SPREAD) for name in names
    }


def start_due(cluster: Any, starts: dict[str, float]) -> None:
    """Start the instances whose time has come, and forget their times."""
    due = [name for name, at in starts.items() if at <= cluster.now]
    for name in due:
        del starts[name]
        cluster.start(name)


def kill(cluster: Any, name: str) -> None:
    """Kill a process; an instance without a disk has a new identity then."""
    if name in cluster.diskless:
        cluster.lose_disk(name)
    else:
        cluster.kill(name)


def deliver_some(cluster: Any, random: Random) -> None:
    """Deliver most messages in any order; lose a few."""
    for _ in range(len(cluster.in_flight) * 2):
        if not cluster.in_flight:
            return
        place = random.randrange(len(cluster.in_flight))
        if random.random() < 0.05:
            del cluster.in_flight[place]
        elif random.random() < 0.6:
            cluster.deliver(place)


def check_first_start(cluster: Any, names: str) -> None:
    """Check that all instances run and belong to one working cluster."""
    accept_change(cluster, FIRST_ACCEPTANCE, 'after the first start')
    cluster.run(2.0)
    cluster.check()
    processes = [cluster.instances[name].process for name in names]
    assert all(processes), 'an instance has ended'
    found = {process.replica.cluster for process in processes}
    assert len(found) == 1, f'several clusters: {found}'


def accept_change(cluster: Any, seconds: float, when: str) -> None:
    """Propose changes until one is accepted.

    :raises AssertionError: when none is accepted in time
    """
    end = cluster.now + seconds
    while cluster.now < end:
        leader = cluster.find_leader()
        if leader:
            number = cluster.propose(leader)
            cluster.run(0.5)
            if number in cluster.accepted:
                return
        else:
            cluster.run(0.2)
    raise AssertionError(f'no change is accepted {when}')


def play_schedule(seed: int, steps: int = 10) -> None:
    """Play the schedule of a seed, and check it.

    :param seed: seed of all random choices
    :param steps: number of times that something is done
    :raises AssertionError: when a change is lost or none is accepted
    """
    random = Random(seed)
    cluster, size = create_cluster(random, seed)
    names = NAMES[:size]
    starts = draw_starts(cluster, names, random)
    while starts:
        start_due(cluster, starts)
        cluster.run(STEP)
    schedule = Schedule(random, cluster)
    schedule.disks = {
        name: cluster.now for name in names if name not in cluster.diskless
    }
    schedule.diskless = list(cluster.diskless)
    check_first_start(cluster, names)
    cluster.may_bootstrap = False
    schedule.play(steps)


def parse_seeds(seeds: str) -> range:
    """Return the seeds of ``7`` or ``0-499``."""
    first, _, last = seeds.partition('-')
    return range(int(first), int(last or first) + 1)


def explore(seeds: str = '0-999') -> int:
    """Play a first start and a schedule for each seed.

    :param seeds: first and last seed
    :returns: 1 when a check has failed, else 0
    """
    begin = time.monotonic()
    failed = 0
    for seed in parse_seeds(seeds):
        for play in (play_first_start, play_schedule):
            try:
                play(seed)
            except AssertionError as error:
                failed += 1
                print(f'seed {seed}, {play.__name__}: {error}', flush=True)
                print(f'replay: make explore-membership SEEDS={seed}-{seed}')
    elapsed = time.monotonic() - begin
    number = 2 * len(parse_seeds(seeds))
    print(f'{number - failed} of {number} passed in {elapsed:.1f} s')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(cyclopts.run(explore))

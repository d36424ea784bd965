"""Random schedules of faults for the flow explorer, and their shrinking."""

from __future__ import annotations

from random import Random

import attrs

#: Time in which the faults of a schedule begin, in seconds.
FAULTS_S = 24.0

#: Kinds of faults, and what they affect.
KINDS = {
    'kill agent': 'agents',
    'stop agent': 'agents',
    'kill balancer': 'balancers',
    'stop balancer': 'balancers',
    'restart target': 'agents',
    'drain target': 'agents',
    'slow target': 'agents',
    'restart caller': 'callers',
    'pause agent': 'agents',
    'disorder reports': 'agents',
    'reroute packets': 'callers',
    'change service': 'routes',
}

#: Probability that a fault repeats the kind of the one before on the next
#: subject, as rolling restarts do.
REPEAT_SHARE = 0.6


@attrs.frozen
class Fault:
    """One fault of a schedule.

    :param at: when it begins, in seconds
    :param kind: one of :data:`KINDS`
    :param subject: number of the process that it affects
    :param length: how long it lasts, in seconds
    """

    at: float
    kind: str
    subject: int
    length: float

    def __str__(self):
        kind = f'{self.kind} {self.subject}'
        return f'{self.at:6.2f} s  {kind:20} for {self.length:.2f} s'


@attrs.frozen
class Schedule:
    """What one run of the explorer consists of.

    :param seed: seed of the callers' behavior and of delays
    :param balancers: number of balancers, in two zones in turn
    :param agents: number of agents of service ``s``, in two zones in turn
    :param others: number of agents of service ``t``
    :param callers: number of callers, each with one four-tuple
    :param faults: faults in order of time
    """

    seed: int
    balancers: int
    agents: int
    others: int
    callers: int
    faults: tuple[Fault, ...]

    def describe(self):
        return (
            f'{self.balancers} balancers, {self.agents} + {self.others} agents'
            f' of two services, {self.callers} callers'
        )


def make_schedule(seed):
    """Return the schedule of a seed."""
    random = Random(seed)
    spread = random.choice((0.1, 0.4, 1.2))
    faults = []
    now = 1.5 + random.random()
    kind = random.choice(list(KINDS))
    subject = random.randrange(16)
    while now < FAULTS_S and len(faults) < 40:
        if random.random() < REPEAT_SHARE:
            subject += 1
        else:
            kind = random.choice(list(KINDS))
            subject = random.randrange(16)
        longest = random.choice((0.1, 0.6, 5.0))
        length = round(random.uniform(0.02, longest), 3)
        faults.append(Fault(round(now, 3), kind, subject, length))
        now += random.uniform(0, 2 * spread)
    return Schedule(
        seed,
        random.randint(2, 4),
        random.randint(4, 7),
        random.randint(1, 2),
        random.randint(4, 8),
        tuple(faults),
    )


def shrink(schedule, fails):
    """Return a schedule that still fails, from which nothing can be removed.

    Faults are removed in chunks that get smaller, then callers. The callers'
    behavior doesn't depend on the faults that are left.

    :param fails: tells whether a schedule fails
    """
    size = len(schedule.faults)
    while size:
        begin = 0
        while begin < len(schedule.faults):
            kept = schedule.faults
            kept = kept[:begin] + kept[begin + size :]
            smaller = attrs.evolve(schedule, faults=kept)
            if fails(smaller):
                schedule = smaller
            else:
                begin += size
        size //= 2
    while schedule.callers > 1:
        smaller = attrs.evolve(schedule, callers=schedule.callers - 1)
        if not fails(smaller):
            break
        schedule = smaller
    return schedule

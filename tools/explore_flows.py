"""Run random schedules of faults against flows on the virtual network."""

from __future__ import annotations

import importlib
from pathlib import Path
import sys
import time

import cyclopts

#: Folder of the explorer and of the virtual network.
TEST_FOLDER = Path('tests/core/passthrough')

#: Number of lines of a failed run that are printed.
TRACE_LINES = 30


def parse_seeds(seeds: str) -> range:
    """Return the seeds of ``7`` or ``0-499``."""
    first, _, last = seeds.partition('-')
    return range(int(first), int(last or first) + 1)


def explore(seeds: str = '0-499', *, shrinks: bool = True) -> int:
    """Run the schedule of each seed, until one violates an invariant.

    :param seeds: first and last seed
    :param shrinks: whether to search for a smaller schedule that fails
    :returns: 1 when a schedule has violated an invariant, else 0
    """
    sys.path[:0] = [str(TEST_FOLDER)]
    explorer = importlib.import_module('flow_explorer')
    begin = time.monotonic()
    for number, seed in enumerate(parse_seeds(seeds), 1):
        rule, schedule = explorer.explore_seed(seed)
        if not rule:
            continue
        elapsed = time.monotonic() - begin
        print(f'found by schedule {number} after {elapsed:.1f} s: {rule}')
        if shrinks:
            schedule = explorer.shrink_schedule(schedule)
        rule, mesh = explorer.run_schedule(schedule)
        print(f'seed {seed}: {schedule.describe()}')
        for fault in schedule.faults:
            print(f'  {fault}')
        print(f'violated: {rule}')
        for line in mesh.trace[-TRACE_LINES:]:
            print(f'  {line}')
        print(f'replay: make explore-flows SEEDS={seed}-{seed}')
        return 1
    elapsed = time.monotonic() - begin
    print(f'{len(parse_seeds(seeds))} schedules passed in {elapsed:.1f} s')
    return 0


if __name__ == '__main__':
    sys.exit(cyclopts.run(explore))

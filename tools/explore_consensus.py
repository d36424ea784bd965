"""Explore the replicated log under as many seeds as asked."""

from __future__ import annotations

import importlib
from pathlib import Path
import sys

import cyclopts
import hypothesis
from hypothesis.stateful import run_state_machine_as_test

#: Where the virtual cluster and its rules lie, below the checkout.
FOLDERS = (Path('tests/core/consensus'), Path('tests/core/storage'))


def explore(first: int = 0, seeds: int = 20) -> None:
    """Run the rules under each seed; the first failure ends it.

    :param first: first seed
    :param seeds: number of seeds
    """
    sys.path[:0] = [str(folder) for folder in FOLDERS]
    rules = importlib.import_module('consensus_machine')

    settings = hypothesis.settings(
        rules.FIXED, derandomize=False, max_examples=20
    )
    for number in range(first, first + seeds):
        machine = type('Seeded', (rules.ConsensusMachine,), {})
        hypothesis.seed(number)(machine)
        print(f'seed {number}', flush=True)
        run_state_machine_as_test(machine, settings=settings)
    print(f'{seeds} seeds of {settings.max_examples} examples passed')


if __name__ == '__main__':
    cyclopts.run(explore)

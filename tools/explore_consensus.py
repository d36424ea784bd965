"""Run the state machine test of the replicated log with many seeds."""

from __future__ import annotations

import importlib
from pathlib import Path
import sys

import cyclopts
import hypothesis
from hypothesis.stateful import run_state_machine_as_test

#: Folders of the modules that the test consists of, relative to the checkout.
TEST_FOLDERS = (Path('tests/core/consensus'), Path('tests/core/storage'))


def explore(first: int = 0, seeds: int = 20) -> None:
    """Run the state machine test with each seed, until the first failure.

    :param first: first seed
    :param seeds: number of consecutive seeds
    """
    sys.path[:0] = [str(folder) for folder in TEST_FOLDERS]
    test_module = importlib.import_module('consensus_machine')

    settings = hypothesis.settings(
        test_module.FIXED, derandomize=False, max_examples=20
    )
    for number in range(first, first + seeds):
        machine = type('Seeded', (test_module.ConsensusMachine,), {})
        hypothesis.seed(number)(machine)
        print(f'seed {number}', flush=True)
        run_state_machine_as_test(machine, settings=settings)
    print(f'{seeds} seeds of {settings.max_examples} examples passed')


if __name__ == '__main__':
    cyclopts.run(explore)

"""Run every behave root under tests and print one verdict."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import json
import os
from pathlib import Path
import subprocess
import sys
import tempfile
from typing import Any

import attrs

#: Where the behave roots lie, below the checkout.
TESTS = Path('tests')

#: Scenarios that fail for a fault that is known and not mended.
KNOWN_RED = Path('KNOWN-RED.txt')

#: Behave roots that run at once.
JOBS = 3


@attrs.frozen
class Verdict:
    """What one behave root has shown.

    :param passed: names of the scenarios that passed
    :param failed: names of the scenarios that failed
    :param output: what behave printed
    """

    passed: tuple[str, ...]
    failed: tuple[str, ...]
    output: str


def main() -> int:
    """Run all scenarios, or those of the roots on the command line.

    :returns: 0 when every failing scenario is a known one, else 1
    """
    roots = [Path(name) for name in sys.argv[1:]] or find_roots()
    with ThreadPoolExecutor(JOBS) as pool:
        verdicts = list(pool.map(run_root, roots))
    known = read_known_red()
    passed = [name for verdict in verdicts for name in verdict.passed]
    failed = [name for verdict in verdicts for name in verdict.failed]
    unexpected = [name for name in failed if name not in known]
    for verdict in verdicts:
        if any(name not in known for name in verdict.failed):
            print(verdict.output)
    for name in failed:
        print('known red:' if name in known else 'failed:', name)
    for name in sorted(known & set(passed)):
        print('known red, but passes:', name)
    for name in sorted(known - set(passed) - set(failed)):
        print('known red, not run here:', name)
    print(f'{len(passed)} passed, {len(unexpected)} failed')
    return 1 if unexpected or not passed else 0


def find_roots() -> list[Path]:
    """Return every folder below :data:`TESTS` that holds steps."""
    return sorted(steps.parent for steps in TESTS.rglob('steps'))


def run_root(root: Path) -> Verdict:
    """Run behave on one root in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        command = [
            sys.executable,
            '-m',
            'behave',
            '--no-color',
            '--no-capture',
        ]
        command += ['--format', 'progress3', '--outfile', '/dev/stdout']
        command += ['--format', 'json', '--outfile', str(report), str(root)]
        finished = subprocess.run(
            command,
            capture_output=True,
            check=False,
            text=True,
            env={**os.environ, 'NO_COLOR': '1'},
        )
        output = finished.stdout + finished.stderr
        try:
            features = json.loads(report.read_text())
        except (OSError, ValueError):
            return Verdict((), (f'{root}: behave did not run',), output)
    verdict = read_report(root, features, output)
    if finished.returncode and not verdict.failed:
        return Verdict(verdict.passed, (f'{root}: behave failed',), output)
    return verdict


def read_report(root: Path, features: list[Any], output: str) -> Verdict:
    """Sort the scenarios of behave's JSON report."""
    outcomes = [
        (f'{root}: {scenario["name"]}', scenario['status'] == 'passed')
        for feature in features
        for scenario in feature.get('elements', [])
        if scenario['type'] == 'scenario'
    ]
    return Verdict(
        tuple(name for name, good in outcomes if good),
        tuple(name for name, good in outcomes if not good),
        output,
    )


def read_known_red() -> set[str]:
    """Return the scenario names after ``test:`` in the list."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix('test:').strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith('test:')
    }


if __name__ == '__main__':
    sys.exit(main())

"""Run behave suites in parallel and print one summary.

A suite is a folder below ``tests`` that holds a folder ``steps``. Each one is
run by a separate behave process.
"""

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

#: Folder of the suites, relative to the checkout.
TESTS_FOLDER = Path('tests')

#: List of the scenarios that fail because of a known, unresolved fault.
KNOWN_FAILURES = Path('KNOWN-RED.txt')

#: Number of suites that run in parallel.
JOBS = 3


@attrs.frozen
class SuiteResult:
    """Result of one suite.

    :param passed: names of the scenarios that passed, after their suite
    :param failed: names of the scenarios that did not pass, after their suite
    :param output: output of behave
    """

    passed: tuple[str, ...]
    failed: tuple[str, ...]
    output: str


def main() -> int:
    """Run all suites, or those on the command line.

    Prints the output of each suite with an unexpected failure.

    :returns: 0 when some scenario passed and every failed one is listed in
        :data:`KNOWN_FAILURES`, else 1
    """
    suites = [Path(name) for name in sys.argv[1:]] or find_suites()
    with ThreadPoolExecutor(JOBS) as pool:
        results = list(pool.map(run_suite, suites))
    known = read_known_failures()
    passed = [name for result in results for name in result.passed]
    failed = [name for result in results for name in result.failed]
    unexpected = [name for name in failed if name not in known]
    for result in results:
        if any(name not in known for name in result.failed):
            print(result.output)
    for name in failed:
        print('known red:' if name in known else 'failed:', name)
    for name in sorted(known & set(passed)):
        print('known red, but passes:', name)
    for name in sorted(known - set(passed) - set(failed)):
        print('known red, not run here:', name)
    print(f'{len(passed)} passed, {len(unexpected)} failed')
    return 1 if unexpected or not passed else 0


def find_suites() -> list[Path]:
    """Return every folder below :data:`TESTS_FOLDER` that holds steps."""
    return sorted(steps.parent for steps in TESTS_FOLDER.rglob('steps'))


def run_suite(suite: Path) -> SuiteResult:
    """Run behave on one suite in a separate process."""
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
        command += ['--format', 'json', '--outfile', str(report), str(suite)]
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
            return SuiteResult((), (f'{suite}: behave did not run',), output)
    result = read_report(suite, features, output)
    if finished.returncode and not result.failed:
        return SuiteResult(result.passed, (f'{suite}: behave failed',), output)
    return result


def read_report(suite: Path, features: list[Any], output: str) -> SuiteResult:
    """Return the result of a suite from behave's JSON report."""
    outcomes = [
        (f'{suite}: {scenario["name"]}', scenario['status'] == 'passed')
        for feature in features
        for scenario in feature.get('elements', [])
        if scenario['type'] == 'scenario'
    ]
    return SuiteResult(
        tuple(name for name, has_passed in outcomes if has_passed),
        tuple(name for name, has_passed in outcomes if not has_passed),
        output,
    )


def read_known_failures() -> set[str]:
    """Return the scenario names after ``test:`` in :data:`KNOWN_FAILURES`."""
    if not KNOWN_FAILURES.exists():
        return set()
    return {
        line.removeprefix('test:').strip()
        for line in KNOWN_FAILURES.read_text().splitlines()
        if line.startswith('test:')
    }


if __name__ == '__main__':
    sys.exit(main())

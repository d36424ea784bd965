"""Measure the processor time that a role on the platform needs to start.

Builds the processes in a scratch copy, then imports what each role imports at
its start: with neither file of the build, with the compiled methods, and with
the bundle of modules besides.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
import platform
from resource import getrusage
from resource import RUSAGE_CHILDREN
import shutil
from statistics import median
import subprocess
import sys
import tempfile

#: Folders that the build reads.
BUILD_INPUTS = ('deploy', 'packages', 'platform')

#: Starts of each role and kind.
STARTS = 15

#: Imports what a role's process imports; its arguments are the role and the
#: files to load.
PROGRAM = """
import gc, importlib, os, sys
gc.disable()
role, *files = sys.argv[1:]
for file in files:
    kind = file.rpartition('.')[2]
    module = importlib.import_module(f'pistachiohook_daemon.{kind}')
    path = file
    if kind == 'generated':
        from pathlib import Path
        path = Path(file)
    reason = getattr(module, f'load_{kind}')(path)
    assert not reason, reason
for name in ('main', 'calls', 'readiness'):
    importlib.import_module(f'pistachiohook_platform.{name}')
importlib.import_module(f'pistachiohook_daemon.passthrough.{role}')
"""

#: Files of the build that each kind of start loads, in their order.
KINDS = {
    'plain': (),
    'generated': ('generated',),
    'bundle': ('bundle', 'generated'),
}


def main() -> None:
    """Print the median processor time of each role and kind, in ms."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        for name in BUILD_INPUTS:
            shutil.copytree(name, root / name)
        shutil.copy('constraints.txt', root)
        subprocess.run(
            ['sh', 'deploy/build'], cwd=root, check=True, stdout=sys.stderr
        )
        figures = {
            role: {
                kind: round(
                    median(
                        _measure(root / 'target/deps', role, files)
                        for _ in range(STARTS)
                    ),
                    1,
                )
                for kind, files in KINDS.items()
            }
            for role in ('balancer', 'agent', 'control')
        }
    print(
        json.dumps(
            {'processor_ms_to_import': figures, 'machine': platform.machine()}
        )
    )


def _measure(deps: Path, role: str, kinds: tuple[str, ...]) -> float:
    """Return the processor time of one start, in ms."""
    files = [str(deps / f'pistachiohook_platform/{role}.{k}') for k in kinds]
    environment = {'PATH': os.environ['PATH'], 'PYTHONPATH': str(deps)}
    before = getrusage(RUSAGE_CHILDREN)
    subprocess.run(
        [sys.executable, '-S', '-c', PROGRAM, role, *files],
        env=environment,
        check=True,
    )
    after = getrusage(RUSAGE_CHILDREN)
    used = (after.ru_utime - before.ru_utime) + (
        after.ru_stime - before.ru_stime
    )
    return used * 1000


if __name__ == '__main__':
    main()

"""Entry point of the daemon."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

import cyclopts
from returns.result import Failure as Failed

from .clocks import create_event_loop
from .composition import run_daemon
from .running import STATUS_BAD_SETTINGS
from .settings import read_settings

app = cyclopts.App(
    name='pistachiohookd', help='Run one role of the load balancer.'
)


@app.default
def run(*, settings: Path) -> int:
    """Run the role that the settings name.

    :param settings: TOML file, documented in docs/settings.md
    :returns: 0 after a graceful shutdown, 1 when a task failed too often,
        2 when the role could not be started
    """
    found = read_settings(settings)
    if isinstance(found, Failed):
        for failure in found.failure():
            print(failure, file=sys.stderr)
        return STATUS_BAD_SETTINGS
    with asyncio.Runner(loop_factory=create_event_loop) as runner:
        return runner.run(run_daemon(found.unwrap()))


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(app())


if __name__ == '__main__':
    main()

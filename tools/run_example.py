"""Run the example without load until Ctrl-C."""

from __future__ import annotations

from pathlib import Path
import sys
import time

from demo import check_running
from demo import claim_network
from demo import prepare_deployment
from demo import start_system
from processes import manage_processes
from processes import RunError
from processes import set_import_path

#: Time between two checks that every process is running, in seconds.
CHECK_INTERVAL = 1.0


def main() -> int:
    """Start the example and print the settings file for the command line.

    :returns: 0 after Ctrl-C, 1 when a process failed to start or exited
    """
    set_import_path(sorted(Path('packages').glob('*/src')))
    with claim_network() as claim:
        deployment = prepare_deployment(claim.getsockname()[0])
        with manage_processes(deployment.folder) as processes:
            try:
                start_system(deployment, processes)
                print(deployment.settings / 'pistachiohook.toml', flush=True)
                while True:
                    check_running(processes)
                    time.sleep(CHECK_INTERVAL)
            except RunError as error:
                print(f'run-example: {error}; logs in {deployment.folder}')
                return 1
            except KeyboardInterrupt:
                return 0


if __name__ == '__main__':
    sys.exit(main())

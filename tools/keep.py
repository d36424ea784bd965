"""Keep the example running until Ctrl-C."""

from __future__ import annotations

from pathlib import Path
import sys
import time

from demo import claim_network
from demo import prepare_place
from demo import refuse_ended
from demo import start_system
from processes import ConditionError
from processes import hold_processes
from processes import set_import_path

#: Time between two looks at the processes, in seconds.
LOOK_INTERVAL = 1.0


def main() -> int:
    """Run the example.

    :returns: 0 after Ctrl-C, 1 when a process ended by itself
    """
    set_import_path(sorted(Path('packages').glob('*/src')))
    with claim_network() as claim:
        place = prepare_place(claim.getsockname()[0])
        with hold_processes(place.folder) as processes:
            try:
                start_system(place, processes)
                print(place.settings / 'pistachiohook.toml', flush=True)
                while True:
                    refuse_ended(processes)
                    time.sleep(LOOK_INTERVAL)
            except ConditionError as error:
                print(f'keep: {error}; logs in {place.folder}')
                return 1
            except KeyboardInterrupt:
                return 0


if __name__ == '__main__':
    sys.exit(main())

"""Run the example under load, with faults by time, and print a report."""

from __future__ import annotations

import enum
import json
from pathlib import Path
import signal
import sys
import time

import attrs
import cyclopts
from demo import claim_network
from demo import DAEMON
from demo import Place
from demo import prepare_place
from demo import refuse_ended
from demo import run_command
from demo import start_system
from pistachiohook_standins.load import LoadSettings
from pistachiohook_standins.settings import read_settings
from processes import ConditionError
from processes import hold_processes
from processes import Processes
from processes import set_import_path

#: Time that the last requests and the counting may take, in seconds.
REST_TIMEOUT = 90.0


class Act(enum.Enum):
    """What is done to the system."""

    #: SIGKILL.
    KILL = 'kill'
    #: SIGTERM.
    TERMINATE = 'terminate'
    #: SIGSTOP.
    FREEZE = 'freeze'
    #: SIGCONT.
    THAW = 'thaw'
    #: Start again what was killed or terminated.
    START = 'start'
    #: Drain a target by the command line.
    DRAIN = 'drain'
    #: Apply a folder of objects by the command line.
    APPLY = 'apply'


@attrs.frozen
class Fault:
    """One thing done at one time.

    :param at: seconds after the load has begun
    :param act: what is done
    :param name: process, as ``balancers/balancer-1``; target; or folder
    """

    at: float
    act: Act
    name: str


@attrs.frozen
class Experiment:
    """The part of an experiment's file that the load tool doesn't read.

    :param faults: in any order
    """

    faults: list[Fault] = attrs.field(factory=list)


def run(experiment: Path) -> int:
    """Run one experiment.

    :param experiment: TOML file of the load tool, with tables ``faults``
    :returns: exit status of the load tool, 1 when the system fails to start
    """
    set_import_path(sorted(Path('packages').glob('*/src')))
    with claim_network() as claim:
        place = prepare_place(claim.getsockname()[0])
        file = place.copy_file(experiment)
        with hold_processes(place.folder) as processes:
            try:
                start_system(place, processes)
                return run_load(place, processes, file)
            except ConditionError as error:
                print(f'experiment: {error}; logs in {place.folder}')
                return 1


def run_load(place: Place, processes: Processes, file: Path) -> int:
    """Run the load tool and do to the system what the file says.

    :returns: exit status of the load tool
    """
    duration = read_settings(file, LoadSettings).duration
    faults = read_settings(file, Experiment).faults
    processes.start('load', 'pistachiohook_standins.load', file)
    started = time.monotonic()
    for fault in sorted(faults, key=lambda fault: fault.at):
        time.sleep(max(0.0, started + fault.at - time.monotonic()))
        refuse_ended(processes)
        commit_fault(place, processes, fault)
        print(json.dumps({'at': fault.at, fault.act.value: fault.name}))
    status = processes.wait('load', duration + REST_TIMEOUT)
    print(processes.read_log('load'), end='')
    return status


def commit_fault(place: Place, processes: Processes, fault: Fault) -> None:
    """Do one thing to the system."""
    name = fault.name.replace('/', '-')
    if fault.act is Act.KILL:
        processes.kill(name)
    elif fault.act is Act.TERMINATE:
        processes.terminate(name)
    elif fault.act is Act.START:
        processes.start(name, DAEMON, place.settings / f'{fault.name}.toml')
    elif fault.act is Act.FREEZE:
        processes.send_signal(name, signal.SIGSTOP)
    elif fault.act is Act.THAW:
        processes.send_signal(name, signal.SIGCONT)
    elif fault.act is Act.DRAIN:
        run_command(place, 'drain', fault.name)
    else:
        run_command(place, 'apply', str(place.settings / fault.name))


def main(experiment: Path) -> None:
    """Run the example under the load and the faults of a TOML file.

    :param experiment: the file
    """
    sys.exit(run(experiment))


if __name__ == '__main__':
    cyclopts.run(main)

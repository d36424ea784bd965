"""Run the example under load with scheduled faults, and print a report."""

from __future__ import annotations

import enum
import json
from pathlib import Path
import signal
import sys
import time

import attrs
import cyclopts
from demo import check_running
from demo import claim_network
from demo import DAEMON
from demo import Deployment
from demo import prepare_deployment
from demo import run_command
from demo import start_system
from pistachiohook_standins.load import LoadSettings
from pistachiohook_standins.settings import read_settings
from processes import manage_processes
from processes import Processes
from processes import RunError
from processes import set_import_path

#: Longest time from the end of the load to the exit of the load tool, in
#: seconds. It waits for the last requests and then sums up the counts.
COMPLETION_TIMEOUT = 90.0


class FaultAction(enum.Enum):
    """Action on the system, by its name in the file."""

    #: Kill a process with SIGKILL.
    KILL = 'kill'
    #: Shut a process down with SIGTERM, without waiting for its exit.
    TERMINATE = 'terminate'
    #: Pause a process with SIGSTOP.
    FREEZE = 'freeze'
    #: Resume a paused process with SIGCONT.
    THAW = 'thaw'
    #: Restart a process that was killed or terminated.
    START = 'start'
    #: Drain a target, with the command line.
    DRAIN = 'drain'
    #: Apply a folder of configuration objects, with the command line.
    APPLY = 'apply'


@attrs.frozen
class Fault:
    """A scheduled action.

    The attributes are the keys of a table in the file.

    :param at: time after the start of the load, in seconds
    :param act: the action
    :param name: what the action applies to: a process, as
        ``balancers/balancer-1``, a target or a folder
    """

    at: float
    act: FaultAction
    name: str


@attrs.frozen
class Experiment:
    """The part of an experiment's file that the load tool does not read.

    :param faults: scheduled actions, in any order
    """

    faults: list[Fault] = attrs.field(factory=list)


def run(experiment: Path) -> int:
    """Run one experiment.

    :param experiment: TOML file of the load tool, with an array of tables
        ``faults``
    :returns: exit status of the load tool; 1 when the system does not start,
        a process exits unexpectedly or a command fails
    """
    set_import_path(sorted(Path('packages').glob('*/src')))
    with claim_network() as claim:
        deployment = prepare_deployment(claim.getsockname()[0])
        file = deployment.copy_file(experiment)
        with manage_processes(deployment.folder) as processes:
            try:
                start_system(deployment, processes)
                return run_load(deployment, processes, file)
            except RunError as error:
                print(f'experiment: {error}; logs in {deployment.folder}')
                return 1


def run_load(deployment: Deployment, processes: Processes, file: Path) -> int:
    """Run the load tool and inject the faults at their times.

    :returns: exit status of the load tool
    :raises RunError: when a process exits unexpectedly, a command fails or
        the load tool does not exit in time
    """
    duration = read_settings(file, LoadSettings).duration
    faults = read_settings(file, Experiment).faults
    processes.start('load', 'pistachiohook_standins.load', file)
    started = time.monotonic()
    for fault in sorted(faults, key=lambda fault: fault.at):
        time.sleep(max(0.0, started + fault.at - time.monotonic()))
        check_running(processes)
        inject_fault(deployment, processes, fault)
        print(json.dumps({'at': fault.at, fault.act.value: fault.name}))
    status = processes.wait('load', duration + COMPLETION_TIMEOUT)
    print(processes.read_log('load'), end='')
    return status


def inject_fault(
    deployment: Deployment, processes: Processes, fault: Fault
) -> None:
    """Perform one action on the system."""
    name = fault.name.replace('/', '-')
    if fault.act is FaultAction.KILL:
        processes.kill(name)
    elif fault.act is FaultAction.TERMINATE:
        processes.terminate(name)
    elif fault.act is FaultAction.START:
        processes.start(
            name, DAEMON, deployment.settings / f'{fault.name}.toml'
        )
    elif fault.act is FaultAction.FREEZE:
        processes.send_signal(name, signal.SIGSTOP)
    elif fault.act is FaultAction.THAW:
        processes.send_signal(name, signal.SIGCONT)
    elif fault.act is FaultAction.DRAIN:
        run_command(deployment, 'drain', fault.name)
    else:
        run_command(deployment, 'apply', str(deployment.settings / fault.name))


def main(experiment: Path) -> None:
    """Run the example under the load and the faults of a TOML file.

    :param experiment: path of the file, below the folder of the example
    """
    sys.exit(run(experiment))


if __name__ == '__main__':
    cyclopts.run(main)

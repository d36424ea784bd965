"""Run the example on loopback under load, and kill one of its balancers."""

from __future__ import annotations

import json
from pathlib import Path
import secrets
import shutil
import socket
import subprocess
import sys
from typing import Any

import attrs
from pistachiohook_standins.certificates import make_certificates
from processes import fetch_json
from processes import is_healthy
from processes import manage_processes
from processes import Processes
from processes import RunError
from processes import set_import_path
from processes import wait_until

#: The settings that the demo runs.
EXAMPLE = Path('examples/lautoka')

#: Run folder that the example's settings name; replaced in their copies.
RUN_FOLDER = 'run/lautoka'

#: Prefix of the addresses in the example's settings; replaced in their copies.
NETWORK = '127.20.'

#: Second octets of the loopback networks that a run may use. The first free
#: one is taken, so that several runs can share a machine.
NETWORKS = range(20, 250)

#: TCP port that a run binds to reserve a loopback network.
CLAIM_PORT = 7999

#: Host names of the certificates that the example's agents present.
AUTHORITIES = ('soapfloor.example', 'intake.example')

#: Module of the daemon.
DAEMON = 'pistachiohook_daemon.main'

#: Process of the balancer that is killed.
KILLED_BALANCER = 'balancers-balancer-2'

#: Number of orders that must have run before the balancer is killed.
ORDERS_BEFORE_KILL = 40

#: Longest wait for a process to become healthy and for work to start, in
#: seconds.
START_TIMEOUT = 20.0

#: Longest run of the callers, in seconds.
CALLER_TIMEOUT = 35.0

#: Counts that the demo prints. It succeeds when ``requests`` is above 0 and
#: every other count is 0.
COUNTS = ('requests', 'lost', 'doubled', 'broken_flows', 'wrong_service')

#: Exit status after Ctrl-C.
STATUS_INTERRUPTED = 130

#: Length of the link key, in bytes.
KEY_LENGTH = 32


@attrs.frozen
class Deployment:
    """Files and network of one run of the example.

    :param folder: run folder, for certificates, keys and logs
    :param settings: folder of the copy of the example's settings
    :param network: prefix of the loopback addresses, as ``127.20.``
    """

    folder: Path
    settings: Path
    network: str

    def copy_file(self, source: Path) -> Path:
        """Copy a settings file of the example for this network and folder.

        :returns: path of the copy
        """
        copy = self.settings / source.relative_to(EXAMPLE)
        copy.parent.mkdir(parents=True, exist_ok=True)
        text = source.read_text().replace(NETWORK, self.network)
        copy.write_text(text.replace(RUN_FOLDER, str(self.folder)))
        return copy

    def list_names(self, kind: str) -> list[str]:
        """Return the names of the settings files of one kind.

        :param kind: folder of the settings, as ``balancers``
        """
        return sorted(file.stem for file in (self.settings / kind).iterdir())


def main() -> int:
    """Run the demo.

    :returns: 0 when no request was lost, run twice or sent to the wrong
        service and no flow was broken, else 1
    """
    set_import_path(sorted(Path('packages').glob('*/src')))
    with claim_network() as claim:
        deployment = prepare_deployment(claim.getsockname()[0])
        with manage_processes(deployment.folder) as processes:
            try:
                start_system(deployment, processes)
                counts = run_callers(deployment, processes)
            except RunError as error:
                print(f'demo: {error}; logs in {deployment.folder}')
                return 1
            except KeyboardInterrupt:
                return STATUS_INTERRUPTED
    print(json.dumps({name: counts[name] for name in COUNTS}))
    return 0 if is_clean(counts) else 1


def is_clean(counts: dict[str, Any]) -> bool:
    """Return whether requests were sent and every other count is 0."""
    others = [value for name, value in counts.items() if name != 'requests']
    return bool(counts['requests']) and not any(others)


def claim_network() -> socket.socket:
    """Reserve a loopback network that no other run uses.

    :returns: socket bound in the network; closing it releases the network
    :raises SystemExit: when every network is in use
    """
    for number in NETWORKS:
        claim = socket.socket()
        try:
            claim.bind((f'127.{number}.0.254', CLAIM_PORT))
        except OSError:
            claim.close()
        else:
            return claim
    raise SystemExit('demo: every loopback network is in use')


def prepare_deployment(host: str) -> Deployment:
    """Empty the run folder, and write settings, certificates and keys.

    :param host: any address of the reserved network
    """
    network = '.'.join(host.split('.')[:2]) + '.'
    folder = Path(RUN_FOLDER)
    if network != NETWORK:
        folder = folder.with_name(f'lautoka-{network.split(".")[1]}')
    shutil.rmtree(folder, ignore_errors=True)
    deployment = Deployment(folder, folder / 'settings', network)
    for source in EXAMPLE.rglob('*.toml'):
        deployment.copy_file(source)
    make_certificates(folder, AUTHORITIES)
    write_secret(folder / 'link.keys', secrets.token_hex(KEY_LENGTH) + '\n')
    token = secrets.token_hex(KEY_LENGTH)
    write_secret(folder / 'tokens', f'demo operator {token}\n')
    write_secret(folder / 'operator.token', token + '\n')
    return deployment


def write_secret(path: Path, text: str) -> None:
    """Write a file that only its owner can read and write."""
    path.touch(mode=0o600)
    path.write_text(text)


def start_system(deployment: Deployment, processes: Processes) -> None:
    """Start all processes except the callers, and apply the configuration.

    :raises RunError: when a process exits or does not become healthy
    """
    start_all(deployment, processes, 'control', DAEMON)
    start_all(
        deployment, processes, 'targets', 'pistachiohook_standins.target'
    )
    start_all(deployment, processes, 'balancers', DAEMON)
    start_all(deployment, processes, 'agents', DAEMON)
    processes.start(
        'fabric',
        'pistachiohook_standins.fabric',
        deployment.settings / 'fabric.toml',
    )
    wait_for_health(deployment, processes, ['2.1'])
    apply_configuration(deployment)
    nodes = [f'1.{number}' for number in range(1, 4)]
    nodes += [f'3.{number}' for number in range(1, 6)]
    wait_for_health(deployment, processes, nodes)


def start_all(
    deployment: Deployment, processes: Processes, kind: str, module: str
) -> None:
    """Start one process for each settings file of one kind.

    :param kind: folder of the settings, as ``balancers``
    :param module: module that each process runs
    """
    for name in deployment.list_names(kind):
        settings = deployment.settings / kind / f'{name}.toml'
        processes.start(f'{kind}-{name}', module, settings)


def wait_for_health(
    deployment: Deployment, processes: Processes, hosts: list[str]
) -> None:
    """Wait until the health endpoint of each host has status 200.

    :param hosts: last two octets of each address
    :raises RunError: when a process exits or a host is not healthy in time
    """
    for host in hosts:
        address = f'{deployment.network}{host}:8080'

        def check(address: str = address) -> bool:
            check_running(processes)
            return is_healthy(address)

        wait_until(f'health of {address}', check, START_TIMEOUT)


def check_running(processes: Processes) -> None:
    """Check that no process has exited unexpectedly.

    :raises RunError: with the last lines that the process printed
    """
    for name in processes.list_exited():
        lines = processes.read_log(name).splitlines()[-5:]
        raise RunError('\n'.join([f'{name} has exited:', *lines]))


def apply_configuration(deployment: Deployment) -> None:
    """Submit the example's objects and wait until every node applies them.

    :raises RunError: when the command line reports a failure
    """
    folder = str(deployment.settings / 'configuration')
    accepted = json.loads(run_command(deployment, 'apply', folder, '--json'))
    run_command(deployment, 'status', '--wait', str(accepted['revision']))


def run_command(deployment: Deployment, *arguments: str) -> str:
    """Run one command of the command line for operators.

    :returns: its standard output
    :raises RunError: when its exit status is not 0
    """
    command = [sys.executable, '-m', 'pistachiohook_cli.main', *arguments]
    command += ['--settings', str(deployment.settings / 'pistachiohook.toml')]
    finished = subprocess.run(
        command, capture_output=True, check=False, text=True
    )
    if finished.returncode:
        printed = finished.stdout + finished.stderr
        raise RunError(
            f'{arguments[0]} exited with {finished.returncode}: {printed}'
        )
    return finished.stdout


def run_callers(
    deployment: Deployment, processes: Processes
) -> dict[str, Any]:
    """Run the callers, and kill a balancer while all their work is running.

    :returns: counts of the callers and targets
    :raises RunError: when the work does not start or finish in time
    """
    processes.start(
        'caller',
        'pistachiohook_standins.caller',
        deployment.settings / 'caller.toml',
    )
    wait_until(
        'orders, feeds and uploads in progress',
        lambda: has_all_work_started(deployment, processes),
        START_TIMEOUT,
    )
    processes.kill(KILLED_BALANCER)
    processes.wait('caller', CALLER_TIMEOUT)
    lines = processes.read_log('caller').splitlines()
    try:
        counts: dict[str, Any] = json.loads(lines[-1])
    except (IndexError, ValueError) as error:
        raise RunError('the caller printed no counts') from error
    return counts


def has_all_work_started(deployment: Deployment, processes: Processes) -> bool:
    """Return whether enough orders have run and both services have work.

    The feeds run at soapfloor and the uploads at intake.

    :raises RunError: when a process has exited
    """
    check_running(processes)
    targets = [
        fetch_json(f'http://{deployment.network}3.{number}:8000/runs')
        for number in range(1, 6)
    ]
    running = {'soapfloor': 0, 'intake': 0}
    orders = 0
    for target in filter(None, targets):
        running[target['service']] += target['running']
        orders += len(target['runs'])
    return orders >= ORDERS_BEFORE_KILL and all(running.values())


if __name__ == '__main__':
    sys.exit(main())

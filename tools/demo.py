"""The whole path on loopback: kill a balancer under load, count what broke."""

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
from processes import ConditionError
from processes import fetch_json
from processes import hold_processes
from processes import is_healthy
from processes import Processes
from processes import set_import_path
from processes import wait_until

#: The settings that the demo runs.
EXAMPLE = Path('examples/lautoka')

#: Folder of a run, as the example's settings name it.
RUN_FOLDER = 'run/lautoka'

#: Start of the loopback addresses in the example's settings.
NETWORK = '127.20.'

#: Loopback networks tried, one after another, when others run a demo too.
NETWORKS = range(20, 250)

#: Port whose holder owns a loopback network.
CLAIM_PORT = 7999

#: Certificates that the example's agents show.
AUTHORITIES = ('soapfloor.example', 'intake.example')

#: Module of the daemon.
DAEMON = 'pistachiohook_daemon.main'

#: Balancer that is killed.
VICTIM = 'balancers-balancer-2'

#: Orders that have run when the balancer is killed.
ORDERS_BEFORE_KILL = 40

#: Longest wait for one condition, in seconds.
START_TIMEOUT = 20.0

#: Longest run of the callers, in seconds.
CALLER_TIMEOUT = 35.0

#: Counts that the demo prints; all but the first must be 0.
COUNTS = ('requests', 'lost', 'doubled', 'broken_flows', 'wrong_service')

#: Exit status after Ctrl-C.
STATUS_INTERRUPTED = 130

#: Length of the link key, in bytes.
KEY_LENGTH = 32


@attrs.frozen
class Place:
    """Where one demo runs.

    :param folder: run folder
    :param settings: copy of the example for the claimed network
    :param network: start of the loopback addresses
    """

    folder: Path
    settings: Path
    network: str

    def copy_file(self, source: Path) -> Path:
        """Copy a settings file for the claimed network and this folder."""
        copy = self.settings / source.relative_to(EXAMPLE)
        copy.parent.mkdir(parents=True, exist_ok=True)
        text = source.read_text().replace(NETWORK, self.network)
        copy.write_text(text.replace(RUN_FOLDER, str(self.folder)))
        return copy

    def list_names(self, kind: str) -> list[str]:
        """Return the names of the settings files of one kind."""
        return sorted(file.stem for file in (self.settings / kind).iterdir())


def main() -> int:
    """Run the demo.

    :returns: 0 when nothing was lost, doubled, broken or misled, else 1
    """
    set_import_path(sorted(Path('packages').glob('*/src')))
    with claim_network() as claim:
        place = prepare_place(claim.getsockname()[0])
        with hold_processes(place.folder) as processes:
            try:
                start_system(place, processes)
                counts = run_callers(place, processes)
            except ConditionError as error:
                print(f'demo: {error}; logs in {place.folder}')
                return 1
            except KeyboardInterrupt:
                return STATUS_INTERRUPTED
    print(json.dumps({name: counts[name] for name in COUNTS}))
    return 0 if is_clean(counts) else 1


def is_clean(counts: dict[str, Any]) -> bool:
    """Tell whether requests were made and every other count is 0."""
    others = [value for name, value in counts.items() if name != 'requests']
    return bool(counts['requests']) and not any(others)


def claim_network() -> socket.socket:
    """Hold a loopback network that no other demo uses.

    :returns: bound socket; its host is in the network
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


def prepare_place(host: str) -> Place:
    """Write settings, certificates and keys into an empty run folder."""
    network = '.'.join(host.split('.')[:2]) + '.'
    folder = Path(RUN_FOLDER)
    if network != NETWORK:
        folder = folder.with_name(f'lautoka-{network.split(".")[1]}')
    shutil.rmtree(folder, ignore_errors=True)
    place = Place(folder, folder / 'settings', network)
    for source in EXAMPLE.rglob('*.toml'):
        place.copy_file(source)
    make_certificates(folder, AUTHORITIES)
    write_secret(folder / 'link.keys', secrets.token_hex(KEY_LENGTH) + '\n')
    token = secrets.token_hex(KEY_LENGTH)
    write_secret(folder / 'tokens', f'demo operator {token}\n')
    write_secret(folder / 'operator.token', token + '\n')
    return place


def write_secret(path: Path, text: str) -> None:
    """Write a file that only its owner may read."""
    path.touch(mode=0o600)
    path.write_text(text)


def start_system(place: Place, processes: Processes) -> None:
    """Start everything but the callers and put the configuration in force.

    :raises ConditionError: when a process doesn't come up
    """
    start_all(place, processes, 'control', DAEMON)
    start_all(place, processes, 'targets', 'pistachiohook_standins.target')
    start_all(place, processes, 'balancers', DAEMON)
    start_all(place, processes, 'agents', DAEMON)
    processes.start(
        'fabric',
        'pistachiohook_standins.fabric',
        place.settings / 'fabric.toml',
    )
    wait_for_health(place, processes, ['2.1'])
    apply_configuration(place)
    nodes = [f'1.{number}' for number in range(1, 4)]
    nodes += [f'3.{number}' for number in range(1, 6)]
    wait_for_health(place, processes, nodes)


def start_all(
    place: Place, processes: Processes, kind: str, module: str
) -> None:
    """Start a process for each settings file of one kind."""
    for name in place.list_names(kind):
        settings = place.settings / kind / f'{name}.toml'
        processes.start(f'{kind}-{name}', module, settings)


def wait_for_health(
    place: Place, processes: Processes, hosts: list[str]
) -> None:
    """Wait until the health endpoint of each host answers 200."""
    for host in hosts:
        address = f'{place.network}{host}:8080'

        def check(address: str = address) -> bool:
            refuse_ended(processes)
            return is_healthy(address)

        wait_until(f'health of {address}', check, START_TIMEOUT)


def refuse_ended(processes: Processes) -> None:
    """Give up when a process has ended by itself.

    :raises ConditionError: with what it printed last
    """
    for name in processes.find_ended():
        lines = processes.read_log(name).splitlines()[-5:]
        raise ConditionError('\n'.join([f'{name} has ended:', *lines]))


def apply_configuration(place: Place) -> None:
    """Apply the example's objects and wait until they are in force."""
    folder = str(place.settings / 'configuration')
    accepted = json.loads(run_command(place, 'apply', folder, '--json'))
    run_command(place, 'status', '--wait', str(accepted['revision']))


def run_command(place: Place, *arguments: str) -> str:
    """Run the operators' command line.

    :returns: what it printed
    :raises ConditionError: when its exit status is not 0
    """
    command = [sys.executable, '-m', 'pistachiohook_cli.main', *arguments]
    command += ['--settings', str(place.settings / 'pistachiohook.toml')]
    finished = subprocess.run(
        command, capture_output=True, check=False, text=True
    )
    if finished.returncode:
        printed = finished.stdout + finished.stderr
        raise ConditionError(
            f'{arguments[0]} ended with {finished.returncode}: {printed}'
        )
    return finished.stdout


def run_callers(place: Place, processes: Processes) -> dict[str, Any]:
    """Send all work, and kill a balancer in its midst.

    :returns: what callers and targets counted
    :raises ConditionError: when the work doesn't begin or end in time
    """
    processes.start(
        'caller',
        'pistachiohook_standins.caller',
        place.settings / 'caller.toml',
    )
    wait_until(
        'orders, feeds and uploads in progress',
        lambda: is_under_way(place, processes),
        START_TIMEOUT,
    )
    processes.kill(VICTIM)
    processes.wait('caller', CALLER_TIMEOUT)
    lines = processes.read_log('caller').splitlines()
    try:
        counts: dict[str, Any] = json.loads(lines[-1])
    except (IndexError, ValueError) as error:
        raise ConditionError('the caller gave no counts') from error
    return counts


def is_under_way(place: Place, processes: Processes) -> bool:
    """Tell whether every kind of work is in progress.

    :raises ConditionError: when a process has ended by itself
    """
    refuse_ended(processes)
    targets = [
        fetch_json(f'http://{place.network}3.{number}:8000/runs')
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

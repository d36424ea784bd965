"""Measure control: rollout of a change, failover and cost of a node.

Runs three control instances and many simulated nodes on loopback, in processes
of their own. A change is "in force" at a node once the node applies it. The
last line of the output is JSON. Bytes are those of the frames on the links,
without the headers of TCP and IP.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
import platform
import secrets
import tempfile
import time
from typing import Any
import urllib.error
import urllib.request

import attrs
from ports import find_port
from processes import is_healthy
from processes import manage_processes
from processes import Processes
from processes import set_import_path
from processes import wait_until

#: Number of control instances.
INSTANCES = 3

#: Numbers of simulated nodes that are compared.
SIZES = (30, 60, 120)

#: Rates of changes that are compared at the middle size, in changes a second.
RATES = (0.0, 2.0, 5.0)

#: Rate of changes while the sizes are compared, in changes a second.
RATE = 2.0

#: Largest number of simulated nodes in one process.
NODES_PER_PROCESS = 30

#: Length of each measurement, in seconds.
DURATION = 10.0

#: Longest wait for control to be healthy, for a change to be accepted and for
#: all nodes to apply it, in seconds.
WAIT_TIMEOUT = 30.0

#: Number of services in the configuration; each change modifies one of them.
SERVICES = 20

#: Largest 99th percentile of the time from sending a change until a node
#: applies it, with a failover in between, in seconds.
ROLLOUT_DURATION_MAX = 7.0

#: Largest traffic of one node, at the largest number of nodes, in bytes a
#: second.
BYTES_PER_SECOND_MAX = 6000

#: Bearer token of the API.
TOKEN = secrets.token_hex(16)
#: Key of the links, in hexadecimal.
LINK_KEY = secrets.token_hex(32)

#: Clock ticks a second, the unit of processor time in ``/proc``.
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')


@attrs.frozen
class Result:
    """Figures of one run.

    :param nodes: number of simulated nodes
    :param rate: rate at which changes were sent, in changes a second
    :param delays: time from sending a change until a node applied it, for each
        change and node, in seconds
    :param missing: number of pairs of a change and a node that never applied
        it
    :param failover: time from just before the leader is looked up and killed
        until the next change was accepted, in seconds; 0 without a kill
    :param bytes_rate: traffic of all nodes, sent and received, in bytes a
        second
    :param cpu_share: processor time of all nodes, in cores
    :param node_rss: resident memory of all processes of nodes, in bytes
    :param control_cpu: processor time of all control instances, in cores;
        ``None`` when one was killed
    :param control_rss: resident memory of the largest control instance, in
        bytes
    """

    nodes: int
    rate: float
    delays: tuple[float, ...]
    missing: int
    failover: float
    bytes_rate: float
    cpu_share: float
    node_rss: int
    control_cpu: float | None
    control_rss: int


@attrs.define
class Bench:
    """State of one run.

    :param folder: folder of the settings, logs and data folders
    :param processes: control instances and processes of nodes
    :param admin: address of each control instance's administration endpoint
    :param api: address of each control instance's API
    :param link: address at which each control instance accepts links
    :param node_processes: names of the processes of nodes
    :param revision: newest accepted revision
    :param changes: number of changes made
    :param sent: time at which each accepted revision was first sent
    """

    folder: Path
    processes: Processes
    admin: dict[str, str] = attrs.field(factory=dict)
    api: dict[str, str] = attrs.field(factory=dict)
    link: dict[str, str] = attrs.field(factory=dict)
    node_processes: list[str] = attrs.field(factory=list)
    revision: int = 0
    changes: int = 0
    sent: dict[int, float] = attrs.field(factory=dict)


def main() -> int:
    """Perform all runs and print the figures.

    :returns: 0 when every node applied every change of the run with a kill
        and the bounds hold, else 1
    """
    set_import_path([*Path('packages').glob('*/src'), Path('tools')])
    runs = {
        (size, rate): run_bench(size, rate, kill=False)
        for size, rate in list_runs()
    }
    single_node = run_bench(1, 0.0, kill=False)
    killed = run_bench(SIZES[1], RATE, kill=True)
    print(
        f'{platform.processor() or platform.machine()}, {os.cpu_count()} '
        f'cores, Python {platform.python_version()}'
    )
    figures = summarize(runs, single_node, killed)
    print(json.dumps(figures))
    within_bounds = (
        not killed.missing
        and figures['apply_to_in_force_p99_s'] <= ROLLOUT_DURATION_MAX
        and figures['control_bytes_per_node_s'] <= BYTES_PER_SECOND_MAX
    )
    return 0 if within_bounds else 1


def list_runs() -> list[tuple[int, float]]:
    """Return number of nodes and rate of changes of each run without a kill.

    The slopes are computed from these runs.
    """
    by_rate = [(SIZES[1], rate) for rate in RATES]
    return [*by_rate, *((size, RATE) for size in SIZES if size != SIZES[1])]


def run_bench(size: int, rate: float, *, kill: bool) -> Result:
    """Start control and the nodes, measure, and stop them.

    :param size: number of nodes
    :param rate: rate of changes, in changes a second
    :param kill: whether the leader is killed halfway
    """
    with (
        tempfile.TemporaryDirectory() as name,
        manage_processes(Path(name)) as processes,
    ):
        bench = Bench(Path(name), processes)
        start_control(bench)
        apply_change(bench, time.monotonic() + WAIT_TIMEOUT)
        start_nodes(bench, size)
        wait_until(
            'all nodes apply the newest configuration',
            lambda: is_applied_by_all(bench, size),
            WAIT_TIMEOUT,
        )
        result = measure(bench, size, rate, kill=kill)
    print(json.dumps(describe(result)), flush=True)
    return result


def measure(bench: Bench, size: int, rate: float, *, kill: bool) -> Result:
    """Make changes for :data:`DURATION`, then evaluate the nodes' output."""
    bench.sent.clear()
    begin = time.monotonic()
    cpu_before = read_control_cpu(bench)
    failover = 0.0
    count = int(rate * DURATION)
    for number in range(count):
        time.sleep(max(0.0, begin + number / rate - time.monotonic()))
        killed_at = 0.0
        if kill and number == count // 2:
            killed_at = time.monotonic()
            bench.processes.kill(find_leader(bench))
        apply_change(bench, time.monotonic() + WAIT_TIMEOUT)
        if killed_at:
            failover = time.monotonic() - killed_at
    time.sleep(max(0.0, begin + DURATION - time.monotonic()))
    end = time.monotonic()
    cpu_used = read_control_cpu(bench) - cpu_before
    rss = max(read_rss(bench, name) for name in list_alive(bench))
    wait_until(
        'all nodes apply the newest configuration',
        lambda: is_applied_by_all(bench, size),
        WAIT_TIMEOUT,
    )
    time.sleep(1.0)
    lines = [read_lines(bench, name) for name in bench.node_processes]
    delays, missing = find_delays(
        bench, [line for part in lines for line in part]
    )
    windows = [find_window(part, begin, end) for part in lines]
    return Result(
        nodes=size,
        rate=rate,
        delays=tuple(delays),
        missing=missing,
        failover=failover,
        bytes_rate=sum(
            (last[key] - first[key]) / (last['at'] - first['at'])
            for first, last in windows
            for key in ('sent', 'received')
        ),
        cpu_share=sum(
            (last['cpu'] - first['cpu']) / (last['at'] - first['at'])
            for first, last in windows
        ),
        node_rss=sum(last['rss'] for _, last in windows),
        control_cpu=None if kill else cpu_used / (end - begin),
        control_rss=rss,
    )


def start_control(bench: Bench) -> None:
    """Start the control instances and wait until they are healthy."""
    names = [f'control-{number}' for number in range(1, INSTANCES + 1)]
    ports = iter(allocate_addresses(4 * INSTANCES))
    peer = {name: next(ports) for name in names}
    bench.admin = {name: next(ports) for name in names}
    bench.api = {name: next(ports) for name in names}
    bench.link = {name: next(ports) for name in names}
    (bench.folder / 'link.keys').write_text(LINK_KEY)
    (bench.folder / 'tokens').write_text(f'bench operator {TOKEN}\n')
    members = ''.join(
        f'[[control_instance.members]]\nname = "{name}"\n'
        f'peer = "{peer[name]}"\napi = "{bench.api[name]}"\n'
        for name in names
    )
    for name in names:
        settings = bench.folder / f'{name}.toml'
        settings.write_text(
            f'role = "control"\nname = "{name}"\n'
            f'availability_zone = "lautoka-a"\n'
            f'admin = "{bench.admin[name]}"\n'
            f'keys_file = "{bench.folder}/link.keys"\n'
            f'[control_instance]\ndata_folder = "{bench.folder}/{name}"\n'
            f'api = "{bench.api[name]}"\nlink = "{bench.link[name]}"\n'
            f'peer = "{peer[name]}"\n'
            f'tokens_file = "{bench.folder}/tokens"\n{members}'
        )
        bench.processes.start(name, 'pistachiohook_daemon.main', settings)
    wait_until(
        'control is healthy',
        lambda: all(map(is_healthy, bench.admin.values())),
        WAIT_TIMEOUT,
    )


def start_nodes(bench: Bench, size: int) -> None:
    """Start the processes of the simulated nodes."""
    names = [f'node-{number}' for number in range(size)]
    for begin in range(0, size, NODES_PER_PROCESS):
        name = f'nodes-{begin}'
        settings = bench.folder / f'{name}.json'
        document = {
            'names': names[begin : begin + NODES_PER_PROCESS],
            'control': list(bench.link.values()),
            'link_key': LINK_KEY,
        }
        settings.write_text(json.dumps(document))
        bench.processes.start(name, 'control_nodes', settings)
        bench.node_processes.append(name)


def apply_change(bench: Bench, deadline: float) -> None:
    """Change one service, and retry at each instance until one accepts it.

    :param deadline: monotonic time after which no further round starts
    :raises SystemExit: when no instance has accepted it by then
    """
    bench.changes += 1
    begin = time.monotonic()
    body = {
        'revision': bench.revision,
        'change_id': f'change-{bench.changes}',
        'objects': make_objects(bench.changes),
    }
    while True:
        for address in list(bench.api.values()):
            response = send_request(address, 'PUT', '/v1/configuration', body)
            if response is not None and 'change_id' in response:
                bench.revision = response['revision']
                bench.sent[bench.revision] = begin
                return
        if time.monotonic() > deadline:
            raise SystemExit('no control instance accepted the change in time')


def make_objects(change: int) -> list[dict[str, Any]]:
    """Return the whole configuration after a number of changes.

    Each change gives the next service, in turn, another port.
    """
    services = [
        {
            'kind': 'service',
            'name': f'service-{number}',
            'file': 'bench',
            'keys': {
                'addresses': [
                    f'10.0.{number}.1:{443 + change // SERVICES}'
                    if number < change % SERVICES
                    else f'10.0.{number}.1:{442 + change // SERVICES}'
                ],
                'policy': 'p',
            },
        }
        for number in range(SERVICES)
    ]
    policy = {'kind': 'policy', 'name': 'p', 'file': 'bench', 'keys': {}}
    return [policy, *services]


def is_applied_by_all(bench: Bench, size: int) -> bool:
    """Return whether all nodes apply the newest configuration."""
    path = f'/v1/status?revision={bench.revision}'
    for address in bench.api.values():
        response = send_request(address, 'GET', path, None)
        if response is not None and 'rollout' in response:
            rollout = response['rollout']
            return bool(rollout['in_force'] == rollout['nodes'] == size)
    return False


def find_leader(bench: Bench) -> str:
    """Return the name of the control instance that is the leader.

    :raises SystemExit: when no instance reports one
    """
    for address in bench.api.values():
        response = send_request(address, 'GET', '/v1/members', None)
        for member in (response or {}).get('members', ()):
            if member['leader']:
                return str(member['name'])
    raise SystemExit('no leader is known')


def send_request(address: str, method: str, path: str, body: Any) -> Any:
    """Send one request to the API.

    :returns: decoded JSON of the response; ``None`` for an error status and
        when the request fails
    """
    request = urllib.request.Request(
        f'http://{address}{path}',
        method=method,
        data=None if body is None else json.dumps(body).encode(),
        headers={'Authorization': f'Bearer {TOKEN}'},
    )
    try:
        with urllib.request.urlopen(request, timeout=15) as response:
            return json.loads(response.read())
    except urllib.error.HTTPError as error:
        error.close()
        return None
    except (OSError, ValueError):
        return None


def read_lines(bench: Bench, name: str) -> list[dict[str, Any]]:
    """Return the lines of JSON that a process of nodes has printed."""
    log = bench.processes.read_log(name)
    return [json.loads(line) for line in log.splitlines() if line[:1] == '{']


def find_delays(
    bench: Bench, lines: list[dict[str, Any]]
) -> tuple[list[float], int]:
    """Return the time that each node needed to apply each change.

    :param lines: output of all processes of nodes
    :returns: delays in seconds, and the number of pairs of a change and a node
        that has not applied it
    """
    applied: dict[str, list[tuple[int, float]]] = {}
    for line in lines:
        if 'node' in line:
            updates = applied.setdefault(line['node'], [])
            updates.append((line['revision'], line['at']))
    delays = []
    missing = 0
    for revision, sent in bench.sent.items():
        for updates in applied.values():
            times = [at for number, at in updates if number >= revision]
            missing += not times
            delays += [min(times) - sent] if times else []
    return delays, missing


def find_window(
    lines: list[dict[str, Any]], begin: float, end: float
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return the first and the last sample in an interval of time."""
    samples = [
        line for line in lines if 'cpu' in line and begin <= line['at'] <= end
    ]
    return samples[0], samples[-1]


def list_alive(bench: Bench) -> list[str]:
    """Return the names of the control instances that were not killed."""
    return [name for name in bench.api if name in bench.processes.running]


def read_control_cpu(bench: Bench) -> float:
    """Return the sum of the control instances' processor time, in seconds."""
    total = 0.0
    for name in list_alive(bench):
        pid = bench.processes.running[name].pid
        fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1].split()
        total += (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    return total


def read_rss(bench: Bench, name: str) -> int:
    """Return the resident memory of a process, in bytes."""
    pid = bench.processes.running[name].pid
    pages = Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')


def allocate_addresses(count: int) -> list[str]:
    """Return loopback addresses with free ports."""
    return [f'127.0.0.1:{find_port()}' for _ in range(count)]


def describe(result: Result) -> dict[str, Any]:
    """Return the figures of one run, rounded."""
    return {
        'nodes': result.nodes,
        'changes_per_s': result.rate,
        'in_force_p50_s': round(compute_quantile(result.delays, 0.5), 3),
        'in_force_p99_s': round(compute_quantile(result.delays, 0.99), 3),
        'missing': result.missing,
        'failover_s': round(result.failover, 2),
        'bytes_per_node_s': round(result.bytes_rate / result.nodes),
        'cpu_share_per_node': round(result.cpu_share / result.nodes, 5),
        'node_processes_rss_mb': round(result.node_rss / 1e6, 1),
        'control_cores': round(result.control_cpu, 3)
        if result.control_cpu is not None
        else None,
        'control_rss_mb': round(result.control_rss / 1e6, 1),
    }


def summarize(
    runs: dict[tuple[int, float], Result], single_node: Result, killed: Result
) -> dict[str, float]:
    """Return the figures for the last line of the output.

    :param runs: runs without a kill, by number of nodes and rate of changes
    :param single_node: run with a single node and no changes
    :param killed: run in which the leader was killed
    """
    by_size = [runs[size, RATE] for size in SIZES]
    by_rate = [runs[SIZES[1], rate] for rate in RATES]
    largest = by_size[-1]
    return {
        'apply_to_in_force_p99_s': round(
            compute_quantile(killed.delays, 0.99), 3
        ),
        'control_bytes_per_node_s': round(largest.bytes_rate / largest.nodes),
        'control_cpu_share_per_node': round(
            largest.cpu_share / largest.nodes, 5
        ),
        'control_rss_mb_per_node': round(single_node.node_rss / 1e6, 1),
        'failover_s': round(killed.failover, 2),
        'slope_bytes_per_change': round(
            compute_slope(
                [(run.rate, run.bytes_rate / run.nodes) for run in by_rate]
            ),
            1,
        ),
        'slope_bytes_per_node': round(
            compute_slope([(run.nodes, run.bytes_rate) for run in by_size]), 1
        ),
        'slope_control_cores_per_node': round(
            compute_slope(
                [(run.nodes, run.control_cpu or 0.0) for run in by_size]
            ),
            6,
        ),
        'slope_control_rss_kb_per_node': round(
            compute_slope([(run.nodes, run.control_rss) for run in by_size])
            / 1e3,
            1,
        ),
    }


def compute_quantile(values: tuple[float, ...], share: float) -> float:
    """Return a quantile of the values, 0 when there are none.

    :param share: share of the values that do not exceed the quantile
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compute_slope(points: list[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    numerator = sum((x - mean_x) * (y - mean_y) for x, y in points)
    denominator = sum((x - mean_x) ** 2 for x, _ in points)
    return numerator / denominator


if __name__ == '__main__':
    raise SystemExit(main())

"""Measure control: change to in force, failover, cost of a node.

Three control processes and stand-in nodes in processes of their own, over
loopback. The last line is JSON. Bytes are those of the frames on the links,
without the headers of TCP and IP.
"""

from __future__ import annotations

from contextlib import ExitStack
import json
import os
from pathlib import Path
import platform
import secrets
import socket
import tempfile
import time
from typing import Any
import urllib.error
import urllib.request

import attrs
from processes import is_healthy
from processes import manage_processes
from processes import Processes
from processes import set_import_path
from processes import wait_until

#: Control instances.
INSTANCES = 3

#: Stand-in nodes of the three sizes.
SIZES = (30, 60, 120)

#: Changes a second at the middle size, for the slope over changes.
RATES = (0.0, 2.0, 5.0)

#: Changes a second while the sizes are compared.
RATE = 2.0

#: Stand-in nodes in one process.
NODES_A_PROCESS = 30

#: Length of each measurement, in seconds.
DURATION = 10.0

#: Longest wait for all nodes to be in force, in seconds.
SETTLE_TIMEOUT = 30.0

#: Services in the configuration; each change touches one.
SERVICES = 20

#: Bounds at today's size: seconds to be in force, bytes a second a node.
IN_FORCE_BOUND = 7.0
BYTES_BOUND = 6000

TOKEN = secrets.token_hex(16)
LINK_KEY = secrets.token_hex(32)
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')


@attrs.frozen
class Result:
    """What one run has shown.

    :param nodes: stand-in nodes
    :param rate: accepted changes a second
    :param delays: time from sending a change until a node applies it, for
        each change and node, in seconds
    :param missing: changes that some node has not applied in the end
    :param failover: longest time from the kill of the leader until a change
        that was sent after it is accepted, in seconds; 0 without a kill
    :param bytes_rate: bytes a second of all nodes
    :param cpu_share: processor time of all nodes, in cores
    :param node_rss: resident memory of the node processes, in bytes
    :param control_cpu: processor time of all control instances, in cores;
        ``None`` after a kill
    :param control_rss: largest resident memory of a control instance, bytes
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

    :param folder: settings, logs and data folders
    :param processes: what runs
    """

    folder: Path
    processes: Processes
    admin: dict[str, str] = attrs.field(factory=dict)
    api: dict[str, str] = attrs.field(factory=dict)
    link: dict[str, str] = attrs.field(factory=dict)
    hosts: list[str] = attrs.field(factory=list)
    revision: int = 0
    changes: int = 0
    sent: dict[int, float] = attrs.field(factory=dict)


def main() -> int:
    """Run everything and print the figures.

    :returns: 0 when the bounds hold, else 1
    """
    set_import_path([*Path('packages').glob('*/src'), Path('tools')])
    runs = {
        (size, rate): run_bench(size, rate, kill=False)
        for size, rate in list_runs()
    }
    one = run_bench(1, 0.0, kill=False)
    killed = run_bench(SIZES[1], RATE, kill=True)
    print(
        f'{platform.processor() or platform.machine()}, {os.cpu_count()} '
        f'cores, Python {platform.python_version()}'
    )
    figures = summarize(runs, one, killed)
    print(json.dumps(figures))
    holds = (
        not killed.missing
        and figures['apply_to_in_force_p99_s'] <= IN_FORCE_BOUND
        and figures['control_bytes_per_node_s'] <= BYTES_BOUND
    )
    return 0 if holds else 1


def list_runs() -> list[tuple[int, float]]:
    """Return size and rate of each run without a kill."""
    by_rate = [(SIZES[1], rate) for rate in RATES]
    return [*by_rate, *((size, RATE) for size in SIZES if size != SIZES[1])]


def run_bench(size: int, rate: float, *, kill: bool) -> Result:
    """Start everything anew, measure, and stop it."""
    with (
        tempfile.TemporaryDirectory() as name,
        manage_processes(Path(name)) as processes,
    ):
        bench = Bench(Path(name), processes)
        start_control(bench)
        apply_change(bench, time.monotonic() + SETTLE_TIMEOUT)
        start_nodes(bench, size)
        wait_until(
            'all nodes are in force',
            lambda: is_in_force(bench, size),
            SETTLE_TIMEOUT,
        )
        result = measure(bench, size, rate, kill=kill)
    print(json.dumps(describe(result)), flush=True)
    return result


def measure(bench: Bench, size: int, rate: float, *, kill: bool) -> Result:
    """Make changes for :data:`DURATION`, then read what the nodes saw."""
    bench.sent.clear()
    begin = time.monotonic()
    cpu = read_control_cpu(bench)
    failover = 0.0
    count = int(rate * DURATION)
    for number in range(count):
        time.sleep(max(0.0, begin + number / rate - time.monotonic()))
        killed_at = 0.0
        if kill and number == count // 2:
            killed_at = time.monotonic()
            bench.processes.kill(find_leader(bench))
        apply_change(bench, time.monotonic() + SETTLE_TIMEOUT)
        if killed_at:
            failover = time.monotonic() - killed_at
    time.sleep(max(0.0, begin + DURATION - time.monotonic()))
    end = time.monotonic()
    spent = read_control_cpu(bench) - cpu
    rss = max(read_rss(bench, name) for name in list_alive(bench))
    wait_until(
        'all nodes are in force',
        lambda: is_in_force(bench, size),
        SETTLE_TIMEOUT,
    )
    time.sleep(1.0)
    lines = [read_lines(bench, host) for host in bench.hosts]
    delays, missing = find_delays(bench, [x for part in lines for x in part])
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
        control_cpu=None if kill else spent / (end - begin),
        control_rss=rss,
    )


def start_control(bench: Bench) -> None:
    """Start the control instances and wait until they are healthy."""
    names = [f'control-{number}' for number in range(1, INSTANCES + 1)]
    ports = iter(find_addresses(4 * INSTANCES))
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
        SETTLE_TIMEOUT,
    )


def start_nodes(bench: Bench, size: int) -> None:
    """Start the processes of the stand-in nodes."""
    names = [f'node-{number}' for number in range(size)]
    for begin in range(0, size, NODES_A_PROCESS):
        host = f'nodes-{begin}'
        settings = bench.folder / f'{host}.json'
        document = {
            'names': names[begin : begin + NODES_A_PROCESS],
            'control': list(bench.link.values()),
            'link_key': LINK_KEY,
        }
        settings.write_text(json.dumps(document))
        bench.processes.start(host, 'control_nodes', settings)
        bench.hosts.append(host)


def apply_change(bench: Bench, deadline: float) -> None:
    """Change one service; send it again until it is accepted."""
    bench.changes += 1
    begin = time.monotonic()
    body = {
        'revision': bench.revision,
        'change_id': f'change-{bench.changes}',
        'objects': make_objects(bench.changes),
    }
    while True:
        for address in list(bench.api.values()):
            answer = call(address, 'PUT', '/v1/configuration', body)
            if answer is not None and 'change_id' in answer:
                bench.revision = answer['revision']
                bench.sent[bench.revision] = begin
                return
        if time.monotonic() > deadline:
            raise SystemExit('no control instance has accepted the change')


def make_objects(change: int) -> list[dict[str, Any]]:
    """Return the whole set; one service differs from change to change."""
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


def is_in_force(bench: Bench, size: int) -> bool:
    """Tell whether all nodes apply the newest configuration."""
    path = f'/v1/status?revision={bench.revision}'
    for address in bench.api.values():
        answer = call(address, 'GET', path, None)
        if answer is not None and 'rollout' in answer:
            rollout = answer['rollout']
            return bool(rollout['in_force'] == rollout['nodes'] == size)
    return False


def find_leader(bench: Bench) -> str:
    """Return the name of the leader."""
    for address in bench.api.values():
        answer = call(address, 'GET', '/v1/members', None)
        for member in (answer or {}).get('members', ()):
            if member['leader']:
                return str(member['name'])
    raise SystemExit('no leader is known')


def call(address: str, method: str, path: str, body: Any) -> Any:
    """Send one request; return its JSON, or ``None`` without an answer."""
    request = urllib.request.Request(
        f'http://{address}{path}',
        method=method,
        data=None if body is None else json.dumps(body).encode(),
        headers={'Authorization': f'Bearer {TOKEN}'},
    )
    try:
        with urllib.request.urlopen(request, timeout=15) as answer:
            return json.loads(answer.read())
    except urllib.error.HTTPError as error:
        error.close()
        return None
    except (OSError, ValueError):
        return None


def read_lines(bench: Bench, host: str) -> list[dict[str, Any]]:
    """Return what a process of nodes has printed."""
    log = bench.processes.read_log(host)
    return [json.loads(line) for line in log.splitlines() if line[:1] == '{']


def find_delays(
    bench: Bench, lines: list[dict[str, Any]]
) -> tuple[list[float], int]:
    """Return each change's delay at each node, and the changes missed."""
    applied: dict[str, list[tuple[int, float]]] = {}
    for line in lines:
        if 'node' in line:
            one = applied.setdefault(line['node'], [])
            one.append((line['revision'], line['at']))
    delays = []
    missing = 0
    for revision, sent in bench.sent.items():
        for steps in applied.values():
            at = [when for number, when in steps if number >= revision]
            missing += not at
            delays += [min(at) - sent] if at else []
    return delays, missing


def find_window(
    lines: list[dict[str, Any]], begin: float, end: float
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return the first and the last sample within a time."""
    samples = [
        line for line in lines if 'cpu' in line and begin <= line['at'] <= end
    ]
    return samples[0], samples[-1]


def list_alive(bench: Bench) -> list[str]:
    """Return the control instances that run."""
    return [name for name in bench.api if name in bench.processes.running]


def read_control_cpu(bench: Bench) -> float:
    """Return the processor time of the control instances, in seconds."""
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


def find_addresses(count: int) -> list[str]:
    """Return free addresses; the system names the ports."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind(('127.0.0.1', 0))
        return [f'127.0.0.1:{one.getsockname()[1]}' for one in sockets]


def describe(result: Result) -> dict[str, Any]:
    """Return the figures of one run, rounded."""
    return {
        'nodes': result.nodes,
        'changes_per_s': result.rate,
        'in_force_p50_s': round(find_quantile(result.delays, 0.5), 3),
        'in_force_p99_s': round(find_quantile(result.delays, 0.99), 3),
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
    runs: dict[tuple[int, float], Result], one: Result, killed: Result
) -> dict[str, float]:
    """Return the figures of the last line."""
    by_size = [runs[size, RATE] for size in SIZES]
    by_rate = [runs[SIZES[1], rate] for rate in RATES]
    largest = by_size[-1]
    return {
        'apply_to_in_force_p99_s': round(
            find_quantile(killed.delays, 0.99), 3
        ),
        'control_bytes_per_node_s': round(largest.bytes_rate / largest.nodes),
        'control_cpu_share_per_node': round(
            largest.cpu_share / largest.nodes, 5
        ),
        'control_rss_mb_per_node': round(one.node_rss / 1e6, 1),
        'failover_s': round(killed.failover, 2),
        'slope_bytes_per_change': round(
            find_slope(
                [(run.rate, run.bytes_rate / run.nodes) for run in by_rate]
            ),
            1,
        ),
        'slope_bytes_per_node': round(
            find_slope([(run.nodes, run.bytes_rate) for run in by_size]), 1
        ),
        'slope_control_cores_per_node': round(
            find_slope(
                [(run.nodes, run.control_cpu or 0.0) for run in by_size]
            ),
            6,
        ),
        'slope_control_rss_kb_per_node': round(
            find_slope([(run.nodes, run.control_rss) for run in by_size])
            / 1e3,
            1,
        ),
    }


def find_quantile(values: tuple[float, ...], share: float) -> float:
    """Return the value that this share does not exceed."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def find_slope(points: list[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    under = sum((x - mean_x) ** 2 for x, _ in points)
    return over / under


if __name__ == '__main__':
    raise SystemExit(main())

"""Measure broken flows and imbalance during planned changes and a failure.

Runs the example's processes with callers that keep their flows open while the
balancers restart one after another, a target is drained and a balancer is
killed.
"""

from __future__ import annotations

from collections import Counter
import json
from pathlib import Path
import resource
import sys
import threading
import time

import attrs
from demo import claim_network
from demo import DAEMON
from demo import Deployment
from demo import is_clean
from demo import prepare_deployment
from demo import run_command
from demo import start_system
from demo import wait_for_health
from processes import fetch_json
from processes import manage_processes
from processes import Processes
from processes import RunError
from processes import set_import_path
from processes import wait_until

#: Number of caller processes; a single one cannot keep up with all flows.
CALLERS = 4

#: Number of concurrent flows of orders of each caller process.
FLOWS_PER_CALLER = 250

#: Number of concurrent flows of orders.
FLOWS = CALLERS * FLOWS_PER_CALLER

#: Time over which a caller opens its flows, in seconds.
RAMP_DURATION = 25.0

#: Longest wait for all flows to be established, and for each caller to exit,
#: in seconds.
WAIT_TIMEOUT = 150.0

#: Largest ratio of the flows of the busiest target to the mean.
IMBALANCE_MAX = 1.25

#: Longest time from the drain command to the last request that starts at the
#: drained target, in seconds.
DRAIN_MAX = 3.0

#: Time for which the drained target is polled, in seconds.
DRAIN_OBSERVATION = 8.0

#: Time between two polls of the drained target, in seconds.
POLL_INTERVAL = 0.02

#: Longest graceful shutdown of a balancer, in seconds.
STOP_TIMEOUT = 10.0

#: Last octets of the balancers' addresses.
BALANCERS = (1, 2, 3)

#: Last octets of the addresses of soapfloor's agents.
AGENTS = (1, 2, 3)

#: Name of the target that is drained, and the last octet of its address.
DRAINED_TARGET = ('soapfloor-2', 2)

#: Template of a caller's settings: orders on flows that stay open during
#: every change.
ORDERS = """
ca = '{folder}/ca.pem'
seed = {seed}
targets = [{targets}]
[[work]]
kind = 'orders'
service = 'soapfloor'
address = '{network}0.1:4433'
authority = 'soapfloor.example'
flows = {flows}
ramp = {ramp}
requests = 8
pause = 10.0
"""

#: Template of the long feeds and uploads that the first caller runs, too.
LONG_WORK = """
[[work]]
kind = 'feed'
service = 'soapfloor'
address = '{network}0.1:4433'
authority = 'soapfloor.example'
flows = 3
lines = 700
interval = 0.1
timeout = 120.0
[[work]]
kind = 'upload'
service = 'intake'
address = '{network}0.2:4433'
authority = 'intake.example'
flows = 2
size = 20000000
rate = 300000.0
timeout = 120.0
"""


@attrs.frozen
class Measurements:
    """Figures of one run.

    :param established: flows of soapfloor when all were established
    :param imbalance: flows of the busiest target over the mean
    :param drain: time from the drain command to the last request that started
        at the drained target, in seconds
    :param counts: counts of the callers and targets
    :param agent_kb: memory of soapfloor's agents for each flow, in KB
    :param balancer_kb: memory of the balancers for each flow, in KB
    """

    established: int
    imbalance: float
    drain: float
    counts: dict[str, int]
    agent_kb: float
    balancer_kb: float


def main() -> int:
    """Measure, and print the figures as one line of JSON.

    :returns: 0 when every bound holds, else 1
    """
    set_import_path(sorted(Path('packages').glob('*/src')))
    with claim_network() as claim:
        deployment = prepare_deployment(claim.getsockname()[0])
        with manage_processes(deployment.folder) as processes:
            try:
                start_system(deployment, processes)
                measurements = run_changes(deployment, processes)
            except RunError as error:
                print(f'measure-flows: {error}; logs in {deployment.folder}')
                return 1
    return report(measurements)


def report(measurements: Measurements) -> int:
    """Print the figures and compare them with the bounds.

    :returns: exit status
    """
    line = {
        'established': measurements.established,
        'broken': measurements.counts['broken_flows'],
        'imbalance_max_over_mean': round(measurements.imbalance, 3),
        'drain_to_no_new_work_s': round(measurements.drain, 2),
        'agent_kb_per_flow': round(measurements.agent_kb, 1),
        'balancer_kb_per_flow': round(measurements.balancer_kb, 2),
        **{
            name: count
            for name, count in measurements.counts.items()
            if name != 'broken_flows'
        },
    }
    print(json.dumps(line))
    within_bounds = (
        measurements.established >= FLOWS
        and measurements.imbalance <= IMBALANCE_MAX
        and measurements.drain <= DRAIN_MAX
        and is_clean(measurements.counts)
    )
    return 0 if within_bounds else 1


def run_changes(deployment: Deployment, processes: Processes) -> Measurements:
    """Keep flows open during a rolling restart, a drain and a kill."""
    agents = [f'agents-soapfloor-{number}' for number in AGENTS]
    balancers = [f'balancers-balancer-{number}' for number in BALANCERS]
    before = [sum_memory(processes, names) for names in (agents, balancers)]
    start_callers(deployment, processes)
    flow_counts: list[int] = []

    def are_flows_established() -> bool:
        flow_counts[:] = [count_flows(deployment, number) for number in AGENTS]
        return sum(flow_counts) >= FLOWS

    wait_until(
        'every flow is established', are_flows_established, WAIT_TIMEOUT
    )
    after = [sum_memory(processes, names) for names in (agents, balancers)]
    restart_balancers(deployment, processes)
    drain = measure_drain(deployment)
    processes.kill('balancers-balancer-3')
    counts = sum_counts(processes)
    mean = sum(flow_counts) / len(flow_counts)
    agent_kb, balancer_kb = (
        (end - start) / sum(flow_counts)
        for start, end in zip(before, after, strict=True)
    )
    return Measurements(
        established=sum(flow_counts),
        imbalance=max(flow_counts) / mean,
        drain=drain,
        counts=counts,
        agent_kb=agent_kb,
        balancer_kb=balancer_kb,
    )


def sum_memory(processes: Processes, names: list[str]) -> int:
    """Return the sum of the processes' resident memory, in KB."""
    files = (
        Path(f'/proc/{processes.running[name].pid}/statm') for name in names
    )
    pages = [int(file.read_text().split()[1]) for file in files]
    return sum(pages) * resource.getpagesize() // 1024


def start_callers(deployment: Deployment, processes: Processes) -> None:
    """Write the callers' settings and start the callers."""
    targets = ', '.join(
        f"'http://{deployment.network}3.{number}:8000'"
        for number in range(1, 6)
    )
    for number in range(CALLERS):
        settings = deployment.settings / f'caller-{number}.toml'
        text = ORDERS if number else ORDERS + LONG_WORK
        settings.write_text(
            text.format(
                folder=deployment.folder,
                network=deployment.network,
                targets=targets,
                flows=FLOWS_PER_CALLER,
                ramp=RAMP_DURATION,
                seed=number + 1,
            )
        )
        name = f'caller-{number}'
        processes.start(name, 'pistachiohook_standins.caller', settings)


def sum_counts(processes: Processes) -> dict[str, int]:
    """Wait for the callers to exit, and sum up their counts.

    :raises RunError: when a caller does not exit or has printed no counts
    """
    total: Counter[str] = Counter()
    for number in range(CALLERS):
        name = f'caller-{number}'
        processes.wait(name, WAIT_TIMEOUT)
        total.update(read_counts(processes.read_log(name)))
    return dict(total)


def read_counts(log: str) -> dict[str, int]:
    """Return the counts from the last line of JSON of a caller's log.

    :raises RunError: when there is no such line
    """
    lines = [line for line in log.splitlines() if line.startswith('{')]
    if not lines:
        raise RunError('a caller printed no counts')
    counts: dict[str, int] = json.loads(lines[-1])
    return counts


def count_flows(deployment: Deployment, number: int) -> int:
    """Return the number of open flows of an agent.

    :param number: last octet of its address
    """
    url = f'http://{deployment.network}3.{number}:8080/histograms'
    counts = (fetch_json(url) or {'counts': {}})['counts']
    opened: int = counts.get('flows_opened', 0)
    ended: int = counts.get('flows_ended', 0)
    return opened - ended


def restart_balancers(deployment: Deployment, processes: Processes) -> None:
    """Restart the balancers one after another.

    Each is shut down gracefully and must be healthy before the next one.
    """
    for number in BALANCERS:
        name = f'balancers-balancer-{number}'
        processes.stop(name, STOP_TIMEOUT)
        settings = (
            deployment.settings / 'balancers' / f'balancer-{number}.toml'
        )
        processes.start(name, DAEMON, settings)
        wait_for_health(deployment, processes, [f'1.{number}'])


def measure_drain(deployment: Deployment) -> float:
    """Drain a target, and observe the requests that still start there.

    :returns: time from the drain command to the last request that started, in
        seconds
    """
    name, number = DRAINED_TARGET
    url = f'http://{deployment.network}3.{number}:8000/runs'
    started = time.monotonic()
    draining = threading.Thread(
        target=run_command, args=(deployment, 'drain', name)
    )
    draining.start()
    last, known = 0.0, count_runs(url)
    while (elapsed := time.monotonic() - started) < DRAIN_OBSERVATION:
        runs = count_runs(url)
        if runs > known:
            last, known = elapsed, runs
        time.sleep(POLL_INTERVAL)
    draining.join()
    return last


def count_runs(url: str) -> int:
    """Return how many runs of requests a target has started.

    :param url: address of the target's report of its runs
    """
    runs: dict[str, int] = (fetch_json(url) or {'runs': {}})['runs']
    return sum(runs.values())


if __name__ == '__main__':
    sys.exit(main())

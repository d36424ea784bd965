"""Broken flows and imbalance over planned changes, on real processes."""

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

#: Caller processes; one could not keep up with all flows.
CALLERS = 4

#: Flows of orders that each caller process holds at once.
FLOWS_EACH = 250

#: Flows of orders that are held at once.
FLOWS = CALLERS * FLOWS_EACH

#: Time over which they begin, in seconds.
RAMP = 25.0

#: Longest wait for the flows and for the callers, in seconds.
PATIENCE = 150.0

#: Most that the busiest target may have of the mean.
IMBALANCE_MAX = 1.25

#: Longest time from a drain to no new work, in seconds.
DRAIN_MAX = 3.0

#: Time in which work at the drained target is looked at, in seconds.
DRAIN_WATCH = 8.0

#: Time between two looks at the drained target, in seconds.
LOOK_INTERVAL = 0.02

#: Longest graceful shutdown of a balancer, in seconds.
STOP_TIMEOUT = 10.0

#: Balancers by the last number of their addresses.
BALANCERS = (1, 2, 3)

#: Agents of soapfloor by the last number of their addresses.
AGENTS = (1, 2, 3)

#: The target that is drained, and the last number of its address.
DRAINED = ('soapfloor-2', 2)

#: Orders on flows that are held over every change.
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

#: Long feeds and uploads beside them, of the first caller process.
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
class Findings:
    """What one run has shown.

    :param established: flows of soapfloor at the peak
    :param imbalance: busiest target over the mean
    :param drain: time from the drain to the last new work, in seconds
    :param counts: what callers and targets counted
    :param agent_kb: growth of soapfloor's agents a flow, in KB
    :param balancer_kb: growth of the balancers a flow, in KB
    """

    established: int
    imbalance: float
    drain: float
    counts: dict[str, int]
    agent_kb: float
    balancer_kb: float


def main() -> int:
    """Measure, and print one line of JSON.

    :returns: 0 when every bound holds, else 1
    """
    set_import_path(sorted(Path('packages').glob('*/src')))
    with claim_network() as claim:
        deployment = prepare_deployment(claim.getsockname()[0])
        with manage_processes(deployment.folder) as processes:
            try:
                start_system(deployment, processes)
                findings = run_changes(deployment, processes)
            except RunError as error:
                print(f'measure-flows: {error}; logs in {deployment.folder}')
                return 1
    return report(findings)


def report(findings: Findings) -> int:
    """Print the findings and compare them with the bounds."""
    line = {
        'established': findings.established,
        'broken': findings.counts['broken_flows'],
        'imbalance_max_over_mean': round(findings.imbalance, 3),
        'drain_to_no_new_work_s': round(findings.drain, 2),
        'agent_kb_per_flow': round(findings.agent_kb, 1),
        'balancer_kb_per_flow': round(findings.balancer_kb, 2),
        **{
            name: count
            for name, count in findings.counts.items()
            if name != 'broken_flows'
        },
    }
    print(json.dumps(line))
    good = (
        findings.established >= FLOWS
        and findings.imbalance <= IMBALANCE_MAX
        and findings.drain <= DRAIN_MAX
        and is_clean(findings.counts)
    )
    return 0 if good else 1


def run_changes(deployment: Deployment, processes: Processes) -> Findings:
    """Hold flows over a rolling restart, a drain and a kill."""
    agents = [f'agents-soapfloor-{number}' for number in AGENTS]
    balancers = [f'balancers-balancer-{number}' for number in BALANCERS]
    before = [sum_memory(processes, names) for names in (agents, balancers)]
    start_callers(deployment, processes)
    held: list[int] = []

    def is_ramped() -> bool:
        held[:] = [count_flows(deployment, number) for number in AGENTS]
        return sum(held) >= FLOWS

    wait_until('every flow is established', is_ramped, PATIENCE)
    after = [sum_memory(processes, names) for names in (agents, balancers)]
    restart_balancers(deployment, processes)
    drain = measure_drain(deployment)
    processes.kill('balancers-balancer-3')
    counts = sum_counts(processes)
    mean = sum(held) / len(held)
    agent_kb, balancer_kb = (
        (end - start) / sum(held)
        for start, end in zip(before, after, strict=True)
    )
    return Findings(
        established=sum(held),
        imbalance=max(held) / mean,
        drain=drain,
        counts=counts,
        agent_kb=agent_kb,
        balancer_kb=balancer_kb,
    )


def sum_memory(processes: Processes, names: list[str]) -> int:
    """Return the resident memory of some processes, in KB."""
    files = (
        Path(f'/proc/{processes.running[name].pid}/statm') for name in names
    )
    pages = [int(file.read_text().split()[1]) for file in files]
    return sum(pages) * resource.getpagesize() // 1024


def start_callers(deployment: Deployment, processes: Processes) -> None:
    """Start all callers' work."""
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
                flows=FLOWS_EACH,
                ramp=RAMP,
                seed=number + 1,
            )
        )
        name = f'caller-{number}'
        processes.start(name, 'pistachiohook_standins.caller', settings)


def sum_counts(processes: Processes) -> dict[str, int]:
    """Wait for the callers and add up what they counted.

    :raises RunError: when one does not end
    """
    total: Counter[str] = Counter()
    for number in range(CALLERS):
        name = f'caller-{number}'
        processes.wait(name, PATIENCE)
        total.update(read_counts(processes.read_log(name)))
    return dict(total)


def read_counts(log: str) -> dict[str, int]:
    """Return the last line of JSON of a caller's log.

    :raises RunError: when there is none
    """
    lines = [line for line in log.splitlines() if line.startswith('{')]
    if not lines:
        raise RunError('a caller gave no counts')
    counts: dict[str, int] = json.loads(lines[-1])
    return counts


def count_flows(deployment: Deployment, number: int) -> int:
    """Return the flows that an agent holds."""
    url = f'http://{deployment.network}3.{number}:8080/histograms'
    counts = (fetch_json(url) or {'counts': {}})['counts']
    opened: int = counts.get('flows_opened', 0)
    ended: int = counts.get('flows_ended', 0)
    return opened - ended


def restart_balancers(deployment: Deployment, processes: Processes) -> None:
    """Restart one balancer after another, in order."""
    for number in BALANCERS:
        name = f'balancers-balancer-{number}'
        processes.stop(name, STOP_TIMEOUT)
        settings = (
            deployment.settings / 'balancers' / f'balancer-{number}.toml'
        )
        processes.start(name, DAEMON, settings)
        wait_for_health(deployment, processes, [f'1.{number}'])


def measure_drain(deployment: Deployment) -> float:
    """Drain a target and look at the work that still begins there.

    :returns: time from the command to the last new work, in seconds
    """
    name, number = DRAINED
    url = f'http://{deployment.network}3.{number}:8000/runs'
    started = time.monotonic()
    draining = threading.Thread(
        target=run_command, args=(deployment, 'drain', name)
    )
    draining.start()
    last, known = 0.0, count_runs(url)
    while (elapsed := time.monotonic() - started) < DRAIN_WATCH:
        runs = count_runs(url)
        if runs > known:
            last, known = elapsed, runs
        time.sleep(LOOK_INTERVAL)
    draining.join()
    return last


def count_runs(url: str) -> int:
    """Return the runs that a target has begun."""
    runs: dict[str, int] = (fetch_json(url) or {'runs': {}})['runs']
    return sum(runs.values())


if __name__ == '__main__':
    sys.exit(main())

"""Remove one safeguard at a time, and let the flow explorer find the fault.

Each fault is inserted into a scratch copy of the checkout.
"""

from __future__ import annotations

import os
from pathlib import Path
import re
import shutil
import subprocess
import sys
import tempfile
import time

import attrs
import cyclopts

#: Folder of the code with the safeguards.
CODE = Path('packages/pistachiohook-core/src/pistachiohook_core/passthrough')

#: Folders of the checkout that the explorer needs.
COPIED = ('packages', 'platform', 'tests', 'tools')

#: First seeds of the searches for one fault.
FIRST_SEEDS = (0, 10_000, 20_000)

#: Bounds of each search.
SCHEDULES_MAX = 2_000
SECONDS_MAX = 300.0

_FOUND = re.compile(r'found by schedule (\d+) after ([\d.]+) s: (.*)')


@attrs.frozen
class KnownFault:
    """A safeguard to remove.

    :param name: what the code does without it
    :param file: file below :data:`CODE`
    :param present: its text in the current code, which must occur once
    :param replaced: the text without it
    """

    name: str
    file: str
    present: str
    replaced: str


@attrs.frozen
class Search:
    """Result of a search: the number of schedules is 0 if nothing was found.

    :param violation: the violated invariant, or why the search has failed
    """

    schedules: int
    seconds: float
    violation: str


KNOWN_FAULTS = (
    KnownFault(
        'an agent that stops leaves its flows with no balancer',
        'open_flows.py',
        """    return pack_flows(
        own, agent.service, agent.started, flows, complete, holders
    )
""",
        """    return pack_flows(
        own, agent.service, agent.started, flows, complete, ()
    )
""",
    ),
    KnownFault(
        'a balancer queries any number of agents that may own a flow',
        'owner_search.py',
        'GUESSES_MAX = 2\n',
        'GUESSES_MAX = 1_000_000\n',
    ),
    KnownFault(
        '`FlowReturned` is not remembered',
        'owner_search.py',
        """        entry.guessed.add(sender)
        entry.tried.add(sender)
    return []
""",
        """        entry.tried.add(sender)
    return []
""",
    ),
    KnownFault(
        'a new start of a target marks all known flows as lost',
        'agent.py',
        """        for flow in self.flows.values():
            if flow.state in accepted:
""",
        """        for key, flow in list(self.flows.items()):
            if flow.state is AgentFlowState.OPEN and flow.sequence:
                self.gone[key] = self._announced_at, flow.sequence
                drop_flow(self, key, flow)
            elif flow.state in accepted:
""",
    ),
    KnownFault(
        'an offer is not withdrawn before the flow is offered elsewhere',
        'offers.py',
        """    if previous is not None and previous != entry.agent:
        actions.append(Send(previous, WithdrawOffer(flow)))
    return actions
""",
        """    return actions
""",
    ),
    KnownFault(
        'an ended flow is claimed for any packet',
        'agent_flows.py',
        """    if flow.state is AgentFlowState.ENDED and flow.sequence:
        return not 0 < ahead < GONE_RANGE
""",
        """    if flow.state is AgentFlowState.ENDED:
        return False
""",
    ),
)


def insert_fault(folder: Path, fault: KnownFault) -> None:
    """Remove a safeguard from a copy of the checkout.

    :raises ValueError: the code has changed, and the list must follow it
    """
    path = folder / CODE / fault.file
    text = path.read_text()
    if text.count(fault.present) != 1:
        raise ValueError(f'safeguard not found in {fault.file}: {fault.name}')
    path.write_text(text.replace(fault.present, fault.replaced))


def search_for_fault(
    folder: Path, first: int, schedules: int, seconds_max: float
) -> Search:
    """Run the explorer of a copy of the checkout from one seed on."""
    environment = {
        **os.environ,
        'PYTHONPATH': ':'.join(
            str(path)
            for path in (
                *sorted(folder.glob('packages/*/src')),
                folder / 'platform',
                folder / 'tools',
            )
        ),
    }
    seeds = f'{first}-{first + schedules - 1}'
    command = [sys.executable, 'tools/explore_flows.py', '--no-shrinks']
    begin = time.monotonic()
    try:
        finished = subprocess.run(
            [*command, '--seeds', seeds],
            cwd=folder,
            env=environment,
            capture_output=True,
            check=False,
            text=True,
            timeout=seconds_max,
        )
    except subprocess.TimeoutExpired:
        return Search(0, seconds_max, 'out of time')
    seconds = time.monotonic() - begin
    found = _FOUND.search(finished.stdout)
    if found:
        return Search(int(found[1]), seconds, found[3])
    if finished.returncode:
        return Search(0, seconds, f'the explorer failed: {finished.stderr}')
    return Search(0, seconds, 'nothing found')


def search_beyond_current(source: Path, folder: Path, first: int) -> Search:
    """Search for a schedule that the current code passes.

    What the current code violates too does not show the fault.
    """
    tried, seconds = 0, 0.0
    while tried < SCHEDULES_MAX and seconds < SECONDS_MAX:
        search = search_for_fault(
            folder,
            first + tried,
            SCHEDULES_MAX - tried,
            SECONDS_MAX - seconds,
        )
        seconds += search.seconds
        if not search.schedules:
            return attrs.evolve(search, seconds=seconds)
        tried += search.schedules
        current = search_for_fault(source, first + tried - 1, 1, SECONDS_MAX)
        if current.violation == 'nothing found':
            return Search(tried, seconds, search.violation)
    return Search(0, seconds, 'nothing found beyond the current code')


def try_fault(source: Path, scratch: Path, fault: KnownFault) -> bool:
    """Search for one fault with all first seeds; print the results."""
    folder = scratch / 'checkout'
    for name in COPIED:
        shutil.copytree(source / name, folder / name)
    insert_fault(folder, fault)
    found = True
    for first in FIRST_SEEDS:
        search = search_beyond_current(source, folder, first)
        found = found and search.schedules > 0
        number = search.schedules or '-'
        print(
            f'| {fault.name} | {first} | {number} | {search.seconds:.1f}'
            f' | {search.violation} |',
            flush=True,
        )
    shutil.rmtree(folder)
    return found


def find_known_faults() -> int:
    """Search for every known fault, then search the current code.

    :returns: 0 when each fault was found with each first seed, and nothing was
        found in the current code; else 1
    """
    source = Path.cwd()
    print('| fault | first seed | schedules | seconds | violation |')
    print('|---|---|---|---|---|')
    with tempfile.TemporaryDirectory() as name:
        results = [
            try_fault(source, Path(name), fault) for fault in KNOWN_FAULTS
        ]
    current = search_for_fault(
        source, FIRST_SEEDS[0], SCHEDULES_MAX, SECONDS_MAX
    )
    passed = current.violation in ('nothing found', 'out of time')
    print(
        f'| none: the current code | {FIRST_SEEDS[0]} |'
        f' {current.schedules or "-"} | {current.seconds:.1f}'
        f' | {current.violation} |'
    )
    print(f'{sum(results)} of {len(results)} known faults found')
    return 0 if passed and all(results) else 1


if __name__ == '__main__':
    sys.exit(cyclopts.run(find_known_faults))

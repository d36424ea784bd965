"""Two kills in a row and a final fault: is an acknowledged change gone?"""

import asyncio
import json
import os
from pathlib import Path
import sys
import time

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'lib'))

from http_client import call  # noqa: E402
from system import BOUNDS  # noqa: E402
from system import make_configuration  # noqa: E402
from system import make_route  # noqa: E402
from system import OFFSETS  # noqa: E402
from system import System  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = ('ing-nord', 'ing-sued', 'eichstaett', 'neuburg')
#: Deployments that are played at the same time, and one after the other until
#: one has lost a change.
AT_ONCE, WAVES = 4, 4
#: Machines start within this time of each other, in seconds.
START_SPREAD = 0.3
#: Time between the two kills, in seconds.
KILL_GAP = 2.05
#: How long machines are down, after a kill and in the final fault, in seconds.
KILLED_DOWN, FINAL_DOWN = 3.5, 0.6
CONFIG_TIME = BOUNDS['ConfigMs'] / 1000
RECOVERY = BOUNDS['RecoveryS']


class Deployment:
    """Four control instances with a disk each, and their operator.

    :param outcome: what became of the last acknowledged change
    """

    def __init__(self, number, shared):
        self.number = number
        self.system = System(CASE, ZONES, network=80 + number % AT_ONCE)
        self.system.lines, self.system.begin = shared.lines, shared.begin
        for zone in ZONES:
            self.system.add_front(zone, roles=('control',))
        self.machines = self.system.fronts
        self.version = 0
        self.accepted = 0, 0.0
        self.outcome = 'not played'

    def record(self, what, **fields):
        self.system.record(what, deployment=self.number, **fields)

    async def find_leader(self):
        """Return the machine that the instances name as the leader."""
        # Port of the health endpoint of control among the internal ones.
        port = self.system.first_port + OFFSETS['internal'] + 6
        names = set()
        for machine in self.machines:
            status, body = await call(
                (machine.host, port), 'GET', '/health', None, 0.5
            )
            if status == 200:
                names.add(json.loads(body)['reason'].rpartition(' ')[2])
        leaders = [
            machine
            for machine in self.machines
            if any(name.startswith(machine.host + ':') for name in names)
        ]
        return leaders[0] if len(leaders) == 1 else None

    async def put(self, machines, seconds):
        """Send a new version to each node in turn until one accepts it."""
        self.version += 1
        route = make_route('r', '198.18.0.1', 8443, 'leihtheke')
        route['TimeoutMs'] = 1500 + self.version
        document = make_configuration(self.version, [route], ['leihtheke'])
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            machine = machines[number % len(machines)]
            number += 1
            status, _ = await call(
                machine.address('control'),
                'POST',
                '/Config.Put',
                document,
                1.0,
            )
            if status == 200:
                self.accepted = self.version, time.monotonic()
                self.record(
                    'acknowledged', version=self.version, by=machine.name
                )
                return True
            await asyncio.sleep(0.05)
        self.record('no clear answer', version=self.version)
        return False

    async def read(self, machine):
        """Return the version that a node shows; 0 without an answer."""
        status, body = await call(
            machine.address('control'), 'GET', '/Config.Get', None, 1.0
        )
        return json.loads(body)['Version'] if status == 200 else 0

    async def start(self):
        """Start all machines, the last one a little later."""
        self.system.seeds = [
            machine.text('control') for machine in self.machines[:3]
        ]
        for machine in self.machines[:3]:
            machine.start()
        await asyncio.sleep(START_SPREAD)
        self.machines[3].start()
        if not await self.put(self.machines, 15.0):
            return False
        for machine in self.machines:
            machine.bootstrap = False
        await asyncio.sleep(4.0)
        return True

    def kill(self, machine):
        machine.kill()
        self.record('killed', machine=machine.name)

    async def play(self):
        if not await self.start():
            return
        leader = await self.find_leader()
        if leader is None or leader is self.machines[3]:
            return
        first, second = (
            one for one in self.machines[:3] if one is not leader
        )
        self.record('leader', machine=leader.name)
        if not await self.put([leader], 3.0):
            return
        if TROUBLE:
            await self.disturb(leader, first, second)
        else:
            await asyncio.sleep(KILL_GAP)
            await self.put([leader], 3.0)
        await self.judge()

    async def disturb(self, leader, first, second):
        """Kill two machines; then comes the final fault after a change."""
        begin = time.monotonic()
        self.kill(first)
        await asyncio.sleep(begin + KILL_GAP - time.monotonic())
        self.kill(second)
        await self.put([leader, self.machines[3]], KILLED_DOWN - 1.0)
        for machine in self.machines:
            machine.kill()
        leader.lose_disk()
        self.record('final fault', disk_lost=leader.name)
        await asyncio.sleep(FINAL_DOWN)
        # They come back within the spread, the one that was added last too.
        for machine in (leader, second, first, self.machines[3]):
            machine.start()
            await asyncio.sleep(START_SPREAD / 3)
        self.record('all started')

    async def judge(self):
        """Read what is in force until all are back for long enough."""
        version, at = self.accepted
        end = time.monotonic() + RECOVERY
        found = []
        while time.monotonic() < end:
            await asyncio.sleep(0.5)
            found = await asyncio.gather(*map(self.read, self.machines))
            self.record('read', acknowledged=version, found=found)
            if min(found) >= version:
                self.outcome = 'kept'
                return
        due = time.monotonic() - at > CONFIG_TIME
        stale = due and any(0 < one < version for one in found)
        self.outcome = 'LOST' if stale else 'unclear'
        self.record(self.outcome, acknowledged=version, found=found)


class Shared:
    """The lines that all deployments write."""

    def __init__(self):
        self.lines, self.begin = [], time.monotonic()


async def play_and_stop(deployment, delay):
    await asyncio.sleep(delay)
    try:
        await deployment.play()
    finally:
        deployment.system.stop()


async def play(shared):
    outcomes = []
    for wave in range(WAVES):
        deployments = [
            Deployment(wave * AT_ONCE + one, shared) for one in range(AT_ONCE)
        ]
        await asyncio.gather(
            *(
                play_and_stop(deployment, 0.5 * number)
                for number, deployment in enumerate(deployments)
            )
        )
        outcomes += [deployment.outcome for deployment in deployments]
        if 'LOST' in outcomes:
            break
    return outcomes


def main():
    shared = Shared()
    writer = System(CASE)
    writer.lines, writer.begin = shared.lines, shared.begin
    outcomes = []
    try:
        outcomes = asyncio.run(play(shared))
    finally:
        counts = {
            name.replace(' ', '_'): outcomes.count(name)
            for name in sorted(set(outcomes))
        }
        writer.record('result', deployments=len(outcomes), **counts)
        writer.stop()
        writer.write_record()
    if 'LOST' in outcomes:
        return 1
    return 0 if outcomes.count('kept') >= AT_ONCE else 2


if __name__ == '__main__':
    sys.exit(main())

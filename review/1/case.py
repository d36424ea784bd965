"""Just after the repair of one disk, a second one is lost."""

import asyncio
import itertools
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
#: Clusters that are played at the same time, each on addresses of its own.
CLUSTERS = int(os.environ.get('CLUSTERS', '4'))
#: When a round of the last cluster may begin at the latest, in seconds.
LAST_BEGIN = 75.0
#: Time from when the repaired instance knows the leader to the kill of the
#: third one, in seconds; each round takes the next one in turn.
DELAYS = (0.06, 0.08, 0.1, 0.04, 0.07, 0.09, 0.12, 0.05, 0.02, 0.14, 0.0)
#: How long the machines are down, in seconds.
WIPED_DOWN, KILLED_DOWN, SECOND_WIPED_DOWN, DARK = 3.0, 3.5, 1.0, 3.5
CATCH_UP = BOUNDS['CatchUpS']
CONFIG_TIME = BOUNDS['ConfigMs'] / 1000
RECOVERY = BOUNDS['RecoveryS']


class Cluster:
    """Three control instances and their operator."""

    def __init__(self, number, record, tries):
        self.number, self.tries, self.shared = number, tries, record
        self.rounds = 0
        self.system = System(CASE, network=80 + number)
        self.system.lines = record.lines
        self.system.begin = record.begin
        for zone in self.system.zones:
            self.system.add_front(zone, roles=('control',))
        self.machines = self.system.fronts
        self.version = 0
        self.accepted = (0, 0.0)
        self.broken = 0
        self.acknowledged = 0
        self.stuck = 0

    def record(self, what, **fields):
        self.system.record(what, cluster=self.number, **fields)

    async def ask_leader(self, machine):
        """Return the leader that an instance knows; empty without one."""
        # Port of the health endpoint of control among the internal ones.
        port = self.system.first_port + OFFSETS['internal'] + 6
        status, body = await call(
            (machine.host, port), 'GET', '/health', None, 0.5
        )
        if status != 200:
            return ''
        return json.loads(body)['reason'].rpartition(' ')[2]

    async def find_leader(self):
        """Return the machine that leads, as the instances say."""
        names = {await self.ask_leader(one) for one in self.machines}
        names.discard('')
        for machine in self.machines:
            if any(name.startswith(machine.host + ':') for name in names):
                return machine if len(names) == 1 else None
        return None

    async def put(self, seconds):
        """Send a new version to each node in turn until one accepts it."""
        self.version += 1
        route = make_route('r', '198.18.0.1', 8443, 'orders')
        route['TimeoutMs'] = 1500 + self.version
        document = make_configuration(self.version, [route], ['orders'])
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            machine = self.machines[number % 3]
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
                self.acknowledged += 1
                self.record(
                    'acknowledged', version=self.version, by=machine.name
                )
                return True
            await asyncio.sleep(0.1)
        self.record('no clear answer', version=self.version)
        return False

    async def read(self, machine):
        """Read at one node; note an answer that is older than allowed."""
        version, at = self.accepted
        due = time.monotonic() - at > CONFIG_TIME
        status, body = await call(
            machine.address('control'), 'GET', '/Config.Get', None, 1.0
        )
        if status != 200:
            return 0
        found = json.loads(body)['Version']
        if due and found < version:
            self.broken += 1
            self.shared.lost = True
            self.record(
                'BROKEN CONFIG',
                read=found,
                acknowledged=version,
                by=machine.name,
                seconds_ago=f'{time.monotonic() - at:.1f}',
            )
        return found

    async def read_for(self, seconds, until_read=False):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = await asyncio.gather(*map(self.read, self.machines))
            if until_read and min(found) >= self.accepted[0]:
                return True
            if self.broken:
                return False
            await asyncio.sleep(0.3)
        return False

    async def restart_empty(self, machine, down):
        machine.kill()
        machine.lose_disk()
        self.record('killed, disk lost', machine=machine.name)
        await asyncio.sleep(down)
        machine.start()
        self.record('started, empty', machine=machine.name)

    async def restart(self, machine, down):
        machine.kill()
        self.record('killed', machine=machine.name)
        await asyncio.sleep(down)
        machine.start()
        self.record('started', machine=machine.name)

    async def play_round(self, delay):
        """Repair one machine, then lose the disk of the leader.

        :returns: whether another round may follow
        """
        leader = await self.find_leader()
        if leader is None:
            await asyncio.sleep(0.5)
            return True
        repaired, other = (
            one for one in self.machines if one is not leader
        )
        self.record(
            'round', leader=leader.name, delay=f'{delay:.3f}'
        )
        if not TROUBLE:
            await self.put(3.0)
            await asyncio.sleep(4.0)
            await self.read_for(1.0)
            return True
        self.rounds += 1
        await self.restart_empty(repaired, WIPED_DOWN)
        begin = time.monotonic()
        while not await self.ask_leader(repaired):
            if time.monotonic() - begin > 10.0:
                return await self.recover()
            await asyncio.sleep(0.005)
        await asyncio.sleep(delay)
        back = asyncio.create_task(self.restart(other, KILLED_DOWN))
        await asyncio.sleep(0.3)
        if not await self.put(KILLED_DOWN - 1.0):
            await back
            return await self.recover()
        # The repaired machine counts as lost for this long after its start.
        await asyncio.sleep(begin + CATCH_UP + 0.05 - time.monotonic())
        dark = asyncio.create_task(self.restart(repaired, DARK))
        empty = asyncio.create_task(
            self.restart_empty(leader, SECOND_WIPED_DOWN)
        )
        reading = asyncio.create_task(self.read_for(DARK))
        await asyncio.gather(back, dark, empty, reading)
        if self.broken:
            await asyncio.sleep(RECOVERY)
            found = [await self.read(one) for one in self.machines]
            self.record(
                'read at the end', acknowledged=self.accepted[0], read=found
            )
        return await self.recover()

    async def recover(self):
        """Wait until all nodes show what was acknowledged."""
        if self.broken:
            return False
        if not await self.read_for(RECOVERY, until_read=True):
            self.stuck += not self.broken
            return False
        # A disk counts as lost for a while after it is back.
        await asyncio.sleep(CATCH_UP)
        return True

    async def play(self):
        await self.system.start()
        if not await self.put(15.0):
            return
        await asyncio.sleep(2.0)
        while (
            time.monotonic() - self.system.begin < LAST_BEGIN
            and not self.shared.lost
        ):
            if not await self.play_round(next(self.tries)):
                return


class Record:
    """What all clusters share.

    :param lost: whether a cluster has lost an acknowledged change
    """

    def __init__(self):
        self.lines, self.begin = [], time.monotonic()
        self.lost = False


async def play(clusters):
    async def play_later(cluster):
        await asyncio.sleep(0.7 * cluster.number)
        await cluster.play()

    await asyncio.gather(*map(play_later, clusters))


def main():
    record = Record()
    tries = itertools.cycle(DELAYS)
    clusters = [Cluster(one, record, tries) for one in range(CLUSTERS)]
    try:
        asyncio.run(play(clusters))
    finally:
        for cluster in clusters:
            cluster.system.stop()
        broken = sum(cluster.broken > 0 for cluster in clusters)
        acknowledged = sum(cluster.acknowledged for cluster in clusters)
        clusters[0].system.record(
            'result',
            clusters=len(clusters),
            repairs=sum(cluster.rounds for cluster in clusters),
            acknowledged=acknowledged,
            clusters_that_lost_a_change=broken,
            clusters_stuck=sum(cluster.stuck > 0 for cluster in clusters),
        )
        clusters[0].system.write_record()
    if broken:
        return 1
    return 0 if acknowledged >= 2 * len(clusters) else 2


if __name__ == '__main__':
    sys.exit(main())

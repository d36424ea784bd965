"""A leader that was frozen answers a read without asking any other instance."""

import asyncio
import itertools
import json
import os
from pathlib import Path
import signal
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
ROUNDS = 5
#: When a round may begin at the latest, in seconds.
LAST_BEGIN = 95.0
#: Reads and orders that are in progress at once while operators are busy.
READERS, WRITERS = 8, 8
#: Time between the freeze of a follower and the kill of the leader, and for
#: how long the leader is down, in seconds.
FREEZE_TO_KILL, KILLED_DOWN = 1.1, 0.1
CATCH_UP = BOUNDS['CatchUpS']
CONFIG_TIME = BOUNDS['ConfigMs'] / 1000


class Deployment:
    """Three control instances and their operators.

    :param acknowledged: newest acknowledged version and when that was
    """

    def __init__(self):
        self.system = System(CASE)
        self.record = self.system.record
        for zone in self.system.zones:
            self.system.add_front(zone, roles=('control',))
        self.machines = self.system.fronts
        self.versions = itertools.count(1)
        self.acknowledged = []
        self.broken = 0
        self.reads = 0

    async def find_leader(self, asked):
        """Return the machine that an instance names as the leader."""
        # Port of the health endpoint of control among the internal ones.
        port = self.system.first_port + OFFSETS['internal'] + 6
        status, body = await call(
            (asked.host, port), 'GET', '/health', None, 0.5
        )
        if status != 200:
            return None
        name = json.loads(body)['reason'].rpartition(' ')[2]
        found = [one for one in self.machines if name.startswith(one.host)]
        return found[0] if found else None

    async def put(self, machine):
        version = next(self.versions)
        route = make_route('r', '198.18.0.1', 8443, 'orders')
        route['TimeoutMs'] = 1500 + version
        document = make_configuration(version, [route], ['orders'])
        status, _ = await call(
            machine.address('control'), 'POST', '/Config.Put', document, 1.0
        )
        if status == 200:
            self.acknowledged.append((version, time.monotonic()))
            self.record('acknowledged', version=version, by=machine.name)
        return version if status == 200 else 0

    async def read(self, machine):
        """Read at a node; note an answer that is older than allowed."""
        due = time.monotonic() - CONFIG_TIME
        oldest = max(
            (version for version, at in self.acknowledged if at < due),
            default=0,
        )
        status, body = await call(
            machine.address('control'), 'GET', '/Config.Get', None, 1.0
        )
        if status != 200:
            return 0
        self.reads += 1
        found = json.loads(body)['Version']
        self.record('read', version=found, by=machine.name)
        if found < oldest:
            self.broken += 1
            self.record(
                'BROKEN CONFIG',
                read=found,
                acknowledged_before=oldest,
                by=machine.name,
            )
        return found

    async def press(self, calls, number, seconds):
        """Keep a number of calls in progress for a time."""
        end = time.monotonic() + seconds

        async def repeat():
            while time.monotonic() < end:
                if not await calls():
                    await asyncio.sleep(0.01)

        await asyncio.gather(*(repeat() for _ in range(number)))

    def stop(self, machine):
        machine.send(signal.SIGSTOP)
        self.record('frozen', machine=machine.name)

    def resume(self, machine):
        machine.send(signal.SIGCONT)
        self.record('thawed', machine=machine.name)

    async def change_leader_process(self, leader, other, frozen):
        """Kill the leader while a follower is frozen and operators read.

        :returns: whether the same machine leads again
        """
        reading = asyncio.create_task(
            self.press(
                lambda: self.read(leader), READERS, 1.0 + FREEZE_TO_KILL
            )
        )
        await asyncio.sleep(1.0)
        if TROUBLE:
            self.stop(frozen)
        await reading
        if not TROUBLE:
            return True
        leader.kill()
        self.record('killed', machine=leader.name)
        await asyncio.sleep(KILLED_DOWN)
        leader.start()
        self.record('started', machine=leader.name)
        end = time.monotonic() + 5.0
        found = None
        while found is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
            found = await self.find_leader(other)
            if found is leader and await self.find_leader(leader) is None:
                found = None
        self.resume(frozen)
        await asyncio.sleep(0.5)
        return await self.find_leader(leader) is leader

    async def play_round(self):
        leader = await self.find_leader(self.machines[0])
        if leader is None:
            await asyncio.sleep(1.0)
            return
        other, frozen = (one for one in self.machines if one is not leader)
        self.record('round', leader=leader.name)
        if not await self.change_leader_process(leader, other, frozen):
            self.record('another machine leads now')
            await asyncio.sleep(CATCH_UP)
            return
        # From here on only one machine at a time is lost.
        await asyncio.sleep(CATCH_UP + 0.2)
        pressing = asyncio.create_task(
            self.press(lambda: self.put(leader), WRITERS, 0.5)
        )
        await asyncio.sleep(0.4)
        if TROUBLE:
            self.stop(leader)
        accepted, end = 0, time.monotonic() + 5.0
        while not accepted and time.monotonic() < end:
            accepted = await self.put(other) or await self.put(frozen)
        self.record('acknowledged by others', version=accepted)
        await pressing
        await asyncio.sleep(CONFIG_TIME + 0.15)
        reads = [
            asyncio.create_task(self.read(leader)) for _ in range(READERS)
        ]
        await asyncio.sleep(0.25)
        if TROUBLE:
            self.resume(leader)
        found = await asyncio.gather(*reads)
        self.record('read', by=leader.name, found=sorted(set(found)))
        await asyncio.sleep(CATCH_UP)

    async def play(self):
        await self.system.start()
        route = make_route('r', '198.18.0.1', 8443, 'orders')
        version = next(self.versions)
        document = make_configuration(version, [route], ['orders'])
        if await self.system.put(document, 15.0) is None:
            return
        await asyncio.sleep(3.0)
        for _ in range(ROUNDS):
            late = time.monotonic() - self.system.begin > LAST_BEGIN
            if self.broken or late:
                break
            await self.play_round()


def main():
    deployment = Deployment()
    try:
        asyncio.run(deployment.play())
    finally:
        deployment.system.stop()
        deployment.record(
            'result',
            acknowledged=len(deployment.acknowledged),
            reads=deployment.reads,
            older_than_allowed=deployment.broken,
        )
        deployment.system.write_record()
    if deployment.broken:
        return 1
    return 0 if deployment.reads > 100 else 2


if __name__ == '__main__':
    sys.exit(main())

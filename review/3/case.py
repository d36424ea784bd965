"""A route names another service, then all machines are restarted in turn."""

import asyncio
import os
from pathlib import Path
import sys

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'lib'))

from deployment import Deployment  # noqa: E402
from deployment import run  # noqa: E402
from system import make_route  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ENTRY = ('198.18.0.1', 8443)
#: Time between the SIGTERMs of two machines of a class, in seconds.
GAP = 1.3
FLOWS_PER_S, OPENING, PAUSES, AGE = 10.0, 8.0, (8.0, 13.0), 40.0


async def roll(machines):
    tasks = []
    for machine in machines:
        tasks.append(asyncio.create_task(machine.roll()))
        await asyncio.sleep(GAP)
    await asyncio.gather(*tasks)


async def play(deployment):
    system = deployment.system
    if not await deployment.start([make_route('r', *ENTRY, 'orders')]):
        return 2
    flows = deployment.spawn(
        deployment.open_flows(ENTRY, FLOWS_PER_S, OPENING, PAUSES, AGE)
    )
    await flows
    if not await deployment.configure([make_route('r', *ENTRY, 'newer')]):
        return 2
    await asyncio.sleep(6.0)
    if TROUBLE:
        await asyncio.gather(roll(system.sides), roll(system.fronts))
    await asyncio.sleep(AGE - 18.0)
    return deployment.judge(needed=100)


if __name__ == '__main__':
    run(Deployment(CASE, ['orders', 'newer']), play)

"""Endpoints crash and start again; are the flows of the new start reset?"""

import asyncio
import os
from pathlib import Path
import random
import sys

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'lib'))

from deployment import Deployment  # noqa: E402
from deployment import run  # noqa: E402
from system import make_route  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ENTRY = ('198.18.0.1', 8443)
#: When an endpoint crashes, in seconds after the traffic began, and for how
#: long it is down.
CRASHES = (3.0, 9.0, 15.0, 21.0)
DOWN = 0.3
FLOWS_PER_S, OPENING, PAUSES, AGE = 25.0, 23.0, (4.5, 5.5), 11.0


async def crash(endpoint):
    endpoint.crash()
    await asyncio.sleep(DOWN)
    # Reports are periodic; the first one of a start comes within an interval.
    endpoint.first_report = random.uniform(0.0, endpoint.interval)
    await endpoint.start()


async def play(deployment):
    if not await deployment.start([make_route('r', *ENTRY, 'orders')]):
        return 2
    flows = deployment.spawn(
        deployment.open_flows(ENTRY, FLOWS_PER_S, OPENING, PAUSES, AGE)
    )
    loop = asyncio.get_running_loop()
    begin = loop.time()
    for number, at in enumerate(CRASHES):
        await asyncio.sleep(begin + at - loop.time())
        if TROUBLE:
            endpoint = deployment.endpoints[number % 3]
            deployment.spawn(crash(endpoint))
    await flows
    await asyncio.sleep(AGE + 4.0)
    return deployment.judge(needed=500)


if __name__ == '__main__':
    run(Deployment(CASE, ['orders']), play)

"""At the first start the seeds are control instances without a disk."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-2'))

from stage import make_document
from stage import make_route
from stage import run
from stage import send_first

#: Time for which the first configuration is sent again and again, in seconds.
ACCEPTANCE = 60.0


async def case(stage, trouble):
    with_disk, without = [], []
    for number, zone in enumerate(stage.zones, 1):
        roles = 'balancer', 'control'
        with_disk.append(stage.add(f'front-{number}', zone, roles, disk=True))
        without.append(stage.add(f'front-{number + 3}', zone, roles))
    stage.seeds = without if trouble else with_disk
    for number in (1, 2):
        stage.add(f'side-{number}', 'z1', ('agent',), service='s')
    await stage.start()
    names = ', '.join(one.name for one in stage.seeds)
    stage.record.say(f'Seeds: {names}; with a disk: front-1, front-2, front-3')
    entry = '127.0.0.77', 8443
    document = make_document(7, [make_route('r-1', entry, 's')], ['s'])
    after = await send_first(stage, document, ACCEPTANCE)
    stage.record.say(
        f'first configuration: not accepted in {ACCEPTANCE:.0f} s'
        if after is None
        else f'first configuration: accepted after {after:.1f} s'
    )
    if after is not None:
        await asyncio.sleep(4.0)
    served = 0
    for number in range(20):
        flow = stage.new_flow('z1', entry)
        if await flow.open():
            served += await flow.request(f'request-{number}', 900, 2.0)
    ends = {
        one.name: len(one.processes['control'].ends) for one in stage.fronts
    }
    stage.record.say(f'ends of control processes by themselves: {ends}')
    stage.record.say(f'{served} of 20 requests served')
    # Fault: on half of the core, processes end by themselves three times with
    # no impairment there, or no request is served.
    core_ends = sum(ends[one.name] >= 3 for one in with_disk)
    return served == 0 or 2 * core_ends >= len(with_disk)


if __name__ == '__main__':
    sys.exit(run(case, Path(__file__).parent, ('z1', 'z2', 'z3')))

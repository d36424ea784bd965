"""An invalid configuration is acknowledged and ends every balancer."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-2'))

from stage import make_document
from stage import make_route
from stage import run

#: What stands between the slashes of the added route. No port is above 65535.
INVALID, VALID = '0000099999', '9443'


async def send_requests(stage, entry, number, name):
    """Return how many of some requests, each on a flow of its own, succeed."""

    async def send(index):
        flow = stage.new_flow('z1', entry)
        opened = await flow.open()
        done = opened and await flow.request(f'{name}-{index}', 900, 2.0)
        if not done:
            stage.record(f'request {name}-{index}: {flow.state}, no answer')
        return done

    tasks = []
    for index in range(number):
        tasks.append(asyncio.create_task(send(index)))
        await asyncio.sleep(0.05)
    return sum(await asyncio.gather(*tasks))


async def case(stage, trouble):
    for number, zone in enumerate(stage.zones, 1):
        stage.add(f'front-{number}', zone, ('balancer', 'control'), disk=True)
    stage.add('front-4', 'z1', ('balancer',))
    for number in range(1, 4):
        stage.add(f'side-{number}', 'z1', ('agent',), service='s')
    await stage.start()
    entry = '127.0.0.77', 8443
    routes = [make_route('r-1', entry, 's')]
    first = make_document(7, routes, ['s'])
    if await stage.put(first) != 200:
        raise RuntimeError('the first configuration was not accepted')
    await stage.wait_until(
        lambda: len([1 for one in stage.rotation.values() if one]) == 4,
        30.0,
        'fronts in rotation',
    )
    await asyncio.sleep(3.0)
    before = await send_requests(stage, entry, 40, 'before')
    stage.record.say(f'before: {before} of 40 requests answered')
    if before < 36:
        raise RuntimeError('the deployment does not serve')
    balancers = [one.processes['balancer'] for one in stage.fronts]
    added = make_route('r-2', entry, 's')
    added['PathPrefix'] = f'/{INVALID if trouble else VALID}/'
    status = await stage.put(make_document(12, [*routes, added], ['s']))
    stage.record.say(
        f'a route with PathPrefix {added["PathPrefix"]}: status {status}'
    )
    await asyncio.sleep(3.0)
    during = await send_requests(stage, entry, 100, 'during')
    stage.record.say(f'from 3 s after: {during} of 100 requests answered')
    await asyncio.sleep(2.0)
    ends = {
        one.machine.name: [round(at, 2) for at, _ in one.ends]
        for one in balancers
    }
    stage.record.say(f'ends of balancers by themselves: {ends}')
    read = [(one.name, *await stage.get(one)) for one in stage.fronts[:3]]
    for name, code, body in read:
        stage.record(f'Config.Get at {name}: {code} {body[:60]!r}')
    corrected = make_document(20, routes, ['s'])
    await stage.put(corrected)
    await asyncio.sleep(6.0)
    after = await send_requests(stage, entry, 40, 'after')
    stage.record.say(f'corrected: {after} of 40 requests answered')
    if not trouble:
        return status != 200 or during < 90 or any(ends.values())
    # CONFIG: what is invalid is acknowledged.
    return status == 200


if __name__ == '__main__':
    sys.exit(run(case, Path(__file__).parent, ('z1', 'z2', 'z3')))

"""A route moves to another service while an opening packet waits."""

import asyncio
from pathlib import Path
import signal
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))

from deployment import Deployment  # noqa: E402
from deployment import Endpoint  # noqa: E402
from deployment import make_route  # noqa: E402
from deployment import run_case  # noqa: E402

ENTRY = ('198.18.0.1', 8443)


async def play(record, trouble):
    deployment = Deployment(record)
    try:
        return await play_on(deployment, record, trouble)
    finally:
        deployment.stop_all()


async def play_on(deployment, record, trouble):
    for zone in ('zone-a', 'zone-b', 'zone-c'):
        deployment.add_machine(f'front-{zone}', 'front', zone)
    old = deployment.add_machine('side-old', 'side', 'zone-a', 'old')
    new = deployment.add_machine('side-new', 'side', 'zone-a', 'new')
    fronts = deployment.list_kind('front')
    deployment.start_all()
    await deployment.open_callers()
    endpoints = {}
    for machine in (old, new):
        endpoints[machine] = Endpoint(deployment, machine)
        await endpoints[machine].start()
    services = ['old', 'new']
    route = make_route('r-1', ENTRY, 'old')
    if await deployment.configure(fronts, [route], services) != 200:
        return None
    if not await deployment.await_ready():
        return None
    balancer = fronts[0]
    answer = await deployment.open_flow(balancer, ENTRY)
    record.add(f'first flow: {answer[:15]!r}')
    # Beyond the stability window after the start.
    await asyncio.sleep(6.0)
    if trouble:
        record.add('side-old is frozen')
        endpoints[old].frozen = True
        old.signal(signal.SIGSTOP)
        # The balancer notices that its reports are missing.
        await asyncio.sleep(1.5)
    callers = [
        asyncio.create_task(call_every(deployment, balancer, 0.02, 2.5))
    ]
    await asyncio.sleep(0.3)
    route = make_route('r-1', ENTRY, 'new')
    if await deployment.configure(fronts[1:], [route], services) != 200:
        return None
    while not endpoints[new].taken:
        await asyncio.sleep(0.005)
    # All callers use the same balancer, so that this effect is its own.
    effect = endpoints[new].taken[0][0]
    record.add('side-new has seen the effect of version 2')
    await asyncio.sleep(0.6)
    if trouble:
        record.add('side-old is thawed')
        old.signal(signal.SIGCONT)
        endpoints[old].frozen = False
    await asyncio.gather(*callers)
    slack = deployment.bounds['RollbackSlackMs'] / 1000
    late = [
        (at, flow[0][1], copy, sent)
        for at, flow, copy, sent in endpoints[old].taken
        if sent > effect + slack
    ]
    for at, port, copy, sent in late:
        record.add(
            f'opening packet {copy} of caller port {port}, sent'
            f' {sent - effect:.3f} s after the effect of version 2, was taken'
            f' by the old service at {at:.3f}'
        )
    return not late


async def call_every(deployment, balancer, interval, duration):
    tasks = []
    for _ in range(int(duration / interval)):
        tasks.append(
            asyncio.create_task(deployment.open_flow(balancer, ENTRY))
        )
        await asyncio.sleep(interval)
    await asyncio.gather(*tasks)


if __name__ == '__main__':
    sys.exit(run_case(HERE, play))

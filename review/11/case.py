"""An order that a frozen instance got takes effect after later orders."""

import asyncio
import json
from pathlib import Path
import signal
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))

from deployment import call  # noqa: E402
from deployment import Deployment  # noqa: E402
from deployment import Endpoint  # noqa: E402
from deployment import make_route  # noqa: E402
from deployment import run_case  # noqa: E402

ENTRY = ('198.18.0.1', 8443)

#: Bounds of the site file.
BOUNDS = {'StabilityWindowMs': 5000, 'DrainMs': 4000, 'EvacuateMs': 5000}

#: Offset of the port of control's health from the first internal one.
CONTROL_ADMIN_OFFSET = 6

START = '/Evacuate.Start/zone-b'
END = '/Evacuate.End/zone-b'


async def play(record, trouble):
    deployment = Deployment(record, bounds=BOUNDS)
    try:
        return await play_on(deployment, record, trouble)
    finally:
        deployment.stop_all()


async def play_on(deployment, record, trouble):
    for zone in ('zone-a', 'zone-b', 'zone-c'):
        deployment.add_machine(f'front-{zone}', 'front', zone)
    sides = [
        deployment.add_machine(f'side-{zone}', 'side', zone, 'service-1')
        for zone in ('zone-a', 'zone-b')
    ]
    fronts = deployment.list_kind('front')
    deployment.start_all()
    await deployment.open_callers()
    endpoints = [Endpoint(deployment, machine) for machine in sides]
    for endpoint in endpoints:
        await endpoint.start()
    evacuated = endpoints[1]
    route = make_route('r-1', ENTRY, 'service-1')
    if await deployment.configure(fronts, [route], ['service-1']) != 200:
        return None
    if not await deployment.await_ready():
        return None
    # Beyond the stability window after the start.
    await asyncio.sleep(6.0)
    if await deployment.order_anywhere(fronts, START) != 200:
        return None
    await asyncio.sleep(1.0)
    asked = await find_follower(deployment, fronts)
    if asked is None:
        return None
    others = [machine for machine in fronts if machine is not asked]
    if trouble:
        record.add(f'{asked.name} is frozen')
        asked.signal(signal.SIGSTOP)
    # The operator tries one instance, and the others without an answer.
    if await deployment.order_anywhere([asked, *others], END) != 200:
        return None
    await asyncio.sleep(1.0)
    if await deployment.order_anywhere(others, START) != 200:
        return None
    acknowledged = record.now()
    record.add('zone-b is evacuated by the last acknowledged order')
    await asyncio.sleep(0.5)
    if trouble:
        record.add(f'{asked.name} is thawed')
        asked.signal(signal.SIGCONT)
    await asyncio.sleep(BOUNDS['EvacuateMs'] / 1000 + 1.0)
    for machine in fronts:
        answer = await call(machine.control, 'GET', '/Evacuate.Get')
        record.add(f'{machine.name} answers: {answer}')
    began = record.now()
    for _ in range(20):
        for balancer in fronts:
            await deployment.open_flow(balancer, ENTRY)
    bound = acknowledged + BOUNDS['EvacuateMs'] / 1000
    late = [
        taken
        for taken in evacuated.taken
        if taken[0] > bound and taken[3] is not None and taken[3] >= began
    ]
    record.add(
        f'{len(late)} flows were opened in zone-b later than EvacuateMs'
        f' after the acknowledgement at {acknowledged:.3f}'
    )
    served = [taken for taken in endpoints[0].taken if taken[0] >= began]
    if not late and not served:
        return None
    return not late


async def find_follower(deployment, fronts):
    """Return a machine that doesn't lead, from its health on loopback."""
    for machine in fronts:
        port = deployment.ports['internal'] + CONTROL_ADMIN_OFFSET
        answer = await call(f'{machine.ip}:{port}', 'GET', '/health')
        if answer is not None and answer[0] == 200:
            reason = json.loads(answer[1])['reason']
            if machine.ip not in reason:
                return machine
    return None


if __name__ == '__main__':
    sys.exit(run_case(HERE, play))

"""Open flows that are idle while their agent is killed and then restarted."""

import asyncio
from pathlib import Path
import signal
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))

from deployment import Deployment  # noqa: E402
from deployment import make_route  # noqa: E402
from deployment import run_case  # noqa: E402
from flows import LongEndpoint  # noqa: E402
from flows import LongFlow  # noqa: E402

ENTRY = ('198.18.0.1', 8443)
FLOWS = 60


async def play(record, trouble):
    deployment = Deployment(record)
    try:
        return await play_on(deployment, record, trouble)
    finally:
        deployment.stop_all()


async def play_on(deployment, record, trouble):
    for zone in ('zone-a', 'zone-b', 'zone-c'):
        deployment.add_machine(f'front-{zone}', 'front', zone)
    for number in range(6):
        zone = ('zone-a', 'zone-b', 'zone-c')[number % 3]
        deployment.add_machine(f'side-{number}', 'side', zone, 'service-1')
    fronts = deployment.list_kind('front')
    sides = deployment.list_kind('side')
    deployment.start_all()
    await deployment.open_callers()
    endpoints = {}
    for machine in sides:
        endpoints[machine] = LongEndpoint(deployment, machine)
        await endpoints[machine].start()
    route = make_route('r-1', ENTRY, 'service-1')
    if await deployment.configure(fronts, [route], ['service-1']) != 200:
        return None
    if not await deployment.await_ready():
        return None
    await asyncio.sleep(6.0)
    front = fronts[0]
    flows = [LongFlow(deployment, front, ENTRY) for _ in range(FLOWS)]
    for flow in flows:
        if not await flow.open() or not await flow.request():
            return None
    idle_since = record.now()
    record.add(f'{FLOWS} flows are open and idle')
    if trouble:
        for half in (sides[::2], sides[1::2]):
            await kill(deployment, record, half)
            await asyncio.sleep(2.0)
    # The planned work begins 5 s after the last start, StabilityWindowMs is
    # 4 s, and the first flows are used another 4 s later.
    await asyncio.sleep(3.0)
    counts = {
        machine: sum(flow.port in endpoint.opened for flow in flows)
        for machine, endpoint in endpoints.items()
    }
    owner = max(counts, key=counts.get)
    mine = [flow for flow in flows if flow.port in endpoints[owner].opened]
    record.add(f'{owner.name} has {len(mine)} of the flows')
    # Planned work on one machine of each class.
    await stop(deployment, record, front)
    await asyncio.sleep(0.5)
    for role in ('balancer', 'control'):
        deployment.start_process(front, role)
    record.add(f'{front.name} is started')
    front_started = record.now()
    await asyncio.sleep(0.1)
    await stop(deployment, record, owner)
    started = asyncio.create_task(start_later(deployment, record, owner, 0.8))
    await asyncio.sleep(max(0.0, front_started + 0.75 - record.now()))
    record.add(f'idle for {record.now() - idle_since:.1f} s')
    answers = await asyncio.gather(*(flow.request() for flow in mine))
    await started
    record.add(f'{sum(answers)} of {len(mine)} requests were answered')
    broken = 0
    for flow in mine:
        if flow.reset_at is not None:
            record.add(f'flow {flow.port} was reset at {flow.reset_at:.3f}')
        broken += is_broken(deployment, record, flow, endpoints, owner)
    record.add(f'{broken} flows are broken')
    return not broken


def is_broken(deployment, record, flow, endpoints, owner):
    """Tell whether for FlowMs three packets reach others and none its own."""
    span = deployment.bounds['FlowMs'] / 1000
    strayed = sorted(
        (at, machine.name)
        for machine, endpoint in endpoints.items()
        if machine is not owner
        for at, _, _ in endpoint.returned.get(flow.port, ())
    )
    own = endpoints[owner].own.get(flow.port, [])
    if strayed:
        record.add(
            f'flow {flow.port}: at others '
            + ', '.join(f'{at:.3f} {name}' for at, name in strayed)
            + '; next at its own '
            + str([round(at, 3) for at in own if at > strayed[0][0]][:1])
        )
    for at, _ in strayed:
        count = sum(at <= other < at + span for other, _ in strayed)
        if count >= 3 and not any(at <= other < at + span for other in own):
            return True
    return False


async def kill(deployment, record, machines):
    for machine in machines:
        machine.signal(signal.SIGKILL)
    record.add('killed: ' + ', '.join(one.name for one in machines))
    for machine in machines:
        for process in machine.processes.values():
            process.wait()
    await asyncio.sleep(0.5)
    for machine in machines:
        for role in tuple(machine.processes):
            deployment.start_process(machine, role)
    record.add('started again')


async def stop(deployment, record, machine):
    machine.signal(signal.SIGTERM)
    record.add(f'SIGTERM to {machine.name}')
    while any(one.poll() is None for one in machine.processes.values()):
        await asyncio.sleep(0.01)
    record.add(f'{machine.name} has ended')


async def start_later(deployment, record, machine, delay):
    await asyncio.sleep(delay)
    for role in tuple(machine.processes):
        deployment.start_process(machine, role)
    record.add(f'{machine.name} is started')


if __name__ == '__main__':
    sys.exit(run_case(HERE, play))

"""Two core machines are replaced as planned, one shortly after the other."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-2'))

from stage import BOUNDS
from stage import CONTROL
from stage import fetch
from stage import make_document
from stage import make_route
from stage import run

#: Time from the start of the new machines to the removal of the former ones, in
#: seconds: longer than CatchUpS, so that neither of them counts as lost.
REPLACEMENT = BOUNDS['CatchUpS'] + 4.0
#: Time from the end of the first machine to the stop of the second, in seconds.
GAP = float(os.environ.get('GAP', '1'))
#: Time for which the configuration is read back, in seconds.
READ_BACK = 45.0


async def read_back(stage, machines, version, seconds):
    """Return whether the configuration comes, asking all machines in turn."""
    begin = stage.record.now()
    while stage.record.now() - begin < seconds:
        for machine in machines:
            status, body = await stage.get(machine)
            if status == 200:
                found = json.loads(body)['Version']
                stage.record.say(
                    f'read at {machine.name} after'
                    f' {stage.record.now() - begin:.1f} s: version {found}'
                )
                return found == version
            stage.record(
                f'Config.Get at {machine.name}: {status} {body[:80]!r}'
            )
        await asyncio.sleep(0.5)
    return False


async def case(stage, trouble):
    core = [
        stage.add(f'front-{number}', zone, ('balancer', 'control'), disk=True)
        for number, zone in enumerate(stage.zones, 1)
    ]
    stage.add('side-1', 'z1', ('agent',), service='s')
    new = [
        stage.add(f'front-{number}', zone, ('balancer', 'control'), disk=True)
        for number, zone in ((4, 'z1'), (5, 'z2'))
    ]
    stage.absent = new
    await stage.start()
    document = make_document(
        7, [make_route('r-1', ('127.0.0.77', 8443), 's')], ['s']
    )
    if await stage.put(document) != 200:
        raise RuntimeError('the first configuration was not accepted')
    stage.record.say('version 7 is acknowledged')
    await asyncio.sleep(3.0)
    stage.record.say('two machines are added')
    for one in new:
        one.bootstrap = False
        stage.start_machine(one)
    await asyncio.sleep(REPLACEMENT)
    for one in (*core, *new):
        if not await read_back(stage, [one], 7, 5.0):
            raise RuntimeError(f'{one.name} does not serve the configuration')
    if trouble:
        stops = []
        for one in core[:2]:
            stage.record.say(f'{one.name} gets SIGTERM and is removed')
            stops += [
                asyncio.create_task(process.stop())
                for process in one.processes.values()
            ]
            await stage.wait_until(
                lambda: one.processes['control'].popen.poll() is not None,
                BOUNDS['GraceS'] + 1.0,
                'the end of control',
            )
            await asyncio.sleep(GAP)
        await asyncio.gather(*stops)
    living = [core[2], *new]
    came = await read_back(stage, living, 7, READ_BACK)
    if not came:
        stage.record.say(
            f'no read in {READ_BACK:.0f} s; {living[0].name},'
            f' {living[1].name} and {living[2].name} run, none'
            ' of them was ever stopped'
        )
        for one in living:
            status, body = await fetch(
                one.host,
                stage.port + CONTROL,
                'POST',
                '/Config.Put',
                json.dumps({**document, 'Version': 9}).encode(),
                3.0,
            )
            stage.record.say(f'a change to {one.name}: {status} {body!r}')
    return not came


if __name__ == '__main__':
    sys.exit(run(case, Path(__file__).parent, ('z1', 'z2', 'z3')))

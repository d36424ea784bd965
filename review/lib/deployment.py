"""A small deployment with its consumers, on which the cases are played."""

import asyncio
import itertools
import random
import sys

from consumers import Host
from consumers import Router
from endpoint import Endpoint
from rules import FlowRule
from system import make_configuration
from system import System

ZONES = ('zone-a', 'zone-b', 'zone-c')


class Deployment:
    """Three zones with a front each and endpoints of one or two services.

    :param counts: outcomes of openings and requests
    """

    def __init__(self, case, services, per_service=3, **options):
        self.system = System(case, ZONES, options.get('network', 77))
        self.record = self.system.record
        self.options = options
        self.idle_ms = options.get('idle_ms', 15000)
        self.rule = FlowRule(self.idle_ms / 1000)
        self.system.listeners.append(self.rule)
        for zone in ZONES:
            self.system.add_front(zone, control=True)
        zones = itertools.cycle(ZONES)
        for service in services:
            for _ in range(per_service):
                self.system.add_side(next(zones), service)
        self.services = services
        self.endpoints = []
        self.router = Router(self.system.fronts, self.record)
        self.host = None
        self.numbers = itertools.count(1)
        self.counts = {}
        self.tasks = set()
        self.version = 0

    async def start(self, routes):
        """Return whether all parts serve."""
        await self.system.start()
        for number, machine in enumerate(self.system.sides, 1):
            endpoint = Endpoint(
                f'i-{number}',
                machine.service,
                machine,
                self.record,
                self.system.interval,
                zone=machine.zone,
                **self.options.get('endpoint', {}),
            )
            self.endpoints.append(endpoint)
            await endpoint.start()
        self.spawn(self.router.probe())
        if not await self.configure(routes):
            return False
        if not await self.system.wait_until_ready(self.router):
            return False
        self.host = Host(
            (f'127.{self.system.network}.9.1', self.system.first_port), self.router, self.record
        )
        await self.host.start()
        # Longer than the stability window.
        await asyncio.sleep(5.0)
        self.record('traffic begins')
        return True

    async def configure(self, routes):
        self.version += 1
        document = make_configuration(
            self.version, routes, self.services, self.idle_ms
        )
        return await self.system.put(document) is not None

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    async def open_flows(self, entry, per_s, seconds, pauses, age):
        """Open flows at random times, each kept open for requests.

        :param pauses: shortest and longest pause between two requests
        :param age: how long each flow is used, in seconds
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            self.spawn(self.use_flow(entry, pauses, age))
            await asyncio.sleep(random.expovariate(per_s))

    async def use_flow(self, entry, pauses, age):
        flow = self.host.make_flow(entry)
        if not await flow.open():
            self.count(f'opening-{flow.state}')
            return
        loop = asyncio.get_running_loop()
        end = loop.time() + age
        while flow.state == 'open' and loop.time() < end:
            identity = f'a-{next(self.numbers)}'
            self.record('sent', request=identity, flow=flow.key)
            answer = await flow.request(identity, 4.0)
            what = 'answered' if answer else f'not answered, {flow.state}'
            self.record(what, request=identity)
            self.count('answered' if answer else f'unanswered-{flow.state}')
            if answer is None:
                break
            await asyncio.sleep(random.uniform(*pauses))
        flow.close()

    def judge(self, needed):
        """Write the result; return the status of the case."""
        names = sorted(self.counts)
        self.record('counts', **{name: self.counts[name] for name in names})
        for fields in self.rule.broken:
            self.record('BROKEN', **fields)
        self.record(
            'result',
            broken=len(self.rule.broken),
            resets_by_the_system=self.rule.resets,
            packets_at_other_endpoints=self.rule.strayed,
        )
        if self.counts.get('answered', 0) < needed:
            return 2
        return 1 if self.rule.broken else 0

    async def end(self):
        for task in list(self.tasks):
            task.cancel()
        for endpoint in self.endpoints:
            endpoint.running = False
            endpoint.transport.close()


def run(deployment, play):
    """Play a case and end all its processes; exit with its status."""

    async def play_and_end():
        try:
            return await play(deployment)
        finally:
            await deployment.end()

    try:
        status = asyncio.run(play_and_end())
    finally:
        deployment.system.stop()
        deployment.system.write_record()
    sys.exit(status)

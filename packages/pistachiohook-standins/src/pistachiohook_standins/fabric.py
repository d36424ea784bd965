"""Fabric stand-in: gives each datagram to a random healthy balancer."""

from __future__ import annotations

import asyncio
from collections import Counter
import contextlib
import functools
from pathlib import Path
import random
import socket
from typing import TYPE_CHECKING

import attrs
import cyclopts
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPError

from .processes import print_line
from .processes import wait_for_signal
from .settings import read_endpoint
from .settings import read_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from .settings import Endpoint

#: Receive buffer asked for each socket, in bytes.
RECEIVE_BUFFER = 4 << 20

#: Largest datagram, in bytes.
DATAGRAM_MAX = 65535

#: Datagrams read from one socket before the others have their turn.
DATAGRAMS_PER_READ = 64

#: Silence after which the socket of a caller flow is closed, in seconds.
FLOW_IDLE = 120.0


@attrs.frozen
class BalancerSettings:
    """One balancer as the fabric sees it.

    :param name: name of the instance
    :param health: URL that answers 200 while the balancer serves
    :param addresses: local address of the balancer by service address
    """

    name: str
    health: str
    addresses: dict[str, str]


@attrs.frozen
class FabricSettings:
    """Settings of the fabric stand-in.

    :param addresses: service addresses to listen on
    :param balancers: where datagrams go
    :param seed: of the choice of a balancer and of the faults
    :param health_interval: time between two health checks, in seconds
    :param health_timeout: longest wait for a health answer, in seconds
    :param loss: share of datagrams dropped, each way
    :param reordering: share of datagrams held back, each way
    :param reordering_delay: how long they are held back, in seconds
    :param duplication: share of datagrams sent twice, each way
    """

    addresses: list[str]
    balancers: list[BalancerSettings]
    seed: int = 1
    health_interval: float = 0.1
    health_timeout: float = 0.5
    loss: float = 0.0
    reordering: float = 0.0
    reordering_delay: float = 0.01
    duplication: float = 0.0


@attrs.define
class Faults:
    """Damage done to the datagrams of one run.

    :param settings: rates of the faults
    :param draws: source of randomness
    """

    settings: FabricSettings
    draws: random.Random

    def pass_on(self, send: Callable[[], None]) -> None:
        """Send once, twice, later or never."""
        if self.draws.random() < self.settings.loss:
            return
        copies = 1 + (self.draws.random() < self.settings.duplication)
        late = self.draws.random() < self.settings.reordering
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            if late:
                loop.call_later(self.settings.reordering_delay, send)
            else:
                send()


@attrs.define
class Port:
    """A UDP socket that one function reads.

    :param socket: bound and non-blocking
    """

    socket: socket.socket

    @property
    def address(self) -> Endpoint:
        """Where the socket is bound."""
        host, port = self.socket.getsockname()
        return host, port

    def listen(self, receive: Callable[[bytes, Endpoint], None]) -> None:
        """Hand each datagram to a function."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.socket, self._read, receive)

    def send(self, data: bytes, peer: Endpoint) -> None:
        """Send a datagram, or lose it where the system can't take it."""
        with contextlib.suppress(OSError):
            self.socket.sendto(data, peer)

    def close(self) -> None:
        """Stop reading."""
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()

    def _read(self, receive: Callable[[bytes, Endpoint], None]) -> None:
        for _ in range(DATAGRAMS_PER_READ):
            try:
                data, peer = self.socket.recvfrom(DATAGRAM_MAX)
            except BlockingIOError:
                return
            except OSError:
                continue
            receive(data, peer)


@attrs.define
class Flow:
    """What one caller sends to one service address.

    :param port: socket that balancers see as the caller
    :param used: when the caller last sent, in seconds
    """

    port: Port
    used: float


@attrs.define
class Fabric:
    """State of a running fabric.

    :param settings: what it was started with
    :param faults: damage to the datagrams
    :param fronts: socket of each service address
    :param flows: flows by service address and caller
    :param healthy: names of the balancers that answer 200
    :param routed: datagrams given to each balancer
    """

    settings: FabricSettings
    faults: Faults
    fronts: dict[str, Port] = attrs.field(factory=dict)
    flows: dict[tuple[str, Endpoint], Flow] = attrs.field(factory=dict)
    healthy: set[str] = attrs.field(factory=set)
    routed: Counter[str] = attrs.field(factory=Counter)
    _routes: dict[str, dict[str, Endpoint]] = attrs.field(init=False)
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    @_routes.default
    def _index_routes(self) -> dict[str, dict[str, Endpoint]]:
        return {
            name: {
                balancer.name: read_endpoint(balancer.addresses[name])
                for balancer in self.settings.balancers
                if name in balancer.addresses
            }
            for name in self.settings.addresses
        }

    async def start(self) -> None:
        """Bind the service addresses and begin to check health."""
        for name in self.settings.addresses:
            self.fronts[name] = open_port(read_endpoint(name))
            self.fronts[name].listen(functools.partial(self._forward, name))
        self._tasks = [
            asyncio.create_task(self._check_health(balancer))
            for balancer in self.settings.balancers
        ]
        self._tasks.append(asyncio.create_task(self._close_idle_flows()))

    async def stop(self) -> None:
        """Close every socket and end every task."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        flows = [flow.port for flow in self.flows.values()]
        for port in [*self.fronts.values(), *flows]:
            port.close()

    def _forward(self, name: str, data: bytes, caller: Endpoint) -> None:
        flow = self._find_flow(name, caller)
        routes = self._routes[name]
        choices = sorted(self.healthy & routes.keys())
        if not choices:
            return
        balancer = self.faults.draws.choice(choices)
        self.routed[balancer] += 1
        self.faults.pass_on(
            functools.partial(flow.port.send, data, routes[balancer])
        )

    def _find_flow(self, name: str, caller: Endpoint) -> Flow:
        now = asyncio.get_running_loop().time()
        flow = self.flows.get((name, caller))
        if flow is None:
            front = self.fronts[name]
            flow = Flow(open_port((front.address[0], 0)), now)
            flow.port.listen(functools.partial(self._answer, front, caller))
            self.flows[name, caller] = flow
        flow.used = now
        return flow

    def _answer(
        self, front: Port, caller: Endpoint, data: bytes, _: Endpoint
    ) -> None:
        self.faults.pass_on(functools.partial(front.send, data, caller))

    async def _check_health(self, balancer: BalancerSettings) -> None:
        client = AsyncHTTPClient(force_instance=True)
        while True:
            try:
                await client.fetch(
                    balancer.health,
                    request_timeout=self.settings.health_timeout,
                )
                self.healthy.add(balancer.name)
            except (OSError, HTTPError):
                self.healthy.discard(balancer.name)
            await asyncio.sleep(self.settings.health_interval)

    async def _close_idle_flows(self) -> None:
        while True:
            await asyncio.sleep(FLOW_IDLE / 4)
            oldest = asyncio.get_running_loop().time() - FLOW_IDLE
            idle = [
                key for key, flow in self.flows.items() if flow.used < oldest
            ]
            for key in idle:
                self.flows.pop(key).port.close()


def open_port(address: Endpoint) -> Port:
    """Bind a UDP socket; port 0 lets the system choose."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.bind(address)
    return Port(sock)


def make_fabric(settings: FabricSettings) -> Fabric:
    """Build a fabric with randomness from its own seed."""
    faults = Faults(settings, random.Random(settings.seed))
    return Fabric(settings, faults)


async def run(settings: FabricSettings) -> None:
    """Serve until SIGTERM or SIGINT, then print what was routed."""
    fabric = make_fabric(settings)
    await fabric.start()
    print_line({'fabric': 'started'})
    await wait_for_signal()
    await fabric.stop()
    print_line({'routed': dict(sorted(fabric.routed.items()))})


def main(*, settings: Path) -> None:
    """Run the fabric stand-in.

    :param settings: TOML file
    """
    asyncio.run(run(read_settings(settings, FabricSettings)))


if __name__ == '__main__':
    cyclopts.run(main)

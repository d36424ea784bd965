"""Stand-in for the fabric: sends each datagram to a random healthy balancer.

It keeps no affinity, so the datagrams of one flow reach all balancers.
"""

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
from .settings import parse_endpoint
from .settings import read_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from .settings import Endpoint

#: Receive buffer requested for each socket, in bytes.
RECEIVE_BUFFER_SIZE = 4 << 20

#: Largest datagram, in bytes.
DATAGRAM_MAX = 65535

#: Most datagrams read from one socket per turn of the event loop.
DATAGRAMS_PER_READ_MAX = 64

#: Time without datagrams from the caller until a flow is closed, in seconds.
FLOW_IDLE_TIMEOUT = 120.0


@attrs.frozen
class BalancerSettings:
    """A balancer that the fabric sends datagrams to.

    :param name: name of the balancer's instance
    :param health: URL of the health check; status 200 means healthy
    :param addresses: by service address, the address at which the balancer
        receives its datagrams
    """

    name: str
    health: str
    addresses: dict[str, str]


@attrs.frozen
class FabricSettings:
    """Settings of the fabric stand-in.

    :param addresses: service addresses to listen on
    :param balancers: balancers that datagrams are sent to
    :param seed: seed for the choice of a balancer and for the faults
    :param health_interval: time between two health checks, in seconds
    :param health_timeout: timeout of a health check, in seconds
    :param loss: share of datagrams dropped in each direction
    :param reordering: share of datagrams delayed in each direction
    :param reordering_delay: delay of these datagrams, in seconds
    :param duplication: share of datagrams sent twice in each direction
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
    """Loss, reordering and duplication of datagrams.

    :param settings: rates of the faults
    :param draws: source of randomness
    """

    settings: FabricSettings
    draws: random.Random

    def deliver(self, send: Callable[[], None]) -> None:
        """Call a send function, subject to the faults.

        :param send: sends one datagram; called once, twice or not at all, and
            after a delay when the datagram is reordered
        """
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
    """A UDP socket whose datagrams one callback receives.

    :param socket: bound, non-blocking socket
    """

    socket: socket.socket

    @property
    def address(self) -> Endpoint:
        """Local address of the socket."""
        host, port = self.socket.getsockname()
        return host, port

    def listen(self, receive: Callable[[bytes, Endpoint], None]) -> None:
        """Call a function with each datagram and its sender's address."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.socket, self._read, receive)

    def send(self, data: bytes, peer: Endpoint) -> None:
        """Send a datagram; drop it when the system call fails."""
        with contextlib.suppress(OSError):
            self.socket.sendto(data, peer)

    def close(self) -> None:
        """Stop reading and close the socket."""
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()

    def _read(self, receive: Callable[[bytes, Endpoint], None]) -> None:
        for _ in range(DATAGRAMS_PER_READ_MAX):
            try:
                data, peer = self.socket.recvfrom(DATAGRAM_MAX)
            except BlockingIOError:
                return
            except OSError:
                continue
            receive(data, peer)


@attrs.define
class Flow:
    """Datagrams between one caller and one service address.

    :param port: socket whose address the balancers see as the caller's
    :param last_used: loop time of the caller's newest datagram, in seconds
    """

    port: Port
    last_used: float


@attrs.define
class Fabric:
    """State of a running fabric.

    :param settings: settings that it was started with
    :param faults: faults that the datagrams are subject to
    :param listeners: socket of each service address
    :param flows: flows by service address and caller
    :param healthy: names of the balancers that passed their newest health
        check
    :param routed: number of datagrams sent to each balancer
    """

    settings: FabricSettings
    faults: Faults
    listeners: dict[str, Port] = attrs.field(factory=dict)
    flows: dict[tuple[str, Endpoint], Flow] = attrs.field(factory=dict)
    healthy: set[str] = attrs.field(factory=set)
    routed: Counter[str] = attrs.field(factory=Counter)
    _balancer_addresses: dict[str, dict[str, Endpoint]] = attrs.field(
        init=False
    )
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    @_balancer_addresses.default
    def _parse_balancer_addresses(self) -> dict[str, dict[str, Endpoint]]:
        return {
            service_address: {
                balancer.name: parse_endpoint(
                    balancer.addresses[service_address]
                )
                for balancer in self.settings.balancers
                if service_address in balancer.addresses
            }
            for service_address in self.settings.addresses
        }

    async def start(self) -> None:
        """Bind the service addresses and start the health checks."""
        for service_address in self.settings.addresses:
            self.listeners[service_address] = open_port(
                parse_endpoint(service_address)
            )
            self.listeners[service_address].listen(
                functools.partial(self._forward, service_address)
            )
        self._tasks = [
            asyncio.create_task(self._poll_health(balancer))
            for balancer in self.settings.balancers
        ]
        self._tasks.append(asyncio.create_task(self._close_idle_flows()))

    async def stop(self) -> None:
        """Cancel all tasks and close all sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        flow_ports = [flow.port for flow in self.flows.values()]
        for port in [*self.listeners.values(), *flow_ports]:
            port.close()

    def _forward(
        self, service_address: str, data: bytes, caller: Endpoint
    ) -> None:
        flow = self._get_or_open_flow(service_address, caller)
        addresses = self._balancer_addresses[service_address]
        candidates = sorted(self.healthy & addresses.keys())
        if not candidates:
            return
        balancer = self.faults.draws.choice(candidates)
        self.routed[balancer] += 1
        self.faults.deliver(
            functools.partial(flow.port.send, data, addresses[balancer])
        )

    def _get_or_open_flow(
        self, service_address: str, caller: Endpoint
    ) -> Flow:
        now = asyncio.get_running_loop().time()
        flow = self.flows.get((service_address, caller))
        if flow is None:
            listener = self.listeners[service_address]
            flow = Flow(open_port((listener.address[0], 0)), now)
            flow.port.listen(
                functools.partial(self._return_datagram, listener, caller)
            )
            self.flows[service_address, caller] = flow
        flow.last_used = now
        return flow

    def _return_datagram(
        self, listener: Port, caller: Endpoint, data: bytes, _: Endpoint
    ) -> None:
        self.faults.deliver(functools.partial(listener.send, data, caller))

    async def _poll_health(self, balancer: BalancerSettings) -> None:
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
            await asyncio.sleep(FLOW_IDLE_TIMEOUT / 4)
            cutoff = asyncio.get_running_loop().time() - FLOW_IDLE_TIMEOUT
            idle = [
                key
                for key, flow in self.flows.items()
                if flow.last_used < cutoff
            ]
            for key in idle:
                self.flows.pop(key).port.close()


def open_port(address: Endpoint) -> Port:
    """Bind a UDP socket; with port 0, the system chooses a port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE)
    sock.bind(address)
    return Port(sock)


def make_fabric(settings: FabricSettings) -> Fabric:
    """Build a fabric whose source of randomness has the settings' seed."""
    faults = Faults(settings, random.Random(settings.seed))
    return Fabric(settings, faults)


async def run(settings: FabricSettings) -> None:
    """Serve until SIGTERM or SIGINT, then print the datagrams per balancer."""
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

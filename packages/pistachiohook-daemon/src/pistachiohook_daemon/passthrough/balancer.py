"""Wiring of a balancer for pass-through services."""

from __future__ import annotations

import asyncio
from functools import partial
import time
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.events import ROUTES_CHANGED
from pistachiohook_core.events import ROUTES_UNREADABLE
from pistachiohook_core.passthrough.actions import Log
from pistachiohook_core.passthrough.actions import ResetCaller
from pistachiohook_core.passthrough.actions import Send
from pistachiohook_core.passthrough.balancer import Balancer
from pistachiohook_core.passthrough.commands import unpack_routes
from pistachiohook_core.passthrough.discovery import BALANCER
from pistachiohook_core.passthrough.discovery import Finder
from pistachiohook_core.passthrough.messages import Node
from pistachiohook_core.passthrough.messages import Welcome
from pistachiohook_core.passthrough.routes import build_table
from pistachiohook_core.passthrough.segments import read_flow
from pistachiohook_core.passthrough.segments import write_host
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPError

from ..datagrams import DatagramSocket
from ..endpoints import Health
from ..logs import describe_error
from .asking import ask_control
from .carrying import build_receiver
from .carrying import build_sender

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachiohook_core.metrics import Metrics
    from pistachiohook_core.passthrough.actions import Action
    from pistachiohook_core.passthrough.segments import SegmentFormat

    from ..logs import Report
    from ..supervisor import Supervisor
    from .carrying import SendMessage
    from .settings import BalancerSettings

#: Wait for routes from a control instance, in seconds: a large set over a
#: small link, and time left to try another within the 3 s that are allowed.
FETCH_TIMEOUT = 0.8

#: Time between two looks for a newer version, in seconds.
FETCH_INTERVAL = 0.05

#: Time between two looks at idle flows and silent agents, in seconds.
FORGET_INTERVAL = 1.0

#: Packets of callers that are taken before the agents' messages get their
#: turn: answers to offers must not wait behind new flows, or each would be
#: offered again and overload feed itself.
ENTRY_BATCH = 16

#: Time that a leaving balancer goes on forwarding, in seconds: the fabric
#: takes it out after two failed probes, 0.5 s apart.
LINGER = 3.0


@attrs.define
class BalancerRole:
    """State of a running balancer.

    :param settings: what it was told
    :param balancer: its decisions
    :param finder: what it knows of control
    :param entry: socket for callers' packets
    :param link: socket for messages about flows
    :param report: logs an event
    :param confirmed: whether a quorum has confirmed routes since the start
    :param stopping: whether it is leaving
    """

    settings: BalancerSettings
    balancer: Balancer
    finder: Finder
    entry: DatagramSocket
    link: DatagramSocket
    send: SendMessage
    report: Report
    confirmed: bool = False
    stopping: bool = False
    _timer: asyncio.TimerHandle | None = None

    def find_health(self) -> Health:
        """Say whether the fabric should send packets here."""
        loop = asyncio.get_running_loop()
        if self.stopping:
            return Health(False, 'leaving')
        if not self.confirmed:
            return Health(False, 'routes are not confirmed yet')
        if not self.balancer.count_agents(loop.time()):
            return Health(False, 'no agent is heard')
        return Health(True, 'serving')

    async def shut_down(self) -> None:
        """Go on forwarding until the fabric sends no more."""
        self.stopping = True
        await asyncio.sleep(min(LINGER, self.settings.node.grace / 2))

    def take_packet(self, data: bytes, sender: Address) -> None:
        """Take a caller's packet from the fabric."""
        del sender
        now = asyncio.get_running_loop().time()
        self._carry_out(self.balancer.receive_packet(data, now))

    def take_message(self, sender: Address, message: object) -> None:
        """Take a message from control or an agent."""
        now = asyncio.get_running_loop().time()
        if isinstance(message, Welcome):
            self.finder.receive_welcome(sender, message, now)
            self._confirm(now)
            return
        self._carry_out(self.balancer.receive_message(sender, message, now))

    async def follow_routes(self) -> None:
        """Fetch routes when there are newer ones, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            newest = self.finder.find_newest(loop.time())
            if newest is not None and newest.version > self._version:
                await self._fetch(newest)
            self._confirm(loop.time())
            await asyncio.sleep(FETCH_INTERVAL)

    async def forget(self) -> None:
        """Forget what is over, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.balancer.expire_idle(loop.time())
            await asyncio.sleep(FORGET_INTERVAL)

    @property
    def _version(self) -> int:
        return self.balancer.table.version if self.balancer.table else 0

    def _confirm(self, now: float) -> None:
        if self._version and not self.confirmed:
            self.confirmed = self.finder.is_confirmed(self._version, now)

    async def _fetch(self, newest: Welcome) -> None:
        try:
            response = await AsyncHTTPClient().fetch(
                f'http://{newest.routes}/routes',
                connect_timeout=FETCH_TIMEOUT,
                request_timeout=FETCH_TIMEOUT,
            )
            routes = unpack_routes(response.body)
        except (HTTPError, OSError, ValueError) as error:
            reason = describe_error(error)
            self.report(ROUTES_UNREADABLE, peer=newest.routes, reason=reason)
            return
        former = self._version
        if self.balancer.set_routes(build_table(routes)):
            self.report(
                ROUTES_CHANGED,
                version=routes.version,
                former=former,
                routes=len(routes.routes),
                peer=newest.routes,
            )

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(address, message):
                    self.send(address, message)
                case ResetCaller(flow):
                    self._reset(flow)
                case Log(event, fields):
                    self.report(event, **fields)
        self._set_timer()

    def _reset(self, flow: bytes) -> None:
        caller = write_host(read_flow(flow)[0])
        address = Address(caller, self.settings.entry.port)
        self.entry.send(self.balancer.segment_format.make_reset(flow), address)

    def _set_timer(self) -> None:
        due = self.balancer.find_next_deadline()
        if self._timer is not None:
            if due is None or due >= self._timer.when():
                return
            self._timer.cancel()
        if due is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due, self._expire)

    def _expire(self) -> None:
        self._timer = None
        now = asyncio.get_running_loop().time()
        self._carry_out(self.balancer.expire(now))


def start_balancer(
    settings: BalancerSettings,
    form: SegmentFormat,
    supervisor: Supervisor,
    metrics: Metrics,
    report: Report,
) -> BalancerRole:
    """Start the tasks of a balancer below a supervisor.

    :param settings: what it is told
    :param form: form of the packets
    :param supervisor: keeps the tasks running
    :param metrics: counts of the process
    :param report: logs an event
    :raises OSError: when an address can't be bound
    """
    node = settings.node
    entry = DatagramSocket(settings.entry, report, ENTRY_BATCH)
    link = DatagramSocket(node.link, report)
    entry.open()
    link.open()
    balancer = Balancer(
        node.zone,
        form,
        started_at=asyncio.get_running_loop().time(),
        counts=metrics.counts,
    )
    finder = Finder(node.zone, node.controls)
    send = build_sender(link)
    role = BalancerRole(settings, balancer, finder, entry, link, send, report)
    started = int(time.time() * 1000)
    itself = Node(str(node.link), node.zone, started)
    receive = build_receiver(role.take_message, report)
    supervisor.supervise('entry', partial(entry.serve, role.take_packet))
    supervisor.supervise('link', partial(link.serve, receive))
    supervisor.supervise('routes', role.follow_routes)
    supervisor.supervise('memory', role.forget)
    supervisor.supervise(
        'control',
        partial(
            ask_control,
            BALANCER,
            itself,
            finder,
            lambda: role.confirmed,
            send,
            report,
        ),
    )
    return role

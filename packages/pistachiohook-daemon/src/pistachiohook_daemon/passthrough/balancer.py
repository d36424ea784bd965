"""Tasks and sockets of a balancer for pass-through services."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from functools import partial
import time
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.addresses import parse_address
from pistachiohook_core.events import ROUTES_CHANGED
from pistachiohook_core.events import ROUTES_UNREADABLE
from pistachiohook_core.events import ROUTES_UNUSABLE
from pistachiohook_core.passthrough.actions import Log
from pistachiohook_core.passthrough.actions import ResetCaller
from pistachiohook_core.passthrough.actions import Send
from pistachiohook_core.passthrough.balancer import Balancer
from pistachiohook_core.passthrough.commands import load_routes
from pistachiohook_core.passthrough.discovery import BALANCER
from pistachiohook_core.passthrough.discovery import Finder
from pistachiohook_core.passthrough.egress import EgressQueue
from pistachiohook_core.passthrough.explanation import explain_placement
from pistachiohook_core.passthrough.explanation import NO_ROUTES
from pistachiohook_core.passthrough.messages import Node
from pistachiohook_core.passthrough.messages import Welcome
from pistachiohook_core.passthrough.segments import read_flow
from pistachiohook_core.passthrough.segments import write_host
from returns.result import Failure as Failed
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPError

from ..datagrams import DatagramSocket
from ..endpoints import Health
from ..logs import describe_error
from ..serving import make_json_response
from .paced_link import PacedLink
from .polling import poll_control
from .timers import DeadlineTimer
from .transport import build_receiver

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachiohook_core.failures import Failure
    from pistachiohook_core.metrics import Metrics
    from pistachiohook_core.passthrough.actions import Action
    from pistachiohook_core.passthrough.routes import RouteTable
    from pistachiohook_core.passthrough.segments import SegmentFormat

    from ..logs import Report
    from ..serving import HttpRequest
    from ..serving import HttpResponse
    from ..supervisor import Supervisor
    from .settings import BalancerSettings

#: Timeout of one attempt to fetch routes, in seconds: enough for a large set
#: over a slow link, and short enough to try another control instance within
#: the 3 s in which new routes must be applied.
FETCH_TIMEOUT = 0.8

#: Delay of another attempt to fetch routes after a failed one, in seconds.
FETCH_RETRY_DELAY = 0.05

#: Interval of the check whether an announcement of newer routes still counts,
#: in seconds.
ANNOUNCEMENT_CHECK_INTERVAL = 1.0

#: Time for which a balancer may know of newer routes without having fetched
#: them, in seconds, before it reports that it is not ready: well below the
#: time in which new routes must be applied.
BEHIND_MAX = 1.5

#: Control instances that are asked for a version of the routes that can't be
#: applied.
UNUSABLE_ANSWERS_MAX = 3

#: Time after which such a version is fetched again, in seconds: what a control
#: instance sends may change with an update of it.
UNUSABLE_RETRY_INTERVAL = 5.0

#: Interval at which idle flows and agents that have stopped reporting are
#: removed, in seconds.
EXPIRE_INTERVAL = 1.0

#: Largest number of callers' packets that are handled before the agents'
#: messages are read. Answers to offers must not wait behind new flows:
#: offers would time out and be repeated, which increases the overload.
ENTRY_BATCH = 16

#: Time for which a balancer keeps forwarding during its shutdown, in seconds:
#: the fabric stops sending to it after two failed probes, 0.5 s apart.
SHUTDOWN_FORWARDING_TIME = 3.0

#: Largest number of parameters in a query for a placement.
QUERY_FIELDS_MAX = 3

#: Largest age in a query for a placement, in milliseconds: long after every
#: caller has given up.
AGE_MAX_MS = 60_000


@attrs.define
class UnusableRoutes:
    """A version of the routes that can't be applied.

    :param version: the version; 0 when there is none
    :param sources: addresses that have sent it
    :param given_up_at: time when no further instance was asked for it, in
        seconds; ``None`` until then
    """

    version: int = 0
    sources: set[str] = attrs.field(factory=set)
    given_up_at: float | None = None


@attrs.define
class BalancerRole:
    """State of a running balancer.

    :param settings: settings of the balancer
    :param balancer: state machine that decides about flows
    :param finder: known control instances and their answers
    :param entry: socket for callers' packets
    :param link: socket for messages about flows
    :param paced: sends messages about flows over that socket
    :param report: logs an event
    :param confirmed: whether a quorum has confirmed, since the start of the
        process, that the applied routes were the newest
    :param stopping: whether the balancer is shutting down
    :param unusable: newest version of the routes that can't be applied
    """

    settings: BalancerSettings
    balancer: Balancer
    finder: Finder
    entry: DatagramSocket
    link: DatagramSocket
    paced: PacedLink
    report: Report
    confirmed: bool = False
    stopping: bool = False
    unusable: UnusableRoutes = attrs.field(factory=UnusableRoutes)
    _behind_since: float | None = None
    _routes_announced: asyncio.Event = attrs.field(factory=asyncio.Event)
    _timer: DeadlineTimer = attrs.field(init=False)

    @_timer.default
    def _create_timer(self) -> DeadlineTimer:
        return DeadlineTimer(self._expire)

    def find_health(self) -> Health:
        """Tell whether the fabric should send packets to this balancer."""
        loop = asyncio.get_running_loop()
        if self.stopping:
            return Health(False, 'leaving')
        if not self.confirmed:
            return Health(False, 'routes are not confirmed yet')
        if self._is_behind(loop.time()):
            return Health(False, 'newer routes could not be fetched')
        if not self.balancer.count_agents(loop.time()):
            return Health(False, 'no agent is reporting')
        if self.unusable_version:
            reason = f'serving; version {self.unusable_version} is unusable'
            return Health(True, reason)
        return Health(True, 'serving')

    def show_placement(self, request: HttpRequest) -> HttpResponse:
        """Show where a new flow would be placed now.

        The query has the parameters ``entry``, the address that the caller
        sends to, and optionally ``age_ms``, the age of the flow in
        milliseconds, and ``zone``, the only zone whose agents are listed. The
        response is :class:`.explanation.Placement` as JSON, or ``error`` with
        status 400 for an invalid query, 404 for an unknown route and 503
        without routes.
        """
        try:
            entry, age_ms, zone = _read_placement_query(request.query)
        except ValueError as error:
            return make_json_response({'error': str(error)}, 400)
        now = asyncio.get_running_loop().time()
        placement = explain_placement(self.balancer, entry, age_ms, now, zone)
        if isinstance(placement, Failed):
            reason = placement.failure().reason
            status = 503 if reason == NO_ROUTES else 404
            return make_json_response({'error': reason}, status)
        return make_json_response(attrs.asdict(placement.unwrap()))

    async def shut_down(self) -> None:
        """Report unhealthy, and forward until the fabric sends no more."""
        self.stopping = True
        await asyncio.sleep(
            min(SHUTDOWN_FORWARDING_TIME, self.settings.node.grace / 2)
        )
        own = self.settings.node.link
        self._execute(self.balancer.kept_flows.pass_on(own))

    def handle_packet(self, data: bytes, sender: Address) -> None:
        """Handle a caller's packet, which the fabric has sent."""
        del sender
        now = asyncio.get_running_loop().time()
        self._execute(self.balancer.receive_packet(data, now))

    def handle_message(self, sender: Address, message: object) -> None:
        """Handle a message of a control instance or an agent."""
        now = asyncio.get_running_loop().time()
        if isinstance(message, Welcome):
            self.finder.receive_welcome(sender, message, now)
            self._update_confirmed(now)
            if message.version > self._version:
                self._routes_announced.set()
            return
        self._execute(self.balancer.receive_message(sender, message, now))

    async def follow_routes(self) -> None:
        """Fetch and apply announced newer routes, until cancelled."""
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            source = self.finder.choose_source(
                self._find_skipped_version(loop.time()), failures, loop.time()
            )
            if source is None:
                self._behind_since = None
                await self._await_announcement()
                continue
            if self._behind_since is None:
                self._behind_since = loop.time()
            if await self._fetch_routes(source):
                failures, self._behind_since = 0, None
                self._update_confirmed(loop.time())
            else:
                failures += 1
                await asyncio.sleep(FETCH_RETRY_DELAY)

    async def expire_idle(self) -> None:
        """Remove idle flows and agents periodically, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.balancer.expire_idle(loop.time())
            await asyncio.sleep(EXPIRE_INTERVAL)

    async def _await_announcement(self) -> None:
        self._routes_announced.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(ANNOUNCEMENT_CHECK_INTERVAL):
                await self._routes_announced.wait()

    @property
    def unusable_version(self) -> int:
        """Newer version of the routes that can't be applied; 0 if none."""
        version = self.unusable.version
        return version if version > self._version else 0

    @property
    def _version(self) -> int:
        return self.balancer.table.version if self.balancer.table else 0

    def _is_behind(self, now: float) -> bool:
        since = self._behind_since
        return since is not None and now - since > BEHIND_MAX

    def _update_confirmed(self, now: float) -> None:
        if self._version and not self.confirmed:
            self.confirmed = self.finder.is_confirmed(self._version, now)

    async def _fetch_routes(self, source: Welcome) -> bool:
        """Fetch and apply routes.

        :param source: answer of the control instance to fetch from
        :returns: whether routes as new as that answer announced are applied
        """
        try:
            response = await AsyncHTTPClient().fetch(
                f'http://{source.routes}/routes',
                connect_timeout=FETCH_TIMEOUT,
                request_timeout=FETCH_TIMEOUT,
            )
        except (HTTPError, OSError, ValueError) as error:
            reason = describe_error(error)
            self.report(ROUTES_UNREADABLE, peer=source.routes, reason=reason)
            return False
        table = load_routes(response.body)
        if isinstance(table, Failed):
            self._note_unusable(source, table.failure())
            return False
        self._apply(table.unwrap(), source)
        return self._version >= source.version

    def _apply(self, table: RouteTable, source: Welcome) -> None:
        former = self._version
        if not self.balancer.set_routes(table):
            return
        now = asyncio.get_running_loop().time()
        self._execute(self.balancer.release_held(now))
        self.report(
            ROUTES_CHANGED,
            version=table.version,
            former=former,
            routes=len(table.routes),
            peer=source.routes,
        )

    def _note_unusable(self, source: Welcome, failure: Failure) -> None:
        """Keep the applied routes, since newer ones can't be applied.

        Other instances are asked for them, too, before they are given up.
        """
        if self.unusable.version != source.version:
            self.unusable = UnusableRoutes(source.version)
        known = source.routes in self.unusable.sources
        self.unusable.sources.add(source.routes)
        if known or len(self.unusable.sources) >= UNUSABLE_ANSWERS_MAX:
            now = asyncio.get_running_loop().time()
            self.unusable.given_up_at = now
        if not known:
            self.report(
                ROUTES_UNUSABLE,
                version=source.version,
                in_force=self._version,
                peer=source.routes,
                step=failure.step,
                reason=f'{failure.peer}: {failure.reason}',
            )

    def _find_skipped_version(self, now: float) -> int:
        """Return the version up to which no routes are fetched."""
        given_up_at = self.unusable.given_up_at
        if given_up_at is None or now - given_up_at >= UNUSABLE_RETRY_INTERVAL:
            return self._version
        return max(self._version, self.unusable.version)

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(address, message, flow) if flow:
                    self.paced.forward(address, message, flow)
                case Send(address, message):
                    self.paced.send(address, message)
                case ResetCaller(flow, sequence):
                    self._send_reset(flow, sequence)
                case Log(event, fields):
                    self.report(event, **fields)
        self._timer.set(self.balancer.find_next_deadline())

    def _send_reset(self, flow: bytes, sequence: int) -> None:
        caller = write_host(read_flow(flow)[0])
        address = Address(caller, self.settings.entry.port)
        reset = self.balancer.segment_format.make_reset(flow, sequence)
        self.entry.send(reset, address)

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        self._execute(self.balancer.expire(now))


def start_balancer(
    settings: BalancerSettings,
    segment_format: SegmentFormat,
    supervisor: Supervisor,
    metrics: Metrics,
    report: Report,
) -> BalancerRole:
    """Open the sockets of a balancer and start its tasks.

    :param settings: settings of the balancer
    :param segment_format: wire format of the packets
    :param supervisor: runs the tasks and restarts those that fail
    :param metrics: metrics of the process
    :param report: logs an event
    :returns: state of the running balancer
    :raises OSError: when an address can't be bound
    """
    node = settings.node
    entry = DatagramSocket(settings.entry, report, ENTRY_BATCH)
    link = DatagramSocket(node.link, report)
    entry.open()
    link.open()
    balancer = Balancer(
        node.zone,
        segment_format,
        started_at=asyncio.get_running_loop().time(),
        counts=metrics.counts,
    )
    finder = Finder(node.zone, node.controls)
    queue = EgressQueue(settings.link_rate / 8, metrics.counts)
    metrics.gauges['egress_queued_bytes'] = lambda: queue.length
    paced = PacedLink(link, queue)
    role = BalancerRole(settings, balancer, finder, entry, link, paced, report)
    metrics.gauges['routes_unusable_version'] = lambda: role.unusable_version
    started = int(time.time() * 1000)
    own_node = Node(str(node.link), node.zone, started)
    receive = build_receiver(role.handle_message, report)
    supervisor.supervise('entry', partial(entry.serve, role.handle_packet))
    supervisor.supervise('link', partial(link.serve, receive))
    supervisor.supervise('routes', role.follow_routes)
    supervisor.supervise('memory', role.expire_idle)
    supervisor.supervise(
        'control',
        partial(
            poll_control,
            BALANCER,
            own_node,
            finder,
            lambda: role.confirmed,
            paced.send,
            report,
        ),
    )
    return role


def _read_placement_query(text: str) -> tuple[Address, float, str]:
    """Read the query for a placement.

    :param text: query of the URL
    :returns: entry address, age in milliseconds and zone
    :raises ValueError: when it is invalid
    """
    query = parse_qs(
        text, strict_parsing=True, max_num_fields=QUERY_FIELDS_MAX
    )
    entry = parse_address(query.get('entry', [''])[0])
    age_ms = float(query.get('age_ms', ['0'])[0])
    if isinstance(entry, Failed):
        raise ValueError(f'entry: {entry.failure().reason}')
    if not 0 <= age_ms <= AGE_MAX_MS:
        raise ValueError(f'age_ms: expected a number from 0 to {AGE_MAX_MS}')
    return entry.unwrap(), age_ms, query.get('zone', [''])[0]

"""What an agent does with its flows, requests and peers."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any
from typing import TYPE_CHECKING

from aioquic.h3.events import DataReceived
from aioquic.h3.events import H3Event
from aioquic.h3.events import HeadersReceived
import attrs
from pistachiohook_core.published import PublishedState
from pistachiohook_core.published import Service
from pistachiohook_core.published import Target
from pistachiohook_core.published import TargetState
from pistachiohook_core.requests.scheduler_messages import DrainStarted
from pistachiohook_core.requests.slot_messages import FreeSlotsReport
from pistachiohook_core.steering.flow_messages import MessageReceived
from pistachiohook_core.steering.flow_messages import PublishedChanged
from pistachiohook_core.steering.flow_messages import RegisterFlows

from ..endpoints import Health
from .engine import Engine
from .engine import Flow
from .engine import StreamCancelled
from .exchange import Exchange
from .exchange import Header
from .flows import FlowService
from .goaway import send_goaway
from .ledger import LedgerService
from .load import LoadService
from .requests import RequestService

if TYPE_CHECKING:
    from pistachiohook_core.metrics import Metrics

    from ..settings import AgentSettings
    from ..subscriber import Subscriber

#: Idle timeout until the policy of the service is known, in seconds.
IDLE_TIMEOUT = 15.0

#: Most pseudo-header fields of a request (RFC 9114, 4.3.1, and RFC 9220).
PSEUDO_HEADERS = 5

#: Keepalives that go out within one idle timeout.
KEEPALIVES = 3

#: Time that the published drain needs to reach the balancers, in seconds.
DRAIN_NOTICE = 1.0

#: Time over which the callers of a draining target are sent elsewhere, in
#: seconds; what they ask meanwhile is handed over.
GOAWAY_SPREAD = 5.0

#: Interval at which a drain looks for work in progress, in seconds.
DRAIN_INTERVAL = 0.05


@attrs.define
class AgentRole:
    """State of a running agent.

    :param own: the agent's settings
    :param target: what the agent announces
    :param metrics: counts what passes and what is dropped
    :param flows: the datagrams' way
    :param requests: the requests in progress
    :param ledger: this agent's part in the ledger
    """

    own: AgentSettings
    target: Target
    metrics: Metrics
    flows: FlowService
    requests: RequestService
    ledger: LedgerService
    load: LoadService | None = None
    engine: Engine | None = None
    subscriber: Subscriber | None = None
    service: Service | None = None
    _exchanges: dict[tuple[Flow, int], tuple[int, Exchange]] = attrs.field(
        factory=dict
    )
    _draining: bool = False
    _announcing: asyncio.Task[None] | None = None
    _zones: dict[str, str] = attrs.field(factory=dict)

    def apply(self, published: PublishedState) -> None:
        """Put what is published in force."""
        self.flows.handle(PublishedChanged(published))
        named = (
            one for one in published.services if one.name == self.own.service
        )
        self.service = next(named, None)
        if self.service is not None:
            self._apply_policy(self.service)
        self._apply_peers(published)
        announced = (
            one for one in published.targets if one.name == self.target.name
        )
        state = next((one.state for one in announced), None)
        if state is TargetState.DRAINING and not self._draining:
            self.start_drain()

    def start_drain(self) -> None:
        """Take nothing new; what is in progress goes on."""
        self._draining = True
        self.requests.handle(DrainStarted())
        if self._announcing is None and self.engine is not None:
            announcing = self._announce_goaway(self.engine)
            self._announcing = asyncio.create_task(announcing)

    async def _announce_goaway(self, engine: Engine) -> None:
        """Send the callers elsewhere one by one, not in a herd."""
        flows = engine.list_flows()
        for flow in flows:
            send_goaway(engine, flow)
            await asyncio.sleep(GOAWAY_SPREAD / len(flows))

    async def shut_down(self) -> None:
        """Announce the end, finish the work in progress, close the flows."""
        self.target = attrs.evolve(self.target, state=TargetState.DRAINING)
        if self.subscriber is not None:
            self.subscriber.announce(target=self.target)
        await asyncio.sleep(DRAIN_NOTICE)
        self.start_drain()
        try:
            async with asyncio.timeout(self.own.drain_timeout):
                await self._finish_work()
        except TimeoutError:
            self.metrics.count('drain_timeouts')
        if self.engine is not None:
            for flow in self.engine.list_flows():
                self.engine.close_flow(flow, 'the agent shuts down')
        if self.subscriber is not None:
            self.subscriber.leave()

    async def _finish_work(self) -> None:
        if self._announcing is not None:
            await self._announcing
        while self.requests.count_open():
            await asyncio.sleep(DRAIN_INTERVAL)

    def receive_message(self, peer: str, message: Any) -> None:
        """Take a message of another agent."""
        if isinstance(message, RegisterFlows):
            self.flows.handle(MessageReceived(message))
        elif isinstance(message, FreeSlotsReport):
            zone = self.target.availability_zone
            near = self._zones.get(message.target) == zone
            self.requests.take_report(message, near)
        else:
            self.ledger.receive(peer, message)

    def receive_event(self, flow: Flow, event: H3Event) -> None:
        """Take what a caller does on a flow."""
        if isinstance(event, HeadersReceived):
            self._open_exchange(flow, event)
        elif isinstance(event, DataReceived):
            found = self._exchanges.get((flow, event.stream_id))
            if found is not None:
                found[1].feed_body(event.data, event.stream_ended)
        elif isinstance(event, StreamCancelled):
            self._cancel_exchange(flow, event.stream_id)

    def end_flow(self, flow: Flow) -> None:
        """Cancel what nobody waits for any more."""
        streams = [stream for held, stream in self._exchanges if held is flow]
        for stream in streams:
            self._cancel_exchange(flow, stream)
        if self.engine is not None and not self.engine.has_flow(flow.key):
            self.flows.end_flow(flow.key)

    def find_health(self) -> Health:
        """Say whether the agent takes part in the service."""
        if self.subscriber is None or not self.subscriber.is_current():
            return Health(False, 'not current since the start')
        if self.service is None:
            return Health(False, f'no service {self.own.service}')
        return Health(True, 'draining' if self._draining else 'serving')

    async def keep_alive(self) -> None:
        """Ping the flows with requests in progress, until cancelled."""
        while True:
            timeout = (
                self.service.idle_timeout if self.service else IDLE_TIMEOUT
            )
            await asyncio.sleep(timeout / KEEPALIVES)
            for flow in {flow for flow, _ in self._exchanges}:
                if self.engine is not None and not flow.ended:
                    flow.connection.send_ping(0)
                    self.engine.advance(flow)

    def _apply_peers(self, published: PublishedState) -> None:
        service = self.own.service
        peers = tuple(
            one for one in published.targets if one.service == service
        )
        self._zones = {one.name: one.availability_zone for one in peers}
        membership = self.service.membership if self.service else 0
        self.ledger.apply_targets(peers, membership)
        self.requests.apply_peers(peers, self.target.name)
        if self.target.name in self._zones and self.load is not None:
            self.load.apply_peers(peers)

    def announce_weight(self, weight: int) -> None:
        """Announce another weight of the target."""
        self.target = attrs.evolve(self.target, weight=weight)
        if self.subscriber is not None:
            self.subscriber.announce(target=self.target)

    def _apply_policy(self, service: Service) -> None:
        scheduler = self.requests.scheduler
        scheduler.settings = attrs.evolve(
            scheduler.settings,
            queue_limit=service.queue_limit,
            long_after=service.long_after,
        )
        self.ledger.client.lifetime = service.key_lifetime
        self.ledger.replica.lifetime = service.key_lifetime
        formed_at = service.formed_at or None
        self.ledger.client.history.formed_at = formed_at
        self.ledger.replica.formed_at = formed_at
        if self.engine is not None:
            self.engine.configuration.idle_timeout = service.idle_timeout

    def _open_exchange(self, flow: Flow, event: HeadersReceived) -> None:
        if (flow, event.stream_id) in self._exchanges:
            return
        headers = tuple(
            Header(name.decode('latin-1'), value.decode('latin-1'))
            for name, value in event.headers
        )
        pseudo = {one.name: one.value for one in headers[:PSEUDO_HEADERS]}
        assert self.engine is not None
        exchange = Exchange(
            engine=self.engine,
            flow=flow,
            stream_id=event.stream_id,
            method=pseudo.get(':method', 'GET'),
            path=pseudo.get(':path', '/'),
            headers=tuple(
                one for one in headers if not one.name.startswith(':')
            ),
            has_body=not event.stream_ended,
        )
        if exchange.has_body:
            flow.connection.hold_window(event.stream_id)
        place = (flow, event.stream_id)
        ended = partial(self._exchanges.pop, place, None)
        number = self.requests.accept(exchange, ended)
        if number is not None:
            self._exchanges[place] = (number, exchange)

    def _cancel_exchange(self, flow: Flow, stream: int) -> None:
        found = self._exchanges.pop((flow, stream), None)
        if found is not None:
            number, exchange = found
            exchange.cancel()
            self.requests.cancel(number)

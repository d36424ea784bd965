"""The agent role: dispatches callers' events, messages and updates."""

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
from .exchange import Header
from .exchange import Http3Exchange
from .flows import FlowService
from .goaway import send_goaway
from .ledger import LedgerService
from .load import LoadService
from .requests import RequestService

if TYPE_CHECKING:
    from pistachiohook_core.metrics import Metrics

    from ..settings import AgentSettings
    from ..subscriber import Subscriber

#: Idle timeout of the flows before the policy of the service has been
#: received, in seconds.
IDLE_TIMEOUT = 15.0

#: Most pseudo-header fields of a request, which precede all other fields
#: (RFC 9114, 4.3.1, and RFC 9220).
PSEUDO_HEADERS_MAX = 5

#: Number of keepalive pings in one idle timeout.
KEEPALIVES_PER_TIMEOUT = 3

#: Time allowed for the announced drain to reach the balancers before this
#: agent refuses requests, in seconds.
DRAIN_PROPAGATION_TIME = 1.0

#: Time over which the GOAWAY frames of a drain are spread, in seconds.
#: Requests that arrive meanwhile are handed over to peers.
GOAWAY_SPREAD = 5.0

#: Time between two checks whether a drain has finished, in seconds.
DRAIN_POLL_INTERVAL = 0.05


@attrs.define
class AgentRole:
    """Runs one agent and connects its parts.

    :param settings: the agent's settings
    :param target: announcement of the agent's target
    :param metrics: takes counts and durations
    :param flows: routes datagrams between callers and the QUIC engine
    :param requests: runs the requests in progress
    :param ledger: client and replica of the ledger of idempotency keys
    :param load: polls the target's load; set by ``start_agent``
    :param engine: QUIC engine; set by ``start_agent``
    :param subscriber: subscription to control; set by ``start_agent``
    :param service: policy of the service; ``None`` until it is published
    """

    settings: AgentSettings
    target: Target
    metrics: Metrics
    flows: FlowService
    requests: RequestService
    ledger: LedgerService
    load: LoadService | None = None
    engine: Engine | None = None
    subscriber: Subscriber | None = None
    service: Service | None = None
    _exchanges: dict[tuple[Flow, int], tuple[int, Http3Exchange]] = (
        attrs.field(factory=dict)
    )
    _draining: bool = False
    _goaway_task: asyncio.Task[None] | None = None
    _zones: dict[str, str] = attrs.field(factory=dict)

    def apply(self, published: PublishedState) -> None:
        """Apply a published configuration."""
        self.flows.handle(PublishedChanged(published))
        services = (
            one
            for one in published.services
            if one.name == self.settings.service
        )
        self.service = next(services, None)
        if self.service is not None:
            self._apply_policy(self.service)
        self._apply_peers(published)
        targets = (
            one for one in published.targets if one.name == self.target.name
        )
        state = next((one.state for one in targets), None)
        if state is TargetState.DRAINING and not self._draining:
            self.start_drain()

    def start_drain(self) -> None:
        """Refuse or hand over new requests and send GOAWAY to the callers.

        Requests in progress are completed.
        """
        self._draining = True
        self.requests.handle(DrainStarted())
        if self._goaway_task is None and self.engine is not None:
            goaways = self._send_goaways(self.engine)
            self._goaway_task = asyncio.create_task(goaways)

    async def _send_goaways(self, engine: Engine) -> None:
        """Send GOAWAY on every flow.

        The frames are spread over time so that the callers do not all
        reconnect at once.
        """
        flows = engine.list_flows()
        for flow in flows:
            send_goaway(engine, flow)
            await asyncio.sleep(GOAWAY_SPREAD / len(flows))

    async def shut_down(self) -> None:
        """Announce the drain, finish the requests and close the flows.

        Requests that are still in progress after the drain timeout are cut
        off when their flows are closed.
        """
        self.target = attrs.evolve(self.target, state=TargetState.DRAINING)
        if self.subscriber is not None:
            self.subscriber.announce(target=self.target)
        await asyncio.sleep(DRAIN_PROPAGATION_TIME)
        self.start_drain()
        try:
            async with asyncio.timeout(self.settings.drain_timeout):
                await self._finish_work()
        except TimeoutError:
            self.metrics.count('drain_timeouts')
        if self.engine is not None:
            for flow in self.engine.list_flows():
                self.engine.close_flow(flow, 'the agent shuts down')
        if self.subscriber is not None:
            self.subscriber.leave()

    async def _finish_work(self) -> None:
        if self._goaway_task is not None:
            await self._goaway_task
        while self.requests.count_active():
            await asyncio.sleep(DRAIN_POLL_INTERVAL)

    def receive_message(self, peer: str, message: Any) -> None:
        """Handle a message from another agent.

        :param peer: name of the sender's target
        :param message: the message
        """
        if isinstance(message, RegisterFlows):
            self.flows.handle(MessageReceived(message))
        elif isinstance(message, FreeSlotsReport):
            zone = self.target.availability_zone
            local = self._zones.get(message.target) == zone
            self.requests.record_free_slots(message, local)
        else:
            self.ledger.receive(peer, message)

    def receive_event(self, flow: Flow, event: H3Event) -> None:
        """Handle an HTTP/3 event of a flow."""
        if isinstance(event, HeadersReceived):
            self._open_exchange(flow, event)
        elif isinstance(event, DataReceived):
            found = self._exchanges.get((flow, event.stream_id))
            if found is not None:
                found[1].feed_body(event.data, event.stream_ended)
        elif isinstance(event, StreamCancelled):
            self._cancel_exchange(flow, event.stream_id)

    def end_flow(self, flow: Flow) -> None:
        """Cancel the requests of a connection that has ended.

        The router is notified when no other connection has the same caller
        and service address.
        """
        streams = [stream for held, stream in self._exchanges if held is flow]
        for stream in streams:
            self._cancel_exchange(flow, stream)
        if self.engine is not None and not self.engine.has_flow(flow.key):
            self.flows.end_flow(flow.key)

    def find_health(self) -> Health:
        """Return whether the agent can serve requests, and its state."""
        if self.subscriber is None or not self.subscriber.is_current():
            return Health(
                False,
                'published state not confirmed as current since the start',
            )
        if self.service is None:
            return Health(False, f'no service {self.settings.service}')
        return Health(True, 'draining' if self._draining else 'serving')

    async def keep_alive(self) -> None:
        """Ping the flows that have requests in progress, until cancelled.

        Without the pings, a connection would reach its idle timeout while
        its caller waits for a slow target.
        """
        while True:
            timeout = (
                self.service.idle_timeout if self.service else IDLE_TIMEOUT
            )
            await asyncio.sleep(timeout / KEEPALIVES_PER_TIMEOUT)
            for flow in {flow for flow, _ in self._exchanges}:
                if self.engine is not None and not flow.ended:
                    flow.connection.send_ping(0)
                    self.engine.advance(flow)

    def _apply_peers(self, published: PublishedState) -> None:
        service = self.settings.service
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
        """Announce a new weight of the target to control."""
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
        pseudo = {one.name: one.value for one in headers[:PSEUDO_HEADERS_MAX]}
        assert self.engine is not None
        exchange = Http3Exchange(
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
            flow.connection.track_consumption(event.stream_id)
        key = (flow, event.stream_id)
        on_finished = partial(self._exchanges.pop, key, None)
        request_id = self.requests.accept(exchange, on_finished)
        if request_id is not None:
            self._exchanges[key] = (request_id, exchange)

    def _cancel_exchange(self, flow: Flow, stream: int) -> None:
        found = self._exchanges.pop((flow, stream), None)
        if found is not None:
            request_id, exchange = found
            exchange.cancel()
            self.requests.cancel(request_id)

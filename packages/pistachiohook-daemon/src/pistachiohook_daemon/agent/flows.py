"""Moves datagrams between an agent's socket, router and QUIC engine."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.steering.envelope import Keys
from pistachiohook_core.steering.envelope import seal
from pistachiohook_core.steering.envelope import unseal
from pistachiohook_core.steering.flow_messages import AbandonFlow
from pistachiohook_core.steering.flow_messages import Action
from pistachiohook_core.steering.flow_messages import Deliver
from pistachiohook_core.steering.flow_messages import Drop
from pistachiohook_core.steering.flow_messages import EnvelopeReceived
from pistachiohook_core.steering.flow_messages import Event
from pistachiohook_core.steering.flow_messages import FlowEnded
from pistachiohook_core.steering.flow_messages import FlowEstablished
from pistachiohook_core.steering.flow_messages import FlowKey
from pistachiohook_core.steering.flow_messages import SendEnvelope
from pistachiohook_core.steering.flow_messages import SendMessage
from pistachiohook_core.steering.flow_messages import SendReset
from pistachiohook_core.steering.flow_messages import Tick
from pistachiohook_core.steering.flows import AgentRouter
from pistachiohook_core.steering.flows import TICK_INTERVAL
from pistachiohook_core.steering.quic import read_connection_id
from returns.result import Failure as Failed

from .connection import build_stateless_reset
from .engine import CONNECTION_ID_LENGTH
from .engine import Engine

if TYPE_CHECKING:
    from pistachiohook_core.addresses import Address
    from pistachiohook_core.metrics import Metrics

    from ..datagrams import DatagramSocket
    from .peers import PeerLinks


@attrs.define
class FlowService:
    """Performs the actions of the router of one agent.

    :param router: decides where each datagram is sent
    :param keys: keys that authenticate the envelopes
    :param sealed: socket for the envelopes from and to balancers and agents
    :param peers: links to the other agents of the service
    :param metrics: counts the datagrams that are sent or dropped
    :param engine: QUIC engine; set by ``start_agent``
    """

    router: AgentRouter
    keys: Keys
    sealed: DatagramSocket
    peers: PeerLinks
    metrics: Metrics
    engine: Engine | None = None

    async def run(self) -> None:
        """Send periodic ticks to the router, until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            self.handle(Tick())

    def receive_sealed(self, data: bytes, peer: Address) -> None:
        """Process an envelope from a balancer or from another agent."""
        del peer
        unsealed = unseal(data, self.keys)
        if isinstance(unsealed, Failed):
            self.metrics.count(f'dropped_{unsealed.failure().value}')
            return
        self.handle(EnvelopeReceived(unsealed.unwrap()))

    def mark_established(self, key: FlowKey) -> None:
        """Tell the router that the handshake of a flow is complete."""
        self.metrics.count('flows_opened')
        self.handle(FlowEstablished(key))

    def end_flow(self, key: FlowKey) -> None:
        """Tell the router that the engine no longer holds a flow."""
        self.metrics.count('flows_ended')
        self.handle(FlowEnded(key))

    def transmit(
        self, key: FlowKey, payload: bytes, balancer: Address | None = None
    ) -> None:
        """Send a datagram to a caller through a live balancer.

        :param key: flow of the caller
        :param payload: the datagram
        :param balancer: preferred balancer for a flow that is not held here
        """
        now = asyncio.get_running_loop().time()
        self._perform(self.router.wrap_answer(key, payload, now, balancer))

    def handle(self, event: Event) -> None:
        """Pass an event to the router and perform its actions."""
        now = asyncio.get_running_loop().time()
        for action in self.router.handle(event, now):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        _ACTION_HANDLERS[type(action)](self, action)

    def _deliver(self, action: Deliver) -> None:
        """Pass a datagram to the engine, or reset an unknown connection."""
        assert self.engine is not None
        if self.engine.receive(action.flow, action.payload):
            return
        self.metrics.count('datagrams_of_no_connection')
        self._transmit_reset(action.flow, action.payload, None)
        if not self.engine.has_flow(action.flow):
            self.handle(FlowEnded(action.flow))

    def _send_envelope(self, action: SendEnvelope) -> None:
        self.metrics.count(f'sent_{action.envelope.kind.name.lower()}')
        self.sealed.send(seal(action.envelope, self.keys), action.address)

    def _send_message(self, action: SendMessage) -> None:
        self.peers.send(action.link, action.message)

    def _send_reset(self, action: SendReset) -> None:
        self.metrics.count('unknown_flows')
        self._transmit_reset(action.flow, action.payload, action.balancer)

    def _transmit_reset(
        self, key: FlowKey, payload: bytes, balancer: Address | None
    ) -> None:
        """Send a stateless reset to the caller (RFC 9000, 10.3)."""
        connection_id = read_connection_id(payload, CONNECTION_ID_LENGTH)
        if connection_id is None or self.engine is None:
            return
        reset = build_stateless_reset(self.engine.reset_key, connection_id)
        self.transmit(key, reset, balancer)

    def _abandon(self, action: AbandonFlow) -> None:
        self.metrics.count('flows_abandoned')
        if self.engine is not None:
            self.engine.abandon(action.flow)

    def _drop(self, action: Drop) -> None:
        self.metrics.count(f'dropped_{action.reason.value}')


_ACTION_HANDLERS: dict[type, Any] = {
    Deliver: FlowService._deliver,
    SendEnvelope: FlowService._send_envelope,
    SendMessage: FlowService._send_message,
    SendReset: FlowService._send_reset,
    AbandonFlow: FlowService._abandon,
    Drop: FlowService._drop,
}

"""The flows of one agent between its sockets and its QUIC engine."""

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
    """State of the datagrams' way through an agent.

    :param owner: decides where a datagram goes
    :param keys: keys of the envelopes
    :param sealed: socket between agents and balancers
    :param peers: links to the other agents of the service
    :param metrics: counts what passes and what is dropped
    """

    owner: AgentRouter
    keys: Keys
    sealed: DatagramSocket
    peers: PeerLinks
    metrics: Metrics
    engine: Engine | None = None

    async def run(self) -> None:
        """Let the owner see the time until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            self.handle(Tick())

    def receive_sealed(self, data: bytes, peer: Address) -> None:
        """Take a datagram of a balancer or of another agent."""
        del peer
        unsealed = unseal(data, self.keys)
        if isinstance(unsealed, Failed):
            self.metrics.count(f'dropped_{unsealed.failure().value}')
            return
        self.handle(EnvelopeReceived(unsealed.unwrap()))

    def open_flow(self, key: FlowKey) -> None:
        """Note that a handshake is complete."""
        self.metrics.count('flows_opened')
        self.handle(FlowEstablished(key))

    def end_flow(self, key: FlowKey) -> None:
        """Note that the engine holds a flow no more."""
        self.metrics.count('flows_ended')
        self.handle(FlowEnded(key))

    def transmit(
        self, key: FlowKey, payload: bytes, balancer: Address | None = None
    ) -> None:
        """Send a datagram to a caller through a live balancer.

        :param key: flow of the caller
        :param payload: the datagram
        :param balancer: balancer to prefer, for a flow that is not held
        """
        now = asyncio.get_running_loop().time()
        self._perform(self.owner.wrap_answer(key, payload, now, balancer))

    def handle(self, event: Event) -> None:
        """Give an event to the owner and do what it asks for."""
        now = asyncio.get_running_loop().time()
        for action in self.owner.handle(event, now):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        _PERFORMERS[type(action)](self, action)

    def _deliver(self, action: Deliver) -> None:
        assert self.engine is not None
        if self.engine.receive(action.flow, action.payload):
            return
        self.metrics.count('datagrams_of_no_connection')
        self._reset(action.flow, action.payload, None)
        if not self.engine.has_flow(action.flow):
            self.handle(FlowEnded(action.flow))

    def _send_envelope(self, action: SendEnvelope) -> None:
        self.metrics.count(f'sent_{action.envelope.kind.name.lower()}')
        self.sealed.send(seal(action.envelope, self.keys), action.address)

    def _send_message(self, action: SendMessage) -> None:
        self.peers.send(action.link, action.message)

    def _close(self, action: SendReset) -> None:
        self.metrics.count('unknown_flows')
        self._reset(action.flow, action.payload, action.balancer)

    def _reset(
        self, key: FlowKey, payload: bytes, balancer: Address | None
    ) -> None:
        """Tell the caller at once that its flow is gone (RFC 9000, 10.3)."""
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


_PERFORMERS: dict[type, Any] = {
    Deliver: FlowService._deliver,
    SendEnvelope: FlowService._send_envelope,
    SendMessage: FlowService._send_message,
    SendReset: FlowService._close,
    AbandonFlow: FlowService._abandon,
    Drop: FlowService._drop,
}

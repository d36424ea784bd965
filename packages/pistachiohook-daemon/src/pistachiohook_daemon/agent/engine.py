"""QUIC and HTTP/3 of the flows of one agent, without a socket."""

from __future__ import annotations

import asyncio
from functools import partial
import itertools
from typing import TYPE_CHECKING

from aioquic.buffer import Buffer
from aioquic.h3.connection import H3_ALPN
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import H3Event
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import ConnectionIdIssued
from aioquic.quic.events import ConnectionIdRetired
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.events import HandshakeCompleted
from aioquic.quic.events import ProtocolNegotiated
from aioquic.quic.events import QuicEvent
from aioquic.quic.events import StopSendingReceived
from aioquic.quic.events import StreamReset
from aioquic.quic.packet import encode_quic_version_negotiation
from aioquic.quic.packet import pull_quic_header
from aioquic.quic.packet import QuicPacketType
import attrs
from pistachiohook_core.events import FLOW_FAILED
from pistachiohook_core.steering.flow_messages import FlowKey

from ..logs import describe_error
from .connection import AgentConnection
from .connection import STREAM_WINDOW

if TYPE_CHECKING:
    from collections.abc import Callable

    from aioquic.quic.packet import QuicHeader

    from ..logs import Report

#: Length of the connection ids that agents choose, in bytes.
CONNECTION_ID_LENGTH = 8

#: Smallest datagram that may open a flow, in bytes (RFC 9000, 14.1).
OPENING_LENGTH_MIN = 1200

#: HTTP/3 error code of a graceful close (RFC 9114, 8.1).
H3_NO_ERROR = 0x100


@attrs.define(eq=False)
class Flow:
    """State of one flow.

    :param key: its ends
    :param connection: its QUIC connection
    """

    key: FlowKey
    connection: AgentConnection
    h3: H3Connection | None = None
    ended: bool = False
    _ids: set[bytes] = attrs.field(factory=set)
    _timer: asyncio.TimerHandle | None = None
    _timer_at: float | None = None


def configure_quic(
    certificate: str, private_key: str, idle_timeout: float
) -> QuicConfiguration:
    """Return the QUIC configuration of an agent.

    :param certificate: file with the certificate chain, PEM
    :param private_key: file with the private key, PEM
    :param idle_timeout: silence after which a flow is closed, in seconds
    :raises OSError: when a file cannot be read
    :raises ValueError: when a file is not PEM
    """
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=CONNECTION_ID_LENGTH,
        idle_timeout=idle_timeout,
        max_stream_data=STREAM_WINDOW,
    )
    configuration.load_cert_chain(certificate, private_key)
    return configuration


@attrs.define(eq=False)
class Engine:
    """State of all flows of one agent.

    :param configuration: see :func:`configure_quic`
    :param reset_key: key that stateless resets are derived from
    :param transmit: takes a datagram for the caller of a flow
    :param receive_event: takes what a caller does on a flow
    :param open_flow: told when a handshake is complete
    :param end_flow: told when a connection has ended
    :param report: logs an event
    """

    configuration: QuicConfiguration
    reset_key: bytes
    transmit: Callable[[FlowKey, bytes], None]
    receive_event: Callable[[Flow, H3Event], None]
    open_flow: Callable[[FlowKey], None]
    end_flow: Callable[[Flow], None]
    report: Report
    _flows: dict[FlowKey, list[Flow]] = attrs.field(factory=dict)
    _by_id: dict[bytes, Flow] = attrs.field(factory=dict)

    def list_flows(self) -> tuple[Flow, ...]:
        """Return the flows that have not ended."""
        return tuple(itertools.chain.from_iterable(self._flows.values()))

    def has_flow(self, key: FlowKey) -> bool:
        """Say whether a flow with these ends is held."""
        return key in self._flows

    def receive(self, key: FlowKey, payload: bytes) -> bool:
        """Take a datagram of a caller.

        :returns: whether it belongs to a flow that is held, or opens one
        """
        header = _pull_header(payload)
        if header is None:
            return False
        if self._refuse_version(key, header):
            return True
        flow = self._by_id.get(header.destination_cid)
        if flow is not None and flow.key != key:
            return False
        if flow is None:
            flow = self._open_flow(key, header, len(payload))
        if flow is None:
            return False
        self._guard(flow, partial(self._take_datagram, flow, payload))
        return True

    def advance(self, flow: Flow) -> None:
        """Handle the events of a flow, send what it has to send."""
        self._take_events(flow)
        now = asyncio.get_running_loop().time()
        for data, _ in flow.connection.datagrams_to_send(now=now):
            self.transmit(flow.key, data)
        self._set_timer(flow)

    def close_flow(self, flow: Flow, reason: str) -> None:
        """Close a flow, so that its caller can act at once."""
        flow.connection.close(error_code=H3_NO_ERROR, reason_phrase=reason)
        self.advance(flow)

    def abandon(self, key: FlowKey) -> None:
        """Forget a flow and send nothing to its caller."""
        for flow in self._flows.get(key, ()):
            self._forget_flow(flow)
            self._set_timer(flow)

    def _take_datagram(self, flow: Flow, payload: bytes) -> None:
        now = asyncio.get_running_loop().time()
        path = (flow.key.caller.host, flow.key.caller.port)
        flow.connection.receive_datagram(payload, path, now=now)
        self.advance(flow)

    def _guard(self, flow: Flow, act: Callable[[], None]) -> None:
        """Let a fault in one flow end that flow only."""
        try:
            act()
        except Exception as error:
            peer = str(flow.key.caller)
            text = describe_error(error)
            self.report(
                FLOW_FAILED, step='advance flow', peer=peer, error=text
            )
            if not flow.ended:
                self._forget_flow(flow)
            self._set_timer(flow)

    def _refuse_version(self, key: FlowKey, header: QuicHeader) -> bool:
        supported = self.configuration.supported_versions
        version = header.version
        if version is None or version in supported:
            return False
        if header.packet_type != QuicPacketType.VERSION_NEGOTIATION:
            answer = encode_quic_version_negotiation(
                source_cid=header.destination_cid,
                destination_cid=header.source_cid,
                supported_versions=supported,
            )
            self.transmit(key, answer)
        return True

    def _open_flow(
        self, key: FlowKey, header: QuicHeader, length: int
    ) -> Flow | None:
        opens = header.packet_type == QuicPacketType.INITIAL
        if not opens or length < OPENING_LENGTH_MIN:
            return None
        connection = AgentConnection(
            reset_key=self.reset_key,
            configuration=self.configuration,
            original_destination_connection_id=header.destination_cid,
        )
        flow = Flow(key, connection)
        self._flows.setdefault(key, []).append(flow)
        self._add_connection_id(flow, header.destination_cid)
        self._add_connection_id(flow, connection.host_cid)
        return flow

    def _add_connection_id(self, flow: Flow, connection_id: bytes) -> None:
        flow._ids.add(connection_id)
        self._by_id[connection_id] = flow

    def _take_events(self, flow: Flow) -> None:
        event = flow.connection.next_event()
        while event is not None:
            self._take_event(flow, event)
            event = flow.connection.next_event()

    def _take_event(self, flow: Flow, event: QuicEvent) -> None:
        if isinstance(event, ConnectionIdIssued):
            self._add_connection_id(flow, event.connection_id)
        elif isinstance(event, ConnectionIdRetired):
            flow._ids.discard(event.connection_id)
            self._by_id.pop(event.connection_id, None)
        elif isinstance(event, HandshakeCompleted):
            self.open_flow(flow.key)
        elif isinstance(event, ProtocolNegotiated):
            flow.h3 = H3Connection(flow.connection)
        elif isinstance(event, ConnectionTerminated):
            self._forget_flow(flow)
        self._take_stream_event(flow, event)

    def _take_stream_event(self, flow: Flow, event: QuicEvent) -> None:
        if flow.h3 is not None:
            for h3_event in flow.h3.handle_event(event):
                self.receive_event(flow, h3_event)
        if isinstance(event, StreamReset | StopSendingReceived):
            self.receive_event(flow, StreamCancelled(event.stream_id))

    def _forget_flow(self, flow: Flow) -> None:
        flow.ended = True
        others = [one for one in self._flows[flow.key] if one is not flow]
        if others:
            self._flows[flow.key] = others
        else:
            del self._flows[flow.key]
        for connection_id in flow._ids:
            self._by_id.pop(connection_id, None)
        self.end_flow(flow)

    def _set_timer(self, flow: Flow) -> None:
        timer_at = None if flow.ended else flow.connection.get_timer()
        if flow._timer is not None and flow._timer_at != timer_at:
            flow._timer.cancel()
            flow._timer = None
        if flow._timer is None and timer_at is not None:
            loop = asyncio.get_running_loop()
            flow._timer = loop.call_at(timer_at, self._handle_timer, flow)
        flow._timer_at = timer_at

    def _handle_timer(self, flow: Flow) -> None:
        loop = asyncio.get_running_loop()
        now = max(flow._timer_at or 0.0, loop.time())
        flow._timer = None
        flow._timer_at = None
        self._guard(flow, partial(self._pass_time, flow, now))

    def _pass_time(self, flow: Flow, now: float) -> None:
        flow.connection.handle_timer(now=now)
        self.advance(flow)


@attrs.frozen
class StreamCancelled(H3Event):
    """A caller no longer waits for the answer on a stream.

    :param stream_id: number of the stream
    """

    stream_id: int


def _pull_header(payload: bytes) -> QuicHeader | None:
    try:
        return pull_quic_header(
            Buffer(data=payload), host_cid_length=CONNECTION_ID_LENGTH
        )
    except ValueError:
        return None

"""Server side of QUIC and HTTP/3 for one agent's flows, without a socket."""

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

#: Length of the connection ids that agents issue, in bytes.
CONNECTION_ID_LENGTH = 8

#: Shortest datagram with an Initial packet that is accepted from a caller, in
#: bytes (RFC 9000, 14.1).
INITIAL_LENGTH_MIN = 1200

#: HTTP/3 error code of a graceful close (RFC 9114, 8.1).
H3_NO_ERROR = 0x100


@attrs.define(eq=False)
class Flow:
    """One QUIC connection of a caller and its HTTP/3 state.

    :param key: the caller's address and the service address
    :param connection: the QUIC connection
    :param h3: the HTTP/3 connection; ``None`` until the protocol has been
        negotiated
    :param ended: whether the engine has removed the flow
    """

    key: FlowKey
    connection: AgentConnection
    h3: H3Connection | None = None
    ended: bool = False
    _connection_ids: set[bytes] = attrs.field(factory=set)
    _timer: asyncio.TimerHandle | None = None
    _timer_at: float | None = None


def configure_quic(
    certificate: str, private_key: str, idle_timeout: float
) -> QuicConfiguration:
    """Return the QUIC configuration of an agent.

    :param certificate: file with the certificate chain, PEM
    :param private_key: file with the private key, PEM
    :param idle_timeout: time without datagrams after which a connection is
        closed, in seconds
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
    """Holds the QUIC connections of one agent.

    A key may have several flows, since a caller can open a new connection
    from the same address before the old one has ended.

    :param configuration: see :func:`configure_quic`
    :param reset_key: key that stateless reset tokens are derived from
    :param transmit: sends a datagram to the caller of a flow
    :param receive_event: called with each HTTP/3 event of a flow
    :param mark_established: called when a handshake is complete
    :param end_flow: called when a flow has been removed
    :param report: logs an event
    """

    configuration: QuicConfiguration
    reset_key: bytes
    transmit: Callable[[FlowKey, bytes], None]
    receive_event: Callable[[Flow, H3Event], None]
    mark_established: Callable[[FlowKey], None]
    end_flow: Callable[[Flow], None]
    report: Report
    _flows: dict[FlowKey, list[Flow]] = attrs.field(factory=dict)
    _by_connection_id: dict[bytes, Flow] = attrs.field(factory=dict)

    def list_flows(self) -> tuple[Flow, ...]:
        """Return the flows that have not ended."""
        return tuple(itertools.chain.from_iterable(self._flows.values()))

    def has_flow(self, key: FlowKey) -> bool:
        """Return whether a flow with this key is held."""
        return key in self._flows

    def receive(self, key: FlowKey, payload: bytes) -> bool:
        """Process a datagram from a caller.

        :returns: whether the datagram was used: it belongs to a flow that is
            held, opens one, or was answered with a version negotiation
        """
        header = _parse_header(payload)
        if header is None:
            return False
        if self._negotiate_version(key, header):
            return True
        flow = self._by_connection_id.get(header.destination_cid)
        if flow is not None and flow.key != key:
            return False
        if flow is None:
            flow = self._open_flow(key, header, len(payload))
        if flow is None:
            return False
        self._isolate_errors(
            flow, partial(self._process_datagram, flow, payload)
        )
        return True

    def advance(self, flow: Flow) -> None:
        """Process a flow's pending events and send its pending datagrams."""
        self._handle_events(flow)
        now = asyncio.get_running_loop().time()
        for data, _ in flow.connection.datagrams_to_send(now=now):
            self.transmit(flow.key, data)
        self._set_timer(flow)

    def close_flow(self, flow: Flow, reason: str) -> None:
        """Close a flow and notify its caller with CONNECTION_CLOSE."""
        flow.connection.close(error_code=H3_NO_ERROR, reason_phrase=reason)
        self.advance(flow)

    def abandon(self, key: FlowKey) -> None:
        """Remove the flows with this key and send nothing to the caller."""
        for flow in self._flows.get(key, ()):
            self._remove_flow(flow)
            self._set_timer(flow)

    def _process_datagram(self, flow: Flow, payload: bytes) -> None:
        now = asyncio.get_running_loop().time()
        path = (flow.key.caller.host, flow.key.caller.port)
        flow.connection.receive_datagram(payload, path, now=now)
        self.advance(flow)

    def _isolate_errors(self, flow: Flow, work: Callable[[], None]) -> None:
        """Run a function; an exception in it ends only this flow."""
        try:
            work()
        except Exception as error:
            peer = str(flow.key.caller)
            text = describe_error(error)
            self.report(
                FLOW_FAILED, step='advance flow', peer=peer, error=text
            )
            if not flow.ended:
                self._remove_flow(flow)
            self._set_timer(flow)

    def _negotiate_version(self, key: FlowKey, header: QuicHeader) -> bool:
        supported = self.configuration.supported_versions
        version = header.version
        if version is None or version in supported:
            return False
        if header.packet_type != QuicPacketType.VERSION_NEGOTIATION:
            negotiation = encode_quic_version_negotiation(
                source_cid=header.destination_cid,
                destination_cid=header.source_cid,
                supported_versions=supported,
            )
            self.transmit(key, negotiation)
        return True

    def _open_flow(
        self, key: FlowKey, header: QuicHeader, length: int
    ) -> Flow | None:
        is_initial = header.packet_type == QuicPacketType.INITIAL
        if not is_initial or length < INITIAL_LENGTH_MIN:
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
        flow._connection_ids.add(connection_id)
        self._by_connection_id[connection_id] = flow

    def _handle_events(self, flow: Flow) -> None:
        event = flow.connection.next_event()
        while event is not None:
            self._handle_event(flow, event)
            event = flow.connection.next_event()

    def _handle_event(self, flow: Flow, event: QuicEvent) -> None:
        if isinstance(event, ConnectionIdIssued):
            self._add_connection_id(flow, event.connection_id)
        elif isinstance(event, ConnectionIdRetired):
            flow._connection_ids.discard(event.connection_id)
            self._by_connection_id.pop(event.connection_id, None)
        elif isinstance(event, HandshakeCompleted):
            self.mark_established(flow.key)
        elif isinstance(event, ProtocolNegotiated):
            flow.h3 = H3Connection(flow.connection)
        elif isinstance(event, ConnectionTerminated):
            self._remove_flow(flow)
        self._handle_stream_event(flow, event)

    def _handle_stream_event(self, flow: Flow, event: QuicEvent) -> None:
        if flow.h3 is not None:
            for h3_event in flow.h3.handle_event(event):
                self.receive_event(flow, h3_event)
        if isinstance(event, StreamReset | StopSendingReceived):
            self.receive_event(flow, StreamCancelled(event.stream_id))

    def _remove_flow(self, flow: Flow) -> None:
        flow.ended = True
        remaining = [one for one in self._flows[flow.key] if one is not flow]
        if remaining:
            self._flows[flow.key] = remaining
        else:
            del self._flows[flow.key]
        for connection_id in flow._connection_ids:
            self._by_connection_id.pop(connection_id, None)
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
        self._isolate_errors(flow, partial(self._process_timer, flow, now))

    def _process_timer(self, flow: Flow, now: float) -> None:
        flow.connection.handle_timer(now=now)
        self.advance(flow)


@attrs.frozen
class StreamCancelled(H3Event):
    """The caller has reset a stream or stopped reading its response.

    :param stream_id: number of the stream
    """

    stream_id: int


def _parse_header(payload: bytes) -> QuicHeader | None:
    try:
        return pull_quic_header(
            Buffer(data=payload), host_cid_length=CONNECTION_ID_LENGTH
        )
    except ValueError:
        return None

"""Client side of a flow: HTTP/3 over one QUIC connection."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import FrameType
from aioquic.h3.connection import H3_ALPN
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived
from aioquic.h3.events import HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.events import StreamReset
import attrs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping

    from aioquic.h3.events import H3Event
    from aioquic.quic.events import QuicEvent

    from .settings import Endpoint

#: Length of a stateless reset token, in bytes.
RESET_TOKEN_LENGTH = 16

#: Shortest datagram that may be a stateless reset, in bytes.
RESET_LENGTH_MIN = 21

#: QUIC idle timeout of a caller's connection, in seconds.
IDLE_TIMEOUT = 15.0

#: Time between two keepalives, in seconds.
KEEPALIVE_INTERVAL = 3.0

#: Timeout of the QUIC handshake, in seconds.
HANDSHAKE_TIMEOUT = 10.0


#: Error code of a request that the caller cancelled (RFC 9114, 8.1).
REQUEST_CANCELLED = 0x10C


class FlowLostError(Exception):
    """The connection ended and the caller had not closed it."""


class StreamResetError(Exception):
    """The peer reset the stream of one request."""


@attrs.define
class Exchange:
    """A request and the events of its response that aren't read yet.

    :param stream: ID of the QUIC stream
    :param events: the response's header events, then its data events, or the
        error that ended the exchange
    """

    stream: int
    events: asyncio.Queue[H3Event | Exception] = attrs.field(
        factory=asyncio.Queue
    )


class _GoawayRecorder(H3Connection):
    """HTTP/3 connection that records GOAWAY frames; aioquic ignores them."""

    goaway_received = False

    def _check_control_frame_type(self, frame_type: int) -> None:
        super()._check_control_frame_type(frame_type)
        self.goaway_received = (
            self.goaway_received or frame_type == FrameType.GOAWAY
        )


class Flow(QuicConnectionProtocol):
    """Client connection that carries the requests of one flow."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        # Why the flow was lost; empty while it is not.
        self.lost = ''
        # Seconds that the newest refusal asked to wait before a retry.
        self.retry_after = 0.0
        self._closing = False
        self._exchanges: dict[int, Exchange] = {}
        self._http = _GoawayRecorder(quic)
        self._keepalive: asyncio.Task[None] | None = None

    @property
    def goaway_received(self) -> bool:
        """Whether the server accepts no new request (RFC 9114, 5.2)."""
        return self._http.goaway_received

    def has_no_requests(self) -> bool:
        """Return whether no request is in progress."""
        return not self._exchanges

    def start_keepalive(self) -> None:
        """Send a PING frame at each keepalive interval until the flow ends."""
        self._keepalive = asyncio.create_task(self._keep_alive())

    async def finish(self) -> None:
        """Close the connection; the flow doesn't count as lost."""
        self._closing = True
        if self._keepalive is not None:
            self._keepalive.cancel()
        if not self.lost:
            self.close()
        if self._transport is not None:
            self._transport.close()

    def send_request(
        self,
        method: str,
        authority: str,
        path: str,
        headers: Mapping[str, str],
        end: bool,
    ) -> Exchange:
        """Send the headers of a request.

        :param end: whether the request has no body
        :raises FlowLostError: when the flow was lost before
        """
        self._raise_if_lost()
        stream = self._quic.get_next_available_stream_id()
        fields = {
            ':method': method,
            ':scheme': 'https',
            ':authority': authority,
            ':path': path,
            **headers,
        }
        exchange = Exchange(stream)
        self._exchanges[stream] = exchange
        encoded = [
            (name.encode(), value.encode()) for name, value in fields.items()
        ]
        self._http.send_headers(stream, encoded, end)
        self.transmit()
        return exchange

    def send_body(self, exchange: Exchange, data: bytes, end: bool) -> None:
        """Send a part of the request's body.

        :param end: whether this is the last part
        :raises FlowLostError: when the flow was lost before
        """
        self._raise_if_lost()
        self._http.send_data(exchange.stream, data, end)
        self.transmit()

    def cancel(self, exchange: Exchange) -> None:
        """Cancel a request: stop sending its body and reading its response."""
        self._exchanges.pop(exchange.stream, None)
        if not self.lost:
            with contextlib.suppress(AssertionError, ValueError):
                self._quic.stop_stream(exchange.stream, REQUEST_CANCELLED)
                self._quic.reset_stream(exchange.stream, REQUEST_CANCELLED)
            self.transmit()

    async def read_headers(self, exchange: Exchange) -> dict[str, str]:
        """Wait for the headers of the response.

        :raises FlowLostError: when the flow is lost before they arrive
        :raises StreamResetError: when the server resets the response
        """
        event = await exchange.events.get()
        if isinstance(event, Exception):
            raise event
        assert isinstance(event, HeadersReceived)
        if event.stream_ended:
            exchange.events.put_nowait(
                DataReceived(b'', exchange.stream, True)
            )
        return {name.decode(): value.decode() for name, value in event.headers}

    async def read_body(self, exchange: Exchange) -> AsyncIterator[bytes]:
        """Yield the body of the response as it arrives.

        :raises FlowLostError: when the flow is lost before the body ends
        :raises StreamResetError: when the server resets the response
        """
        while True:
            event = await exchange.events.get()
            if isinstance(event, Exception):
                raise event
            if isinstance(event, DataReceived):
                yield event.data
            if getattr(event, 'stream_ended', True):
                self._exchanges.pop(exchange.stream, None)
                return

    def datagram_received(self, data: bytes | str, addr: object) -> None:
        """Detect a stateless reset, which aioquic doesn't do."""
        assert isinstance(data, bytes)
        if (
            len(data) >= RESET_LENGTH_MIN
            and data[-RESET_TOKEN_LENGTH:] in self._list_reset_tokens()
        ):
            self._mark_lost('stateless reset')
            return
        super().datagram_received(data, addr)

    def quic_event_received(self, event: QuicEvent) -> None:
        """Queue the events of responses and record the end of the flow."""
        if isinstance(event, ConnectionTerminated):
            self._mark_lost(event.reason_phrase or f'error {event.error_code}')
            return
        if isinstance(event, StreamReset):
            self._add_event(event.stream_id, StreamResetError('stream reset'))
        for h3_event in self._http.handle_event(event):
            if isinstance(h3_event, HeadersReceived | DataReceived):
                self._add_event(h3_event.stream_id, h3_event)

    def _add_event(self, stream: int, event: H3Event | Exception) -> None:
        exchange = self._exchanges.get(stream)
        if exchange is not None:
            exchange.events.put_nowait(event)

    def _list_reset_tokens(self) -> set[bytes]:
        # aioquic stores the peer's tokens, but has no public API for them.
        ids = [self._quic._peer_cid, *self._quic._peer_cid_available]
        return {
            connection_id.stateless_reset_token for connection_id in ids
        } - {b''}

    def _mark_lost(self, reason: str) -> None:
        if self._closing or self.lost:
            return
        self.lost = reason
        if self._keepalive is not None:
            self._keepalive.cancel()
        for exchange in self._exchanges.values():
            exchange.events.put_nowait(FlowLostError(reason))

    def _raise_if_lost(self) -> None:
        if self.lost:
            raise FlowLostError(self.lost)

    async def _keep_alive(self) -> None:
        with contextlib.suppress(ConnectionError):
            while not self.lost:
                await asyncio.sleep(KEEPALIVE_INTERVAL)
                await self.ping()


async def open_flow(address: Endpoint, authority: str, ca: str) -> Flow:
    """Connect to a service and verify its certificate.

    :param address: service address
    :param authority: DNS name that the certificate must be valid for
    :param ca: file with the trusted certificate authorities
    :raises FlowLostError: when the handshake fails or times out
    """
    configuration = QuicConfiguration(
        alpn_protocols=H3_ALPN,
        is_client=True,
        server_name=authority,
        idle_timeout=IDLE_TIMEOUT,
    )
    configuration.load_verify_locations(ca)
    loop = asyncio.get_running_loop()
    _, flow = await loop.create_datagram_endpoint(
        lambda: Flow(QuicConnection(configuration=configuration)),
        local_addr=(address[0], 0),
    )
    flow.connect(address)
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT):
            await flow.wait_connected()
    except (TimeoutError, ConnectionError) as error:
        await flow.finish()
        raise FlowLostError(f'handshake: {flow.lost or "silence"}') from error
    flow.start_keepalive()
    return flow

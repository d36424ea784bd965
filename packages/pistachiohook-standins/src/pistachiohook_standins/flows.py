"""A caller's flow: HTTP/3 over one QUIC connection."""

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
TOKEN_LENGTH = 16

#: Shortest datagram that may be a stateless reset, in bytes.
RESET_MIN = 21

#: Silence after which a caller gives a flow up, in seconds.
IDLE_TIMEOUT = 15.0

#: Time between two keepalives, in seconds.
KEEPALIVE_INTERVAL = 3.0

#: Longest wait for a handshake, in seconds.
HANDSHAKE_TIMEOUT = 10.0


#: Error code of a request that the caller gave up (RFC 9114, 8.1).
REQUEST_CANCELLED = 0x10C


class FlowLostError(Exception):
    """The flow ended without the caller's own close."""


class AnswerCutError(Exception):
    """The other end reset one stream of the flow."""


@attrs.define
class Exchange:
    """One request and what has come back for it.

    :param stream: number of the QUIC stream
    :param parts: header events, then data events, or an error
    """

    stream: int
    parts: asyncio.Queue[H3Event | Exception] = attrs.field(
        factory=asyncio.Queue
    )


class _Http(H3Connection):
    """Notes the end of new requests, which aioquic passes over."""

    going = False

    def _check_control_frame_type(self, frame_type: int) -> None:
        super()._check_control_frame_type(frame_type)
        self.going = self.going or frame_type == FrameType.GOAWAY


class Flow(QuicConnectionProtocol):
    """State of one flow; aioquic's protocol class is the base."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self.lost = ''
        self.retry_after = 0.0
        self._closing = False
        self._exchanges: dict[int, Exchange] = {}
        self._http = _Http(quic)
        self._keepalive: asyncio.Task[None] | None = None

    @property
    def going(self) -> bool:
        """Whether new requests belong on another flow (RFC 9114, 5.2)."""
        return self._http.going

    def is_idle(self) -> bool:
        """Tell whether no request is open."""
        return not self._exchanges

    def start_keepalive(self) -> None:
        """Ping until the flow ends."""
        self._keepalive = asyncio.create_task(self._keep_alive())

    async def finish(self) -> None:
        """Close the flow as the caller's own act."""
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
        """Begin a request.

        :param end: whether no body follows
        :raises FlowLostError: when the flow has ended
        """
        self._refuse_when_lost()
        stream = self._quic.get_next_available_stream_id()
        lines = {
            ':method': method,
            ':scheme': 'https',
            ':authority': authority,
            ':path': path,
            **headers,
        }
        exchange = Exchange(stream)
        self._exchanges[stream] = exchange
        encoded = [
            (key.encode(), value.encode()) for key, value in lines.items()
        ]
        self._http.send_headers(stream, encoded, end)
        self.transmit()
        return exchange

    def send_body(self, exchange: Exchange, data: bytes, end: bool) -> None:
        """Send a part of the body.

        :raises FlowLostError: when the flow has ended
        """
        self._refuse_when_lost()
        self._http.send_data(exchange.stream, data, end)
        self.transmit()

    def cancel(self, exchange: Exchange) -> None:
        """Give a request up: no more body, and no answer."""
        self._exchanges.pop(exchange.stream, None)
        if not self.lost:
            with contextlib.suppress(AssertionError, ValueError):
                self._quic.stop_stream(exchange.stream, REQUEST_CANCELLED)
                self._quic.reset_stream(exchange.stream, REQUEST_CANCELLED)
            self.transmit()

    async def read_headers(self, exchange: Exchange) -> dict[str, str]:
        """Wait for the headers of the answer.

        :raises FlowLostError: when the flow ends before
        :raises AnswerCutError: when the answer is reset
        """
        part = await exchange.parts.get()
        if isinstance(part, Exception):
            raise part
        assert isinstance(part, HeadersReceived)
        if part.stream_ended:
            exchange.parts.put_nowait(DataReceived(b'', exchange.stream, True))
        return {key.decode(): value.decode() for key, value in part.headers}

    async def read_body(self, exchange: Exchange) -> AsyncIterator[bytes]:
        """Yield the body of the answer as it arrives.

        :raises FlowLostError: when the flow ends before
        :raises AnswerCutError: when the answer is reset
        """
        while True:
            part = await exchange.parts.get()
            if isinstance(part, Exception):
                raise part
            if isinstance(part, DataReceived):
                yield part.data
            if getattr(part, 'stream_ended', True):
                self._exchanges.pop(exchange.stream, None)
                return

    def datagram_received(self, data: bytes | str, addr: object) -> None:
        """Look for a stateless reset, which aioquic doesn't do."""
        assert isinstance(data, bytes)
        if len(data) >= RESET_MIN and data[-TOKEN_LENGTH:] in self._tokens():
            self._lose('stateless reset')
            return
        super().datagram_received(data, addr)

    def quic_event_received(self, event: QuicEvent) -> None:
        """Hand answers on and note the end of the flow."""
        if isinstance(event, ConnectionTerminated):
            self._lose(event.reason_phrase or f'error {event.error_code}')
            return
        if isinstance(event, StreamReset):
            self._put(event.stream_id, AnswerCutError('stream reset'))
        for answer in self._http.handle_event(event):
            if isinstance(answer, HeadersReceived | DataReceived):
                self._put(answer.stream_id, answer)

    def _put(self, stream: int, part: H3Event | Exception) -> None:
        exchange = self._exchanges.get(stream)
        if exchange is not None:
            exchange.parts.put_nowait(part)

    def _tokens(self) -> set[bytes]:
        # aioquic gets the tokens and offers no public way to them.
        ids = [self._quic._peer_cid, *self._quic._peer_cid_available]
        return {known.stateless_reset_token for known in ids} - {b''}

    def _lose(self, reason: str) -> None:
        if self._closing or self.lost:
            return
        self.lost = reason
        if self._keepalive is not None:
            self._keepalive.cancel()
        for exchange in self._exchanges.values():
            exchange.parts.put_nowait(FlowLostError(reason))

    def _refuse_when_lost(self) -> None:
        if self.lost:
            raise FlowLostError(self.lost)

    async def _keep_alive(self) -> None:
        with contextlib.suppress(ConnectionError):
            while not self.lost:
                await asyncio.sleep(KEEPALIVE_INTERVAL)
                await self.ping()


async def open_flow(address: Endpoint, authority: str, ca: str) -> Flow:
    """Connect and check the certificate.

    :param address: service address
    :param authority: DNS name that the certificate must carry
    :param ca: file of the authorities that are trusted
    :raises FlowLostError: when the handshake fails or takes too long
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

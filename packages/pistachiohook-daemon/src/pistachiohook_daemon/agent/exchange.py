"""HTTP/3 requests on flows and their responses."""

from __future__ import annotations

import asyncio
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from .connection import STREAM_WINDOW
from .engine import Engine
from .engine import Flow

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

#: HTTP/3 error code of a response that cannot be finished (RFC 9114, 8.1).
H3_INTERNAL_ERROR = 0x102

#: HTTP/3 error code that asks a caller to stop sending its request body
#: (RFC 9114, 8.1).
H3_REQUEST_CANCELLED = 0x10C

#: Time between two checks whether the send buffer of a response has room, in
#: seconds.
SEND_POLL_INTERVAL = 0.01


@attrs.frozen(order=True)
class Header:
    """One header field; the name is in lower case."""

    name: str
    value: str


class ExchangeCancelledError(Exception):
    """The caller cancelled the request or its connection has ended."""


class RequestExchange(Protocol):
    """A request from a flow or from a peer, with methods to answer it.

    :param method: method
    :param path: path with query
    :param headers: header fields without the pseudo-header fields
    :param has_body: whether a body follows
    :param cancelled: set when the caller no longer waits for the response
    :param response_started: whether the head of the response was sent
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    has_body: bool
    cancelled: asyncio.Event
    response_started: bool

    @property
    def flow_name(self) -> str:
        """Name of the flow, for fair queueing between flows."""

    def find_header(self, name: str) -> str | None:
        """Return the value of the first header field of that name."""

    def read_body(self) -> AsyncIterator[bytes]:
        """Yield the request body."""

    def respond(
        self, status: int, headers: tuple[Header, ...], ended: bool = False
    ) -> None:
        """Send the head of the response."""

    async def send_body(self, chunk: bytes, ended: bool = False) -> None:
        """Wait for room in the send buffer, then send a part of the body."""

    def end_response(self, chunk: bytes) -> None:
        """End the response with a last chunk, which may be empty."""

    def abort(self) -> None:
        """Abort the response so that it is not taken for a complete one."""


@attrs.define(eq=False)
class Http3Exchange:
    """A request on an HTTP/3 stream, with methods to answer it.

    :param engine: engine that holds the flow
    :param flow: flow on which the request arrived
    :param stream_id: number of its stream
    :param method: method
    :param path: path with query
    :param headers: header fields without the pseudo-header fields
    :param has_body: whether a body follows
    :param cancelled: set when the caller no longer waits for the response
    :param response_started: whether the head of the response was sent
    :param finished: whether the response was ended or reset
    :param body_ended: whether the whole request body has arrived
    """

    engine: Engine
    flow: Flow
    stream_id: int
    method: str
    path: str
    headers: tuple[Header, ...]
    has_body: bool
    cancelled: asyncio.Event = attrs.field(factory=asyncio.Event)
    response_started: bool = False
    finished: bool = False
    body_ended: bool = False
    _chunks: asyncio.Queue[bytes] = attrs.field(factory=asyncio.Queue)

    @property
    def flow_name(self) -> str:
        """Name of the flow, for fair queueing between flows."""
        return str(self.flow.key.caller)

    def find_header(self, name: str) -> str | None:
        """Return the value of the first header field of that name."""
        values = (one.value for one in self.headers if one.name == name)
        return next(values, None)

    def feed_body(self, chunk: bytes, ended: bool) -> None:
        """Queue a chunk of the request body that has arrived."""
        if chunk:
            self._chunks.put_nowait(chunk)
        if ended and not self.body_ended:
            self.body_ended = True
            self._chunks.put_nowait(b'')

    def cancel(self) -> None:
        """Mark the request as cancelled by its caller and wake its reader."""
        self.cancelled.set()
        self._chunks.put_nowait(b'')

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the request body and advance the flow control window.

        :raises ExchangeCancelledError: when the request was cancelled before
            the body had ended
        """
        connection = self.flow.connection
        while self.has_body:
            chunk = await self._chunks.get()
            if self.cancelled.is_set():
                raise ExchangeCancelledError
            if not chunk:
                return
            yield chunk
            connection.consume(self.stream_id, len(chunk))
            self.engine.advance(self.flow)

    def respond(
        self, status: int, headers: tuple[Header, ...], ended: bool = False
    ) -> None:
        """Send the head of the response."""
        if self.flow.h3 is None or self.cancelled.is_set():
            return
        fields = [
            (b':status', str(status).encode()),
            *((one.name.encode(), one.value.encode()) for one in headers),
        ]
        self.response_started = True
        self.finished = ended
        self.flow.h3.send_headers(self.stream_id, fields, ended)
        self.engine.advance(self.flow)

    async def send_body(self, chunk: bytes, ended: bool = False) -> None:
        """Wait for room in the send buffer, then send a part of the body.

        :raises ExchangeCancelledError: when the request was cancelled
        """
        while (
            not self.cancelled.is_set()
            and self._count_unacknowledged() > STREAM_WINDOW
        ):
            await asyncio.sleep(SEND_POLL_INTERVAL)
        if self.flow.h3 is None or self.cancelled.is_set():
            raise ExchangeCancelledError
        self.finished = ended
        self.flow.h3.send_data(self.stream_id, chunk, ended)
        self.engine.advance(self.flow)

    def end_response(self, chunk: bytes) -> None:
        """End the response with a last chunk, and stop the request body."""
        if self.flow.h3 is None or self.cancelled.is_set() or self.finished:
            return
        self.finished = True
        self.flow.h3.send_data(self.stream_id, chunk, True)
        self.stop_request_body()
        self.engine.advance(self.flow)

    def abort(self) -> None:
        """Reset the stream so that the response is not taken as complete."""
        if self.cancelled.is_set() or self.finished:
            return
        self.finished = True
        connection = self.flow.connection
        connection.reset_stream(self.stream_id, H3_INTERNAL_ERROR)
        self.engine.advance(self.flow)

    def stop_request_body(self) -> None:
        """Ask the caller to stop sending the rest of its body."""
        connection = self.flow.connection
        if (
            self.has_body
            and not self.body_ended
            and not self.cancelled.is_set()
        ):
            connection.stop_stream(self.stream_id, H3_REQUEST_CANCELLED)
            self.engine.advance(self.flow)

    def _count_unacknowledged(self) -> int:
        return self.flow.connection.count_unacknowledged(self.stream_id)

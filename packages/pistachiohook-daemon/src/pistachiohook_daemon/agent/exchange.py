"""One request on a flow and its response."""

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

#: HTTP/3 error code that tells a caller to stop its request body.
H3_REQUEST_CANCELLED = 0x10C

#: Interval at which the room for response bytes is looked at, in seconds.
ROOM_INTERVAL = 0.01


@attrs.frozen(order=True)
class Header:
    """One header field; the name is in lower case."""

    name: str
    value: str


class CallerGoneError(Exception):
    """The caller no longer waits, or its flow has ended."""


class RequestExchange(Protocol):
    """One request, on a flow or handed over by a peer."""

    method: str
    path: str
    headers: tuple[Header, ...]
    has_body: bool
    gone: asyncio.Event
    responded: bool

    @property
    def flow_name(self) -> str:
        """Name of the flow, for fairness between flows."""

    def find_header(self, name: str) -> str | None:
        """Return the value of the first header field of that name."""

    def read_body(self) -> AsyncIterator[bytes]:
        """Yield the request body."""

    def respond(
        self, status: int, headers: tuple[Header, ...], ended: bool = False
    ) -> None:
        """Send the head of the response."""

    async def send_body(self, chunk: bytes, ended: bool = False) -> None:
        """Send a part of the response body when there is room for it."""

    def send_rest(self, chunk: bytes) -> None:
        """Send the end of the response body."""

    def abort(self) -> None:
        """Cut the response, so that it never passes as whole."""


@attrs.define(eq=False)
class Exchange:
    """State of one request.

    :param engine: engine of the flow
    :param flow: flow on which the request came
    :param stream_id: its stream
    :param method: method of the request
    :param path: path with query
    :param headers: other header fields
    :param has_body: whether a body follows
    """

    engine: Engine
    flow: Flow
    stream_id: int
    method: str
    path: str
    headers: tuple[Header, ...]
    has_body: bool
    gone: asyncio.Event = attrs.field(factory=asyncio.Event)
    responded: bool = False
    finished: bool = False
    body_ended: bool = False
    _chunks: asyncio.Queue[bytes] = attrs.field(factory=asyncio.Queue)

    @property
    def flow_name(self) -> str:
        """Name of the flow, for fairness between flows."""
        return str(self.flow.key.caller)

    def find_header(self, name: str) -> str | None:
        """Return the value of the first header field of that name."""
        values = (one.value for one in self.headers if one.name == name)
        return next(values, None)

    def feed_body(self, chunk: bytes, ended: bool) -> None:
        """Take what has arrived of the request body."""
        if chunk:
            self._chunks.put_nowait(chunk)
        if ended and not self.body_ended:
            self.body_ended = True
            self._chunks.put_nowait(b'')

    def cancel(self) -> None:
        """Note that nobody waits for the response."""
        self.gone.set()
        self._chunks.put_nowait(b'')

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the request body; the window opens as it is read.

        :raises CallerGoneError: when the body was cut
        """
        connection = self.flow.connection
        while self.has_body:
            chunk = await self._chunks.get()
            if self.gone.is_set():
                raise CallerGoneError
            if not chunk:
                return
            yield chunk
            connection.consume(self.stream_id, len(chunk))
            self.engine.advance(self.flow)

    def respond(
        self, status: int, headers: tuple[Header, ...], ended: bool = False
    ) -> None:
        """Send the head of the response."""
        if self.flow.h3 is None or self.gone.is_set():
            return
        fields = [
            (b':status', str(status).encode()),
            *((one.name.encode(), one.value.encode()) for one in headers),
        ]
        self.responded = True
        self.finished = ended
        self.flow.h3.send_headers(self.stream_id, fields, ended)
        self.engine.advance(self.flow)

    async def send_body(self, chunk: bytes, ended: bool = False) -> None:
        """Send a part of the response body when there is room for it.

        :raises CallerGoneError: when nobody waits for it
        """
        while (
            not self.gone.is_set()
            and self._count_unacknowledged() > STREAM_WINDOW
        ):
            await asyncio.sleep(ROOM_INTERVAL)
        if self.flow.h3 is None or self.gone.is_set():
            raise CallerGoneError
        self.finished = ended
        self.flow.h3.send_data(self.stream_id, chunk, ended)
        self.engine.advance(self.flow)

    def send_rest(self, chunk: bytes) -> None:
        """Send the end of the response body, and ask for no more body."""
        if self.flow.h3 is None or self.gone.is_set() or self.finished:
            return
        self.finished = True
        self.flow.h3.send_data(self.stream_id, chunk, True)
        self.discard_body()
        self.engine.advance(self.flow)

    def abort(self) -> None:
        """Reset the response, so that a cut one never passes as whole."""
        if self.gone.is_set() or self.finished:
            return
        self.finished = True
        connection = self.flow.connection
        connection.reset_stream(self.stream_id, H3_INTERNAL_ERROR)
        self.engine.advance(self.flow)

    def discard_body(self) -> None:
        """Tell the caller to send no more of its body."""
        connection = self.flow.connection
        if self.has_body and not self.body_ended and not self.gone.is_set():
            connection.stop_stream(self.stream_id, H3_REQUEST_CANCELLED)
            self.engine.advance(self.flow)

    def _count_unacknowledged(self) -> int:
        return self.flow.connection.count_unacknowledged(self.stream_id)

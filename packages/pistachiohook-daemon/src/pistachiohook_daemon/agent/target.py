"""HTTP/1.1 client that streams a request and its response."""

from __future__ import annotations

import asyncio
import socket
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.failures import Failure
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from .exchange import Header

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pistachiohook_core.addresses import Address
    from tornado.httputil import ResponseStartLine
    from tornado.iostream import IOStream

#: Longest wait for a TCP connection to the target, in seconds.
CONNECT_TIMEOUT = 2.0

#: Idle time after which TCP probes a connection, in seconds.
KEEPALIVE_IDLE = 5

#: Time between two probes, in seconds.
KEEPALIVE_INTERVAL = 2

#: Unanswered probes after which a connection counts as lost.
KEEPALIVE_PROBES = 3

#: Longest time that sent data may stay unacknowledged before the connection
#: counts as lost, in milliseconds.
USER_TIMEOUT_MS = 11_000

#: Largest body in either direction, in bytes.
BODY_MAX = 1 << 40

#: Methods with which a body of unknown length may be sent: Tornado then uses
#: chunked encoding.
BODY_METHODS = frozenset({'POST', 'PUT', 'PATCH'})

#: Header fields that apply to one connection and are not forwarded (RFC 9110,
#: 7.6.1).
HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


@attrs.frozen
class TargetRequest:
    """A request to the target.

    :param method: method
    :param path: path with query
    :param headers: header fields
    :param body: chunks of the body; ``None`` when there is none
    :param timeout: longest time from the connection to the end of the
        response, in seconds
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: AsyncIterator[bytes] | None
    timeout: float


@attrs.frozen
class TargetResponse:
    """Status and header fields of a target's response."""

    status: int
    headers: tuple[Header, ...]


@attrs.frozen
class TargetFailure:
    """Why there is no complete response.

    :param failure: the failed step, the target's address and the reason
    :param may_have_run: whether a connection was open, so that the target may
        have received the request and run it
    """

    failure: Failure
    may_have_run: bool


@attrs.frozen
class ResponseSink:
    """Functions that a response is written to as it arrives.

    :param write_head: called with its status and header fields
    :param write_body: called with each chunk of its body; waits while the
        caller's send buffer has no room
    """

    write_head: Callable[[TargetResponse], None]
    write_body: Callable[[bytes], Awaitable[None]]


async def send_request(
    address: Address, request: TargetRequest, sink: ResponseSink
) -> Result[None, TargetFailure]:
    """Send a request over a new connection and stream its response.

    The connection is closed in any case. When the task is cancelled, this
    tells the target that the response is no longer wanted.

    :param address: the target, or a peer that the request is handed over to
    :param request: the request
    :param sink: receives the response
    """
    peer = str(address)
    connected = await _connect(address)
    if isinstance(connected, Failed):
        return Failed(TargetFailure(connected.failure(), may_have_run=False))
    stream = connected.unwrap()
    try:
        async with asyncio.timeout(request.timeout):
            return await _run_exchange(stream, request, sink, peer)
    except TimeoutError:
        failure = Failure('run request', peer, 'no answer within its time')
        return Failed(TargetFailure(failure, may_have_run=True))
    except (OSError, StreamClosedError) as error:
        failure = Failure('run request', peer, str(error) or 'closed')
        return Failed(TargetFailure(failure, may_have_run=True))
    finally:
        stream.close()


async def _connect(address: Address) -> Result[IOStream, Failure]:
    try:
        stream = await TCPClient().connect(
            address.host, address.port, timeout=CONNECT_TIMEOUT
        )
    except (OSError, StreamClosedError, TimeoutError) as error:
        reason = str(error) or 'no connection'
        return Failed(Failure('connect to target', str(address), reason))
    stream.set_nodelay(True)
    _set_keepalive(stream)
    return Success(stream)


def _set_keepalive(stream: IOStream) -> None:
    opened: socket.socket = stream.socket
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        opened.setsockopt(socket.IPPROTO_TCP, option, value)


async def _run_exchange(
    stream: IOStream, request: TargetRequest, sink: ResponseSink, peer: str
) -> Result[None, TargetFailure]:
    parameters = HTTP1ConnectionParameters(
        no_keep_alive=True, max_body_size=BODY_MAX
    )
    connection = HTTP1Connection(stream, True, parameters)
    reader = _ResponseReader(sink)
    reading = asyncio.ensure_future(connection.read_response(reader))
    writing = asyncio.create_task(_write_request(connection, request, peer))
    try:
        await asyncio.wait(
            {reading, writing}, return_when=asyncio.FIRST_EXCEPTION
        )
        if writing.done() and not writing.cancelled():
            _raise_write_error(writing, reading)
        await reading
    finally:
        writing.cancel()
        await asyncio.gather(writing, return_exceptions=True)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
    if not reader.complete:
        failure = Failure('read response', peer, 'the response was cut')
        return Failed(TargetFailure(failure, may_have_run=True))
    return Success(None)


def _raise_write_error(
    writing: asyncio.Task[None], reading: asyncio.Future[bool]
) -> None:
    """Raise the exception of the write task, if there is one to report.

    A closed connection is not reported while the response is still being
    read: the target may answer before it has read the whole body.
    """
    error = writing.exception()
    closed = isinstance(error, OSError | StreamClosedError)
    if error is not None and not (closed and not reading.done()):
        raise error


async def _write_request(
    connection: HTTP1Connection, request: TargetRequest, peer: str
) -> None:
    headers = HTTPHeaders({'Host': peer, 'Connection': 'close'})
    for header in request.headers:
        if header.name not in HOP_BY_HOP:
            headers.add(header.name, header.value)
    start = RequestStartLine(request.method, request.path, 'HTTP/1.1')
    await connection.write_headers(start, headers)
    may_have_body = (
        'Content-Length' in headers or request.method in BODY_METHODS
    )
    if request.body is not None and may_have_body:
        async for chunk in request.body:
            await connection.write(chunk)
    connection.finish()


class _ResponseReader(HTTPMessageDelegate):
    def __init__(self, sink: ResponseSink) -> None:
        self.sink = sink
        self.complete = False

    def headers_received(
        self, start_line: Any, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        line: ResponseStartLine = start_line
        fields = tuple(
            Header(name.lower(), value)
            for name, value in headers.get_all()
            if name.lower() not in HOP_BY_HOP
        )
        self.sink.write_head(TargetResponse(line.code, fields))
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None]:
        return self.sink.write_body(chunk)

    def finish(self) -> None:
        self.complete = True

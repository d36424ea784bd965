"""HTTP/1.1 to the target, streamed both ways."""

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

#: Silence after which a connection is probed, in seconds.
KEEPALIVE_IDLE = 5

#: Time between two probes, in seconds.
KEEPALIVE_INTERVAL = 2

#: Unanswered probes after which a connection counts as lost.
KEEPALIVE_PROBES = 3

#: Longest time that sent data stays unacknowledged, in milliseconds.
USER_TIMEOUT_MS = 11_000

#: Largest body in either direction, in bytes.
BODY_MAX = 1 << 40

#: Methods whose body needs no length; the library then sends it in chunks.
BODY_METHODS = frozenset({'POST', 'PUT', 'PATCH'})

#: Header fields that belong to one connection only (RFC 9110, 7.6.1).
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
    """What the target is asked.

    :param method: method
    :param path: path with query
    :param headers: header fields
    :param body: parts of the body; ``None`` when there is none
    :param timeout: longest time until the response has ended, in seconds
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: AsyncIterator[bytes] | None
    timeout: float


@attrs.frozen
class TargetResponse:
    """Head of a target's response."""

    status: int
    headers: tuple[Header, ...]


@attrs.frozen
class TargetFailure:
    """Why there is no whole response.

    :param failure: step and peer
    :param seen: whether the target can have seen the request
    """

    failure: Failure
    seen: bool


@attrs.frozen
class Receiver:
    """Where a response goes.

    :param take_head: takes its head
    :param take_body: takes a part of its body, waits while there is no room
    """

    take_head: Callable[[TargetResponse], None]
    take_body: Callable[[bytes], Awaitable[None]]


async def ask_target(
    address: Address, request: TargetRequest, receiver: Receiver
) -> Result[None, TargetFailure]:
    """Run one request on the target.

    When the task is cancelled the connection is closed, which tells the
    target that nobody waits.

    :param address: the target
    :param request: what to ask
    :param receiver: where the response goes
    """
    peer = str(address)
    connected = await _connect(address)
    if isinstance(connected, Failed):
        return Failed(TargetFailure(connected.failure(), seen=False))
    stream = connected.unwrap()
    try:
        async with asyncio.timeout(request.timeout):
            return await _converse(stream, request, receiver, peer)
    except TimeoutError:
        failure = Failure('run request', peer, 'no answer within its time')
        return Failed(TargetFailure(failure, seen=True))
    except (OSError, StreamClosedError) as error:
        failure = Failure('run request', peer, str(error) or 'closed')
        return Failed(TargetFailure(failure, seen=True))
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


async def _converse(
    stream: IOStream, request: TargetRequest, receiver: Receiver, peer: str
) -> Result[None, TargetFailure]:
    parameters = HTTP1ConnectionParameters(
        no_keep_alive=True, max_body_size=BODY_MAX
    )
    connection = HTTP1Connection(stream, True, parameters)
    collector = _Collector(receiver)
    reading = asyncio.ensure_future(connection.read_response(collector))
    writing = asyncio.create_task(_write_request(connection, request, peer))
    try:
        await asyncio.wait(
            {reading, writing}, return_when=asyncio.FIRST_EXCEPTION
        )
        if writing.done() and not writing.cancelled():
            _raise_unless_answered(writing, reading)
        await reading
    finally:
        writing.cancel()
        await asyncio.gather(writing, return_exceptions=True)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
    if not collector.whole:
        failure = Failure('read response', peer, 'the response was cut')
        return Failed(TargetFailure(failure, seen=True))
    return Success(None)


def _raise_unless_answered(
    writing: asyncio.Task[None], reading: asyncio.Future[bool]
) -> None:
    error = writing.exception()
    answered = isinstance(error, OSError | StreamClosedError)
    if error is not None and not (answered and not reading.done()):
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
    framed = 'Content-Length' in headers or request.method in BODY_METHODS
    if request.body is not None and framed:
        async for chunk in request.body:
            await connection.write(chunk)
    connection.finish()


class _Collector(HTTPMessageDelegate):
    def __init__(self, receiver: Receiver) -> None:
        self.receiver = receiver
        self.whole = False

    def headers_received(
        self, start_line: Any, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        line: ResponseStartLine = start_line
        fields = tuple(
            Header(name.lower(), value)
            for name, value in headers.get_all()
            if name.lower() not in HOP_BY_HOP
        )
        self.receiver.take_head(TargetResponse(line.code, fields))
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None]:
        return self.receiver.take_body(chunk)

    def finish(self) -> None:
        self.whole = True

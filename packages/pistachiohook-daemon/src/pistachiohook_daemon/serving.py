"""A small HTTP/1.1 server that calls one function for each route."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
import http
import json
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.events import REQUEST_FAILED
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from .logs import describe_error

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    import socket

    from pistachiohook_core.addresses import Address
    from tornado.httputil import HTTPServerRequest

    from .logs import Report

#: Rounds of the event loop in which a server that finishes still accepts
#: connections: one to poll the socket, and one to handle it.
ACCEPT_ROUNDS = 2

#: Time for which a server that finishes waits for the request of a connection
#: that it has accepted, in seconds: its client sends it at once.
REQUEST_WAIT = 0.1

#: Content types of responses.
JSON = 'application/json'
BINARY = 'application/octet-stream'
TEXT = 'text/plain; charset=utf-8'


@attrs.frozen
class HttpRequest:
    """What a handler receives of a request.

    :param name: last segment of the path
    :param body: the body; empty when there is none
    :param query: the query of the URL; empty when there is none
    """

    name: str
    body: bytes
    query: str = ''


@attrs.frozen
class HttpResponse:
    """What a handler returns.

    :param status: HTTP status code
    :param body: the body
    :param content_type: value of the ``Content-Type`` header
    """

    status: int = 200
    body: bytes = b''
    content_type: str = TEXT


@attrs.define
class RunningServer:
    """A server that listens, and the requests that it is answering.

    Each request is a future that is done when its answer has been sent.
    """

    _server: HTTPServer
    _requests: set[asyncio.Future[None]]

    @property
    def in_progress(self) -> int:
        """Number of requests that are being answered."""
        return len(self._requests)

    def stop(self) -> None:
        """Accept no more connections."""
        self._server.stop()

    async def finish(self, timeout: float) -> None:
        """Accept no more connections, and answer the accepted requests.

        :param timeout: longest wait for the answers, in seconds
        """
        end = asyncio.get_running_loop().time() + timeout
        # Closing the socket would reset the connections that the kernel has
        # accepted; the event loop takes them over first.
        for _ in range(ACCEPT_ROUNDS):
            await asyncio.sleep(0)
        self.stop()
        await asyncio.sleep(min(REQUEST_WAIT, timeout))
        while self._requests:
            remaining = end - asyncio.get_running_loop().time()
            _, pending = await asyncio.wait(self._requests, timeout=remaining)
            if pending:
                return

    async def close_connections(self) -> None:
        """Close all connections, also those with a request in progress."""
        await self._server.close_all_connections()


if TYPE_CHECKING:
    #: Handles a request; may be a coroutine function.
    Handler = Callable[[HttpRequest], HttpResponse | Awaitable[HttpResponse]]


def make_json_response(document: Any, status: int = 200) -> HttpResponse:
    """Return a response whose body is a JSON document."""
    return HttpResponse(status, json.dumps(document).encode(), JSON)


def serve_http(
    address: Address,
    routes: Mapping[str, Handler],
    report: Report,
    listener: socket.socket | None = None,
) -> RunningServer:
    """Start a server; requests without a route are answered with 404.

    :param address: address to listen on
    :param routes: handler for each ``METHOD /path``; a path that ends in a
        slash matches every path with one more segment
    :param report: logs unexpected errors of handlers, which are answered with
        500, and connections that the client closed before the response
    :param listener: socket that listens on the address already; ``None`` binds
        the address
    :raises OSError: when the address cannot be bound
    """
    tasks: set[asyncio.Future[None]] = set()

    def respond(request: HTTPServerRequest) -> None:
        task = asyncio.create_task(_respond(request, routes, report))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = HTTPServer(respond)
    bound = (
        bind_sockets(address.port, address.host)
        if listener is None
        else [listener]
    )
    server.add_sockets(bound)
    return RunningServer(server, tasks)


async def _respond(
    request: HTTPServerRequest, routes: Mapping[str, Handler], report: Report
) -> None:
    try:
        response = await _call_handler(request, routes)
    except Exception as error:
        report(
            REQUEST_FAILED,
            path=request.path,
            peer=request.remote_ip,
            error=describe_error(error),
        )
        response = HttpResponse(500)
    phrase = http.HTTPStatus(response.status).phrase
    headers = HTTPHeaders(
        {
            'Content-Type': response.content_type,
            'Content-Length': str(len(response.body)),
        }
    )
    connection = request.connection
    assert connection is not None
    try:
        start = ResponseStartLine('', response.status, phrase)
        await connection.write_headers(start, headers, response.body)
    except StreamClosedError as error:
        report(
            REQUEST_FAILED,
            path=request.path,
            peer=request.remote_ip,
            error=describe_error(error),
        )
        return
    connection.finish()


async def _call_handler(
    request: HTTPServerRequest, routes: Mapping[str, Handler]
) -> HttpResponse:
    head, _, name = request.path.rpartition('/')
    if not name:
        return HttpResponse(404)
    handler = routes.get(f'{request.method} {request.path}') or routes.get(
        f'{request.method} {head}/'
    )
    if handler is None:
        return HttpResponse(404)
    response = handler(
        HttpRequest(name, request.body or b'', request.query or '')
    )
    return await response if isinstance(response, Awaitable) else response

"""A small HTTP/1.1 server: functions that answer requests."""

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

    from pistachiohook_core.addresses import Address
    from tornado.httputil import HTTPServerRequest

    from .logs import Report

JSON = 'application/json'
BINARY = 'application/octet-stream'
TEXT = 'text/plain; charset=utf-8'


@attrs.frozen
class Question:
    """A request.

    :param name: last part of the path
    :param body: the body
    """

    name: str
    body: bytes


@attrs.frozen
class Answer:
    """A response.

    :param status: status code
    :param body: the body
    :param content_type: type of the body
    """

    status: int = 200
    body: bytes = b''
    content_type: str = TEXT


if TYPE_CHECKING:
    #: Answers a request, at once or later.
    Handler = Callable[[Question], Answer | Awaitable[Answer]]


def answer_json(document: Any, status: int = 200) -> Answer:
    """Return an answer with a JSON body."""
    return Answer(status, json.dumps(document).encode(), JSON)


def serve_http(
    address: Address, routes: Mapping[str, Handler], report: Report
) -> HTTPServer:
    """Listen for requests.

    :param address: where to listen
    :param routes: function for each ``METHOD /path``; a path that ends in a
        slash stands for every path with one part more
    :param report: logs a handler's unexpected error
    :raises OSError: when the address can't be bound
    """
    tasks: set[asyncio.Task[None]] = set()

    def take(request: HTTPServerRequest) -> None:
        task = asyncio.create_task(_respond(request, routes, report))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = HTTPServer(take)
    server.add_sockets(bind_sockets(address.port, address.host))
    return server


async def _respond(
    request: HTTPServerRequest, routes: Mapping[str, Handler], report: Report
) -> None:
    try:
        answer = await _find_answer(request, routes)
    except Exception as error:
        report(
            REQUEST_FAILED,
            path=request.path,
            peer=request.remote_ip,
            error=describe_error(error),
        )
        answer = Answer(500)
    phrase = http.HTTPStatus(answer.status).phrase
    headers = HTTPHeaders(
        {
            'Content-Type': answer.content_type,
            'Content-Length': str(len(answer.body)),
        }
    )
    connection = request.connection
    assert connection is not None
    try:
        start = ResponseStartLine('', answer.status, phrase)
        await connection.write_headers(start, headers, answer.body)
    except StreamClosedError as error:
        report(
            REQUEST_FAILED,
            path=request.path,
            peer=request.remote_ip,
            error=describe_error(error),
        )
        return
    connection.finish()


async def _find_answer(
    request: HTTPServerRequest, routes: Mapping[str, Handler]
) -> Answer:
    head, _, name = request.path.rpartition('/')
    if not name:
        return Answer(404)
    handler = routes.get(f'{request.method} {request.path}') or routes.get(
        f'{request.method} {head}/'
    )
    if handler is None:
        return Answer(404)
    answer = handler(Question(name, request.body or b''))
    return await answer if isinstance(answer, Awaitable) else answer

"""The administration API over HTTP."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

from pistachiohook_core.configuration.documents import ChangeRequest
from pistachiohook_core.configuration.documents import CheckRequest
from pistachiohook_core.configuration.documents import decode_document
from pistachiohook_core.configuration.documents import DrainRequest
from pistachiohook_core.configuration.documents import encode_document
from pistachiohook_core.configuration.documents import make_problem
from pistachiohook_core.configuration.documents import Problem
from pistachiohook_core.configuration.documents import ProblemName
from pistachiohook_core.configuration.documents import Source
from pistachiohook_core.events import CONTROL_TOKEN_REFUSED
from returns.result import Failure as Failed
from returns.result import Result
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from ..serving import RunningServer
from .tokens import find_token
from .tokens import Role

if TYPE_CHECKING:
    from pistachiohook_core.addresses import Address

    from ..logs import Report
    from .administration import Administration
    from .tokens import Token

_Document = TypeVar('_Document')

#: Maximum size of a request body, in bytes; enough for 50,000 addresses.
BODY_MAX = 64 * 1024 * 1024


class _ProblemError(Exception):
    """Ends the handling of a request with a problem as the response."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


class _Handler(RequestHandler):
    """Authenticates requests and responds in JSON."""

    def initialize(
        self,
        administration: Administration,
        tokens: tuple[Token, ...],
        report: Report,
        requests: set[asyncio.Future[None]],
    ) -> None:
        self.administration = administration
        self.tokens = tokens
        self.report = report
        self.answered = asyncio.get_running_loop().create_future()
        requests.add(self.answered)
        self.answered.add_done_callback(requests.discard)

    def on_finish(self) -> None:
        self._set_answered()

    def on_connection_close(self) -> None:
        self._set_answered()

    def _set_answered(self) -> None:
        if not self.answered.done():
            self.answered.set_result(None)

    def prepare(self) -> None:
        header = self.request.headers.get('Authorization')
        token = find_token(self.tokens, header)
        if token is None:
            self._log_refusal('no valid bearer token')
            detail = 'expected the header "Authorization: Bearer TOKEN"'
            raise _ProblemError(make_problem(ProblemName.UNAUTHORIZED, detail))
        self.token = token

    def require_operator(self) -> None:
        """Refuse the request unless its token has the role operator."""
        if self.token.role is not Role.OPERATOR:
            self._log_refusal(f'{self.token.name} may only read')
            detail = 'expected a token of the role operator'
            raise _ProblemError(make_problem(ProblemName.FORBIDDEN, detail))

    async def prepare_read(self) -> Source:
        """Wait until the state is current, unless a stale one is accepted.

        :returns: source of the answer
        """
        stale = self.get_query_argument('stale', 'false') == 'true'
        return _unwrap(await self.administration.prepare_read(stale=stale))

    def read_body(self, kind: type[_Document]) -> _Document:
        """Decode the body of the request.

        :param kind: class of the document
        """
        peer = str(self.request.remote_ip)
        decoded = decode_document(self.request.body, kind, peer)
        if isinstance(decoded, Failed):
            detail = decoded.failure().reason
            raise _ProblemError(make_problem(ProblemName.BAD_REQUEST, detail))
        return decoded.unwrap()

    def send_document(self, document: Any) -> None:
        """Respond with a document."""
        self.set_header('Content-Type', 'application/json')
        self.finish(encode_document(document))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        _, error, _ = kwargs.get('exc_info', (None, None, None))
        problem = _find_problem(status_code, error)
        self.set_status(problem.status)
        self.set_header('Content-Type', 'application/problem+json')
        if problem.status == 401:
            self.set_header('WWW-Authenticate', 'Bearer')
        if problem.status in (503, 504):
            self.set_header('Retry-After', '1')
        self.finish(encode_document(problem))

    def log_exception(self, *info: Any) -> None:
        if not isinstance(info[1], _ProblemError):
            super().log_exception(*info)

    def _log_refusal(self, reason: str) -> None:
        self.report(
            CONTROL_TOKEN_REFUSED,
            step=f'{self.request.method} {self.request.path}',
            peer=str(self.request.remote_ip),
            reason=reason,
        )


class _ConfigurationHandler(_Handler):
    async def get(self) -> None:
        source = await self.prepare_read()
        self.send_document(self.administration.show_configuration(source))

    async def put(self) -> None:
        self.require_operator()
        request = self.read_body(ChangeRequest)
        name = self.token.name
        self.send_document(
            _unwrap(await self.administration.change(request, name))
        )


class _CheckHandler(_Handler):
    def post(self) -> None:
        request = self.read_body(CheckRequest)
        self.send_document(_unwrap(self.administration.check(request)))


class _ChangeHandler(_Handler):
    async def get(self, change_id: str) -> None:
        await self.prepare_read()
        self.send_document(_unwrap(self.administration.find_change(change_id)))


class _StatusHandler(_Handler):
    async def get(self) -> None:
        text = self.get_query_argument('revision', None)
        if text is not None and not (text.isascii() and text.isdigit()):
            detail = f'revision: expected a number, found {text!r}'
            raise _ProblemError(make_problem(ProblemName.BAD_REQUEST, detail))
        source = await self.prepare_read()
        revision = None if text is None else int(text)
        self.send_document(self.administration.show_status(revision, source))


class _TargetsHandler(_Handler):
    async def get(self) -> None:
        source = await self.prepare_read()
        self.send_document(self.administration.show_targets(source))


class _DrainHandler(_Handler):
    async def post(self, target: str) -> None:
        self.require_operator()
        request = self.read_body(DrainRequest)
        self.send_document(
            _unwrap(await self.administration.drain(target, request))
        )


class _MembersHandler(_Handler):
    async def get(self) -> None:
        source = await self.prepare_read()
        self.send_document(self.administration.show_members(source))


class _NotFoundHandler(_Handler):
    def prepare(self) -> None:
        super().prepare()
        detail = f'resource {self.request.path} does not exist'
        raise _ProblemError(make_problem(ProblemName.NOT_FOUND, detail))


#: Regular expression of each path, and its handler.
_ROUTES: tuple[tuple[str, type[_Handler]], ...] = (
    ('/v1/configuration', _ConfigurationHandler),
    ('/v1/check', _CheckHandler),
    ('/v1/changes/([^/]+)', _ChangeHandler),
    ('/v1/status', _StatusHandler),
    ('/v1/targets', _TargetsHandler),
    ('/v1/targets/([^/]+)/drain', _DrainHandler),
    ('/v1/members', _MembersHandler),
)


def serve_api(
    address: Address,
    administration: Administration,
    tokens: tuple[Token, ...],
    report: Report,
) -> RunningServer:
    """Start the HTTP server of the administration API.

    :param address: address to listen on
    :param administration: performs the requests
    :param tokens: valid tokens
    :param report: logs an event
    :raises OSError: when the address can't be bound
    """
    requests: set[asyncio.Future[None]] = set()
    arguments = {
        'administration': administration,
        'tokens': tokens,
        'report': report,
        'requests': requests,
    }
    application = Application(
        [(path, handler, arguments) for path, handler in _ROUTES],
        default_handler_class=_NotFoundHandler,
        default_handler_args=arguments,
        log_function=lambda _: None,
    )
    server = HTTPServer(application, max_buffer_size=BODY_MAX)
    server.add_sockets(bind_sockets(address.port, address.host))
    return RunningServer(server, requests)


def _unwrap(result: Result[_Document, Problem]) -> _Document:
    if isinstance(result, Failed):
        raise _ProblemError(result.failure())
    return result.unwrap()


def _find_problem(status: int, error: BaseException | None) -> Problem:
    if isinstance(error, _ProblemError):
        return error.problem
    if status == 405:
        detail = 'the resource does not support this method'
        problem = make_problem(ProblemName.BAD_REQUEST, detail)
        return Problem(problem.type, problem.title, status, detail)
    name = ProblemName.BAD_REQUEST if status < 500 else ProblemName.INTERNAL
    return make_problem(name, str(error))

"""Requests to the administration API."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
from pistachiohook_core.configuration.documents import decode_document
from pistachiohook_core.configuration.documents import encode_document
from pistachiohook_core.configuration.documents import make_problem
from pistachiohook_core.configuration.documents import Problem
from pistachiohook_core.configuration.documents import ProblemName
from pistachiohook_core.failures import Failure
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
from tornado.httpclient import HTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pistachiohook_core.addresses import Address

    from .settings import Access

_Document = TypeVar('_Document')

#: Turns over all control instances before a request is given up.
TURNS = 2

#: Wait between two turns, in seconds.
TURN_INTERVAL = 0.5

#: Longest wait for a connection, in seconds.
CONNECT_TIMEOUT = 3.0

#: HTTP statuses after which another control instance may answer.
_TRY_NEXT = (500, 503, 504)


@attrs.frozen
class Request:
    """One request, that may be sent more than once without harm.

    :param method: HTTP method
    :param path: path, with its query
    :param body: document to send
    """

    method: str
    path: str
    body: Any = None

    @property
    def changes(self) -> bool:
        """Whether a lost answer leaves open what has happened."""
        return self.method == 'PUT' or self.path.endswith('/drain')


def send(
    access: Access, request: Request, kind: type[_Document]
) -> Result[_Document, Problem]:
    """Send a request to one control instance after another.

    A change carries its change id, so that it may be sent again when its
    answer was lost.

    :param access: where to send, and the token
    :param request: what to send
    :param kind: class of the document in the answer
    :returns: the document; or the problem, of the type unknown-outcome when
        an attempt may have been carried out
    """
    unknown: Problem | None = None
    last = make_problem(ProblemName.NO_QUORUM, 'no control instance is named')
    for address in _take_turns(access):
        result = _try_instance(access, address, request, kind)
        if isinstance(result, Success):
            return result
        last = result.failure()
        if last.status not in _TRY_NEXT:
            return result
        if is_problem(last, ProblemName.UNKNOWN_OUTCOME):
            unknown = last
    return Failed(unknown or last)


def is_problem(problem: Problem, name: ProblemName) -> bool:
    """Return whether a problem has this name."""
    return problem.type.endswith(f':{name.value}')


def _take_turns(access: Access) -> Iterator[Address]:
    yield from access.api
    for _ in range(TURNS - 1):
        time.sleep(TURN_INTERVAL)
        yield from access.api


def _try_instance(
    access: Access,
    address: Address,
    request: Request,
    kind: type[_Document],
) -> Result[_Document, Problem]:
    peer = str(address)
    response = _fetch(access, address, request)
    if isinstance(response, Failed):
        return Failed(_describe_loss(request, response.failure()))
    answer = response.unwrap()
    decoded: Result[Any, Failure] = decode_document(
        answer.body, kind if answer.code < 300 else Problem, peer
    )
    if isinstance(decoded, Failed):
        return Failed(_describe_loss(request, decoded.failure()))
    if answer.code < 300:
        return Success(decoded.unwrap())
    return Failed(_complete(decoded.unwrap(), request, peer))


def _fetch(
    access: Access, address: Address, request: Request
) -> Result[HTTPResponse, Failure]:
    body = encode_document(request.body) if request.body else None
    sent = HTTPRequest(
        f'http://{address}{request.path}',
        method=request.method,
        body=body,
        headers={'Authorization': f'Bearer {access.token}'},
        connect_timeout=min(CONNECT_TIMEOUT, access.timeout),
        request_timeout=access.timeout,
    )
    client = HTTPClient()
    try:
        return Success(client.fetch(sent, raise_error=False))
    except (HTTPClientError, OSError) as error:
        step = f'{request.method} {request.path}'
        return Failed(Failure(step, str(address), str(error)))
    finally:
        client.close()


def _describe_loss(request: Request, failure: Failure) -> Problem:
    name = ProblemName.NO_QUORUM
    if request.changes and 'refused' not in failure.reason:
        name = ProblemName.UNKNOWN_OUTCOME
    return make_problem(
        name, failure.reason, step=failure.step, peer=failure.peer
    )


def _complete(problem: Problem, request: Request, peer: str) -> Problem:
    """Name step and peer when the answer left them out."""
    return attrs.evolve(
        problem,
        step=problem.step or f'{request.method} {request.path}',
        peer=problem.peer or peer,
    )

"""Client of the administration API."""

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

#: How often each control instance is tried before a request fails.
ROUNDS = 2

#: Pause between two rounds over all control instances, in seconds.
ROUND_INTERVAL = 0.5

#: Upper bound of the connect timeout, in seconds.
CONNECT_TIMEOUT = 3.0

#: HTTP statuses after which the next control instance is tried.
_RETRYABLE_STATUSES = (500, 503, 504)


@attrs.frozen
class Request:
    """An idempotent request to the administration API.

    :param method: HTTP method
    :param path: path with the query, if any
    :param body: document to send; ``None`` for an empty body
    """

    method: str
    path: str
    body: Any = None

    @property
    def is_change(self) -> bool:
        """Whether it changes state.

        If its response is lost, the outcome of a change is unknown.
        """
        return self.method == 'PUT' or self.path.endswith('/drain')


def send(
    access: Access, request: Request, kind: type[_Document]
) -> Result[_Document, Problem]:
    """Send a request to the control instances in turn.

    It ends at the first success, and at the first problem that another
    instance would report as well. A change carries its change id, so that it
    can be retried when the response was lost.

    :param access: addresses of the API, token and timeout
    :param request: the request
    :param kind: class of the document in the response
    :returns: the document or a problem; the problem's type is unknown-outcome
        when an attempt may have been carried out
    """
    unknown_outcome: Problem | None = None
    last = make_problem(
        ProblemName.NO_QUORUM, 'the settings name no control instance'
    )
    for address in _iterate_addresses(access):
        result = _send_to(access, address, request, kind)
        if isinstance(result, Success):
            return result
        last = result.failure()
        if last.status not in _RETRYABLE_STATUSES:
            return result
        if is_problem(last, ProblemName.UNKNOWN_OUTCOME):
            unknown_outcome = last
    return Failed(unknown_outcome or last)


def is_problem(problem: Problem, name: ProblemName) -> bool:
    """Return whether a problem's type has this name."""
    return problem.type.endswith(f':{name.value}')


def _iterate_addresses(access: Access) -> Iterator[Address]:
    yield from access.api
    for _ in range(ROUNDS - 1):
        time.sleep(ROUND_INTERVAL)
        yield from access.api


def _send_to(
    access: Access,
    address: Address,
    request: Request,
    kind: type[_Document],
) -> Result[_Document, Problem]:
    peer = str(address)
    fetched = _fetch(access, address, request)
    if isinstance(fetched, Failed):
        return Failed(_make_transport_problem(request, fetched.failure()))
    response = fetched.unwrap()
    decoded: Result[Any, Failure] = decode_document(
        response.body, kind if response.code < 300 else Problem, peer
    )
    if isinstance(decoded, Failed):
        return Failed(_make_transport_problem(request, decoded.failure()))
    if response.code < 300:
        return Success(decoded.unwrap())
    return Failed(_add_origin(decoded.unwrap(), request, peer))


def _fetch(
    access: Access, address: Address, request: Request
) -> Result[HTTPResponse, Failure]:
    body = encode_document(request.body) if request.body else None
    http_request = HTTPRequest(
        f'http://{address}{request.path}',
        method=request.method,
        body=body,
        headers={'Authorization': f'Bearer {access.token}'},
        connect_timeout=min(CONNECT_TIMEOUT, access.timeout),
        request_timeout=access.timeout,
    )
    client = HTTPClient()
    try:
        return Success(client.fetch(http_request, raise_error=False))
    except (HTTPClientError, OSError) as error:
        step = f'{request.method} {request.path}'
        return Failed(Failure(step, str(address), str(error)))
    finally:
        client.close()


def _make_transport_problem(request: Request, failure: Failure) -> Problem:
    """Return the problem for a request without a valid response.

    After a refused connection, the request can't have been carried out.
    """
    name = ProblemName.NO_QUORUM
    if request.is_change and 'refused' not in failure.reason:
        name = ProblemName.UNKNOWN_OUTCOME
    return make_problem(
        name, failure.reason, step=failure.step, peer=failure.peer
    )


def _add_origin(problem: Problem, request: Request, peer: str) -> Problem:
    """Add the step and the peer if the response doesn't name them."""
    return attrs.evolve(
        problem,
        step=problem.step or f'{request.method} {request.path}',
        peer=problem.peer or peer,
    )

"""Answers to callers: from a target, from the ledger, or of this system."""

from __future__ import annotations

import json

import attrs
import msgspec
from pistachiohook_core.requests.scheduler_messages import RefusalReason

from .exchange import Header
from .exchange import RequestExchange
from .target import ResponseSink
from .target import TargetResponse

#: Prefix of the problem types (RFC 9457) of this system.
PROBLEM_TYPE_PREFIX = 'urn:pistachiohook:problem:'

#: Media type of a problem document.
PROBLEM_MEDIA_TYPE = 'application/problem+json'

#: Status code of a service that accepts no request now.
UNAVAILABLE = 503

#: Longest answer that is buffered before it is sent, in bytes.
BUFFERED_ANSWER_MAX = 1 << 20


class AnswerTooLongError(OSError):
    """An answer that must be buffered is too long."""


@attrs.frozen
class Problem:
    """A problem with which this system answers a request.

    :param status: status code
    :param kind: problem type without the prefix
    :param title: explanation for a reader
    """

    status: int
    kind: str
    title: str


#: The request was refused: it has not run and will not.
NOT_RUN = Problem(
    UNAVAILABLE,
    RefusalReason.NOT_RUN.value,
    'The request has not run and will not.',
)

#: The request was sent to a target; whether it ran is not known.
UNKNOWN_OUTCOME = Problem(
    UNAVAILABLE,
    RefusalReason.UNKNOWN_OUTCOME.value,
    'The request may have run.',
)

#: The idempotency key is malformed, expired or issued in the future.
BAD_KEY = Problem(400, 'bad-key', 'The idempotency key cannot be used.')

#: The idempotency key was used for a request with another digest.
OTHER_REQUEST = Problem(
    422, 'other-request', 'Another request was sent under this key.'
)

#: The body of a request with a key exceeds the limit.
BODY_TOO_LONG = Problem(
    413, 'body-too-long', 'A request with a key has too long a body.'
)


@attrs.frozen
class StoredAnswer:
    """A complete answer, in the form in which the ledger stores it.

    :param status: status code
    :param headers: header fields
    :param body: the whole body
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes


def encode_answer(answer: StoredAnswer) -> bytes:
    """Encode an answer for the ledger."""
    return msgspec.msgpack.encode(answer)


def decode_answer(data: bytes) -> StoredAnswer:
    """Decode an answer that :func:`encode_answer` encoded.

    :raises msgspec.DecodeError: when the data is not an encoded answer
    """
    return msgspec.msgpack.decode(data, type=StoredAnswer)


def send_answer(exchange: RequestExchange, answer: StoredAnswer) -> None:
    """Send a complete answer to the caller.

    When another response has already been started, it is aborted instead.
    """
    if exchange.response_started:
        exchange.abort()
        return
    exchange.respond(answer.status, answer.headers)
    exchange.end_response(answer.body)


def describe_problem(problem: Problem, retry_after: int = 0) -> StoredAnswer:
    """Return an answer with a problem document (RFC 9457).

    :param problem: the problem
    :param retry_after: time after which the caller may retry, in whole
        seconds; 0 leaves the header field out
    """
    document = {
        'type': PROBLEM_TYPE_PREFIX + problem.kind,
        'title': problem.title,
        'status': problem.status,
    }
    headers = [Header('content-type', PROBLEM_MEDIA_TYPE)]
    if retry_after:
        headers.append(Header('retry-after', str(retry_after)))
    body = json.dumps(document).encode()
    return StoredAnswer(problem.status, tuple(headers), body)


@attrs.define
class Relay:
    """Forwards a target's answer to the caller.

    An answer that may be a refusal is buffered, since the request may then be
    retried. So is one that the ledger stores.

    :param exchange: the request
    :param buffer_always: whether the answer is buffered in any case
    """

    exchange: RequestExchange
    buffer_always: bool
    _buffered_head: TargetResponse | None = None
    _body: bytearray = attrs.field(factory=bytearray)

    def make_sink(self) -> ResponseSink:
        """Return the sink that the target's answer is written to."""
        return ResponseSink(self._write_head, self._write_body)

    def find_buffered(self) -> StoredAnswer | None:
        """Return the answer if it was buffered, else ``None``."""
        if self._buffered_head is None:
            return None
        return StoredAnswer(
            self._buffered_head.status,
            self._buffered_head.headers,
            bytes(self._body),
        )

    def _write_head(self, response: TargetResponse) -> None:
        if self.buffer_always or _may_be_refusal(response):
            self._buffered_head = response
            return
        self.exchange.respond(response.status, response.headers)

    async def _write_body(self, chunk: bytes) -> None:
        if self._buffered_head is None:
            await self.exchange.send_body(chunk)
            return
        self._body += chunk
        if len(self._body) > BUFFERED_ANSWER_MAX:
            raise AnswerTooLongError('the answer is too long to be buffered')


def is_refusal(answer: StoredAnswer) -> bool:
    """Return whether a target answered that it has not run the request."""
    if answer.status != UNAVAILABLE:
        return False
    try:
        document = json.loads(answer.body)
        kind = str(document['type'])
    except (ValueError, KeyError, TypeError, RecursionError):
        return False
    return kind.endswith(NOT_RUN.kind)


def _may_be_refusal(response: TargetResponse) -> bool:
    types = (
        one.value for one in response.headers if one.name == 'content-type'
    )
    return response.status == UNAVAILABLE and any(
        one.startswith(PROBLEM_MEDIA_TYPE) for one in types
    )

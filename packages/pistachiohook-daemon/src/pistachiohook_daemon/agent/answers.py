"""Answers to callers: relayed, stored, or problems of this system."""

from __future__ import annotations

import json

import attrs
import msgspec
from pistachiohook_core.requests.scheduler_messages import RefusalReason

from .exchange import Header
from .exchange import RequestExchange
from .target import ResponseSink
from .target import TargetResponse

#: Start of the problem types of RFC 9457 in this system.
PROBLEM_TYPE = 'urn:pistachiohook:problem:'

#: Media type of a problem document.
PROBLEM_MEDIA_TYPE = 'application/problem+json'

#: Status of a service that takes no work now.
UNAVAILABLE = 503

#: Longest answer that is held back until it is whole, in bytes.
HELD_ANSWER_MAX = 1 << 20


class AnswerTooLongError(OSError):
    """An answer that must be held back whole is too long."""


@attrs.frozen
class Problem:
    """A problem document of this system.

    :param status: status code
    :param kind: end of the problem type
    :param title: what it means
    """

    status: int
    kind: str
    title: str


#: The request has not run and will not.
NOT_RUN = Problem(
    UNAVAILABLE,
    RefusalReason.NOT_RUN.value,
    'The request has not run and will not.',
)

#: The request may have run.
UNKNOWN_OUTCOME = Problem(
    UNAVAILABLE,
    RefusalReason.UNKNOWN_OUTCOME.value,
    'The request may have run.',
)

#: The key of the request cannot be used.
BAD_KEY = Problem(400, 'bad-key', 'The idempotency key cannot be used.')

#: The key belongs to another request.
OTHER_REQUEST = Problem(
    422, 'other-request', 'Another request was sent under this key.'
)

#: A request with a key has a body that is too long.
BODY_TOO_LONG = Problem(
    413, 'body-too-long', 'A request with a key has too long a body.'
)


@attrs.frozen
class StoredAnswer:
    """A whole answer as the ledger stores it.

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
    """Decode what :func:`encode_answer` made.

    :raises msgspec.DecodeError: when it is not one
    """
    return msgspec.msgpack.decode(data, type=StoredAnswer)


def send_answer(exchange: RequestExchange, answer: StoredAnswer) -> None:
    """Send a whole answer to the caller."""
    if exchange.response_started:
        exchange.abort()
        return
    exchange.respond(answer.status, answer.headers)
    exchange.end_response(answer.body)


def describe_problem(problem: Problem, retry_after: int = 0) -> StoredAnswer:
    """Return a problem document as an answer (RFC 9457).

    :param problem: what to say
    :param retry_after: when another try may succeed, in whole seconds; 0 to
        say nothing of it
    """
    document = {
        'type': PROBLEM_TYPE + problem.kind,
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
    """State of a target's answer on its way to the caller.

    An answer that may say that the target refused the request is held back
    until it is whole, and so is one that the ledger stores.

    :param exchange: the request
    :param whole: whether the answer is held back in any case
    """

    exchange: RequestExchange
    whole: bool
    _held: TargetResponse | None = None
    _body: bytearray = attrs.field(factory=bytearray)

    def make_sink(self) -> ResponseSink:
        """Return where the target's answer goes."""
        return ResponseSink(self._write_head, self._write_body)

    def find_held(self) -> StoredAnswer | None:
        """Return the answer when it was held back."""
        if self._held is None:
            return None
        return StoredAnswer(
            self._held.status, self._held.headers, bytes(self._body)
        )

    def _write_head(self, response: TargetResponse) -> None:
        if self.whole or _may_be_refusal(response):
            self._held = response
            return
        self.exchange.respond(response.status, response.headers)

    async def _write_body(self, chunk: bytes) -> None:
        if self._held is None:
            await self.exchange.send_body(chunk)
            return
        self._body += chunk
        if len(self._body) > HELD_ANSWER_MAX:
            raise AnswerTooLongError('the answer is too long to be held back')


def is_refusal(answer: StoredAnswer) -> bool:
    """Say whether a target's answer states that nothing has run."""
    if answer.status != UNAVAILABLE:
        return False
    try:
        document = json.loads(answer.body)
        kind = str(document['type'])
    except (ValueError, KeyError, TypeError):
        return False
    return kind.endswith(NOT_RUN.kind)


def _may_be_refusal(response: TargetResponse) -> bool:
    types = (
        one.value for one in response.headers if one.name == 'content-type'
    )
    return response.status == UNAVAILABLE and any(
        one.startswith(PROBLEM_MEDIA_TYPE) for one in types
    )

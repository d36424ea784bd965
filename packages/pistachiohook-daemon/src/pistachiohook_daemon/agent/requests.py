"""The requests of one agent, from admission to the end of the answer."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.requests.scheduler_messages import Action
from pistachiohook_core.requests.scheduler_messages import CancelAtTarget
from pistachiohook_core.requests.scheduler_messages import Event
from pistachiohook_core.requests.scheduler_messages import Exposure
from pistachiohook_core.requests.scheduler_messages import Finish
from pistachiohook_core.requests.scheduler_messages import RefusalReason
from pistachiohook_core.requests.scheduler_messages import Refuse
from pistachiohook_core.requests.scheduler_messages import Request
from pistachiohook_core.requests.scheduler_messages import RequestArrived
from pistachiohook_core.requests.scheduler_messages import RequestCancelled
from pistachiohook_core.requests.scheduler_messages import Start
from pistachiohook_core.requests.scheduler_messages import TargetAnswered
from pistachiohook_core.requests.scheduler_messages import TargetFailed
from pistachiohook_core.requests.scheduler_messages import Tick
from pistachiohook_core.requests.scheduler_messages import TICK_INTERVAL
from returns.result import Failure as Failed

from .exchange import CallerGoneError
from .exchange import Exchange
from .exchange import Header
from .target import ask_target
from .target import Receiver
from .target import TargetFailure
from .target import TargetRequest
from .target import TargetResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.metrics import Metrics
    from pistachiohook_core.requests.scheduler import Scheduler
    from returns.result import Result

#: Methods that may run more than once (RFC 9110, 9.2.2) and have no body.
REPEATABLE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})

#: Time that a request has when it names none, in seconds.
REQUEST_TIMEOUT = 30.0

#: Longest time that a request may ask for, in seconds.
REQUEST_TIMEOUT_MAX = 86_400.0

#: Header field with the seconds that a caller still waits.
TIMEOUT_HEADER = 'request-timeout'

#: Header field with the idempotency key of a request.
KEY_HEADER = 'idempotency-key'

#: Start of the problem types of RFC 9457 in this system.
PROBLEM_TYPE = 'urn:pistachiohook:problem:'


@attrs.define
class _Served:
    """State of one request."""

    exchange: Exchange
    ended: Callable[[], object]
    deadline: float
    arrived: float
    attempt: asyncio.Task[None] | None = None


@attrs.define
class RequestService:
    """State of all requests of one agent.

    :param scheduler: decides what starts and what is refused
    :param target: HTTP/1.1 address of the target
    :param metrics: counts and durations
    """

    scheduler: Scheduler
    target: Address
    metrics: Metrics
    _served: dict[int, _Served] = attrs.field(factory=dict)
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    async def run(self) -> None:
        """Let the scheduler see the time until cancelled."""
        while True:
            self.handle(Tick())
            await asyncio.sleep(TICK_INTERVAL)

    def accept(
        self, exchange: Exchange, ended: Callable[[], object]
    ) -> int | None:
        """Take a request that was read from a flow.

        :param exchange: the request
        :param ended: called when nothing about it follows
        :returns: number of the request, nothing when it was refused at once
        """
        number = next(self._numbers)
        now = time.monotonic()
        deadline = now + _read_timeout(exchange)
        self._served[number] = _Served(exchange, ended, deadline, now)
        self.metrics.count('requests')
        request = Request(
            id=number,
            flow=str(exchange.flow.key.caller),
            route=_find_route(exchange),
            idempotent=exchange.method in REPEATABLE_METHODS,
            deadline=deadline,
            key=exchange.find_header(KEY_HEADER) or '',
            size=_read_length(exchange),
        )
        self.handle(RequestArrived(request))
        return number if number in self._served else None

    def cancel(self, number: int) -> None:
        """Note that nobody waits for the answer."""
        if number in self._served:
            self.handle(RequestCancelled(number))

    def count_open(self) -> int:
        """Return the number of requests in progress."""
        return len(self._served)

    def handle(self, event: Event) -> None:
        """Give an event to the scheduler and do what it asks for."""
        for action in self.scheduler.handle(event, time.monotonic()):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        if isinstance(action, Start):
            self._start(action.id)
        elif isinstance(action, Refuse):
            self._refuse(action)
        elif isinstance(action, CancelAtTarget):
            self._cancel_attempt(action.id)
        elif isinstance(action, Finish):
            self._finish(action.id)

    def _start(self, number: int) -> None:
        served = self._served[number]
        served.attempt = asyncio.create_task(self._attempt(number, served))

    def _cancel_attempt(self, number: int) -> None:
        attempt = self._served[number].attempt
        if attempt is not None:
            attempt.cancel()

    def _finish(self, number: int) -> None:
        served = self._served.pop(number, None)
        if served is not None:
            served.ended()
            duration = time.monotonic() - served.arrived
            self.metrics.record_duration('request', duration)

    def _refuse(self, refusal: Refuse) -> None:
        served = self._served.pop(refusal.id)
        served.ended()
        self.metrics.count(f'refused_{refusal.reason.name.lower()}')
        respond_problem(
            served.exchange, 503, refusal.reason.value, refusal.retry_after
        )

    async def _attempt(self, number: int, served: _Served) -> None:
        try:
            outcome = await self._ask(served)
        except asyncio.CancelledError:
            self.handle(TargetFailed(number, Exposure.SENT))
            raise
        except CallerGoneError:
            self.handle(RequestCancelled(number))
            self.handle(TargetFailed(number, Exposure.SENT))
            return
        if not isinstance(outcome, Failed):
            self.metrics.count('answered')
            await _end_response(served.exchange)
            self.handle(TargetAnswered(number))
            return
        self._fail(number, served, outcome.failure())

    def _fail(
        self, number: int, served: _Served, failure: TargetFailure
    ) -> None:
        self.metrics.count('target_failed')
        if served.exchange.responded:
            served.exchange.abort()
            self.handle(RequestCancelled(number))
        exposure = Exposure.SENT if failure.seen else Exposure.NOT_SENT
        self.handle(TargetFailed(number, exposure))

    async def _ask(self, served: _Served) -> Result[None, TargetFailure]:
        exchange = served.exchange
        left = served.deadline - time.monotonic()
        timeout = Header(TIMEOUT_HEADER, f'{max(0.0, left):.3f}')
        kept = (one for one in exchange.headers if one.name != TIMEOUT_HEADER)
        request = TargetRequest(
            method=exchange.method,
            path=exchange.path,
            headers=(*kept, timeout),
            body=exchange.read_body() if exchange.has_body else None,
            timeout=left,
        )

        def take_head(response: TargetResponse) -> None:
            exchange.respond(response.status, response.headers)

        receiver = Receiver(take_head, exchange.send_body)
        return await ask_target(self.target, request, receiver)


def respond_problem(
    exchange: Exchange, status: int, kind: str, retry_after: int
) -> None:
    """Refuse a request with a problem document (RFC 9457).

    :param exchange: the request
    :param status: status code
    :param kind: end of the problem type
    :param retry_after: when another try may succeed, in whole seconds
    """
    document = {
        'type': PROBLEM_TYPE + kind,
        'title': _TITLES[kind],
        'status': status,
    }
    headers = (
        Header('content-type', 'application/problem+json'),
        Header('retry-after', str(retry_after)),
    )
    if exchange.responded:
        exchange.abort()
        return
    exchange.respond(status, headers)
    body = json.dumps(document).encode()
    if exchange.flow.h3 is not None and not exchange.gone.is_set():
        exchange.finished = True
        exchange.flow.h3.send_data(exchange.stream_id, body, True)
        exchange.discard_body()
        exchange.engine.advance(exchange.flow)


_TITLES = {
    RefusalReason.NOT_RUN.value: 'The request has not run and will not.',
    RefusalReason.UNKNOWN_OUTCOME.value: 'The request may have run.',
}


async def _end_response(exchange: Exchange) -> None:
    if not exchange.gone.is_set():
        await exchange.send_body(b'', ended=True)


def _find_route(exchange: Exchange) -> str:
    first = exchange.path.split('?')[0].split('/')[1:2]
    return f'{exchange.method} /{"".join(first)}'


def _read_timeout(exchange: Exchange) -> float:
    text = exchange.find_header(TIMEOUT_HEADER)
    try:
        found = float(text) if text else REQUEST_TIMEOUT
    except ValueError:
        found = REQUEST_TIMEOUT
    within = 0.0 <= found <= REQUEST_TIMEOUT_MAX
    return found if within else REQUEST_TIMEOUT


def _read_length(exchange: Exchange) -> int:
    text = exchange.find_header('content-length') or ''
    return int(text) if text.isascii() and text.isdigit() else 0

"""The requests of one agent, from admission to the end of the answer."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.requests.ledger_client import Grant
from pistachiohook_core.requests.ledger_client import KeyRefusal
from pistachiohook_core.requests.ledger_client import Replay
from pistachiohook_core.requests.scheduler_messages import Action
from pistachiohook_core.requests.scheduler_messages import AttemptProgress
from pistachiohook_core.requests.scheduler_messages import CancelAtPeer
from pistachiohook_core.requests.scheduler_messages import CancelAtTarget
from pistachiohook_core.requests.scheduler_messages import Event
from pistachiohook_core.requests.scheduler_messages import Finish
from pistachiohook_core.requests.scheduler_messages import HandOver
from pistachiohook_core.requests.scheduler_messages import HandOverAnswered
from pistachiohook_core.requests.scheduler_messages import HandOverOutcome
from pistachiohook_core.requests.scheduler_messages import PeerGone
from pistachiohook_core.requests.scheduler_messages import PeerSlots
from pistachiohook_core.requests.scheduler_messages import RefusalReason
from pistachiohook_core.requests.scheduler_messages import Refuse
from pistachiohook_core.requests.scheduler_messages import Request
from pistachiohook_core.requests.scheduler_messages import RequestArrived
from pistachiohook_core.requests.scheduler_messages import RequestCancelled
from pistachiohook_core.requests.scheduler_messages import Start
from pistachiohook_core.requests.scheduler_messages import StartWithdrawn
from pistachiohook_core.requests.scheduler_messages import TargetAnswered
from pistachiohook_core.requests.scheduler_messages import TargetFailed
from pistachiohook_core.requests.scheduler_messages import Tick
from pistachiohook_core.requests.scheduler_messages import TICK_INTERVAL
from returns.result import Failure as Failed

from .answers import BAD_KEY
from .answers import BODY_TOO_LONG
from .answers import decode_answer
from .answers import describe_problem
from .answers import encode_answer
from .answers import is_refusal
from .answers import NOT_RUN
from .answers import OTHER_REQUEST
from .answers import Problem
from .answers import Relay
from .answers import send_answer
from .answers import StoredAnswer
from .answers import UNKNOWN_OUTCOME
from .exchange import ExchangeCancelledError
from .exchange import Header
from .exchange import RequestExchange
from .hand_over import make_proof
from .hand_over import RequestHead
from .request_properties import digest_request
from .request_properties import find_route
from .request_properties import read_length
from .request_properties import read_timeout
from .request_properties import TIMEOUT_HEADER
from .target import send_request
from .target import TargetFailure
from .target import TargetRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Coroutine

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.metrics import Metrics
    from pistachiohook_core.published import Target
    from pistachiohook_core.requests.scheduler import Scheduler
    from pistachiohook_core.requests.slot_messages import FreeSlotsReport
    from returns.result import Result

    from ..keys import LinkKeys
    from .ledger import Decision
    from .ledger import LedgerService

#: Methods that may run more than once (RFC 9110, 9.2.2) and have no body.
REPEATABLE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})

#: Header field with the idempotency key of a request.
KEY_HEADER = 'idempotency-key'

#: Longest body of a request with a key, in bytes.
KEYED_BODY_MAX = 256 * 1024

#: What a caller is told for each refusal of its key.
KEY_PROBLEMS: dict[KeyRefusal, Problem] = {
    KeyRefusal.MALFORMED: BAD_KEY,
    KeyRefusal.EXPIRED: BAD_KEY,
    KeyRefusal.NOT_YET_ISSUED: BAD_KEY,
    KeyRefusal.OTHER_REQUEST: OTHER_REQUEST,
    KeyRefusal.UNKNOWN_OUTCOME: UNKNOWN_OUTCOME,
    KeyRefusal.NOT_RUN: NOT_RUN,
}


@attrs.define
class _Served:
    """State of one request.

    :param body: the buffer_always body of a request with a key
    :param granted: whether the ledger has granted the key to this agent
    :param handed_over: whether a peer handed the request over
    :param body_spent: whether a body that is not kept was sent to a peer
    """

    number: int
    exchange: RequestExchange
    ended: Callable[[], object]
    deadline: float
    arrived: float
    key: str = ''
    body: bytes = b''
    digest: bytes = b''
    granted: bool = False
    handed_over: bool = False
    body_spent: bool = False
    attempt: asyncio.Task[None] | None = None

    def count_left(self) -> float:
        """Return how long the caller still waits, in seconds."""
        return max(0.0, self.deadline - time.monotonic())


@attrs.define
class RequestService:
    """State of all requests of one agent.

    :param scheduler: decides what starts and what is refused
    :param ledger: grants idempotency keys
    :param target: HTTP/1.1 address of the target
    :param metrics: counts and durations
    :param keys: the current one proves what is handed over
    """

    scheduler: Scheduler
    ledger: LedgerService
    target: Address
    metrics: Metrics
    keys: LinkKeys
    _peers: dict[str, Address | None] = attrs.field(factory=dict)
    _served: dict[int, _Served] = attrs.field(factory=dict)
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self) -> None:
        """Let the scheduler see the time until cancelled."""
        while True:
            self.handle(Tick())
            await asyncio.sleep(TICK_INTERVAL)

    def accept(
        self,
        exchange: RequestExchange,
        ended: Callable[[], object],
        handed_over: bool = False,
    ) -> int | None:
        """Take a request that was read from a flow.

        :param exchange: the request
        :param ended: called when nothing about it follows
        :param handed_over: whether a peer handed it over
        :returns: number of the request, nothing when it was refused at once
        """
        number = next(self._numbers)
        now = time.monotonic()
        deadline = now + read_timeout(exchange)
        served = _Served(
            number, exchange, ended, deadline, now, handed_over=handed_over
        )
        self._served[number] = served
        self.metrics.count('requests')
        served.key = exchange.find_header(KEY_HEADER) or ''
        if served.key:
            self._begin_task(self._read_keyed(served))
        else:
            self._admit(served)
        return number if number in self._served else None

    def cancel(self, number: int) -> None:
        """Note that nobody waits for the answer.

        A granted run goes on to its end, so that a repeat finds its answer.
        """
        served = self._served.get(number)
        if served is not None and not served.granted:
            self.handle(RequestCancelled(number))

    def apply_peers(self, targets: tuple[Target, ...], own: str) -> None:
        """Take over the published targets of the service.

        :param targets: every target of the service
        :param own: name of this agent's target
        """
        peers = {one.name: one.hand_over for one in targets if one.name != own}
        for gone in set(self._peers) - set(peers):
            self.handle(PeerGone(gone))
        self._peers = peers

    def take_report(self, report: FreeSlotsReport, near: bool) -> None:
        """Take what a peer tells of its free slots."""
        if report.target in self._peers:
            slots = PeerSlots(
                report.target, report.free, report.free_for_long, near
            )
            self.handle(slots)

    def count_running(self) -> int:
        """Return the number of requests that are at the target."""
        attempts = (served.attempt for served in self._served.values())
        return sum(one is not None and not one.done() for one in attempts)

    def count_open(self) -> int:
        """Return the number of requests in progress."""
        return len(self._served)

    def handle(self, event: Event) -> None:
        """Give an event to the scheduler and do what it asks for."""
        for action in self.scheduler.handle(event, time.monotonic()):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        if isinstance(action, Start):
            served = self._served[action.id]
            served.attempt = self._begin_task(self._attempt(served))
        elif isinstance(action, Refuse):
            self._refuse(action)
        elif isinstance(action, HandOver):
            served = self._served[action.id]
            work = self._hand_over(served, action.peer)
            served.attempt = self._begin_task(work)
        elif isinstance(action, CancelAtTarget | CancelAtPeer):
            self._cancel_attempt(action.id)
        elif isinstance(action, Finish):
            self._finish(action.id)

    def _begin_task(
        self, work: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _read_keyed(self, served: _Served) -> None:
        """Read the buffer_always body, which the key belongs to."""
        exchange = served.exchange
        body = bytearray()
        try:
            async for chunk in exchange.read_body():
                body += chunk
                if len(body) > KEYED_BODY_MAX:
                    self._end(served, describe_problem(BODY_TOO_LONG))
                    return
        except ExchangeCancelledError:
            self._finish(served.number)
            return
        served.body = bytes(body)
        served.digest = digest_request(exchange, served.body)
        self._admit(served)

    def _admit(self, served: _Served) -> None:
        exchange = served.exchange
        request = Request(
            id=served.number,
            flow=exchange.flow_name,
            route=find_route(exchange),
            idempotent=exchange.method in REPEATABLE_METHODS,
            deadline=served.deadline,
            key=served.key,
            size=len(served.body) or read_length(exchange),
        )
        self.handle(RequestArrived(request, served.handed_over))

    def _cancel_attempt(self, number: int) -> None:
        served = self._served.get(number)
        if served is not None and served.attempt is not None:
            served.attempt.cancel()

    def _finish(self, number: int) -> None:
        served = self._served.pop(number, None)
        if served is not None:
            served.ended()
            duration = time.monotonic() - served.arrived
            self.metrics.record_duration('request', duration)

    def _end(self, served: _Served, answer: StoredAnswer) -> None:
        send_answer(served.exchange, answer)
        self._finish(served.number)

    def _refuse(self, refusal: Refuse) -> None:
        served = self._served.get(refusal.id)
        if served is None:
            return
        ran = refusal.reason is RefusalReason.UNKNOWN_OUTCOME
        problem = UNKNOWN_OUTCOME if ran else NOT_RUN
        answer = describe_problem(problem, refusal.retry_after)
        if served.granted:
            stored = None if ran else encode_answer(answer)
            self.ledger.end_run(served.key, stored)
        elif served.key:
            self._begin_task(self._refuse_keyed(served, answer))
            return
        self.metrics.count(f'refused_{refusal.reason.name.lower()}')
        self._end(served, answer)

    async def _refuse_keyed(
        self, served: _Served, answer: StoredAnswer
    ) -> None:
        """Refuse only once the ledger knows of no run under the key."""
        decision = await self.ledger.look_up(
            served.number, served.key, served.digest, served.count_left()
        )
        self._end(served, self._choose_answer(decision, answer))

    def _choose_answer(
        self, decision: Decision, refusal: StoredAnswer
    ) -> StoredAnswer:
        if isinstance(decision, Replay):
            self.metrics.count('replayed')
            return decode_answer(decision.answer)
        if isinstance(decision, Grant):
            return refusal
        self.metrics.count(f'key_{decision.reason.name.lower()}')
        if decision.reason is KeyRefusal.NOT_RUN:
            return refusal
        return describe_problem(KEY_PROBLEMS[decision.reason])

    async def _hand_over(self, served: _Served, peer: str) -> None:
        relay = Relay(served.exchange, buffer_always=False)
        outcome = HandOverOutcome.UNKNOWN
        try:
            outcome = await self._ask_peer(served, relay, peer)
        except ExchangeCancelledError:
            self.handle(RequestCancelled(served.number))
            return
        self.metrics.count(f'handed_over_{outcome.name.lower()}')
        if (
            outcome is HandOverOutcome.UNKNOWN
            and served.exchange.response_started
        ):
            served.exchange.abort()
            self.handle(RequestCancelled(served.number))
        self.handle(HandOverAnswered(served.number, outcome))

    async def _ask_peer(
        self, served: _Served, relay: Relay, peer: str
    ) -> HandOverOutcome:
        target = self._peers.get(peer)
        if target is None:
            return HandOverOutcome.NOT_RUN
        served.body_spent = served.exchange.has_body and not served.key
        request = _make_request(served)
        head = RequestHead(request.method, request.path, peer)
        proof = make_proof(head, self.keys, time.time())
        request = attrs.evolve(request, headers=(*request.headers, proof))
        answered = await send_request(target, request, relay.make_sink())
        if isinstance(answered, Failed):
            may_have_run = answered.failure().may_have_run
            return (
                HandOverOutcome.UNKNOWN
                if may_have_run
                else HandOverOutcome.NOT_RUN
            )
        buffered = relay.find_buffered()
        if buffered is not None and is_refusal(buffered):
            return HandOverOutcome.NOT_RUN
        if buffered is not None:
            send_answer(served.exchange, buffered)
        else:
            served.exchange.end_response(b'')
        return HandOverOutcome.ANSWERED

    async def _attempt(self, served: _Served) -> None:
        if served.body_spent:
            self.handle(TargetFailed(served.number, AttemptProgress.NOT_SENT))
            return
        try:
            if served.key and not await self._ask_ledger(served):
                return
            relay = Relay(served.exchange, buffer_always=bool(served.key))
            outcome = await self._send_to_target(served, relay)
        except asyncio.CancelledError:
            self._lose_answer(served)
            self.handle(TargetFailed(served.number, AttemptProgress.SENT))
            raise
        except ExchangeCancelledError:
            self.handle(RequestCancelled(served.number))
            self.handle(TargetFailed(served.number, AttemptProgress.SENT))
            return
        if isinstance(outcome, Failed):
            self._fail(served, outcome.failure())
        else:
            await self._succeed(served, relay)

    async def _ask_ledger(self, served: _Served) -> bool:
        """Return whether the request may be sent to the target now."""
        if served.granted:
            return True
        decision = await self.ledger.begin(
            served.number, served.key, served.digest, served.count_left()
        )
        if isinstance(decision, Grant):
            served.granted = True
            return True
        refusal = describe_problem(NOT_RUN)
        self._end(served, self._choose_answer(decision, refusal))
        self.handle(StartWithdrawn(served.number))
        return False

    def _lose_answer(self, served: _Served) -> None:
        if served.granted:
            self.ledger.end_run(served.key, None)

    def _fail(self, served: _Served, failure: TargetFailure) -> None:
        self.metrics.count('target_failed')
        if served.exchange.response_started:
            served.exchange.abort()
            self.handle(RequestCancelled(served.number))
        progress = (
            AttemptProgress.SENT
            if failure.may_have_run
            else AttemptProgress.NOT_SENT
        )
        self.handle(TargetFailed(served.number, progress))

    async def _succeed(self, served: _Served, relay: Relay) -> None:
        buffered = relay.find_buffered()
        if buffered is not None and is_refusal(buffered):
            self.metrics.count('target_shed')
            self.handle(TargetFailed(served.number, AttemptProgress.SHED))
            return
        self.metrics.count('answered')
        if served.granted and buffered is not None:
            self.ledger.end_run(served.key, encode_answer(buffered))
        if buffered is not None:
            send_answer(served.exchange, buffered)
        else:
            served.exchange.end_response(b'')
        self.handle(TargetAnswered(served.number))

    async def _send_to_target(
        self, served: _Served, relay: Relay
    ) -> Result[None, TargetFailure]:
        request = _make_request(served)
        return await send_request(self.target, request, relay.make_sink())


def _make_request(served: _Served) -> TargetRequest:
    exchange = served.exchange
    left = served.count_left()
    timeout = Header(TIMEOUT_HEADER, f'{left:.3f}')
    kept = (one for one in exchange.headers if one.name != TIMEOUT_HEADER)
    return TargetRequest(
        method=exchange.method,
        path=exchange.path,
        headers=(*kept, timeout),
        body=_choose_body(served),
        timeout=left,
    )


def _choose_body(served: _Served) -> AsyncIterator[bytes] | None:
    if served.key:
        return _yield_whole(served.body)
    has_body = served.exchange.has_body
    return served.exchange.read_body() if has_body else None


async def _yield_whole(body: bytes) -> AsyncIterator[bytes]:
    if body:
        yield body

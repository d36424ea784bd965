"""The requests of one agent, from their arrival to the end of the answer."""

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

from ..clocks import read_clock
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

#: Idempotent methods (RFC 9110, 9.2.2) whose requests have no body that
#: would have to be kept for a retry.
RETRYABLE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})

#: Header field with the idempotency key of a request.
KEY_HEADER = 'idempotency-key'

#: Longest body of a request with a key, in bytes; it is buffered whole.
KEYED_BODY_MAX = 256 * 1024

#: Problem with which the caller is answered for each refusal of its key.
KEY_PROBLEMS: dict[KeyRefusal, Problem] = {
    KeyRefusal.MALFORMED: BAD_KEY,
    KeyRefusal.EXPIRED: BAD_KEY,
    KeyRefusal.NOT_YET_ISSUED: BAD_KEY,
    KeyRefusal.OTHER_REQUEST: OTHER_REQUEST,
    KeyRefusal.UNKNOWN_OUTCOME: UNKNOWN_OUTCOME,
    KeyRefusal.NOT_RUN: NOT_RUN,
}


@attrs.define
class _ActiveRequest:
    """A request in progress.

    :param request_id: number of the request at this agent
    :param exchange: the request as received, with methods to answer it
    :param on_finished: called once, when the request has ended
    :param deadline: when the caller stops waiting, on the monotonic clock
    :param arrived_at: when the request arrived, on the monotonic clock
    :param key: idempotency key; empty when the request has none
    :param body: the whole body of a request with a key
    :param digest: digest of a request with a key, body included
    :param granted: whether the ledger has granted the key to this agent
    :param handed_over: whether a peer handed the request over
    :param body_consumed: whether the body was streamed to a peer and cannot
        be sent again
    :param attempt: the current attempt at the target or at a peer
    """

    request_id: int
    exchange: RequestExchange
    on_finished: Callable[[], object]
    deadline: float
    arrived_at: float
    key: str = ''
    body: bytes = b''
    digest: bytes = b''
    granted: bool = False
    handed_over: bool = False
    body_consumed: bool = False
    attempt: asyncio.Task[None] | None = None

    def compute_time_left(self) -> float:
        """Return the time until the deadline, in seconds; 0 after it."""
        return max(0.0, self.deadline - read_clock())


@attrs.define
class RequestService:
    """Runs the requests of one agent as the scheduler decides.

    :param scheduler: decides which request is started, handed over or refused
    :param ledger: grants idempotency keys
    :param target: HTTP/1.1 address of the target
    :param metrics: takes counts and durations
    :param keys: link keys; the current one authenticates requests that are
        handed over
    """

    scheduler: Scheduler
    ledger: LedgerService
    target: Address
    metrics: Metrics
    keys: LinkKeys
    _peers: dict[str, Address | None] = attrs.field(factory=dict)
    _active: dict[int, _ActiveRequest] = attrs.field(factory=dict)
    _request_ids: itertools.count[int] = attrs.field(factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self) -> None:
        """Send periodic ticks to the scheduler, until cancelled."""
        while True:
            self.handle(Tick())
            await asyncio.sleep(TICK_INTERVAL)

    def accept(
        self,
        exchange: RequestExchange,
        on_finished: Callable[[], object],
        handed_over: bool = False,
    ) -> int | None:
        """Accept a request from a flow or from a peer.

        :param exchange: the request
        :param on_finished: called once, when the request has ended
        :param handed_over: whether a peer handed it over
        :returns: number of the request; ``None`` when it was refused at once
        """
        request_id = next(self._request_ids)
        now = read_clock()
        deadline = now + read_timeout(exchange)
        active = _ActiveRequest(
            request_id,
            exchange,
            on_finished,
            deadline,
            now,
            handed_over=handed_over,
        )
        self._active[request_id] = active
        self.metrics.count('requests')
        active.key = exchange.find_header(KEY_HEADER) or ''
        if active.key:
            self._start_task(self._read_keyed_body(active))
        else:
            self._admit(active)
        return request_id if request_id in self._active else None

    def cancel(self, request_id: int) -> None:
        """Cancel a request whose caller no longer waits.

        A request whose key was granted continues, so that a retry with the
        same key gets its answer.
        """
        active = self._active.get(request_id)
        if active is not None and not active.granted:
            self.handle(RequestCancelled(request_id))

    def apply_peers(self, targets: tuple[Target, ...], own_name: str) -> None:
        """Replace the peers by the published targets of the service.

        :param targets: every target of the service
        :param own_name: name of this agent's target
        """
        peers = {
            one.name: one.hand_over for one in targets if one.name != own_name
        }
        for departed in set(self._peers) - set(peers):
            self.handle(PeerGone(departed))
        self._peers = peers

    def record_free_slots(self, report: FreeSlotsReport, local: bool) -> None:
        """Pass a peer's report of its free slots to the scheduler.

        :param report: the report
        :param local: whether the peer is in this agent's availability zone
        """
        if report.target in self._peers:
            slots = PeerSlots(
                report.target, report.free, report.free_for_long, local
            )
            self.handle(slots)

    def count_running(self) -> int:
        """Return the number of attempts in progress.

        Attempts at the target and at peers are counted.
        """
        attempts = (active.attempt for active in self._active.values())
        return sum(one is not None and not one.done() for one in attempts)

    def count_active(self) -> int:
        """Return the number of requests in progress, queued ones included."""
        return len(self._active)

    def handle(self, event: Event) -> None:
        """Pass an event to the scheduler and perform its actions."""
        for action in self.scheduler.handle(event, read_clock()):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        if isinstance(action, Start):
            active = self._active[action.id]
            active.attempt = self._start_task(self._attempt(active))
        elif isinstance(action, Refuse):
            self._refuse(action)
        elif isinstance(action, HandOver):
            active = self._active[action.id]
            coroutine = self._hand_over(active, action.peer)
            active.attempt = self._start_task(coroutine)
        elif isinstance(action, CancelAtTarget | CancelAtPeer):
            self._cancel_attempt(action.id)
        elif isinstance(action, Finish):
            self._finish(action.id)

    def _start_task(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _read_keyed_body(self, active: _ActiveRequest) -> None:
        """Read the whole body before the request is admitted.

        The key is bound to a digest that covers the body.
        """
        exchange = active.exchange
        body = bytearray()
        try:
            async for chunk in exchange.read_body():
                body += chunk
                if len(body) > KEYED_BODY_MAX:
                    self._finish_with(active, describe_problem(BODY_TOO_LONG))
                    return
        except ExchangeCancelledError:
            self._finish(active.request_id)
            return
        active.body = bytes(body)
        active.digest = digest_request(exchange, active.body)
        self._admit(active)

    def _admit(self, active: _ActiveRequest) -> None:
        exchange = active.exchange
        request = Request(
            id=active.request_id,
            flow=exchange.flow_name,
            route=find_route(exchange),
            idempotent=exchange.method in RETRYABLE_METHODS,
            deadline=active.deadline,
            key=active.key,
            size=len(active.body) or read_length(exchange),
        )
        self.handle(RequestArrived(request, active.handed_over))

    def _cancel_attempt(self, request_id: int) -> None:
        active = self._active.get(request_id)
        if active is not None and active.attempt is not None:
            active.attempt.cancel()

    def _finish(self, request_id: int) -> None:
        active = self._active.pop(request_id, None)
        if active is not None:
            active.on_finished()
            duration = read_clock() - active.arrived_at
            self.metrics.record_duration('request', duration)

    def _finish_with(
        self, active: _ActiveRequest, answer: StoredAnswer
    ) -> None:
        send_answer(active.exchange, answer)
        self._finish(active.request_id)

    def _refuse(self, refusal: Refuse) -> None:
        active = self._active.get(refusal.id)
        if active is None:
            return
        may_have_run = refusal.reason is RefusalReason.UNKNOWN_OUTCOME
        problem = UNKNOWN_OUTCOME if may_have_run else NOT_RUN
        answer = describe_problem(problem, refusal.retry_after)
        if active.granted:
            stored = None if may_have_run else encode_answer(answer)
            self.ledger.end_run(active.key, stored)
        elif active.key:
            self._start_task(self._refuse_keyed(active, answer))
            return
        self.metrics.count(f'refused_{refusal.reason.name.lower()}')
        self._finish_with(active, answer)

    async def _refuse_keyed(
        self, active: _ActiveRequest, answer: StoredAnswer
    ) -> None:
        """Refuse a request unless the ledger has a record of its run.

        Another agent may have run a request with the same key: its stored
        answer is then replayed.
        """
        decision = await self.ledger.look_up(
            active.request_id,
            active.key,
            active.digest,
            active.compute_time_left(),
        )
        self._finish_with(active, self._choose_answer(decision, answer))

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

    async def _hand_over(self, active: _ActiveRequest, peer: str) -> None:
        """Send a request to a peer and report how the hand-over ended."""
        relay = Relay(active.exchange, buffer_always=False)
        outcome = HandOverOutcome.UNKNOWN
        try:
            outcome = await self._send_to_peer(active, relay, peer)
        except ExchangeCancelledError:
            self.handle(RequestCancelled(active.request_id))
            return
        self.metrics.count(f'handed_over_{outcome.name.lower()}')
        if (
            outcome is HandOverOutcome.UNKNOWN
            and active.exchange.response_started
        ):
            active.exchange.abort()
            self.handle(RequestCancelled(active.request_id))
        self.handle(HandOverAnswered(active.request_id, outcome))

    async def _send_to_peer(
        self, active: _ActiveRequest, relay: Relay, peer: str
    ) -> HandOverOutcome:
        target = self._peers.get(peer)
        if target is None:
            return HandOverOutcome.NOT_RUN
        active.body_consumed = active.exchange.has_body and not active.key
        request = _make_request(active)
        head = RequestHead(request.method, request.path, peer)
        proof = make_proof(head, self.keys, time.time())
        request = attrs.evolve(request, headers=(*request.headers, proof))
        result = await send_request(target, request, relay.make_sink())
        if isinstance(result, Failed):
            may_have_run = result.failure().may_have_run
            return (
                HandOverOutcome.UNKNOWN
                if may_have_run
                else HandOverOutcome.NOT_RUN
            )
        buffered = relay.find_buffered()
        if buffered is not None and is_refusal(buffered):
            return HandOverOutcome.NOT_RUN
        if buffered is not None:
            send_answer(active.exchange, buffered)
        else:
            active.exchange.end_response(b'')
        return HandOverOutcome.ANSWERED

    async def _attempt(self, active: _ActiveRequest) -> None:
        """Run a request at the target and report how the attempt ended."""
        if active.body_consumed:
            self.handle(
                TargetFailed(active.request_id, AttemptProgress.NOT_SENT)
            )
            return
        try:
            if active.key and not await self._obtain_grant(active):
                return
            relay = Relay(active.exchange, buffer_always=bool(active.key))
            outcome = await self._send_to_target(active, relay)
        except asyncio.CancelledError:
            self._store_unknown_outcome(active)
            self.handle(TargetFailed(active.request_id, AttemptProgress.SENT))
            raise
        except ExchangeCancelledError:
            self.handle(RequestCancelled(active.request_id))
            self.handle(TargetFailed(active.request_id, AttemptProgress.SENT))
            return
        if isinstance(outcome, Failed):
            self._handle_failure(active, outcome.failure())
        else:
            await self._handle_answer(active, relay)

    async def _obtain_grant(self, active: _ActiveRequest) -> bool:
        """Return whether the ledger grants the key to this request.

        When it does not, the caller is answered with the ledger's decision.
        """
        if active.granted:
            return True
        decision = await self.ledger.begin(
            active.request_id,
            active.key,
            active.digest,
            active.compute_time_left(),
        )
        if isinstance(decision, Grant):
            active.granted = True
            return True
        refusal = describe_problem(NOT_RUN)
        self._finish_with(active, self._choose_answer(decision, refusal))
        self.handle(StartWithdrawn(active.request_id))
        return False

    def _store_unknown_outcome(self, active: _ActiveRequest) -> None:
        if active.granted:
            self.ledger.end_run(active.key, None)

    def _handle_failure(
        self, active: _ActiveRequest, failure: TargetFailure
    ) -> None:
        self.metrics.count('target_failed')
        if active.exchange.response_started:
            active.exchange.abort()
            self.handle(RequestCancelled(active.request_id))
        progress = (
            AttemptProgress.SENT
            if failure.may_have_run
            else AttemptProgress.NOT_SENT
        )
        self.handle(TargetFailed(active.request_id, progress))

    async def _handle_answer(
        self, active: _ActiveRequest, relay: Relay
    ) -> None:
        buffered = relay.find_buffered()
        if buffered is not None and is_refusal(buffered):
            self.metrics.count('target_shed')
            self.handle(TargetFailed(active.request_id, AttemptProgress.SHED))
            return
        self.metrics.count('answered')
        if active.granted and buffered is not None:
            self.ledger.end_run(active.key, encode_answer(buffered))
        if buffered is not None:
            send_answer(active.exchange, buffered)
        else:
            active.exchange.end_response(b'')
        self.handle(TargetAnswered(active.request_id))

    async def _send_to_target(
        self, active: _ActiveRequest, relay: Relay
    ) -> Result[None, TargetFailure]:
        request = _make_request(active)
        return await send_request(self.target, request, relay.make_sink())


def _make_request(active: _ActiveRequest) -> TargetRequest:
    exchange = active.exchange
    time_left = active.compute_time_left()
    timeout = Header(TIMEOUT_HEADER, f'{time_left:.3f}')
    kept = (one for one in exchange.headers if one.name != TIMEOUT_HEADER)
    return TargetRequest(
        method=exchange.method,
        path=exchange.path,
        headers=(*kept, timeout),
        body=_make_body(active),
        timeout=time_left,
    )


def _make_body(active: _ActiveRequest) -> AsyncIterator[bytes] | None:
    if active.key:
        return _yield_body(active.body)
    has_body = active.exchange.has_body
    return active.exchange.read_body() if has_body else None


async def _yield_body(body: bytes) -> AsyncIterator[bytes]:
    if body:
        yield body

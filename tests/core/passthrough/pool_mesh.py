"""Callers that keep flows open in pools, in the simulated network."""

from __future__ import annotations

from collections import deque
from random import Random

import attrs
from mesh import Attempt
from mesh import decode
from mesh import encode
from mesh import ENDS
from mesh import ENTRY
from mesh import ENTRY_NUMBER
from mesh import GIVE_UP
from mesh import Mesh
from mesh import RETRANSMISSIONS
from mesh import URGENT
from pistachiohook_core.passthrough.segments import make_flow

#: Length of a request and of its answer, in bytes.
REQUEST, ANSWER, SHED = 50, 100, 1
#: When a caller retransmits an unanswered request, in seconds.
REQUEST_RETRANSMISSIONS = (0.2, 0.6)


@attrs.define(eq=False)
class PooledRequest:
    """A request of a caller with a pool of flows.

    :param owner: index of the caller
    """

    owner: int
    began_at: float
    deadline: float
    work_s: float
    retries: int
    outcome: str = ''
    ended_at: float | None = None
    tries: int = 0


@attrs.define(eq=False)
class PooledFlow(Attempt):
    """A flow that stays open for many requests.

    :param sent: bytes of requests that the caller has sent
    :param answered: bytes of answers that the target has sent
    """

    owner: int = 0
    current: PooledRequest | None = None
    sent: int = 0
    answered: int = 0
    used_at: float = 0.0


@attrs.define(eq=False)
class PoolMesh(Mesh):
    """Mesh whose callers keep flows open for many requests."""

    pools: dict = attrs.field(factory=dict)
    requests: list = attrs.field(factory=list)
    idle_close_s: float = 12.0
    random: Random = attrs.field(factory=lambda: Random(7))

    def ask(self, owner, balancer, work_s, deadline_s, retries=2, short=False):
        """Send a request over an idle flow of a caller or over a new one.

        Each retry opens a new flow.

        :param short: whether the flow is closed after the answer
        """
        request = PooledRequest(
            owner, self.now, self.now + deadline_s, work_s, retries
        )
        self.requests.append(request)
        self.at(request.deadline, self.miss_request, request)
        self.try_request(request, balancer, short)
        return request

    def try_request(self, request, balancer, short):
        if request.outcome or self.now >= request.deadline:
            return
        request.tries += 1
        pool = self.pools.setdefault(request.owner, deque())
        while pool and not short and request.tries == 1:
            flow = pool.pop()
            if flow.outcome == '':
                flow.balancer = balancer
                self.start_request(flow, request)
                return
        port = (URGENT if short else ENTRY).port
        key = make_flow(1, next(self.ports), ENTRY_NUMBER, port)
        flow = PooledFlow(
            key, balancer, self.now, urgent=short, owner=request.owner
        )
        flow.current = request
        self.attempts[key] = flow
        self.send_opening(flow, 0)
        for number, wait in enumerate(RETRANSMISSIONS, 1):
            self.at(self.now + wait, self.send_opening, flow, number)
        self.at(self.now + GIVE_UP, self.give_up, flow)

    def start_request(self, flow, request):
        flow.current = request
        flow.sent += REQUEST
        self.send_request(flow, request, flow.sent)

    def send_request(self, flow, request, end, repeats=0):
        if request.outcome or flow.outcome or flow.current is not request:
            return
        self.send_to_balancer(
            flow,
            encode(
                flow.flow,
                0,
                8 + end - REQUEST,
                flow.accepted + 1,
                REQUEST,
            ),
        )
        if repeats < len(REQUEST_RETRANSMISSIONS):
            self.at(
                self.now + REQUEST_RETRANSMISSIONS[repeats],
                self.send_request,
                flow,
                request,
                end,
                repeats + 1,
            )

    def miss_request(self, request):
        if not request.outcome:
            request.outcome = 'missed'
            request.ended_at = self.now

    def request(self, attempt, timeout=0.2):
        """Send the first request of a flow that has just opened."""
        if isinstance(attempt, PooledFlow):
            self.start_request(attempt, attempt.current)
        else:
            super().request(attempt, timeout)

    def schedule_retry(self, attempt):
        """Retry the request of a flow that was not opened or was shed."""
        if not isinstance(attempt, PooledFlow):
            super().schedule_retry(attempt)
            return
        request, attempt.current = attempt.current, None
        if request is None or request.outcome:
            return
        if request.tries > request.retries:
            request.outcome, request.ended_at = 'refused', self.now
            return
        self.at(
            self.now + 0.002,
            self.try_request,
            request,
            attempt.balancer,
            attempt.urgent,
        )

    def enqueue(self, name, target, segment):
        flow = self.attempts[segment.flow]
        if not isinstance(flow, PooledFlow):
            super().enqueue(name, target, segment)
            return
        key = (segment.flow, segment.sequence)
        if target.runs[key]:
            return
        target.runs[key] += 1
        if len(target.queue) >= target.queue_max:
            target.shed += 1
            self.send_answer(name, flow, SHED)
            return
        target.queue.append(key)
        self.serve(name, target)

    def serve(self, name, target):
        while target.queue and target.running < target.slots:
            key = target.queue.pop(0)
            target.running += 1
            flow = self.attempts[key[0] if isinstance(key, tuple) else key]
            work = flow.work_s or target.service_s
            if isinstance(flow, PooledFlow) and flow.current is not None:
                work = flow.current.work_s
            self.at(self.now + work, self.finish, name, target, key)

    def finish(self, name, target, key):
        if not isinstance(key, tuple):
            super().finish(name, target, key)
            return
        target.running -= 1
        flow = self.attempts[key[0]]
        if target.alive and key[0] in target.flows:
            self.send_answer(name, flow, ANSWER)
        self.serve(name, target)

    def send_answer(self, name, flow, length):
        sequence = flow.accepted + 1 + flow.answered
        flow.answered += length
        packet = encode(flow.flow, 0, sequence, 0, length)
        self.send_from_target(name, packet)

    def receive_at_caller(self, packet):
        segment = decode(packet)
        flow = self.attempts[segment.flow]
        answers = segment.length and not segment.resets
        if not isinstance(flow, PooledFlow) or not answers:
            super().receive_at_caller(packet)
            return
        if segment.length == SHED:
            self.schedule_retry(flow)
        elif flow.current is not None:
            request, flow.current = flow.current, None
            if not request.outcome:
                request.outcome, request.ended_at = 'answered', self.now
        self.release_flow(flow)

    def release_flow(self, flow):
        flow.used_at = self.now
        if flow.urgent:
            self.close_flow(flow)
            return
        self.pools.setdefault(flow.owner, deque()).append(flow)
        self.at(
            self.now + self.idle_close_s, self.close_idle, flow, flow.used_at
        )

    def close_idle(self, flow, used_at):
        if flow.used_at == used_at and flow.current is None:
            self.close_flow(flow)

    def close_flow(self, flow):
        flow.outcome = 'closed'
        self.send_subsequent(flow, ENDS, 0)

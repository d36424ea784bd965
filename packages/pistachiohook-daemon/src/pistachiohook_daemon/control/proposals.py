"""Proposals from any control instance, through the one that leads."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.configuration.forwarding import ForwardedOutcome
from pistachiohook_core.configuration.forwarding import ForwardedProposal
from pistachiohook_core.failures import Failure
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from .replicator import NOT_LEADER
from .replicator import UNKNOWN_OUTCOME

if TYPE_CHECKING:
    from collections.abc import Callable

    from .replication import Replicator

#: Longest wait for the leader's answer to one attempt, in seconds.
ANSWER_TIMEOUT = 2.0

#: Wait between two attempts, in seconds.
RETRY_INTERVAL = 0.1

_STEP = 'forward to leader'


@attrs.define
class Proposer:
    """State of the proposals of one control instance.

    Each command may be applied more than once without harm, so that one
    with an unknown outcome may be proposed again.

    :param name: name of the instance
    :param replicator: takes commands when this instance leads
    :param send: hands a message to the connection to another instance
    """

    name: str
    replicator: Replicator
    send: Callable[[str, object], object]
    _request: int = attrs.field(factory=lambda: secrets.randbits(48))
    _waiting: dict[int, asyncio.Future[Result[bytes, Failure]]] = attrs.field(
        factory=dict
    )

    async def propose(
        self, command: bytes, patience: float = 0.0
    ) -> Result[bytes, Failure]:
        """Have a command applied.

        :param command: the encoded command
        :param patience: time in which attempts are begun, in seconds
        :returns: the encoded outcome; or a failure, whose reason is
            :data:`~.replicator.UNKNOWN_OUTCOME` unless no attempt may have
            been or may yet be applied
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + patience
        unknown: Failure | None = None
        while True:
            result = await self._attempt(command)
            if isinstance(result, Success):
                return result
            if result.failure().reason == UNKNOWN_OUTCOME:
                unknown = result.failure()
            if loop.time() >= end:
                return result if unknown is None else Failed(unknown)
            await asyncio.sleep(RETRY_INTERVAL)

    async def answer(self, proposal: ForwardedProposal) -> None:
        """Take another instance's command, and send it the outcome."""
        result = await self.replicator.propose(proposal.command)
        if isinstance(result, Success):
            outcome = ForwardedOutcome(proposal.request, result.unwrap())
        else:
            failure = result.failure()
            outcome = ForwardedOutcome(
                request=proposal.request,
                step=failure.step,
                peer=failure.peer,
                reason=failure.reason,
            )
        self.send(proposal.sender, outcome)

    def take_outcome(self, outcome: ForwardedOutcome) -> None:
        """Take the leader's answer."""
        waiting = self._waiting.get(outcome.request)
        if waiting is None or waiting.done():
            return
        if outcome.outcome is not None:
            waiting.set_result(Success(outcome.outcome))
        else:
            failure = Failure(outcome.step, outcome.peer, outcome.reason)
            waiting.set_result(Failed(failure))

    async def _attempt(self, command: bytes) -> Result[bytes, Failure]:
        leader = self.replicator.leader
        if self.replicator.is_leader or leader == self.name:
            return await self.replicator.propose(command)
        if not leader:
            return Failed(Failure('find leader', self.name, NOT_LEADER))
        return await self._forward(leader, command)

    async def _forward(
        self, leader: str, command: bytes
    ) -> Result[bytes, Failure]:
        self._request += 1
        request = self._request
        answer = asyncio.get_running_loop().create_future()
        self._waiting[request] = answer
        self.send(leader, ForwardedProposal(self.name, request, command))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                result: Result[bytes, Failure] = await answer
        except TimeoutError:
            return Failed(Failure(_STEP, leader, UNKNOWN_OUTCOME))
        finally:
            del self._waiting[request]
        return result

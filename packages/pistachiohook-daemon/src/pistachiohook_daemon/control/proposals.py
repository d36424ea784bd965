"""Proposes commands, forwarding them to the leader where necessary."""

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

#: Maximum wait for the leader's response to one attempt, in seconds.
ANSWER_TIMEOUT = 2.0

#: Delay between two attempts, in seconds.
RETRY_INTERVAL = 0.1

_FORWARD_STEP = 'forward to leader'


@attrs.define
class Proposer:
    """Proposes the commands of one control instance.

    Commands are idempotent, so that one whose outcome is unknown may be
    proposed again.

    :param name: name of the instance
    :param replicator: accepts the commands while this instance leads
    :param send: sends a message to another instance without waiting
    """

    name: str
    replicator: Replicator
    send: Callable[[str, object], object]
    _last_request: int = attrs.field(factory=lambda: secrets.randbits(48))
    _pending: dict[int, asyncio.Future[Result[bytes, Failure]]] = attrs.field(
        factory=dict
    )

    async def propose(
        self, command: bytes, retry_duration: float = 0.0
    ) -> Result[bytes, Failure]:
        """Propose a command until it is applied or the time is over.

        :param command: the encoded command
        :param retry_duration: time during which new attempts are started, in
            seconds; 0 for a single attempt
        :returns: the encoded outcome; or a failure, whose reason is
            :data:`~.replicator.UNKNOWN_OUTCOME` if any attempt may have been
            applied or may still be
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + retry_duration
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

    async def handle_proposal(self, proposal: ForwardedProposal) -> None:
        """Propose another instance's command, and send it the outcome."""
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

    def handle_outcome(self, outcome: ForwardedOutcome) -> None:
        """Complete the forwarded proposal that the leader answers."""
        future = self._pending.get(outcome.request)
        if future is None or future.done():
            return
        if outcome.outcome is not None:
            future.set_result(Success(outcome.outcome))
        else:
            failure = Failure(outcome.step, outcome.peer, outcome.reason)
            future.set_result(Failed(failure))

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
        self._last_request += 1
        request = self._last_request
        future = asyncio.get_running_loop().create_future()
        self._pending[request] = future
        self.send(leader, ForwardedProposal(self.name, request, command))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                result: Result[bytes, Failure] = await future
        except TimeoutError:
            return Failed(Failure(_FORWARD_STEP, leader, UNKNOWN_OUTCOME))
        finally:
            del self._pending[request]
        return result

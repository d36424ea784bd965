"""The task of an agent's part in the ledger of idempotency keys."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.requests.keys import Member
from pistachiohook_core.requests.ledger_client import Action
from pistachiohook_core.requests.ledger_client import Begin
from pistachiohook_core.requests.ledger_client import Grant
from pistachiohook_core.requests.ledger_client import LedgerClient
from pistachiohook_core.requests.ledger_client import LookUp
from pistachiohook_core.requests.ledger_client import RefuseKey
from pistachiohook_core.requests.ledger_client import Replay
from pistachiohook_core.requests.ledger_client import RunEnded
from pistachiohook_core.requests.ledger_messages import MembershipConfirmed
from pistachiohook_core.requests.ledger_messages import Message
from pistachiohook_core.requests.ledger_messages import MessageReceived
from pistachiohook_core.requests.ledger_messages import Send
from pistachiohook_core.requests.ledger_messages import Tick
from pistachiohook_core.requests.ledger_messages import TICK_INTERVAL
from pistachiohook_core.requests.ledger_replica import LedgerReplica

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.published import Target

    from .peers import PeerLinks

#: What the ledger says of a request.
Verdict = Grant | Replay | RefuseKey


@attrs.define
class LedgerService:
    """State of the ledger at one agent.

    :param client: asks for grants
    :param replica: votes and stores
    :param peers: links to the other agents
    :param unused_answer: stored for a grant that came when nobody waited
    :param measure_freshness: age of what is known of the members, in seconds
    """

    client: LedgerClient
    replica: LedgerReplica
    peers: PeerLinks
    unused_answer: bytes
    measure_freshness: Callable[[], float] | None = None
    _members: tuple[Member, ...] = ()
    _membership: int = 0
    _links: dict[str, Address] = attrs.field(factory=dict)
    _verdicts: dict[int, asyncio.Future[Verdict]] = attrs.field(factory=dict)
    _keys: dict[int, str] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Let both parts see the time until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            self._confirm_members()
            self._handle(Tick())

    def apply_targets(
        self, targets: tuple[Target, ...], membership: int
    ) -> None:
        """Take over the published targets of the service.

        :param targets: every target of the service
        :param membership: revision at which they last changed
        """
        self._membership = membership
        self._links = {target.name: target.link for target in targets}
        members = (
            Member(one.name, one.availability_zone, one.incarnation)
            for one in targets
        )
        self._members = tuple(sorted(members))
        self._confirm_members()

    async def begin(
        self, number: int, key: str, digest: bytes, timeout: float
    ) -> Verdict:
        """Ask whether a request may be sent to the target.

        :param number: the request
        :param key: its key
        :param digest: digest of the request, body included
        :param timeout: how long the caller still waits, in seconds
        """
        deadline = time.time() + timeout
        return await self._ask(number, Begin(number, key, digest, deadline))

    async def look_up(
        self, number: int, key: str, digest: bytes, timeout: float
    ) -> Verdict:
        """Ask whether a request has run, before it is refused as not run.

        The parameters are those of :meth:`begin`.
        """
        deadline = time.time() + timeout
        return await self._ask(number, LookUp(number, key, digest, deadline))

    def end_run(self, key: str, answer: bytes | None) -> None:
        """Store how a granted run ended; no answer means unknown."""
        self._perform(self.client.handle(RunEnded(key, answer), time.time()))

    def receive(self, peer: str, message: Message) -> None:
        """Take a message of another agent or of this one."""
        self._handle(MessageReceived(peer, message))

    async def _ask(self, number: int, question: Begin | LookUp) -> Verdict:
        loop = asyncio.get_running_loop()
        verdict: asyncio.Future[Verdict] = loop.create_future()
        self._verdicts[number] = verdict
        self._keys[number] = question.key
        try:
            self._perform(self.client.handle(question, time.time()))
            return await verdict
        finally:
            self._verdicts.pop(number, None)

    def _confirm_members(self) -> None:
        if self.measure_freshness is None or not self._members:
            return
        confirmed_at = time.time() - self.measure_freshness()
        read = MembershipConfirmed(
            self._members, confirmed_at, self._membership
        )
        self._handle(read)

    def _handle(
        self, event: MembershipConfirmed | MessageReceived | Tick
    ) -> None:
        now = time.time()
        self._perform(self.client.handle(event, now))
        self._perform(self.replica.handle(event, now))

    def _perform(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            else:
                self._give_verdict(action)

    def _send(self, action: Send) -> None:
        if action.peer == self.client.name:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.receive, action.peer, action.message)
            return
        link = self._links.get(action.peer)
        if link is not None:
            self.peers.send(link, action.message)

    def _give_verdict(self, verdict: Any) -> None:
        waiting = self._verdicts.get(verdict.id)
        key = self._keys.pop(verdict.id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(verdict)
        elif isinstance(verdict, Grant) and key is not None:
            self.end_run(key, self.unused_answer)

"""Runs an agent's client and replica of the ledger of idempotency keys."""

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

#: Result of asking the ledger about a request.
Decision = Grant | Replay | RefuseKey


@attrs.define
class LedgerService:
    """Connects the ledger's client and replica of one agent to its peers.

    :param client: asks the replicas of a key for grants and outcomes
    :param replica: votes on grants and stores records
    :param peers: links to the other agents
    :param unused_answer: encoded answer that is stored when a grant arrives
        after its request has ended; it says that the request has not run
    :param measure_freshness: returns the time since control last confirmed
        the membership, in seconds; set by ``start_agent``
    """

    client: LedgerClient
    replica: LedgerReplica
    peers: PeerLinks
    unused_answer: bytes
    measure_freshness: Callable[[], float] | None = None
    _members: tuple[Member, ...] = ()
    _membership: int = 0
    _links: dict[str, Address] = attrs.field(factory=dict)
    _decisions: dict[int, asyncio.Future[Decision]] = attrs.field(factory=dict)
    _keys: dict[int, str] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Send periodic ticks to client and replica, until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            self._confirm_members()
            self._handle(Tick())

    def apply_targets(
        self, targets: tuple[Target, ...], membership: int
    ) -> None:
        """Replace the members by the published targets of the service.

        :param targets: every target of the service
        :param membership: revision at which the set of targets last changed
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
        self, request_id: int, key: str, digest: bytes, timeout: float
    ) -> Decision:
        """Ask whether a request may be sent to the target.

        :param request_id: number of the request
        :param key: its key
        :param digest: digest of the request, body included
        :param timeout: how long the caller still waits, in seconds
        """
        deadline = time.time() + timeout
        return await self._request_decision(
            request_id, Begin(request_id, key, digest, deadline)
        )

    async def look_up(
        self, request_id: int, key: str, digest: bytes, timeout: float
    ) -> Decision:
        """Ask whether a request has run, before it is refused as not run.

        The parameters are those of :meth:`begin`.
        """
        deadline = time.time() + timeout
        return await self._request_decision(
            request_id, LookUp(request_id, key, digest, deadline)
        )

    def end_run(self, key: str, answer: bytes | None) -> None:
        """Store the outcome of a granted run.

        :param key: key of the request
        :param answer: encoded answer; ``None`` when the outcome is unknown
        """
        self._perform(self.client.handle(RunEnded(key, answer), time.time()))

    def receive(self, peer: str, message: Message) -> None:
        """Process a message from another agent or from this one."""
        self._handle(MessageReceived(peer, message))

    async def _request_decision(
        self, request_id: int, request: Begin | LookUp
    ) -> Decision:
        loop = asyncio.get_running_loop()
        decision: asyncio.Future[Decision] = loop.create_future()
        self._decisions[request_id] = decision
        self._keys[request_id] = request.key
        try:
            self._perform(self.client.handle(request, time.time()))
            return await decision
        finally:
            self._decisions.pop(request_id, None)

    def _confirm_members(self) -> None:
        if self.measure_freshness is None or not self._members:
            return
        confirmed_at = time.time() - self.measure_freshness()
        confirmed = MembershipConfirmed(
            self._members, confirmed_at, self._membership
        )
        self._handle(confirmed)

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
                self._resolve_decision(action)

    def _send(self, action: Send) -> None:
        if action.peer == self.client.name:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.receive, action.peer, action.message)
            return
        link = self._links.get(action.peer)
        if link is not None:
            self.peers.send(link, action.message)

    def _resolve_decision(self, decision: Any) -> None:
        """Pass a decision to the request that waits for it.

        A grant whose request no longer waits is ended with the unused answer.
        """
        future = self._decisions.get(decision.id)
        key = self._keys.pop(decision.id, None)
        if future is not None and not future.done():
            future.set_result(decision)
        elif isinstance(decision, Grant) and key is not None:
            self.end_run(key, self.unused_answer)

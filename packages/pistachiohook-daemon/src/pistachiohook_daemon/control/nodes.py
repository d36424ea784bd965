"""Tasks that serve the nodes' subscriptions."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.events import CONTROL_NO_QUORUM
from pistachiohook_core.membership.server import SendUpdate
from pistachiohook_core.subscription_messages import Heartbeat
from pistachiohook_core.subscription_messages import Leave
from returns.pipeline import is_successful

from .state_machine import encode_command

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachiohook_core.failures import Failure
    from pistachiohook_core.membership.server import SubscriptionServer
    from pistachiohook_core.membership.server import SubscriptionServerAction

    from ..links import LinkServer
    from ..logs import Report
    from .proposals import Proposer
    from .replication import Replicator

#: Time between two looks at leases and news, in seconds.
TICK_INTERVAL = 0.1

#: Wait before a report or a read that failed is tried again, in seconds.
RETRY_INTERVAL = 0.5


@attrs.define
class NodeServer:
    """State of the tasks between the nodes and the replicated state.

    :param subscriptions: decides what is sent and proposed
    :param replicator: reads linearizably
    :param proposer: writes reports
    :param links: listening end of the nodes' connections
    :param report: logs an event
    """

    subscriptions: SubscriptionServer
    replicator: Replicator
    proposer: Proposer
    links: LinkServer
    report: Report
    _unproved: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(self) -> None:
        """Take the nodes' messages, until cancelled."""
        while True:
            incoming = await self.links.receive()
            now = time.monotonic()
            if isinstance(incoming.message, Heartbeat):
                freshness = self.replicator.freshness(now)
                self._perform(
                    self.subscriptions.handle_heartbeat(
                        incoming.peer, incoming.message, freshness, now
                    )
                )
                if not incoming.message.current:
                    self._unproved.set()
            elif isinstance(incoming.message, Leave):
                self.subscriptions.handle_leave(incoming.message)

    async def watch(self) -> None:
        """Expire leases and push what is new, until cancelled."""
        while True:
            now = time.monotonic()
            freshness = self.replicator.freshness(now)
            leader = self.replicator.leader
            self._perform(self.subscriptions.tick(freshness, leader, now))
            self._perform(self.subscriptions.push_updates(freshness))
            await asyncio.sleep(TICK_INTERVAL)

    async def prove(self) -> None:
        """Show nodes that have started that they are current."""
        while True:
            await self._unproved.wait()
            self._unproved.clear()
            names = self.subscriptions.list_unconfirmed()
            result = await self.replicator.read_barrier()
            if is_successful(result):
                freshness = self.replicator.freshness(time.monotonic())
                self._perform(
                    self.subscriptions.confirm_current(names, freshness)
                )
            else:
                await asyncio.sleep(RETRY_INTERVAL)

    async def write(self) -> None:
        """Write what is learned of the nodes, until cancelled."""
        failing = False
        while True:
            command = self.subscriptions.make_report(
                time.monotonic(), time.time()
            )
            if command is None:
                await asyncio.sleep(TICK_INTERVAL / 2)
                continue
            result = await self.proposer.propose(encode_command(command))
            if is_successful(result):
                self.subscriptions.mark_reported(command)
                failing = False
                continue
            if not failing:
                self._report_failure(result.failure())
            failing = True
            await asyncio.sleep(RETRY_INTERVAL)

    def _report_failure(self, failure: Failure) -> None:
        self.report(
            CONTROL_NO_QUORUM,
            step=failure.step,
            peer=failure.peer,
            reason=failure.reason,
        )

    def _perform(self, actions: Iterable[SubscriptionServerAction]) -> None:
        for action in actions:
            if isinstance(action, SendUpdate):
                self.links.send(action.peer, action.update)
            else:
                self.report(action.event, step='hold lease', peer=action.node)

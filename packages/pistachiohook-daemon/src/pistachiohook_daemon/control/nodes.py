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

from ..clocks import read_clock
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

#: Interval at which leases expire and updates are pushed, in seconds.
TICK_INTERVAL = 0.1

#: Delay before a failed report or read is retried, in seconds.
RETRY_INTERVAL = 0.5


@attrs.define
class NodeServer:
    """Runs the tasks that serve the subscriptions of the nodes.

    :param subscriptions: returns the updates to send and the reports to
        propose
    :param replicator: gives the time since the last quorum confirmation, and
        read barriers
    :param proposer: proposes the reports
    :param links: listening end of the nodes' links
    :param report: logs an event
    """

    subscriptions: SubscriptionServer
    replicator: Replicator
    proposer: Proposer
    links: LinkServer
    report: Report
    _has_unconfirmed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(self) -> None:
        """Handle the messages of the nodes, until cancelled."""
        while True:
            incoming = await self.links.receive()
            now = read_clock()
            if isinstance(incoming.message, Heartbeat):
                freshness = self.replicator.freshness(now)
                self._perform(
                    self.subscriptions.handle_heartbeat(
                        incoming.peer, incoming.message, freshness, now
                    )
                )
                if not incoming.message.current:
                    self._has_unconfirmed.set()
            elif isinstance(incoming.message, Leave):
                self.subscriptions.handle_leave(incoming.message)

    async def update_nodes(self) -> None:
        """Expire leases and push new revisions, until cancelled."""
        while True:
            now = read_clock()
            freshness = self.replicator.freshness(now)
            leader = self.replicator.leader
            self._perform(self.subscriptions.tick(freshness, leader, now))
            self._perform(self.subscriptions.push_updates(freshness))
            await asyncio.sleep(TICK_INTERVAL)

    async def confirm_nodes(self) -> None:
        """Confirm to started nodes that their state is current.

        Runs until cancelled. One read barrier confirms all nodes that are
        unconfirmed when it begins; after a failed one, the next heartbeat of
        such a node starts another.
        """
        while True:
            await self._has_unconfirmed.wait()
            self._has_unconfirmed.clear()
            names = self.subscriptions.list_unconfirmed()
            result = await self.replicator.read_barrier()
            if is_successful(result):
                freshness = self.replicator.freshness(read_clock())
                self._perform(
                    self.subscriptions.confirm_current(names, freshness)
                )
            else:
                await asyncio.sleep(RETRY_INTERVAL)

    async def report_nodes(self) -> None:
        """Propose the due reports about the nodes, until cancelled."""
        failing = False
        while True:
            command = self.subscriptions.make_report(read_clock(), time.time())
            if command is None:
                await asyncio.sleep(TICK_INTERVAL / 2)
                continue
            result = await self.proposer.propose(encode_command(command))
            if is_successful(result):
                self.subscriptions.mark_reported(command)
                failing = False
                continue
            if not failing:
                self._log_failure(result.failure())
            failing = True
            await asyncio.sleep(RETRY_INTERVAL)

    def _log_failure(self, failure: Failure) -> None:
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
                self.report(action.event, step='check lease', peer=action.node)

"""Connects a node's subscription to a control instance."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.events import MESSAGE_UNREADABLE
from pistachiohook_core.membership.subscription import AnnouncementChanged
from pistachiohook_core.membership.subscription import Apply
from pistachiohook_core.membership.subscription import Connect
from pistachiohook_core.membership.subscription import ControlStatus
from pistachiohook_core.membership.subscription import LogEvent
from pistachiohook_core.membership.subscription import Send
from pistachiohook_core.membership.subscription import Stopped
from pistachiohook_core.membership.subscription import Subscription
from pistachiohook_core.membership.subscription import SubscriptionAction
from pistachiohook_core.membership.subscription import SubscriptionEvent
from pistachiohook_core.membership.subscription import Tick
from pistachiohook_core.membership.subscription import UpdateReceived
from pistachiohook_core.subscription_messages import SUBSCRIPTION_CODEC
from pistachiohook_core.subscription_messages import Update
import pynng

from .clocks import read_clock
from .links import LinkClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.published import Balancer
    from pistachiohook_core.published import PublishedState
    from pistachiohook_core.published import Target

    from .keys import LinkKeys
    from .logs import Report

#: Time without an event after which the subscription gets a tick, in seconds.
TICK_INTERVAL = 0.2


@attrs.define
class Subscriber:
    """Runs a subscription over a link to one control instance at a time.

    :param subscription: decides which instance to use, what to send and what
        to apply
    :param keys: keys of the links
    :param report: logs an event
    :param apply: applies a published state to the node
    """

    subscription: Subscription
    keys: LinkKeys
    report: Report
    apply: Callable[[PublishedState], None]
    _client: LinkClient | None = None
    _reader: asyncio.Task[None] | None = None
    _events: asyncio.Queue[SubscriptionEvent] = attrs.field(
        factory=asyncio.Queue
    )

    async def run(self) -> None:
        """Process the events of the subscription until cancelled."""
        try:
            while True:
                self._handle(await self._wait_for_event())
        finally:
            self._disconnect()

    def announce(
        self, target: Target | None = None, balancer: Balancer | None = None
    ) -> None:
        """Announce the present state of this node without delay.

        :param target: target of an agent
        :param balancer: this balancer
        """
        self._events.put_nowait(AnnouncementChanged(target, balancer))

    def leave(self) -> None:
        """Release the lease of this node."""
        self._handle(Stopped())

    def is_current(self) -> bool:
        """Return whether the node may serve.

        It may once control has confirmed, after the start of the process,
        that its published state was current.
        """
        return self.subscription.current

    def assess_control(self) -> ControlStatus:
        """Return whether control is reachable and its updates are fresh."""
        return self.subscription.assess_control(read_clock())

    def measure_freshness(self) -> float:
        """Return the time since the last quorum confirmation, in seconds."""
        return self.subscription.measure_freshness(read_clock())

    async def _wait_for_event(self) -> SubscriptionEvent:
        try:
            async with asyncio.timeout(TICK_INTERVAL):
                return await self._events.get()
        except TimeoutError:
            return Tick()

    def _handle(self, event: SubscriptionEvent) -> None:
        for action in self.subscription.handle(event, read_clock()):
            self._perform(action)

    def _perform(self, action: SubscriptionAction) -> None:
        if isinstance(action, Connect):
            self._connect(action.instance)
        elif isinstance(action, Send):
            if self._client is not None:
                self._client.send(action.message)
        elif isinstance(action, Apply):
            self.apply(action.published)
        elif isinstance(action, LogEvent):
            self.report(action.event, peer=str(action.instance))

    def _connect(self, instance: Address) -> None:
        self._disconnect()
        self._client = LinkClient(
            self.subscription.node,
            instance,
            SUBSCRIPTION_CODEC,
            self.keys,
            self.report,
        )
        self._client.dial()
        self._reader = asyncio.create_task(self._read(instance, self._client))

    async def _read(self, instance: Address, client: LinkClient) -> None:
        with contextlib.suppress(pynng.Closed):
            await self._read_until_closed(instance, client)

    async def _read_until_closed(
        self, instance: Address, client: LinkClient
    ) -> None:
        while True:
            message = await client.receive()
            if isinstance(message, Update):
                self._events.put_nowait(UpdateReceived(instance, message))
            else:
                step = 'receive update'
                self.report(MESSAGE_UNREADABLE, step=step, peer=str(instance))

    def _disconnect(self) -> None:
        if self._reader is not None:
            self._reader.cancel()
        if self._client is not None:
            self._client.close()
        self._client = None
        self._reader = None


def build_subscriber(
    node: str,
    instances: tuple[Address, ...],
    keys: LinkKeys,
    report: Report,
    apply: Callable[[PublishedState], None],
) -> Subscriber:
    """Return a subscriber whose incarnation is the present time.

    :param node: name of the instance
    :param instances: addresses of all control instances
    :param keys: keys of the links
    :param report: logs an event
    :param apply: applies a published state to the node
    """
    subscription = Subscription(
        node=node,
        incarnation=time.time_ns(),
        instances=instances,
        random=random.Random(),
    )
    return Subscriber(subscription, keys, report, apply)

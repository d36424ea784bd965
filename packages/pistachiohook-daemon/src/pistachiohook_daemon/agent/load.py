"""The task that looks at a target's load and tells the agent's own."""

from __future__ import annotations

import asyncio
from functools import partial
import itertools
import json
import time
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.membership.weights import LoadReported as LoadTold
from pistachiohook_core.membership.weights import RequestsMeasured
from pistachiohook_core.membership.weights import WeightController
from pistachiohook_core.requests.scheduler_messages import LoadReported
from pistachiohook_core.requests.slot_messages import FreeSlotsReport
from pistachiohook_core.requests.slot_messages import REPORT_INTERVAL
from pistachiohook_core.requests.slot_messages import REPORTED_PEERS_MAX
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPError

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.published import Target

    from .peers import PeerLinks
    from .requests import RequestService

#: Time between two looks at the load endpoint, in seconds.
LOAD_INTERVAL = 1.0

#: Longest wait for the load endpoint, in seconds.
LOAD_TIMEOUT = 0.5


@attrs.frozen
class TargetLoad:
    """What a target's load endpoint tells.

    :param slots: requests that it runs at once
    :param running: requests that it runs now
    :param serving: whether it takes new work
    """

    slots: int
    running: int
    serving: bool


@attrs.define
class LoadService:
    """State of what is known of a target's load.

    :param own: name of this agent's target
    :param target: HTTP/1.1 address of the target
    :param requests: the agent's requests
    :param peers: links to the other agents
    :param controller: decides the weight
    :param announce_weight: announces a new weight
    """

    own: str
    target: Address
    requests: RequestService
    peers: PeerLinks
    controller: WeightController
    announce_weight: Callable[[int], None]
    _links: tuple[Address, ...] = ()

    def apply_peers(self, targets: tuple[Target, ...]) -> None:
        """Take over the published targets of the service."""
        ordered = sorted(targets, key=lambda one: one.name)
        own = [one.name for one in ordered].index(self.own)
        following = itertools.islice(
            itertools.cycle(ordered), own + 1, own + len(ordered)
        )
        chosen = itertools.islice(following, REPORTED_PEERS_MAX)
        self._links = tuple(one.link for one in chosen)

    async def watch(self) -> None:
        """Look at the load endpoint until cancelled."""
        client = AsyncHTTPClient(force_instance=True)
        while True:
            load = await fetch_load(client, self.target)
            now = time.monotonic()
            if load is not None:
                self.requests.handle(
                    LoadReported(load.slots, load.running, load.serving)
                )
                self.controller.handle(LoadTold(load.running), now)
            measured = RequestsMeasured(self.requests.count_running())
            for change in self.controller.handle(measured, now):
                self.announce_weight(change.weight)
            await asyncio.sleep(LOAD_INTERVAL)

    async def tell(self) -> None:
        """Tell the peers the free slots until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            free = self.requests.scheduler.count_free(time.monotonic())
            report = FreeSlotsReport(self.own, free.free, free.free_for_long)
            for link in self._links:
                self.peers.send(link, report)


async def fetch_load(
    client: AsyncHTTPClient, target: Address
) -> TargetLoad | None:
    """Ask a target for its load.

    :returns: what it tells, nothing when there is no good answer
    """
    fetch = partial(client.fetch, request_timeout=LOAD_TIMEOUT)
    try:
        answer = await fetch(f'http://{target}/load')
        told = json.loads(answer.body)
        return TargetLoad(
            slots=int(told['slots']),
            running=int(told['running']),
            serving=told['state'] == 'serving',
        )
    except (OSError, HTTPError, ValueError, KeyError, TypeError):
        return None

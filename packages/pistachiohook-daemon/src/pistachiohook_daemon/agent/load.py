"""Polls a target's load and reports the agent's free slots to its peers."""

from __future__ import annotations

import asyncio
from functools import partial
import itertools
import json
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.membership.weights import LoadReported as ReportedLoad
from pistachiohook_core.membership.weights import RequestsMeasured
from pistachiohook_core.membership.weights import WeightController
from pistachiohook_core.requests.scheduler_messages import LoadReported
from pistachiohook_core.requests.slot_messages import FreeSlotsReport
from pistachiohook_core.requests.slot_messages import REPORT_INTERVAL
from pistachiohook_core.requests.slot_messages import REPORTED_PEERS_MAX
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPError

from ..clocks import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.published import Target

    from .peers import PeerLinks
    from .requests import RequestService

#: Time between two polls of the load endpoint, in seconds.
LOAD_INTERVAL = 1.0

#: Timeout of one poll of the load endpoint, in seconds.
LOAD_TIMEOUT = 0.5

#: Largest number of slots or running requests that a target may report.
COUNT_MAX = 2**31 - 1


@attrs.frozen
class TargetLoad:
    """Load that a target reports.

    :param slots: concurrent requests that it can run
    :param running: requests that it is running
    :param serving: whether it accepts new requests
    """

    slots: int
    running: int
    serving: bool


@attrs.define
class LoadService:
    """Distributes load reports of the target and of the agent.

    :param own_name: name of this agent's target
    :param target: HTTP/1.1 address of the target
    :param requests: runs the agent's requests; receives the target's load
    :param peers: links to the other agents
    :param controller: computes the weight that the target announces
    :param announce_weight: called with each new weight
    """

    own_name: str
    target: Address
    requests: RequestService
    peers: PeerLinks
    controller: WeightController
    announce_weight: Callable[[int], None]
    _links: tuple[Address, ...] = ()

    def apply_peers(self, targets: tuple[Target, ...]) -> None:
        """Choose the peers that the free slots are reported to.

        They are the targets that follow the agent's own in the order of
        names, so that each agent gets reports of equally many peers.

        :param targets: every target of the service, the own one included
        """
        ordered = sorted(targets, key=lambda one: one.name)
        position = [one.name for one in ordered].index(self.own_name)
        following = itertools.islice(
            itertools.cycle(ordered), position + 1, position + len(ordered)
        )
        chosen = itertools.islice(following, REPORTED_PEERS_MAX)
        self._links = tuple(one.link for one in chosen)

    async def poll_load(self) -> None:
        """Poll the load endpoint and update the weight, until cancelled."""
        client = AsyncHTTPClient(force_instance=True)
        while True:
            load = await fetch_load(client, self.target)
            now = read_clock()
            if load is not None:
                self.requests.handle(
                    LoadReported(load.slots, load.running, load.serving)
                )
                self.controller.handle(ReportedLoad(load.running), now)
            measured = RequestsMeasured(self.requests.count_running())
            for change in self.controller.handle(measured, now):
                self.announce_weight(change.weight)
            await asyncio.sleep(LOAD_INTERVAL)

    async def report_free_slots(self) -> None:
        """Report the free slots to the chosen peers, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            free = self.requests.scheduler.count_free(read_clock())
            report = FreeSlotsReport(
                self.own_name, free.free, free.free_for_long
            )
            for link in self._links:
                self.peers.send(link, report)


async def fetch_load(
    client: AsyncHTTPClient, target: Address
) -> TargetLoad | None:
    """Request the load of a target.

    :returns: the load; ``None`` when there is no valid response
    """
    fetch = partial(client.fetch, request_timeout=LOAD_TIMEOUT)
    try:
        response = await fetch(f'http://{target}/load')
        document = json.loads(response.body)
        load = TargetLoad(
            slots=int(document['slots']),
            running=int(document['running']),
            serving=document['state'] == 'serving',
        )
    except (OSError, HTTPError, ValueError, KeyError, TypeError):
        return None
    except (RecursionError, OverflowError):
        # Nested too deeply, or with an infinite number.
        return None
    counts = (load.slots, load.running)
    return load if 0 <= min(counts) <= max(counts) <= COUNT_MAX else None

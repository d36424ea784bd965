"""The tasks of a balancer."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.addresses import pack_address
from pistachiohook_core.events import BALANCER_HEALTHY
from pistachiohook_core.events import BALANCER_UNHEALTHY
from pistachiohook_core.published import Balancer
from pistachiohook_core.published import PublishedState
from pistachiohook_core.steering.balancer import BalancerRouter
from pistachiohook_core.steering.balancer import SealedForward
from pistachiohook_core.steering.envelope import Keys
from returns.result import Failure as Failed

from ..datagrams import DatagramSocket
from ..endpoints import Health
from ..subscriber import build_subscriber
from .health import judge_health
from .health import Situation

if TYPE_CHECKING:
    from pistachiohook_core.addresses import Address
    from pistachiohook_core.metrics import Metrics

    from ..keys import LinkKeys
    from ..logs import Report
    from ..settings import BalancerSettings
    from ..settings import Settings
    from ..subscriber import Subscriber
    from ..supervisor import Supervisor

#: Time in which the fabric notices a failing health endpoint, in seconds.
WITHDRAWAL_TIME = 1.0


@attrs.define
class BalancerRole:
    """State of a running balancer.

    :param router: chooses the agent of a datagram
    :param keys: keys of the envelopes
    :param metrics: counts what passes and what is dropped
    :param report: logs an event
    :param sealed: socket between balancer and agents
    :param entries: socket of each service address
    :param stale_after: age from which being behind matters, in seconds
    """

    router: BalancerRouter
    keys: Keys
    metrics: Metrics
    report: Report
    sealed: DatagramSocket
    entries: dict[Address, DatagramSocket]
    stale_after: float
    subscriber: Subscriber | None = None
    _good: bool = False
    _leaving: bool = False

    def apply(self, published: PublishedState) -> None:
        """Put what is published in force."""
        self.router.apply_published(published)

    def receive_entry(
        self, entry: Address, payload: bytes, caller: Address
    ) -> None:
        """Send a caller's datagram on to its agent."""
        if self.subscriber is None or not self.subscriber.is_current():
            self.metrics.count('dropped_not_current')
            return
        packed = pack_address(caller)
        forward = self.router.forward(packed, entry, payload, self.keys)
        if not isinstance(forward, SealedForward):
            self.metrics.count(f'dropped_{forward.value}')
            return
        self.metrics.count('forwarded')
        self.sealed.send(forward.data, forward.agent)

    def receive_answer(self, data: bytes, agent: Address) -> None:
        """Send an agent's datagram on to its caller."""
        del agent
        accepted = self.router.accept_answer(data, self.keys)
        if isinstance(accepted, Failed):
            self.metrics.count(f'dropped_{accepted.failure().value}')
            return
        answer = accepted.unwrap()
        entry = self.entries.get(answer.entry)
        if entry is None:
            self.metrics.count('dropped_entry_not_bound')
            return
        self.metrics.count('answered')
        entry.send(answer.payload, answer.caller)

    def find_health(self) -> Health:
        """Say whether the fabric should send datagrams here."""
        health = self._judge_health()
        if health.good != self._good:
            self._good = health.good
            event = BALANCER_HEALTHY if health.good else BALANCER_UNHEALTHY
            self.report(event, reason=health.reason)
        return health

    async def shut_down(self) -> None:
        """Fail the health endpoint, go on while the fabric turns away."""
        self._leaving = True
        await asyncio.sleep(WITHDRAWAL_TIME)
        if self.subscriber is not None:
            self.subscriber.leave()

    def _judge_health(self) -> Health:
        subscriber = self.subscriber
        if subscriber is None:
            return Health(False, 'not subscribed')
        situation = Situation(
            leaving=self._leaving,
            current=subscriber.is_current(),
            age=subscriber.measure_freshness(),
            behind=self.router.is_behind(),
        )
        return judge_health(situation, self.stale_after)


def start_balancer(
    settings: Settings,
    own: BalancerSettings,
    link_keys: LinkKeys,
    supervisor: Supervisor,
    metrics: Metrics,
    report: Report,
) -> BalancerRole:
    """Bind the sockets and start the tasks of a balancer.

    :param settings: settings of the process
    :param own: the balancer's part of them
    :param link_keys: keys of links and envelopes
    :param supervisor: keeps the tasks
    :param metrics: takes the counts
    :param report: logs an event
    :raises OSError: when an address cannot be bound
    """
    sealed = DatagramSocket(own.sealed, report)
    address = sealed.open()
    entries = {
        entry.service_address: DatagramSocket(
            entry.bind or entry.service_address, report
        )
        for entry in own.entries
    }
    role = BalancerRole(
        router=BalancerRouter(address),
        keys=Keys(link_keys.current, link_keys.former),
        metrics=metrics,
        report=report,
        sealed=sealed,
        entries=entries,
        stale_after=own.stale_after,
    )
    role.subscriber = build_subscriber(
        settings.name, settings.control, link_keys, report, role.apply
    )
    role.subscriber.announce(
        balancer=Balancer(
            settings.name,
            settings.availability_zone,
            address,
            role.subscriber.subscription.incarnation,
        )
    )
    supervisor.supervise('sealed', partial(sealed.serve, role.receive_answer))
    for entry, opened in entries.items():
        opened.open()
        receive = partial(role.receive_entry, entry)
        supervisor.supervise(f'entry {entry}', partial(opened.serve, receive))
    supervisor.supervise('subscriber', role.subscriber.run)
    return role

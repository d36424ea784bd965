"""Sockets and tasks of the balancer role."""

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
from .health import assess_health
from .health import BalancerStatus

if TYPE_CHECKING:
    from pistachiohook_core.addresses import Address
    from pistachiohook_core.metrics import Metrics

    from ..keys import LinkKeys
    from ..logs import Report
    from ..settings import BalancerSettings
    from ..settings import Settings
    from ..subscriber import Subscriber
    from ..supervisor import Supervisor

#: Time after which the network has noticed the failing health endpoint and
#: sends no more datagrams, in seconds.
WITHDRAWAL_DELAY = 1.0


@attrs.define
class BalancerRole:
    """State of a running balancer.

    :param router: chooses the agent of a datagram
    :param keys: keys that seal and open envelopes
    :param metrics: counters of forwarded and dropped datagrams
    :param report: logs an event
    :param sealed: socket for sealed datagrams to and from agents
    :param entries: socket of each service address
    :param stale_after: time without a quorum confirmation after which a
        balancer that is behind an agent is unhealthy, in seconds
    :param subscriber: subscription to control; set by :func:`start_balancer`
    """

    router: BalancerRouter
    keys: Keys
    metrics: Metrics
    report: Report
    sealed: DatagramSocket
    entries: dict[Address, DatagramSocket]
    stale_after: float
    subscriber: Subscriber | None = None
    _healthy: bool = False
    _shutting_down: bool = False

    def apply(self, published: PublishedState) -> None:
        """Apply a published state."""
        self.router.apply_published(published)

    def receive_caller_datagram(
        self, entry: Address, payload: bytes, caller: Address
    ) -> None:
        """Forward a caller's datagram to the agent of its flow.

        :param entry: service address at which it arrived
        :param payload: the datagram
        :param caller: address of the sender
        """
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

    def receive_agent_datagram(self, data: bytes, agent: Address) -> None:
        """Forward an agent's datagram to its caller.

        :param data: sealed datagram
        :param agent: address of the sender; not used
        """
        del agent
        result = self.router.accept_answer(data, self.keys)
        if isinstance(result, Failed):
            self.metrics.count(f'dropped_{result.failure().value}')
            return
        answer = result.unwrap()
        entry = self.entries.get(answer.entry)
        if entry is None:
            self.metrics.count('dropped_entry_not_bound')
            return
        self.metrics.count('answered')
        entry.send(answer.payload, answer.caller)

    def find_health(self) -> Health:
        """Assess the health, and log when it has changed."""
        health = self._assess_health()
        if health.good != self._healthy:
            self._healthy = health.good
            event = BALANCER_HEALTHY if health.good else BALANCER_UNHEALTHY
            self.report(event, reason=health.reason)
        return health

    async def shut_down(self) -> None:
        """Fail the health check, keep forwarding for a while, then leave.

        Datagrams are forwarded until the network has noticed the failing
        health endpoint. The lease is released after that.
        """
        self._shutting_down = True
        await asyncio.sleep(WITHDRAWAL_DELAY)
        if self.subscriber is not None:
            self.subscriber.leave()

    def _assess_health(self) -> Health:
        subscriber = self.subscriber
        if subscriber is None:
            return Health(False, 'not subscribed to control')
        status = BalancerStatus(
            shutting_down=self._shutting_down,
            current=subscriber.is_current(),
            age=subscriber.measure_freshness(),
            behind=self.router.is_behind(),
        )
        return assess_health(status, self.stale_after)


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
    :param own: settings of the balancer role
    :param link_keys: keys of links and envelopes
    :param supervisor: runs the tasks
    :param metrics: counters of the process
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
    supervisor.supervise(
        'sealed', partial(sealed.serve, role.receive_agent_datagram)
    )
    for entry, entry_socket in entries.items():
        entry_socket.open()
        receive = partial(role.receive_caller_datagram, entry)
        supervisor.supervise(
            f'entry {entry}', partial(entry_socket.serve, receive)
        )
    supervisor.supervise('subscriber', role.subscriber.run)
    return role

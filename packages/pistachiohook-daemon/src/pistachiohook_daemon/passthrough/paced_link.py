"""Socket of a balancer for messages, paced to the link of its instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.passthrough.egress import Datagram
from pistachiohook_core.passthrough.messages import FLOW_CODEC

from .timers import DeadlineTimer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachiohook_core.addresses import Address
    from pistachiohook_core.passthrough.egress import EgressQueue

    from ..datagrams import DatagramSocket


@attrs.define
class PacedLink:
    """Encodes messages and sends them, or queues them for the link.

    :param link: socket for messages about flows
    :param queue: datagrams that wait for the link
    """

    link: DatagramSocket
    queue: EgressQueue
    _timer: DeadlineTimer = attrs.field(init=False)

    @_timer.default
    def _create_timer(self) -> DeadlineTimer:
        return DeadlineTimer(self._send_due)

    def send(self, address: Address, message: object) -> None:
        """Send a message at once."""
        data = FLOW_CODEC.encode(message)
        self.queue.record_sent(len(data), asyncio.get_running_loop().time())
        self.link.send(data, address)

    def forward(self, address: Address, message: object, flow: bytes) -> None:
        """Send a message with a packet of a flow when the link has room."""
        datagram = Datagram(address, FLOW_CODEC.encode(message))
        now = asyncio.get_running_loop().time()
        self._send(self.queue.add(flow, datagram, now))

    def _send_due(self) -> None:
        self._send(self.queue.pop_due(asyncio.get_running_loop().time()))

    def _send(self, datagrams: Iterable[Datagram]) -> None:
        for datagram in datagrams:
            self.link.send(datagram.data, datagram.address)
        self._timer.set(self.queue.find_next_deadline())

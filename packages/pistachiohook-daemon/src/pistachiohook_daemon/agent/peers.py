"""Links for messages between the agents of one service."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.codec import Codec
from pistachiohook_core.requests.ledger_messages import LEDGER_CODEC
from pistachiohook_core.requests.slot_messages import FreeSlotsReport
from pistachiohook_core.steering.flow_messages import RegisterFlows

from ..links import LinkClient
from ..links import LinkServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachiohook_core.addresses import Address

    from ..keys import LinkKeys
    from ..logs import Report

#: All messages between agents. The ledger's messages have the same numbers as
#: in its own codec.
PEER_CODEC = Codec(
    {**LEDGER_CODEC.kinds, 20: RegisterFlows, 21: FreeSlotsReport}
)

#: Time without a sent message after which the link to a peer is closed, in
#: seconds.
LINK_IDLE_TIMEOUT = 60.0

#: Time between two checks for idle links, in seconds.
IDLE_CHECK_INTERVAL = 5.0


@attrs.define
class _PeerLink:
    """A link to one peer.

    :param client: the dialing end
    :param used_at: when the last message was sent, on the event loop's clock
    """

    client: LinkClient
    used_at: float


@attrs.define
class PeerLinks:
    """An agent's links: one listener, and one dialing end for each peer.

    An agent sends only on the links that it has dialed. A response to a
    message is therefore sent on the link in the other direction.

    :param name: name of the agent's target
    :param codec: messages between agents
    :param keys: keys of the links
    :param report: logs an event
    """

    name: str
    codec: Codec
    keys: LinkKeys
    report: Report
    _server: LinkServer = attrs.field(init=False)
    _links: dict[Address, _PeerLink] = attrs.field(factory=dict)
    _readers: dict[Address, asyncio.Task[None]] = attrs.field(factory=dict)

    @_server.default
    def _make_server(self) -> LinkServer:
        return LinkServer(self.codec, self.keys, self.report)

    def listen(self, address: Address) -> Address:
        """Bind and return the address, with the port that was chosen."""
        return self._server.listen(address)

    async def serve(self, receive: Callable[[str, Any], None]) -> None:
        """Receive the peers' messages until cancelled.

        :param receive: called with the name of the peer's target and the
            message
        """
        while True:
            incoming = await self._server.receive()
            receive(incoming.sender, incoming.message)

    async def close_idle_links(self) -> None:
        """Close idle links until cancelled, then all links."""
        try:
            while True:
                await asyncio.sleep(IDLE_CHECK_INTERVAL)
                self._close_idle(asyncio.get_running_loop().time())
        finally:
            self._close_idle(float('inf'))

    def send(self, address: Address, message: Any) -> bool:
        """Send without waiting.

        :returns: whether the message could be handed to the connection
        """
        link = self._links.get(address) or self._connect(address)
        link.used_at = asyncio.get_running_loop().time()
        return link.client.send(message)

    def _connect(self, address: Address) -> _PeerLink:
        client = LinkClient(
            self.name, address, self.codec, self.keys, self.report
        )
        client.dial()
        link = _PeerLink(client, 0.0)
        self._links[address] = link
        self._readers[address] = asyncio.create_task(client.discard_messages())
        return link

    def _close_idle(self, now: float) -> None:
        idle = [
            address
            for address, link in self._links.items()
            if now - link.used_at > LINK_IDLE_TIMEOUT
        ]
        for address in idle:
            self._readers.pop(address).cancel()
            self._links.pop(address).client.close()

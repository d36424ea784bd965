"""Connections between the control instances."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.configuration.forwarding import CONTROL_CODEC
from pistachiohook_core.configuration.forwarding import ForwardedOutcome
from pistachiohook_core.configuration.forwarding import ForwardedProposal

from ..links import LinkClient
from ..links import LinkServer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from pistachiohook_core.addresses import Address

    from ..keys import LinkKeys
    from ..logs import Report
    from ..settings import MemberSettings
    from .proposals import Proposer


@attrs.define
class Peers:
    """State of the connections of one control instance to the others.

    :param server: listening end; others send on it
    :param clients: dialing end to each other instance, by its name
    """

    server: LinkServer
    clients: dict[str, LinkClient]
    _answers: set[asyncio.Task[None]] = attrs.field(factory=set)

    def send(self, instance: str, message: object) -> bool:
        """Send without waiting.

        :returns: whether the message could be handed to the connection
        """
        client = self.clients.get(instance)
        return client is not None and client.send(message)

    async def serve(
        self, proposer: Proposer, receive: Callable[[Any], None]
    ) -> None:
        """Hand on what the others send, until cancelled.

        :param proposer: takes and gives forwarded proposals
        :param receive: takes the messages of the replicator
        """
        while True:
            message = (await self.server.receive()).message
            if isinstance(message, ForwardedProposal):
                self._answer(proposer, message)
            elif isinstance(message, ForwardedOutcome):
                proposer.take_outcome(message)
            else:
                receive(message)

    async def keep_connected(self) -> None:
        """Take the handshakes of the dialing ends, until cancelled."""
        readers = [_read(client) for client in self.clients.values()]
        await asyncio.gather(asyncio.Event().wait(), *readers)

    def close(self) -> None:
        """Close every connection."""
        self.server.close()
        for client in self.clients.values():
            client.close()

    def _answer(self, proposer: Proposer, message: ForwardedProposal) -> None:
        task = asyncio.create_task(proposer.answer(message))
        self._answers.add(task)
        task.add_done_callback(self._answers.discard)


def connect_peers(
    name: str,
    address: Address,
    members: Iterable[MemberSettings],
    keys: LinkKeys,
    report: Report,
) -> Peers:
    """Listen for the other instances, and dial them.

    :param name: name of this instance
    :param address: where it listens
    :param members: every control instance
    :param keys: keys of the links
    :param report: logs an event
    :raises pynng.NNGException: when the address can't be bound
    """
    server = LinkServer(CONTROL_CODEC, keys, report)
    server.listen(address)
    clients = {
        member.name: LinkClient(name, member.peer, CONTROL_CODEC, keys, report)
        for member in members
        if member.name != name
    }
    for client in clients.values():
        client.dial()
    return Peers(server, clients)


async def _read(client: LinkClient) -> None:
    while True:
        await client.receive()

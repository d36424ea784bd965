"""Connections between the control instances."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.addresses import parse_address
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


#: Time between two questions whether a connection still works, in seconds.
PING_INTERVAL = 0.4

#: Silence of a connection after which it is dialed anew, in seconds: two
#: answers lost, and less than an election takes.
SILENCE_MAX = 1.2


@attrs.define
class _Watch:
    """When a connection was last asked, and has last answered."""

    pinged_at: float
    heard_at: float
    frames: int = 0


@attrs.define
class Peers:
    """State of the connections of one control instance to the others.

    :param server: listening end; others send on it
    :param clients: dialing end to each other instance, by its name
    :param dial: begins to connect to an instance that the settings do not
        name; ``None`` when there are no others
    :param clock: time, in seconds; never goes down
    """

    server: LinkServer
    clients: dict[str, LinkClient]
    dial: Callable[[str], LinkClient | None] | None = None
    clock: Callable[[], float] = time.monotonic
    _watches: dict[str, _Watch] = attrs.field(factory=dict)
    _readers: set[asyncio.Task[None]] = attrs.field(factory=set)
    _answers: set[asyncio.Task[None]] = attrs.field(factory=set)

    def send(self, instance: str, message: object) -> bool:
        """Send without waiting.

        :returns: whether the message could be handed to the connection
        """
        client = self.clients.get(instance)
        if self.dial is not None:
            client = self._renew(instance, client)
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
                proposer.handle_outcome(message)
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

    def _renew(
        self, instance: str, client: LinkClient | None
    ) -> LinkClient | None:
        """Connect anew to an instance that does not answer.

        A connection may have gone silent for good while new ones work.
        """
        assert self.dial is not None
        now = self.clock()
        watch = self._watches.setdefault(instance, _Watch(now, now))
        if client is not None:
            if client.frames > watch.frames:
                watch.frames = client.frames
                watch.heard_at = now
            if now - watch.pinged_at >= PING_INTERVAL:
                watch.pinged_at = now
                client.ping()
            if now - watch.heard_at <= SILENCE_MAX:
                return client
            client.close()
        fresh = self.dial(instance)
        if fresh is None:
            return None
        self._watches[instance] = _Watch(now, now)
        self.clients[instance] = fresh
        reader = asyncio.create_task(fresh.drain())
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)
        return fresh

    def _answer(self, proposer: Proposer, message: ForwardedProposal) -> None:
        task = asyncio.create_task(proposer.handle_proposal(message))
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


def connect_peers_on_demand(
    name: str, address: Address, keys: LinkKeys, report: Report
) -> Peers:
    """Listen for other instances, and dial each when it is first sent to.

    The name of an instance is the address where it listens.

    :param name: name of this instance
    :param address: where it listens
    :param keys: keys of the links
    :param report: logs an event
    :raises pynng.NNGException: when the address can't be bound
    """
    server = LinkServer(CONTROL_CODEC, keys, report)
    server.listen(address)

    def dial(instance: str) -> LinkClient | None:
        peer = parse_address(instance).value_or(None)
        if peer is None or instance == name:
            return None
        client = LinkClient(name, peer, CONTROL_CODEC, keys, report)
        client.dial()
        return client

    return Peers(server, {}, dial)


async def _read(client: LinkClient) -> None:
    while True:
        await client.receive()

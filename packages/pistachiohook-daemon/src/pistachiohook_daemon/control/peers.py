"""Links between the control instances."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.addresses import parse_address
from pistachiohook_core.configuration.forwarding import CONTROL_CODEC
from pistachiohook_core.configuration.forwarding import ForwardedOutcome
from pistachiohook_core.configuration.forwarding import ForwardedProposal

from ..clocks import read_clock
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


#: Minimum interval between two pings of a link, in seconds.
PING_INTERVAL = 0.4

#: Time without a received frame after which a link is replaced, in seconds.
#: It allows for two lost answers to pings and is shorter than an election.
SILENCE_TIMEOUT = 1.2


@attrs.define
class _LinkActivity:
    """Last activity of a link to another instance.

    :param pinged_at: time of the last ping, in seconds
    :param received_at: time at which new frames were last noticed, in seconds
    :param frames: number of received frames at that time
    """

    pinged_at: float
    received_at: float
    frames: int = 0


@attrs.define
class Peers:
    """Links of one control instance to the others.

    Each instance sends only on the links that it has dialed.

    :param server: listening end, on which the others' messages arrive
    :param clients: dialing end of the link to each other instance, by name
    :param dial: starts to connect to an instance and returns the link, or
        ``None`` when the name is not the address of another instance. When it
        is given, instances are dialed when they are first sent to, and silent
        links are replaced. Otherwise ``clients`` holds every instance.
    :param clock: monotonic clock, in seconds
    """

    server: LinkServer
    clients: dict[str, LinkClient]
    dial: Callable[[str], LinkClient | None] | None = None
    clock: Callable[[], float] = read_clock
    _activity: dict[str, _LinkActivity] = attrs.field(factory=dict)
    _readers: set[asyncio.Task[None]] = attrs.field(factory=set)
    _proposals: set[asyncio.Task[None]] = attrs.field(factory=set)

    def send(self, instance: str, message: object) -> bool:
        """Send a message without waiting.

        :param instance: name of the receiving instance
        :param message: the message
        :returns: whether the link has accepted the message
        """
        client = self.clients.get(instance)
        if self.dial is not None:
            client = self._ensure_active(instance, client)
        return client is not None and client.send(message)

    async def serve(
        self, proposer: Proposer, receive: Callable[[Any], None]
    ) -> None:
        """Dispatch the messages of the other instances, until cancelled.

        :param proposer: handles forwarded proposals and their outcomes
        :param receive: receives the messages of the consensus
        """
        while True:
            message = (await self.server.receive()).message
            if isinstance(message, ForwardedProposal):
                self._start_proposal(proposer, message)
            elif isinstance(message, ForwardedOutcome):
                proposer.handle_outcome(message)
            else:
                receive(message)

    async def receive_handshakes(self) -> None:
        """Receive on the configured links, until cancelled.

        The other instances send nothing but their part of the handshake on
        these links, and a link authenticates only while it is received from.
        """
        readers = [_receive_all(client) for client in self.clients.values()]
        await asyncio.gather(asyncio.Event().wait(), *readers)

    def close(self) -> None:
        """Close every link."""
        self.server.close()
        for client in self.clients.values():
            client.close()

    def _ensure_active(
        self, instance: str, client: LinkClient | None
    ) -> LinkClient | None:
        """Return the link to an instance; replace it when it is silent.

        A connection may stay silent forever although new ones to the same
        address work.
        """
        assert self.dial is not None
        now = self.clock()
        activity = self._activity.setdefault(instance, _LinkActivity(now, now))
        if client is not None:
            if client.frames > activity.frames:
                activity.frames = client.frames
                activity.received_at = now
            if now - activity.pinged_at >= PING_INTERVAL:
                activity.pinged_at = now
                client.ping()
            if now - activity.received_at <= SILENCE_TIMEOUT:
                return client
            client.close()
        replacement = self.dial(instance)
        if replacement is None:
            return None
        self._activity[instance] = _LinkActivity(now, now)
        self.clients[instance] = replacement
        reader = asyncio.create_task(replacement.discard_messages())
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)
        return replacement

    def _start_proposal(
        self, proposer: Proposer, message: ForwardedProposal
    ) -> None:
        task = asyncio.create_task(proposer.handle_proposal(message))
        self._proposals.add(task)
        task.add_done_callback(self._proposals.discard)


def connect_peers(
    name: str,
    address: Address,
    members: Iterable[MemberSettings],
    keys: LinkKeys,
    report: Report,
) -> Peers:
    """Listen for the other configured instances and dial them.

    :param name: name of this instance
    :param address: where it listens
    :param members: all control instances, including this one
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
    """Listen for other instances; dial each when it is first sent to.

    Here, the name of an instance is the address where it listens.

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


async def _receive_all(client: LinkClient) -> None:
    while True:
        await client.receive()

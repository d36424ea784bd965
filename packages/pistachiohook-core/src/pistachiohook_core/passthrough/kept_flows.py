"""Flows of an agent that restarts, kept by balancers until it is back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .actions import Send
from .messages import KeptFlows

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..addresses import Address
    from .actions import Action
    from .messages import Load

#: Largest number of flows in one message, so that it fits into a datagram.
FLOWS_MAX = 40

#: Largest number of balancers with which an agent leaves its flows.
HOLDERS_MAX = 4

#: Time for which a balancer keeps the flows of an agent, in seconds: longer
#: than a planned restart takes.
KEEP_TIME = 30.0


@attrs.define
class KeptFlowTable:
    """Flows that agents have left with a balancer, by agent.

    Of each agent only those of its newest process are kept.
    """

    _messages: dict[Address, dict[int, KeptFlows]] = attrs.field(factory=dict)
    _kept_at: dict[Address, float] = attrs.field(factory=dict)

    def keep(self, message: KeptFlows, now: float) -> None:
        """Keep one message with flows of an agent."""
        parts = self._messages.setdefault(message.agent, {})
        if any(one.started != message.started for one in parts.values()):
            parts.clear()
        parts[message.part] = message
        self._kept_at[message.agent] = now

    def find_agent(self, flow: bytes) -> Address | None:
        """Return the agent that has left a flow here, if there is one."""
        agents = (
            agent
            for agent, parts in self._messages.items()
            for message in parts.values()
            if any(key == flow for key, _ in message.flows)
        )
        return next(agents, None)

    def return_flows(self, agent: Address, load: Load) -> list[Action]:
        """Return its flows to an agent that reports after a restart.

        They are dropped when another service has taken over the address.
        """
        parts = self._messages.get(agent)
        if not parts or load.started == parts[min(parts)].started:
            return []
        del self._messages[agent], self._kept_at[agent]
        return [
            Send(agent, message)
            for message in parts.values()
            if message.service == load.service
        ]

    def pass_on(self, own: Address) -> list[Action]:
        """Send all flows to the other balancers that are to keep them.

        :param own: address of this balancer, which is about to stop
        """
        return [
            Send(holder, message)
            for parts in self._messages.values()
            for message in parts.values()
            for holder in message.holders
            if holder != own
        ]

    def remove_old(self, now: float) -> None:
        """Remove the flows of agents that have not come back."""
        for agent, kept_at in list(self._kept_at.items()):
            if now - kept_at > KEEP_TIME:
                del self._messages[agent], self._kept_at[agent]


def choose_holders(
    local: Iterable[Address], remote: Iterable[Address]
) -> tuple[Address, ...]:
    """Return the balancers with which an agent leaves its flows.

    Half of them are in its own availability zone, where there are so many, so
    that planned work in one zone doesn't stop all.
    """
    near, far = tuple(local), tuple(remote)
    reserved = min(len(far), HOLDERS_MAX // 2)
    near = near[: HOLDERS_MAX - reserved]
    return near + far[: HOLDERS_MAX - len(near)]


def pack_flows(
    agent: Address,
    service: str,
    started: int,
    flows: tuple[tuple[bytes, int], ...],
    complete: bool,
    holders: tuple[Address, ...],
) -> list[Action]:
    """Return the messages by which an agent leaves its flows.

    :param agent: address of the agent
    :param service: service of its target
    :param started: start time of the agent, in milliseconds of wall-clock time
    :param flows: key of each flow, and the initial sequence number of its
        target
    :param complete: whether the target has no other flows
    :param holders: balancers that keep them
    """
    chunks = [
        flows[begin : begin + FLOWS_MAX]
        for begin in range(0, max(1, len(flows)), FLOWS_MAX)
    ]
    return [
        Send(
            holder,
            KeptFlows(
                agent,
                service,
                started,
                number,
                len(chunks),
                chunk,
                complete,
                holders,
            ),
        )
        for number, chunk in enumerate(chunks)
        for holder in holders
    ]

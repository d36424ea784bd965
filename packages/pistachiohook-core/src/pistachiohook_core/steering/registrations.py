"""Registrations of flows that other agents hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from .flow_messages import AgentIncarnation
    from .flow_messages import FlowKey

#: Interval at which a holder registers its flows again, in seconds.
REFRESH_INTERVAL = 4.0

#: Time after which a registration that is not refreshed expires, in seconds.
LIFETIME = 15.0


@attrs.frozen
class Registration:
    """The registered holder of a flow.

    :param holder: agent that holds the flow
    :param revision: published revision that the sender of the registration
        had applied
    :param expires_at: time in seconds on the clock of the agent
    """

    holder: AgentIncarnation
    revision: int
    expires_at: float


@attrs.define
class Registrations:
    """Registrations at one agent: soft state that holders refresh."""

    _by_flow: dict[FlowKey, Registration] = attrs.field(
        factory=dict, init=False
    )

    def __len__(self) -> int:
        return len(self._by_flow)

    def store(
        self,
        flow: FlowKey,
        holder: AgentIncarnation,
        revision: int,
        now: float,
    ) -> None:
        """Store or refresh the registration of a flow."""
        self._by_flow[flow] = Registration(holder, revision, now + LIFETIME)

    def find_holder(self, flow: FlowKey) -> AgentIncarnation | None:
        """Return the registered holder of a flow, or None."""
        found = self._by_flow.get(flow)
        return found.holder if found else None

    def remove(self, flow: FlowKey) -> None:
        """Remove the registration of a flow, if there is one."""
        self._by_flow.pop(flow, None)

    def remove_if_held_by(
        self, flow: FlowKey, holder: AgentIncarnation
    ) -> bool:
        """Remove the registration of a flow if it names this holder.

        :returns: whether it was removed
        """
        if self.find_holder(flow) != holder:
            return False
        self.remove(flow)
        return True

    def expire(
        self,
        now: float,
        is_live: Callable[[AgentIncarnation], bool],
        revision: int,
    ) -> None:
        """Remove expired registrations and those of departed holders.

        A holder counts as departed only when this agent has applied the
        revision at which the registration was made.

        :param now: time in seconds on the clock of the agent
        :param is_live: whether a holder is among the published targets
        :param revision: published revision that is applied here
        """
        self._by_flow = {
            flow: one
            for flow, one in self._by_flow.items()
            if one.expires_at > now
            and (one.revision > revision or is_live(one.holder))
        }

"""Agents as a balancer knows them from their messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .placement import AgentView
from .placement import find_report_timeout
from .placement import is_reporting

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

    from ..addresses import Address
    from .messages import Load

#: Time without a message after which an agent is removed, in seconds, or
#: longer when it reports rarely. Flows of an agent that restarts are found
#: again within this time.
AGENT_TIMEOUT = 10.0


@attrs.define
class AgentViews:
    """Views of the agents by service and address."""

    _views: dict[str, dict[Address, AgentView]] = attrs.field(factory=dict)
    _services: dict[Address, str] = attrs.field(factory=dict)

    def list_service(self, service: str) -> Collection[AgentView]:
        """Return the agents of a service."""
        return self._views.get(service, {}).values()

    def list_all(self) -> Iterator[AgentView]:
        """Return the agents of all services."""
        return (
            view for views in self._views.values() for view in views.values()
        )

    def find(self, service: str, agent: Address | None) -> AgentView | None:
        """Return the view of an agent if it serves a service."""
        return (
            None if agent is None else self._views.get(service, {}).get(agent)
        )

    def find_service(self, agent: Address, default: str) -> str:
        """Return the service of an agent, or a default if it is unknown."""
        return self._services.get(agent, default)

    def count_reporting(self, zone: str, now: float) -> int:
        """Return the number of agents that are reporting to a zone."""
        return sum(is_reporting(view, zone, now) for view in self.list_all())

    def remove_silent(self, zone: str, now: float) -> None:
        """Remove the agents that have stopped reporting to a zone."""
        silent = [
            view.address
            for view in self.list_all()
            if now - view.heard_at
            > max(AGENT_TIMEOUT, find_report_timeout(view.load, zone))
        ]
        for address in silent:
            self._remove(address)

    def record_load(
        self, sender: Address, load: Load, now: float, flow: bytes = b''
    ) -> None:
        """Record a message of an agent with its load.

        :param flow: the flow whose offer the message answers, if any
        """
        view = self._views.get(load.service, {}).get(sender)
        if view is None:
            self._remove(sender)
            view = AgentView(sender, load, now)
            self._views.setdefault(load.service, {})[sender] = view
            self._services[sender] = load.service
        view.remove_offer(flow)
        view.suspect = False
        view.heard_at = now
        # A start time before the known one counts as a restart too, since the
        # wall clock may jump back.
        restarted = load.started != view.load.started
        if restarted or load.sequence >= view.load.sequence:
            view.update_load(load)

    def _remove(self, address: Address) -> None:
        previous = self._services.pop(address, None)
        if previous is not None:
            del self._views[previous][address]

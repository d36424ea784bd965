"""Searches for the owners of flows that are sent together."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from .actions import Send
from .messages import FindOwner
from .messages import FindOwners

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .actions import Action
    from .flow_table import FlowEntry
    from .placement import AgentView

#: Searches that are sent at once in each interval between batches.
SENT_AT_ONCE_MAX = 3

#: Shortest time between two batches of searches, in seconds. After a restart,
#: a balancer gets packets of many flows that it does not know; with a message
#: to each agent for each of them it would fall behind and take answers for
#: missing.
SEARCH_INTERVAL = 0.02

#: The same while most searches fail, in seconds: all targets have lost their
#: flows, and new flows need the time of balancers and agents.
FAILING_SEARCH_INTERVAL = 0.1

#: Largest number of flows in one message.
FLOWS_MAX = 48


class SearchScope(enum.Enum):
    """Agents that are asked in a step of a search."""

    ALL = 'all'
    #: Agents of the balancer's zone.
    LOCAL = 'local'
    #: Agents of the other zones.
    REMOTE = 'remote'


@attrs.define
class SearchBatch:
    """Searches that wait for the next batch.

    :param waiting: agents to ask about each flow
    :param interval: shortest time between two batches, in seconds
    :param sent: number of searches sent at once since the last batch was due
    """

    waiting: dict[bytes, SearchScope] = attrs.field(factory=dict)
    interval: float = SEARCH_INTERVAL
    sent: int = 0
    _interval_began_at: float = float('-inf')

    def find_next_deadline(self) -> float | None:
        """Return when the next batch is due; ``None`` without searches."""
        if not self.waiting:
            return None
        return self._interval_began_at + self.interval

    def add(self, flow: bytes, scope: SearchScope, now: float) -> bool:
        """Add a search.

        :returns: whether the searches should be sent at once
        """
        self.waiting[flow] = scope
        if now >= self._interval_began_at + self.interval:
            self._interval_began_at = now
            self.sent = 0
        self.sent += 1
        return self.sent <= SENT_AT_ONCE_MAX

    def take(self, now: float) -> dict[bytes, SearchScope]:
        """Remove and return the searches that are sent now."""
        waiting, self.waiting = self.waiting, {}
        if now >= self._interval_began_at + self.interval:
            self._interval_began_at = now
            self.sent = SENT_AT_ONCE_MAX
        return waiting


def build_questions(
    searches: Iterable[tuple[bytes, FlowEntry, SearchScope]],
    views: Iterable[AgentView],
    zone: str,
) -> list[Action]:
    """Return the messages that ask agents about flows.

    :param searches: key and entry of each flow, and the agents to ask
    :param views: known agents
    :param zone: availability zone of the balancer
    """
    flows = tuple(searches)
    actions: list[Action] = []
    for view in views:
        local = view.load.zone == zone
        skipped = SearchScope.REMOTE if local else SearchScope.LOCAL
        questions = tuple(
            (flow, entry.buffered[0].acknowledged)
            for flow, entry, scope in flows
            if scope is not skipped and view.address not in entry.tried
        )
        actions += _ask(view, questions)
    return actions


def _ask(
    view: AgentView, questions: tuple[tuple[bytes, int], ...]
) -> list[Action]:
    service = view.load.service
    if len(questions) == 1:
        return [Send(view.address, FindOwner(service, *questions[0]))]
    return [
        Send(
            view.address,
            FindOwners(service, questions[begin : begin + FLOWS_MAX]),
        )
        for begin in range(0, len(questions), FLOWS_MAX)
    ]

"""Flow table of a balancer, and the timers of its entries."""

from __future__ import annotations

from collections import OrderedDict
import enum
import heapq
from itertools import count
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..addresses import Address
    from .segments import Segment

#: Largest number of flows in the table; the least recently used are evicted.
FLOWS_MAX = 65_536


class FlowEntryState(enum.Enum):
    """State of a flow as a balancer knows it."""

    #: The flow is being offered to agents.
    OFFERED = 'offered'
    #: An agent owns the flow.
    ASSIGNED = 'taken'
    #: The agents are being asked which one owns the flow.
    SEARCHING = 'finding'
    #: No agent has claimed the flow; another packet of it may find one.
    LOST = 'lost'
    #: The caller was refused; delayed retransmissions are refused too.
    REFUSED = 'refused'


@attrs.define
class FlowEntry:
    """A balancer's entry for a flow; it may be evicted at any time.

    :param service: service that the flow belongs to
    :param state: state of the flow
    :param touched_at: when the caller's last packet arrived
    :param began_at: when the caller first sent its opening packet
    :param agent: agent that owns the flow or that it is offered to
    :param opening: the opening packet
    :param opening_at: when the opening packet arrived last
    :param handshake_completed: whether the caller has sent a packet other than
        the opening one, as it does after a target has accepted the flow
    :param offers: number of offers for the opening packet
    :param tried: agents that have declined the flow or do not own it
    :param unanswered: agents that have answered neither their offer nor its
        withdrawal
    :param buffered: packets to forward when the owner is found
    :param possible_owners: agents whose target may have opened the flow before
        the agent started, and which have not been tried yet
    :param guessed: agents that have got a packet only because they might own
        the flow, since its owner was last known
    :param asked_all: whether the agents of all zones have been asked
    :param gone: whether the agent that owned the flow has said that its target
        has lost it
    :param timer_id: number of the running timer; earlier ones are superseded
    :param deadline_extended: whether the timeout of the newest offer or search
        was extended
    :param awaiting_withdrawals: whether no agent is left to offer the flow to
        and only late answers of the unanswered ones are awaited
    :param late_acceptor: agent whose target accepted the flow after the agent
        had declined it
    """

    service: str
    state: FlowEntryState
    touched_at: float
    began_at: float = 0.0
    agent: Address | None = None
    opening: Segment | None = None
    opening_at: float = 0.0
    handshake_completed: bool = False
    offers: int = 0
    tried: set[Address] = attrs.field(factory=set)
    unanswered: set[Address] = attrs.field(factory=set)
    buffered: list[Segment] = attrs.field(factory=list)
    possible_owners: list[Address] = attrs.field(factory=list)
    guessed: set[Address] = attrs.field(factory=set)
    asked_all: bool = True
    gone: bool = False
    timer_id: int = 0
    deadline_extended: bool = False
    awaiting_withdrawals: bool = False
    late_acceptor: Address | None = None


@attrs.define
class FlowTable:
    """Flows of a balancer, least recently used first.

    Any of them may be evicted.
    """

    _entries: OrderedDict[bytes, FlowEntry] = attrs.field(factory=OrderedDict)
    _timers: list[tuple[float, int, bytes]] = attrs.field(factory=list)
    _timer_ids: Iterator[int] = attrs.field(factory=lambda: count(1))

    def get(self, flow: bytes) -> FlowEntry | None:
        """Return the entry of a flow, if there is one."""
        return self._entries.get(flow)

    def store(self, flow: bytes, entry: FlowEntry) -> None:
        """Store the entry of a flow as the most recently used one."""
        self._entries[flow] = entry
        self._entries.move_to_end(flow)
        if len(self._entries) > FLOWS_MAX:
            self._entries.popitem(last=False)

    def remove(self, flow: bytes) -> None:
        """Remove the entry of a flow, if there is one."""
        self._entries.pop(flow, None)

    def remove_idle(self, since: float) -> None:
        """Remove the flows that no packet has used since a time."""
        while self._entries:
            flow, entry = next(iter(self._entries.items()))
            if entry.touched_at >= since:
                break
            del self._entries[flow]

    def start_timer(self, flow: bytes, entry: FlowEntry, due: float) -> None:
        """Start the timer of an entry in place of its former one."""
        entry.timer_id = next(self._timer_ids)
        heapq.heappush(self._timers, (due, entry.timer_id, flow))

    def find_next_deadline(self) -> float | None:
        """Return when the next timer is due; ``None`` without one."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now: float) -> Iterator[tuple[bytes, FlowEntry, float]]:
        """Remove the timers that are due.

        :returns: flow, entry and lateness in seconds of each timer that no
            later one of its entry supersedes
        """
        while self._timers and self._timers[0][0] <= now:
            due, timer_id, flow = heapq.heappop(self._timers)
            entry = self._entries.get(flow)
            if entry is not None and entry.timer_id == timer_id:
                yield flow, entry, now - due

"""Choice of the target that a new flow is offered to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .messages import TargetState

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from random import Random

    from ..addresses import Address
    from .messages import Load
    from .routes import Route

#: Time between two reports of an agent to the balancers of its own zone, in
#: seconds: a few flows of one balancer.
REPORT_INTERVAL = 0.2

#: Reports to the own zone for each one to the other zones: bytes between zones
#: cost, and balancers there send flows here only when theirs are full, and
#: then hear of each flow.
FAR_REPORTS = 15

#: Longest silence of an agent of the own zone that gets new flows, in
#: seconds: four of its reports.
SILENCE_NEAR = 4 * REPORT_INTERVAL

#: The same for an agent of another zone, in seconds: two of its reports, and
#: a margin.
SILENCE_FAR = 7.0

#: Share of a route's target latency that a flow rather waits than that its
#: bytes cross zones: a wait of this length leaves most answers in time.
WAIT_SHARE = 0.15

#: Target latency of a route that names none, in milliseconds.
TARGET_LATENCY_MS = 500.0

#: Factor by which a target that has just started is slower.
COLD_FACTOR = 1.6

#: Wait that a target of the next choice may have less before the first one
#: declines, in milliseconds: less than the way to another target and back.
PATIENCE_MARGIN_MS = 5.0

#: Longest wait of an opening packet, in milliseconds; its caller gives up
#: after 1,400, and what is left is for the ways and the handshake.
WAIT_MAX_MS = 1200.0

#: Share of a route's timeout that a flow may wait for a slot; the rest is for
#: the answer. A refused caller tries again at once, and few times, so that a
#: wait serves it better than a refusal.
BUDGET_SHARE = 0.9


@attrs.define
class AgentView:
    """What a balancer knows of an agent.

    The expected wait is kept rather than worked out for each new flow, since
    every new flow looks at all agents.

    :param address: where the agent receives messages about flows
    :param load: its newest report; change it by :meth:`take_load`
    :param heard_at: when the report came
    :param offered: offers since that it has not answered, by flow; change
        them by :meth:`add_offer` and :meth:`settle_offer`
    :param suspect: whether it has let an offer go unanswered since
    :param wait_ms: expected wait of one more flow
    :param fill: share of the slots in use, above 1 when flows wait
    """

    address: Address
    load: Load
    heard_at: float
    offered: set[bytes] = attrs.field(factory=set)
    suspect: bool = False
    wait_ms: float = attrs.field(init=False)
    fill: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._estimate()

    def take_load(self, load: Load) -> None:
        """Take a newer report."""
        self.load = load
        self._estimate()

    def add_offer(self, flow: bytes) -> None:
        """Count a flow that was offered."""
        self.offered.add(flow)
        self._estimate()

    def settle_offer(self, flow: bytes) -> None:
        """Count an offer no longer that was answered or given up."""
        if flow in self.offered:
            self.offered.discard(flow)
            self._estimate()

    def _estimate(self) -> None:
        flows = self.load.flows + len(self.offered)
        self.wait_ms = estimate_wait(self.load, flows)
        self.fill = flows / max(1, self.load.slots)


#: Rank behind that of every agent.
_WORST = (2, 0.0, 0.0, 0.0)


@attrs.frozen
class Choice:
    """An agent to offer a flow to.

    :param view: the agent
    :param wait_ms: expected wait for a slot there
    :param patience_ms: wait up to which no other target is better
    """

    view: AgentView
    wait_ms: float
    patience_ms: float


def estimate_wait(load: Load, flows: int) -> float:
    """Return how long one more flow waits for a slot, in milliseconds.

    :param load: what the agent reports
    :param flows: flows in progress there
    """
    slots = max(1, load.slots)
    ahead = max(0, flows + 1 - slots)
    pace = COLD_FACTOR if load.cold_ms > 0 else 1.0
    return ahead / slots * load.service_ms * pace


def find_budget(route: Route, age_ms: float) -> float:
    """Return how long a new flow may wait for a slot, in milliseconds.

    :param route: route of the flow
    :param age_ms: time since the caller has begun to open it
    """
    return min(WAIT_MAX_MS, route.timeout_ms * BUDGET_SHARE) - age_ms


def choose_agent(
    views: Iterable[AgentView],
    route: Route,
    zone: str,
    tried: Collection[Address],
    random: Random,
    now: float,
) -> Choice | None:
    """Return the agent that a new flow should be offered to.

    The shortest expected wait wins, where a target in another zone counts as
    if it had a wait of its own; equal waits are settled by the share of the
    slots in use. An agent that has let an offer go unanswered comes last: the
    message may have been lost. Answers the load of a crest in one zone while
    another zone has free slots.

    :param views: agents of the service
    :param route: route of the flow
    :param zone: availability zone of the balancer
    :param tried: agents that have declined the flow
    :param random: settles ties
    :param now: time, in seconds
    :returns: the choice; ``None`` when no target may take the flow
    """
    latency = route.target_latency_ms or TARGET_LATENCY_MS
    crossing_ms = latency * WAIT_SHARE
    best: AgentView | None = None
    first = second = _WORST
    for view in views:
        if view.address in tried or not _is_open(view, zone, now):
            continue
        away = 0.0 if view.load.zone == zone else crossing_ms
        price = view.wait_ms + away
        rank = (view.suspect, price, view.fill, random.random())
        if rank < first:
            best, first, second = view, rank, first
        elif rank < second:
            second = rank
    if best is None:
        return None
    suspect, price, *_ = first
    if second[0] > suspect:
        return Choice(best, best.wait_ms, float('inf'))
    spare = second[1] - price
    return Choice(
        best, best.wait_ms, best.wait_ms + spare + PATIENCE_MARGIN_MS
    )


def is_heard(view: AgentView, zone: str, now: float) -> bool:
    """Tell whether an agent's reports still come."""
    near = view.load.zone == zone
    silence = SILENCE_NEAR if near else SILENCE_FAR
    return now - view.heard_at <= silence


def _is_open(view: AgentView, zone: str, now: float) -> bool:
    ready = view.load.state is TargetState.READY
    return ready and is_heard(view, zone, now)

"""Choice of the agent that a new flow is offered to."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from .messages import TargetState

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator
    from random import Random

    from ..addresses import Address
    from .messages import Load
    from .routes import Route

#: Time between two load reports of an agent to the balancers of its own zone,
#: in seconds. One balancer offers an agent only a few flows in that time.
REPORT_INTERVAL = 0.2

#: Balancers of its own zone up to which an agent reports to each of them every
#: :data:`REPORT_INTERVAL`. With more of them the interval grows in proportion,
#: so that what an agent sends doesn't: each balancer then offers it fewer
#: flows, and each answer carries the load too.
REPORTED_BALANCERS = 6

#: Time between two load reports of an agent to the balancers of other zones,
#: in seconds. Traffic between zones is billed, and those balancers send flows
#: here only when their own targets are full; each answer to an offer then
#: carries the load too.
REMOTE_REPORT_INTERVAL = 3.0

#: Balancers of other zones up to which an agent reports to each of them every
#: :data:`REMOTE_REPORT_INTERVAL`; the interval grows as it does in the zone.
REPORTED_REMOTE_BALANCERS = 16

#: Reports of an agent of the own zone that may be missing before it gets no
#: new flows.
LOCAL_REPORTS_MISSED = 4

#: The same for an agent of another zone.
REMOTE_REPORTS_MISSED = 2

#: Time by which a report from another zone may be late, in seconds.
REMOTE_REPORT_MARGIN = 1.0

#: Wait that a target in another zone is charged in the comparison, as a share
#: of the route's target latency. Traffic between zones is billed, and after a
#: wait of this length most answers still come within the target latency.
ZONE_PENALTY_SHARE = 0.15

#: Target latency of a route that sets none, in milliseconds.
TARGET_LATENCY_MS = 500.0

#: Factor by which a target is slower just after its start.
COLD_SLOWDOWN = 1.6

#: Time by which the wait at the chosen target may exceed the wait at the
#: second choice before its agent declines the flow, in milliseconds. For a
#: smaller difference, the round trip to another target is not worth it.
PATIENCE_MARGIN_MS = 5.0

#: Longest wait of an opening packet for a slot, in milliseconds. Its caller
#: gives up after 1,400; the remainder covers the round trips and the
#: handshake.
WAIT_MAX_MS = 1200.0

#: Load of each slot by open flows from which the expected wait of their
#: requests is no longer increased. A queue has no finite wait at 1.
RECURRING_LOAD_MAX = 0.95

#: Share of a route's timeout that a flow may wait for a slot; the rest is for
#: the answer. A refused caller retries at once and only a few times, so a long
#: wait is better for it than a refusal.
BUDGET_SHARE = 0.9


class Exclusion(enum.Enum):
    """Why an agent gets no new flows."""

    #: The target accepts no new flows.
    NOT_READY = 'not ready'
    #: The agent has sent no message recently.
    SILENT = 'silent'


@attrs.define
class AgentView:
    """State of an agent as a balancer knows it.

    The expected wait is stored instead of being computed for each new flow,
    because the choice for each new flow reads it for all agents.

    :param address: address of the agent for messages about flows
    :param load: its newest load report; change it with :meth:`update_load`
    :param heard_at: when its last message arrived
    :param offered: keys of flows that are offered to it and not answered yet;
        change them with :meth:`add_offer` and :meth:`remove_offer`
    :param suspect: whether an offer to it has timed out since its last message
    :param wait_ms: expected wait of one more flow for a slot
    :param cost_ms: the same, and the mean wait that later requests of the
        target's open flows cause each other
    :param utilization: flows in progress and expected requests for each slot,
        above 1 when flows wait
    :param exhausted: whether its target is cold and has no allowance left for
        one more flow
    """

    address: Address
    load: Load
    heard_at: float
    offered: set[bytes] = attrs.field(factory=set)
    suspect: bool = False
    wait_ms: float = attrs.field(init=False)
    cost_ms: float = attrs.field(init=False)
    utilization: float = attrs.field(init=False)
    exhausted: bool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._estimate()

    def update_load(self, load: Load) -> None:
        """Store a newer load report."""
        self.load = load
        self._estimate()

    def add_offer(self, flow: bytes) -> None:
        """Add an offered flow to the expected load."""
        self.offered.add(flow)
        self._estimate()

    def remove_offer(self, flow: bytes) -> None:
        """Remove an offer that was answered or has timed out."""
        if flow in self.offered:
            self.offered.discard(flow)
            self._estimate()

    def _estimate(self) -> None:
        flows = self.load.flows + len(self.offered)
        load = self.load
        self.wait_ms = estimate_wait(load, flows)
        self.cost_ms = self.wait_ms + estimate_recurring_wait(load)
        self.utilization = (flows + load.expected) / find_capacity(load)
        self.exhausted = 0 <= load.cold_allowance < len(self.offered) + 1


#: State of a target that may get new flows; a lookup in the enumeration for
#: each agent and new flow would take longer.
_READY = TargetState.READY

#: Rank of an agent, lower is better: whether it is suspect, its cost in
#: milliseconds, its utilization, and a random number that breaks ties.
Rank = tuple[bool, float, float, float]

#: Rank that is worse than that of every agent.
_WORST: tuple[int, float, float, float] = (2, 0.0, 0.0, 0.0)


@attrs.frozen
class Choice:
    """The agent that a flow should be offered to.

    :param view: the agent
    :param wait_ms: expected wait for a slot there
    :param patience_ms: longest wait up to which no other agent is better
    """

    view: AgentView
    wait_ms: float
    patience_ms: float


def find_capacity(load: Load) -> int:
    """Return how many requests a target serves well concurrently."""
    return load.limit or load.slots or 1


def estimate_wait(load: Load, flows: int) -> float:
    """Return how long one more flow waits for a slot, in milliseconds.

    :param load: load report of the agent
    :param flows: flows in progress there
    """
    slots = find_capacity(load)
    ahead = max(0, flows + 1 - slots)
    slowdown = COLD_SLOWDOWN if load.cold_ms > 0 else 1.0
    return ahead / slots * load.service_ms * slowdown


@attrs.frozen
class ReportIntervals:
    """Times between two load reports of an agent to one balancer.

    :param local: interval for balancers of the agent's zone, in seconds
    :param remote: interval for those of other zones, in seconds
    """

    local: float = REPORT_INTERVAL
    remote: float = REMOTE_REPORT_INTERVAL


def find_report_intervals(local: int, remote: int) -> ReportIntervals:
    """Return the intervals at which what an agent sends is bounded.

    :param local: number of balancers of the agent's zone
    :param remote: number of balancers of other zones
    """
    return ReportIntervals(
        REPORT_INTERVAL * max(1.0, local / REPORTED_BALANCERS),
        REMOTE_REPORT_INTERVAL * max(1.0, remote / REPORTED_REMOTE_BALANCERS),
    )


def estimate_recurring_wait(load: Load) -> float:
    """Return the mean wait of requests of flows that stay open.

    Open flows can't be moved, so that a new one should go where they leave
    room, even if all slots are free at the moment. The wait is that of a queue
    with random arrivals, ``service * load / (1 - load)``.

    :param load: load report of the agent
    :returns: the wait, in milliseconds
    """
    share = min(RECURRING_LOAD_MAX, load.expected / find_capacity(load))
    return load.service_ms * share / (1 - share)


def find_wait_budget(route: Route, age_ms: float) -> float:
    """Return how long a new flow may wait for a slot, in milliseconds.

    :param route: route of the flow
    :param age_ms: time since the caller first sent its opening packet
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

    The agent with the shortest expected wait is chosen, both of the flow
    itself and of the later requests of flows that stay open. A target in
    another zone is charged an additional wait, so that it gets flows only when
    a load peak fills the own zone. Between equal waits, the lower utilization
    decides. A cold target without allowance is charged the route's target
    latency, so that it gets a flow only when no other target can answer it in
    time. An agent that has not answered an offer comes last rather than
    being excluded, since the message may have been lost.

    :param views: agents of the service
    :param route: route of the flow
    :param zone: availability zone of the balancer
    :param tried: agents that must not be chosen, such as those that have
        declined the flow
    :param random: breaks ties
    :param now: time, in seconds
    :returns: the choice; ``None`` when no agent is eligible
    """
    best: AgentView | None = None
    best_rank = second_rank = _WORST
    for rank, view in rank_agents(views, route, zone, tried, random, now):
        # Most agents are behind both, so that one comparison is enough.
        if rank >= second_rank:
            continue
        if rank < best_rank:
            best, best_rank, second_rank = view, rank, best_rank
        else:
            second_rank = rank
    if best is None:
        return None
    suspect, cost, *_ = best_rank
    if second_rank[0] > suspect:
        return Choice(best, best.wait_ms, float('inf'))
    lead = second_rank[1] - cost
    return Choice(best, best.wait_ms, best.wait_ms + lead + PATIENCE_MARGIN_MS)


def rank_agents(
    views: Iterable[AgentView],
    route: Route,
    zone: str,
    tried: Collection[Address],
    random: Random,
    now: float,
) -> Iterator[tuple[Rank, AgentView]]:
    """Yield the eligible agents with their ranks, in the order of the views.

    It is a generator because the choice for each new flow needs only the two
    lowest ranks. The parameters are those of :func:`choose_agent`.
    """
    latency = route.target_latency_ms or TARGET_LATENCY_MS
    penalty_ms = latency * ZONE_PENALTY_SHARE
    draw = random.random
    for view in views:
        if view.address in tried or find_exclusion(view, zone, now):
            continue
        penalty = 0.0 if view.load.zone == zone else penalty_ms
        if view.exhausted:
            penalty += latency
        cost = view.cost_ms + penalty
        yield (view.suspect, cost, view.utilization, draw()), view


def find_exclusion(view: AgentView, zone: str, now: float) -> Exclusion | None:
    """Return why an agent gets no new flows; ``None`` when it is eligible.

    :param view: the agent
    :param zone: availability zone of the balancer
    :param now: time, in seconds
    """
    load = view.load
    if load.state is not _READY:
        return Exclusion.NOT_READY
    if now - view.heard_at > find_report_timeout(load, zone):
        return Exclusion.SILENT
    return None


def is_reporting(view: AgentView, zone: str, now: float) -> bool:
    """Tell whether an agent has sent a message recently."""
    return now - view.heard_at <= find_report_timeout(view.load, zone)


def find_report_timeout(load: Load, zone: str) -> float:
    """Return the time without a message after which an agent gets no flows.

    :param load: load report of the agent
    :param zone: availability zone of the balancer
    :returns: the time, in seconds
    """
    if load.zone == zone:
        return LOCAL_REPORTS_MISSED * load.interval_ms / 1000
    awaited = REMOTE_REPORTS_MISSED * load.remote_interval_ms / 1000
    return awaited + REMOTE_REPORT_MARGIN

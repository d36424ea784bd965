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

#: Longest silence of an agent of the own zone that gets new flows, in
#: seconds: four of its reports.
SILENCE_NEAR = 0.8

#: The same for an agent of another zone, which reports more rarely.
SILENCE_FAR = 3.0

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

    :param address: where the agent receives messages about flows
    :param load: its newest report
    :param heard_at: when the report came
    :param offered: offers since that it has not answered, by flow
    :param suspect: whether it has let an offer go unanswered since
    """

    address: Address
    load: Load
    heard_at: float
    offered: set[bytes] = attrs.field(factory=set)
    suspect: bool = False


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
    ranked = sorted(
        (
            (
                view.suspect,
                _price(view, zone, latency * WAIT_SHARE),
                _fill(view),
                random.random(),
                view,
            )
            for view in views
            if view.address not in tried and _is_open(view, zone, now)
        ),
        key=lambda rank: rank[:4],
    )
    if not ranked:
        return None
    best = ranked[0][4]
    wait = _estimate(best)
    if len(ranked) == 1 or ranked[1][0] > ranked[0][0]:
        return Choice(best, wait, float('inf'))
    spare = ranked[1][1] - ranked[0][1]
    return Choice(best, wait, wait + spare + PATIENCE_MARGIN_MS)


def is_heard(view: AgentView, zone: str, now: float) -> bool:
    """Tell whether an agent's reports still come."""
    near = view.load.zone == zone
    silence = SILENCE_NEAR if near else SILENCE_FAR
    return now - view.heard_at <= silence


def _is_open(view: AgentView, zone: str, now: float) -> bool:
    ready = view.load.state is TargetState.READY
    return ready and is_heard(view, zone, now)


def _count_flows(view: AgentView) -> int:
    return view.load.flows + len(view.offered)


def _estimate(view: AgentView) -> float:
    return estimate_wait(view.load, _count_flows(view))


def _fill(view: AgentView) -> float:
    return _count_flows(view) / max(1, view.load.slots)


def _price(view: AgentView, zone: str, crossing_ms: float) -> float:
    wait = _estimate(view)
    return wait if view.load.zone == zone else wait + crossing_ms

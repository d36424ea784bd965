"""Explanation of where a new flow would be placed now, and why."""

from __future__ import annotations

from collections import Counter
import copy
import enum
from operator import itemgetter
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..addresses import pack_address
from ..failures import Failure
from .balancer_state import BalancerState
from .flow_table import FlowEntry
from .flow_table import FlowEntryState
from .offers import choose_next_agent
from .offers import may_find_agent
from .placement import Exclusion
from .placement import find_exclusion
from .placement import find_report_timeout
from .placement import find_wait_budget
from .placement import rank_agents
from .segments import CALLER_LENGTH

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from ..addresses import Address
    from .placement import AgentView
    from .placement import Rank
    from .routes import Route

#: Largest number of candidates in an explanation, and of excluded agents, so
#: that the size of a response is bounded.
AGENTS_MAX = 64

#: Largest number of services of a route in an explanation.
SERVICES_MAX = 16

#: Reason of a failure: the balancer has not applied any routes.
NO_ROUTES = 'no routes yet'

#: Reason of a failure: no route has the entry address.
UNKNOWN_ROUTE = 'unknown route'


class OutcomeKind(enum.StrEnum):
    """What a balancer would do with a new flow."""

    #: It offers the flow to an agent that accepts it.
    TARGET = 'target'
    #: It waits for the report of an agent.
    WAIT = 'wait'
    #: It refuses the flow.
    REFUSED = 'refused'


@attrs.frozen
class AgentFigures:
    """Figures of an agent that decide whether it gets a new flow.

    :param agent: address of the agent
    :param zone: availability zone of the agent
    :param state: state of the target
    :param cost_ms: sum of the waits that are compared
    :param wait_ms: expected wait of the flow for a slot
    :param recurring_wait_ms: mean wait of later requests of open flows
    :param zone_cost_ms: wait that a target in another zone is charged; 0 for
        an agent that is not eligible, as it is not compared
    :param utilization: expected load of each slot
    :param flows: flows in progress by the newest report
    :param offered: flows that are offered and not answered yet
    :param slots: requests that the target runs concurrently
    :param limit: requests that the target serves well concurrently; 0 when it
        is not learned
    :param cold_allowance: flows that the agent would admit now while the
        target is cold; -1 without a bound
    :param report_age_ms: time since the agent's last message
    :param suspect: whether an offer has timed out since that message
    :param reason: why it gets no new flow, or none of this age; empty
        otherwise
    """

    agent: str
    zone: str
    state: str
    cost_ms: float
    wait_ms: float
    recurring_wait_ms: float
    zone_cost_ms: float
    utilization: float
    flows: int
    offered: int
    slots: int
    limit: int
    cold_allowance: float
    report_age_ms: float
    suspect: bool
    reason: str = ''


@attrs.frozen
class Outcome:
    """What the balancer would do with the flow.

    :param kind: target, wait or refusal
    :param reason: figures that have decided
    :param agent: agent that gets the flow; empty without one
    :param wait_ms: expected wait for a slot there, or the longest wait for a
        report
    :param offers: number of agents that the flow is offered to
    """

    kind: OutcomeKind
    reason: str
    agent: str = ''
    wait_ms: float = 0.0
    offers: int = 0


@attrs.frozen
class ServicePlacement:
    """Where a new flow of one service would be placed.

    :param service: name of the service
    :param share: share of the route's new flows that the service gets
    :param outcome: what the balancer would do
    :param candidates: eligible agents, the best first
    :param excluded: agents that are not eligible
    :param candidates_omitted: number of candidates that are not listed
    :param excluded_omitted: number of excluded agents that are not listed
    """

    service: str
    share: float
    outcome: Outcome
    candidates: tuple[AgentFigures, ...]
    excluded: tuple[AgentFigures, ...]
    candidates_omitted: int
    excluded_omitted: int


@attrs.frozen
class Placement:
    """Where a new flow would be placed now.

    :param entry: address that the caller sends to
    :param route: name of the route
    :param version: version of the applied routes
    :param zone: availability zone of the balancer
    :param age_ms: time since the caller first sent its opening packet
    :param budget_ms: longest wait for a slot
    :param services: placement for each service of the route; the flow's key
        decides which one the flow belongs to
    :param services_omitted: number of services that are not listed
    """

    entry: str
    route: str
    version: int
    zone: str
    age_ms: float
    budget_ms: float
    services: tuple[ServicePlacement, ...]
    services_omitted: int


@attrs.frozen
class _Query:
    """What an explanation is asked for.

    :param balancer: the balancer
    :param route: route of the flow
    :param age_ms: time since the caller first sent its opening packet
    :param now: time, in seconds
    :param listed_zone: the only zone whose agents are listed; empty for all
    """

    balancer: BalancerState
    route: Route
    age_ms: float
    now: float
    listed_zone: str

    @property
    def budget_ms(self) -> float:
        """Longest wait of the flow for a slot."""
        return find_wait_budget(self.route, self.age_ms)


def explain_placement(
    balancer: BalancerState,
    entry: Address,
    age_ms: float,
    now: float,
    listed_zone: str = '',
) -> Result[Placement, Failure]:
    """Explain where a new flow would be placed now, and change nothing.

    :param balancer: the balancer
    :param entry: address that the caller sends to
    :param age_ms: time since the caller first sent its opening packet
    :param now: time, in seconds
    :param listed_zone: the only zone whose agents are listed; empty for all.
        The outcome does not depend on it.
    :returns: the explanation; a failure without routes or without a route
    """
    table = balancer.table
    if table is None:
        return Failed(_fail(entry, NO_ROUTES))
    route = table.find(bytes(CALLER_LENGTH) + pack_address(entry))
    if route is None:
        return Failed(_fail(entry, UNKNOWN_ROUTE))
    query = _Query(balancer, route, age_ms, now, listed_zone)
    weights: Counter[str] = Counter()
    for share in route.shares:
        weights[share.service] += share.weight
    services = [service for service, weight in weights.items() if weight]
    listed = services[:SERVICES_MAX]
    agents_max = AGENTS_MAX // len(listed)
    return Success(
        Placement(
            str(entry),
            route.name,
            table.version,
            balancer.zone,
            age_ms,
            query.budget_ms,
            tuple(
                _explain_service(
                    query,
                    service,
                    weights[service] / weights.total(),
                    agents_max,
                )
                for service in listed
            ),
            len(services) - len(listed),
        )
    )


def _explain_service(
    query: _Query, service: str, share: float, agents_max: int
) -> ServicePlacement:
    balancer = _copy_state(query.balancer)
    views = balancer.views.list_service(service)
    ranked = sorted(
        rank_agents(
            views, query.route, balancer.zone, (), balancer.random, query.now
        ),
        key=itemgetter(0),
    )
    candidates = [
        (view, rank[1], _find_decline(view, query.budget_ms))
        for rank, view in ranked
        if _is_listed(view, query)
    ]
    excluded = [
        (view, view.cost_ms, _describe_exclusion(view, exclusion, query))
        for view in views
        if _is_listed(view, query)
        and (exclusion := find_exclusion(view, balancer.zone, query.now))
    ]
    return ServicePlacement(
        service,
        share,
        _predict(query, service, ranked),
        _describe_agents(query, candidates[:agents_max]),
        _describe_agents(query, excluded[:agents_max]),
        max(0, len(candidates) - agents_max),
        max(0, len(excluded) - agents_max),
    )


def _predict(
    query: _Query, service: str, ranked: Sequence[tuple[Rank, AgentView]]
) -> Outcome:
    """Offer a flow as the balancer does, to agents that answer at once.

    An agent whose expected wait exceeds the flow's budget declines.
    """
    balancer = _copy_state(query.balancer)
    now = query.now
    entry = FlowEntry(
        service, FlowEntryState.OFFERED, now, now - query.age_ms / 1000
    )
    while choice := choose_next_agent(balancer, query.route, entry, None, now):
        entry.offers += 1
        if not _find_decline(choice.view, query.budget_ms):
            others = [
                rank
                for rank, view in ranked
                if view.address not in entry.tried and view is not choice.view
            ]
            own = next(rank for rank, view in ranked if view is choice.view)
            return Outcome(
                OutcomeKind.TARGET,
                _compare(own, others),
                str(choice.view.address),
                choice.wait_ms,
                entry.offers,
            )
        entry.tried.add(choice.view.address)
    if may_find_agent(balancer, query.route, entry, now):
        reason = 'no candidate, but an agent may report in time'
        return Outcome(OutcomeKind.WAIT, reason, wait_ms=query.budget_ms)
    reason = (
        f'each of the {entry.offers} best candidates has a wait above the '
        f'budget of {query.budget_ms:.1f} ms'
        if entry.offers
        else 'no candidate, and none is expected in time'
    )
    return Outcome(OutcomeKind.REFUSED, reason, offers=entry.offers)


def _copy_state(balancer: BalancerState) -> BalancerState:
    """Return a state with the same agents whose draws are its own.

    The copy of the random number generator draws what the balancer will draw
    for the next flow.
    """
    return BalancerState(
        balancer.zone,
        balancer.segment_format,
        copy.copy(balancer.random),
        balancer.started_at,
        balancer.choose_agent,
        balancer.table,
        balancer.views,
    )


def _compare(own: Rank, others: Sequence[Rank]) -> str:
    """Tell which figure places the first agent before the others."""
    if not others:
        return 'the only candidate'
    suspect, cost, utilization, _ = min(others)
    if own[0] < suspect:
        return 'the only candidate that has answered its last offer'
    if own[1] < cost:
        return f'lowest cost, by {cost - own[1]:.1f} ms'
    if own[2] < utilization:
        return 'lowest utilization among equal costs'
    tied = sum(other[:3] == own[:3] for other in others)
    return f'drawn among {tied + 1} candidates with equal figures'


def _is_listed(view: AgentView, query: _Query) -> bool:
    return query.listed_zone in ('', view.load.zone)


def _find_decline(view: AgentView, budget_ms: float) -> str:
    """Return why an agent would decline the flow; empty when it would not."""
    if view.wait_ms <= budget_ms:
        return ''
    return f'would decline: its wait exceeds the budget of {budget_ms:.1f} ms'


def _describe_exclusion(
    view: AgentView, exclusion: Exclusion, query: _Query
) -> str:
    if exclusion is Exclusion.NOT_READY:
        return f'not ready: its state is {view.load.state.value}'
    timeout = find_report_timeout(view.load, query.balancer.zone)
    return f'silent: its last report is older than {timeout:.1f} s'


def _describe_agents(
    query: _Query, agents: Iterable[tuple[AgentView, float, str]]
) -> tuple[AgentFigures, ...]:
    return tuple(
        AgentFigures(
            str(view.address),
            view.load.zone,
            view.load.state.value,
            cost_ms,
            view.wait_ms,
            view.cost_ms - view.wait_ms,
            cost_ms - view.cost_ms,
            view.utilization,
            view.load.flows,
            len(view.offered),
            view.load.slots,
            view.load.limit,
            view.load.cold_allowance,
            (query.now - view.heard_at) * 1000,
            view.suspect,
            reason,
        )
        for view, cost_ms, reason in agents
    )


def _fail(entry: Address, reason: str) -> Failure:
    return Failure('explain placement', str(entry), reason)

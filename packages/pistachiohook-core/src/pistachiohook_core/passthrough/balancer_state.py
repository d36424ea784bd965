"""State of a balancer: its routes, the agents and the flows it knows."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import attrs

from .agent_views import AgentViews
from .flow_table import FlowTable
from .kept_flows import KeptFlowTable
from .placement import choose_agent
from .search_batch import SearchBatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from .placement import Choice
    from .routes import RouteTable
    from .segments import SegmentFormat


@attrs.define
class BalancerState:
    """State of a balancer for pass-through services.

    :param zone: availability zone of the balancer
    :param segment_format: format of the packets
    :param random: breaks ties
    :param started_at: when the balancer started
    :param choose_agent: chooses the agent for a new flow
    :param table: applied routes; ``None`` before the first
    :param views: agents that send messages
    :param flows: flow table
    :param lost_in_succession: number of searches for the owner of a flow that
        have failed since the last one that succeeded
    :param searches: searches for owners that wait for the next batch
    :param kept_flows: flows of agents that restart
    :param counts: counters of packets and decisions by name
    """

    zone: str
    segment_format: SegmentFormat
    random: Random = attrs.field(factory=Random)
    started_at: float = float('-inf')
    choose_agent: Callable[..., Choice | None] = choose_agent
    table: RouteTable | None = None
    views: AgentViews = attrs.field(factory=AgentViews)
    flows: FlowTable = attrs.field(factory=FlowTable)
    lost_in_succession: int = 0
    searches: SearchBatch = attrs.field(factory=SearchBatch)
    kept_flows: KeptFlowTable = attrs.field(factory=KeptFlowTable)
    counts: Counter[str] = attrs.field(factory=Counter)

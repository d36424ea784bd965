"""State machine of a balancer: forwards each flow's packets to one agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .actions import Send
from .balancer_state import BalancerState
from .flow_table import FlowEntryState
from .messages import FlowGone
from .messages import FlowReturned
from .messages import ForwardedPacket
from .messages import KeptFlows
from .messages import LateAccept
from .messages import LoadReport
from .messages import OfferAccepted
from .messages import OfferDeclined
from .messages import OwnerReply
from .messages import UnownedPacket
from .offers import extend_deadline
from .offers import handle_late_accept
from .offers import handle_offer_accepted
from .offers import handle_offer_declined
from .offers import OFFER_TIMEOUT
from .offers import receive_opening
from .offers import refuse
from .offers import time_out_offer
from .owner_search import buffer_packet
from .owner_search import end_search
from .owner_search import find_owner
from .owner_search import handle_flow_gone
from .owner_search import handle_flow_returned
from .owner_search import handle_owner_reply
from .owner_search import handle_unowned_packet
from .owner_search import is_search_due
from .owner_search import send_searches
from .owner_search import widen_search

if TYPE_CHECKING:
    from ..addresses import Address
    from .actions import Action
    from .routes import Route
    from .routes import RouteTable
    from .segments import Segment

#: Largest number of opening packets that are held until the balancer has its
#: first routes: what callers open at one balancer in a second or two.
HELD_OPENINGS_MAX = 1024

#: Time after which a held opening packet is dropped, in seconds: its caller
#: has given up soon after.
HELD_TIME_MAX = 1.2


@attrs.define
class Balancer(BalancerState):
    """Dispatches what a balancer receives to the decisions about flows."""

    _held: dict[bytes, tuple[Segment, float]] = attrs.field(factory=dict)

    def set_routes(self, table: RouteTable) -> bool:
        """Apply routes that are newer than the applied ones.

        :returns: whether the routes were applied
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True

    def release_held(self, now: float) -> list[Action]:
        """Handle the opening packets that arrived before the first routes.

        Otherwise each caller would wait until it retransmits its packet. A
        flow without a route is not refused: another balancer with newer routes
        may have opened it meanwhile.
        """
        assert self.table is not None
        held, self._held = self._held, {}
        actions: list[Action] = []
        for flow, (segment, arrived_at) in held.items():
            route = self.table.find(flow)
            if route is not None and now - arrived_at <= HELD_TIME_MAX:
                self.counts['packets'] += 1
                actions += receive_opening(
                    self, route, segment, arrived_at, now
                )
        return actions

    def receive_packet(self, packet: bytes, now: float) -> list[Action]:
        """Handle a caller's packet."""
        segment = self.segment_format.read_caller(packet)
        if segment is None:
            self.counts['packets_malformed'] += 1
            return []
        if self.table is None:
            self._hold(segment, now)
            return []
        route = self.table.find(segment.flow)
        if route is None:
            return self._refuse_unrouted(segment)
        self.counts['packets'] += 1
        if segment.opens:
            return receive_opening(self, route, segment, now, now)
        return self._receive_subsequent(route, segment, now)

    def receive_message(
        self, sender: Address, message: object, now: float
    ) -> list[Action]:
        """Handle a message of an agent, or of a balancer that stops."""
        match message:
            case LoadReport(load):
                self.views.record_load(sender, load, now)
                return self.kept_flows.return_flows(sender, load)
            case KeptFlows():
                return self._keep_flows(message, now)
            case OwnerReply():
                return handle_owner_reply(self, sender, message)
            case FlowGone():
                return handle_flow_gone(self, message)
            case FlowReturned():
                return handle_flow_returned(self, sender, message)
            case _:
                return self._receive_answer(sender, message, now)

    def find_next_deadline(self) -> float | None:
        """Return when :meth:`expire` is due; ``None`` without a timer."""
        due = self.flows.find_next_deadline()
        batch_due = self.searches.find_next_deadline()
        if due is None or batch_due is None:
            return batch_due if due is None else due
        return min(due, batch_due)

    def expire(self, now: float) -> list[Action]:
        """Handle offers and owner searches that have timed out."""
        actions: list[Action] = []
        batch_due = self.searches.find_next_deadline()
        if batch_due is not None and batch_due <= now:
            actions += send_searches(self, now)
        for flow, entry, lateness in self.flows.pop_due(now):
            if extend_deadline(entry, lateness):
                self.flows.start_timer(flow, entry, now + OFFER_TIMEOUT)
            elif entry.state is FlowEntryState.OFFERED:
                actions += time_out_offer(self, flow, entry, now)
            elif (
                entry.state is FlowEntryState.SEARCHING and not entry.asked_all
            ):
                actions += widen_search(self, flow, entry, now)
            elif entry.state is FlowEntryState.SEARCHING:
                actions += end_search(self, flow, entry)
        return actions

    def expire_idle(self, now: float) -> None:
        """Remove idle flows and agents that have stopped reporting."""
        idle = self.table.idle_timeout_ms / 1000 if self.table else 0.0
        self.flows.remove_idle(now - idle)
        self.views.remove_silent(self.zone, now)
        self.kept_flows.remove_old(now)

    def count_agents(self, now: float) -> int:
        """Return the number of agents that are reporting."""
        return self.views.count_reporting(self.zone, now)

    def _keep_flows(self, message: KeptFlows, now: float) -> list[Action]:
        """Keep flows of an agent, or return them if it is back already."""
        self.kept_flows.keep(message, now)
        view = self.views.find(message.service, message.agent)
        if view is None:
            return []
        return self.kept_flows.return_flows(message.agent, view.load)

    def _receive_answer(
        self, sender: Address, message: object, now: float
    ) -> list[Action]:
        """Handle the answer of an agent to an offer or a packet."""
        match message:
            case OfferAccepted():
                return handle_offer_accepted(self, sender, message, now)
            case OfferDeclined():
                return handle_offer_declined(self, sender, message, now)
            case LateAccept():
                return handle_late_accept(self, sender, message, now)
            case UnownedPacket():
                return handle_unowned_packet(self, sender, message, now)
            case _:
                self.counts['messages_unexpected'] += 1
        return []

    def _refuse_unrouted(self, segment: Segment) -> list[Action]:
        """Refuse a flow without a route.

        Only an opening packet is answered with a reset. Any other packet may
        belong to a flow that was opened under routes not applied here yet.
        """
        self.counts['packets_without_route'] += 1
        self.flows.remove(segment.flow)
        if not segment.opens:
            return []
        return refuse(self, segment.flow, 'no route', 0)

    def _hold(self, segment: Segment, now: float) -> None:
        """Hold an opening packet until there are routes; drop any other."""
        self.counts['packets_without_routes'] += 1
        if not segment.opens:
            # The caller goes on, so that another balancer has opened it.
            self._held.pop(segment.flow, None)
        elif segment.flow in self._held or len(self._held) < HELD_OPENINGS_MAX:
            self._held[segment.flow] = segment, now

    def _receive_subsequent(
        self, route: Route, segment: Segment, now: float
    ) -> list[Action]:
        entry = self.flows.get(segment.flow)
        if entry is None or entry.state is FlowEntryState.REFUSED:
            return find_owner(self, route, segment, now)
        if entry.state is FlowEntryState.LOST:
            if not is_search_due(self, entry, segment, now):
                self.counts['packets_of_lost_flows'] += 1
                return []
            return find_owner(self, route, segment, now)
        entry.touched_at = now
        entry.handshake_completed = True
        self.flows.store(segment.flow, entry)
        if entry.state is FlowEntryState.SEARCHING:
            buffer_packet(entry, segment)
            return []
        if entry.agent is None:
            return []
        packet = ForwardedPacket(entry.service, segment.raw)
        return [Send(entry.agent, packet, segment.flow)]

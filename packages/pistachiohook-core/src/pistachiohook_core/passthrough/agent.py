"""State machine of an agent: admits and forwards flows to its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..events import AGENT_EVACUATION_CHANGED
from ..events import TARGET_CHANGED
from .actions import Log
from .admission import decline_expired
from .admission import decline_waiting
from .admission import deliver_waiting
from .admission import handle_offer
from .admission import handle_withdraw_offer
from .admission import time_out_accept
from .admission import withhold_accept
from .agent_flows import become_idle
from .agent_flows import CHECK_INTERVAL
from .agent_flows import drop_flow
from .agent_flows import EXPECTED_IDLE_MAX
from .agent_flows import find_lifetime
from .agent_flows import forward_to_caller
from .agent_flows import is_abandoned
from .agent_flows import is_opening
from .agent_flows import OPENING_CHECK_INTERVAL
from .agent_flows import OPENING_TIMEOUT
from .agent_flows import set_counted
from .agent_state import AgentFlowState
from .agent_state import AgentState
from .agent_state import TARGET_TIMEOUT
from .cold_starts import empty_bucket
from .messages import FindOwner
from .messages import FindOwners
from .messages import ForwardedPacket
from .messages import KeptFlows
from .messages import Offer
from .messages import WithdrawOffer
from .open_flows import adopt_flow
from .open_flows import end_flow
from .open_flows import handle_find_owner
from .open_flows import handle_forwarded_packet
from .open_flows import handle_returned_packet
from .open_flows import leave_flows
from .open_flows import record_answer
from .open_flows import recover_flows

if TYPE_CHECKING:
    from ..addresses import Address
    from .actions import Action
    from .agent_state import AgentFlow
    from .agent_state import TargetAnnouncement

#: Time after which an opening packet that the target has not accepted times
#: out, in seconds. A target accepts in less than a millisecond, and the caller
#: retransmits after 0.2.
ACCEPT_TIMEOUT = 0.07


@attrs.define
class Agent(AgentState):
    """Dispatches what an agent receives to the decisions about its flows."""

    def receive_announcement(
        self, target: TargetAnnouncement, now: float
    ) -> list[Action]:
        """Apply an announcement of the target.

        Delayed announcements, also those of an earlier start of the target,
        are dropped. An earlier start time is accepted once the known target
        has stopped announcing itself: the wall clock may have jumped back
        before a restart.
        """
        known = self.target
        if known is not None and self._is_superseded(target, known, now):
            return []
        self._announced_at = now
        cold = self.find_cold_time(now) > 0
        restarted = known is not None and known.started != target.started
        if restarted:
            self._apply_restart()
        elif known is not None and known.leaving:
            target.leaving = True
        if restarted or (known is not None and known.slots != target.slots):
            self.capacity.reset_limit(now)
        self.target = target
        if self.find_cold_time(now) > 0 and (restarted or not cold):
            self.allowance = empty_bucket(self.allowance, now)
        same = known is not None and known.leaving == target.leaving
        return [] if same and not restarted else [self._log_target(target)]

    def deregister_target(self, name: str) -> list[Action]:
        """Mark the target as leaving when it deregisters itself."""
        if self.target is None or self.target.name != name:
            return []
        self.target.leaving = True
        return [self._log_target(self.target)]

    def set_evacuated(self, evacuated: bool, now: float) -> list[Action]:
        """Follow whether the availability zone of the agent is evacuated.

        Waiting flows are declined at once, so that balancers offer them
        elsewhere.
        """
        self.zone_known = True
        if evacuated == self.evacuated:
            return []
        self.evacuated = evacuated
        waiting = len(self.waiting)
        actions = decline_waiting(self, now) if evacuated else []
        if not evacuated:
            self.begin_cold(now)
        fields = {
            'zone': self.zone,
            'evacuated': evacuated,
            'open': self.count_open(),
            'waiting': waiting,
        }
        return [Log(AGENT_EVACUATION_CHANGED, fields), *actions]

    def receive_message(
        self, sender: Address, message: object, now: float
    ) -> list[Action]:
        """Handle a message of a balancer."""
        match message:
            case Offer():
                actions = handle_offer(self, sender, message, now)
            case ForwardedPacket():
                actions = handle_forwarded_packet(self, sender, message, now)
            case FindOwner():
                actions = handle_find_owner(self, sender, message, now)
            case FindOwners(service, flows):
                actions = [
                    action
                    for flow in flows
                    for action in handle_find_owner(
                        self, sender, FindOwner(service, *flow), now
                    )
                ]
            case WithdrawOffer():
                actions = handle_withdraw_offer(self, sender, message, now)
            case KeptFlows():
                actions = recover_flows(self, message, now)
            case _:
                self.counts['messages_unexpected'] += 1
                actions = []
        return actions + deliver_waiting(self, now)

    def leave_flows(
        self, own: Address, holders: tuple[Address, ...], now: float
    ) -> list[Action]:
        """Leave the open flows with balancers, before the agent stops.

        :param own: address of the agent
        :param holders: balancers that keep them until the agent is back
        """
        return leave_flows(self, own, holders, now)

    def receive_packet(self, packet: bytes, now: float) -> list[Action]:
        """Handle a packet that the target has sent or returned."""
        actions: list[Action]
        segment = self.segment_format.read_target(packet)
        if segment is None:
            self.counts['packets_malformed'] += 1
            return []
        self._unanswered_offers = 0
        self._down_until = float('-inf')
        if segment.returned:
            actions = handle_returned_packet(self, segment, now)
            return actions + deliver_waiting(self, now)
        flow = self.flows.get(segment.flow)
        if flow is None and segment.flow in self.declined:
            return withhold_accept(self, segment)
        if flow is None:
            flow = adopt_flow(self, segment.flow, None, now)
        actions = [forward_to_caller(self, segment, flow, now)]
        actions += record_answer(self, segment, flow, now)
        if segment.ends or segment.resets:
            actions += end_flow(self, segment.flow, flow, now)
        return actions + deliver_waiting(self, now)

    def expire(self, now: float) -> list[Action]:
        """Decline flows that have timed out and remove those that are over."""
        actions: list[Action] = []
        for key, flow in list(self.flows.items()):
            actions += self._expire_flow(key, flow, now)
        self._expire_notes(now)
        self._check_at = float('inf')
        actions += deliver_waiting(self, now)
        if any(map(is_opening, self.flows.values())):
            self.check_within(OPENING_CHECK_INTERVAL, now)
        elif self.flows or self.declined or self.gone or self.returned:
            self.check_within(CHECK_INTERVAL, now)
        if self._down_until > now:
            self.check_within(self._down_until - now, now)
        return actions

    def _is_superseded(
        self, target: TargetAnnouncement, known: TargetAnnouncement, now: float
    ) -> bool:
        if target.started == known.started:
            return target.sequence <= known.sequence
        timed_out = now - self._announced_at > TARGET_TIMEOUT
        return target.started < known.started and not timed_out

    def _log_target(self, target: TargetAnnouncement) -> Log:
        fields = {
            'target': target.name,
            'born': target.started,
            'leaving': target.leaving,
            'slots': target.slots,
        }
        return Log(TARGET_CHANGED, fields)

    def _expire_notes(self, now: float) -> None:
        """Forget flows that were declined or lost long ago."""
        for key, declined in list(self.declined.items()):
            if now - declined.declined_at > OPENING_TIMEOUT:
                del self.declined[key]
        for key, (gone_at, _) in list(self.gone.items()):
            if now - gone_at > self.flow_age_max:
                del self.gone[key]
        for key, (returned_at, _) in list(self.returned.items()):
            if now - returned_at > self.flow_age_max:
                del self.returned[key]

    def _expire_flow(
        self, key: bytes, flow: AgentFlow, now: float
    ) -> list[Action]:
        age = now - flow.touched_at
        if flow.state is AgentFlowState.WAITING:
            return decline_expired(self, key, flow, now)
        if flow.state is AgentFlowState.DELIVERED and age > ACCEPT_TIMEOUT:
            return time_out_accept(self, key, flow, now)
        if flow.counted and is_abandoned(self, flow, age):
            flow.activity.abandon_request()
            become_idle(self, key, flow)
        if flow.expected_on and age > EXPECTED_IDLE_MAX:
            set_counted(self, flow, False)
        if age > find_lifetime(self, flow):
            drop_flow(self, key, flow)
        return []

    def _apply_restart(self) -> None:
        """Stop counting the flows that the target may have lost.

        The target's new start may have opened some of them before it announced
        itself. Its answer to the next packet of each flow tells.
        """
        accepted = (AgentFlowState.ACCEPTED, AgentFlowState.OPEN)
        for flow in self.flows.values():
            if flow.state in accepted:
                flow.doubtful = True
                set_counted(self, flow, False)
        for declined in self.declined.values():
            declined.accept = None
        self._unanswered_offers = 0
        self._down_until = float('-inf')

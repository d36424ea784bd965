"""Rules of the flows of an agent, and how they count as load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .actions import DeliverToCaller
from .activity import FlowActivity
from .activity import REQUEST_TIMEOUT
from .activity import SEQUENCE_RANGE
from .agent_state import AgentFlowState
from .segments import find_entry

if TYPE_CHECKING:
    from .agent_state import AgentFlow
    from .agent_state import AgentState
    from .segments import Segment

#: Interval at which the flows are checked while some are being opened, in
#: seconds: a third of the time that a target has to accept one.
OPENING_CHECK_INTERVAL = 0.025

#: The same while no flow is being opened, in seconds. All other timeouts take
#: seconds.
CHECK_INTERVAL = 0.5

#: Time after which the caller of a flow that is being opened has given up, in
#: seconds: it does so after 1.4 without an acceptance.
OPENING_TIMEOUT = 1.6

#: Time after which an accepted flow whose caller has not completed the
#: handshake is removed, in seconds. The caller may have got the acceptance,
#: and sends its next packet again after 0.2, 0.6, 1.4 and 3.0 when it is lost.
HALF_OPEN_TIMEOUT = 4.0

#: Multiple of the mean handshake time after which a half-open flow no longer
#: counts as in progress: its caller is probably gone, and the target runs
#: nothing for it.
HANDSHAKE_MULTIPLE = 3.0

#: Time without a packet after which no further request of an open flow is
#: expected, in seconds: pooled flows are used again sooner, and a caller that
#: is gone sends nothing.
EXPECTED_IDLE_MAX = 15.0

#: Number of bytes that a target may have sent on a flow. Initial sequence
#: numbers of other flows are rarely so near.
GONE_RANGE = 1 << 24

#: Time for which a closed flow is kept, in seconds: as long as its caller may
#: still use it, if it has missed the end. The target then answers with a
#: reset; forgotten by its agent, it would be searched for at each packet.
ENDED_TIMEOUT = 20.0


def forward_to_caller(
    agent: AgentState, segment: Segment, flow: AgentFlow, now: float
) -> DeliverToCaller:
    """Forward a packet of the target, and note that it accepts the flow.

    A target that has restarted accepts a repeated opening packet with another
    sequence number.
    """
    flow.touched_at = now
    flow.doubtful = False
    agent.gone.pop(segment.flow, None)
    agent.returned.pop(segment.flow, None)
    accepted_again = flow.sequence not in (0, segment.sequence)
    if segment.accepts and (
        flow.state is AgentFlowState.DELIVERED or accepted_again
    ):
        flow.state = AgentFlowState.ACCEPTED
        flow.accepted_at = now
        flow.activity = FlowActivity()
        flow.sequence = segment.sequence
        flow.activity.received_to = segment.acknowledged
    agent.counts['packets_to_callers'] += 1
    return DeliverToCaller(segment.flow, segment.raw)


def set_counted(agent: AgentState, flow: AgentFlow, counted: bool) -> None:
    """Set whether a flow counts as in progress."""
    if flow.expected_on:
        agent.request_rates.remove_idle(flow.expected_on)
        flow.expected_on = b''
    if flow.requesting and not counted:
        flow.requesting = False
        agent.requesting -= 1
    if flow.counted != counted:
        flow.counted = counted
        agent.in_progress += 1 if counted else -1


def begin_request(agent: AgentState, flow: AgentFlow, now: float) -> None:
    """Count a flow in progress as one whose request is unanswered."""
    if flow.requesting:
        return
    if not agent.requesting:
        agent.progress_at = now
    flow.requesting = True
    agent.requesting += 1


def become_idle(agent: AgentState, key: bytes, flow: AgentFlow) -> None:
    """Count the later requests of an open flow instead of the flow."""
    set_counted(agent, flow, False)
    if flow.state is AgentFlowState.OPEN:
        flow.expected_on = find_entry(key)
        agent.request_rates.add_idle(flow.expected_on)


def drop_flow(agent: AgentState, key: bytes, flow: AgentFlow) -> None:
    """Remove a flow, also if it waits."""
    del agent.flows[key]
    set_counted(agent, flow, False)
    agent.waiting.pop(key, None)


def is_abandoned(agent: AgentState, flow: AgentFlow, age: float) -> bool:
    """Tell whether a flow in progress no longer occupies a slot.

    Its caller has not completed the handshake, has sent no request after
    it, or has left without closing the flow.
    """
    if flow.activity.busy_since is not None:
        return age > REQUEST_TIMEOUT
    pending = (AgentFlowState.ACCEPTED, AgentFlowState.OPEN)
    abandoned_after = agent.handshake_time * HANDSHAKE_MULTIPLE
    return flow.state in pending and age > abandoned_after


def find_lifetime(agent: AgentState, flow: AgentFlow) -> float:
    """Return how long a flow is kept without a packet, in seconds.

    An agent doesn't know after which time the routes let a flow be removed. If
    it forgot a flow that its target has, the flow's packets would be dropped.
    """
    if flow.state is AgentFlowState.ACCEPTED:
        return HALF_OPEN_TIMEOUT
    if flow.state is AgentFlowState.ENDED:
        return ENDED_TIMEOUT
    return agent.flow_age_max


def note_gone(
    agent: AgentState, key: bytes, flow: AgentFlow, now: float
) -> None:
    """Note that the target has lost a flow that was opened through the agent.

    Of a flow that the agent has adopted it can't tell which target opened it.
    """
    if flow.state is AgentFlowState.OPEN and flow.sequence:
        agent.gone[key] = now, flow.sequence


def is_gone(agent: AgentState, key: bytes, acknowledged: int) -> bool:
    """Tell whether the target had a flow of a caller and has lost it.

    :param acknowledged: acknowledgement number of a packet of the caller,
        which tells the flow from a later one between the same addresses
    """
    if key not in agent.gone:
        return False
    ahead = (acknowledged - agent.gone[key][1]) % SEQUENCE_RANGE
    return 0 < ahead < GONE_RANGE


def note_returned(
    agent: AgentState, segment: Segment, flow: AgentFlow, now: float
) -> None:
    """Note that the target does not have the flow of a caller's packet.

    The agent has adopted that flow, or knows an earlier one of the same ports.
    """
    if flow.state in (AgentFlowState.OPEN, AgentFlowState.ENDED):
        agent.returned[segment.flow] = now, segment.acknowledged


def was_returned(agent: AgentState, key: bytes, acknowledged: int) -> bool:
    """Tell whether the target has returned a packet of a flow before.

    :param acknowledged: acknowledgement number of a packet of the caller, as
        in :func:`is_gone`
    """
    if key not in agent.returned:
        return False
    ahead = (acknowledged - agent.returned[key][1]) % SEQUENCE_RANGE
    return ahead < GONE_RANGE


def is_opening(flow: AgentFlow) -> bool:
    """Tell whether a flow is in a state with a timeout below a second.

    It waits for its target's acceptance, or counts as in progress before its
    first request.
    """
    if flow.state in (AgentFlowState.WAITING, AgentFlowState.DELIVERED):
        return True
    return flow.counted and flow.activity.busy_since is None


def _is_far(flow: AgentFlow, acknowledged: int) -> bool:
    """Tell whether a number is far from what the target has sent last.

    Of a flow that an earlier process of the agent has opened, nothing is known
    before the target sends data.
    """
    sent = flow.activity.answered_to
    if sent is None and not flow.accepted_at:
        return False
    sent = flow.sequence if sent is None else sent
    distance = (acknowledged - sent + GONE_RANGE) % SEQUENCE_RANGE
    return distance >= 2 * GONE_RANGE


def may_be_earlier(flow: AgentFlow, acknowledged: int) -> bool:
    """Tell whether a packet may be of a later flow than a recovered one.

    It may also be of a recovered flow on which the target has sent much. So
    its balancer tries the agent, but only as one that may own the flow.
    """
    recovered = flow.state is AgentFlowState.OPEN and not flow.accepted_at
    if not recovered or not flow.sequence:
        return False
    if flow.activity.answered_to is not None:
        return False
    ahead = (acknowledged - flow.sequence) % SEQUENCE_RANGE
    return not ahead < GONE_RANGE


def is_open_elsewhere(flow: AgentFlow, acknowledged: int) -> bool:
    """Tell whether a caller has opened a flow at another target.

    :param flow: the flow as this agent knows it
    :param acknowledged: acknowledgement number of a packet of the caller other
        than the opening one
    """
    if flow.state in (AgentFlowState.WAITING, AgentFlowState.DELIVERED):
        return True
    ahead = (acknowledged - flow.sequence) % SEQUENCE_RANGE
    if flow.state is AgentFlowState.ENDED and flow.sequence:
        return not 0 < ahead < GONE_RANGE
    if flow.state is AgentFlowState.OPEN:
        return _is_far(flow, acknowledged)
    # The first packet after the opening one acknowledges the number after it.
    return flow.state is AgentFlowState.ACCEPTED and ahead != 1

"""Messages between balancers, agents and control instances about flows."""

from __future__ import annotations

import enum

import attrs

from ..addresses import Address
from ..codec import Codec


class TargetState(enum.Enum):
    """State of a target as its agent reports it."""

    #: The target accepts new flows.
    READY = 'ready'
    #: The target drains: it accepts no new flows and finishes the open ones.
    LEAVING = 'leaving'
    #: The target does not answer.
    DOWN = 'down'
    #: The target has not announced itself yet.
    UNKNOWN = 'unknown'
    #: The target's availability zone is evacuated: it accepts no new flows.
    EVACUATED = 'evacuated'


class DeclineReason(enum.Enum):
    """Why an agent declines to open a flow."""

    #: The offer names another service than the agent's.
    WRONG_SERVICE = 'wrong service'
    #: The target accepts no new flows.
    NOT_READY = 'not ready'
    #: The flow would wait longer than the offer's ``patience_ms``.
    BUSY = 'busy'
    #: The flow could not be answered within its timeout.
    OVERLOADED = 'overloaded'
    #: The target did not answer the opening packet in time.
    UNANSWERED = 'unanswered'
    #: The target returned the opening packet.
    RETURNED = 'given back'
    #: The balancer withdrew its offer before the target accepted.
    WITHDRAWN = 'withdrawn'


@attrs.frozen
class Load:
    """Load and state of an agent and its target.

    :param sequence: number of the report; grows until the agent restarts
    :param started: start time of the agent, in milliseconds of wall-clock
        time
    :param service: name of the target's service
    :param zone: availability zone of the agent
    :param state: state of the target
    :param slots: requests that the target runs concurrently
    :param flows: flows in progress, including those that wait for a slot: a
        flow is in progress while it is being opened and while a request of it
        is unanswered
    :param service_ms: mean time for which a request occupies a slot
    :param cold_ms: remaining time for which the target is slow after its
        start
    :param expected: mean number of requests that the other open flows are
        expected to have in progress
    :param interval_ms: time between two reports to a balancer of the agent's
        zone
    :param remote_interval_ms: the same for a balancer of another zone
    :param cold_allowance: number of flows that the agent would admit now while
        the target is cold; -1 without a bound
    :param limit: requests that the target serves well concurrently; 0 when it
        is not learned, so that ``slots`` counts
    """

    sequence: int
    started: int
    service: str
    zone: str
    state: TargetState
    slots: int
    flows: int
    service_ms: float
    cold_ms: int = 0
    expected: float = 0.0
    interval_ms: int = 200
    remote_interval_ms: int = 3000
    cold_allowance: float = -1.0
    limit: int = 0


@attrs.frozen
class Offer:
    """Asks an agent to open a flow at its target.

    :param service: service that the flow belongs to
    :param patience_ms: longest wait for a slot up to which the balancer
        prefers this target to all others; the agent declines a longer one
    :param budget_ms: longest wait for a slot that leaves the caller enough
        time to open the flow and to receive its answer
    :param prompt_ms: remainder of the route's target latency
    :param priority: priority of the flow; 0 is the highest
    :param packet: the opening packet
    :param cold_rate: requests per second that a cold target of the service
        bears; 0 without a bound
    :param cold_s: time for which such a target is cold, in seconds
    """

    service: str
    patience_ms: float
    budget_ms: float
    prompt_ms: float
    priority: int
    packet: bytes
    cold_rate: float = 0.0
    cold_s: float = 0.0


@attrs.frozen
class ForwardedPacket:
    """Forwards a caller's packet to the agent that should own its flow.

    :param service: service that the flow belongs to
    :param packet: the packet
    """

    service: str
    packet: bytes


@attrs.frozen
class FindOwner:
    """Asks whether an agent owns a flow.

    :param service: service that the flow belongs to
    :param flow: key of the flow
    :param acknowledged: acknowledgement number of the packet that is to be
        forwarded to the owner
    """

    service: str
    flow: bytes
    acknowledged: int


@attrs.frozen
class FindOwners:
    """Asks which of several flows an agent owns, like :class:`FindOwner`.

    :param service: service of the agent
    :param flows: key of each flow, and the acknowledgement number of its
        packet
    """

    service: str
    flows: tuple[tuple[bytes, int], ...]


@attrs.frozen
class LoadReport:
    """Reports an agent's load without a preceding request."""

    load: Load


@attrs.frozen
class OfferAccepted:
    """Answers an :class:`Offer`: the agent owns the flow.

    Its opening packet is queued or delivered to the target. The agent may
    still decline the flow until the target has accepted it.
    """

    flow: bytes
    load: Load


@attrs.frozen
class OfferDeclined:
    """Answers an :class:`Offer`: another target may open the flow."""

    flow: bytes
    reason: DeclineReason
    load: Load


@attrs.frozen
class WithdrawOffer:
    """Withdraws an offer that was not answered in time.

    The agent answers with :class:`OfferDeclined` when it could still withdraw
    the flow. It answers with :class:`OfferAccepted` when the target had
    already accepted the flow and the caller has been sent the acceptance.

    :param flow: key of the flow
    """

    flow: bytes


@attrs.frozen
class LateAccept:
    """Reports that a target accepted a flow after its agent declined it.

    The agent had declined the flow because the target did not answer in time.
    It keeps the acceptance from the caller, which may have been refused or
    connected to another target meanwhile. The flow opens here only when it is
    offered again.

    :param flow: key of the flow
    """

    flow: bytes


@attrs.frozen
class UnownedPacket:
    """Returns a caller's packet of a flow that the agent does not own.

    :param flow: key of the flow
    :param packet: the packet as the caller sent it
    :param gone: whether the agent owned the flow and its target has lost it
    """

    flow: bytes
    packet: bytes
    gone: bool = False


@attrs.frozen
class OwnerReply:
    """Answers :class:`FindOwner`.

    An agent that has never owned the flow sends no answer.

    :param flow: key of the flow
    :param certain: whether the agent knows that it owns the flow; otherwise
        its target may have opened it before the agent started
    """

    flow: bytes
    certain: bool


@attrs.frozen
class FlowGone:
    """Answers :class:`FindOwner` when the target has lost the flow.

    :param flow: key of the flow
    """

    flow: bytes


@attrs.frozen
class KeptFlows:
    """Leaves flows of an agent that stops with a balancer, or returns them.

    Balancers that stop pass it on to each other.

    :param agent: address of the agent
    :param service: service of its target
    :param started: start time of the process that has left the flows, in
        milliseconds of wall-clock time
    :param part: number of this message, from 0
    :param parts: number of messages that hold all flows
    :param flows: key of each flow, and the initial sequence number of its
        target; 0 when it isn't known
    :param complete: whether the target has no other flows
    :param holders: balancers that keep the flows
    """

    agent: Address
    service: str
    started: int
    part: int
    parts: int
    flows: tuple[tuple[bytes, int], ...]
    complete: bool
    holders: tuple[Address, ...]


@attrs.frozen
class Node:
    """A balancer, agent or control instance that receives messages.

    :param address: address for messages about flows, ``host:port``
    :param zone: availability zone
    :param started: start time of a balancer, in milliseconds of wall-clock
        time; 0 for other nodes
    """

    address: str
    zone: str
    started: int = 0


@attrs.frozen
class Hello:
    """Registers the sender with a control instance and asks for its status.

    :param role: balancer, agent or control
    :param node: the sender
    :param balancers: balancers that have registered with the sender directly,
        when it is a control instance
    :param brief: whether the answer should omit the lists of nodes
    :param lists: number of the newest lists that the sender has from the
        receiver, which the answer may omit; 0 when it has none
    :param evacuation: revision of the evacuated zones that the sender follows
    """

    role: str
    node: Node
    balancers: tuple[Node, ...] = ()
    brief: bool = False
    lists: int = 0
    evacuation: int = 0


@attrs.frozen
class Welcome:
    """Answers :class:`Hello`.

    :param node: the control instance
    :param version: version of the applied routes; 0 when there are none
    :param proof_age_ms: age of the instance's last quorum confirmation
    :param routes: address from which the routes are fetched over HTTP,
        ``host:port``
    :param controls: live control instances; empty in a brief answer and when
        the sender of the hello has the lists
    :param balancers: live balancers; empty in an answer to a balancer, in a
        brief answer and when the sender of the hello has the lists
    :param lists: number of the lists, which changes with their content; 0 in
        a brief answer
    :param durable: whether the control instance has a disk
    :param evacuated: evacuated availability zones
    :param evacuation: revision of the evacuated zones; 0 before the first
        evacuation
    """

    node: Node
    version: int
    proof_age_ms: int
    routes: str
    controls: tuple[Node, ...]
    balancers: tuple[Node, ...]
    lists: int = 0
    durable: bool = False
    evacuated: tuple[str, ...] = ()
    evacuation: int = 0


@attrs.frozen
class FlowReturned:
    """Answers :class:`FindOwner` when the target has returned the flow before.

    The agent did not know the flow, and had forwarded a packet of it because
    its target might have opened it before the agent started.

    :param flow: key of the flow
    """

    flow: bytes


#: Encoding of the messages about flows, each sent as one datagram.
FLOW_CODEC = Codec(
    {
        1: Offer,
        2: ForwardedPacket,
        3: FindOwner,
        4: LoadReport,
        5: OfferAccepted,
        6: OfferDeclined,
        7: UnownedPacket,
        8: OwnerReply,
        9: Hello,
        10: Welcome,
        11: WithdrawOffer,
        12: LateAccept,
        13: FlowGone,
        14: KeptFlows,
        15: FlowReturned,
        16: FindOwners,
    }
)

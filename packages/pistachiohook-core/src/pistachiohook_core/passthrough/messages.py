"""Messages between balancers, agents and control about flows."""

from __future__ import annotations

import enum

import attrs

from ..codec import Codec


class TargetState(enum.Enum):
    """What an agent says of its target."""

    #: It takes new flows.
    READY = 'ready'
    #: It takes no new flows and ends those that it has.
    LEAVING = 'leaving'
    #: It does not answer.
    DOWN = 'down'
    #: It has not announced itself yet.
    UNKNOWN = 'unknown'


class DeclineReason(enum.Enum):
    """Why an agent does not open a flow."""

    #: The balancer takes it for an agent of another service.
    WRONG_SERVICE = 'wrong service'
    #: The target takes no new flows.
    NOT_READY = 'not ready'
    #: A new flow would wait longer than the balancer accepts.
    BUSY = 'busy'
    #: A new flow could not be answered within its timeout.
    OVERLOADED = 'overloaded'
    #: The target has not answered the opening packet.
    UNANSWERED = 'unanswered'
    #: The target has given the opening packet back.
    GIVEN_BACK = 'given back'
    #: The balancer has withdrawn its offer in time.
    WITHDRAWN = 'withdrawn'


@attrs.frozen
class Load:
    """What an agent says of its target and itself.

    :param sequence: grows with each report of this start of the agent
    :param started: start of the agent, in milliseconds of the time of day
    :param service: name of the target's service
    :param zone: availability zone
    :param state: whether it takes new flows
    :param slots: requests that the target runs at once
    :param flows: flows in progress
    :param service_ms: mean time that a flow occupies the target
    :param cold_ms: how much longer the target is slow after its start
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


@attrs.frozen
class Offer:
    """Asks an agent to open a flow at its target.

    :param service: service that the flow belongs to
    :param patience_ms: longest wait for a slot at which the balancer prefers
        this target to others
    :param budget_ms: longest wait that leaves the caller the time to open
        the flow and to get its answer
    :param prompt_ms: what is left of the route's target latency
    :param priority: which flows wait least; 0 goes first
    :param packet: the opening packet
    """

    service: str
    patience_ms: float
    budget_ms: float
    prompt_ms: float
    priority: int
    packet: bytes


@attrs.frozen
class Carry:
    """A packet of a flow that the agent should hold.

    :param service: service that the flow belongs to
    :param packet: the packet
    """

    service: str
    packet: bytes


@attrs.frozen
class Find:
    """Asks whether the agent holds a flow.

    :param service: service that the flow belongs to
    :param flow: key of the flow
    :param acknowledged: acknowledgement of the packet that awaits its owner
    """

    service: str
    flow: bytes
    acknowledged: int


@attrs.frozen
class Report:
    """An agent's load, unasked."""

    load: Load


@attrs.frozen
class Taken:
    """The opening packet is with the target."""

    flow: bytes
    load: Load


@attrs.frozen
class Declined:
    """The flow was not opened here; another target may open it."""

    flow: bytes
    reason: DeclineReason
    load: Load


@attrs.frozen
class Withdraw:
    """Takes an offer back that was not answered in time.

    The agent answers that it was in time, or that the flow is taken: the
    target has accepted, and the caller knows.

    :param flow: key of the flow
    """

    flow: bytes


@attrs.frozen
class Accepted:
    """A target has accepted a flow that was declined for its silence.

    The caller does not know yet. It may have been refused, or the flow may be
    with another target, so that it opens here only when it is offered again.

    :param flow: key of the flow
    """

    flow: bytes


@attrs.frozen
class Stray:
    """A packet of a flow that the agent does not hold.

    :param flow: key of the flow
    :param packet: the packet, as its sender wrote it
    """

    flow: bytes
    packet: bytes


@attrs.frozen
class Found:
    """Answers :class:`Find`.

    :param flow: key of the flow
    :param certain: whether the agent holds the flow; otherwise its target
        may hold it from before the agent's start
    """

    flow: bytes
    certain: bool


@attrs.frozen
class Node:
    """A process that others send to.

    :param address: where it receives messages about flows, ``host:port``
    :param zone: availability zone
    :param started: start of a balancer, in milliseconds of the time of day
    """

    address: str
    zone: str
    started: int = 0


@attrs.frozen
class Hello:
    """Says to a control instance who is there, and asks what is new.

    :param role: balancer, agent or control
    :param node: who asks
    :param balancers: balancers that a control instance has heard itself
    :param brief: whether the answer should name no nodes
    """

    role: str
    node: Node
    balancers: tuple[Node, ...] = ()
    brief: bool = False


@attrs.frozen
class Welcome:
    """Answers :class:`Hello`.

    :param node: the control instance
    :param version: version of the routes that are in force; 0 when none is
    :param proof_age_ms: age of the instance's last proof of a quorum
    :param routes: where the routes are fetched (HTTP), ``host:port``
    :param controls: control instances that are heard; empty in a brief answer
    :param balancers: balancers that are heard; empty for a balancer and in a
        brief answer
    """

    node: Node
    version: int
    proof_age_ms: int
    routes: str
    controls: tuple[Node, ...]
    balancers: tuple[Node, ...]


#: Messages about flows, as datagrams.
FLOW_CODEC = Codec(
    {
        1: Offer,
        2: Carry,
        3: Find,
        4: Report,
        5: Taken,
        6: Declined,
        7: Stray,
        8: Found,
        9: Hello,
        10: Welcome,
        11: Withdraw,
        12: Accepted,
    }
)

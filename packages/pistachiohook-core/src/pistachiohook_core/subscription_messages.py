"""Messages between a node and its control instance."""

from __future__ import annotations

import attrs

from .codec import Codec
from .published import Balancer
from .published import Delta
from .published import PublishedState
from .published import Target


@attrs.frozen
class Heartbeat:
    """Renews the lease of a node, and reports what it applies.

    A node sends it to its control instance every second, and immediately after
    a change.

    :param node: name of the instance
    :param incarnation: number of this start of the process; each start has a
        higher one
    :param applied: published revision that the node applies; 0 for none
    :param current: whether a linearizable read has confirmed, since the start
        of the node, that the revision it applied was current
    :param target: target that this agent announces
    :param balancer: announcement of this balancer
    :param sent: time of sending, in seconds of the node's own clock
    """

    node: str
    incarnation: int
    applied: int
    current: bool = False
    target: Target | None = None
    balancer: Balancer | None = None
    sent: float = 0.0


@attrs.frozen
class Update:
    """Answers a heartbeat, and is also sent when the published state changes.

    Exactly one of ``snapshot`` and ``delta`` is set if the node is behind, and
    neither if it is up to date.

    :param revision: newest published revision that the control instance knows
    :param freshness: time since the last quorum confirmation of the control
        instance, in seconds
    :param linearized: whether a linearizable read has confirmed this answer
    :param snapshot: complete published state, for a node that is far behind
    :param delta: difference from the revision that the node applies
    :param sent: ``sent`` of the last heartbeat that control had received, so
        that an update delayed in transit never counts as fresh
    """

    revision: int
    freshness: float
    linearized: bool = False
    snapshot: PublishedState | None = None
    delta: Delta | None = None
    sent: float = 0.0


@attrs.frozen
class Leave:
    """Releases the lease of a node.

    :param node: name of the instance
    :param incarnation: number of this start of the process
    """

    node: str
    incarnation: int


#: Messages on the connection between a node and control.
SUBSCRIPTION_CODEC = Codec({1: Heartbeat, 2: Update, 3: Leave})

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
    """A node renews its lease and says what it has applied.

    Sent on the node's control connection each second and at once after a
    change.

    :param node: name of the instance
    :param incarnation: number of this start of the process; grows
    :param applied: published revision that the node applies; 0 when none
    :param current: whether a linearizable read has shown it current
    :param target: the target that this agent announces
    :param balancer: the balancer that announces itself
    :param sent: when it was sent, in seconds of the node's own clock
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
    """Control's answer to a heartbeat, sent too when something changes.

    Exactly one of ``snapshot`` and ``delta`` is set when the node is behind;
    neither when it is not.

    :param revision: newest published revision that control knows
    :param freshness: age of control's last proof of a quorum, in seconds
    :param linearized: whether a linearizable read stands behind this answer
    :param snapshot: everything, for a node far behind
    :param delta: the way from the revision that the node applies
    :param sent: ``sent`` of the last heartbeat that control had received, so
        that an update that waited on its way never counts as fresh
    """

    revision: int
    freshness: float
    linearized: bool = False
    snapshot: PublishedState | None = None
    delta: Delta | None = None
    sent: float = 0.0


@attrs.frozen
class Leave:
    """A node gives its lease back.

    :param node: name of the instance
    :param incarnation: number of this start of the process
    """

    node: str
    incarnation: int


#: Messages on the connection between a node and control.
SUBSCRIPTION_CODEC = Codec({1: Heartbeat, 2: Update, 3: Leave})

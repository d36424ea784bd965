"""Actions that the state machines of balancers and agents request."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..addresses import Address
    from ..events import Event


@attrs.frozen
class Send:
    """Send a message about flows.

    :param address: address of the receiver
    :param message: a message that :data:`.messages.FLOW_CODEC` encodes
    :param flow: key of the flow whose packet it forwards and which shares the
        link with others; empty when the message must not wait for them
    """

    address: Address
    message: object
    flow: bytes = b''


@attrs.frozen
class ResetCaller:
    """Send a reset to a caller whose flow is refused or no longer exists.

    :param flow: key of the flow
    :param sequence: sequence number of the reset: any for a flow that is not
        open, else the one that the caller has acknowledged last
    """

    flow: bytes
    sequence: int = 0


@attrs.frozen
class DeliverToTarget:
    """Deliver a caller's packet to the agent's target."""

    packet: bytes


@attrs.frozen
class DeliverToCaller:
    """Send a target's packet to the caller of a flow.

    :param flow: key of the flow
    :param packet: the packet
    """

    flow: bytes
    packet: bytes


@attrs.frozen
class Log:
    """Write a log entry.

    :param event: the event
    :param fields: values that led to the event, and its outcome
    """

    event: Event
    fields: dict[str, Any]


Action = Send | ResetCaller | DeliverToTarget | DeliverToCaller | Log

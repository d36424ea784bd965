"""What the state machines of balancers and agents ask to be done."""

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

    :param address: who gets it
    :param message: one of :data:`.messages.FLOW_CODEC`
    """

    address: Address
    message: object


@attrs.frozen
class ResetCaller:
    """Tell a caller that its flow does not open.

    :param flow: key of the flow
    """

    flow: bytes


@attrs.frozen
class DeliverToTarget:
    """Hand a caller's packet to the own target."""

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
    """Write a line in the log.

    :param event: what has happened
    :param fields: what decided it, and the outcome
    """

    event: Event
    fields: dict[str, Any]


Action = Send | ResetCaller | DeliverToTarget | DeliverToCaller | Log

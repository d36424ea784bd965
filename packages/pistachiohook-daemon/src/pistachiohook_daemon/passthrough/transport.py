"""Encoding and decoding of messages about flows over a UDP socket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachiohook_core.events import MESSAGE_UNREADABLE
from pistachiohook_core.passthrough.messages import FLOW_CODEC
from returns.result import Failure as Failed

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from pistachiohook_core.addresses import Address

    from ..datagrams import DatagramSocket
    from ..logs import Report

    #: Sends a message about flows; drops it when the socket's buffer is full.
    SendMessage = Callable[[Address, object], None]

    #: Handles a message about flows; its first argument is the sender.
    MessageHandler = Callable[[Address, Any], None]


def build_sender(link: DatagramSocket) -> SendMessage:
    """Return a function that encodes messages and sends them over a socket."""

    def send(address: Address, message: object) -> None:
        link.send(FLOW_CODEC.encode(message), address)

    return send


def build_receiver(
    handle_message: MessageHandler, report: Report
) -> Callable[[bytes, Address], None]:
    """Return a function that decodes the datagrams of a socket.

    :param handle_message: called with each message
    :param report: logs datagrams that can't be decoded
    """

    def receive(data: bytes, sender: Address) -> None:
        decoded = FLOW_CODEC.decode(data, str(sender))
        if isinstance(decoded, Failed):
            failure = decoded.failure()
            report(
                MESSAGE_UNREADABLE,
                step=failure.step,
                peer=failure.peer,
                reason=failure.reason,
            )
            return
        handle_message(sender, decoded.unwrap())

    return receive

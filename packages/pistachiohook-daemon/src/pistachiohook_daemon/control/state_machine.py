"""The replicated state machine of a control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.configuration.commands import Accepted
from pistachiohook_core.configuration.commands import Change
from pistachiohook_core.configuration.commands import Command
from pistachiohook_core.configuration.commands import COMMAND_CODEC
from pistachiohook_core.configuration.commands import Members
from pistachiohook_core.configuration.commands import OUTCOME_CODEC
from pistachiohook_core.configuration.state import apply_encoded
from pistachiohook_core.configuration.state import decode_state
from pistachiohook_core.configuration.state import encode_state
from pistachiohook_core.configuration.state import State
from pistachiohook_core.events import CONTROL_CHANGE_ACCEPTED
from pistachiohook_core.events import CONTROL_CHANGE_REFUSED

from ..clocks import read_clock

if TYPE_CHECKING:
    from pistachiohook_core.membership.server import SubscriptionServer

    from ..logs import Report


@attrs.define
class ControlStateMachine:
    """Applies committed commands and passes each result to subscriptions.

    :param subscriptions: holds the replicated state and serves the nodes
    :param report: logs an event
    """

    subscriptions: SubscriptionServer
    report: Report

    @property
    def state(self) -> State:
        """The replicated state up to the last command applied here."""
        return self.subscriptions.state

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command.

        :param index: index of its entry in the log
        :param command: the encoded command
        :returns: the encoded outcome
        """
        transition = apply_encoded(self.state, index, command)
        decoded = COMMAND_CODEC.decode(command, 'replicated log').value_or(
            None
        )
        holder = decoded.holder if isinstance(decoded, Members) else None
        self.subscriptions.handle_applied(transition, holder, read_clock())
        if isinstance(decoded, Change):
            self._log_change(decoded, transition.outcome)
        return OUTCOME_CODEC.encode(transition.outcome)

    def take_snapshot(self) -> bytes:
        """Return the encoded state."""
        return encode_state(self.state)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with that of a snapshot.

        :raises ValueError: when the snapshot can't be decoded
        """
        state = decode_state(snapshot, 'snapshot')
        if not isinstance(state.value_or(None), State):
            raise ValueError(str(state.failure()))
        self.subscriptions.restore(state.unwrap())

    def _log_change(self, change: Change, outcome: object) -> None:
        accepted = isinstance(outcome, Accepted)
        event = CONTROL_CHANGE_ACCEPTED if accepted else CONTROL_CHANGE_REFUSED
        self.report(
            event,
            step='apply change',
            peer=change.author,
            change=change.change_id,
            outcome=str(outcome),
        )


def encode_command(command: Command) -> bytes:
    """Encode a command for the replicated log."""
    return COMMAND_CODEC.encode(command)

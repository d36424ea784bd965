"""Messages between control instances."""

from __future__ import annotations

import attrs

from ..codec import Codec
from ..consensus.messages import CONSENSUS_CODEC


@attrs.frozen
class ForwardedProposal:
    """A command for the leader.

    :param sender: instance that gets the outcome
    :param request: number of the proposal at its sender
    :param command: the encoded command
    """

    sender: str
    request: int
    command: bytes


@attrs.frozen
class ForwardedOutcome:
    """What became of a :class:`ForwardedProposal`.

    :param request: number of the proposal at its sender
    :param outcome: the encoded outcome, when the command was applied
    :param step: where it failed otherwise
    :param peer: the other end of that step
    :param reason: why it failed
    """

    request: int
    outcome: bytes | None = None
    step: str = ''
    peer: str = ''
    reason: str = ''


#: Messages on the connections between control instances.
CONTROL_CODEC = Codec(
    {**CONSENSUS_CODEC.kinds, 64: ForwardedProposal, 65: ForwardedOutcome}
)

"""Messages between control instances."""

from __future__ import annotations

import attrs

from ..codec import Codec
from ..consensus.messages import CONSENSUS_CODEC


@attrs.frozen
class ForwardedProposal:
    """A command that an instance forwards to the leader.

    :param sender: instance to which the outcome is sent
    :param request: number that the sender gave to the proposal
    :param command: the encoded command
    """

    sender: str
    request: int
    command: bytes


@attrs.frozen
class ForwardedOutcome:
    """Result of a :class:`ForwardedProposal`.

    :param request: number that the sender gave to the proposal
    :param outcome: the encoded outcome when the command was applied;
        ``None`` on failure
    :param step: step that failed, when there is no outcome
    :param peer: other end of that step
    :param reason: why it failed
    """

    request: int
    outcome: bytes | None = None
    step: str = ''
    peer: str = ''
    reason: str = ''


#: Messages on the connections between control instances, by number.
CONTROL_CODEC = Codec(
    {**CONSENSUS_CODEC.kinds, 64: ForwardedProposal, 65: ForwardedOutcome}
)

"""What the control role needs of a replicator."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pistachiohook_core.failures import Failure
    from returns.result import Result


class StateMachine(Protocol):
    """What a replicator applies commands to, in the order of the log."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its encoded outcome."""

    def take_snapshot(self) -> bytes:
        """Encode the whole state, as of the last command applied."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by that of a snapshot."""


class Replicator(Protocol):
    """Agrees with the other control instances on the log of commands."""

    @property
    def leader(self) -> str | None:
        """Name of the leader, when it is known."""

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads."""

    async def propose(self, command: bytes) -> Result[bytes, Failure]:
        """Write a command, through the leader, and wait for its outcome.

        A failure leaves open whether the command was or will be applied.
        """

    async def read_barrier(self) -> Result[None, Failure]:
        """Wait until all that was committed before is applied here."""

    def freshness(self, now: float) -> float:
        """Return the age of the last proof of a quorum, in seconds."""

    async def run(self) -> None:
        """Replicate until cancelled."""

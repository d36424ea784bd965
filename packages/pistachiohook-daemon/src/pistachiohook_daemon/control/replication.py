"""What the control role needs of its replicator."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pistachiohook_core.failures import Failure
    from returns.result import Result


class Replicator(Protocol):
    """Agrees with the other control instances on the log of commands."""

    @property
    def leader(self) -> str:
        """Name of the leader; empty when none is known."""

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads."""

    async def propose(self, command: bytes) -> Result[bytes, Failure]:
        """Write a command when this instance leads."""

    async def read_barrier(self) -> Result[int, Failure]:
        """Wait until all that was committed before is applied here."""

    def freshness(self, now: float) -> float:
        """Return the age of the last proof of a quorum, in seconds."""

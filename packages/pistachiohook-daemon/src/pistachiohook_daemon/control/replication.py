"""Interface to the replicator that the control role uses."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pistachiohook_core.failures import Failure
    from returns.result import Result


class Replicator(Protocol):
    """Replicates a log of commands among the control instances."""

    @property
    def leader(self) -> str:
        """Name of the leader; empty when it is not known."""

    @property
    def is_leader(self) -> bool:
        """Whether this instance considers itself the leader."""

    async def propose(self, command: bytes) -> Result[bytes, Failure]:
        """Append a command to the log and wait until it is applied.

        It is refused unless this instance is the leader.

        :param command: the encoded command
        :returns: the encoded outcome of the command
        """

    async def read_barrier(self) -> Result[int, Failure]:
        """Wait until all commands accepted before the call are applied here.

        :returns: index up to which entries are applied
        """

    def freshness(self, now: float) -> float:
        """Return the time since the last quorum confirmation, in seconds.

        :param now: present time of the monotonic clock, in seconds
        """

"""Errors that carry the step and the peer at which they arose."""

from __future__ import annotations

import attrs


@attrs.frozen
class Failure:
    """Why something was not done.

    :param step: what was being done, as a short verb phrase
    :param peer: the file, address or name at the other end
    :param reason: what was found, and what was expected
    """

    step: str
    peer: str
    reason: str

    def __str__(self) -> str:
        return f'{self.step}: {self.peer}: {self.reason}'

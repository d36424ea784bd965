"""Errors that name the step that failed and the peer involved."""

from __future__ import annotations

import attrs


@attrs.frozen
class Failure:
    """An error that is returned instead of raised.

    :param step: operation that failed, as a short verb phrase
    :param peer: file, address or name that the operation dealt with
    :param reason: what went wrong; for bad input, what was expected
    """

    step: str
    peer: str
    reason: str

    def __str__(self) -> str:
        return f'{self.step}: {self.peer}: {self.reason}'

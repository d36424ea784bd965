"""Bound on retries as a share of recent requests."""

from __future__ import annotations

import attrs

#: Retries allowed for each request that arrives.
RETRY_SHARE = 0.1

#: Retries that can be saved up.
RETRIES_SAVED_MAX = 10.0


@attrs.define
class RetryBudget:
    """State of the budget: what may still be spent, in retries."""

    balance: float = RETRIES_SAVED_MAX

    def deposit(self) -> None:
        """Count one request that arrived."""
        self.balance = min(RETRIES_SAVED_MAX, self.balance + RETRY_SHARE)

    def withdraw(self) -> bool:
        """Take one retry out.

        :returns: False when the budget is spent
        """
        if self.balance < 1:
            return False
        self.balance -= 1
        return True

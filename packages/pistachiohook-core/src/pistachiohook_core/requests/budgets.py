"""Token bucket that limits retries to a share of the requests."""

from __future__ import annotations

import attrs

#: Retries that each arriving request adds to the budget.
RETRIES_PER_REQUEST = 0.1

#: Largest balance of the budget, in retries.
BALANCE_MAX = 10.0


@attrs.define
class RetryBudget:
    """Limits retries to a share of the requests.

    :param balance: retries that are still allowed
    """

    balance: float = BALANCE_MAX

    def deposit(self) -> None:
        """Add the retries that one arriving request allows."""
        self.balance = min(BALANCE_MAX, self.balance + RETRIES_PER_REQUEST)

    def withdraw(self) -> bool:
        """Take one retry from the budget.

        :returns: False when the balance does not allow a retry
        """
        if self.balance < 1:
            return False
        self.balance -= 1
        return True

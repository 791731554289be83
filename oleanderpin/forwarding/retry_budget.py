"""Retry budgets: retries and hedges as a fraction of first attempts.

They bound the additional load that retries cause while targets fail.
"""

import threading

from ..control.state import Profile

# The initial balance lets a service with little traffic retry; the maximum
# bounds bursts of retries.
_INITIAL_RETRIES = 3.0
_MAX_RETRIES = 20.0


class RetryBudgets:
    """One retry budget per service."""

    def __init__(self) -> None:
        """Start each service with the initial balance."""
        self._lock = threading.Lock()
        self._balances: dict[str, float] = {}

    def deposit(self, service: str, profile: Profile) -> None:
        """Add the fraction of a retry that a first attempt earns."""
        amount = profile.retry_budget_percent / 100
        with self._lock:
            balance = self._balances.get(service, _INITIAL_RETRIES)
            self._balances[service] = min(_MAX_RETRIES, balance + amount)

    def try_withdraw(self, service: str, profile: Profile) -> bool:
        """Withdraw one retry; return False if the balance is below one."""
        if profile.retry_budget_percent <= 0:
            return False
        with self._lock:
            balance = self._balances.get(service, _INITIAL_RETRIES)
            if balance < 1:
                return False
            self._balances[service] = balance - 1
            return True

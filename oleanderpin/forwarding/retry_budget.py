"""Budget of retries and hedges as a fraction of first attempts."""

import threading

from ..control.state import Profile

# Lets a service with little traffic retry, and bounds bursts of retries.
_INITIAL_RETRIES = 3.0
_MAX_RETRIES = 20.0


class RetryBudgets:
    """One budget for each service."""

    def __init__(self) -> None:
        """Start with a few retries for each service."""
        self._lock = threading.Lock()
        self._balances: dict[str, float] = {}

    def deposit(self, service: str, profile: Profile) -> None:
        """Count a first attempt."""
        amount = profile.retry_budget_percent / 100
        with self._lock:
            balance = self._balances.get(service, _INITIAL_RETRIES)
            self._balances[service] = min(_MAX_RETRIES, balance + amount)

    def try_withdraw(self, service: str, profile: Profile) -> bool:
        """Take one retry; return whether there was one."""
        if profile.retry_budget_percent <= 0:
            return False
        with self._lock:
            balance = self._balances.get(service, _INITIAL_RETRIES)
            if balance < 1:
                return False
            self._balances[service] = balance - 1
            return True

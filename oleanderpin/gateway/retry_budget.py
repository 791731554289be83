"""Bounds repeated attempts to a part of the first ones.

Load pattern: targets fail or refuse many requests at once. Without a bound,
repeated attempts multiply the load of a service that is already short.
"""

# Repeated attempts that are possible without recent requests.
_RESERVE = 3.0


class RetryBudget:
    """Each request earns a part of a repeated attempt.

    Parameters
    ----------
    percent : float
        Repeated attempts for each hundred requests.
    """

    def __init__(self, percent: float) -> None:
        """Start with the reserve."""
        self._earned = percent / 100
        self._tokens = _RESERVE

    def note_request(self) -> None:
        """Earn for a first attempt."""
        most = max(_RESERVE, self._earned * 100)
        self._tokens = min(most, self._tokens + self._earned)

    def take(self) -> bool:
        """Spend one repeated attempt; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

"""Limits retries to a percentage of requests.

Load pattern: targets fail or refuse many requests at once. Without a limit,
retries multiply the load of a service that is already overloaded.
"""

# Retries that are possible without recent requests.
_RESERVE_RETRIES = 3.0


class RetryBudget:
    """Token bucket in which each request earns a fraction of a retry.

    Parameters
    ----------
    percent : float
        Retries for each hundred requests.
    """

    def __init__(self, percent: float) -> None:
        """Start with the reserve."""
        self._tokens_per_request = percent / 100
        self._tokens = _RESERVE_RETRIES

    def note_request(self) -> None:
        """Add the tokens of a first attempt."""
        max_tokens = max(_RESERVE_RETRIES, self._tokens_per_request * 100)
        self._tokens = min(max_tokens, self._tokens + self._tokens_per_request)

    def take(self) -> bool:
        """Take the token of one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

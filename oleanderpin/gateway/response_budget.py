"""Bounds on what targets may send before their responses are complete.

Fault: a target sends bytes without end, in a head, a body, interim responses or
responses that belong to no request, until its connection is closed.
"""

from ..core.settings import GatewaySettings


class ResponseBudget:
    """Bytes of incomplete responses on all connections to targets.

    Parameters
    ----------
    settings : GatewaySettings
        The limits.
    """

    def __init__(self, settings: GatewaySettings) -> None:
        """Start without bytes."""
        self._settings = settings
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Bytes of the responses that are not complete yet."""
        return self._total_bytes

    def start(self) -> 'ResponseMeter':
        """Return the meter of the response to one request."""
        return ResponseMeter(self, self._settings)

    def add(self, size_bytes: int) -> bool:
        """Add received bytes; return whether they are within the limit."""
        self._total_bytes += size_bytes
        return self._total_bytes <= self._settings.max_buffered_bytes

    def release(self, size_bytes: int) -> None:
        """Remove the bytes of a response that has ended."""
        self._total_bytes -= size_bytes


class ResponseMeter:
    """Counts the bytes received after one request.

    Parameters
    ----------
    budget : ResponseBudget
        Budget that all connections share.
    settings : GatewaySettings
        The limits.
    """

    def __init__(
        self, budget: ResponseBudget, settings: GatewaySettings
    ) -> None:
        """Start without bytes."""
        self._budget = budget
        self._settings = settings
        self._received_bytes = 0
        self._head_bytes = 0

    def add(self, size_bytes: int, *, is_in_head: bool) -> bool:
        """Add received bytes; return whether all limits are kept.

        Parameters
        ----------
        size_bytes : int
            Number of bytes received.
        is_in_head : bool
            Whether they end inside the head of a response.
        """
        self._received_bytes += size_bytes
        self._head_bytes = self._head_bytes + size_bytes if is_in_head else 0
        is_within_budget = self._budget.add(size_bytes)
        return (
            is_within_budget
            and self._head_bytes <= self._settings.max_response_head_bytes
            and self._received_bytes <= self._settings.max_response_bytes
        )

    def end(self) -> None:
        """Release the bytes; the response is complete or given up."""
        self._budget.release(self._received_bytes)
        self._received_bytes = 0

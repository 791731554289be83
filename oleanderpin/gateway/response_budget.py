"""Bounds on what targets may send before their responses are complete.

Fault: a target sends bytes without end, in a head, a body, interim responses or
responses that belong to no request, until its connection is closed.
"""

from ..core.memory_budget import MemoryBudget, MemoryShare
from ..core.settings import GatewaySettings


class ResponseBudget:
    """Bytes of incomplete responses on all connections to targets.

    Parameters
    ----------
    settings : GatewaySettings
        The limits on one response.
    memory : MemoryBudget
        Budget that the bytes count towards.
    """

    def __init__(self, settings: GatewaySettings, memory: MemoryBudget) -> None:
        """Start without bytes."""
        self.settings = settings
        self.total_bytes = 0
        self._memory = memory

    def start(self) -> 'ResponseMeter':
        """Return the meter of the response to one request."""
        return ResponseMeter(self, self._memory.share())


class ResponseMeter:
    """Counts the memory of what is received after one request.

    Parameters
    ----------
    budget : ResponseBudget
        Budget that all connections share.
    share : MemoryShare
        What the response holds of the process's memory.
    """

    def __init__(self, budget: ResponseBudget, share: MemoryShare) -> None:
        """Start without bytes."""
        self._budget = budget
        self._share = share
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
        self._head_bytes = self._head_bytes + size_bytes if is_in_head else 0
        self._budget.total_bytes += size_bytes
        is_within_budget = self._share.charge(size_bytes)
        settings = self._budget.settings
        return (
            is_within_budget
            and self._head_bytes <= settings.max_response_head_bytes
            and self._share.held_bytes <= settings.max_response_bytes
        )

    def end(self) -> None:
        """Release the bytes; the response is complete or given up."""
        self._budget.total_bytes -= self._share.held_bytes
        self._share.close()

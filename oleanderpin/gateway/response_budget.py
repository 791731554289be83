"""Bounds on what targets may send before their responses are complete.

Fault: a target sends bytes without end, in a head, a body, interim responses or
responses that belong to no request, until its connection is closed.
"""

from typing import Literal

from ..core.memory_budget import MemoryBudget, MemoryShare
from ..core.settings import GatewaySettings


Excess = Literal['', 'too_large', 'no_memory']


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

    def add(
        self, size_bytes: int, *, is_in_head: bool, overhead_bytes: int = 0
    ) -> Excess:
        """Add received bytes; return which limit they exceed.

        Parameters
        ----------
        size_bytes : int
            Number of bytes received.
        is_in_head : bool
            Whether they end inside the head of a response.
        overhead_bytes : int
            Memory that they take beside their size.

        Returns
        -------
        str
            ``too_large`` for a limit on one response, ``no_memory`` for the
            budget of the process, else empty.
        """
        self._head_bytes = self._head_bytes + size_bytes if is_in_head else 0
        held_bytes = size_bytes + overhead_bytes
        self._budget.total_bytes += held_bytes
        is_within_budget = self._share.charge(held_bytes)
        settings = self._budget.settings
        if (
            self._head_bytes > settings.max_response_head_bytes
            or self._share.held_bytes > settings.max_response_bytes
        ):
            return 'too_large'
        return '' if is_within_budget else 'no_memory'

    def end(self) -> None:
        """Release the bytes; the response is complete or given up."""
        self._budget.total_bytes -= self._share.held_bytes
        self._share.close()

"""Requests that this gateway may send to a target with a limit."""

import math
from dataclasses import dataclass

from .known_gateways import RateShare


@dataclass(slots=True)
class LimitBucket:
    """Token bucket of one target.

    Parameters
    ----------
    per_s : float
        Requests a second that the target takes from all gateways together.
    """

    per_s: float
    tokens: float = 1.0
    refilled_s: float = -math.inf

    def wait_s(self, share: RateShare, now_s: float) -> float:
        """Return the time until a request may be sent.

        Parameters
        ----------
        share : RateShare
            Part of the limit that this gateway may use.
        now_s : float
            Monotonic time.
        """
        if math.isfinite(self.refilled_s):
            self.tokens += (now_s - self.refilled_s) * share.rate_per_s
        self.tokens = min(self.tokens, share.burst)
        self.refilled_s = now_s
        if self.tokens >= 1:
            return 0.0
        if share.rate_per_s <= 0:
            return math.inf
        return (1 - self.tokens) / share.rate_per_s

    def take(self) -> None:
        """Record that a request is sent."""
        self.tokens -= 1

"""Requests that this gateway may send to a target with a limit."""

import math
from dataclasses import dataclass

from .known_gateways import RateShare

# A new limit takes full effect after this time, so that the objects that leave
# the target are not all loaded at other targets at once.
_RAMP_S = 2.0
# Multiple of the limit that is used when it begins.
_FIRST_FACTOR = 3.0


@dataclass(slots=True)
class LimitBucket:
    """Token bucket of one target.

    Parameters
    ----------
    per_s : float
        Requests a second that the target takes from all gateways together.
    started_s : float
        Monotonic time at which the limit became known.
    """

    per_s: float
    started_s: float
    tokens: float = 1.0
    refilled_s: float = -math.inf

    def usable_per_s(self, now_s: float) -> float:
        """Return the requests a second that all gateways may use now."""
        left = max(0.0, 1 - (now_s - self.started_s) / _RAMP_S)
        return self.per_s * (1 + (_FIRST_FACTOR - 1) * left)

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

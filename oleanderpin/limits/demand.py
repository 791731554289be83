"""Estimate of a resource's demand at one instance."""

import math

# Short enough to follow a caller that moves to another instance.
_TIME_CONSTANT_S = 0.7
_BELOW_NOTICE_PER_S = 0.01


class DemandEstimator:
    """Exponentially weighted rate of arrivals."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self._rate_per_s = 0.0
        self._updated_s = float('-inf')

    def note_arrival(self, now_s: float) -> None:
        """Count one arrival."""
        self._rate_per_s = self.rate_per_s(now_s) + 1 / _TIME_CONSTANT_S
        self._updated_s = now_s

    def idle_s(self, now_s: float) -> float:
        """Return the seconds since the last arrival."""
        return now_s - self._updated_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the estimated arrivals per second."""
        if not self._rate_per_s:
            return 0.0
        elapsed_s = max(0.0, now_s - self._updated_s)
        rate_per_s = self._rate_per_s * math.exp(-elapsed_s / _TIME_CONSTANT_S)
        return rate_per_s if rate_per_s > _BELOW_NOTICE_PER_S else 0.0

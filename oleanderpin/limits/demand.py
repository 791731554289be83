"""Estimate of the demand for a resource at one instance."""

import math

# Smaller estimates count as no demand.
_NEGLIGIBLE_RATE_PER_S = 0.01


class DemandEstimator:
    """Exponentially weighted estimate of the arrival rate.

    Parameters
    ----------
    time_constant_s : float
        Seconds after which the weight of an arrival has decayed to 1/e.
    """

    def __init__(self, *, time_constant_s: float) -> None:
        """Start without arrivals."""
        self._time_constant_s = time_constant_s
        self._rate_per_s = 0.0
        self._updated_s = float('-inf')

    def note_arrival(self, now_s: float) -> None:
        """Count one arrival."""
        self._rate_per_s = self.rate_per_s(now_s) + 1 / self._time_constant_s
        self._updated_s = now_s

    def idle_s(self, now_s: float) -> float:
        """Return the seconds since the last arrival."""
        return now_s - self._updated_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the estimated arrivals per second."""
        if not self._rate_per_s:
            return 0.0
        elapsed_s = max(0.0, now_s - self._updated_s)
        decay = math.exp(-elapsed_s / self._time_constant_s)
        rate_per_s = self._rate_per_s * decay
        return rate_per_s if rate_per_s > _NEGLIGIBLE_RATE_PER_S else 0.0

"""Slow start of new and returning targets."""

from collections.abc import Collection

_INITIAL_FACTOR = 0.1


class SlowStart:
    """Fraction of its normal traffic that each target of a service gets.

    A target that was not eligible at the previous update (new, or back from a
    drain, an ejection or an expired announcement) ramps up linearly. Targets
    that are eligible at the first update count as warm, because a restarted
    instance cannot know how long they have been running.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self._eligible_since_s: dict[str, float] | None = None

    def update(self, addresses: Collection[str], *, now_s: float) -> None:
        """Set the addresses that are eligible now."""
        if self._eligible_since_s is None:
            if addresses:
                self._eligible_since_s = dict.fromkeys(addresses, float('-inf'))
            return
        known = self._eligible_since_s
        self._eligible_since_s = {
            address: known.get(address, now_s) for address in addresses
        }

    def factors(self, *, now_s: float, ramp_s: float) -> dict[str, float]:
        """Return the factor of each target, between 0.1 and 1.

        Factors are relative to the target that has been eligible longest:
        when all targets are new, ramping up would only reject requests.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        ramp_s : float
            Duration of the ramp, ``Profile.slow_start_s``.
        """
        factors = {
            address: _factor(now_s - since_s, ramp_s)
            for address, since_s in (self._eligible_since_s or {}).items()
        }
        highest = max(factors.values(), default=1.0)
        return {
            address: factor / highest for address, factor in factors.items()
        }


def _factor(age_s: float, ramp_s: float) -> float:
    if age_s >= ramp_s:
        return 1.0
    return max(_INITIAL_FACTOR, age_s / ramp_s)

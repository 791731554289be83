"""Slow start of new and returning targets."""

from collections.abc import Collection

_FIRST_FACTOR = 0.1


class SlowStart:
    """Share of its usual traffic that each target of a service gets.

    A target that was not eligible at the previous update (new, back from a
    drain, from an ejection or from a lapsed announcement) ramps up linearly.
    Targets that are eligible at the first update are taken as warm, because
    a restarted instance cannot know how long they have run.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self._since_s: dict[str, float] | None = None

    def update(self, addresses: Collection[str], *, now_s: float) -> None:
        """Take over the addresses that are eligible now."""
        if self._since_s is None:
            if addresses:
                self._since_s = dict.fromkeys(addresses, float('-inf'))
            return
        known = self._since_s
        self._since_s = {
            address: known.get(address, now_s) for address in addresses
        }

    def factors(self, *, now_s: float, ramp_s: float) -> dict[str, float]:
        """Return the factor of each target, between 0.1 and 1.

        Factors are relative to the target that has run longest: when all of
        them are new, ramping up would only refuse requests.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        ramp_s : float
            Length of the ramp, ``Profile.slow_start_s``.
        """
        factors = {
            address: _factor(now_s - since_s, ramp_s)
            for address, since_s in (self._since_s or {}).items()
        }
        highest = max(factors.values(), default=1.0)
        return {
            address: factor / highest for address, factor in factors.items()
        }


def _factor(age_s: float, ramp_s: float) -> float:
    if age_s >= ramp_s:
        return 1.0
    return max(_FIRST_FACTOR, age_s / ramp_s)

"""The share of attempts that end with their connection.

Load pattern: a rack or a failure domain fails, and many requests lose their
targets within a second or two. A request that loses several targets then tells
little of itself.
"""

import math
from dataclasses import dataclass

# Time constant with which old attempts are forgotten.
_MEMORY_S = 2.0
# What is taken for known before the first attempt: one in forty is lost.
_PRIOR_ATTEMPTS = 20.0
_PRIOR_LOST = 0.5
# At this share of losses, or below, a crash counts in full: a sound request
# loses three targets in a row once in eight thousand times.
_FULL_WEIGHT_SHARE = 0.05


@dataclass(slots=True)
class LossRate:
    """Share of recent attempts that were lost."""

    _attempts: float = 0.0
    _lost: float = 0.0
    _updated_s: float = 0.0

    def note(self, now_s: float, *, is_lost: bool) -> None:
        """Record the end of an attempt."""
        kept = math.exp((self._updated_s - now_s) / _MEMORY_S)
        self._attempts = self._attempts * kept + 1
        self._lost = self._lost * kept + is_lost
        self._updated_s = now_s

    @property
    def share_of_others(self) -> float:
        """Return the share of attempts that are lost, above 0 and below 1.

        The last loss is left out: it is the one to be weighed.
        """
        lost = max(0.0, self._lost - 1) + _PRIOR_LOST
        return lost / (self._attempts + _PRIOR_ATTEMPTS)

    def weight_percent(self) -> int:
        """Return what the last crash counts, 100 where losses are rare.

        The weights of crashes in a row add up like the logarithm of the
        probability that a sound request meets them.
        """
        weight = math.log(self.share_of_others) / math.log(_FULL_WEIGHT_SHARE)
        return round(100 * min(1.0, max(0.0, weight)))

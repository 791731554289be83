"""Budget for raising the ceilings of one service's traffic split."""

from collections import deque
from typing import NamedTuple, Protocol

_STEPS_PER_CAP = 20
# The pool is charged at the request rate of the last update. Without this limit
# an instance that takes over traffic could draw most of the pool at its
# earlier, lower rate, which shifted 24% of the traffic at a cap of 20%.
_POOL_STEPS_PER_UPDATE = 3


class _CapFractions(NamedTuple):
    """Fractions of the cap; twice the slack plus the others is at most 1.

    The slack counts twice: as headroom above the measured split, and as drift
    of the measurement within an interval.
    """

    slack: float
    own: float
    pool: float


_WITHOUT_POOL = _CapFractions(slack=0.125, own=0.75, pool=0.0)
# 0.15 of the cap is left for traffic that instances take over before the pool
# is charged for it; with the whole cap in use, 22% was shifted instead of 20%.
_WITH_POOL = _CapFractions(slack=0.05, own=0.1, pool=0.65)


class ShiftPool(Protocol):
    """Fraction of a service's shift cap that the whole fleet shares."""

    def take(self, amount_per_s: float) -> bool:
        """Reserve an amount of traffic to shift.

        Parameters
        ----------
        amount_per_s : float
            Traffic to shift, in requests per second. Within any interval the
            pool grants at most `POOL_FRACTION` of the cap, which is a
            percentage of the fleet's traffic of the service.
        """
        ...


POOL_FRACTION = _WITH_POOL.pool


class ShiftBudget:
    """Steps by which an instance may raise ceilings within any interval.

    Parameters
    ----------
    cap : float
        The cap as a fraction of the service's traffic.
    interval_s : float
        Interval to which the cap applies.
    pool : ShiftPool, optional
        Fleet-wide pool; without it the cap applies to the instance's traffic.
    """

    def __init__(
        self, *, cap: float, interval_s: float, pool: ShiftPool | None = None
    ) -> None:
        """Start with nothing spent."""
        self.cap = cap
        self.interval_s = interval_s
        self._pool = pool
        self._fractions = _WITH_POOL if pool else _WITHOUT_POOL
        self._spent: deque[tuple[float, float]] = deque()
        self._rate_per_s = 0.0
        self._pool_steps = 0

    @property
    def slack(self) -> float:
        """Headroom above the measured split, for all cells together."""
        return self.cap * self._fractions.slack

    def update(self, rate_per_s: float) -> None:
        """Set the rate of offered requests since the last update."""
        self._rate_per_s = rate_per_s
        self._pool_steps = _POOL_STEPS_PER_UPDATE

    def spend(self, now_s: float, *, offered: float) -> float:
        """Spend one step and return its size, or 0 if the budget is spent.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        offered : float
            Requests offered per interval.
        """
        budget = self.cap * self._fractions.own
        while self._spent and self._spent[0][0] <= now_s - self.interval_s:
            self._spent.popleft()
        left = budget - sum(amount for _spent_s, amount in self._spent)
        # One request is worth 1/offered of the traffic of an interval.
        step = max(self.cap / _STEPS_PER_CAP, 1 / max(1.0, offered))
        step = min(step, budget)
        if left >= step - 1e-9:
            self._spent.append((now_s, step))
            return step
        return step if self._take_from_pool(step, offered=offered) else 0.0

    def retry_after_s(self, now_s: float) -> float:
        """Return the time until a spent step is available again."""
        if not self._spent:
            return self.interval_s
        oldest_s = self._spent[0][0]
        return max(0.1, oldest_s + self.interval_s - now_s)

    def _take_from_pool(self, step: float, *, offered: float) -> bool:
        if self._pool is None or not self._pool_steps:
            return False
        rate_per_s = max(self._rate_per_s, offered / self.interval_s)
        self._pool_steps -= 1
        return self._pool.take(step * rate_per_s)

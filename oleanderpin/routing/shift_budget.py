"""The budget of raises of one service's traffic split."""

from collections import deque
from typing import NamedTuple, Protocol

_RAISE_STEPS = 20
# The pool is charged for the rate of the last update. An instance that
# inherits traffic could take most of the pool at its earlier, lower rate; in
# a run this shifted 24% at a cap of 20%.
_POOL_STEPS_PER_UPDATE = 3


class _Parts(NamedTuple):
    """How the cap is divided; twice the slack and the rest make up 1 at most.

    The slack counts twice: as room above the measured split, and as drift of
    the measurement within an interval.
    """

    slack: float
    own: float
    pool: float


_WITHOUT_POOL = _Parts(slack=0.125, own=0.75, pool=0.0)
# 0.15 of the cap is left for traffic that instances inherit before the pool
# is charged for it; with the whole cap in use a run shifted 22% instead of 20%.
_WITH_POOL = _Parts(slack=0.05, own=0.1, pool=0.65)


class ShiftPool(Protocol):
    """The part of a service's cap that the fleet shares."""

    def take(self, amount_per_s: float) -> bool:
        """Take the right to shift traffic.

        Parameters
        ----------
        amount_per_s : float
            Traffic to be shifted, in requests per second. The pool grants
            within any interval at most `POOL_PART` of the cap, in percent of
            the fleet's traffic of the service.
        """
        ...


POOL_FRACTION = _WITH_POOL.pool


class ShiftBudget:
    """Steps by which an instance may raise its split within any interval.

    Parameters
    ----------
    cap : float
        The cap as a fraction of the service's traffic.
    interval_s : float
        Interval of the cap.
    pool : ShiftPool, optional
        Pool of the fleet; without it the instance keeps to its own traffic.
    """

    def __init__(
        self, *, cap: float, interval_s: float, pool: ShiftPool | None = None
    ) -> None:
        """Start with nothing spent."""
        self.cap = cap
        self.interval_s = interval_s
        self._pool = pool
        self._parts = _WITH_POOL if pool else _WITHOUT_POOL
        self._spent: deque[tuple[float, float]] = deque()
        self._rate_per_s = 0.0
        self._pool_steps = 0

    @property
    def slack(self) -> float:
        """Room above the measured split of all cells together."""
        return self.cap * self._parts.slack

    def update(self, rate_per_s: float) -> None:
        """Follow the rate of offered requests since the last update."""
        self._rate_per_s = rate_per_s
        self._pool_steps = _POOL_STEPS_PER_UPDATE

    def spend(self, now_s: float, *, offered: float) -> float:
        """Return a step to raise by, 0 when the budget is spent.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        offered : float
            Requests offered in an interval.
        """
        budget = self.cap * self._parts.own
        while self._spent and self._spent[0][0] <= now_s - self.interval_s:
            self._spent.popleft()
        left = budget - sum(amount for _spent_s, amount in self._spent)
        # One request is worth 1/offered of the traffic of an interval.
        step = max(self.cap / _RAISE_STEPS, 1 / max(1.0, offered))
        step = min(step, budget)
        if left >= step - 1e-9:
            self._spent.append((now_s, step))
            return step
        return step if self._take(step, offered=offered) else 0.0

    def retry_after_s(self, now_s: float) -> float:
        """Return the time until a spent step is available again."""
        if not self._spent:
            return self.interval_s
        oldest_s = self._spent[0][0]
        return max(0.1, oldest_s + self.interval_s - now_s)

    def _take(self, step: float, *, offered: float) -> bool:
        if self._pool is None or not self._pool_steps:
            return False
        rate_per_s = max(self._rate_per_s, offered / self.interval_s)
        self._pool_steps -= 1
        return self._pool.take(step * rate_per_s)

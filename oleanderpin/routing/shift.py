"""The governor of changes of one service's traffic split.

Each instance bounds the change of its own split to the cap, in percent of
its own traffic. The fleet's split is the mean of the instances' splits,
weighted by their traffic, so the bound also holds for the fleet. Instances of
a region choose among the same targets, so traffic that one of them inherits
from another changes no split. When a region loses its last instance, the
growth of the others above their earlier rate counts as a shift too.

A pool that is shared by the fleet allows an instance to shift more of its own
traffic while the others shift less. Each instance then keeps only a small
budget of its own.
"""

import math
from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from .shift_budget import ShiftBudget, ShiftPool

# A cell may run ahead of its share by one request and this part of an
# interval's traffic. A fixed credit of 4 requests let small services, with
# about 40 requests a second at each instance, shift 26% at a cap of 20%.
_CREDIT_PART = 0.002
_WHOLE_PERCENT = 100.0
# With less than one request in an interval there is no split to shift from.
_MIN_REQUESTS = 1.0
_MIN_BURST = 2.0
# Peers are found lost after about 3 s; the earlier rate is that of the time
# before.
_DETECTION_S = 4.0


class Cell(NamedTuple):
    """One part of the split of a service's traffic."""

    region: str
    failure_domain: str
    version: str


class _Share:
    """Traffic of one cell and the ceiling above it."""

    __slots__ = ('admitted', 'ceiling', 'credit', 'raised', 'settled_at')

    def __init__(self, settled_at: float) -> None:
        self.admitted = 0.0
        self.ceiling = 0.0
        self.raised = 0.0
        self.credit = 0.0
        self.settled_at = settled_at

    def settle(self, offered: float, *, max_credit: float) -> float:
        """Add the credit earned by the requests offered since the last call."""
        gained = self.ceiling * (offered - self.settled_at)
        self.credit = min(max_credit, self.credit + gained)
        self.settled_at = offered
        return self.credit


class ShiftGovernor:
    """Bounds how fast one service's traffic split changes.

    The split is measured as the share of offered requests in each cell,
    decayed over the interval. A cell is admitted while it stays under its
    ceiling: the measured share, a slack, and raises. The raises of all cells
    and of the total together are bounded within any interval, so that the
    split at two times one interval apart differs by at most the cap.

    Parameters
    ----------
    cap_percent : float
        ``Profile.shift_cap_percent``.
    interval_s : float
        ``Profile.shift_interval_s``.
    now_s : float
        Monotonic time.
    pool : ShiftPool, optional
        Pool of the fleet; without it the instance keeps to its own traffic.

    Notes
    -----
    The bound holds up to one request and 0.2% of the traffic for each cell,
    which is the most that a cell may run ahead of its share.
    """

    def __init__(
        self,
        *,
        cap_percent: float,
        interval_s: float,
        now_s: float,
        pool: ShiftPool | None = None,
    ) -> None:
        """Start without an earlier split."""
        self._budget = ShiftBudget(
            cap=cap_percent / _WHOLE_PERCENT, interval_s=interval_s, pool=pool
        )
        self._shares: dict[Cell, _Share] = {}
        self._offered_total = 0.0
        # Withdrawn offers included: they become traffic once a raise allows it.
        self._asked = 0
        self._offered = 0.0
        self._updated_s = now_s
        self._learning_until_s: float | None = None
        self._restricted_until_s = float('-inf')
        self._rates: deque[tuple[float, float]] = deque()
        self._rate_per_s = 0.0
        self._tokens = 0.0
        self._tokens_s = now_s

    @property
    def is_learning(self) -> bool:
        """Whether there is no earlier split to shift from."""
        return (
            self._learning_until_s is None
            or self._updated_s < self._learning_until_s
        )

    def configure(self, *, cap_percent: float, interval_s: float) -> None:
        """Follow a changed profile."""
        self._budget.cap = cap_percent / _WHOLE_PERCENT
        self._budget.interval_s = interval_s

    def offer(self, now_s: float) -> bool:
        """Count a request that asks for a place in the split.

        Returns
        -------
        bool
            False if a region is lost and the request is beyond the growth
            that the cap allows.
        """
        if self._learning_until_s is None:
            self._learning_until_s = now_s + self._budget.interval_s
        if now_s < self._restricted_until_s and not self._take_token(now_s):
            self._restricted_until_s = now_s + self._budget.interval_s
            return False
        self._asked += 1
        self._offered += 1
        self._offered_total += 1
        return True

    def withdraw(self) -> None:
        """Take back an offer that was refused for another reason.

        A request that waits for capacity and asks again must not count as
        more traffic, or the cells could carry more than their share.
        """
        self._offered = max(0.0, self._offered - 1)
        self._offered_total -= 1

    def allows(self, cell: Cell) -> bool:
        """Return whether a cell is under its ceiling."""
        if self.is_learning:
            return True
        share = self._shares.get(cell)
        if share is None:
            return False
        return self._settle(share) >= 0

    def raise_ceiling(self, cell: Cell, now_s: float) -> bool:
        """Raise the ceiling of a cell for a request it would else refuse.

        Returns
        -------
        bool
            False if the interval's budget is spent.
        """
        step = self._budget.spend(now_s, offered=self._offered)
        if not step:
            return False
        share = self._share(cell)
        self._settle(share)
        share.ceiling += step
        share.raised += step
        # The request itself is admitted in advance: its credit turns negative
        # and is earned back under the higher ceiling.
        return True

    def admit(self, cell: Cell) -> None:
        """Count a request that goes to a cell."""
        share = self._share(cell)
        self._settle(share)
        share.admitted += 1
        if not self.is_learning:
            share.credit -= 1

    def refund(self, cell: Cell) -> None:
        """Take back an admission that did not reach its target.

        Without this, repeated attempts at a failing place spend the budget
        that the requests need to go elsewhere.
        """
        share = self._shares.get(cell)
        if share is not None:
            share.admitted = max(0.0, share.admitted - 1)
            share.credit += 1

    def update(self, eligible: Collection[Cell], *, now_s: float) -> None:
        """Follow the measured split and the cells that have targets.

        Parameters
        ----------
        eligible : collection of Cell
            Cells with at least one target that may get work.
        now_s : float
            Monotonic time.
        """
        elapsed_s = now_s - self._updated_s
        decay = math.exp(-elapsed_s / self._budget.interval_s)
        self._updated_s = now_s
        if elapsed_s > 0:
            self._budget.update(self._asked / elapsed_s)
            self._asked = 0
        self._offered *= decay
        if self._offered < _MIN_REQUESTS:
            self._learning_until_s = None
            self._shares.clear()
        self._shares = {cell: self._share(cell) for cell in eligible}
        for share in self._shares.values():
            self._settle(share)
            share.admitted *= decay
            share.raised *= decay
        self._note_rate(now_s)
        self._set_ceilings()

    def restrict(self, now_s: float) -> None:
        """Bound the rate from now on, because a region was lost.

        The bound ends when it has refused nothing for one interval.
        """
        if self.is_learning:
            return
        if now_s >= self._restricted_until_s:
            least_per_s = _MIN_BURST / self._budget.interval_s
            self._rate_per_s = max(least_per_s, self._rates[0][1])
            self._tokens = self._burst()
            self._tokens_s = now_s
        self._restricted_until_s = now_s + self._budget.interval_s

    def retry_after_s(self, now_s: float) -> float:
        """Return the time until the cap allows a further shift."""
        return self._budget.retry_after_s(now_s)

    def ceilings(self) -> dict[Cell, float]:
        """Return the share that each cell may carry at present."""
        return {cell: each.ceiling for cell, each in self._shares.items()}

    def _settle(self, share: _Share) -> float:
        max_credit = 1 + _CREDIT_PART * self._offered
        return share.settle(self._offered_total, max_credit=max_credit)

    def _note_rate(self, now_s: float) -> None:
        self._rates.append((now_s, self._offered / self._budget.interval_s))
        while self._rates[0][0] < now_s - _DETECTION_S:
            self._rates.popleft()

    def _set_ceilings(self) -> None:
        slack = self._budget.slack / max(1, len(self._shares))
        offered = max(self._offered, 1e-9)
        for share in self._shares.values():
            measured = min(1.0, share.admitted / offered)
            share.ceiling = measured + slack + share.raised

    def _share(self, cell: Cell) -> _Share:
        share = self._shares.get(cell)
        if share is None:
            share = _Share(self._offered_total)
            self._shares[cell] = share
        return share

    def _take_token(self, now_s: float) -> bool:
        gained = (now_s - self._tokens_s) * self._rate_per_s
        self._tokens = min(self._burst(), self._tokens + gained)
        self._tokens_s = now_s
        if self._tokens < 1:
            step = self._budget.spend(now_s, offered=self._offered)
            if not step:
                return False
            self._rate_per_s *= 1 + step
            self._tokens += 1
        self._tokens -= 1
        return True

    def _burst(self) -> float:
        return max(_MIN_BURST, self._rate_per_s * 0.1)

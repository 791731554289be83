"""Limits how fast one service's traffic split may change.

Each instance limits the change of its own split to the cap, a percentage of
its own traffic. The fleet's split is the mean of the instances' splits,
weighted by their traffic, so the limit also holds for the fleet. Instances of
a region choose among the same targets, so traffic that one of them takes over
from another changes no split. When a region loses its last instance, growth
of the other instances above their earlier rate counts as a shift too.

A fleet-wide pool allows an instance to shift more of its own traffic while
the others shift less. Each instance then keeps only a small local budget.
"""

import math
from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from .shift_budget import ShiftBudget, ShiftPool

# A cell may exceed its share by one request and this fraction of an interval's
# traffic. A fixed credit of 4 requests let small services, with about 40
# requests per second at each instance, shift 26% at a cap of 20%.
_MAX_CREDIT_FRACTION = 0.002
_WHOLE_PERCENT = 100.0
# With less than one request per interval there is no baseline split.
_MIN_REQUESTS = 1.0
_MIN_BURST_REQUESTS = 2.0
# The loss of a peer is detected after about 3 s; the earlier rate has to come
# from before that.
_PEER_LOSS_DETECTION_S = 4.0


class Cell(NamedTuple):
    """One cell of the split of a service's traffic."""

    region: str
    failure_domain: str
    version: str


class _Share:
    """Traffic share of one cell and its ceiling."""

    __slots__ = ('accrued_to', 'admitted', 'ceiling', 'credit', 'raised')

    def __init__(self, accrued_to: float) -> None:
        self.admitted = 0.0
        self.ceiling = 0.0
        self.raised = 0.0
        self.credit = 0.0
        self.accrued_to = accrued_to

    def accrue_credit(self, offered: float, *, max_credit: float) -> float:
        """Add the credit for requests offered since the last call."""
        earned = self.ceiling * (offered - self.accrued_to)
        self.credit = min(max_credit, self.credit + earned)
        self.accrued_to = offered
        return self.credit


class ShiftLimiter:
    """Limits how fast one service's traffic split changes.

    The split is measured as the share of offered requests in each cell, with
    exponential decay over the interval. A cell gets requests while it is
    under its ceiling: the measured share plus a slack and raises. The raises
    of all cells and of the total rate together are limited within any
    interval, so that splits one interval apart differ by at most the cap.

    Parameters
    ----------
    cap_percent : float
        ``Profile.shift_cap_percent``.
    interval_s : float
        ``Profile.shift_interval_s``.
    now_s : float
        Monotonic time.
    pool : ShiftPool, optional
        Fleet-wide pool; without it the cap applies to the instance's traffic.

    Notes
    -----
    The limit holds to within one request and 0.2% of the traffic per cell,
    the most by which a cell may exceed its share.
    """

    def __init__(
        self,
        *,
        cap_percent: float,
        interval_s: float,
        now_s: float,
        pool: ShiftPool | None = None,
    ) -> None:
        """Start without a baseline split."""
        self._budget = ShiftBudget(
            cap=cap_percent / _WHOLE_PERCENT, interval_s=interval_s, pool=pool
        )
        self._shares: dict[Cell, _Share] = {}
        self._offered_total = 0.0
        # Includes withdrawn offers: they become traffic once a raise allows it.
        self._requested = 0
        self._offered = 0.0
        self._updated_s = now_s
        self._learning_until_s: float | None = None
        self._restricted_until_s = float('-inf')
        self._rate_history: deque[tuple[float, float]] = deque()
        self._rate_limit_per_s = 0.0
        self._tokens = 0.0
        self._tokens_refilled_s = now_s

    @property
    def is_learning(self) -> bool:
        """Whether there is no baseline split yet."""
        return (
            self._learning_until_s is None
            or self._updated_s < self._learning_until_s
        )

    def configure(self, *, cap_percent: float, interval_s: float) -> None:
        """Apply a changed profile."""
        self._budget.cap = cap_percent / _WHOLE_PERCENT
        self._budget.interval_s = interval_s

    def offer(self, now_s: float) -> bool:
        """Count an incoming request.

        Returns
        -------
        bool
            False if a region was lost and the request exceeds the growth
            that the cap allows.
        """
        if self._learning_until_s is None:
            self._learning_until_s = now_s + self._budget.interval_s
        if now_s < self._restricted_until_s and not self._take_token(now_s):
            self._restricted_until_s = now_s + self._budget.interval_s
            return False
        self._requested += 1
        self._offered += 1
        self._offered_total += 1
        return True

    def withdraw(self) -> None:
        """Undo an offer that was rejected for another reason.

        A request that waits for capacity and retries must not count as more
        traffic, or the cells could get more than their share.
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
        return self._accrue_credit(share) >= 0

    def raise_ceiling(self, cell: Cell, now_s: float) -> bool:
        """Raise the ceiling of a cell for a request that it would reject.

        Returns
        -------
        bool
            False if the interval's budget is spent.
        """
        step = self._budget.spend(now_s, offered=self._offered)
        if not step:
            return False
        share = self._share(cell)
        self._accrue_credit(share)
        share.ceiling += step
        share.raised += step
        # The request is admitted in advance: the cell's credit turns negative
        # and is earned back under the higher ceiling.
        return True

    def admit(self, cell: Cell) -> None:
        """Count a request that is sent to a cell."""
        share = self._share(cell)
        self._accrue_credit(share)
        share.admitted += 1
        if not self.is_learning:
            share.credit -= 1

    def refund(self, cell: Cell) -> None:
        """Undo the admission of a request that did not reach its target.

        Otherwise repeated attempts at a failing cell would spend the budget
        that the requests need to go elsewhere.
        """
        share = self._shares.get(cell)
        if share is not None:
            share.admitted = max(0.0, share.admitted - 1)
            share.credit += 1

    def update(self, eligible: Collection[Cell], *, now_s: float) -> None:
        """Update the measured split and the ceilings.

        Parameters
        ----------
        eligible : collection of Cell
            Cells with at least one eligible target.
        now_s : float
            Monotonic time.
        """
        elapsed_s = now_s - self._updated_s
        decay = math.exp(-elapsed_s / self._budget.interval_s)
        self._updated_s = now_s
        if elapsed_s > 0:
            self._budget.update(self._requested / elapsed_s)
            self._requested = 0
        self._offered *= decay
        if self._offered < _MIN_REQUESTS:
            self._learning_until_s = None
            self._shares.clear()
        self._shares = {cell: self._share(cell) for cell in eligible}
        for share in self._shares.values():
            self._accrue_credit(share)
            share.admitted *= decay
            share.raised *= decay
        self._record_rate(now_s)
        self._set_ceilings()

    def restrict(self, now_s: float) -> None:
        """Limit the request rate, because a region was lost.

        The limit ends when it has rejected nothing for one interval.
        """
        if self.is_learning:
            return
        if now_s >= self._restricted_until_s:
            least_per_s = _MIN_BURST_REQUESTS / self._budget.interval_s
            self._rate_limit_per_s = max(least_per_s, self._rate_history[0][1])
            self._tokens = self._burst()
            self._tokens_refilled_s = now_s
        self._restricted_until_s = now_s + self._budget.interval_s

    def retry_after_s(self, now_s: float) -> float:
        """Return the time until the cap allows another shift."""
        return self._budget.retry_after_s(now_s)

    def ceilings(self) -> dict[Cell, float]:
        """Return the current ceiling of each cell."""
        return {cell: each.ceiling for cell, each in self._shares.items()}

    def _accrue_credit(self, share: _Share) -> float:
        max_credit = 1 + _MAX_CREDIT_FRACTION * self._offered
        return share.accrue_credit(self._offered_total, max_credit=max_credit)

    def _record_rate(self, now_s: float) -> None:
        self._rate_history.append(
            (now_s, self._offered / self._budget.interval_s)
        )
        while self._rate_history[0][0] < now_s - _PEER_LOSS_DETECTION_S:
            self._rate_history.popleft()

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
        earned = (now_s - self._tokens_refilled_s) * self._rate_limit_per_s
        self._tokens = min(self._burst(), self._tokens + earned)
        self._tokens_refilled_s = now_s
        if self._tokens < 1:
            step = self._budget.spend(now_s, offered=self._offered)
            if not step:
                return False
            self._rate_limit_per_s *= 1 + step
            self._tokens += 1
        self._tokens -= 1
        return True

    def _burst(self) -> float:
        return max(_MIN_BURST_REQUESTS, self._rate_limit_per_s * 0.1)

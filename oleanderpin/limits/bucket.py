"""Token bucket with the share that a holder has of one resource."""

import math
from dataclasses import dataclass, field

from .demand import DemandEstimator
from .messages import Grant, Holding

# The reserve covers the demand of this period: the time between two renewals
# and their round trip.
_RESERVE_S = 0.3
# Standard deviations of the expected demand that the reserve adds to its mean.
_RESERVE_DEVIATIONS = 3.0
# A full share returns its rate after this long without requests.
_IDLE_S = 0.4
# Below this fraction of the reserve an early renewal is due.
_LOW_FRACTION = 0.4
# Burst beyond this multiple of its use is returned at once.
_EXCESS_FACTOR = 1.5
# The ledger is told of demand that has changed by more than this fraction, and
# by more than an amount that makes no difference to it.
_OUTDATED_DEMAND_FRACTION = 0.5
_NEGLIGIBLE_DEMAND_PER_S = 0.2
# Multiple of the permits needed that is requested, so that shares grow ahead of
# demand.
_PERMIT_HEADROOM_FACTOR = 1.25
# Short, so that the rate follows a caller that moves to another instance.
_RATE_TIME_CONSTANT_S = 0.7
# Long, so that a single burst, which the pool can serve, does not raise the
# reserve.
_RESERVE_TIME_CONSTANT_S = 2.0


def _new_rate_demand() -> DemandEstimator:
    return DemandEstimator(time_constant_s=_RATE_TIME_CONSTANT_S)


def _new_reserve_demand() -> DemandEstimator:
    return DemandEstimator(time_constant_s=_RESERVE_TIME_CONSTANT_S)


@dataclass(slots=True)
class Bucket:
    """Rate, burst and tokens under a lease; permits use only the burst.

    Parameters
    ----------
    is_permit : bool
        Whether units are returned after use.
    is_on_demand : bool
        Whether units are lent only for waiting requests.

    Notes
    -----
    ``applied`` is the sequence number of the last applied grants that listed
    the resource. ``has_arrivals`` and ``is_reduced`` are set by arrivals and by
    reductions of the share since the last report; ``told_per_s`` is the demand
    at that time.
    """

    is_permit: bool = False
    is_on_demand: bool = False
    rate_per_s: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    refilled_s: float = 0.0
    given: float = 0.0
    returned: float = 0.0
    applied: int = 0
    has_arrivals: bool = False
    is_reduced: bool = False
    told_per_s: float = 0.0
    in_use: int = 0
    waiting: int = 0
    reserve: float = 0.0
    is_exhausted: bool = False
    answered_s: float = float('-inf')
    demand: DemandEstimator = field(default_factory=_new_rate_demand)
    reserve_demand: DemandEstimator = field(default_factory=_new_reserve_demand)

    def note_arrival(self, now_s: float) -> None:
        """Count a request that needs a unit."""
        self.has_arrivals = True
        self.demand.note_arrival(now_s)
        self.reserve_demand.note_arrival(now_s)

    def clear(self) -> None:
        """Clear rate, burst and tokens, for example when the lease ends."""
        self.rate_per_s = 0.0
        self.burst = 0.0
        self.tokens = 0.0

    def reset_counts(self) -> None:
        """Reset the token counts at the start of a new lease."""
        self.given = 0.0
        self.returned = 0.0
        self.applied = 0

    def refill(self, now_s: float) -> None:
        """Add the tokens earned until ``now_s``."""
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = now_s
        earned = elapsed_s * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + earned)

    def take(self) -> bool:
        """Take one unit; return whether there was one."""
        if self.is_permit:
            if self.in_use + 1 > self.burst:
                return False
            self.in_use += 1
            return True
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def give_back(self) -> None:
        """Return one unit; a token only while its share is still held."""
        if self.is_permit:
            self.in_use = max(0, self.in_use - 1)
        else:
            self.tokens = min(self.burst, self.tokens + 1)

    @property
    def is_low(self) -> bool:
        """Whether to request more units before they run out."""
        if self.waiting:
            return True
        if self.is_on_demand:
            return False
        if self.is_permit:
            return self.in_use > 0 and self.in_use + 1 > self.burst
        # The ledger may grant less than the requested reserve.
        return self.tokens < min(self.reserve, self.burst) * _LOW_FRACTION

    @property
    def has_excess(self) -> bool:
        """Whether much of the burst is empty after a demand peak."""
        used = max(self.tokens, self.reserve + self.waiting, 1.0)
        return not self.is_permit and self.burst > used * _EXCESS_FACTOR

    def is_changed(self, now_s: float) -> bool:
        """Return whether the ledger should know more than it was last told."""
        if self.waiting or self.is_permit or self.is_reduced:
            return True
        if self._is_demand_outdated(now_s):
            return True
        if self.is_on_demand:
            # What is not needed counts as lent until the ledger is told.
            return self.burst > 0 or self.rate_per_s > 0
        # While the demand decays, so does the share that the holder needs.
        return self.has_arrivals or self.reserve > 0 or self.has_excess

    def _is_demand_outdated(self, now_s: float) -> bool:
        change_per_s = abs(self.demand.rate_per_s(now_s) - self.told_per_s)
        limit_per_s = self.told_per_s * _OUTDATED_DEMAND_FRACTION
        return change_per_s > max(limit_per_s, _NEGLIGIBLE_DEMAND_PER_S)

    def report(self, resource: str, now_s: float) -> Holding:
        """Return empty burst to the ledger and report what is kept.

        Empty burst is useful only in the pool, where it can be filled.
        """
        self.has_arrivals = False
        self.is_reduced = False
        self.told_per_s = self.demand.rate_per_s(now_s)
        demand_per_s = self._demand_per_s(now_s)
        self.reserve = _reserve_for(self.reserve_demand.rate_per_s(now_s))
        if self.is_permit:
            return self._report_permits(resource)
        if self.is_on_demand:
            return self._report_on_demand(resource, demand_per_s)
        keep = max(self.tokens, self.reserve + self.waiting)
        self.burst = min(self.burst, keep)
        wanted = self.waiting + self.burst - self.tokens
        return Holding(
            resource,
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            returned=self.returned,
            demand_per_s=demand_per_s,
            wanted_burst=wanted if self.reserve or self.waiting else 0.0,
            reserve=self.reserve,
            applied=self.applied,
        )

    def _report_on_demand(self, resource: str, demand_per_s: float) -> Holding:
        """Keep only the tokens that waiting requests need."""
        wanted = float(self.waiting)
        kept = min(self.tokens, wanted)
        self.returned += self.tokens - kept
        self.tokens = kept
        # Empty burst is returned, so that it can be lent with new tokens.
        self.burst = kept
        return Holding(
            resource,
            rate_per_s=self.rate_per_s,
            burst=kept,
            returned=self.returned,
            demand_per_s=demand_per_s,
            wanted_burst=wanted,
            reserve=self.reserve,
            applied=self.applied,
        )

    def _demand_per_s(self, now_s: float) -> float:
        demand_per_s = self.demand.rate_per_s(now_s)
        is_full = self.tokens >= self.burst
        is_idle = self.demand.idle_s(now_s) > _IDLE_S
        # A full bucket wastes its rate, which another instance may need.
        return 0.0 if is_full and is_idle else demand_per_s

    def _report_permits(self, resource: str) -> Holding:
        wanted = float(self.in_use + self.waiting)
        if wanted:
            wanted = math.ceil(wanted * _PERMIT_HEADROOM_FACTOR)
        self.burst = max(min(self.burst, wanted), self.in_use)
        return Holding(
            resource,
            burst=self.burst,
            wanted_burst=wanted,
            applied=self.applied,
        )

    def apply(self, grant: Grant, *, sequence: int, is_adopted: bool) -> None:
        """Replace the share by what the ledger granted.

        Parameters
        ----------
        grant : Grant
            The ledger's grant.
        sequence : int
            Sequence number of the ledger's answer.
        is_adopted : bool
            Whether the ledger continues a claim; the share does not grow then.
        """
        self.applied = sequence
        rate_per_s = grant.rate_per_s
        burst = grant.burst
        if is_adopted:
            rate_per_s = min(rate_per_s, self.rate_per_s)
            burst = min(burst, self.burst)
        if rate_per_s < self.rate_per_s or burst < self.burst:
            # The ledger lends it again once this holder has confirmed it.
            self.is_reduced = True
        self.rate_per_s = rate_per_s
        self.burst = max(burst, self.in_use)
        self.is_exhausted = grant.is_exhausted
        self.is_on_demand = grant.is_on_demand
        # The ledger restarts its count if the resource was untracked meanwhile.
        tokens = self.tokens + max(0.0, grant.given - self.given)
        self.given = grant.given
        self.tokens = min(tokens, self.burst)
        self.returned += tokens - self.tokens


def _reserve_for(demand_per_s: float) -> float:
    if demand_per_s <= 0:
        return 0.0
    expected = demand_per_s * _RESERVE_S
    return 1 + expected + _RESERVE_DEVIATIONS * math.sqrt(expected)

"""Pool of one resource: what the ledger has lent and what is left."""

import math
from dataclasses import dataclass, field

from .messages import Quota

# Multiple of the measured demand that is lent as rate, so that shares grow
# ahead of demand.
_RATE_HEADROOM_FACTOR = 1.1
# Fraction of the burst that is lent to idle holders as base shares.
_BASE_FRACTION = 0.25
_BASE_MIN_HOLDERS = 4
# A reserve of fewer tokens than this often runs out before a renewal.
_MIN_RESERVE_TOKENS = 3.0
# Demand from this fraction of the rate on counts as exhausting the rate.
_EXHAUSTED_FRACTION = 0.95
# Bursts of a caller within its rate must not look like exhausting demand.
_DEMAND_TIME_CONSTANT_S = 1.5
_ROUNDING_ERROR_TOKENS = 1e-9
# Fraction of the burst lent as reserves; the rest stays available for bursts at
# any holder.
_RESERVE_FRACTION = 0.5


@dataclass(slots=True)
class Share:
    """Upper bound of what one holder has of a resource, and its demand.

    ``answered`` is the sequence number of the last answer that listed it.
    """

    rate_per_s: float = 0.0
    burst: float = 0.0
    given: float = 0.0
    returned: float = 0.0
    demand_per_s: float = 0.0
    wanted_burst: float = 0.0
    reserve: float = 0.0
    answered: int = 0


@dataclass(slots=True)
class Pool:
    """What is lent of a quota, and the tokens of what is not lent.

    Every share counts with the most that its holder may hold. Tokens are
    transferred only with burst that has room for them, so that the tokens in
    the pool, at all holders and in messages in transit never exceed the burst.
    """

    quota: Quota
    now_s: float
    tokens: float = 0.0
    lent_per_s: float = 0.0
    lent_burst: float = 0.0
    demand_per_s: float = 0.0
    steady_demand_per_s: float = 0.0
    wanted_burst: float = 0.0
    reserve: float = 0.0
    active_holders: int = 0
    shares: dict[int, Share] = field(default_factory=dict)

    @property
    def free_per_s(self) -> float:
        """Rate that is not lent."""
        return max(0.0, self.quota.rate_per_s - self.lent_per_s)

    @property
    def free_burst(self) -> float:
        """Burst that is not lent."""
        return max(0.0, self.quota.burst - self.lent_burst)

    @property
    def is_on_demand(self) -> bool:
        """Whether tokens are lent only for waiting requests.

        If many holders have few requests each, tokens kept idle at some of
        them are missing at the others.
        """
        if self.quota.rate_per_s == 0:
            return False
        lendable = self.quota.burst * _RESERVE_FRACTION
        return lendable < _MIN_RESERVE_TOKENS * self.active_holders

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing is left to lend and demand reaches the rate."""
        limit = self.quota.rate_per_s * _EXHAUSTED_FRACTION
        if self.quota.rate_per_s == 0:
            return self.free_burst < 1
        return self.tokens < 1 and self.steady_demand_per_s >= limit

    def refill(self, now_s: float) -> None:
        """Add the tokens that the unlent rate earned until ``now_s``."""
        elapsed_s = now_s - self.now_s
        if elapsed_s <= 0:
            return
        self.now_s = now_s
        self.add_tokens(elapsed_s * self.free_per_s)
        weight = math.exp(-elapsed_s / _DEMAND_TIME_CONSTANT_S)
        change_per_s = self.steady_demand_per_s - self.demand_per_s
        self.steady_demand_per_s = self.demand_per_s + change_per_s * weight

    def add_tokens(self, tokens: float) -> None:
        """Add tokens as far as the unlent burst has room for them."""
        self.tokens = min(self.free_burst, self.tokens + tokens)

    def set_quota(self, quota: Quota) -> None:
        """Change the quota; what is lent follows with the next grants."""
        self.quota = quota
        self.add_tokens(0)

    def set_lent(self, share: Share, rate_per_s: float, burst: float) -> None:
        """Set the rate and burst that count as lent for ``share``."""
        self.lent_per_s += rate_per_s - share.rate_per_s
        share.rate_per_s = rate_per_s
        if burst != share.burst:
            self.lent_burst += burst - share.burst
            share.burst = burst
            self.add_tokens(0)

    def update_demand(
        self,
        share: Share,
        *,
        demand_per_s: float,
        wanted_burst: float,
        reserve: float,
    ) -> None:
        """Record the demand that the holder of ``share`` reported."""
        self.demand_per_s += demand_per_s - share.demand_per_s
        self.wanted_burst += wanted_burst - share.wanted_burst
        self.reserve += reserve - share.reserve
        self.active_holders += (reserve > 0) - (share.reserve > 0)
        share.demand_per_s = demand_per_s
        share.wanted_burst = wanted_burst
        share.reserve = reserve

    def remove(self, lease_id: int) -> None:
        """Remove the share of an ended lease.

        The totals are summed again, which clears the accumulated rounding
        errors of the running totals.
        """
        self.shares.pop(lease_id, None)
        shares = self.shares.values()
        self.lent_per_s = sum(share.rate_per_s for share in shares)
        self.lent_burst = sum(share.burst for share in shares)
        self.demand_per_s = sum(share.demand_per_s for share in shares)
        self.wanted_burst = sum(share.wanted_burst for share in shares)
        self.reserve = sum(share.reserve for share in shares)
        self.active_holders = sum(share.reserve > 0 for share in shares)

    def desired_quota(self, share: Share) -> Quota:
        """Return what the holder should have, in proportion to its demand."""
        if self.is_on_demand:
            return Quota(0.0, min(share.wanted_burst, self.quota.burst))
        rate_per_s = 0.0
        if share.demand_per_s > 0:
            # Rounding can leave a running total below one of its parts.
            total = max(self.demand_per_s, share.demand_per_s)
            scale = self.quota.rate_per_s / total
            rate_per_s = share.demand_per_s * min(_RATE_HEADROOM_FACTOR, scale)
        base = (
            self.quota.burst
            * _BASE_FRACTION
            / max(_BASE_MIN_HOLDERS, len(self.shares))
        )
        limit = self.quota.burst
        burst = base if base >= 1 and self.quota.rate_per_s > 0 else 0.0
        return Quota(
            rate_per_s, min(max(burst, self._desired_burst(share)), limit)
        )

    def _desired_burst(self, share: Share) -> float:
        if not share.wanted_burst and not share.reserve:
            return 0.0
        total_burst = self.quota.burst
        reserved = min(max(0.0, self.reserve), total_burst * _RESERVE_FRACTION)
        wanted = 0.0
        if share.reserve > 0:
            wanted += (
                share.reserve * reserved / max(self.reserve, share.reserve)
            )
        if share.wanted_burst > 0:
            total = max(self.wanted_burst, share.wanted_burst)
            scale = min(1.0, (total_burst - reserved) / total)
            wanted += share.wanted_burst * scale
        if self.quota.rate_per_s == 0:
            # A fraction of a permit is useless to any holder.
            wanted = math.floor(wanted)
        # Less than one token admits nothing.
        return max(1.0, wanted)

    def grow(self, share: Share, desired: Quota) -> Quota:
        """Lend up to ``desired`` with tokens; return what is granted."""
        rate_per_s = min(desired.rate_per_s, share.rate_per_s + self.free_per_s)
        burst = min(desired.burst, share.burst + self.free_burst)
        if burst < 1:
            burst = min(burst, share.burst)
        # Tokens in transit must fit on top of all that the holder may have.
        given = min(self.tokens, max(0.0, burst - share.burst))
        if self.is_on_demand:
            given = _part_that_completes(share.burst, given)
            burst = min(burst, share.burst + given)
        self.tokens -= given
        share.given += given
        self.set_lent(
            share,
            max(share.rate_per_s, rate_per_s),
            max(share.burst, burst),
        )
        return Quota(rate_per_s, burst)


def _part_that_completes(held: float, available: float) -> float:
    """Return how much of ``available`` makes whole tokens of what is held.

    A fraction of a token is useless to its holder and missing at the others.
    """
    whole = math.floor(held + available + _ROUNDING_ERROR_TOKENS)
    return min(available, max(0.0, whole - held))

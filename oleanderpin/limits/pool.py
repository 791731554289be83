"""The ledger's account of one resource."""

import math
from dataclasses import dataclass, field

from .messages import Quota

# Rate lent beyond the measured demand, so that shares grow ahead of need.
_HEADROOM = 1.1
# Part of the burst that stands ready as base shares of idle holders.
_BASE_PART = 0.25
_BASE_MIN_HOLDERS = 4
# A reserve of fewer tokens than this often runs out before a renewal.
_LEAST_RESERVE = 3.0
# From this part of the rate on, demand counts as exhausting the rate.
_EXHAUSTED_PART = 0.95
# Bursts of a caller within its rate must not look like exhausting demand.
_DEMAND_TIME_CONSTANT_S = 1.5
# Part of the burst lent as reserves; the rest stays where bursts can get it.
_RESERVE_PART = 0.5


@dataclass(slots=True)
class Share:
    """The most that one holder may hold of a resource, and its demand."""

    rate_per_s: float = 0.0
    burst: float = 0.0
    given: float = 0.0
    returned: float = 0.0
    demand_per_s: float = 0.0
    wanted_burst: float = 0.0
    reserve: float = 0.0


@dataclass(slots=True)
class Pool:
    """What is lent of a whole and the tokens of what is not lent.

    Every share counts with the most that its holder may hold. Tokens move
    together with burst that has room for them, so that the tokens of the
    pool, of all holders and of messages in transit never exceed the burst.
    """

    whole: Quota
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
        return max(0.0, self.whole.rate_per_s - self.lent_per_s)

    @property
    def free_burst(self) -> float:
        """Burst that is not lent."""
        return max(0.0, self.whole.burst - self.lent_burst)

    @property
    def is_on_demand(self) -> bool:
        """Whether tokens are lent for waiting requests only.

        Where many holders have few requests each, tokens that lie with some
        of them are missing at all others.
        """
        if self.whole.rate_per_s == 0:
            return False
        lendable = self.whole.burst * _RESERVE_PART
        return lendable < _LEAST_RESERVE * self.active_holders

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing is left to give and demand reaches the rate."""
        limit = self.whole.rate_per_s * _EXHAUSTED_PART
        if self.whole.rate_per_s == 0:
            return self.free_burst < 1
        return self.tokens < 1 and self.steady_demand_per_s >= limit

    def refill(self, now_s: float) -> None:
        """Add the tokens that the unlent rate earned until ``now_s``."""
        elapsed_s = now_s - self.now_s
        if elapsed_s <= 0:
            return
        self.now_s = now_s
        self.put_tokens(elapsed_s * self.free_per_s)
        weight = math.exp(-elapsed_s / _DEMAND_TIME_CONSTANT_S)
        change_per_s = self.steady_demand_per_s - self.demand_per_s
        self.steady_demand_per_s = self.demand_per_s + change_per_s * weight

    def put_tokens(self, tokens: float) -> None:
        """Add tokens as far as the unlent burst has room for them."""
        self.tokens = min(self.free_burst, self.tokens + tokens)

    def replace_whole(self, whole: Quota) -> None:
        """Change the whole; what is lent follows with the next grants."""
        self.whole = whole
        self.put_tokens(0)

    def count(self, share: Share, rate_per_s: float, burst: float) -> None:
        """Count ``share`` with a new rate and burst."""
        self.lent_per_s += rate_per_s - share.rate_per_s
        share.rate_per_s = rate_per_s
        if burst != share.burst:
            self.lent_burst += burst - share.burst
            share.burst = burst
            self.put_tokens(0)

    def note_demand(
        self,
        share: Share,
        *,
        demand_per_s: float,
        wanted_burst: float,
        reserve: float,
    ) -> None:
        """Record what the holder could use."""
        self.demand_per_s += demand_per_s - share.demand_per_s
        self.wanted_burst += wanted_burst - share.wanted_burst
        self.reserve += reserve - share.reserve
        self.active_holders += (reserve > 0) - (share.reserve > 0)
        share.demand_per_s = demand_per_s
        share.wanted_burst = wanted_burst
        share.reserve = reserve

    def remove(self, lease_id: int) -> None:
        """Forget the share of an ended lease.

        The totals are summed again, which ends the rounding errors of the
        running totals.
        """
        self.shares.pop(lease_id, None)
        shares = self.shares.values()
        self.lent_per_s = sum(share.rate_per_s for share in shares)
        self.lent_burst = sum(share.burst for share in shares)
        self.demand_per_s = sum(share.demand_per_s for share in shares)
        self.wanted_burst = sum(share.wanted_burst for share in shares)
        self.reserve = sum(share.reserve for share in shares)
        self.active_holders = sum(share.reserve > 0 for share in shares)

    def target(self, share: Share) -> Quota:
        """Return what the holder should have, in proportion to demand."""
        if self.is_on_demand:
            return Quota(0.0, min(share.wanted_burst, self.whole.burst))
        rate_per_s = 0.0
        if share.demand_per_s > 0:
            # Rounding can leave a running total below one of its parts.
            total = max(self.demand_per_s, share.demand_per_s)
            scale = self.whole.rate_per_s / total
            rate_per_s = share.demand_per_s * min(_HEADROOM, scale)
        base = (
            self.whole.burst
            * _BASE_PART
            / max(_BASE_MIN_HOLDERS, len(self.shares))
        )
        limit = self.whole.burst
        burst = base if base >= 1 and self.whole.rate_per_s > 0 else 0.0
        return Quota(rate_per_s, min(max(burst, self._wanted(share)), limit))

    def _wanted(self, share: Share) -> float:
        if not share.wanted_burst and not share.reserve:
            return 0.0
        whole = self.whole.burst
        reserved = min(max(0.0, self.reserve), whole * _RESERVE_PART)
        wanted = 0.0
        if share.reserve > 0:
            wanted += (
                share.reserve * reserved / max(self.reserve, share.reserve)
            )
        if share.wanted_burst > 0:
            total = max(self.wanted_burst, share.wanted_burst)
            scale = min(1.0, (whole - reserved) / total)
            wanted += share.wanted_burst * scale
        if self.whole.rate_per_s == 0:
            # A part of a permit is of no use to anyone.
            wanted = math.floor(wanted)
        # Less than one token admits nothing.
        return max(1.0, wanted)

    def grow(self, share: Share, target: Quota) -> Quota:
        """Lend up to ``target`` with tokens; return what is granted."""
        rate_per_s = min(target.rate_per_s, share.rate_per_s + self.free_per_s)
        burst = min(target.burst, share.burst + self.free_burst)
        if burst < 1:
            burst = min(burst, share.burst)
        # Tokens in transit must fit beside all that the holder may hold.
        given = min(self.tokens, max(0.0, burst - share.burst))
        self.tokens -= given
        share.given += given
        self.count(
            share,
            max(share.rate_per_s, rate_per_s),
            max(share.burst, burst),
        )
        return Quota(rate_per_s, burst)

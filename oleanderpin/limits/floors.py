"""Fraction of each rate that an instance may use without the control leader.

Load pattern: the control leader is lost, or all processes restart at once. No
share can be lent until a new leader knows what the old one lent. Without a
floor every request of a rate-limited account would be rejected until then.
"""

from dataclasses import dataclass

from ..control.state import Account, ControlState

# Divisor while fewer instances are registered; instances that have just started
# are not registered yet.
_MIN_INSTANCE_COUNT = 8
# A floor of one token is empty after each request.
_MIN_FLOOR_TOKENS = 3.0


def floor_instance_count(state: ControlState) -> int:
    """Return the number of instances among which floors are divided."""
    return max(len(state.share_holders), _MIN_INSTANCE_COUNT)


def has_floor(burst: float, fraction: float, instance_count: float) -> bool:
    """Return whether every instance has a few tokens of floor.

    Accounts with a smaller burst have no floors.

    Parameters
    ----------
    burst : float
        Burst of the account.
    fraction : float
        Fraction of the burst that is divided among the instances.
    instance_count : float
        Number of instances.
    """
    return burst * fraction >= _MIN_FLOOR_TOKENS * instance_count


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_s: float


class Floors:
    """Token buckets with an equal share of a fixed fraction of each rate.

    The ledger lends only the rest, so that floors and shares together do not
    exceed the rate; of an account without floors it lends all. The instance
    count never decreases, so that partitioned instances, which cannot see each
    other, stay within the bound.

    Parameters
    ----------
    percent : float
        Percentage of each rate that is divided among the instances.
    """

    def __init__(self, percent: float) -> None:
        """Start with empty buckets and an unknown instance count."""
        self._fraction = percent / 100
        self._instance_count = 0
        self._buckets: dict[str, _Bucket] = {}

    def note_instances(self, count: int) -> None:
        """Record the number of instances; lower counts are ignored."""
        self._instance_count = max(self._instance_count, count)

    def take(self, account: Account, now_s: float) -> bool:
        """Take one token of an account; return whether there was one."""
        if not self._fraction or not self._instance_count:
            return False
        own_fraction = self._fraction / self._instance_count
        if not has_floor(account.burst, self._fraction, self._instance_count):
            return False
        max_tokens = account.burst * own_fraction
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = _Bucket(0.0, now_s)
            self._buckets[account.name] = bucket
        earned = (now_s - bucket.refilled_s) * account.rate_per_s * own_fraction
        bucket.tokens = min(max_tokens, bucket.tokens + earned)
        bucket.refilled_s = now_s
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def give_back(self, account: Account) -> None:
        """Return a token that was taken and not used.

        The next `take` limits the tokens to the share of this instance.
        """
        bucket = self._buckets.get(account.name)
        if bucket is not None:
            bucket.tokens += 1

"""The part of each rate that an instance has without asking the leader.

Load pattern: the control leader is lost, or all processes restart at once. No
share can be lent until a new leader knows what the old one lent, and without a
floor every request with a limited account would be refused meanwhile.
"""

from dataclasses import dataclass

from ..control.state import Account, ControlState

# Instances that have just started are not registered yet.
_LEAST_SHARERS = 8


def floor_instance_count(state: ControlState) -> int:
    """Return the number of instances that divide the floors."""
    return max(len(state.share_holders), _LEAST_SHARERS)


def has_floor(burst: float, part: float, sharers: float) -> bool:
    """Return whether an account's floors are of use.

    One token for each instance would exceed a small burst.

    Parameters
    ----------
    burst : float
        Burst of the account.
    part : float
        Part of it that is divided.
    sharers : float
        Instances that divide it.
    """
    return burst * part >= sharers


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_s: float


class Floors:
    """Token buckets with an even part of a fixed part of each rate.

    The ledger lends only the rest, so that both together do not exceed the
    rate; it lends all of an account without floors. The number of instances
    never falls, so that instances that cannot hear of each other keep the
    bound.

    Parameters
    ----------
    percent : float
        Part of each rate that is divided.
    """

    def __init__(self, percent: float) -> None:
        """Start with empty buckets and no other instance known."""
        self._part = percent / 100
        self._sharers = 0
        self._buckets: dict[str, _Bucket] = {}

    def note_sharers(self, count: int) -> None:
        """Take how many instances are alive."""
        self._sharers = max(self._sharers, count)

    def take(self, account: Account, now_s: float) -> bool:
        """Take one token of an account; return whether there was one."""
        if not self._part or not self._sharers:
            return False
        part = self._part / self._sharers
        if not has_floor(account.burst, self._part, self._sharers):
            return False
        most = account.burst * part
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = _Bucket(0.0, now_s)
            self._buckets[account.name] = bucket
        earned = (now_s - bucket.refilled_s) * account.rate_per_s * part
        bucket.tokens = min(most, bucket.tokens + earned)
        bucket.refilled_s = now_s
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

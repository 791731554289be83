"""Admits requests within the share of the client account's rate."""

import threading
from typing import Any

from ..control.state import Account
from ..core.errors import Refusal, RefusalDetails
from ..core.plugin import Plugin, plugins


class _Bucket:
    def __init__(self, now_s: float) -> None:
        self.tokens = 0.0
        self.updated_s = now_s


@plugins.register('rate-limiter')
class RateLimiter(Plugin):
    """Token buckets, one for each client account."""

    def __init__(self, kernel: Any) -> None:
        """Start without buckets."""
        super().__init__(kernel)
        self._lock = threading.Lock()
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, account: Account, *, deadline_s: float) -> None:
        """Take one token of the account.

        Parameters
        ----------
        account : Account
            Client account of the request.
        deadline_s : float
            Monotonic time by which the request must be answered.

        Raises
        ------
        Refusal
            If the account is over its rate.
        """
        now_s = self.kernel.clock.now_s()
        instances = max(1, len(self.kernel.settings.peers.seeds))
        rate_per_s = account.rate_per_s / instances
        burst = max(1.0, account.burst / instances)
        with self._lock:
            bucket = self._buckets.get(account.name)
            if bucket is None:
                bucket = _Bucket(now_s)
                bucket.tokens = burst
                self._buckets[account.name] = bucket
            gained = (now_s - bucket.updated_s) * rate_per_s
            bucket.tokens = min(burst, bucket.tokens + gained)
            bucket.updated_s = now_s
            if bucket.tokens >= 1:
                bucket.tokens -= 1
                return
        raise Refusal(
            'over_rate',
            f'account {account.name!r} is over its rate',
            remedy='send less or ask the operator for a higher rate',
            details=RefusalDetails(status=429, retry_after_s=1 / rate_per_s),
        )

"""Admits requests within this instance's share of the account's rate."""

from typing import Any

from ..control.state import Account
from ..core.errors import Refusal, RefusalDetails
from ..core.plugin import Plugin, plugins
from .allocator import account_resource
from .shares import AcquireResult, ShareHolder

_MIN_RETRY_AFTER_S = 0.1


@plugins.register('rate-limiter')
class RateLimiter(Plugin):
    """Takes one token of the account's share for each request."""

    def __init__(self, kernel: Any) -> None:
        """Look up the share holder."""
        super().__init__(kernel)
        self._shares = kernel.plugin(ShareHolder)

    def admit(self, account: Account, *, deadline_s: float) -> None:
        """Take one token, requesting more from the leader when none is left.

        Parameters
        ----------
        account : Account
            Client account of the request.
        deadline_s : float
            Monotonic time until which the request may wait: the earlier of
            its deadline and the longest wait that the profile allows.

        Raises
        ------
        Refusal
            ``over_rate`` if the leader has no token to lend;
            ``no_rate_share`` if the leader was not reached in time.
        """
        resource = account_resource(account.name)
        result = self._shares.acquire(resource, deadline_s=deadline_s)
        if result != 'ok':
            raise self._refusal(account, resource, result)

    def _refusal(
        self, account: Account, resource: str, result: AcquireResult
    ) -> Refusal:
        next_s = self._shares.holder.next_unit_s(resource)
        if next_s is None:
            next_s = 1 / account.rate_per_s
        retry_after_s = max(next_s, _MIN_RETRY_AFTER_S)
        if result == 'exhausted':
            return Refusal(
                'over_rate',
                f'account {account.name!r} is over its rate',
                remedy='send less or ask the operator for a higher rate',
                details=RefusalDetails(status=429, retry_after_s=retry_after_s),
            )
        return Refusal(
            'no_rate_share',
            f'no share of the rate of {account.name!r} in time ({result})',
            remedy='try again or try another instance',
            details=RefusalDetails(
                retry_after_s=retry_after_s, suggest_instances=True
            ),
        )

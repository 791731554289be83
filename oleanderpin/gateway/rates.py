"""Rate limits of client accounts, without blocking the event loop."""

import asyncio
import random
from typing import Any

from ..control.state import Account
from ..control.view import ControlView
from ..core.clock import monotonic_s
from ..core.errors import Refusal, RefusalDetails
from ..limits.allocator import account_resource
from ..limits.division import is_owned_in_parts
from ..limits.floors import Floors, floor_instance_count
from ..limits.shares import ShareHolder
from .messages import AccountKind, TokenSource
from .part_client import PartClient
from .traffic import TrafficMeter

# A reply of the leader in another region arrives within two intervals.
_POLL_INTERVAL_S = 0.02
_MIN_RETRY_AFTER_S = 0.2
# Jitter that keeps refused callers from retrying at the same moment.
_RETRY_JITTER_S = 0.2
# Longest wait for a token of the own share while the leader is unreachable.
_MAX_CUT_OFF_WAIT_S = 0.1


class AccountRateLimiter:
    """Admits requests within the rate limit of their client account.

    Parameters
    ----------
    kernel : Kernel
        Provides the rate shares of this instance, and the control instances
        that own the rates of small accounts in parts.
    meter : TrafficMeter
        Counts the waits for tokens.
    """

    def __init__(self, kernel: Any, meter: TrafficMeter) -> None:
        """Start with undivided floors."""
        self._view = kernel.plugin(ControlView)
        self._own_name = kernel.settings.instance.name
        self._shares = kernel.plugin(ShareHolder)
        self._random = random.Random()
        self._settings = kernel.settings.limits
        self._floors = Floors(self._settings.floor_percent)
        self._parts = PartClient(kernel)
        self._meter = meter

    def run_maintenance(self) -> None:
        """Divide the floors, once this instance is registered as a holder."""
        state = self._view.state
        if self._own_name in state.share_holders:
            self._floors.note_instances(floor_instance_count(state))

    async def admit(
        self, account: Account, *, deadline_s: float
    ) -> TokenSource:
        """Take one token; wait for the leader while the share is short.

        Parameters
        ----------
        account : Account
            Client account of the request.
        deadline_s : float
            Monotonic time until which the request may wait.

        Returns
        -------
        str
            Where the token comes from, for `give_back`; empty if the account
            needs none.

        Raises
        ------
        Refusal
            ``over_rate`` or ``no_rate_share``.
        """
        if account.rate_per_s <= 0:
            return ''
        is_small = is_owned_in_parts(account, self._view.state, self._settings)
        kind: AccountKind = 'small' if is_small else 'divided'
        take = self._take_from_parts if is_small else self._take_divided
        started_s = monotonic_s()
        try:
            source = await take(account, deadline_s)
        except Refusal as refusal:
            waited_s = monotonic_s() - started_s
            self._meter.add_token_wait(kind, refusal.reason, waited_s)
            raise
        self._meter.add_token_wait(kind, 'ok', monotonic_s() - started_s)
        return source

    async def _take_divided(
        self, account: Account, deadline_s: float
    ) -> TokenSource:
        if self._floors.take(account, monotonic_s()):
            return 'floor'
        resource = account_resource(account.name)
        holder = self._shares.holder
        holder.note_arrival(resource)
        result = self._shares.take_now(resource)
        if result == 'short':
            holder.note_waiting(resource, 1)
            try:
                result = await self._wait_for_token(resource, deadline_s)
            finally:
                holder.note_waiting(resource, -1)
        if result != 'ok':
            next_s = self._shares.holder.next_unit_s(resource)
            raise self._refusal(
                account, result, kind='divided', wait_s=next_s or 0.0
            )
        return 'share'

    def give_back(self, account: Account, source: TokenSource) -> None:
        """Return the token of a request that no target was sent.

        Parameters
        ----------
        account : Account
            Client account of the request.
        source : str
            Result of `admit`.
        """
        if source == 'floor':
            self._floors.give_back(account)
        elif source == 'share':
            self._shares.holder.give_back(account_resource(account.name))
        elif source == 'part':
            self._parts.give_back(account.name)

    async def _take_from_parts(
        self, account: Account, deadline_s: float
    ) -> TokenSource:
        taken = await self._parts.take(account.name, deadline_s=deadline_s)
        if taken.outcome != 'ok':
            raise self._refusal(
                account, taken.outcome, kind='small', wait_s=taken.wait_s
            )
        return 'part'

    async def _wait_for_token(self, resource: str, deadline_s: float) -> Any:
        result: Any = 'short'
        if self._shares.is_cut_off:
            # Tokens can only come from the refill of the own share.
            earned_s = self._shares.holder.next_unit_s(resource)
            if earned_s is None or earned_s > _MAX_CUT_OFF_WAIT_S:
                return result
        while result == 'short' and monotonic_s() < deadline_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
            result = self._shares.take_now(resource)
        return result

    def _refusal(
        self,
        account: Account,
        result: str,
        *,
        kind: AccountKind,
        wait_s: float,
    ) -> Refusal:
        details = RefusalDetails(
            status=429,
            retry_after_s=max(wait_s, _MIN_RETRY_AFTER_S)
            + self._random.uniform(0, _RETRY_JITTER_S),
            log_fields={'account': account.name, 'account_kind': kind},
        )
        if result == 'exhausted':
            return Refusal(
                'over_rate',
                f'account {account.name!r} is over its rate',
                remedy='send less or ask the operator for a higher rate',
                details=details,
            )
        return Refusal(
            'no_rate_share',
            f'no share of the rate of {account.name!r} in time',
            remedy='try again or try another instance',
            details=details,
        )

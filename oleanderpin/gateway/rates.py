"""Takes a client account's rate without blocking the event loop."""

import asyncio
import random
import time
from typing import Any

from ..control.state import Account
from ..control.view import ControlView
from ..core.errors import Refusal, RefusalDetails
from ..limits.allocator import account_resource
from ..limits.floors import Floors, floor_instance_count
from ..limits.shares import ShareHolder

# An answer of the leader in another region arrives within two of these.
_POLL_S = 0.02
_MIN_RETRY_AFTER_S = 0.2
# Refused callers return over this time, not together.
_SPREAD_S = 0.2
# Longest wait for a unit of the own share without the leader.
_SHORT_WAIT_S = 0.1


class RateGate:
    """Admits requests within the rate of their client account.

    Parameters
    ----------
    kernel : Kernel
        Gives the shares of this instance.
    """

    def __init__(self, kernel: Any) -> None:
        """Keep the holder of the shares."""
        self._view = kernel.plugin(ControlView)
        self._own_name = kernel.settings.instance.name
        self._shares = kernel.plugin(ShareHolder)
        self._random = random.Random()
        self._floors = Floors(kernel.settings.limits.floor_percent)

    def upkeep(self) -> None:
        """Divide the floors, once this instance is registered as a holder."""
        state = self._view.state
        if self._own_name in state.share_holders:
            self._floors.note_sharers(floor_instance_count(state))

    async def admit(self, account: Account, *, deadline_s: float) -> None:
        """Take one token, waiting for the leader while the share is short.

        Parameters
        ----------
        account : Account
            Client account of the request.
        deadline_s : float
            Monotonic time until which the request may wait.

        Raises
        ------
        Refusal
            ``over_rate`` or ``no_rate_share``.
        """
        if account.rate_per_s <= 0:
            return
        if self._floors.take(account, time.monotonic()):
            return
        resource = account_resource(account.name)
        holder = self._shares.holder
        holder.note_arrival(resource)
        result = self._shares.take_now(resource)
        if result == 'short':
            holder.note_waiting(resource, 1)
            try:
                result = await self._wait(resource, deadline_s)
            finally:
                holder.note_waiting(resource, -1)
        if result != 'ok':
            raise self._refusal(account, resource, result)

    async def _wait(self, resource: str, deadline_s: float) -> Any:
        result: Any = 'short'
        if self._shares.is_cut_off:
            # Only what the own share earns can come.
            earned_s = self._shares.holder.next_unit_s(resource)
            if earned_s is None or earned_s > _SHORT_WAIT_S:
                return result
        while result == 'short' and time.monotonic() < deadline_s:
            await asyncio.sleep(_POLL_S)
            result = self._shares.take_now(resource)
        return result

    def _refusal(self, account: Account, resource: str, result: str) -> Refusal:
        next_s = self._shares.holder.next_unit_s(resource)
        details = RefusalDetails(
            status=429,
            retry_after_s=max(next_s or 0.0, _MIN_RETRY_AFTER_S)
            + self._random.uniform(0, _SPREAD_S),
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

"""Lends tokens of client accounts to the gateways of a region.

Load pattern: many gateways get a few requests a second of each small account.
If each of them borrowed from the control leader, every request would wait for
a round trip to it, longer with each gateway that borrows, and tokens would lie
where no request comes. Instead one control instance of each region borrows for
all of its gateways, so that the leader has a few holders for each account, at
any number of gateways.
"""

import threading
from dataclasses import dataclass
from typing import Any

from ..core.plugin import Plugin, plugins
from ..wire.generated.lending import Lending
from ..wire.generated.lending.ttypes import (
    TakeReply,
    TokenGrant,
    TokenRequest,
)
from ..wire.server import PeerServer
from .allocator import account_resource
from .shares import ShareHolder

# A gateway that does not call again within this time no longer waits.
_WAITING_VALID_S = 1.0


class _LendingHandler:
    """Serves the Thrift service ``Lending``."""

    def __init__(self, lender: 'TokenLender') -> None:
        self._lender = lender

    def take(self, instance: str, requests: list[TokenRequest]) -> TakeReply:
        return self._lender.take(instance, requests)


@dataclass(slots=True)
class _Waiting:
    count: int
    noted_s: float


@plugins.register('token-lender')
class TokenLender(Plugin):
    """Takes tokens from the shares of this instance for gateways."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._shares = kernel.plugin(ShareHolder)
        self._lock = threading.Lock()
        self._waiting: dict[tuple[str, str], _Waiting] = {}
        kernel.plugin(PeerServer).register(
            'Lending', Lending.Processor(_LendingHandler(self))
        )

    def take(self, instance: str, requests: list[TokenRequest]) -> TakeReply:
        """Take tokens for the waiting requests of a gateway.

        Does not wait: the gateway calls again while requests wait there.

        Parameters
        ----------
        instance : str
            Name of the gateway.
        requests : list of TokenRequest
            What it needs of each account.
        """
        with self._lock:
            self._drop_outdated()
            grants = [self._take_one(instance, each) for each in requests]
        return TakeReply(grants=grants, is_cut_off=self._shares.is_cut_off)

    def _take_one(self, instance: str, request: TokenRequest) -> TokenGrant:
        resource = account_resource(request.account)
        holder = self._shares.holder
        for _ in range(request.arrivals):
            holder.note_arrival(resource)
        for _ in range(request.returned):
            holder.give_back(resource)
        granted = 0
        result = 'ok'
        while granted < request.waiting and result == 'ok':
            result = self._shares.take_now(resource)
            granted += result == 'ok'
        is_exhausted = result == 'exhausted'
        waiting = 0 if is_exhausted else request.waiting - granted
        self._note_waiting((instance, resource), waiting)
        return TokenGrant(request.account, granted, is_exhausted)

    def _note_waiting(self, key: tuple[str, str], count: int) -> None:
        """Replace the number of requests of a gateway that wait."""
        last = self._waiting.pop(key, None)
        last_count = last.count if last else 0
        if count != last_count:
            self._shares.holder.note_waiting(key[1], count - last_count)
        if count:
            now_s = self.kernel.clock.now_s()
            self._waiting[key] = _Waiting(count, now_s)

    def _drop_outdated(self) -> None:
        outdated_s = self.kernel.clock.now_s() - _WAITING_VALID_S
        for key, waiting in list(self._waiting.items()):
            # Ordered by time, since a newer entry is added at the end.
            if waiting.noted_s > outdated_s:
                return
            self._note_waiting(key, 0)

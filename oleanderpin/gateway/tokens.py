"""Takes tokens of small accounts from the lenders of the region."""

import asyncio
import time
from collections import deque
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Literal

import xxhash

from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..membership.peers import Peer, Peers
from ..wire.generated.lending.ttypes import TakeReply, TokenRequest
from ..wire.network import PeerNetwork

# Longer than a lender holds a call, by a round trip on a full link.
_CALL_TIMEOUT_S = 0.6
# Pause between calls while requests wait and the lender has no token.
_POLL_INTERVAL_S = 0.01
# For this long after a failed call, the own share is used instead.
_BACKOFF_S = 1.0
# Calls in progress, one for each account.
_MAX_THREADS = 16

TokenResult = Literal['ok', 'exhausted', 'short', 'unavailable']


def lender_address(
    peers: Iterable[Peer], region: str, account: str
) -> str | None:
    """Return the address of the control instance that lends to a region.

    Rendezvous hashing chooses the same one at all gateways of the region, so
    that few instances hold tokens of an account.

    Parameters
    ----------
    peers : iterable of Peer
        Live instances.
    region : str
        Region of the gateway.
    account : str
        Client account.

    Returns
    -------
    str or None
        None if the region has no control instance.
    """
    lenders = [
        peer
        for peer in peers
        if 'control' in peer.roles and peer.region == region
    ]
    if not lenders:
        return None
    return min(
        lenders,
        key=lambda peer: xxhash.xxh3_64_intdigest(
            f'{account}/{peer.name}'.encode()
        ),
    ).peer_address


class _AccountTokens:
    """Requests that wait for tokens of one account; one call at a time."""

    def __init__(self, tokens: 'RegionTokens', account: str) -> None:
        self._tokens = tokens
        self._account = account
        self._waiting: deque[asyncio.Future[TokenResult]] = deque()
        self._arrivals = 0
        self._unused = 0
        self._task: asyncio.Task[None] | None = None

    async def take(self, deadline_s: float) -> TokenResult:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[TokenResult] = loop.create_future()
        self._waiting.append(future)
        self._arrivals += 1
        if self._task is None or self._task.done():
            self._task = loop.create_task(self._run())
        try:
            async with asyncio.timeout(deadline_s - time.monotonic()):
                return await future
        except TimeoutError:
            return 'short'
        finally:
            if future in self._waiting:
                self._waiting.remove(future)

    def give_back(self) -> None:
        # Told with the next call.
        self._unused += 1

    async def _run(self) -> None:
        while self._waiting:
            try:
                reply = await self._tokens.call(
                    self._account, self._next_request()
                )
            except UnavailableError:
                EVENTS.labels('limits', 'lender_failed').inc()
                self._resolve_all('unavailable')
                return
            self._apply(reply)
            if reply.is_cut_off:
                self._resolve_all('unavailable')
            await asyncio.sleep(_POLL_INTERVAL_S if self._waiting else 0)

    def _next_request(self) -> TokenRequest:
        request = TokenRequest(
            account=self._account,
            arrivals=self._arrivals,
            waiting=len(self._waiting),
            returned=self._unused,
        )
        self._arrivals = 0
        self._unused = 0
        return request

    def _apply(self, reply: TakeReply) -> None:
        for grant in reply.grants:
            for _ in range(grant.granted):
                if self._waiting:
                    _resolve(self._waiting.popleft(), 'ok')
                else:
                    # The request gave up during the call.
                    self._unused += 1
            if grant.is_exhausted:
                self._resolve_all('exhausted')

    def _resolve_all(self, result: TokenResult) -> None:
        while self._waiting:
            _resolve(self._waiting.popleft(), result)


def _resolve(future: asyncio.Future[TokenResult], result: TokenResult) -> None:
    if not future.done():
        future.set_result(result)


class RegionTokens:
    """Tokens that control instances of the region lend.

    Used on the event loop only.

    Parameters
    ----------
    kernel : Kernel
        Provides membership and network.
    """

    def __init__(self, kernel: Any) -> None:
        """Start without lenders."""
        self._peers = kernel.plugin(Peers)
        self._network = kernel.plugin(PeerNetwork)
        self._instance = kernel.settings.instance
        self._executor = ThreadPoolExecutor(_MAX_THREADS, 'token-loan')
        self._accounts: dict[str, _AccountTokens] = {}
        self._alive: tuple[Peer, ...] = ()
        self._addresses: dict[str, str | None] = {}
        self._failed_s: dict[str, float] = {}

    async def take(self, account: str, *, deadline_s: float) -> TokenResult:
        """Take one token of an account.

        Parameters
        ----------
        account : str
            Name of the client account.
        deadline_s : float
            Monotonic time until which the request may wait.

        Returns
        -------
        str
            ``ok``; ``exhausted`` if the account has used up its rate; ``short``
            if there was no token in time; ``unavailable`` if the region has no
            lender that can reach the leader.
        """
        if self._usable_address(account) is None:
            return 'unavailable'
        found = self._accounts.get(account)
        if found is None:
            found = _AccountTokens(self, account)
            self._accounts[account] = found
        return await found.take(deadline_s)

    def give_back(self, account: str) -> None:
        """Return a token that was not used."""
        found = self._accounts.get(account)
        if found is not None:
            found.give_back()

    async def call(self, account: str, request: TokenRequest) -> TakeReply:
        """Send a request to the lender of an account.

        Raises
        ------
        UnavailableError
            If it does not answer in time.
        """
        address = self._usable_address(account)
        if address is None:
            raise UnavailableError(f'no lender of {account!r} is known')
        loop = asyncio.get_running_loop()
        try:
            reply: TakeReply = await loop.run_in_executor(
                self._executor, self._call, address, request
            )
        except UnavailableError:
            self._failed_s[address] = time.monotonic()
            raise
        if reply.is_cut_off:
            self._failed_s[address] = time.monotonic()
        return reply

    def _call(self, address: str, request: TokenRequest) -> Any:
        return self._network.call(
            address,
            'Lending',
            'take',
            self._instance.name,
            [request],
            timeout_s=_CALL_TIMEOUT_S,
        )

    def _usable_address(self, account: str) -> str | None:
        """Return the address of the account's lender; None while it fails."""
        address = self._address(account)
        if address is None or address == self._peers.own().peer_address:
            return None
        failed_s = self._failed_s.get(address, float('-inf'))
        return None if time.monotonic() - failed_s < _BACKOFF_S else address

    def _address(self, account: str) -> str | None:
        alive = self._peers.alive()
        if alive is not self._alive:
            self._alive = alive
            self._addresses.clear()
        if account not in self._addresses:
            self._addresses[account] = lender_address(
                alive, self._instance.region, account
            )
        return self._addresses[account]

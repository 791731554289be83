"""Takes tokens of small accounts from the lenders of the region."""

import asyncio
import time
from collections import defaultdict, deque
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Any, Literal

import xxhash

from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..membership.peers import Peer, Peers
from ..wire.generated.lending.ttypes import TakeReply, TokenRequest
from ..wire.network import PeerNetwork

_CALL_TIMEOUT_S = 0.3
# Interval of calls while requests wait and the lender has no token.
_POLL_INTERVAL_S = 0.03
# For this long after a failed call, the own share is used instead.
_BACKOFF_S = 1.0
_MAX_THREADS = 4

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


class _LenderClient:
    """Requests that wait for tokens of one lender; one call at a time."""

    def __init__(self, tokens: 'RegionTokens', address: str) -> None:
        self._tokens = tokens
        self._address = address
        self._waiting: defaultdict[str, deque[asyncio.Future[TokenResult]]] = (
            defaultdict(deque)
        )
        self._arrivals: defaultdict[str, int] = defaultdict(int)
        self._unused: defaultdict[str, int] = defaultdict(int)
        self._arrived = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.failed_s = float('-inf')

    async def take(self, account: str, deadline_s: float) -> TokenResult:
        future: asyncio.Future[TokenResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[account].append(future)
        self._arrivals[account] += 1
        self._arrived.set()
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())
        try:
            async with asyncio.timeout(deadline_s - time.monotonic()):
                return await future
        except TimeoutError:
            return 'short'
        finally:
            if future in self._waiting[account]:
                self._waiting[account].remove(future)

    def give_back(self, account: str) -> None:
        # Told with the next call.
        self._unused[account] += 1

    async def _run(self) -> None:
        while any(self._waiting.values()):
            self._arrived.clear()
            try:
                reply = await self._tokens.call(
                    self._address, self._next_requests()
                )
            except UnavailableError:
                EVENTS.labels('limits', 'lender_failed').inc()
                self._fail()
                return
            self._apply(reply)
            if reply.is_cut_off:
                self._fail()
                return
            with suppress(TimeoutError):
                async with asyncio.timeout(_POLL_INTERVAL_S):
                    await self._arrived.wait()

    def _next_requests(self) -> list[TokenRequest]:
        accounts = {
            *(name for name, futures in self._waiting.items() if futures),
            *(name for name, count in self._unused.items() if count),
        }
        requests = [
            TokenRequest(
                account=name,
                arrivals=self._arrivals[name],
                waiting=len(self._waiting[name]),
                returned=self._unused[name],
            )
            for name in accounts
        ]
        self._arrivals.clear()
        self._unused.clear()
        return requests

    def _apply(self, reply: TakeReply) -> None:
        for grant in reply.grants:
            waiting = self._waiting[grant.account]
            for _ in range(grant.granted):
                if waiting:
                    _resolve(waiting.popleft(), 'ok')
                else:
                    # The request gave up during the call.
                    self._unused[grant.account] += 1
            while grant.is_exhausted and waiting:
                _resolve(waiting.popleft(), 'exhausted')

    def _fail(self) -> None:
        self.failed_s = time.monotonic()
        for waiting in self._waiting.values():
            while waiting:
                _resolve(waiting.popleft(), 'unavailable')


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
        self._clients: dict[str, _LenderClient] = {}
        self._alive: tuple[Peer, ...] = ()
        self._addresses: dict[str, str | None] = {}

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
        client = self._client(account)
        if client is None:
            return 'unavailable'
        return await client.take(account, deadline_s)

    def give_back(self, account: str) -> None:
        """Return a token that was not used."""
        client = self._client(account)
        if client is not None:
            client.give_back(account)

    async def call(
        self, address: str, requests: list[TokenRequest]
    ) -> TakeReply:
        """Send requests to a lender.

        Raises
        ------
        UnavailableError
            If it does not answer in time.
        """
        return await asyncio.get_running_loop().run_in_executor(
            self._executor,
            lambda: self._network.call(
                address,
                'Lending',
                'take',
                self._instance.name,
                requests,
                timeout_s=_CALL_TIMEOUT_S,
            ),
        )

    def _client(self, account: str) -> _LenderClient | None:
        """Return the client of the account's lender; None while it fails."""
        address = self._address(account)
        if address is None or address == self._peers.own().peer_address:
            return None
        client = self._clients.get(address)
        if client is None:
            client = _LenderClient(self, address)
            self._clients[address] = client
        if time.monotonic() - client.failed_s < _BACKOFF_S:
            return None
        return client

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

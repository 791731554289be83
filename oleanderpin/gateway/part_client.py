"""Tokens of small accounts, from the nearest control instance that replies."""

import asyncio
import itertools
import logging
from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any, Literal

from ..control.sources import rendezvous_hash
from ..control.view import ControlView
from ..core.clock import monotonic_s
from ..core.errors import UnavailableError
from ..core.metrics import EVENTS, OWNER_CALL_S, OWNER_CALLS
from ..core.places import distance
from ..core.remote_timeout import RemoteTimeout, RemoteTimer
from ..limits.parts import MAX_HOLD_S
from ..membership.peers import Peer, Peers
from ..wire.generated.parts.ttypes import Given, Need
from ..wire.network import PeerNetwork

_LOG = logging.getLogger(__name__)
_CALL_TIMEOUT_S = 0.5
_MAX_CALLS = 8
# A control instance that did not reply in time is avoided for this time.
_AVOID_S = 1.0
# Multiple of the mean round trip after which another instance is asked, and its
# bounds; on a full link the round trip takes some hundred milliseconds.
_SLOW_FACTOR = 3.0
_MIN_SLOW_S = 0.1
_MAX_SLOW_S = 0.4
# Taken as the round trip to another region until it is known.
_FAR_ROUND_TRIP_S = 0.12
_ROUND_TRIP_WEIGHT = 0.2
# Tokens that were not used are returned within this time or lost.
_RETURN_VALID_S = 0.5
# A timer of the event loop may end this much early.
_TIMER_ERROR_S = 0.002

TakeOutcome = Literal['ok', 'exhausted', 'short']
_CallResult = Literal['ok', 'empty', 'silent', 'slow']


@dataclass(frozen=True, slots=True)
class Taken:
    """What became of a request for a token.

    ``wait_s`` is the time until a token is expected, in seconds.
    """

    outcome: TakeOutcome
    wait_s: float = 0.0


@dataclass(slots=True, eq=False)
class _Waiting:
    """A request that waits for a token; ``call`` is the one that asks for it."""

    account: str
    deadline_s: float
    result: asyncio.Future[Taken]
    ask_at_s: float = 0.0
    call: int = 0


@dataclass(slots=True)
class _Instance:
    """What is known of a control instance."""

    round_trip_s: float = 0.0
    avoid_until_s: float = 0.0

    @property
    def slow_after_s(self) -> float:
        """Time without a reply after which another instance is asked."""
        expected_s = self.round_trip_s * _SLOW_FACTOR
        return MAX_HOLD_S + min(_MAX_SLOW_S, max(_MIN_SLOW_S, expected_s))

    def note_reply(self, round_trip_s: float) -> None:
        """Record that a call was answered."""
        change_s = (round_trip_s - self.round_trip_s) * _ROUND_TRIP_WEIGHT
        self.round_trip_s += change_s
        self.avoid_until_s = 0.0


@dataclass(slots=True)
class _Calls:
    """Numbers of the calls, and how many are in flight."""

    last: int = 0
    in_flight: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)


class PartClient:
    """Asks control instances for tokens, a few calls at a time.

    Not thread-safe: used on the event loop. Calls run in threads of their own.

    Parameters
    ----------
    kernel : Kernel
        Provides the peers and the network.
    """

    def __init__(self, kernel: Any) -> None:
        """Start without calls."""
        self._peers = kernel.plugin(Peers)
        self._network = kernel.plugin(PeerNetwork)
        self._view = kernel.plugin(ControlView)
        self._executor = ThreadPoolExecutor(
            _MAX_CALLS, thread_name_prefix='rate-parts'
        )
        self._waiting: list[_Waiting] = []
        self._calls = _Calls()
        self._instances: dict[str, _Instance] = {}
        # Times at which tokens that were not used were given back.
        self._returned: dict[str, deque[float]] = defaultdict(deque)

    async def take(self, account: str, *, deadline_s: float) -> Taken:
        """Take one token of an account.

        Parameters
        ----------
        account : str
            Name of an account that control instances own in parts.
        deadline_s : float
            Monotonic time until which the request may wait.

        Returns
        -------
        Taken
            ``ok``; ``exhausted`` if no token is expected before the deadline;
            ``short`` if no control instance replied in time.
        """
        loop = asyncio.get_running_loop()
        waiting = _Waiting(account, deadline_s, loop.create_future())
        self._waiting.append(waiting)
        self._ask()
        try:
            async with RemoteTimeout(
                deadline_s - monotonic_s(), is_extended=False
            ):
                return await waiting.result
        except TimeoutError:
            return Taken('short')
        finally:
            self._waiting.remove(waiting)

    def give_back(self, account: str) -> None:
        """Return a token that was not used with the next call."""
        self._returned[account].append(monotonic_s())

    def _take_returned(self, account: str) -> int | None:
        """Return the tokens to return; older ones are lost.

        The part earns others meanwhile, with which they would exceed the rate.
        """
        oldest_s = monotonic_s() - _RETURN_VALID_S
        times_s = self._returned.pop(account, ())
        return sum(at_s >= oldest_s for at_s in times_s) or None

    def _ask(self) -> None:
        """Ask for all requests that no call asks for, if a call is free."""
        now_s = monotonic_s()
        due = [
            each
            for each in self._waiting
            if not each.call
            and each.ask_at_s <= now_s + _TIMER_ERROR_S
            and not each.result.done()
        ]
        if not due or self._calls.in_flight >= _MAX_CALLS:
            return
        address = self._nearest(now_s)
        if address is None:
            for waiting in due:
                waiting.result.set_result(Taken('short'))
            return
        self._calls.last += 1
        self._calls.in_flight += 1
        for waiting in due:
            waiting.call = self._calls.last
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._call(address, self._calls.last, due))
        self._calls.tasks.add(task)
        task.add_done_callback(self._calls.tasks.discard)

    async def _call(
        self, address: str, number: int, asked: list[_Waiting]
    ) -> None:
        loop = asyncio.get_running_loop()
        instance = self._instances[address]
        slow_after_s = instance.slow_after_s
        slow = RemoteTimer(
            slow_after_s, lambda: self._note_slow(address, number)
        )
        started_s = monotonic_s()
        replies: list[Given] = []
        try:
            replies = await loop.run_in_executor(
                self._executor, self._send, address, self._needs(asked)
            )
            duration_s = monotonic_s() - started_s
            held_ms = max((each.held_ms or 0 for each in replies), default=0)
            instance.note_reply(duration_s - held_ms / 1000)
            _record(
                _result(replies, is_slow=duration_s > slow_after_s), duration_s
            )
        except UnavailableError as error:
            _record('silent', monotonic_s() - started_s)
            self._avoid(address, str(error))
        except Exception as error:
            # Any other error would leave the requests without a call.
            _LOG.exception('asking for tokens failed')
            self._avoid(address, str(error))
        finally:
            slow.cancel()
            self._calls.in_flight -= 1
        for reply in replies:
            if reply.is_unknown:
                self._avoid(address, f'account {reply.account!r} is unknown')
            else:
                self._deliver(reply, number)
        self._release(number)
        self._ask()

    def _needs(self, asked: list[_Waiting]) -> list[Need]:
        counts = Counter(waiting.account for waiting in asked)
        left_s = {
            waiting.account: waiting.deadline_s - monotonic_s()
            for waiting in asked
        }
        return [
            Need(
                account=account,
                count=count,
                returned=self._take_returned(account),
                max_wait_ms=max(0, int(left_s[account] * 1000)),
            )
            for account, count in counts.items()
        ]

    def _send(self, address: str, needs: list[Need]) -> Any:
        return self._network.call(
            address, 'Parts', 'take', needs, timeout_s=_CALL_TIMEOUT_S
        )

    def _deliver(self, reply: Given, number: int) -> None:
        """Give tokens to requests, those that the call asked for first."""
        waiting = [
            each
            for each in self._waiting
            if each.account == reply.account and not each.result.done()
        ]
        waiting.sort(key=lambda each: each.call != number)
        for each in waiting[: reply.count]:
            each.result.set_result(Taken('ok'))
        unused = reply.count - len(waiting)
        if unused > 0:
            times_s = itertools.repeat(monotonic_s(), unused)
            self._returned[reply.account].extend(times_s)
        wait_s = (reply.wait_ms or 0) / 1000
        for each in waiting[reply.count :]:
            if each.call == number:
                self._postpone(each, wait_s, is_exhausted=reply.is_exhausted)

    def _postpone(
        self, waiting: _Waiting, wait_s: float, *, is_exhausted: bool | None
    ) -> None:
        waiting.call = 0
        waiting.ask_at_s = monotonic_s() + wait_s
        if waiting.ask_at_s >= waiting.deadline_s:
            outcome: TakeOutcome = 'exhausted' if is_exhausted else 'short'
            waiting.result.set_result(Taken(outcome, wait_s))
            return
        loop = asyncio.get_running_loop()
        loop.call_later(wait_s, self._ask)

    def _release(self, number: int) -> None:
        """Let other calls ask for what a call did not bring."""
        for each in self._waiting:
            if each.call == number:
                each.call = 0

    def _note_slow(self, address: str, number: int) -> None:
        self._avoid(address, 'no reply in time')
        EVENTS.labels('limits', 'part_owner_slow').inc()
        self._release(number)
        self._ask()

    def _avoid(self, address: str, problem: str) -> None:
        now_s = monotonic_s()
        instance = self._instances[address]
        if instance.avoid_until_s < now_s - _AVOID_S:
            _LOG.warning(
                'control instance gives no tokens',
                extra={'address': address, 'problem': problem},
            )
        instance.avoid_until_s = now_s + _AVOID_S

    def _nearest(self, now_s: float) -> str | None:
        """Return the address of the instance to ask; None if none is alive."""
        peers = self._peers.alive()
        candidates = [peer for peer in peers if 'control' in peer.roles]
        if not candidates:
            return None
        nearest = min(
            candidates,
            key=lambda peer: self._preference(peer, peers[0], now_s),
        )
        if nearest.peer_address not in self._instances:
            is_far = nearest.region != peers[0].region
            self._instances[nearest.peer_address] = _Instance(
                _FAR_ROUND_TRIP_S if is_far else 0.0
            )
        return nearest.peer_address

    def _preference(
        self, peer: Peer, own: Peer, now_s: float
    ) -> tuple[float, int, bool, int]:
        instance = self._instances.get(peer.peer_address)
        owners = self._view.state.owners_of_parts.owners
        avoid_s = instance.avoid_until_s - now_s if instance else 0.0
        return (
            max(0.0, avoid_s),
            distance(own, peer),
            # An owner needs no other one to give a token.
            peer.peer_address not in owners,
            rendezvous_hash(own.name, peer.name),
        )


def _result(replies: Iterable[Given], *, is_slow: bool) -> _CallResult:
    """Return the result of a call with a reply."""
    if is_slow:
        return 'slow'
    is_any_missing = any(reply.wait_ms is not None for reply in replies)
    return 'empty' if is_any_missing else 'ok'


def _record(result: _CallResult, duration_s: float) -> None:
    OWNER_CALLS.labels(result).inc()
    OWNER_CALL_S.labels(result).observe(duration_s)

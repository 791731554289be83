"""Refuses requests that crash the targets that run them.

A gateway sees that a connection ends, not why. It counts a crash only if the
target then refuses connections: a target that has ended has no listener, while
one whose connections were reset, or that is cut off, does not refuse new ones.
"""

import asyncio
import hashlib
import secrets
from typing import Protocol

import xxhash

from ..core.clock import monotonic_s
from ..core.errors import Refusal, RefusalDetails
from ..core.metrics import EVENTS
from ..core.remote_timeout import RemoteTimeout
from ..routing.crash_suspects import Crash, CrashSuspects
from ..routing.loss_rate import LossRate
from .candidate import Candidate
from .rate_limited_log import RateLimitedLog
from .refusals import maybe_run_refusal
from .routed_request import RoutedRequest

# A process that ends may close its listener after its connections.
_SECOND_CHECK_S = 0.05
_CHECK_TIMEOUT_S = 1.0
# Longest wait of a suspected request for the check after a lost attempt.
_MAX_HOLD_S = 0.4
_CRASH_ID_BITS = 63
_HEAD_DIGEST_BYTES = 8


class Reporter(Protocol):
    """Exchanges suspected requests with other gateways."""

    suspects: CrashSuspects

    def report_crashes_soon(self) -> None:
        """Report suspected requests without waiting for the next report."""
        ...


class CrashGuard:
    """Counts the crashes of requests and refuses those that crash targets.

    Not thread-safe: used on the event loop.

    Parameters
    ----------
    reporter : Reporter
        Shares the counts with other gateways.
    log : RateLimitedLog
        Log of crashes.
    """

    def __init__(self, reporter: Reporter, log: RateLimitedLog) -> None:
        """Start without crashes."""
        self._reporter = reporter
        self._suspects = reporter.suspects
        self._log = log
        self._losses = LossRate()
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._notes: set[asyncio.Task[None]] = set()

    def check(self, routed: RoutedRequest) -> None:
        """Refuse a request that crashes targets.

        Raises
        ------
        Refusal
            If it has crashed too many targets in a row. It tells whether this
            copy of the request may have run.
        """
        if not self._suspects:
            return
        fingerprint = fingerprint_of(routed)
        refused_s = self._suspects.refused_for_s(fingerprint, monotonic_s())
        if not refused_s:
            return
        EVENTS.labels('gateway', 'crashing_request_refused').inc()
        if routed.may_have_run:
            raise maybe_run_refusal(
                'crashes_targets', 'targets crashed while they ran this request'
            )
        raise Refusal(
            'crashes_targets',
            'targets crashed while they ran copies of this request',
            remedy='report it to the operators of the service',
            details=RefusalDetails(
                retry_after_s=refused_s,
                log_fields={'fingerprint': fingerprint.hex()},
            ),
        )

    def note_answer(self, routed: RoutedRequest) -> None:
        """Record that a target has run a request and goes on."""
        now_s = monotonic_s()
        self._losses.note(now_s, is_lost=False)
        self._suspects.observe_answer(fingerprint_of(routed), now_s)

    async def note_lost(
        self, routed: RoutedRequest, candidate: Candidate, started_s: float
    ) -> None:
        """Record an attempt whose connection ended without a response.

        Returns once it is known whether the target has ended, if the request
        is suspected already; another attempt might crash one more target.

        Parameters
        ----------
        routed : RoutedRequest
            The request.
        candidate : Candidate
            The target that it was sent to.
        started_s : float
            Monotonic time at which it was sent.
        """
        ended_s = monotonic_s()
        fingerprint = fingerprint_of(routed)
        is_suspected = self._suspects.percent(fingerprint) > 0
        if not is_suspected:
            # The losses of a suspect tell nothing of other requests.
            self._losses.note(ended_s, is_lost=True)
        note = asyncio.get_running_loop().create_task(
            self._count(routed, candidate, started_s, ended_s)
        )
        self._notes.add(note)
        note.add_done_callback(self._notes.discard)
        if is_suspected:
            await asyncio.wait((note,), timeout=_MAX_HOLD_S)

    async def _count(
        self,
        routed: RoutedRequest,
        candidate: Candidate,
        started_s: float,
        ended_s: float,
    ) -> None:
        if not await self._has_ended(candidate.target.address):
            EVENTS.labels('gateway', 'connection_lost_without_crash').inc()
            return
        EVENTS.labels('gateway', 'target_crashed').inc()
        weight_percent = self._losses.weight_percent()
        crash = Crash(
            secrets.randbits(_CRASH_ID_BITS), started_s, ended_s, weight_percent
        )
        fingerprint = fingerprint_of(routed)
        percent = self._suspects.observe_crash(fingerprint, crash)
        self._reporter.report_crashes_soon()
        self._log.write(
            'target ended while it ran a request',
            request_id=routed.request_id.decode('latin-1'),
            target=candidate.target.target_id,
            fingerprint=fingerprint.hex(),
            ran_ms=int((ended_s - started_s) * 1000),
            weight_percent=weight_percent,
            crashes_percent=percent,
        )

    async def _has_ended(self, address: str) -> bool:
        """Return whether nothing listens at a target's address."""
        check = self._checks.get(address)
        if check is None:
            loop = asyncio.get_running_loop()
            check = loop.create_task(_is_refused_twice(address))
            self._checks[address] = check
            check.add_done_callback(
                lambda _task: self._checks.pop(address, None)
            )
        return await asyncio.shield(check)


def fingerprint_of(routed: RoutedRequest) -> bytes:
    """Return a digest that is equal for all copies of a request.

    Copies have the method, host, path, query, client account and body in
    common. Other headers may differ, and so may the caller's address. The
    digest of the body is fast but can be forged; what that confuses are only
    requests of the same account and path.
    """
    request = routed.request
    account = routed.account.name if routed.account else ''
    parts = (
        request.method,
        request.host().encode('latin-1'),
        request.target,
        account.encode(),
        b'%d' % len(request.body),
    )
    head = hashlib.blake2b(b'\n'.join(parts), digest_size=_HEAD_DIGEST_BYTES)
    return head.digest() + xxhash.xxh3_64_digest(request.body)


async def _is_refused_twice(address: str) -> bool:
    """Return whether one of two connections to an address is refused."""
    if await _is_refused(address):
        return True
    await asyncio.sleep(_SECOND_CHECK_S)
    return await _is_refused(address)


async def _is_refused(address: str) -> bool:
    host, _colon, port = address.rpartition(':')
    try:
        async with RemoteTimeout(_CHECK_TIMEOUT_S):
            _reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return False

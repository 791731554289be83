"""Probes targets that may have restarted, to learn whether they are cold.

Load pattern: a target returns after a crash or a drain and would get its full
share of requests at once, because its last announcement is older than its
restart.
"""

import asyncio
from typing import Any

from ..control.view import ControlView
from ..core.clock import monotonic_s
from ..core.metrics import EVENTS
from ..core.remote_timeout import RemoteTimeout
from ..core.stated_numbers import stated_count
from .candidate import Candidate
from .connection_pool import ConnectionPool
from .dialect import Dialect
from .messages import (
    EncodedRequest,
    TargetDeclinedError,
    TargetFailure,
    TargetResponse,
)
from .rate_limited_log import RateLimitedLog
from .target_answers import TargetAnswers

_PROBE_TIMEOUT_S = 1.0
_DEFAULT_PATH = '/health'
_MAX_COLD_MS = 3_600_000


class Probes:
    """Runs at most one health probe at a time for each target.

    Parameters
    ----------
    kernel : Kernel
        Provides the control state.
    dialect : Dialect
        Header names.
    pool : ConnectionPool
        Connections to targets.
    log : RateLimitedLog
        Log of successful probes.
    answers : TargetAnswers
        Reads what targets say of themselves.
    """

    def __init__(
        self,
        kernel: Any,
        dialect: Dialect,
        pool: ConnectionPool,
        log: RateLimitedLog,
        *,
        answers: TargetAnswers,
    ) -> None:
        """Start without probes."""
        self._answers = answers
        self._log = log
        self._view = kernel.plugin(ControlView)
        self._dialect = dialect
        self._pool = pool
        self._running: dict[str, asyncio.Task[None]] = {}

    def start(self, candidate: Candidate) -> None:
        """Probe a target, unless a probe of it is in progress."""
        address = candidate.target.address
        if address in self._running:
            return
        task = asyncio.get_running_loop().create_task(self._probe(candidate))
        self._running[address] = task
        task.add_done_callback(lambda _task: self._running.pop(address, None))

    async def _probe(self, candidate: Candidate) -> None:
        try:
            async with RemoteTimeout(_PROBE_TIMEOUT_S):
                response = await self._pool.send(
                    candidate,
                    b'',
                    lambda: self._encode_probe(candidate),
                    is_head=False,
                    is_repeatable=True,
                )
        except TargetDeclinedError as declined:
            EVENTS.labels('gateway', f'probe_{declined.reason}').inc()
            return
        except (TargetFailure, TimeoutError) as error:
            EVENTS.labels('gateway', 'probe_failed').inc()
            if isinstance(error, TargetFailure) and error.is_of_target:
                now_s = monotonic_s()
                candidate.health.note_connection_failure(error.result, now_s)
            return
        self._read(candidate, response)

    def _read(self, candidate: Candidate, response: TargetResponse) -> None:
        target_id = response.header(self._dialect.target_id)
        if target_id != candidate.target.target_id.encode():
            return
        now_s = monotonic_s()
        self._answers.note(candidate, response, now_s, cause='probe')
        if candidate.health.is_paused(now_s):
            # It is probed again when the pause is over.
            return
        stated = response.header(self._dialect.cold_ms) or b'0'
        cold_ms = stated_count(stated, most=_MAX_COLD_MS)
        cold_s = (cold_ms or 0) / 1000
        candidate.health.note_cold(cold_s, now_s)
        self._log.write(
            'target no longer in doubt',
            target=candidate.target.target_id,
            address=candidate.target.address,
            cold_ms=int(cold_s * 1000),
        )

    def _encode_probe(self, candidate: Candidate) -> EncodedRequest:
        service = self._view.state.services.get(candidate.target.service)
        path = service.health_path if service else ''
        head = (
            f'GET {path or _DEFAULT_PATH} HTTP/1.1\r\n'
            f'Host: {candidate.target.address}\r\n\r\n'
        )
        return EncodedRequest(head.encode(), b'')

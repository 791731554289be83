"""Pool of connections to targets.

An idle connection is reused only while its target is expected to keep it open.
"""

import asyncio
import socket
from collections.abc import Callable

from ..core.clock import monotonic_s
from ..core.memory_budget import MemoryBudget
from ..core.metrics import EVENTS
from ..core.remote_timeout import RemoteTimeout
from ..core.settings import GatewaySettings
from .messages import (
    EncodedRequest,
    TargetDeclinedError,
    TargetFailure,
    TargetResponse,
)
from .candidate import Candidate
from .response_budget import ResponseBudget
from .target_connection import TargetConnection
from .traffic import TrafficMeter

# Fraction of a target's idle time-out for which a connection is reused; the
# rest is the margin for messages in transit.
_IDLE_TIMEOUT_FRACTION = 0.6
# A connection that has been idle for longer is not used for requests that
# must not run twice: it may be closed or its path broken without this having
# been detected yet.
_MAX_UNREPEATABLE_IDLE_S = 1.0
# The kernel closes a connection whose data stays unacknowledged for longer.
_TCP_USER_TIMEOUT_MS = 1500
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


class ConnectionPool:
    """Idle connections by target address, reused last in, first out.

    Parameters
    ----------
    settings : GatewaySettings
        Time-outs.
    request_id_header : bytes
        Header in which targets echo the request id.
    traffic : TrafficMeter
        Counts bytes and times.
    memory : MemoryBudget
        Budget that incomplete responses count towards.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        request_id_header: bytes,
        traffic: TrafficMeter,
        memory: MemoryBudget,
    ) -> None:
        """Start without connections."""
        self._traffic = traffic
        self._settings = settings
        self._id_header = request_id_header
        self._idle: dict[str, list[TargetConnection]] = {}
        self.budget = ResponseBudget(settings, memory)

    async def send(
        self,
        candidate: Candidate,
        request_id: bytes,
        encode: Callable[[], EncodedRequest],
        *,
        is_head: bool,
        is_repeatable: bool,
    ) -> TargetResponse:
        """Send a request to a target and wait for the complete response.

        Parameters
        ----------
        candidate : Candidate
            The target; its health records the connect time.
        request_id : bytes
            Id that the response must echo.
        encode : callable
            Returns the encoded request; called once connected.
        is_head : bool
            Whether the response has no body.
        is_repeatable : bool
            Whether the request may run again if its outcome is unknown.

        Raises
        ------
        TargetFailure
            If there is no complete response.
        TargetDeclinedError
            If the target has declined requests while this one waited for a
            connection.
        """
        address = candidate.target.address
        connection = self._acquire(
            address, request_id, is_repeatable=is_repeatable
        )
        if connection is None:
            connection = await self._connect(candidate)
        sent_s = monotonic_s()
        try:
            response = await connection.send(
                request_id, encode(), is_head=is_head
            )
        except BaseException:
            connection.close()
            raise
        self._traffic.add_time('target', monotonic_s() - sent_s)
        self._release(address, connection)
        return response

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = monotonic_s()
        for address, idle in list(self._idle.items()):
            kept = [each for each in idle if self._is_reusable(each, now_s)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address)

    def discard_idle(self, address: str) -> None:
        """Close idle connections to an address that another target uses now."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def _acquire(
        self, address: str, request_id: bytes, *, is_repeatable: bool
    ) -> TargetConnection | None:
        idle = self._idle.get(address)
        now_s = monotonic_s()
        while idle:
            connection = idle.pop()
            is_fit = self._is_reusable(connection, now_s)
            if not is_fit or connection.has_carried(request_id):
                connection.close()
                continue
            age_s = now_s - connection.idle_since_s
            if is_repeatable or age_s < _MAX_UNREPEATABLE_IDLE_S:
                return connection
            idle.append(connection)
            return None
        return None

    def _is_reusable(self, connection: TargetConnection, now_s: float) -> bool:
        limit_s = min(
            self._settings.idle_connection_s,
            connection.idle_limit_s * _IDLE_TIMEOUT_FRACTION,
        )
        age_s = now_s - connection.idle_since_s
        return connection.is_usable and age_s < limit_s

    def _release(self, address: str, connection: TargetConnection) -> None:
        if connection.is_usable:
            self._idle.setdefault(address, []).append(connection)
        elif not connection.is_closed:
            # The beginning of a response that belongs to no request.
            connection.close()

    async def _connect(self, candidate: Candidate) -> TargetConnection:
        started_s = monotonic_s()
        health = candidate.health
        timeout = RemoteTimeout(self._settings.connect_timeout_s)
        health.connecting.add(timeout)
        try:
            async with timeout:
                connection = await self._open(candidate.target.address)
        except (OSError, TimeoutError) as error:
            _require_willing(candidate, started_s)
            raise TargetFailure('no_connection', may_have_run=False) from error
        finally:
            health.connecting.discard(timeout)
        connected_s = monotonic_s() - started_s
        health.note_connected(connected_s)
        self._traffic.add_time('connect', connected_s)
        try:
            _require_willing(candidate, started_s)
        except TargetDeclinedError:
            connection.close()
            raise
        return connection

    async def _open(self, address: str) -> TargetConnection:
        host, _colon, port = address.rpartition(':')
        EVENTS.labels('gateway', 'target_connections').inc()
        loop = asyncio.get_running_loop()
        transport, connection = await loop.create_connection(
            lambda: TargetConnection(
                self._id_header, self.budget, self._traffic, address=address
            ),
            host,
            int(port),
        )
        set_timeouts(transport.get_extra_info('socket'))
        return connection


def _require_willing(candidate: Candidate, placed_s: float) -> None:
    """Check that a target still takes a request that was placed earlier."""
    reason = candidate.health.declines(placed_s, monotonic_s())
    if reason:
        raise TargetDeclinedError(reason)


def set_timeouts(connected: socket.socket) -> None:
    """Set socket options that end a connection whose path is broken."""
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    )
    for level, option, value in options:
        connected.setsockopt(level, option, value)

"""HTTP listener on the event loop."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from ..core.clock import monotonic_s
from .caller_connection import CallerConnection
from .messages import CallerRequest, Response
from .rate_limited_log import RateLimitedLog
from .traffic import TrafficMeter

_LOG = logging.getLogger(__name__)
_BACKLOG = 1024
_DRAIN_POLL_S = 0.05
_MAX_BUFFERED_BYTES = 67108864


@dataclass(frozen=True, slots=True)
class StaticLimits:
    """Fixed size limits and time-outs for clients of an interface."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


Serve = Callable[[CallerRequest], Awaitable[Response]]
Admit = Callable[[CallerRequest], Awaitable[Response | None]]


class HttpListener:
    """Accepts connections on one address.

    Parameters
    ----------
    serve : callable
        Handles a request.
    limits : callable, optional
        Returns the limits in force.
    max_buffered_bytes : int
        Limit on the bytes of bodies buffered for all connections.
    meter : TrafficMeter, optional
        Counts the bytes of the connections.
    admit : callable, optional
        Decides about a request with a large body before the body is read;
        returns the response if it is refused, else None.
    abandon : callable, optional
        Told of an admitted request whose body will not come.
    """

    def __init__(
        self,
        serve: Serve,
        *,
        limits: Callable[[], Any] = StaticLimits,
        max_buffered_bytes: int = _MAX_BUFFERED_BYTES,
        meter: TrafficMeter | None = None,
        admit: Admit | None = None,
        abandon: Callable[[CallerRequest], None] | None = None,
    ) -> None:
        """Prepare the listener; `listen` opens the address."""
        self.buffered_bytes = 0
        self.meter = meter or TrafficMeter()
        self.log = RateLimitedLog(_LOG)
        self._max_buffered_bytes = max_buffered_bytes
        self.connections: set[CallerConnection] = set()
        self.is_draining = False
        self.serve = serve
        self.admit = admit
        self.abandon = abandon
        self.limits = limits
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start accepting connections."""
        host, _colon, port = address.rpartition(':')
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), host, int(port), backlog=_BACKLOG
        )

    def has_buffer_space(self, size_bytes: int) -> bool:
        """Return whether a body of this size fits in the body buffer."""
        return self.buffered_bytes + size_bytes <= self._max_buffered_bytes

    async def drain(self, *, timeout_s: float) -> None:
        """Stop accepting connections and finish the requests on open ones.

        Connections without a request are closed; those that are left after
        ``timeout_s`` stay open.
        """
        self.is_draining = True
        if self._server is not None:
            self._server.close()
        end_s = monotonic_s() + timeout_s
        while self.connections and monotonic_s() < end_s:
            for connection in list(self.connections):
                connection.close_if_idle()
            await asyncio.sleep(_DRAIN_POLL_S)

    async def deliver(self, *, timeout_s: float) -> None:
        """Wait until callers have acknowledged what was written to them."""
        end_s = monotonic_s() + timeout_s
        while self.undelivered_bytes() and monotonic_s() < end_s:
            await asyncio.sleep(_DRAIN_POLL_S)

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the kernel has not taken yet."""
        return sum(each.unsent_bytes for each in self.connections)

    def undelivered_bytes(self) -> int:
        """Return the bytes of responses that callers have not acknowledged."""
        return sum(each.undelivered_bytes for each in self.connections)

    def give_up_blocking(self) -> None:
        """Give up requests whose missing response holds back complete ones."""
        for connection in list(self.connections):
            connection.give_up_blocking()

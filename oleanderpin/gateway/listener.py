"""HTTP listener on the event loop."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from ..core.clock import monotonic_s
from ..core.memory_budget import MemoryBudget
from .caller_connection import CallerConnection
from .listener_options import ListenerOptions, StaticLimits
from .messages import CallerRequest, Response
from .rate_limited_log import RateLimitedLog
from .response_output import OutputWatch
from .traffic import TrafficMeter

_LOG = logging.getLogger(__name__)
_BACKLOG = 1024
_DRAIN_POLL_S = 0.05
# For a listener without a budget of its own process.
_MAX_HELD_BYTES = 67108864


Serve = Callable[[CallerRequest], Awaitable[Response]]

__all__ = ('HttpListener', 'ListenerOptions', 'StaticLimits')


class HttpListener:
    """Accepts connections on one address.

    Parameters
    ----------
    serve : callable
        Handles a request.
    options : ListenerOptions
        Limits, and what else is optional.
    """

    def __init__(
        self, serve: Serve, options: ListenerOptions | None = None
    ) -> None:
        """Prepare the listener; `listen` opens the address."""
        options = options or ListenerOptions()
        self.serve = serve
        self.options = options
        self.memory = options.memory or MemoryBudget(_MAX_HELD_BYTES)
        self.meter = options.meter or TrafficMeter()
        self.log = RateLimitedLog(_LOG)
        self.output_watch = OutputWatch()
        self.connections: set[CallerConnection] = set()
        self.is_draining = False
        self.buffered_bytes = 0
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start accepting connections."""
        host, _colon, port = address.rpartition(':')
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), host, int(port), backlog=_BACKLOG
        )

    def body_time_limit_s(self, request: CallerRequest) -> float:
        """Return how long a request may take until its body is complete."""
        if self.options.body_time_limit_s is None:
            return self.options.limits().idle_timeout_s
        return self.options.body_time_limit_s(request)

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

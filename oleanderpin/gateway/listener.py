"""HTTP listener on the event loop."""

import asyncio
import logging
import resource
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
# The other descriptors are for targets, peers and files.
_CONNECTION_DESCRIPTORS_FRACTION = 0.75
# Bounds the memory of connections where descriptors are not limited.
_MOST_CONNECTIONS = 4096
# A request that is incomplete for longer goes before idle connections.
_STALL_S = 1.0


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
        # Those that wait for a request, the one that waits longest first.
        self._idle: dict[CallerConnection, None] = {}
        self._max_connections = options.max_connections or _max_connections()
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start accepting connections."""
        host, _colon, port = address.rpartition(':')
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), host, int(port), backlog=_BACKLOG
        )

    def add(self, connection: CallerConnection) -> bool:
        """Register a connection; return whether there is room for it.

        Beyond the limit, the connection whose request has been incomplete for
        longest is given up, or the one that has been idle for longest.
        """
        is_full = len(self.connections) >= self._max_connections
        if is_full and not self._make_room():
            return False
        self.connections.add(connection)
        self._idle[connection] = None
        return True

    def remove(self, connection: CallerConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.discard(connection)
        self._idle.pop(connection, None)
        self.output_watch.discard(connection)

    def note_idle(self, connection: CallerConnection) -> None:
        """Record that a connection waits for its next request."""
        self._idle[connection] = None

    def note_busy(self, connection: CallerConnection) -> None:
        """Record that a connection has a request."""
        self._idle.pop(connection, None)

    def body_time_limit_s(self, request: CallerRequest) -> float:
        """Return how long a request may take until its body is complete."""
        if self.options.body_time_limit_s is None:
            return self.options.limits().idle_timeout_s
        return self.options.body_time_limit_s(request)

    def _make_room(self) -> bool:
        """Give up one connection; return whether there was any to give up."""
        slowest = max(
            self.connections, key=lambda each: each.request_age_s, default=None
        )
        if slowest is not None and slowest.request_age_s < _STALL_S:
            # Ordinary callers have idle connections; others send at once.
            slowest = next(iter(self._idle), slowest)
        if slowest is None:
            return False
        is_given_up = slowest in self._idle or slowest.request_age_s > 0
        self._idle.pop(slowest, None)
        if is_given_up:
            slowest.make_room()
        return is_given_up

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


def _max_connections() -> int:
    soft_limit, _hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return _MOST_CONNECTIONS
    usable = int(soft_limit * _CONNECTION_DESCRIPTORS_FRACTION)
    return min(_MOST_CONNECTIONS, usable)

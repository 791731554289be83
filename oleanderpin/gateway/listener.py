"""HTTP listener on the event loop."""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from fractions import Fraction
from typing import Any

from ..core.clock import monotonic_s
from ..core.memory_budget import MemoryBudget
from ..core.metrics import EVENTS
from ..core.process_resources import connection_limit
from .caller_connection import CallerConnection
from .listener_options import ListenerOptions, StaticLimits, bounded_options
from .messages import CallerRequest, Response
from .rate_limited_log import RateLimitedLog
from .response_output import OutputWatch
from .traffic import TrafficMeter

_LOG = logging.getLogger(__name__)
_BACKLOG = 1024
# Requests on open connections are served between so many new ones.
_ACCEPTED_AT_ONCE = 64
_DRAIN_POLL_S = 0.05
# For a listener without a budget of its own process.
_MAX_HELD_BYTES = 67108864
# The other descriptors are for targets, peers and files.
_OF_DESCRIPTORS = Fraction(3, 4)
# Bounds the memory of connections where descriptors are not limited.
_MAX_CONNECTIONS = 4096
# A request that is incomplete for longer goes before idle connections.
_STALL_S = 1.0


Serve = Callable[[CallerRequest], Awaitable[Response]]

__all__ = (
    'HttpListener',
    'ListenerOptions',
    'StaticLimits',
    'bounded_options',
)


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
        # Those that wait for a request, the one that waits longest first.
        self._idle: dict[CallerConnection, None] = {}
        self._max_connections = options.max_connections or connection_limit(
            _MAX_CONNECTIONS, of_descriptors=_OF_DESCRIPTORS
        )
        self._socket: socket.socket | None = None
        self._opening: set[asyncio.Task[Any]] = set()

    async def listen(self, address: str) -> None:
        """Start accepting connections."""
        host, _colon, port = address.rpartition(':')
        self._socket = socket.create_server((host, int(port)), backlog=_BACKLOG)
        self._socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def close(self) -> None:
        """Stop accepting connections."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _accept(self) -> bool:
        """Accept some connections; those beyond the limit one at a time.

        What is given up for a connection is closed only after this call, so
        that more of them at a time would use up the descriptors.

        Returns
        -------
        bool
            Whether more can be accepted at once, if any wait.
        """
        is_full = False
        accepted = 0
        while accepted < _ACCEPTED_AT_ONCE and not is_full:
            connected = self._accept_one()
            if connected is None:
                return False
            accepted += 1
            open_count = len(self.connections) + len(self._opening)
            is_full = open_count >= self._max_connections
            if not is_full or self._make_room():
                self._open(connected)
            else:
                EVENTS.labels('gateway', 'connection_limit').inc()
                connected.close()
        return not is_full

    def _accept_one(self) -> socket.socket | None:
        if self._socket is None:
            return None
        try:
            return self._socket.accept()[0]
        except BlockingIOError:
            return None
        except OSError:
            # The system lacks descriptors or memory, or the caller has left.
            EVENTS.labels('gateway', 'accept_failed').inc()
            self._make_room()
            return None

    def _open(self, connected: socket.socket) -> None:
        connected.setblocking(False)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            loop.connect_accepted_socket(
                lambda: CallerConnection(self), connected
            )
        )
        self._opening.add(task)
        task.add_done_callback(self._note_open)

    def _note_open(self, task: asyncio.Task[Any]) -> None:
        self._opening.discard(task)
        if not task.cancelled() and task.exception() is not None:
            EVENTS.labels('gateway', 'accept_failed').inc()

    def add(self, connection: CallerConnection) -> None:
        """Register a connection."""
        self.connections.add(connection)
        self._idle[connection] = None

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
        """Give up one connection; return whether there was any to give up.

        Beyond the limit, the connection whose request has been incomplete for
        longest is given up, or the one that has been idle for longest.
        """
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

        Connections that wait to be accepted are served. Those without a request
        are closed; those that are left after ``timeout_s`` stay open.
        """
        self.is_draining = True
        accepts_more = True
        while accepts_more:
            accepts_more = self._accept()
        self.close()
        end_s = monotonic_s() + timeout_s
        while self._is_used() and monotonic_s() < end_s:
            for connection in list(self.connections):
                connection.close_if_idle()
            await asyncio.sleep(_DRAIN_POLL_S)

    def _is_used(self) -> bool:
        return bool(self.connections or self._opening)

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

"""A listening address whose requests an event loop serves."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from .caller_connection import CallerConnection
from .messages import Response, CallerRequest

_BACKLOG = 1024
_MAX_BUFFERED_BYTES = 67108864


@dataclass(frozen=True, slots=True)
class StaticLimits:
    """Bounds on what clients of an interface may send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


Serve = Callable[[CallerRequest], Awaitable[Response]]


class HttpListener:
    """Accepts connections on one address.

    Parameters
    ----------
    serve : callable
        Answers a request.
    limits : callable, optional
        Returns the bounds in force.
    max_buffered_bytes : int
        Bytes of bodies that may be held for all connections together.
    """

    def __init__(
        self,
        serve: Serve,
        *,
        limits: Callable[[], Any] = StaticLimits,
        max_buffered_bytes: int = _MAX_BUFFERED_BYTES,
    ) -> None:
        """Listen on no address yet."""
        self.buffered_bytes = 0
        self._max_buffered_bytes = max_buffered_bytes
        self.connections: set[CallerConnection] = set()
        self.is_draining = False
        self.serve = serve
        self.limits = limits
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start to accept connections."""
        host, _colon, port = address.rpartition(':')
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), host, int(port), backlog=_BACKLOG
        )

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a body of that size may be held in memory."""
        return self.buffered_bytes + size_bytes <= self._max_buffered_bytes

    def stop_accepting(self) -> None:
        """Close the address; open connections go on."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections on which no answer is owed."""
        for connection in list(self.connections):
            connection.close_if_idle()

"""Pool of connections to targets.

Idle connections are reused while they are young: firewalls drop old ones
silently. The number of open connections to each target is limited.
"""

import select
import socket
import threading
from collections import defaultdict, deque
from contextlib import suppress
from typing import Any

from ..core.http_stream import SocketReader
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peers
from ..targets.table import Target

# Non-idempotent requests use only new connections and ones used this recently:
# a request lost on a dead connection cannot be repeated.
MAX_FRESH_IDLE_S = 1.0
_EXPIRY_INTERVAL_S = 1.0


class NoConnectionError(Exception):
    """No connection to a target is available; no byte was sent."""


class ConnectionLimitError(NoConnectionError):
    """This instance has reached its connection limit for a target."""


class TargetConnection:
    """One open connection to a target."""

    def __init__(self, address: str, connection: Any, *, now_s: float) -> None:
        """Wrap a connected urllib3 connection."""
        self.address = address
        self.is_new = True
        self.last_used_s = now_s
        self.was_fresh = True
        self._connection = connection
        self.sock: socket.socket = connection.sock
        self.reader = SocketReader(self.sock)

    def send(self, payload: bytes, *, timeout_s: float) -> None:
        """Send all bytes within ``timeout_s`` seconds."""
        self.sock.settimeout(timeout_s)
        self._connection.send(payload)

    def is_usable(self) -> bool:
        """Return whether the connection is open with no unread bytes."""
        if self.reader.has_data():
            return False
        poller = select.poll()
        poller.register(self.sock, select.POLLIN | select.POLLRDHUP)
        return not poller.poll(0)

    def abort(self) -> None:
        """End a wait for the target in another thread."""
        with suppress(OSError):
            # The target may have closed it.
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


@plugins.register('target-connections')
class TargetConnections(Plugin):
    """Connections by target, with a limit for each target."""

    roles = frozenset(('entry',))

    def __init__(self, kernel: Any) -> None:
        """Start without connections."""
        super().__init__(kernel)
        self._peers = kernel.plugin(Peers)
        self._lock = threading.Lock()
        self._idle: dict[str, deque[TargetConnection]] = defaultdict(deque)
        self._open: defaultdict[str, int] = defaultdict(int)

    def start(self) -> None:
        """Start the thread that closes expired idle connections."""
        threading.Thread(
            target=self._expiry_loop, name='connection-ageing', daemon=True
        ).start()

    def acquire(
        self, target: Target, *, needs_fresh: bool, timeout_s: float
    ) -> TargetConnection:
        """Return a connection for one request.

        Parameters
        ----------
        target : Target
            Target to connect to.
        needs_fresh : bool
            Whether the connection must be new or used within the last
            second.
        timeout_s : float
            Time-out for opening a connection.

        Raises
        ------
        NoConnectionError
            If no connection can be opened.
        """
        now_s = self.kernel.clock.now_s()
        while True:
            idle = self._pop_idle(target.address)
            if idle is None:
                return self._open_new(target, timeout_s=timeout_s)
            is_fresh = now_s - idle.last_used_s <= MAX_FRESH_IDLE_S
            is_unexpired = now_s - idle.last_used_s <= self._idle_limit_s()
            if (
                is_unexpired
                and (is_fresh or not needs_fresh)
                and idle.is_usable()
            ):
                idle.is_new = False
                idle.was_fresh = is_fresh
                return idle
            self.close(idle)

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool after a complete response."""
        if connection.reader.has_data():
            # Bytes after the response must not reach the next request.
            EVENTS.labels('forwarding', 'surplus_bytes').inc()
            self.close(connection)
            return
        connection.last_used_s = self.kernel.clock.now_s()
        with self._lock:
            self._idle[connection.address].append(connection)

    def close(self, connection: TargetConnection) -> None:
        """Close a connection and free its place in the limit."""
        connection.close()
        self._decrement_open(connection.address)

    def close_idle(self, address: str) -> None:
        """Close all idle connections to a target, which may be dead."""
        with self._lock:
            connections = self._idle.pop(address, deque())
        for connection in connections:
            self.close(connection)

    def can_connect(self, target: Target) -> bool:
        """Return whether a new connection to a target can be opened.

        The connection is added to the pool.
        """
        timeout_s = self.kernel.settings.forwarding.connect_timeout_s
        try:
            self.release(self._open_new(target, timeout_s=timeout_s))
        except ConnectionLimitError:
            return True
        except NoConnectionError:
            return False
        return True

    def stop(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def close_expired(self) -> None:
        """Close connections that have exceeded the idle time-out."""
        oldest_s = self.kernel.clock.now_s() - self._idle_limit_s()
        with self._lock:
            expired = []
            for address in list(self._idle):
                idle = self._idle[address]
                while idle and idle[0].last_used_s < oldest_s:
                    expired.append(idle.popleft())
                if not idle:
                    self._idle.pop(address)
        for connection in expired:
            self.close(connection)

    def open_count(self, address: str) -> int:
        """Return how many connections to a target are open."""
        with self._lock:
            return self._open.get(address, 0)

    def _expiry_loop(self) -> None:
        while self.kernel.wait_while_running(_EXPIRY_INTERVAL_S):
            self.close_expired()

    def _idle_limit_s(self) -> float:
        return float(self.kernel.settings.forwarding.idle_connection_s)

    def _pop_idle(self, address: str) -> TargetConnection | None:
        with self._lock:
            idle = self._idle.get(address)
            # The most recently used one is the most likely to work.
            return idle.pop() if idle else None

    def _decrement_open(self, address: str) -> None:
        with self._lock:
            self._open[address] -= 1
            if self._open[address] <= 0:
                self._open.pop(address)

    def _connection_limit(self, target: Target) -> int:
        entry_peers = [
            peer for peer in self._peers.alive() if 'entry' in peer.roles
        ]
        return max(1, target.connections // max(1, len(entry_peers)))

    def _open_new(
        self, target: Target, *, timeout_s: float
    ) -> TargetConnection:
        limit = self._connection_limit(target)
        with self._lock:
            if self._open[target.address] >= limit:
                raise ConnectionLimitError(
                    f'{limit} connections to {target.address} are in use'
                )
            self._open[target.address] += 1
        host, port = target.address.split(':')
        # Only entry instances use it; the others start sooner without it.
        import urllib3  # noqa: WPS433

        connection = urllib3.connection.HTTPConnection(
            host, int(port), timeout=max(0.001, timeout_s)
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._decrement_open(target.address)
            raise NoConnectionError(str(error)) from error
        return TargetConnection(
            target.address, connection, now_s=self.kernel.clock.now_s()
        )

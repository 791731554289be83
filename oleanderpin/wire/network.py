"""Thrift calls to peers over pooled connections."""

import importlib
import socket
import threading
from collections import defaultdict, deque
from typing import Any

from thrift.protocol.TMultiplexedProtocol import TMultiplexedProtocol
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TApplicationException, TException
from thrift.transport.TTransport import TTransportException

from ..core.errors import UnavailableError
from ..core.plugin import Plugin, plugins
from .peer_traffic import PeerTraffic
from .transport import CountingSocket, framed_protocol

_MAX_IDLE_CONNECTIONS_PER_PEER = 4
_GENERATED_PACKAGE = 'oleanderpin.wire.generated'
# The decoder raises the last one for a container with too many items.
_UNREADABLE = (TTransportException, TProtocolException, OSError, OverflowError)


class PeerCallError(UnavailableError):
    """A call to a peer that got no response.

    ``sent`` is True if the peer may have received the request.
    """

    kind = 'peer_call_failed'

    def __init__(self, problem: str, *, sent: bool) -> None:
        """Build the error and store whether the peer may have received it."""
        super().__init__(
            problem,
            remedy='check that the peer runs and its peer port is reachable',
            maybe_applied=sent,
        )
        self.sent = sent


class _Connection:
    """Open Thrift connection to a peer."""

    def __init__(
        self, address: str, *, timeout_s: float, compresses: bool
    ) -> None:
        host, port = address.split(':')
        self._socket = CountingSocket(host, int(port))
        self.set_timeout(timeout_s)
        self._protocol = framed_protocol(self._socket, compresses=compresses)
        self._socket.open()
        # Nagle's algorithm delayed some small calls by about 35 ms.
        self._socket.handle.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )

    def set_timeout(self, timeout_s: float) -> None:
        self._socket.setTimeout(max(1, int(timeout_s * 1000)))

    def call(
        self, service_name: str, method: str, arguments: tuple[Any, ...]
    ) -> Any:
        protocol = TMultiplexedProtocol(self._protocol, service_name)
        client = _client_class(service_name)(protocol)
        result = getattr(client, method)(*arguments)
        # An idle connection would keep the frame of the reply.
        self._protocol.trans.expect_message()
        return result

    @property
    def byte_count(self) -> int:
        return self._socket.byte_count

    def close(self) -> None:
        self._socket.close()


@plugins.register('peer-network')
class PeerNetwork(Plugin):
    """Connection pool for calls to peers.

    All calls to other instances go through this plug-in, so that tests can
    simulate network partitions.
    """

    def __init__(self, kernel: Any) -> None:
        """Initialize an empty connection pool."""
        super().__init__(kernel)
        self._traffic = kernel.plugin(PeerTraffic)
        self._idle: dict[str, deque[_Connection]] = defaultdict(deque)
        self._lock = threading.Lock()

    def call(
        self,
        address: str,
        service_name: str,
        method: str,
        *arguments: Any,
        timeout_s: float,
    ) -> Any:
        """Call ``method`` of a peer's Thrift service.

        Parameters
        ----------
        address : str
            Peer address as ``ip:port``.
        service_name : str
            Thrift service; its generated module must exist.
        method : str
            Method name.
        *arguments : Any
            Thrift arguments.
        timeout_s : float
            Timeout of the connect and of each read or write, in seconds.

        Returns
        -------
        Any
            The Thrift result.

        Raises
        ------
        PeerCallError
            If the call got no response.
        TException
            An exception declared by the method.
        """
        connection = self._acquire(address, timeout_s=timeout_s)
        counted = connection.byte_count
        reusable = False
        try:
            result = connection.call(service_name, method, arguments)
            reusable = True
        except _UNREADABLE as error:
            raise PeerCallError(
                f'{service_name}.{method} at {address} failed: {error}',
                sent=True,
            ) from error
        except TApplicationException as error:
            raise PeerCallError(
                f'{service_name}.{method} was rejected by {address}: {error}',
                sent=True,
            ) from error
        except TException:
            reusable = True
            raise
        finally:
            self._traffic.note(
                address,
                f'{service_name}.{method}',
                connection.byte_count - counted,
            )
            # A connection with an outstanding response must not be reused.
            self._release(address, connection, reusable=reusable)
        return result

    def close_idle(self, address: str) -> None:
        """Close the idle connections to ``address``."""
        with self._lock:
            connections = self._idle.pop(address, deque())
        for connection in connections:
            connection.close()

    def stop(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def _acquire(self, address: str, *, timeout_s: float) -> _Connection:
        with self._lock:
            idle = self._idle[address]
            connection = idle.pop() if idle else None
        if connection is not None:
            connection.set_timeout(timeout_s)
            return connection
        try:
            return _Connection(
                address,
                timeout_s=timeout_s,
                compresses=self.kernel.settings.peers.compress_calls,
            )
        except (TTransportException, OSError) as error:
            raise PeerCallError(
                f'cannot connect to {address}: {error}', sent=False
            ) from error

    def _release(
        self, address: str, connection: _Connection, *, reusable: bool
    ) -> None:
        if not reusable:
            connection.close()
            # An unresponsive path affects all connections opened earlier.
            self.close_idle(address)
            return
        with self._lock:
            idle = self._idle[address]
            if len(idle) < _MAX_IDLE_CONNECTIONS_PER_PEER:
                idle.append(connection)
                return
        connection.close()


def _client_class(service_name: str) -> Any:
    module_name = f'{_GENERATED_PACKAGE}.{service_name.lower()}.{service_name}'
    return importlib.import_module(module_name).Client

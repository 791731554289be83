"""Thrift server for requests from peers, with one thread per connection."""

import logging
import socket
import threading
import time
from fractions import Fraction
from typing import Any

from thrift.Thrift import TException
from thrift.TMultiplexedProcessor import TMultiplexedProcessor
from thrift.transport.TTransport import TTransportException

from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..core.process_resources import connection_limit
from .inbound import InboundConnection, InboundPool
from .transport import CountingSocket, framed_protocol

_LOG = logging.getLogger(__name__)
_BACKLOG_CONNECTIONS = 128
_MAX_CONNECTIONS = 1024
# Leaves descriptors for callers, operators and targets.
_OF_DESCRIPTORS = Fraction(1, 3)
_ACCEPT_RETRY_S = 0.05
_MALFORMED = (TException, ValueError, TypeError, OverflowError)
# Idle peer connections are closed so that unresponsive peers do not occupy
# threads.
_IDLE_TIMEOUT_S = 120.0


@plugins.register('peer-server')
class PeerServer(Plugin):
    """Accepts peer connections and dispatches calls to registered services."""

    def __init__(self, kernel: Any) -> None:
        """Initialize without services and without a listener."""
        super().__init__(kernel)
        self._processor = TMultiplexedProcessor()
        self._listener: socket.socket | None = None
        self._pool = InboundPool(
            max_connections=connection_limit(
                _MAX_CONNECTIONS, of_descriptors=_OF_DESCRIPTORS
            ),
            max_held_bytes=kernel.settings.peers.max_received_bytes,
        )

    def register(self, service_name: str, processor: Any) -> None:
        """Serve ``processor`` under ``service_name``.

        Parameters
        ----------
        service_name : str
            Name of the Thrift service.
        processor : TProcessor
            Generated Thrift processor that wraps the handler.
        """
        self._processor.registerProcessor(service_name, processor)

    def start(self) -> None:
        """Listen on the peer address."""
        host, port = self.kernel.settings.listen.peer.split(':')
        listener = socket.create_server(
            (host, int(port)), backlog=_BACKLOG_CONNECTIONS
        )
        self._listener = listener
        threading.Thread(
            target=self._accept, name='peer-accept', daemon=True
        ).start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            # Unblocks the thread that waits in accept().
            _shut_down_and_close(self._listener)
        for connection in self._pool.sockets():
            _shut_down_and_close(connection)

    def _accept(self) -> None:
        listener = self._listener
        while listener is not None and not self.kernel.stopping.is_set():
            try:
                connection, _address = listener.accept()
            except OSError as error:
                if listener.fileno() < 0 or self.kernel.stopping.is_set():
                    return
                EVENTS.labels('wire', 'accept_failed').inc()
                _LOG.warning('cannot accept a peer connection: %s', error)
                self._pool.make_room()
                time.sleep(_ACCEPT_RETRY_S)
            else:
                self._admit(connection)

    def _admit(self, sock: socket.socket) -> None:
        connection = self._pool.admit(sock)
        if connection is None:
            EVENTS.labels('wire', 'connection_limit').inc()
            sock.close()
            return
        thread = threading.Thread(
            target=self._serve,
            args=(connection,),
            name='peer-connection',
            daemon=True,
        )
        try:
            thread.start()
        except RuntimeError as error:
            # The system gives no more threads.
            EVENTS.labels('wire', 'thread_failed').inc()
            _LOG.warning('cannot serve a peer connection: %s', error)
            self._pool.remove(connection)
            sock.close()

    def _serve(self, connection: InboundConnection) -> None:
        peer_socket = CountingSocket()
        peer_socket.setHandle(connection.sock)
        protocol = framed_protocol(
            peer_socket,
            compresses=self.kernel.settings.peers.compress_calls,
            inbound=connection,
        )
        try:
            # stop() may already have closed the connection.
            _set_socket_options(connection.sock)
            while not self.kernel.stopping.is_set():
                protocol.trans.expect_message()
                self._processor.process(protocol, protocol)
        except (TTransportException, OSError):
            EVENTS.labels('wire', 'connection_closed').inc()
        except _MALFORMED as error:
            EVENTS.labels('wire', 'malformed_message').inc()
            _LOG.warning(
                'closing peer connection after a malformed message: %s', error
            )
        except Exception:
            EVENTS.labels('wire', 'malformed_message').inc()
            _LOG.exception('closing peer connection after an unexpected error')
        finally:
            self._pool.remove(connection)
            peer_socket.close()


def _set_socket_options(connection: socket.socket) -> None:
    connection.settimeout(_IDLE_TIMEOUT_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _shut_down_and_close(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer may already have closed the connection.
        EVENTS.labels('wire', 'closed_before_shutdown').inc()
    connection.close()

"""Tests of the Thrift server for requests from peers."""

import socket
from pathlib import Path

from ...core.kernel import Kernel
from ...core.settings import load_settings
from ...testing import free_ports, settings_text
from ...wire.server import PeerServer


def test_connection_closed_by_a_stop_ends_quietly(tmp_path: Path) -> None:
    """Guards against an unhandled error in a connection thread during a stop.

    stop() may close a connection before its thread has started to serve it.
    """
    path = tmp_path / 'entry.ini'
    path.write_text(settings_text(name='e1', ports=free_ports(3), seeds=[]))
    server = Kernel(load_settings(path)).plugin(PeerServer)
    server_end, peer_end = socket.socketpair()
    server_end.close()
    peer_end.close()
    connection = server._pool.admit(server_end)
    assert connection is not None
    server._serve(connection)
    assert not server._pool.sockets()

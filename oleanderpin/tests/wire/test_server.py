"""The listener for requests from peers."""

import socket
from pathlib import Path

from ...core.kernel import Kernel
from ...core.settings import load_settings
from ...testing import free_ports, settings_text
from ...wire.server import PeerServer


def test_connection_closed_by_a_stop_ends_quietly(tmp_path: Path) -> None:
    """Guards against an error in a thread that starts during a stop."""
    path = tmp_path / 'entry.ini'
    path.write_text(settings_text(name='e1', ports=free_ports(3), seeds=[]))
    server = Kernel(load_settings(path)).plugin(PeerServer)
    ours, theirs = socket.socketpair()
    ours.close()
    theirs.close()
    server._serve(ours)
    assert not server._connections

"""Clients of the admin port that do not behave, against a real process."""

import contextlib
import socket
import threading
from pathlib import Path

from ...testing.crowds import (
    answers_operators,
    control_daemon,
    crowd_at,
    is_alive,
    memory_mb,
)
from ...testing.processes import ADMIN_PORT

MAX_MEMORY_MB = 200
GET = b'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n'


def test_requests_without_a_pause_take_bounded_memory(tmp_path: Path) -> None:
    """Guards against bytes that are read faster than requests are handled.

    Each request is 36 bytes; after each one, 64 KB more were read.
    """
    with control_daemon(tmp_path) as daemon:
        with crowd_at(daemon, ADMIN_PORT) as crowd:
            crowd.connect(2)
            for sock in crowd.sockets:
                threading.Thread(target=_discard, args=(sock,)).start()
            crowd.send(GET * 3_000_000)
            assert memory_mb(daemon) < MAX_MEMORY_MB
            assert answers_operators(daemon)
        assert is_alive(daemon)


def _discard(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while sock.recv(65536):
            pass

"""All crowds of clients at the ports of a control instance, at once."""

import contextlib
import random
import socket
import threading
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from .listener_crowds import Crowd, crowd_at, framed, peer_call, varint
from .processes import ADMIN_PORT, PEER_PORT, DaemonProcess

MB = 1024 * 1024
_RECEIVE_BYTES = 65536
_POST = b'POST /v1/changes HTTP/1.1\r\nHost: a\r\n'
_GET = b'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n'
_METRICS = b'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'


@dataclass(frozen=True, slots=True)
class CrowdPlan:
    """What the clients of one crowd do.

    Parameters
    ----------
    port : int
        Port of the instance.
    connections : int
        Number of clients.
    payload : bytes
        What each of them sends; nothing more follows.
    receive_buffer_bytes : int
        Size of their receive buffers; 0 leaves it as it is.
    reads : bool
        Whether they read what is answered.
    """

    port: int
    connections: int
    payload: bytes = b''
    receive_buffer_bytes: int = 0
    reads: bool = False


def peer_plans() -> list[CrowdPlan]:
    """Return the crowds of ``tests/wire``, strangers without a call first."""
    text = b'\x18' + varint(40 * MB) + b'\0' * 40 * MB + b'\0'
    compressed = zlib.compress(peer_call('Raft:identity', text), 9)
    first = peer_call('Exchange:push', b'\x1c\x18' + varint(15 * MB))
    malformed = peer_call('Exchange:push', b'\x1c\x39\x1c\0\0\0')
    return [
        CrowdPlan(PEER_PORT, 1100),
        CrowdPlan(PEER_PORT, 30, framed(b'\x82' * 8 * MB)[:-1]),
        CrowdPlan(PEER_PORT, 8, framed(compressed)),
        CrowdPlan(PEER_PORT, 4, _empty_records(99_000)),
        CrowdPlan(PEER_PORT, 4, _empty_records(5_000_000)),
        CrowdPlan(PEER_PORT, 16, framed(first) + framed(b'a' * MB) * 14),
        CrowdPlan(PEER_PORT, 1, framed(malformed) * 1000),
    ]


def operator_plans() -> list[CrowdPlan]:
    """Return the crowds of ``tests/operators``."""
    lists = b'{"arguments": {"x": [[]%s]}}' % (b',[]' * 1_200_000)
    asks = b'Content-Length: 3000000\r\nExpect: 100-continue\r\n\r\n'
    return [
        CrowdPlan(ADMIN_PORT, 150),
        CrowdPlan(ADMIN_PORT, 150, _GET),
        CrowdPlan(ADMIN_PORT, 2, _GET * 3_000_000, reads=True),
        CrowdPlan(ADMIN_PORT, 8, _body(b' ' * 100_000, missing=2_900_000)),
        CrowdPlan(ADMIN_PORT, 8, _POST + _CHUNKED + b'1\r\n \r\n'),
        CrowdPlan(ADMIN_PORT, 8, _POST + asks),
        CrowdPlan(ADMIN_PORT, 8, _POST + _CHUNKED + b'2\r\n  \r\n' * 700_000),
        CrowdPlan(ADMIN_PORT, 80, _body(b' ' * 2_999_999, missing=1)),
        CrowdPlan(ADMIN_PORT, 1500, _body(b' ' * 64_999, missing=1)),
        CrowdPlan(ADMIN_PORT, 4, _body(lists)),
        CrowdPlan(ADMIN_PORT, 8, _METRICS * 1000, receive_buffer_bytes=4096),
    ]


@contextlib.contextmanager
def all_at_once(
    daemon: DaemonProcess, plans: Sequence[CrowdPlan]
) -> Iterator[list[Crowd]]:
    """Connect all crowds, then let all send at the same time.

    The connections stay open until the context is left.
    """
    with contextlib.ExitStack() as stack:
        crowds = []
        senders = []
        for plan in plans:
            crowd = stack.enter_context(crowd_at(daemon, plan.port))
            _connect(crowd, plan)
            crowds.append(crowd)
            senders.append(
                threading.Thread(target=crowd.send, args=(plan.payload,))
            )
        senders.append(threading.Thread(target=_send_noise, args=(daemon,)))
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
        yield crowds


def _connect(crowd: Crowd, plan: CrowdPlan) -> None:
    crowd.connect(
        plan.connections, receive_buffer_bytes=plan.receive_buffer_bytes
    )
    if plan.reads:
        for sock in crowd.sockets:
            threading.Thread(target=_discard, args=(sock,)).start()


def _discard(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        is_open = True
        while is_open:
            is_open = bool(sock.recv(_RECEIVE_BYTES))


def _send_noise(daemon: DaemonProcess) -> None:
    """Send datagrams to the peer port that are no messages."""
    numbers = random.Random(1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(20_000):
            sender.sendto(numbers.randbytes(200), (daemon.host, PEER_PORT))


def _body(content: bytes, *, missing: int = 0) -> bytes:
    """Return a request whose body lacks so many bytes."""
    length = b'Content-Length: %d\r\n\r\n' % (len(content) + missing)
    return _POST + length + content


def _empty_records(count: int) -> bytes:
    records = b'\x1c\x39\xfc' + varint(count) + b'\0' * count
    return framed(peer_call('Exchange:push', records + b'\0\0'))

"""Crowds of clients that do not behave, against one real daemon."""

import contextlib
import resource
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from thrift.protocol.TMultiplexedProtocol import TMultiplexedProtocol
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TTransportException

from ..wire.generated.raft.Raft import Client
from ..wire.transport import framed_protocol
from . import process_readings
from .builders import free_network
from .processes import PEER_PORT, DaemonProcess, build_processes

_START_TIMEOUT_S = 30.0
_POLL_S = 0.1
_BYTES_PER_MB = 1024 * 1024
_CLIENT_TIMEOUT_S = 5.0
_FRAME_HEADER = struct.Struct('!i')
# Version and type of a call in the compact protocol, and its number.
_CALL = b'\x82\x21\x01'
_VARINT_BITS = 7
_VARINT_MASK = 127


@dataclass(slots=True)
class Crowd:
    """Connections to one port that stay open until the crowd is left."""

    address: tuple[str, int]
    sockets: list[socket.socket] = field(default_factory=list)

    def connect(self, count: int, *, receive_buffer_bytes: int = 0) -> None:
        """Open connections; those that are refused are left out."""
        for sock in [socket.socket() for _ in range(count)]:
            sock.settimeout(_CLIENT_TIMEOUT_S)
            if receive_buffer_bytes:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
                )
            try:
                sock.connect(self.address)
            except OSError:
                sock.close()
            else:
                self.sockets.append(sock)

    def send(self, payload: bytes) -> None:
        """Send the same on all connections at the same time."""
        senders = [
            threading.Thread(target=_send, args=(sock, payload), daemon=True)
            for sock in self.sockets
        ]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

    def await_ends(self) -> None:
        """Wait until each connection was answered or closed, for a while."""
        for sock in self.sockets:
            with contextlib.suppress(OSError):
                sock.recv(1)

    def close(self) -> None:
        """Close all connections."""
        for sock in self.sockets:
            sock.close()


def _send(sock: socket.socket, payload: bytes) -> None:
    # The daemon may close the connection or stop reading.
    with contextlib.suppress(OSError):
        sock.sendall(payload)


@contextlib.contextmanager
def crowd_at(daemon: DaemonProcess, port: int) -> Iterator[Crowd]:
    """Give a crowd at a port of the daemon, and close it."""
    crowd = Crowd((daemon.host, port))
    try:
        yield crowd
    finally:
        crowd.close()


@contextlib.contextmanager
def control_daemon(
    folder: Path,
    *,
    instance: Iterable[str] = (),
    peers: Iterable[str] = (),
    max_descriptors: int = 0,
    start: Callable[[DaemonProcess], None] = DaemonProcess.start,
) -> Iterator[DaemonProcess]:
    """Run one control instance until it is ready, and stop it in the end.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and data.
    instance, peers : iterable of str
        Lines for sections ``[instance]`` and ``[peers]``.
    max_descriptors : int
        Limit on its descriptors; 0 leaves it as it is.
    start : callable
        Starts the process.
    """
    daemon = build_processes(
        folder,
        network=f'{free_network()}.0',
        control=1,
        gateways=0,
        domains=[('north', 'north-a')],
    )[0]
    text = daemon.settings.read_text()
    for section, lines in (('[instance]', instance), ('[peers]', peers)):
        text = text.replace(f'{section}\n', '\n'.join([section, *lines, '']))
    daemon.settings.write_text(text)
    start(daemon)
    try:
        if max_descriptors:
            resource.prlimit(
                daemon.pid,
                resource.RLIMIT_NOFILE,
                (max_descriptors, max_descriptors),
            )
        wait_until(daemon.is_fresh)
        yield daemon
    finally:
        daemon.kill()


def is_alive(daemon: DaemonProcess) -> bool:
    """Return whether the process has not ended."""
    return daemon.process is not None and daemon.process.poll() is None


def memory_mb(daemon: DaemonProcess, *, peak: bool = True) -> float:
    """Return its resident memory, by default the largest so far."""
    return process_readings.memory_bytes(daemon.pid, peak=peak) / _BYTES_PER_MB


def descriptors(daemon: DaemonProcess) -> int:
    """Return the number of its open descriptors."""
    return process_readings.open_descriptors(daemon.pid)


def processor_s(daemon: DaemonProcess) -> float:
    """Return the processor time that the daemon has used."""
    return process_readings.processor_s(daemon.pid)


def log_lines(daemon: DaemonProcess) -> int:
    """Return the number of lines in its log."""
    log = daemon.settings.with_suffix('.log')
    return len(log.read_text().splitlines())


def answers_operators(daemon: DaemonProcess) -> bool:
    """Return whether a call on a new connection to the admin port is answered."""
    daemon.http.clear()
    return daemon.is_fresh()


def answers_peers(daemon: DaemonProcess) -> bool:
    """Return whether an ordinary call of a peer is answered."""
    sock = TSocket(daemon.host, PEER_PORT)
    sock.setTimeout(_CLIENT_TIMEOUT_S * 1000)
    try:
        sock.open()
        protocol = framed_protocol(sock, compresses=True)
        Client(TMultiplexedProtocol(protocol, 'Raft')).identity()
    except (TTransportException, OSError):
        return False
    finally:
        sock.close()
    return True


def peer_call(name: str, fields: bytes) -> bytes:
    """Return a call in the compact protocol with encoded arguments."""
    return _CALL + varint(len(name)) + name.encode() + fields


def framed(message: bytes) -> bytes:
    """Return a message with its length."""
    return _FRAME_HEADER.pack(len(message)) + message


def varint(number: int) -> bytes:
    """Return a number as the compact protocol encodes it."""
    encoded = bytearray()
    while number > _VARINT_MASK:
        encoded.append(number & _VARINT_MASK | (_VARINT_MASK + 1))
        number >>= _VARINT_BITS
    encoded.append(number)
    return bytes(encoded)


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, for a while.

    Raises
    ------
    TimeoutError
        If it does not come true.
    """
    end_s = time.monotonic() + _START_TIMEOUT_S
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError(f'not ready within {_START_TIMEOUT_S} s')
        time.sleep(_POLL_S)

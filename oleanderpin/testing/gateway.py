"""A gateway with scripted targets on loopback."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from ..control.authority import hash_key
from ..control.configuration import (
    AccountDocument,
    ConfigurationReplace,
    Objects,
    ProfileDocument,
    RouteDocument,
    ServiceDocument,
)
from ..control.view import ControlView
from ..core.kernel import Kernel
from ..gateway.plugin import Gateway
from ..operators.actions import OperatorActions
from ..targets.announcement import Announcement
from ..targets.table import TargetTable
from .builders import free_ports
from .fleet import build_settings

KEY = 'key-of-shop'
_READY_TIMEOUT_S = 15.0
_SOCKET_TIMEOUT_S = 10.0

Script = Callable[[bytes], bytes]


def request_bytes(
    *,
    method: str = 'GET',
    path: str = '/desk/1',
    request_id: str = 'r1',
    key: str = KEY,
    deadline_ms: int = 5000,
    body: bytes = b'',
) -> bytes:
    """Return a caller's request."""
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: shop.example',
        f'X-Request-Id: {request_id}',
        f'X-Request-Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {key}' if key else 'X-None: 1',
        f'Content-Length: {len(body)}' if body else 'X-Empty: 1',
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def header_of(message: bytes, name: bytes) -> bytes:
    """Return a header's value, empty if it is not there."""
    head = message.partition(b'\r\n\r\n')[0]
    for line in head.split(b'\r\n')[1:]:
        key, _colon, value = line.partition(b':')
        if key.lower() == name.lower():
            return value.strip()
    return b''


def answer_bytes(
    request: bytes,
    *,
    status: int = 200,
    body: bytes = b'ok',
    extra: str = '',
    request_id: bytes | None = None,
) -> bytes:
    """Return a target's answer to a request, with the request's id."""
    echoed = request_id or header_of(request, b'x-request-id')
    return (
        f'HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n'
        f'X-Request-Id: {echoed.decode()}\r\n{extra}\r\n'
    ).encode() + body


def read_message(connection: socket.socket, kept: bytearray) -> bytes:
    """Read one message with a length; empty at the end of the connection."""
    while b'\r\n\r\n' not in kept:
        data = connection.recv(65536)
        if not data:
            return b''
        kept.extend(data)
    head_bytes = kept.index(b'\r\n\r\n') + 4
    length = int(header_of(bytes(kept), b'content-length') or 0)
    while len(kept) < head_bytes + length:
        data = connection.recv(65536)
        if not data:
            return b''
        kept.extend(data)
    message = bytes(kept[: head_bytes + length])
    del kept[: head_bytes + length]
    return message


@dataclass(slots=True)
class ScriptedHttpTarget:
    """Answers each request with the bytes that a script returns.

    An empty result closes the connection without an answer.
    """

    script: Script = answer_bytes
    requests: list[bytes] = field(default_factory=list)
    port: int = 0
    _server: socket.socket | None = None

    def start(self) -> 'ScriptedHttpTarget':
        """Listen on a free port."""
        self._server = socket.create_server(('127.0.0.1', 0))
        self.port = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def stop(self) -> None:
        """Close the listening socket."""
        if self._server is not None:
            self._server.close()

    def _accept(self) -> None:
        while self._server is not None:
            try:
                connection, _address = self._server.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        kept = bytearray()
        with connection:
            message = read_message(connection, kept)
            while message:
                self.requests.append(message)
                answer = self.script(message)
                if not answer:
                    return
                connection.sendall(answer)
                message = read_message(connection, kept)


@dataclass(slots=True)
class GatewayFixture:
    """A started gateway that is its own control group."""

    kernel: Kernel
    port: int

    def connect(self) -> socket.socket:
        """Open a caller's connection."""
        return socket.create_connection(
            ('127.0.0.1', self.port), _SOCKET_TIMEOUT_S
        )

    def ask(self, *requests: bytes) -> list[bytes]:
        """Send requests behind each other and return their answers."""
        kept = bytearray()
        with self.connect() as connection:
            connection.sendall(b''.join(requests))
            return [read_message(connection, kept) for _each in requests]

    def buffered_bytes(self) -> int:
        """Return the bytes of bodies that the gateway holds."""
        return self.kernel.plugin(Gateway).listener.buffered_bytes

    def announce(
        self, target: ScriptedHttpTarget, name: str, *, service: str = 'desk'
    ) -> None:
        """Announce a target of the own failure domain."""
        self.kernel.plugin(TargetTable).announce(
            Announcement(
                service=service,
                target_id=name,
                address=f'127.0.0.1:{target.port}',
                region='north',
                failure_domain='north-a',
                slots=4,
            )
        )


def configuration(
    *,
    number: int = 1,
    based_on: int = 0,
    profile: ProfileDocument | None = None,
    rate_per_s: float = 0.0,
    services: tuple[str, ...] = ('desk',),
    weights: tuple[float, ...] = (1.0,),
) -> ConfigurationReplace:
    """Return a configuration with one route below ``/desk/``."""
    return ConfigurationReplace(
        number=number,
        based_on=based_on,
        objects=Objects(
            profiles={'counter': profile or ProfileDocument()},
            services={
                name: ServiceDocument(profile='counter') for name in services
            },
            routes={
                'desk': RouteDocument(
                    host='shop.example',
                    path_prefix='/desk/',
                    profile='counter',
                    services=services,
                    weights=weights,
                )
            },
            accounts={
                'shop': AccountDocument(
                    key_hashes=(hash_key(KEY),),
                    rate_per_s=rate_per_s,
                    burst=rate_per_s,
                )
            },
        ),
    )


def gateway_settings(ports: list[int], folder: Path) -> str:
    """Return the INI text of a gateway that is its own control group.

    Parameters
    ----------
    ports : list of int
        Caller, admin and peer port.
    folder : Path
        Data folder.
    """
    return '\n'.join(
        (
            '[instance]',
            'name = g1',
            'region = north',
            'failure_domain = north-a',
            'roles = gateway, control',
            f'data_dir = {folder}',
            '[listen]',
            f'caller = 127.0.0.1:{ports[0]}',
            f'admin = 127.0.0.1:{ports[1]}',
            f'peer = 127.0.0.1:{ports[2]}',
            '[control]',
            f'initial_members = g1=127.0.0.1:{ports[2]}',
            '[gateway]',
            'grace_s = 1',
            'lookup_ttl_s = 0',
            'max_buffered_bytes = 1048576',
        )
    )


@contextmanager
def started_gateway(
    folder: Path, change: ConfigurationReplace
) -> Iterator[GatewayFixture]:
    """Run a gateway with a configuration until the block ends.

    It has authority, so that requests with keys are answered.
    """
    ports = free_ports(3)
    kernel = Kernel(build_settings(gateway_settings(ports, folder)))
    kernel.start()
    try:
        _configure(kernel, change)
        yield GatewayFixture(kernel, ports[0])
    finally:
        kernel.drain(timeout_s=0)
        kernel.stop()


def _configure(kernel: Kernel, change: ConfigurationReplace) -> None:
    actions = kernel.plugin(OperatorActions)
    end_s = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < end_s:
        outcome = actions.replace_configuration(change)
        if outcome.kind == 'ok' and kernel.plugin(ControlView).is_fresh():
            return
    raise TimeoutError('no configuration was accepted')

"""A gateway with scripted HTTP targets on loopback, for tests and benchmarks."""

import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol, Self

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
from ..core.clock import monotonic_s
from ..core.kernel import Kernel
from ..gateway.plugin import Gateway
from ..operators.actions import OperatorActions
from ..targets.announcement import Announcement, Departure
from ..targets.table import TargetTable
from .builders import free_ports
from .fleet import build_settings

KEY = 'key-of-shop'
_READY_TIMEOUT_S = 15.0
_READY_POLL_S = 0.05
_SOCKET_TIMEOUT_S = 10.0
_SMALL_RECEIVE_BUFFER_BYTES = 4096
# Linger is on, for zero seconds.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)

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
    """Return the bytes of a caller's HTTP request."""
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
    """Return a header's value, or empty bytes if it is missing."""
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
    """Return the bytes of a target's response to a request.

    The response echoes the id of the request unless ``request_id`` is given.
    """
    echoed = request_id or header_of(request, b'x-request-id')
    return (
        f'HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n'
        f'X-Request-Id: {echoed.decode()}\r\n{extra}\r\n'
    ).encode() + body


class Readable(Protocol):
    """What messages are read from."""

    def recv(self, size: int, /) -> bytes:
        """Return the next bytes, empty at the end."""
        ...


def read_message(connection: Readable, buffer: bytearray) -> bytes:
    """Read one message that is framed by ``Content-Length``.

    Bytes that follow the message stay in ``buffer`` for the next call. Returns
    empty bytes if the connection ends before the message is complete.
    """
    while b'\r\n\r\n' not in buffer:
        data = connection.recv(65536)
        if not data:
            return b''
        buffer.extend(data)
    head_bytes = buffer.index(b'\r\n\r\n') + 4
    length = int(header_of(bytes(buffer), b'content-length') or 0)
    while len(buffer) < head_bytes + length:
        data = connection.recv(65536)
        if not data:
            return b''
        buffer.extend(data)
    message = bytes(buffer[: head_bytes + length])
    del buffer[: head_bytes + length]
    return message


class LoopbackTarget:
    """Accepts connections on a free port and serves each in a thread."""

    def __init__(self, *, port: int = 0) -> None:
        """Store the port of a listener that is not this one, if given."""
        self.port = port
        self._server: socket.socket | None = None

    def start(self) -> Self:
        """Listen on a free port."""
        self._server = socket.create_server(('127.0.0.1', 0))
        self.port = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def stop(self) -> None:
        """Close the listening socket."""
        server = self._server
        self._server = None
        if server is not None:
            # A blocked accept keeps the port open otherwise.
            server.shutdown(socket.SHUT_RDWR)
            server.close()

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection until it is closed."""
        raise NotImplementedError

    def _accept(self) -> None:
        server = self._server
        while server is not None:
            try:
                connection, _address = server.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            try:
                self.serve(connection)
            except ConnectionError:
                # The gateway has given up a request.
                return


class ScriptedHttpTarget(LoopbackTarget):
    """Responds to each request with the bytes that a script returns.

    An empty result closes the connection without a response.
    """

    def __init__(self, script: Script = answer_bytes, *, port: int = 0) -> None:
        """Start without requests."""
        super().__init__(port=port)
        self.script = script
        self.requests: list[bytes] = []

    def serve(self, connection: socket.socket) -> None:
        """Respond to one request after the other."""
        buffer = bytearray()
        message = read_message(connection, buffer)
        while message:
            self.requests.append(message)
            response = self.script(message)
            if not response:
                return
            connection.sendall(response)
            message = read_message(connection, buffer)


class RepeatingRefuser(ScriptedHttpTarget):
    """Refuses its first request, and runs all later ones.

    The next request on the same connection gets a second copy of the refusal
    first. ``ran`` holds the ids of the requests that ran.
    """

    def __init__(self) -> None:
        """Start without requests."""
        super().__init__()
        self.ran: list[bytes] = []

    def serve(self, connection: socket.socket) -> None:
        """Respond to one request after the other."""
        buffer = bytearray()
        copy = b''
        message = read_message(connection, buffer)
        while message:
            self.requests.append(message)
            if len(self.requests) == 1:
                copy = answer_bytes(
                    message,
                    status=503,
                    extra='X-Not-Run: true\r\nX-Target-Load: 1,0,4\r\n',
                )
                connection.sendall(copy)
            else:
                self.ran.append(header_of(message, b'x-request-id'))
                connection.sendall(copy + answer_bytes(message))
                copy = b''
            message = read_message(connection, buffer)


class CongestedTarget(ScriptedHttpTarget):
    """Accepts one connection, and no other one until it is told to.

    Connections that are opened meanwhile are not established, so that the
    requests that need them wait.
    """

    def __init__(self, script: Script = answer_bytes) -> None:
        """Start with room for one connection."""
        super().__init__(script)
        self.relieved = threading.Event()
        self._fillers: list[socket.socket] = []

    def start(self) -> Self:
        """Listen on a free port, with the shortest queue of connections."""
        self._server = socket.create_server(('127.0.0.1', 0), backlog=0)
        self.port = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def fill(self) -> None:
        """Fill the queue of connections that are not accepted yet."""
        self._fillers = [socket.socket(), socket.socket(), socket.socket()]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(('127.0.0.1', self.port))

    def relieve(self) -> None:
        """Accept all connections from now on."""
        for filler in self._fillers:
            filler.close()
        self.relieved.set()

    def serve(self, connection: socket.socket) -> None:
        """Respond to one request after the other."""
        try:
            super().serve(connection)
        except OSError:
            return

    def _accept(self) -> None:
        if self._server is None:
            return
        try:
            connection, _address = self._server.accept()
        except OSError:
            return
        threading.Thread(
            target=self._serve, args=(connection,), daemon=True
        ).start()
        self.relieved.wait()
        super()._accept()


class CrashingTarget(LoopbackTarget):
    """Ends when it begins to run a deadly request, with all its connections.

    It listens again on the same port when it is started again. ``crashes``
    counts its ends, and ``served`` the requests that it has responded to.

    Parameters
    ----------
    name : str
        Id that its health states.
    deadly : bytes
        What deadly requests contain.
    body : bytes
        Body of each response.
    """

    def __init__(
        self, name: str, deadly: bytes = b'deadly', *, body: bytes = b'ok'
    ) -> None:
        """Start without connections."""
        super().__init__()
        self.name = name
        self.crashes = 0
        self.served = 0
        self._deadly = deadly
        self._body = body
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()

    def start(self) -> Self:
        """Listen on the port that it had before, or else on a free one."""
        self._server = socket.create_server(('127.0.0.1', self.port))
        self.port = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def crash(self) -> None:
        """Close the listening socket and reset all connections."""
        with self._lock:
            server = self._server
            self._server = None
            opened = list(self._open)
        if server is None:
            return
        self.crashes += 1
        # A blocked accept keeps the port open otherwise.
        server.shutdown(socket.SHUT_RDWR)
        server.close()
        for connection in opened:
            reset(connection)

    def serve(self, connection: socket.socket) -> None:
        """Respond to one request after the other, until one ends the target."""
        with self._lock:
            self._open.add(connection)
        buffer = bytearray()
        try:
            message = read_message(connection, buffer)
            while message:
                if self._deadly in message:
                    self.crash()
                    return
                self.served += not message.startswith(b'GET /health')
                extra = f'X-Target-Id: {self.name}\r\n'
                connection.sendall(
                    answer_bytes(message, body=self._body, extra=extra)
                )
                message = read_message(connection, buffer)
        except OSError:
            return
        finally:
            with self._lock:
                self._open.discard(connection)


def reset(connection: socket.socket) -> None:
    """Reset a connection that may be in use by another thread."""
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        connection.shutdown(socket.SHUT_RD)
        connection.close()
    except OSError:
        # The other end has closed it.
        return


@dataclass(slots=True)
class GatewayFixture:
    """A running gateway that is the only member of its control group."""

    kernel: Kernel
    port: int
    announced: list[LoopbackTarget] = field(default_factory=list)

    def stop(self) -> None:
        """Stop the gateway and the targets that were announced to it."""
        self.kernel.drain(timeout_s=0)
        self.kernel.stop()
        for target in self.announced:
            target.stop()

    def connect(self) -> socket.socket:
        """Open a connection to the caller port."""
        return socket.create_connection(
            ('127.0.0.1', self.port), _SOCKET_TIMEOUT_S
        )

    def connect_slowly(self) -> socket.socket:
        """Open a connection that takes in a few kilobytes at a time."""
        connection = socket.socket()
        connection.settimeout(_SOCKET_TIMEOUT_S)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_RECEIVE_BUFFER_BYTES
        )
        connection.connect(('127.0.0.1', self.port))
        return connection

    def ask(self, *requests: bytes) -> list[bytes]:
        """Pipeline requests on one connection and return their responses."""
        buffer = bytearray()
        with self.connect() as connection:
            connection.sendall(b''.join(requests))
            return [read_message(connection, buffer) for _each in requests]

    def held_bytes(self) -> int:
        """Return the bytes that the gateway holds for callers and targets."""
        return self.kernel.memory.held_bytes

    def buffered_response_bytes(self) -> int:
        """Return the number of bytes of incomplete responses."""
        return self.kernel.plugin(Gateway).response_budget.total_bytes

    def announce(
        self,
        target: LoopbackTarget,
        name: str,
        *,
        service: str = 'desk',
        generation: int | None = None,
        cold_s: float = 0.0,
        slots: int = 4,
    ) -> None:
        """Announce a target in the gateway's own failure domain."""
        self.announced.append(target)
        self.kernel.plugin(TargetTable).announce(
            Announcement(
                service=service,
                target_id=name,
                address=f'127.0.0.1:{target.port}',
                region='north',
                failure_domain='north-a',
                slots=slots,
                generation=generation,
                cold_s=cold_s,
            )
        )

    def withdraw(self, name: str, *, service: str = 'desk') -> None:
        """Tell the gateway that a target has left."""
        departure = Departure(service=service, target_id=name)
        self.kernel.plugin(TargetTable).leave(departure)


def configuration(
    *,
    number: int = 1,
    based_on: int = 0,
    profile: ProfileDocument | None = None,
    rate_per_s: float = 0.0,
    services: tuple[str, ...] = ('desk',),
    weights: tuple[float, ...] = (1.0,),
    cold_rate_per_s: float = 0.0,
) -> ConfigurationReplace:
    """Return a configuration with one route, for paths below ``/desk/``."""
    return ConfigurationReplace(
        number=number,
        based_on=based_on,
        objects=Objects(
            profiles={'counter': profile or ProfileDocument()},
            services={
                name: ServiceDocument(
                    profile='counter', cold_rate_per_s=cold_rate_per_s
                )
                for name in services
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


def with_route_to(
    change: ConfigurationReplace, service: str
) -> ConfigurationReplace:
    """Return a configuration with a service more, for paths below its name."""
    objects = change.objects
    route = objects.routes['desk'].model_copy(
        update={
            'path_prefix': f'/{service}/',
            'services': (service,),
            'weights': (1.0,),
        }
    )
    objects = objects.model_copy(
        update={
            'services': objects.services | {service: objects.services['desk']},
            'routes': objects.routes | {service: route},
        }
    )
    return change.model_copy(update={'objects': objects})


def gateway_settings(
    ports: list[int],
    folder: Path,
    *,
    options: tuple[str, ...] = (),
    leader_port: int = 0,
    grace_s: float = 1.0,
) -> str:
    """Return the INI text of a gateway.

    Parameters
    ----------
    ports : list of int
        Caller, admin and peer port.
    folder : Path
        Data directory.
    options : tuple of str
        Further lines, beginning in the section ``gateway``.
    leader_port : int
        Peer port of the only control member; 0 if that is this gateway.
    grace_s : float
        Time in which the gateway has to stop.
    """
    control_port = leader_port or ports[2]
    own = ['name = g1', 'roles = gateway, control', f'data_dir = {folder}']
    peers = []
    if leader_port:
        own = ['name = g2', 'roles = gateway']
        peers = ['[peers]', f'seeds = 127.0.0.1:{leader_port}']
    return '\n'.join(
        (
            '[instance]',
            *own,
            'region = north',
            'failure_domain = north-a',
            '[listen]',
            f'caller = 127.0.0.1:{ports[0]}',
            f'admin = 127.0.0.1:{ports[1]}',
            f'peer = 127.0.0.1:{ports[2]}',
            *peers,
            '[control]',
            f'initial_members = g1=127.0.0.1:{control_port}',
            '[gateway]',
            f'grace_s = {grace_s}',
            'lookup_ttl_s = 0',
            'max_buffered_bytes = 1048576',
            *options,
        )
    )


@contextmanager
def started_gateway(
    folder: Path,
    change: ConfigurationReplace,
    *,
    options: tuple[str, ...] = (),
    grace_s: float = 1.0,
) -> Iterator[GatewayFixture]:
    """Run a gateway with a configuration until the block ends.

    The block is entered once the configuration is accepted and the control
    state is fresh. The gateway then has the authority that it needs to accept
    requests with keys.

    Parameters
    ----------
    folder : Path
        Data directory.
    change : ConfigurationReplace
        The configuration.
    options : tuple of str
        Further lines of the settings, beginning in the section ``gateway``.
    grace_s : float
        Time in which the gateway has to stop.
    """
    ports = free_ports(3)
    text = gateway_settings(ports, folder, options=options, grace_s=grace_s)
    kernel = Kernel(build_settings(text))
    kernel.start()
    gateway = GatewayFixture(kernel, ports[0])
    try:
        configure(kernel, change)
        yield gateway
    finally:
        gateway.stop()


@contextmanager
def joined_gateway(
    folder: Path, first: GatewayFixture, *, options: tuple[str, ...] = ()
) -> Iterator[GatewayFixture]:
    """Run a second gateway until the block ends.

    The block is entered once its control state is fresh.

    Parameters
    ----------
    folder : Path
        Data directory.
    first : GatewayFixture
        Gateway that is the only control member.
    options : tuple of str
        Further lines of the settings, beginning in the section ``gateway``.
    """
    ports = free_ports(3)
    leader_port = int(first.kernel.settings.listen.peer.rpartition(':')[2])
    text = gateway_settings(
        ports, folder, options=options, leader_port=leader_port
    )
    kernel = Kernel(build_settings(text))
    kernel.start()
    gateway = GatewayFixture(kernel, ports[0])
    try:
        _wait_until_configured(kernel)
        yield gateway
    finally:
        gateway.stop()


def _wait_until_configured(kernel: Kernel) -> None:
    view = kernel.plugin(ControlView)
    deadline_s = monotonic_s() + _READY_TIMEOUT_S
    while not (view.is_fresh() and view.state.configuration.number):
        if monotonic_s() > deadline_s:
            raise TimeoutError(
                f'no fresh control state within {_READY_TIMEOUT_S} s'
            )
        time.sleep(_READY_POLL_S)


def configure(kernel: Kernel, change: ConfigurationReplace) -> None:
    """Put a configuration in force on a gateway that leads its group."""
    actions = kernel.plugin(OperatorActions)
    deadline_s = monotonic_s() + _READY_TIMEOUT_S
    while monotonic_s() < deadline_s:
        outcome = actions.replace_configuration(change)
        if outcome.kind == 'ok' and kernel.plugin(ControlView).is_fresh():
            return
    raise TimeoutError(
        'configuration not accepted, or control state not fresh, within '
        f'{_READY_TIMEOUT_S} s'
    )

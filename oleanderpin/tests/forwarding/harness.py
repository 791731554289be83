"""Runs the forwarding of an entry instance with fakes for other plug-ins."""

import json
import socket
import threading
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import urllib3

from ...control.authority import Authority, hash_key
from ...control.state import Account, Profile, Service
from ...control.view import ControlView
from ...core.clock import MonotonicClock
from ...core.errors import Refusal, RefusalDetails
from ...core.settings import load_settings
from ...forwarding.pipeline import Pipeline
from ...limits.fair_queue import FairQueue
from ...limits.limiter import RateLimiter
from ...lookup.answer import Lookup
from ...membership.peers import Peers
from ...routing.router import Router
from ...targets.exchange import Exchange
from ...targets.table import Target
from ...testing import free_ports, settings_text
from ...wire.network import PeerCallError, PeerNetwork
from ...wire.server import PeerServer

KEY = 'a-secret-key-of-the-shop'


def make_target(address: str, *, connections: int = 100) -> Target:
    return Target(
        service='desk',
        target_id=address,
        address=address,
        region='north',
        failure_domain='north-a',
        version='',
        slots=8,
        connections=connections,
        load=0.0,
    )


class FakeRouter:
    """Chooses targets in list order."""

    def __init__(self) -> None:
        self.targets: list[Target] = []
        self.records: list[Any] = []
        self.held = 0

    def choose(self, service: Any, *, route: str, exclude: Any) -> Any:
        for target in self.targets:
            if target.address not in exclude:
                return FakeSelection(self, target)
        raise Refusal('no_target', 'none', details=RefusalDetails())


class FakeSelection:
    def __init__(self, router: FakeRouter, target: Target) -> None:
        self.router = router
        self.target = target

    def __enter__(self) -> 'FakeSelection':
        self.router.held += 1
        return self

    def __exit__(self, *_exc_info: object) -> None:
        self.router.held -= 1

    def record(self, outcome: Any) -> None:
        self.router.records.append((self.target.address, outcome))


class FakeExchange:
    """Delivers published records to the connected exchanges."""

    def __init__(self) -> None:
        self.receivers: dict[str, Any] = {}
        self.others: list[FakeExchange] = []

    def on_record(self, kind: str, receiver: Any) -> None:
        self.receivers[kind] = receiver

    def publish(self, kind: str, name: str, payload: bytes, **_: Any) -> None:
        for other in self.others:
            other.receivers[kind](SimpleNamespace(name=name, payload=payload))


@dataclass
class FakeAuthority:
    """Accepts one key until it is revoked."""

    revoked_after: int = 1000000
    checks: int = 0

    def check(self, *, key_hash: str | None, service: Any) -> Account:
        self.checks += 1
        if key_hash != hash_key(KEY) or self.checks > self.revoked_after:
            raise Refusal(
                'unknown_key', 'revoked', details=RefusalDetails(status=401)
            )
        return Account('shop', 100, 100)


class FakeQueue:
    def __init__(self) -> None:
        self.held = 0

    @contextmanager
    def enter(self, *_arguments: Any, **_options: Any) -> Any:
        self.held += 1
        try:
            yield
        finally:
            self.held -= 1


class FakeNetwork:
    """Calls the handler registered for an address, unless it is cut off."""

    def __init__(self) -> None:
        self.handlers: dict[str, Any] = {}
        self.cut: set[str] = set()

    def call(
        self,
        address: str,
        _service: str,
        method: str,
        *arguments: Any,
        **_: Any,
    ) -> Any:
        if address in self.cut or address not in self.handlers:
            raise PeerCallError('cut', sent=False)
        return getattr(self.handlers[address], method)(*arguments)


class FakeKernel:
    """Returns fakes by class and creates real plug-ins on demand."""

    def __init__(self, settings: Any, fakes: dict[type, Any]) -> None:
        self.settings = settings
        self.clock: Any = MonotonicClock()
        self.stopping = threading.Event()
        self.draining = threading.Event()
        self.plugins = dict(fakes)

    def plugin(self, plugin_class: type) -> Any:
        if plugin_class not in self.plugins:
            self.plugins[plugin_class] = plugin_class(self)  # type: ignore
        return self.plugins[plugin_class]

    def has(self, plugin_class: type) -> bool:
        return plugin_class in self.plugins

    def wait_while_running(self, duration_s: float) -> bool:
        return not self.stopping.wait(duration_s)


@dataclass
class Response:
    status: int
    headers: Any
    body: bytes

    @property
    def problem(self) -> Any:
        return json.loads(self.body)


@dataclass
class Instance:
    """A running entry instance and its fakes."""

    folder: Path
    extra: str = ''
    profile: Profile = Profile('counter')
    service: Service = Service('desk', 'counter')
    members: tuple[tuple[str, int], ...] = ()
    name: str = 'north-1'
    router: FakeRouter = field(default_factory=FakeRouter)
    exchange: FakeExchange = field(default_factory=FakeExchange)
    authority: FakeAuthority = field(default_factory=FakeAuthority)
    queue: FakeQueue = field(default_factory=FakeQueue)
    network: FakeNetwork = field(default_factory=FakeNetwork)

    def __post_init__(self) -> None:
        ports = free_ports(3)
        self.port = ports[0]
        path = self.folder / f'{self.name}.ini'
        path.write_text(
            settings_text(
                name=self.name,
                ports=ports,
                seeds=[],
                control_members=self.members,
                extra=self.extra,
            )
        )
        self.is_fresh = True
        view = SimpleNamespace(
            is_fresh=lambda: self.is_fresh,
            is_known_current=lambda: self.is_fresh,
            state=SimpleNamespace(
                members={},
                services={'desk': self.service},
                profiles={'counter': self.profile},
                keys={hash_key(KEY): 'shop'},
            ),
        )
        fakes = {
            ControlView: view,
            Authority: self.authority,
            RateLimiter: SimpleNamespace(admit=lambda *_, **__: None),
            FairQueue: self.queue,
            Router: self.router,
            Lookup: SimpleNamespace(entries=lambda _ip: []),
            Peers: SimpleNamespace(
                alive=lambda: (SimpleNamespace(roles=('entry',)),)
            ),
            Exchange: self.exchange,
            PeerNetwork: self.network,
            PeerServer: SimpleNamespace(register=lambda *_: None),
        }
        self.kernel = FakeKernel(load_settings(path), fakes)
        self.pipeline = self.kernel.plugin(Pipeline)
        for plugin in list(self.kernel.plugins.values()):
            if hasattr(plugin, 'start'):
                plugin.start()
        self.http = urllib3.HTTPConnectionPool(
            '127.0.0.1', self.port, retries=False, timeout=10, maxsize=8
        )

    def stop(self) -> None:
        self.kernel.stopping.set()
        self.http.close()
        for plugin in reversed(self.kernel.plugins.values()):
            if hasattr(plugin, 'stop'):
                plugin.stop()

    def use_targets(self, *targets: Any, connections: int = 100) -> None:
        self.router.targets = [
            make_target(target.address, connections=connections)
            for target in targets
        ]

    def set_profile(self, **changes: Any) -> None:
        view = self.kernel.plugin(ControlView)
        view.state.profiles['counter'] = replace(self.profile, **changes)

    def request(
        self,
        method: str = 'GET',
        path: str = '/panel',
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Response:
        sent = {'Host': 'desk', 'Authorization': f'Bearer {KEY}'}
        sent.update(headers or {})
        response = self.http.request(method, path, body=body, headers=sent)
        return Response(response.status, response.headers, response.data)

    def connect(self) -> socket.socket:
        return socket.create_connection(('127.0.0.1', self.port), timeout=10)

    def send_raw(self, head: str, body: bytes = b'') -> bytes:
        """Send bytes on a new connection; return all received bytes."""
        with self.connect() as sock:
            sock.sendall(head.replace('\n', '\r\n').encode() + body)
            return read_all(sock)


def read_all(sock: socket.socket) -> bytes:
    received = b''
    while True:
        try:
            part = sock.recv(65536)
        except ConnectionResetError:
            return received
        if not part:
            return received
        received += part

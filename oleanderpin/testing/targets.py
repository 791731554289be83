"""A target that announces itself, for demos and tests."""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import urllib3

_RENEW_INTERVAL_S = 0.5


@dataclass(slots=True)
class SeenRequest:
    """One request as the target received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class TargetAnswer:
    """What the target answers."""

    status: int = 200
    body: bytes = b'{}'
    delay_s: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)


Behaviour = Callable[[SeenRequest], TargetAnswer]


def answer_ok(_request: SeenRequest) -> TargetAnswer:
    """Answer 200 with an empty JSON object."""
    return TargetAnswer()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    target: 'FakeTarget'

    def handle_any(self) -> None:
        length = int(self.headers.get('Content-Length') or 0)
        seen = SeenRequest(
            self.command,
            self.path,
            dict(self.headers.items()),
            self.rfile.read(length),
        )
        answer = self.target.serve(seen)
        self.send_response(answer.status)
        self.send_header('Content-Length', str(len(answer.body)))
        self.send_header('X-Target-Id', self.target.target_id)
        for name, header_value in answer.headers.items():
            self.send_header(name, header_value)
        self.end_headers()
        self.wfile.write(answer.body)

    do_GET = handle_any  # noqa: N815
    do_POST = handle_any  # noqa: N815
    do_PUT = handle_any  # noqa: N815
    do_DELETE = handle_any  # noqa: N815

    def log_message(self, *_arguments: Any) -> None:
        """Write no access log."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256


class FakeTarget:
    """An HTTP server on loopback that announces itself to instances.

    Parameters
    ----------
    service : str
        Service that it runs.
    target_id : str
        Identifier of the target.
    admin_ports : sequence of int
        Admin ports to announce to; the next one is tried when one fails.
    region, failure_domain, version : str
        Place and version.
    slots : int
        Concurrent requests that it takes.
    behaviour : callable
        Makes the answer to each request.
    """

    def __init__(
        self,
        service: str,
        target_id: str,
        *,
        admin_ports: list[int],
        region: str = 'north',
        failure_domain: str = 'north-a',
        version: str = 'v1',
        slots: int = 8,
        behaviour: Behaviour = answer_ok,
    ) -> None:
        """Bind a free loopback port."""
        self.service = service
        self.target_id = target_id
        self.region = region
        self.failure_domain = failure_domain
        self.version = version
        self.slots = slots
        self.behaviour = behaviour
        self.seen: list[SeenRequest] = []
        self._admin_ports = admin_ports
        self._leaving = threading.Event()
        self._stopped = threading.Event()
        self._http = urllib3.PoolManager(retries=False, timeout=1.0)
        handler = type('Handler', (_Handler,), {'target': self})
        self._server = _Server(('127.0.0.1', 0), handler)
        self.address = f'127.0.0.1:{self._server.server_port}'

    def start(self) -> None:
        """Serve and announce."""
        for loop in (self._server.serve_forever, self._announce_loop):
            threading.Thread(target=loop, daemon=True).start()

    def serve(self, seen: SeenRequest) -> TargetAnswer:
        """Record a request and return its answer."""
        self.seen.append(seen)
        answer = self.behaviour(seen)
        if answer.delay_s:
            time.sleep(answer.delay_s)
        return answer

    def leave(self) -> None:
        """Tell the instances that no new work is taken."""
        self._leaving.set()
        departure = {'service': self.service, 'target_id': self.target_id}
        self._post('/targets/leave', departure)

    def stop(self) -> None:
        """Stop serving and announcing."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def announce(self) -> bool:
        """Announce once; return whether an instance accepted it."""
        return self._post(
            '/targets/announce',
            {
                'service': self.service,
                'target_id': self.target_id,
                'address': self.address,
                'region': self.region,
                'failure_domain': self.failure_domain,
                'version': self.version,
                'slots': self.slots,
            },
        )

    def _announce_loop(self) -> None:
        while not self._stopped.is_set() and not self._leaving.is_set():
            self.announce()
            self._stopped.wait(_RENEW_INTERVAL_S)

    def _post(self, path: str, document: dict[str, Any]) -> bool:
        for port in self._admin_ports:
            try:
                answer = self._http.request(
                    'POST',
                    f'http://127.0.0.1:{port}{path}',
                    body=json.dumps(document),
                )
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == 200:
                return True
        return False

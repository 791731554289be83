"""An HTTP target that announces itself, for demos and tests."""

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
    """Response of the target, sent after ``delay_s`` seconds."""

    status: int = 200
    body: bytes = b'{}'
    delay_s: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)


Behaviour = Callable[[SeenRequest], TargetAnswer]


def answer_ok(_request: SeenRequest) -> TargetAnswer:
    """Respond with status 200 and an empty JSON object."""
    return TargetAnswer()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    target: 'FakeTarget'

    def handle_any(self) -> None:
        length = int(self.headers.get('Content-Length') or 0)
        request = SeenRequest(
            self.command,
            self.path,
            dict(self.headers.items()),
            self.rfile.read(length),
        )
        response = self.target.serve(request)
        self.send_response(response.status)
        self.send_header('Content-Length', str(len(response.body)))
        self.send_header('X-Target-Id', self.target.target_id)
        if self.target.is_leaving:
            self.send_header('X-Target-Leaving', '1')
        for name, header_value in response.headers.items():
            self.send_header(name, header_value)
        self.end_headers()
        self.wfile.write(response.body)

    do_GET = handle_any  # noqa: N815
    do_POST = handle_any  # noqa: N815
    do_PUT = handle_any  # noqa: N815
    do_DELETE = handle_any  # noqa: N815

    def log_message(self, *_arguments: Any) -> None:
        """Suppress the access log of the base class."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256


class FakeTarget:
    """An HTTP server on loopback that announces itself to instances.

    Parameters
    ----------
    service : str
        Service that the target provides.
    target_id : str
        Identifier of the target.
    admin_ports : sequence of int
        Admin ports of the instances to announce to, tried in this order until
        one accepts the request.
    region, failure_domain, version : str
        Location and version of the target.
    slots : int
        Number of concurrent requests that the target announces as its limit.
    behaviour : callable
        Returns the response to each request.
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
        # While it is not 0, requests are refused for so long.
        self.pause_s = 0.0
        self._admin_ports = admin_ports
        self._leaving = threading.Event()
        self._stopped = threading.Event()
        self._http = urllib3.PoolManager(retries=False, timeout=1.0)
        handler = type('Handler', (_Handler,), {'target': self})
        self._server = _Server(('127.0.0.1', 0), handler)
        self.address = f'127.0.0.1:{self._server.server_port}'

    def start(self) -> None:
        """Start serving requests and announcing the target."""
        for loop in (self._server.serve_forever, self._announce_loop):
            threading.Thread(target=loop, daemon=True).start()

    @property
    def is_leaving(self) -> bool:
        """Whether the target has reported that it leaves."""
        return self._leaving.is_set()

    def serve(self, request: SeenRequest) -> TargetAnswer:
        """Record a request and return its response after the delay."""
        self.seen.append(request)
        if self.pause_s:
            return TargetAnswer(
                status=503,
                headers={
                    'X-Not-Run': 'true',
                    'X-Target-Pause-S': str(self.pause_s),
                },
            )
        response = self.behaviour(request)
        if response.delay_s:
            time.sleep(response.delay_s)
        return response

    def leave(self) -> None:
        """Stop the announcements and report that no new requests are accepted."""
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
                response = self._http.request(
                    'POST',
                    f'http://127.0.0.1:{port}{path}',
                    body=json.dumps(document),
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                return True
        return False

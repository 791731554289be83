"""HTTP listeners based on cheroot, with strict request parsing."""

import logging
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from cheroot.server import Gateway

from .clock import monotonic_s
from .errors import Refusal, UnavailableError, ValidationError
from .http_head import Header, bad_request
from .http_server import REQUEST_TIMEOUT_S, CallerServer
from .http_stream import Body, StreamError
from .http_waiting import WholeBodies
from .metrics import EVENTS

_LOG = logging.getLogger(__name__)
# A stop waits for the next round of the server; a stop of the process has a
# fraction of a second after its drain.
_WAKE_INTERVAL_S = 0.1
_DRAIN_POLL_S = 0.05
# The listener and its idle connections are closed only after this period
# without requests, so that requests in transit are still served.
_QUIET_PERIOD_S = 0.2


@dataclass(slots=True)
class HttpRequest:
    """A request as passed to a handler.

    Parameters
    ----------
    method : str
        Method in upper case.
    path : str
        Path without query, as sent (percent-encoded).
    query : str
        Query string without ``?``.
    headers : list of (str, str)
        Headers in order, names as sent.
    client_ip : str
        Address of the caller.
    raw : ParsedRequest
        The request on its connection, for reading the body and writing the
        response.
    """

    method: str
    path: str
    query: str
    headers: list[Header]
    client_ip: str
    raw: Any

    def header(self, name: str) -> str | None:
        """Return the first header called ``name``, ignoring case."""
        lowered = name.lower()
        for header_name, header_value in self.headers:
            if header_name.lower() == lowered:
                return header_value
        return None

    def open_body(self) -> Body:
        """Return the body as a stream."""
        body: Body = self.raw.open_body()
        return body

    def read_body(self, *, limit_bytes: int) -> bytes:
        """Return the complete body.

        Raises
        ------
        ValidationError
            If it is longer than ``limit_bytes``, malformed or late.
        UnavailableError
            If half of the workers wait for bodies already.
        """
        if self.raw.has_whole_body():
            return self._read_body(limit_bytes)
        slots = self.raw.server.slow_bodies
        if not slots.acquire(blocking=False):
            raise UnavailableError(
                'too many requests whose body has not arrived',
                remedy='try again later, and send head and body together',
                maybe_applied=False,
            )
        try:
            return self._read_body(limit_bytes)
        finally:
            slots.release()

    def _read_body(self, limit_bytes: int) -> bytes:
        stream = self.open_body()
        stream.limit_time(REQUEST_TIMEOUT_S)
        try:
            body = stream.read_up_to(limit_bytes + 1)
        except (StreamError, TimeoutError) as error:
            raise ValidationError(
                f'malformed body: {error}', remedy='send the whole body'
            ) from error
        if len(body) > limit_bytes:
            raise ValidationError(
                f'body is longer than {limit_bytes} bytes',
                remedy='send a shorter one',
            )
        return body


@dataclass(slots=True)
class HttpResponse:
    """A complete response that is held in memory."""

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    headers: list[Header] = field(default_factory=list)


Handler = Callable[[HttpRequest], HttpResponse | None]


def send_head(raw: Any, status: int, headers: Iterable[Header]) -> None:
    """Set the status line and headers of the response.

    They are sent with the first bytes of the body. Without Content-Length
    the body uses chunked transfer coding.
    """
    raw.set_head(status, list(headers))
    raw.ensure_headers_sent()


def send_response(raw: Any, response: HttpResponse) -> None:
    """Write a complete response."""
    headers = [
        ('Content-Type', response.content_type),
        ('Content-Length', str(len(response.body))),
        *response.headers,
    ]
    send_head(raw, response.status, headers)
    raw.write(b'' if raw.method == b'HEAD' else response.body)


class HttpListener:
    """A cheroot server that passes each request to a handler.

    Parameters
    ----------
    address : str
        Listening address as ``ip:port``.
    handler : callable
        Returns a response, or None after writing the response itself.
    threads : int
        Number of worker threads.
    max_header_bytes : int
        Maximum size of the request line and headers together.
    whole_bodies : WholeBodies, optional
        Lets requests wait until their bodies have arrived; otherwise large
        ones are read while they arrive.
    on_starved : callable, optional
        Called with the number of requests that wait for a worker while none
        is idle, again and again.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        *,
        threads: int,
        max_header_bytes: int,
        whole_bodies: WholeBodies | None = None,
        on_starved: Callable[[int], None] | None = None,
    ) -> None:
        """Create the server; ``start`` binds the address."""
        host, port = address.split(':')
        self._server = CallerServer(
            (host, int(port)),
            gateway=_gateway_class(handler),
            minthreads=threads,
            maxthreads=threads,
            server_name='oleanderpin',
        )
        self._server.max_request_header_size = max_header_bytes
        self._server.whole_bodies = whole_bodies
        self._server.on_starved = on_starved
        setattr(self._server, 'error_log', _log_error)  # noqa: B010
        self._server.expiration_interval = _WAKE_INTERVAL_S
        self._thread = threading.Thread(
            target=self._server.serve, name=f'http-{port}', daemon=True
        )

    def start(self) -> None:
        """Accept connections.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server.prepare()
        self._thread.start()

    def drain(self) -> None:
        """Send ``Connection: close`` with each response from now on."""
        self._server.is_draining = True

    def finish_requests(self, *, timeout_s: float) -> bool:
        """Wait until no request is being handled; later ones are still taken.

        Returns
        -------
        bool
            Whether that was so within ``timeout_s`` seconds.
        """
        self.drain()
        return self._server.in_flight_requests.wait_idle(timeout_s)

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Wait until no request is in progress and all responses have arrived.

        Returns
        -------
        bool
            Whether the listener became idle within ``timeout_s`` seconds.
        """
        deadline_s = monotonic_s() + timeout_s
        quiet_since_s: float | None = None
        while True:
            now_s = monotonic_s()
            if now_s >= deadline_s:
                return self._is_idle()
            if not self._is_idle():
                quiet_since_s = None
            elif quiet_since_s is None:
                quiet_since_s = now_s
            elif now_s - quiet_since_s >= _QUIET_PERIOD_S:
                return True
            time.sleep(_DRAIN_POLL_S)

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.stop()

    def _is_idle(self) -> bool:
        server = self._server
        has_no_active_request = server.in_flight_requests.wait_idle(0)
        return has_no_active_request and not (
            server.requests.qsize
            or server.has_partial_requests()
            or server.has_undelivered_responses()
        )


def _gateway_class(handler: Handler) -> type[Gateway]:
    class HandlerGateway(Gateway):  # noqa: WPS431 - cheroot takes a class
        def respond(self) -> None:
            raw = self.req
            try:
                response = handler(_http_request(raw))
            except Refusal as refusal:
                raw.refuse(refusal)
                return
            except StreamError as error:
                _refuse_malformed_body(raw, error)
                return
            if response is not None:
                send_response(raw, response)

    return HandlerGateway


def _refuse_malformed_body(raw: Any, error: StreamError) -> None:
    if raw.sent_headers:
        raise error
    raw.refuse(
        bad_request(
            'malformed_body',
            str(error),
            remedy='send the body as its framing announces',
        )
    )


def _http_request(raw: Any) -> HttpRequest:
    return HttpRequest(
        method=raw.head.method,
        path=raw.path.decode('latin-1'),
        query=raw.qs.decode('latin-1'),
        headers=raw.head.headers.items,
        client_ip=raw.conn.remote_addr,
        raw=raw,
    )


def _log_error(msg: str = '', level: int = 20, traceback: bool = False) -> None:
    EVENTS.labels('http', 'connection_error').inc()
    if traceback:
        _LOG.error('HTTP server error: %s', msg, exc_info=True)

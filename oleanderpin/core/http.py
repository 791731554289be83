"""HTTP listeners on cheroot, with strict reading of headers."""

import re
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from cheroot.server import Gateway, HeaderReader, HTTPRequest, HTTPServer

from .errors import ValidationError
from .metrics import EVENTS

_TOKEN = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")
_BAD_VALUE = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
_SINGLE = frozenset(
    (
        b'authorization',
        b'content-length',
        b'host',
        b'idempotency-key',
        b'transfer-encoding',
        b'x-request-deadline-ms',
    )
)
_SOCKET_TIMEOUT_S = 10
_REASONS = {
    200: 'OK',
    202: 'Accepted',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    409: 'Conflict',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}

Header = tuple[str, str]


class StrictHeaderReader(HeaderReader):
    """Reads headers in order and refuses ambiguous ones."""

    def __init__(self) -> None:
        """Start without headers."""
        self.headers: list[Header] = []

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read one block of headers.

        Raises
        ------
        ValueError
            If a line is malformed or a single-valued header is repeated.
        """
        headers: dict[bytes, bytes] = {} if hdict is None else hdict
        self.headers = []
        while True:
            line = rfile.readline()
            if line == b'\r\n':
                return headers
            name, header_value = _parse_line(line)
            self._keep(headers, name, header_value)

    def _keep(
        self, headers: dict[bytes, bytes], name: bytes, header_value: bytes
    ) -> None:
        title = name.title()
        if title in headers:
            if name.lower() in _SINGLE:
                raise ValueError(f'repeated header {name!r}')
            headers[title] = b', '.join((headers[title], header_value))
        else:
            headers[title] = header_value
        self.headers.append(
            (
                name.decode('latin-1'),
                header_value.decode('latin-1'),
            )
        )


class _Request(HTTPRequest):
    """A cheroot request whose header reader keeps the order of headers."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.header_reader = StrictHeaderReader()

    def read_request_headers(self) -> bool:
        """Read the headers, refusing a body with two framings."""
        if not super().read_request_headers():
            return False
        if b'Content-Length' in self.inheaders and (
            b'Transfer-Encoding' in self.inheaders
        ):
            self.simple_response(
                '400 Bad Request',
                'Content-Length and Transfer-Encoding exclude each other',
            )
            return False
        return True


@dataclass(slots=True)
class HttpRequest:
    """One request as a handler sees it.

    Parameters
    ----------
    method : str
        Method in upper case.
    path : str
        Path without query.
    query : str
        Query string without ``?``.
    headers : list of (str, str)
        Headers in order, names as sent.
    client_ip : str
        Address of the caller.
    raw : HTTPRequest
        The cheroot request, for reading the body and writing the answer.
    """

    method: str
    path: str
    query: str
    headers: list[Header]
    client_ip: str
    raw: Any

    def header(self, name: str) -> str | None:
        """Return the first header called ``name``, whatever its case."""
        lowered = name.lower()
        for header_name, header_value in self.headers:
            if header_name.lower() == lowered:
                return header_value
        return None

    def read_body(self, *, limit_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        ValidationError
            If it is longer than ``limit_bytes``.
        """
        body: bytes = self.raw.rfile.read(limit_bytes + 1)
        if len(body) > limit_bytes:
            raise ValidationError(
                f'body is longer than {limit_bytes} bytes',
                remedy='send a shorter one',
            )
        return body


@dataclass(slots=True)
class HttpAnswer:
    """A whole answer, small enough to be held in memory."""

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    headers: list[Header] = field(default_factory=list)


Handler = Callable[[HttpRequest], HttpAnswer | None]


def send_head(raw: Any, status: int, headers: Iterable[Header]) -> None:
    """Set the status line and headers of the answer."""
    reason = _REASONS.get(status, 'Unknown')
    raw.status = f'{status} {reason}'.encode('latin-1')
    raw.outheaders = [
        (name.encode('latin-1'), header_value.encode('latin-1'))
        for name, header_value in headers
    ]


def send_answer(raw: Any, answer: HttpAnswer) -> None:
    """Write a whole answer."""
    headers = [
        ('Content-Type', answer.content_type),
        ('Content-Length', str(len(answer.body))),
        *answer.headers,
    ]
    send_head(raw, answer.status, headers)
    raw.ensure_headers_sent()
    if answer.body and raw.method != b'HEAD':
        raw.write(answer.body)


class HttpListener:
    """A cheroot server that passes each request to a handler.

    Parameters
    ----------
    address : str
        Listening address as ``ip:port``.
    handler : callable
        Returns an answer, or None after it wrote the answer itself.
    threads : int
        Number of worker threads.
    max_header_bytes : int
        Longest request line and headers together.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        *,
        threads: int,
        max_header_bytes: int,
    ) -> None:
        """Bind the address."""
        host, port = address.split(':')
        self._server = HTTPServer(
            (host, int(port)),
            gateway=_gateway_class(handler),
            minthreads=threads,
            maxthreads=threads,
            server_name='oleanderpin',
        )
        self._server.ConnectionClass.RequestHandlerClass = _Request
        self._server.max_request_header_size = max_header_bytes
        self._server.timeout = _SOCKET_TIMEOUT_S
        self._server.request_queue_size = 512
        setattr(self._server, 'error_log', _count_error)  # noqa: B010
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

    def stop(self) -> None:
        """Finish requests in progress and close the listener."""
        self._server.stop()


def _gateway_class(handler: Handler) -> type[Gateway]:
    class HandlerGateway(Gateway):  # noqa: WPS431 - cheroot takes a class
        def respond(self) -> None:
            answer = handler(_http_request(self.req))
            if answer is not None:
                send_answer(self.req, answer)

    return HandlerGateway


def _http_request(raw: Any) -> HttpRequest:
    return HttpRequest(
        method=raw.method.decode('latin-1'),
        path=raw.path.decode('latin-1'),
        query=(raw.qs or b'').decode('latin-1'),
        headers=raw.header_reader.headers,
        client_ip=raw.conn.remote_addr,
        raw=raw,
    )


def _parse_line(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(b'\r\n'):
        raise ValueError('header line without CRLF')
    name, separator, header_value = line[:-2].partition(b':')
    if not separator or not _TOKEN.match(name):
        raise ValueError(f'malformed header line {line[:40]!r}')
    header_value = header_value.strip(b' \t')
    if _BAD_VALUE.search(header_value):
        raise ValueError(f'control character in header {name!r}')
    return name, header_value


def _count_error(
    msg: str = '', level: int = 20, traceback: bool = False
) -> None:
    EVENTS.labels('http', 'connection_error').inc()

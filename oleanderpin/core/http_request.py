"""A request on a caller's connection, and the writing of its response."""

import http
import secrets
import time
from email.utils import formatdate
from typing import Any

from cheroot.server import HTTPRequest

from .errors import Refusal, RefusalDetails
from .http_head import Headers, RequestHead, bad_request, parse_request_head
from .http_stream import Body, ChunkedBody, LengthBody
from .metrics import EVENTS
from .problem import problem_document, retry_headers

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_BODILESS_STATUSES = frozenset((204, 304))
_REQUEST_ID_BYTES = 8


class _DateCache:
    """The ``Date`` header, formatted at most once per second."""

    def __init__(self) -> None:
        self._formatted_at_s = 0
        self._text = b''

    def header(self) -> bytes:
        """Return the header line for the current second."""
        now_s = int(time.time())
        if now_s != self._formatted_at_s:
            text = formatdate(now_s, usegmt=True)
            self._text = f'Date: {text}\r\n'.encode()
            self._formatted_at_s = now_s
        return self._text


_DATE = _DateCache()


class ParsedRequest(HTTPRequest):
    """A request that is parsed strictly by this package instead of cheroot."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Initialize with an empty head; ``parse_request`` fills it."""
        super().__init__(*args, **kwargs)
        self.head = RequestHead('', '', 1, Headers())
        self.body = Body()
        self.path = b''
        self.qs = b''
        self.method = b''
        self._awaits_continue = False
        self._unsent = b''

    def parse_request(self) -> None:
        """Parse the head, or refuse the request."""
        self.started_request = True
        pending_refusal = self.conn.pending_refusal
        try:
            if pending_refusal is not None:
                raise pending_refusal
            self._parse_head()
        except Refusal as refusal:
            self.refuse(refusal)
            return
        self.ready = True

    def has_whole_body(self) -> bool:
        """Return whether the whole body has arrived; before it is read."""
        return not self._awaits_continue and self.body.has_arrived()

    def open_body(self) -> Body:
        """Return the body; send ``100 Continue`` first if the caller expects it."""
        if self._awaits_continue:
            self._awaits_continue = False
            self.conn.wfile.write(_CONTINUE)
        return self.body

    def refuse(self, refusal: Refusal) -> None:
        """Respond with a problem document and close the connection."""
        request_id = secrets.token_hex(_REQUEST_ID_BYTES)
        document = problem_document(refusal, request_id=request_id)
        headers = [
            ('Content-Type', 'application/problem+json'),
            ('Content-Length', str(len(document))),
            *retry_headers(refusal, request_id),
        ]
        self.close_connection = True
        self.conn.linger_on_close = True
        self.set_head(refusal.details.status, headers)
        self.ensure_headers_sent()
        try:
            self.write(b'' if self.method == b'HEAD' else document)
            self.flush()
        except OSError:
            EVENTS.labels('http', 'refusal_not_sent').inc()

    def abort(self) -> None:
        """Discard unsent data and reset the connection."""
        self.sent_headers = True
        self.close_connection = True
        self.chunked_write = False
        self._unsent = b''
        self.conn.reset()

    def simple_response(self, status: str, msg: str = '') -> None:
        """Respond to an error that cheroot detected."""
        EVENTS.labels('http', 'internal_error').inc()
        is_timeout = str(status).startswith('408')
        self.refuse(
            Refusal(
                'request_timeout' if is_timeout else 'internal_error',
                str(status),
                remedy='the request may have run; check before repeating it',
                details=RefusalDetails(
                    status=408 if is_timeout else 500, not_run=False
                ),
            )
        )

    def set_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Set the status line and headers of the response."""
        self.status = f'{status} {_reason_phrase(status)}'
        self.outheaders = [
            f'{name}: {header_value}\r\n' for name, header_value in headers
        ]
        lowered = {name.lower() for name, _value in headers}
        if status in _BODILESS_STATUSES or self.method == b'HEAD':
            return
        if 'content-length' not in lowered:
            if self.head.minor_version:
                self.chunked_write = True
                self.outheaders.append('Transfer-Encoding: chunked\r\n')
            else:
                self.close_connection = True

    def send_headers(self) -> None:
        """Build the head; it is sent with the first bytes of the body."""
        if self.server.is_draining:
            self.close_connection = True
        if not self.body.is_finished:
            self.close_connection = True
        if self.close_connection:
            self.conn.linger_on_close = True
            self.outheaders.append('Connection: close\r\n')
        elif not self.head.minor_version:
            self.outheaders.append('Connection: keep-alive\r\n')
        head = f'HTTP/1.1 {self.status}\r\n{"".join(self.outheaders)}'
        self._unsent = b''.join(
            (head.encode('latin-1'), _DATE.header(), b'\r\n')
        )

    def write(self, chunk: bytes) -> None:
        """Write a part of the body."""
        if self.chunked_write and chunk:
            chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        unsent = self._take_unsent()
        if unsent or chunk:
            self.conn.wfile.write(unsent + chunk)

    def flush(self) -> None:
        """Send the remainder of the response."""
        unsent = self._take_unsent()
        if self.chunked_write:
            self.chunked_write = False
            unsent += b'0\r\n\r\n'
        if unsent:
            self.conn.wfile.write(unsent)

    def respond(self) -> None:
        """Call the handler and send the complete response."""
        try:
            self.server.gateway(self).respond()
        except Exception:
            self.conn.reset()
            raise
        self.ensure_headers_sent()
        self.flush()

    def _take_unsent(self) -> bytes:
        unsent = self._unsent
        self._unsent = b''
        return unsent

    def _parse_head(self) -> None:
        reader = self.conn.rfile
        raw_head = reader.take(max(0, reader.head_end()))
        if not raw_head:
            raise bad_request(
                'malformed_request_line',
                'the head is incomplete',
                remedy='send the whole head',
            )
        head = parse_request_head(raw_head)
        self.head = head
        self.method = head.method.encode()
        path, _separator, query = head.target.partition('?')
        self.path = path.encode()
        self.qs = query.encode()
        tokens = head.headers.tokens('connection')
        if head.minor_version:
            self.close_connection = 'close' in tokens
        else:
            self.close_connection = 'keep-alive' not in tokens
        has_continued = self.conn.end_wait()
        self._awaits_continue = (
            'expect' in head.headers.by_name and not has_continued
        )
        if head.is_chunked:
            self.body = ChunkedBody(reader)
        elif head.content_length:
            self.body = LengthBody(reader, head.content_length)


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'

"""One connection of a caller: reads requests, writes answers in order."""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Protocol

import httptools

from .messages import Response, CallerRequest

_MAX_PIPELINED = 256
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class Limits(Protocol):
    """Bounds on what a caller may send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Listener(Protocol):
    """Serves the requests of all connections of one listener."""

    connections: set['CallerConnection']
    is_draining: bool
    # Bytes of bodies that are held for requests without an answer.
    buffered_bytes: int

    def limits(self) -> Limits:
        """Return the bounds in force."""
        ...

    # Answers a request; cancelled when its caller has gone.
    serve: Callable[[CallerRequest], Awaitable[Response]]

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a body of that size may be held in memory."""
        ...


class _Pending:
    """A request whose answer is still to be written."""

    __slots__ = ('answer', 'request', 'task')

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.task: asyncio.Task[Any] | None = None
        self.answer: Response | None = None


class CallerConnection(asyncio.Protocol):
    """Reads requests with a strict parser and answers them in order.

    Parameters
    ----------
    listener : Listener
        Serves the requests.
    """

    def __init__(self, listener: Listener) -> None:
        """Wait for the first request."""
        self._listener = listener
        self._transport: Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[_Pending] = deque()
        self._request: CallerRequest | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._held_bytes = 0
        self._header_bytes = 0
        self._in_headers = False
        self._is_closing = False
        self._active_s = time.monotonic()
        self._timer: asyncio.TimerHandle | None = None
        self._can_write: asyncio.Event | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request has been read in part or waits for its answer."""
        return not self._pending and self._request is None

    def connection_made(self, transport: Any) -> None:
        """Begin to watch for time-outs."""
        self._transport = transport
        self._listener.connections.add(self)
        self._arm(self._listener.limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up requests whose caller has gone."""
        self._is_closing = True
        self._hold(-self._held_bytes)
        self._listener.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        for pending in self._pending:
            pending.request.is_gone = True
            if pending.task is not None and not pending.request.must_finish:
                pending.task.cancel()
        self._pending.clear()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed by the caller."""
        return False

    def pause_writing(self) -> None:
        """Stop reading while the caller does not read its answers."""
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Read on."""
        if not self._is_closing:
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; refuse what it does not accept."""
        if self._is_closing:
            return
        self._active_s = time.monotonic()
        if self._request is None or self._in_headers:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)
        if self._in_headers:
            limits = self._listener.limits()
            if self._header_bytes > limits.max_header_bytes:
                self._reject(431)

    def on_message_begin(self) -> None:
        """Start a request."""
        self._request = CallerRequest(b'', b'', [], time.monotonic())
        self._body = []
        self._body_bytes = 0
        self._in_headers = True
        self._arm(self._listener.limits().header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        if self._request is not None:
            self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        if self._request is not None:
            self._request.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Answer an expectation and check the announced length."""
        request = self._request
        if request is None:
            return
        self._in_headers = False
        self._header_bytes = 0
        request.method = self._parser.get_method()
        request.keeps_alive = self._parser.should_keep_alive()
        if request.header(b'expect') and not self._pending:
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        length = request.header(b'content-length')
        if length is not None and length.isdigit():
            self._check_size(int(length))

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        self._hold(len(body))
        self._check_size(self._body_bytes)

    def on_message_complete(self) -> None:
        """Serve the request at once, whatever is still unanswered."""
        request = self._request
        self._request = None
        self._header_bytes = 0
        if request is None or self._is_closing:
            return
        request.body = b''.join(self._body)
        self._body = []
        pending = _Pending(request)
        self._pending.append(pending)
        pending.task = asyncio.get_running_loop().create_task(
            self._serve(pending)
        )
        if len(self._pending) >= _MAX_PIPELINED:
            self._transport.pause_reading()

    def close_if_idle(self) -> None:
        """Close a connection on which no answer is owed."""
        if self.is_idle:
            self._close()

    async def _serve(self, pending: _Pending) -> None:
        pending.answer = await self._listener.serve(pending.request)
        self._write_ready()

    def _write_ready(self) -> None:
        while self._pending and self._pending[0].answer is not None:
            pending = self._pending.popleft()
            if self._is_closing or pending.answer is None:
                return
            self._hold(-len(pending.request.body))
            closes = pending.answer.closes or not pending.request.keeps_alive
            is_last = self._listener.is_draining and not self._pending
            self._write(pending.answer, closes=closes or is_last)
            if closes or is_last:
                self._close()
                return
        if len(self._pending) < _MAX_PIPELINED and not self._is_closing:
            self._transport.resume_reading()
        if self.is_idle:
            self._arm(self._listener.limits().idle_timeout_s)

    def _write(self, answer: Response, *, closes: bool) -> None:
        self._transport.write(encode_answer(answer, closes=closes))

    def _hold(self, change_bytes: int) -> None:
        self._held_bytes += change_bytes
        self._listener.buffered_bytes += change_bytes

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > self._listener.limits().max_body_bytes:
            self._reject(413)
        elif not self._listener.has_room(size_bytes):
            self._reject(503)

    def _reject(self, status: int) -> None:
        """Answer after what is owed before, then close."""
        if self._is_closing:
            return
        request = self._request or CallerRequest(b'', b'', [], 0.0)
        self._request = None
        self._in_headers = False
        pending = _Pending(request)
        pending.answer = Response(status, closes=True)
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            pending.answer.headers.append((b'Retry-After', b'1'))
        self._pending.append(pending)
        self._transport.pause_reading()
        self._write_ready()

    def _arm(self, timeout_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_s, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._in_headers:
            self._reject(408)
        elif self.is_idle:
            self._close()

    def _close(self) -> None:
        self._is_closing = True
        if self._timer is not None:
            self._timer.cancel()
        self._transport.close()


def encode_answer(answer: Response, *, closes: bool) -> bytes:
    """Return the bytes of an answer with a length."""
    reason = answer.reason or _REASONS.get(answer.status, b'')
    parts = [b'HTTP/1.1 %d %s\r\n' % (answer.status, reason)]
    parts.extend(b'%s: %s\r\n' % header for header in answer.headers)
    parts.append(b'Content-Length: %d\r\n' % len(answer.body))
    if closes:
        parts.append(b'Connection: close\r\n')
    parts.append(b'\r\n')
    parts.append(answer.body)
    return b''.join(parts)

"""Server side of a caller's HTTP/1.1 connection, with pipelining."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Protocol

import httptools

from ..core.clock import monotonic_s
from ..core.metrics import EVENTS
from ..core.socket_queues import (
    DeliveryProgress,
    undelivered_bytes,
    unread_bytes,
)
from .messages import CallerRequest, Response, buffers
from .rate_limited_log import RateLimitedLog
from .traffic import TrafficMeter

_MAX_PIPELINED_REQUESTS = 256
# A body of this size takes long enough on a slow link to decide about the
# request first.
_LARGE_BODY_BYTES = 16384
# The kernel resets a closed connection at bytes that nobody reads. Once a caller
# has acknowledged the last response, it has this long to read it and close.
_LINGER_S = 1.0
_DELIVERY_POLL_S = 0.1
_REASON_PHRASES = {
    status.value: status.phrase.encode() for status in HTTPStatus
}


class Limits(Protocol):
    """Size limits and time-outs for a caller's requests."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Listener(Protocol):
    """What a connection needs of its listener."""

    connections: set['CallerConnection']
    is_draining: bool
    meter: TrafficMeter
    log: RateLimitedLog
    # Bytes of bodies held for requests that have no response yet.
    buffered_bytes: int

    def limits(self) -> Limits:
        """Return the limits in force."""
        ...

    # Handles a request; cancelled when the caller disconnects.
    serve: Callable[[CallerRequest], Awaitable[Response]]
    # Decides about a request before its body is read; None if there is no need.
    admit: Callable[[CallerRequest], Awaitable[Response | None]] | None
    # Told of an admitted request whose body will not come.
    abandon: Callable[[CallerRequest], None] | None

    def has_buffer_space(self, size_bytes: int) -> bool:
        """Return whether a body of this size fits in the body buffer."""
        ...


class _PendingRequest:
    """A request whose response has not been written yet."""

    __slots__ = ('response', 'request', 'task')

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.task: asyncio.Task[Any] | None = None
        self.response: Response | None = None


class CallerConnection(asyncio.Protocol):
    """Parses requests strictly and writes the responses in request order.

    Parameters
    ----------
    listener : Listener
        Handles the requests.
    """

    def __init__(self, listener: Listener) -> None:
        """Wait for the first request."""
        self._listener = listener
        self._transport: Any = None
        self._caller_host = ''
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[_PendingRequest] = deque()
        self._request: CallerRequest | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._buffered_bytes = 0
        self._header_bytes = 0
        self._in_headers = False
        self._is_closing = False
        self._last_activity_s = monotonic_s()
        self._timer: asyncio.TimerHandle | None = None
        self._can_write: asyncio.Event | None = None
        self._delivery = DeliveryProgress()
        self._last_delivery_s = monotonic_s()

    @property
    def is_idle(self) -> bool:
        """Whether there is no partly read request and no pending response."""
        return not self._pending and self._request is None

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the kernel has not taken yet."""
        return int(self._transport.get_write_buffer_size())

    @property
    def undelivered_bytes(self) -> int:
        """Bytes of responses that the caller has not acknowledged."""
        connected = self._transport.get_extra_info('socket')
        return self.unsent_bytes + undelivered_bytes(connected)

    @property
    def pending_ages_s(self) -> list[float]:
        """Times since the requests without a response were received."""
        now_s = monotonic_s()
        return [now_s - each.request.received_s for each in self._pending]

    def connection_made(self, transport: Any) -> None:
        """Register with the listener and start the idle time-out."""
        self._transport = transport
        peer = transport.get_extra_info('peername')
        self._caller_host = str(peer[0]) if peer else ''
        self._listener.connections.add(self)
        self._start_timer(self._listener.limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel pending requests, except those that must finish."""
        self._is_closing = True
        self._adjust_buffered(-self._buffered_bytes)
        self._listener.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        for pending in self._pending:
            pending.request.caller_disconnected = True
            if pending.task is not None and not pending.request.must_finish:
                pending.task.cancel()
        if self._request is not None:
            self._abandon(self._request)
        self._pending.clear()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed by the caller."""
        return False

    def pause_writing(self) -> None:
        """Stop reading requests while responses are not read."""
        if not self._is_closing:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading."""
        if not self._is_closing:
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; reject malformed requests and oversized headers.

        Bytes behind the last response are discarded.
        """
        if self._is_closing:
            self._listener.meter.add_bytes('unread_from_callers', len(data))
            return
        self._last_activity_s = monotonic_s()
        self._listener.meter.add_bytes('from_callers', len(data))
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
        self._request = CallerRequest(b'', b'', [], monotonic_s())
        self._request.caller_host = self._caller_host
        self._body = []
        self._body_bytes = 0
        self._in_headers = True
        self._start_timer(self._listener.limits().header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self._request is not None:
            self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        if self._request is not None:
            self._request.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Handle ``Expect`` and check the declared body length."""
        request = self._request
        if request is None:
            return
        self._in_headers = False
        self._header_bytes = 0
        request.method = self._parser.get_method()
        request.keeps_alive = self._parser.should_keep_alive()
        length = request.header(b'content-length')
        if length is not None and length.isdigit():
            request.declared_body_bytes = int(length)
            self._check_size(int(length))
        if self._needs_early_admission(request, length):
            self._transport.pause_reading()
            request.admission = asyncio.get_running_loop().create_task(
                self._admit_early(request)
            )
        else:
            self._expect_body(request)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body and check the size limits."""
        self._body.append(body)
        self._body_bytes += len(body)
        self._adjust_buffered(len(body))
        self._check_size(self._body_bytes)

    def on_message_complete(self) -> None:
        """Start handling the request, even if earlier ones are pending."""
        request = self._request
        self._request = None
        self._header_bytes = 0
        if request is None or self._is_closing or self._closes_soon():
            return
        request.body = b''.join(self._body)
        self._body = []
        pending = _PendingRequest(request)
        self._pending.append(pending)
        pending.task = asyncio.get_running_loop().create_task(
            self._handle(pending)
        )
        if len(self._pending) >= _MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()

    def _needs_early_admission(
        self, request: CallerRequest, length: bytes | None
    ) -> bool:
        if self._listener.admit is None or self._pending or self._is_closing:
            return False
        if length is None:
            return request.header(b'transfer-encoding') is not None
        return length.isdigit() and int(length) >= _LARGE_BODY_BYTES

    async def _admit_early(self, request: CallerRequest) -> Response | None:
        """Decide about a request before its body takes up the link."""
        if self._listener.admit is None:
            return None
        refused = await self._listener.admit(request)
        if self._is_closing:
            return refused
        if refused is None:
            self._expect_body(request)
            self._transport.resume_reading()
        elif self._request is request:
            self._refuse_unread(request, refused)
        return refused

    def _abandon(self, request: CallerRequest) -> None:
        if request.admission is not None:
            request.admission.cancel()
        if self._listener.abandon is not None:
            self._listener.abandon(request)

    def _expect_body(self, request: CallerRequest) -> None:
        is_first = not self._pending and not self._is_closing
        if request.header(b'expect') and is_first:
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _refuse_unread(self, request: CallerRequest, refused: Response) -> None:
        """Respond to a request without reading the rest of its body."""
        self._request = None
        self._body = []
        self._is_closing = True
        self._adjust_buffered(-self._body_bytes)
        self._write(refused, closes=True)
        self._await_delivery()
        # What has arrived of the body has used the link.
        self._listener.meter.add_bytes(
            'unread_from_callers', self._unread_bytes()
        )

    def give_up_blocking(self) -> None:
        """Give up requests whose missing response holds back complete ones.

        Called at the end of a drain: responses are written in the order of the
        requests, and those that are complete would be lost.
        """
        complete = [
            number
            for number, pending in enumerate(self._pending)
            if pending.response is not None
        ]
        if not complete:
            return
        for pending in list(self._pending)[: complete[-1]]:
            if pending.response is None:
                pending.response = Response(HTTPStatus.GATEWAY_TIMEOUT)
                if pending.task is not None:
                    pending.task.cancel()
        self._write_completed()

    def close_if_idle(self) -> None:
        """Close the connection if nothing is in progress in any direction.

        A response that is still on its way would be lost, and a request that
        has arrived would be reset without a response.
        """
        is_quiet = not (self._unread_bytes() or self.undelivered_bytes)
        if self.is_idle and is_quiet and not self._is_closing:
            self._close_idle()

    def _closes_soon(self) -> bool:
        """Return whether the connection closes after the pending responses.

        Callers send requests again that were not read when a connection closes;
        taking them would keep a busy connection open until the drain ends.
        """
        return self._listener.is_draining and bool(self._pending)

    async def _handle(self, pending: _PendingRequest) -> None:
        request = pending.request
        if request.admission is not None:
            # Its body was complete before the decision.
            pending.response = await request.admission
        if pending.response is None:
            pending.response = await self._listener.serve(request)
        self._write_completed()

    def _write_completed(self) -> None:
        while self._pending and self._pending[0].response is not None:
            pending = self._pending.popleft()
            if self._is_closing or pending.response is None:
                return
            self._adjust_buffered(-len(pending.request.body))
            closes = pending.response.closes or not pending.request.keeps_alive
            is_last = self._listener.is_draining and not self._pending
            self._write(pending.response, closes=closes or is_last)
            if closes or is_last:
                self._close()
                return
        if (
            len(self._pending) < _MAX_PIPELINED_REQUESTS
            and not self._is_closing
        ):
            self._transport.resume_reading()
        if self.is_idle:
            self._start_timer(self._listener.limits().idle_timeout_s)

    def _write(self, response: Response, *, closes: bool) -> None:
        head = encode_head(response, closes=closes)
        size_bytes = len(head) + len(response.body)
        self._listener.meter.add_bytes('to_callers', size_bytes)
        self._transport.writelines(buffers(head, response.body))

    def _adjust_buffered(self, change_bytes: int) -> None:
        self._buffered_bytes += change_bytes
        self._listener.buffered_bytes += change_bytes

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > self._listener.limits().max_body_bytes:
            self._reject(413)
        elif not self._listener.has_buffer_space(size_bytes - self._body_bytes):
            self._reject(503)

    def _reject(self, status: int) -> None:
        """Queue an error response after the pending ones, then close."""
        if self._is_closing:
            return
        request = self._request or CallerRequest(b'', b'', [], 0.0)
        self._request = None
        self._in_headers = False
        pending = _PendingRequest(request)
        pending.response = Response(status, closes=True)
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            pending.response.headers.append((b'Retry-After', b'1'))
        self._pending.append(pending)
        self._transport.pause_reading()
        self._write_completed()

    def _start_timer(self, timeout_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_s, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._in_headers:
            self._reject(408)
        elif self.is_idle:
            self._on_idle_timeout()

    def _on_idle_timeout(self) -> None:
        if self._has_delivered() or self._unread_bytes():
            self._start_timer(self._listener.limits().idle_timeout_s)
        elif self._delivery.undelivered_bytes:
            self._abort()
        else:
            self._close_idle()

    def _close_idle(self) -> None:
        self._is_closing = True
        if self._timer is not None:
            self._timer.cancel()
        self._transport.close()

    def _close(self) -> None:
        """Close the connection once the caller has the last response.

        Ends the outgoing direction and discards what the caller still sends, as
        RFC 9112, section 9.6 describes, since a reset discards what the kernel
        has not sent yet.
        """
        self._is_closing = True
        self._transport.write_eof()
        self._transport.resume_reading()
        self._await_delivery()

    def _await_delivery(self) -> None:
        """Close the connection soon after the caller has all responses."""
        self._delivery.update(self.undelivered_bytes)
        self._last_delivery_s = monotonic_s()
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_DELIVERY_POLL_S, self._check_delivery)

    def _check_delivery(self) -> None:
        now_s = monotonic_s()
        if self._has_delivered():
            self._last_delivery_s = now_s
        limit_s = _LINGER_S
        if self._delivery.undelivered_bytes:
            limit_s = self._listener.limits().idle_timeout_s
        if now_s - self._last_delivery_s >= limit_s:
            self._abort()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_DELIVERY_POLL_S, self._check_delivery)

    def _has_delivered(self) -> bool:
        """Return whether the undelivered bytes changed since the last call."""
        return self._delivery.update(self.undelivered_bytes)

    def _abort(self) -> None:
        """Close the connection whatever is undelivered or unread."""
        self._is_closing = True
        if self._delivery.undelivered_bytes:
            EVENTS.labels('gateway', 'closed_undelivered').inc()
            self._listener.log.write(
                'connection closed with an undelivered response',
                unread_bytes=self._unread_bytes(),
                undelivered_bytes=self._delivery.undelivered_bytes,
                unsent_bytes=self.unsent_bytes,
            )
        self._transport.abort()

    def _unread_bytes(self) -> int:
        return unread_bytes(self._transport.get_extra_info('socket'))


def encode_head(response: Response, *, closes: bool) -> bytes:
    """Return the head of a response as HTTP/1.1 with ``Content-Length``."""
    reason = response.reason or _REASON_PHRASES.get(response.status, b'')
    parts = [b'HTTP/1.1 %d %s\r\n' % (response.status, reason)]
    parts.extend(b'%s: %s\r\n' % header for header in response.headers)
    parts.append(b'Content-Length: %d\r\n' % len(response.body))
    if closes:
        parts.append(b'Connection: close\r\n')
    parts.append(b'\r\n')
    return b''.join(parts)

"""Server side of a caller's HTTP/1.1 connection, with pipelining."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Protocol

import httptools

from ..core.clock import monotonic_s
from ..core.memory_budget import MemoryBudget
from ..core.metrics import EVENTS
from ..core.socket_queues import (
    DeliveryProgress,
    reset_on_close,
    undelivered_bytes,
    unread_bytes,
)
from .incoming_request import IncomingRequest
from .listener_options import ListenerOptions
from .messages import CallerRequest, Response, buffers
from .rate_limited_log import RateLimitedLog
from .response_output import OutputWatch, ResponseOutput
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


class Listener(Protocol):
    """What a connection needs of its listener."""

    is_draining: bool
    meter: TrafficMeter
    log: RateLimitedLog
    memory: MemoryBudget
    output_watch: OutputWatch
    # Handles a request; cancelled when the caller disconnects.
    serve: Callable[[CallerRequest], Awaitable[Response]]

    @property
    def options(self) -> ListenerOptions:
        """Limits and hooks."""
        ...

    def add(self, connection: 'CallerConnection') -> None:
        """Register a connection."""
        ...

    def remove(self, connection: 'CallerConnection') -> None:
        """Forget a connection that has ended."""
        ...

    def note_idle(self, connection: 'CallerConnection') -> None:
        """Record that a connection waits for its next request."""
        ...

    def note_busy(self, connection: 'CallerConnection') -> None:
        """Record that a connection has a request."""
        ...

    def body_time_limit_s(self, request: CallerRequest) -> float:
        """Return how long a request may take until its body is complete."""
        ...


class _PendingRequest:
    """A request whose response has not been written yet."""

    __slots__ = ('response', 'request', 'task', 'charged_bytes')

    def __init__(
        self, request: CallerRequest, *, charged_bytes: int = 0
    ) -> None:
        self.request = request
        # Charged for the request, later for its response too.
        self.charged_bytes = charged_bytes
        self.task: asyncio.Task[Any] | None = None
        self.response: Response | None = None

    def cancel(self) -> None:
        """Stop handling the request.

        A cancelled task keeps its traceback, whose frames refer to the request
        and its body, which would wait for a collection if it referred to the
        task.
        """
        if self.task is not None:
            self.task.cancel()
        self.task = None
        self.request.forget_decision()


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
        self._options = listener.options
        self._transport: Any = None
        self._caller_host = ''
        # It refers to this connection and holds a field that has not ended.
        self._parser: Any = httptools.HttpRequestParser(self)
        self._pending: deque[_PendingRequest] = deque()
        self._incoming: IncomingRequest | None = None
        self._share = listener.memory.share(self._give_up)
        self._output = ResponseOutput(self._share)
        self._header_bytes = 0
        self._is_output_full = False
        # The body of the next request is not read before the decision.
        self._is_awaiting_admission = False
        # Nothing is read behind a request that was rejected.
        self._is_rejected = False
        self._is_closing = False
        self._timer: asyncio.TimerHandle | None = None
        self._delivery = DeliveryProgress()
        self._last_delivery_s = monotonic_s()

    @property
    def is_idle(self) -> bool:
        """Whether there is no partly read request and no pending response."""
        return not self._pending and self._incoming is None

    @property
    def request_age_s(self) -> float:
        """Time since the first byte of an incomplete request; 0 without one."""
        if self._incoming is None:
            return 0
        return monotonic_s() - self._incoming.request.received_s

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

    def state_fields(self) -> dict[str, object]:
        """Return what keeps the connection open, for the log."""
        return {
            'caller': self._caller_host,
            'is_closing': self._is_closing,
            'is_awaiting_admission': self._is_awaiting_admission,
            'is_output_full': self._is_output_full,
            'request_age_ms': int(self.request_age_s * 1000),
            'pending_ages_ms': [
                int(age_s * 1000) for age_s in self.pending_ages_s
            ],
            'unread_bytes': self._unread_bytes(),
            'unsent_bytes': self.unsent_bytes,
            'undelivered_bytes': self.undelivered_bytes,
        }

    def connection_made(self, transport: Any) -> None:
        """Register with the listener and start the idle time-out."""
        self._transport = transport
        peer = transport.get_extra_info('peername')
        self._caller_host = str(peer[0]) if peer else ''
        self._listener.add(self)
        self._start_timer(self._options.limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel pending requests, except those that must finish."""
        self._is_closing = True
        self._parser = None
        self._listener.remove(self)
        self._share.close()
        if self._timer is not None:
            self._timer.cancel()
        for pending in self._pending:
            pending.request.caller_disconnected = True
            if pending.task is None:
                continue
            if pending.request.must_finish:
                self._keep_charge(pending, pending.task)
            else:
                pending.cancel()
        if self._incoming is not None:
            self._abandon(self._incoming.request)
            self._incoming = None
        self._pending.clear()

    def _keep_charge(
        self, pending: _PendingRequest, task: asyncio.Task[Any]
    ) -> None:
        """Charge for a request that goes on without its caller."""
        share = self._listener.memory.share()
        share.charge(pending.charged_bytes)
        task.add_done_callback(lambda _task: share.close())

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed by the caller."""
        return False

    def pause_writing(self) -> None:
        """Stop reading requests while responses are not read."""
        self._is_output_full = True
        if not self._is_closing:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading."""
        self._is_output_full = False
        self._output.update(self.unsent_bytes)
        self._resume_reading()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; reject malformed requests and oversized headers.

        Bytes behind the last response are discarded.
        """
        if self._is_closing or self._is_rejected:
            self._listener.meter.add_bytes('unread_from_callers', len(data))
            return
        self._listener.meter.add_bytes('from_callers', len(data))
        if self._incoming is None or self._incoming.is_in_head:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)
        if self._incoming is not None:
            self._incoming.note_read(len(data))
            self._check_incoming(self._incoming)

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._is_rejected:
            return
        request = CallerRequest(b'', b'', [], monotonic_s())
        request.caller_host = self._caller_host
        limits = self._options.limits()
        self._incoming = IncomingRequest(request, limits)
        self._listener.note_busy(self)
        self._start_timer(limits.header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self._incoming is not None:
            self._incoming.add_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; drop a trailer."""
        if self._incoming is not None:
            self._incoming.add_field(name, value)

    def on_headers_complete(self) -> None:
        """Handle ``Expect`` and check the declared body length."""
        incoming = self._incoming
        if incoming is None:
            return
        incoming.is_in_head = False
        self._header_bytes = 0
        request = incoming.request
        request.method = self._parser.get_method()
        request.keeps_alive = self._parser.should_keep_alive()
        length = request.header(b'content-length')
        if length is not None and length.isdigit():
            request.declared_body_bytes = int(length)
        if not self._may_send_body(incoming) or not request.may_have_body:
            return
        left_s = self._listener.body_time_limit_s(request) - request.age_s()
        self._start_timer(max(0, left_s))
        if self._needs_early_admission(request, length):
            self._transport.pause_reading()
            self._is_awaiting_admission = True
            if not self._pending:
                self._begin_admission(request)
        else:
            self._expect_body(request)

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        if self._incoming is not None:
            self._incoming.add_piece(body)

    def on_message_complete(self) -> None:
        """Start handling the request, even if earlier ones are pending."""
        incoming = self._incoming
        self._header_bytes = 0
        if incoming is None or not self._check_incoming(incoming):
            return
        self._incoming = None
        if self._timer is not None:
            self._timer.cancel()
        request = incoming.request
        if request.admission is None:
            # The body was complete before the decision could begin.
            self._is_awaiting_admission = False
        request.body = incoming.body
        if self._is_closing or self._closes_soon():
            self._share.release(incoming.charged_bytes)
            self._abandon(request)
            return
        pending = _PendingRequest(request, charged_bytes=incoming.charged_bytes)
        self._pending.append(pending)
        pending.task = asyncio.get_running_loop().create_task(
            self._handle(pending)
        )
        if len(self._pending) >= _MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()

    def check_output(self) -> bool:
        """Give up a caller that hardly takes its responses.

        Returns
        -------
        bool
            Whether there are bytes that the kernel has not taken yet.
        """
        unsent_bytes = self.unsent_bytes
        self._output.update(unsent_bytes)
        if unsent_bytes and self._output.is_too_slow(
            self.undelivered_bytes,
            period_s=self._options.limits().idle_timeout_s,
            min_bytes_per_s=self._options.min_delivery_bytes_per_s,
        ):
            EVENTS.labels('gateway', 'slow_reader_closed').inc()
            self._abort()
            return False
        return bool(unsent_bytes)

    def make_room(self) -> None:
        """Give up an incomplete request, or close the idle connection."""
        if self._incoming is not None:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)
        elif self.unsent_bytes:
            self._abort()
        else:
            self._close_idle()

    def _check_incoming(self, incoming: IncomingRequest) -> bool:
        """Charge for the request being read; reject it beyond the limits."""
        status = incoming.violation()
        max_bytes = incoming.limits.max_header_bytes
        if incoming.is_in_head and self._header_bytes > max_bytes:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        if status is not None:
            self._reject(status)
            return False
        change_bytes = incoming.cost_bytes - incoming.charged_bytes
        incoming.charged_bytes += change_bytes
        if not self._share.charge(change_bytes):
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)
        return self._incoming is incoming

    def _may_send_body(self, incoming: IncomingRequest) -> bool:
        """Reject a request whose declared body is too large to be held."""
        size_bytes = incoming.request.declared_body_bytes
        if size_bytes > incoming.limits.max_body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif (
            size_bytes >= _LARGE_BODY_BYTES
            and not self._listener.memory.has_space(size_bytes)
        ):
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)
        return self._incoming is incoming

    def _give_up(self) -> bool:
        """Release what this caller may lose, for the sake of others."""
        if self._transport.is_closing():
            return False
        if self.unsent_bytes:
            EVENTS.labels('gateway', 'unread_response_given_up').inc()
            self._abort()
            self._share.close()
            return True
        if self._incoming is not None and not self._is_closing:
            EVENTS.labels('gateway', 'incomplete_request_given_up').inc()
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)
            return True
        return self.give_up_blocking()

    def _needs_early_admission(
        self, request: CallerRequest, length: bytes | None
    ) -> bool:
        if self._options.admit is None or self._is_closing:
            return False
        if length is None:
            return request.header(b'transfer-encoding') is not None
        return length.isdigit() and int(length) >= _LARGE_BODY_BYTES

    def _begin_admission(self, request: CallerRequest) -> None:
        """Decide about a request once it is the next to be answered."""
        request.admission = asyncio.get_running_loop().create_task(
            self._admit_early(request)
        )

    async def _admit_early(self, request: CallerRequest) -> Response | None:
        """Decide about a request before its body takes up the link."""
        if self._options.admit is None:
            return None
        refused = await self._options.admit(request)
        self._is_awaiting_admission = False
        if self._is_closing:
            return refused
        if refused is None:
            self._expect_body(request)
            self._resume_reading()
        elif self._incoming is not None and self._incoming.request is request:
            self._refuse_unread(request, refused)
        return refused

    def _abandon(self, request: CallerRequest) -> None:
        if request.admission is not None:
            request.admission.cancel()
        if self._options.abandon is not None:
            self._options.abandon(request)
        request.forget_decision()

    def _expect_body(self, request: CallerRequest) -> None:
        is_first = not self._pending and not self._is_closing
        if request.header(b'expect') and is_first:
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _refuse_unread(self, request: CallerRequest, refused: Response) -> None:
        """Respond to a request without reading the rest of its body."""
        self._drop_incoming()
        self._parser = None
        self._is_closing = True
        self._write(refused, closes=True)
        self._await_delivery()
        # What has arrived of the body has used the link.
        self._listener.meter.add_bytes(
            'unread_from_callers', self._unread_bytes()
        )

    def give_up_blocking(self) -> bool:
        """Give up requests whose missing response holds back complete ones.

        Called at the end of a drain, when complete responses would be lost, and
        when they hold too much memory: responses are written in the order of
        the requests.

        Returns
        -------
        bool
            Whether there were any.
        """
        complete = [
            number
            for number, pending in enumerate(self._pending)
            if pending.response is not None
        ]
        if not complete:
            return False
        for pending in list(self._pending)[: complete[-1]]:
            if pending.response is None:
                pending.response = Response(HTTPStatus.GATEWAY_TIMEOUT)
                pending.cancel()
        self._write_completed()
        return True

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
        request.forget_decision()
        self._charge_response(pending, pending.response)
        self._write_completed()

    def _charge_response(
        self, pending: _PendingRequest, response: Response
    ) -> None:
        """Charge for a response until it is written."""
        size_bytes = response.held_bytes
        if self._transport.is_closing():
            return
        if self._share.charge(size_bytes):
            pending.charged_bytes += size_bytes
            return
        self._share.release(size_bytes)
        if self.unsent_bytes:
            # The caller does not take the responses before this one.
            self._abort()
        elif pending is not self._pending[0]:
            # It would be held until the responses before it are complete.
            pending.response = Response(HTTPStatus.BAD_GATEWAY)

    def _write_completed(self) -> None:
        while self._pending and self._pending[0].response is not None:
            pending = self._pending.popleft()
            if self._is_closing or pending.response is None:
                return
            self._share.release(pending.charged_bytes)
            closes = pending.response.closes or not pending.request.keeps_alive
            is_last = self._listener.is_draining and not self._pending
            self._write(pending.response, closes=closes or is_last)
            if closes or is_last:
                self._close()
                return
        self._read_on()

    def _read_on(self) -> None:
        """Go on with what the caller sends behind the pending requests."""
        if len(self._pending) < _MAX_PIPELINED_REQUESTS:
            self._resume_reading()
        if not self._pending:
            self._begin_awaited_admission()
        if self.is_idle and not self._is_closing:
            self._listener.note_idle(self)
            self._start_timer(self._options.limits().idle_timeout_s)

    def _begin_awaited_admission(self) -> None:
        incoming = self._incoming
        if incoming is None or not self._is_awaiting_admission:
            return
        if incoming.request.admission is None and not self._is_closing:
            self._begin_admission(incoming.request)

    def _write(self, response: Response, *, closes: bool) -> None:
        head = encode_head(response, closes=closes)
        size_bytes = len(head) + len(response.body)
        self._listener.meter.add_bytes('to_callers', size_bytes)
        self._transport.writelines(buffers(head, response.body))
        self._output.note_written(size_bytes, self.unsent_bytes)
        self._listener.output_watch.add(self, asyncio.get_running_loop())

    def _resume_reading(self) -> None:
        is_held = self._is_output_full or self._is_awaiting_admission
        if not self._is_closing and not is_held:
            self._transport.resume_reading()

    def _drop_incoming(self) -> CallerRequest | None:
        """Forget the request being read and release its memory."""
        incoming = self._incoming
        if incoming is None:
            return None
        self._incoming = None
        self._share.release(incoming.charged_bytes)
        return incoming.request

    def _reject(self, status: int) -> None:
        """Queue an error response after the pending ones, then close."""
        if self._is_closing or self._is_rejected:
            return
        self._is_rejected = True
        self._parser = None
        request = self._drop_incoming()
        if request is not None:
            self._abandon(request)
        pending = _PendingRequest(CallerRequest(b'', b'', [], 0.0))
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
        if self._incoming is not None:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        elif self.is_idle:
            self._on_idle_timeout()

    def _on_idle_timeout(self) -> None:
        if self._has_delivered() or self._unread_bytes():
            self._start_timer(self._options.limits().idle_timeout_s)
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
            limit_s = self._options.limits().idle_timeout_s
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
        if self._delivery.undelivered_bytes or self.unsent_bytes:
            # The kernel would keep the rest for as long as the caller reads.
            reset_on_close(self._transport.get_extra_info('socket'))
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

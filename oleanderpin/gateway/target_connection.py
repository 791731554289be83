"""Client side of an HTTP/1.1 connection to a target, without pipelining."""

import asyncio
from collections import deque
from typing import Any

import httptools

from ..core.clock import monotonic_s
from ..core.metrics import EVENTS
from ..core.socket_queues import reset_on_close
from .messages import (
    FIELD_BYTES,
    EncodedRequest,
    Header,
    TargetFailure,
    TargetResponse,
)
from .response_budget import Excess, ResponseBudget, ResponseMeter
from .traffic import TrafficMeter

_STATUSES = range(100, 600)
_FIRST_FINAL_STATUS = 200
_BODYLESS_STATUSES = frozenset((204, 304))
# Attempts of one request follow each other within fewer requests than this.
_MAX_CARRIED_IDS = 32
_SMALL_PIECE_BYTES = 256
# A read with more fields and small pieces is followed by other work.
_MAX_READ_PARTS = 64


class TargetConnection(asyncio.BufferedProtocol):
    """Sends requests and reads their responses.

    A response with another request id is skipped: it belongs to an earlier
    request, or to none.

    Parameters
    ----------
    request_id_header : bytes
        Header in which the target echoes the request id.
    budget : ResponseBudget
        Bounds what the target may send.
    traffic : TrafficMeter
        Counts the bytes.
    address : str
        Address of the target.
    """

    def __init__(
        self,
        request_id_header: bytes,
        budget: ResponseBudget,
        traffic: TrafficMeter,
        *,
        address: str,
    ) -> None:
        """Start idle."""
        self._traffic = traffic
        self._id_header = request_id_header
        self._budget = budget
        self._address = address
        self._meter: ResponseMeter | None = None
        self._transport: Any = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[TargetResponse] | None = None
        self._request_id = b''
        self._carried_ids: deque[bytes] = deque(maxlen=_MAX_CARRIED_IDS)
        self._is_head = False
        self._reset_message()
        self.is_closed = False
        self.idle_since_s = monotonic_s()
        self.idle_limit_s = float('inf')
        self.mismatched_responses = 0
        self._reads_little = False

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    @property
    def is_usable(self) -> bool:
        """Whether the next request may be sent on this connection."""
        is_between_responses = self._waiter is None and not self._in_message
        return is_between_responses and not self.is_closed

    def has_carried(self, request_id: bytes) -> bool:
        """Return whether an attempt of this request used the connection.

        A second copy of the response to that attempt may still arrive.
        """
        return bool(request_id) and request_id in self._carried_ids

    def send(
        self, request_id: bytes, encoded: EncodedRequest, *, is_head: bool
    ) -> asyncio.Future[TargetResponse]:
        """Send a request.

        Parameters
        ----------
        request_id : bytes
            Id that the response must echo; empty to accept any response.
        encoded : EncodedRequest
            The encoded request.
        is_head : bool
            Whether the response has no body although it declares a length.

        Returns
        -------
        Future
            Result is the response; fails with `TargetFailure`.
        """
        self._request_id = request_id
        self._carried_ids.append(request_id)
        self._is_head = is_head
        self._reads_little = False
        self._meter = self._budget.start(self._address, self._give_up)
        self._waiter = asyncio.get_running_loop().create_future()
        self._traffic.add_bytes('to_targets', encoded.size_bytes)
        self._transport.writelines(encoded.parts())
        return self._waiter

    def close(self) -> None:
        """Abort the connection; a request in progress fails.

        The connection is reset then, because the kernel may otherwise deliver
        the request long after the caller has got its answer.
        """
        self.is_closed = True
        if self._transport is None:
            return
        connected = self._transport.get_extra_info('socket')
        if self._waiter is not None and not self._transport.is_closing():
            reset_on_close(connected)
        self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into, which all connections share."""
        return self._budget.read_buffer(is_short=self._reads_little)

    def buffer_updated(self, nbytes: int) -> None:
        """Feed the parser; close on bytes outside of a request."""
        self._traffic.add_bytes('from_targets', nbytes)
        meter = self._meter
        if self._waiter is None or meter is None:
            self.close()
            return
        parts_before = meter.received.parts
        data = self._budget.read_buffer(is_short=self._reads_little)[:nbytes]
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail('bad_answer')
        if self._waiter is None:
            return
        excess = meter.add(
            nbytes,
            is_in_head=not self._has_head,
            held_bytes=self._held_bytes(),
        )
        if excess:
            EVENTS.labels('gateway', f'response_{excess}').inc()
            self._fail(excess)
            return
        reads_on = self._waiter is not None
        if reads_on and meter.received.parts - parts_before > _MAX_READ_PARTS:
            self._pause_reading()

    def eof_received(self) -> bool:
        """Complete a response that ends with the connection.

        A target that ends it before it has taken the whole request may have
        been cut off.
        """
        is_sent = not self._transport.get_write_buffer_size()
        if self._ends_at_close and self._in_message and is_sent:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        self.is_closed = True
        self._fail('reset')

    def on_message_begin(self) -> None:
        """Start a response."""
        self._reset_message()
        self._in_message = True
        self._count_part()

    def on_status(self, status: bytes) -> None:
        """Append a part of the reason phrase."""
        if self._count_part():
            self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; drop a trailer.

        A caller would take trailers for headers, see RFC 9110, section 6.5.1.
        """
        if self._count_part() and not self._has_head:
            self._head_bytes += len(name) + len(value) + FIELD_BYTES
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the status and determine how the end is marked."""
        if self._waiter is None:
            return
        self._has_head = True
        status = self._parser.get_status_code()
        if status not in _STATUSES:
            self._fail('bad_answer')
            return
        names = {name for name, _value in self._headers}
        has_length = bool(names & {b'content-length', b'transfer-encoding'})
        self._ends_at_close = (
            not has_length
            and status >= _FIRST_FINAL_STATUS
            and status not in _BODYLESS_STATUSES
        )
        if self._is_head and status >= _FIRST_FINAL_STATUS:
            self._complete()
        elif self._declared_bytes() > self._budget.settings.max_response_bytes:
            self._fail('too_large')

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        meter = self._meter
        if self._waiter is None or meter is None:
            return
        meter.received.payload_bytes += len(body)
        if len(body) < _SMALL_PIECE_BYTES:
            meter.received.parts += 1
        self._body += body

    def on_message_complete(self) -> None:
        """Deliver the response, unless it is an interim one."""
        if self._waiter is None:
            return
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            self._reset_message()
            return
        if self._in_message:
            self._complete()

    def _complete(self) -> None:
        self._in_message = False
        # What a target sends behind a response without a body is not of it.
        body = self._body
        self._body = bytearray()
        response = TargetResponse(
            status=self._parser.get_status_code(),
            reason=bytes(self._reason),
            headers=self._headers,
            body=body,
        )
        self._headers = []
        waiter = self._waiter
        if waiter is None:
            self.close()
            return
        if not self._matches_request(response):
            self._skip_mismatched()
            return
        self._waiter = None
        self._end_meter()
        self.idle_since_s = monotonic_s()
        response.is_reusable = self._is_reusable(response)
        self.idle_limit_s = keep_alive_timeout_s(response)
        if not waiter.done():
            waiter.set_result(response)
        if not response.is_reusable:
            self._close_after_write()

    def _matches_request(self, response: TargetResponse) -> bool:
        echoed = response.header(self._id_header)
        return not self._request_id or echoed == self._request_id

    def _skip_mismatched(self) -> None:
        self.mismatched_responses += 1
        if self._ends_at_close or not self._parser.should_keep_alive():
            self._fail('bad_answer')

    def _is_reusable(self, response: TargetResponse) -> bool:
        if self._ends_at_close or self._is_head or self.mismatched_responses:
            return False
        is_sent = not self._transport.get_write_buffer_size()
        return is_sent and self._parser.should_keep_alive()

    def _close_after_write(self) -> None:
        """Close the connection once buffered request data has been sent."""
        self.is_closed = True
        self._transport.close()

    def _give_up(self, reason: Excess) -> None:
        """End the request, since others need the memory of its response."""
        EVENTS.labels('gateway', 'response_given_up').inc()
        self._fail(reason)

    def _fail(self, result: str) -> None:
        """Fail the request in progress, and release what has arrived."""
        waiter = self._waiter
        self._waiter = None
        self._end_meter()
        # The parser refers to this connection and holds a field that has not
        # ended, so that what both hold would wait for a collection of cycles.
        self._reset_message()
        self._parser = None
        if waiter is not None and not waiter.done():
            waiter.set_exception(TargetFailure(result, may_have_run=True))
        if not self.is_closed:
            self.close()

    def _end_meter(self) -> None:
        meter = self._meter
        self._meter = None
        if meter is not None:
            meter.end()

    def _count_part(self) -> bool:
        """Count a message or field; return whether a request waits for it."""
        meter = self._meter
        if meter is None:
            return False
        meter.received.parts += 1
        return True

    def _held_bytes(self) -> int:
        """Return the memory of the response so far."""
        return self._head_bytes + len(self._body)

    def _declared_bytes(self) -> int:
        lengths = [
            int(value)
            for name, value in self._headers
            if name == b'content-length' and value.isdigit()
        ]
        return max(lengths, default=0)

    def _pause_reading(self) -> None:
        """Let other work of the event loop go first."""
        self._reads_little = True
        self._transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._resume_reading)

    def _resume_reading(self) -> None:
        if not self.is_closed:
            self._transport.resume_reading()

    def _reset_message(self) -> None:
        self._reason = bytearray()
        self._headers: list[Header] = []
        self._head_bytes = 0
        # One buffer, since small pieces would cost an object each.
        self._body = bytearray()
        self._ends_at_close = False
        self._in_message = False
        self._has_head = False


def keep_alive_timeout_s(response: TargetResponse) -> float:
    """Return the target's idle time-out; infinite if it states none."""
    for part in (response.header(b'keep-alive') or b'').split(b','):
        name, _equals, value = part.strip().partition(b'=')
        if name.lower() == b'timeout' and value.isdigit():
            return float(value)
    return float('inf')

"""One connection to a target, which serves one request at a time."""

import asyncio
import time
from typing import Any

import httptools

from .messages import Header, TargetAnswer, TargetFailure

_CONTINUE_BELOW = 200
_NO_BODY = frozenset((204, 304))


class TargetConnection(asyncio.Protocol):
    """Sends requests and reads their answers.

    An answer with another request id is skipped: it belongs to an earlier
    request, or to none.

    Parameters
    ----------
    request_id_header : bytes
        Header by which the target echoes the id of a request.
    """

    def __init__(self, request_id_header: bytes) -> None:
        """Start idle."""
        self._id_header = request_id_header
        self._transport: Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[TargetAnswer] | None = None
        self._request_id = b''
        self._is_head = False
        self._reset_message()
        self.is_closed = False
        self.idle_since_s = time.monotonic()
        self.idle_limit_s = float('inf')
        self.foreign_answers = 0

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    @property
    def is_usable(self) -> bool:
        """Whether the next request may be sent on this connection."""
        is_between = self._waiter is None and not self._in_message
        return is_between and not self.is_closed

    def start(
        self, request_id: bytes, encoded: bytes, *, is_head: bool
    ) -> asyncio.Future[TargetAnswer]:
        """Send a request.

        Parameters
        ----------
        request_id : bytes
            Id that the answer must echo; empty if any answer will do.
        encoded : bytes
            The whole request.
        is_head : bool
            Whether the answer has no body although it has a length.

        Returns
        -------
        Future
            The answer, or `TargetFailure`.
        """
        self._request_id = request_id
        self._is_head = is_head
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(encoded)
        return self._waiter

    def close(self) -> None:
        """Close at once; a request in progress fails."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes that belong to no request end the use."""
        if self._waiter is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail('bad_answer')

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection."""
        if self._is_until_close and self._in_message:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        self.is_closed = True
        self._fail('reset')

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._reset_message()
        self._in_message = True

    def on_status(self, status: bytes) -> None:
        """Take a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out where the answer ends."""
        names = {name for name, _value in self._headers}
        status = self._parser.get_status_code()
        has_length = bool(names & {b'content-length', b'transfer-encoding'})
        self._is_until_close = (
            not has_length
            and status >= _CONTINUE_BELOW
            and status not in _NO_BODY
        )
        if self._is_head and status >= _CONTINUE_BELOW:
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Deliver the answer, unless it is an interim one."""
        if self._parser.get_status_code() < _CONTINUE_BELOW:
            self._reset_message()
            return
        if self._in_message:
            self._complete()

    def _complete(self) -> None:
        self._in_message = False
        answer = TargetAnswer(
            status=self._parser.get_status_code(),
            reason=bytes(self._reason),
            headers=self._headers,
            body=b''.join(self._body),
        )
        waiter = self._waiter
        if waiter is None:
            self.close()
            return
        if not self._is_own(answer):
            self._skip_foreign()
            return
        self._waiter = None
        self.idle_since_s = time.monotonic()
        answer.is_reusable = self._is_reusable(answer)
        self.idle_limit_s = keep_alive_s(answer)
        if not waiter.done():
            waiter.set_result(answer)
        if not answer.is_reusable:
            self._finish()

    def _is_own(self, answer: TargetAnswer) -> bool:
        echoed = answer.header(self._id_header)
        return not self._request_id or echoed == self._request_id

    def _skip_foreign(self) -> None:
        self.foreign_answers += 1
        if self._is_until_close or not self._parser.should_keep_alive():
            self._fail('bad_answer')

    def _is_reusable(self, answer: TargetAnswer) -> bool:
        if self._is_until_close or self._is_head or self.foreign_answers:
            return False
        is_sent = not self._transport.get_write_buffer_size()
        return is_sent and self._parser.should_keep_alive()

    def _finish(self) -> None:
        """Close after the rest of the request, which may still be unsent."""
        self.is_closed = True
        self._transport.close()

    def _fail(self, result: str) -> None:
        waiter = self._waiter
        self._waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_exception(TargetFailure(result, may_have_run=True))
        if not self.is_closed:
            self.close()

    def _reset_message(self) -> None:
        self._reason = bytearray()
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._is_until_close = False
        self._in_message = False


def keep_alive_s(answer: TargetAnswer) -> float:
    """Return how long the target keeps an idle connection, if it tells."""
    for part in (answer.header(b'keep-alive') or b'').split(b','):
        name, _equals, value = part.strip().partition(b'=')
        if name.lower() == b'timeout' and value.isdigit():
            return float(value)
    return float('inf')

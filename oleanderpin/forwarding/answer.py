"""A target's answer, read whole or passed on as it arrives."""

from collections.abc import Callable

from ..core.http import Header, HttpRequest, send_head
from ..core.http_head import ResponseHead
from ..core.http_stream import (
    Body,
    ChunkedBody,
    LengthBody,
    SocketReader,
    StreamError,
    UntilCloseBody,
)
from .call import Call
from .request import HOP_BY_HOP, REQUEST_ID_HEADER

NOT_RUN_HEADER = 'X-Not-Run'
_PART_BYTES = 65536
_NO_BODY = frozenset((204, 304))
_DROPPED = HOP_BY_HOP | {'content-length', 'x-request-id', 'x-not-run'}


class BrokenAnswerError(Exception):
    """The target's answer broke off."""


def _ignore_part(_byte_count: int) -> None:
    """Let the body go on at any rate."""


class Answer:
    """An answer whose body is in memory or still with the target.

    Parameters
    ----------
    head : AnswerHead
        Status and headers.
    body : Body
        Body, not yet read.
    on_end : callable
        Called once: with True when the body was read to its end, with False
        when it broke off, with None when the caller went away.
    on_part : callable
        Called with the number of bytes of each part of the body that was
        read; may block to hold the target back.
    """

    def __init__(
        self,
        head: ResponseHead,
        body: Body,
        *,
        on_end: Callable[[bool | None], None],
        on_part: Callable[[int], None] = _ignore_part,
    ) -> None:
        """Start before the body."""
        self._on_part = on_part
        self.status = head.status
        self.head = head
        self.length = body.length
        self.whole: bytes | None = None
        # Whether the caller may be told that no target ran the request.
        self.passes_not_run = False
        self._body = body
        self._on_end: Callable[[bool | None], None] | None = on_end

    @property
    def is_not_run(self) -> bool:
        """Whether the target states that it has not run the request."""
        stated = self.head.headers.get(NOT_RUN_HEADER.lower()) or ''
        return self.status == 503 and stated.lower() == 'true'

    def headers(self) -> list[Header]:
        """Return the headers to pass on."""
        named = set(self.head.headers.tokens('connection'))
        dropped = _DROPPED | named
        return [
            (name, header_value)
            for name, header_value in self.head.headers.items
            if name.lower() not in dropped
        ]

    def prefetch(self, *, limit_bytes: int) -> None:
        """Read a body of known, small length.

        Raises
        ------
        BrokenAnswerError
            If the body breaks off.
        """
        if self.length is None or self.length > limit_bytes:
            return
        try:
            self.whole = self._body.read_up_to(limit_bytes)
            self._on_part(len(self.whole))
        except (StreamError, OSError) as error:
            self.end(is_complete=False)
            raise BrokenAnswerError(str(error)) from error
        self.end(is_complete=True)

    def read_part(self) -> bytes:
        """Return the next part of the body as it arrives; none at the end.

        Raises
        ------
        BrokenAnswerError
            If the body breaks off or makes no progress.
        """
        try:
            part = self._body.read_some(_PART_BYTES)
        except (StreamError, OSError) as error:
            raise BrokenAnswerError(str(error)) from error
        self._on_part(len(part))
        return part

    def end(self, *, is_complete: bool | None) -> None:
        """Give the target's connection and permits back."""
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(is_complete)


def answer_body(
    head: ResponseHead, reader: SocketReader, *, method: str
) -> Body:
    """Return the body that follows an answer's head."""
    if method == 'HEAD' or head.status in _NO_BODY:
        return Body()
    if head.is_chunked:
        return ChunkedBody(reader)
    if head.content_length is not None:
        return LengthBody(reader, head.content_length)
    return UntilCloseBody(reader)


def pass_on(request: HttpRequest, answer: Answer, call: Call) -> None:
    """Send an answer to the caller.

    Raises
    ------
    BrokenAnswerError
        If it breaks off; the caller's connection must be reset.
    OSError
        If the caller has gone or does not read.
    """
    part = answer.whole
    if part is None:
        # Nothing is sent before the first part, so that an answer which
        # breaks off at once can still be refused in words.
        part = answer.read_part()
    _send_head(request, answer, call)
    while part:
        request.raw.write(part)
        part = b'' if answer.whole is not None else answer.read_part()


def _send_head(request: HttpRequest, answer: Answer, call: Call) -> None:
    headers = answer.headers()
    headers.append((REQUEST_ID_HEADER, call.request_id))
    if answer.passes_not_run:
        headers.append((NOT_RUN_HEADER, 'true'))
    length = _announced_length(answer, request.method)
    if length is not None:
        headers.append(('Content-Length', str(length)))
    send_head(request.raw, answer.status, headers)


def _announced_length(answer: Answer, method: str) -> int | None:
    if answer.status == 204:
        return None
    if method == 'HEAD' or answer.status in _NO_BODY:
        return answer.head.content_length
    return answer.length

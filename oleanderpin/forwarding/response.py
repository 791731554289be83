"""Responses of targets, buffered or streamed to the caller."""

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
_MAX_PART_BYTES = 65536
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
_DROPPED_HEADERS = HOP_BY_HOP | {'content-length', 'x-request-id', 'x-not-run'}


class BrokenResponseError(Exception):
    """The response of the target is incomplete or malformed."""


def _ignore_part(_byte_count: int) -> None:
    """Do not limit the rate of the body."""


def _ignore_abort() -> None:
    """Let a response go on that was given up."""


class Response:
    """A response whose body is buffered or still to be read.

    Parameters
    ----------
    head : ResponseHead
        Status and headers.
    body : Body
        Body, not yet read.
    on_end : callable
        Called once: with True when the body was read completely, with False
        when the target broke it off, with None when the caller disconnected.
    on_part : callable
        Called with the number of bytes of each part of the body that was
        read; may block to apply back-pressure to the target.
    on_abort : callable
        Called when the response is given up, from another thread; ends a wait
        for the target.
    target : str
        Address of the target.
    """

    def __init__(
        self,
        head: ResponseHead,
        body: Body,
        *,
        on_finish: Callable[[bool | None], None],
        on_part: Callable[[int], None] = _ignore_part,
        on_abort: Callable[[], None] = _ignore_abort,
        target: str = '',
    ) -> None:
        """Start with no part of the body read."""
        self.target = target
        self.is_given_up = False
        self._on_abort = on_abort
        self._on_part = on_part
        self.status = head.status
        self.head = head
        self.length = body.length
        self.buffered_body: bytes | None = None
        # Whether the caller may be told that no target ran the request.
        self.forwards_not_run = False
        self._body = body
        self._on_finish: Callable[[bool | None], None] | None = on_finish

    @property
    def is_not_run(self) -> bool:
        """Whether the target states that it has not run the request."""
        stated = self.head.headers.get(NOT_RUN_HEADER.lower()) or ''
        return self.status == 503 and stated.lower() == 'true'

    def headers(self) -> list[Header]:
        """Return the headers to forward to the caller."""
        named = set(self.head.headers.tokens('connection'))
        dropped = _DROPPED_HEADERS | named
        return [
            (name, header_value)
            for name, header_value in self.head.headers.items
            if name.lower() not in dropped
        ]

    def prefetch(self, *, limit_bytes: int) -> None:
        """Buffer the body if its length is known and within the limit.

        Raises
        ------
        BrokenResponseError
            If the body breaks off.
        """
        if self.length is None or self.length > limit_bytes:
            return
        try:
            self.buffered_body = self._body.read_up_to(limit_bytes)
            self._on_part(len(self.buffered_body))
        except (StreamError, OSError) as error:
            self.finish(is_complete=False)
            raise BrokenResponseError(str(error)) from error
        self.finish(is_complete=True)

    def read_part(self) -> bytes:
        """Return the next part of the body as it arrives; empty at the end.

        Raises
        ------
        BrokenResponseError
            If the body breaks off or makes no progress.
        """
        try:
            part = self._body.read_some(_MAX_PART_BYTES)
        except (StreamError, OSError) as error:
            raise BrokenResponseError(str(error)) from error
        if self.is_given_up:
            # What looks like the end may be that of the aborted connection.
            raise BrokenResponseError('given up, requests wait for a thread')
        self._on_part(len(part))
        return part

    def give_up(self) -> None:
        """Break the response off, for the sake of other requests."""
        self.is_given_up = True
        self._on_abort()

    def finish(self, *, is_complete: bool | None) -> None:
        """Release the connection and the permits of the target."""
        on_finish = self._on_finish
        self._on_finish = None
        if on_finish is not None:
            on_finish(is_complete)


def response_body(
    head: ResponseHead, reader: SocketReader, *, method: str
) -> Body:
    """Return the body that follows the head of a response."""
    if method == 'HEAD' or head.status in _STATUSES_WITHOUT_BODY:
        return Body()
    if head.is_chunked:
        return ChunkedBody(reader)
    if head.content_length is not None:
        return LengthBody(reader, head.content_length)
    return UntilCloseBody(reader)


def forward_response(
    request: HttpRequest, response: Response, call: Call
) -> None:
    """Send a response to the caller.

    Raises
    ------
    BrokenResponseError
        If the body breaks off; the caller's connection must be reset.
    OSError
        If the caller has disconnected or does not read.
    """
    part = response.buffered_body
    if part is None:
        # The head is sent after the first part was read, so that a response
        # that breaks off at once can still be replaced by an error response.
        part = response.read_part()
    _send_head(request, response, call)
    while part:
        request.raw.write(part)
        part = (
            b'' if response.buffered_body is not None else response.read_part()
        )


def _send_head(request: HttpRequest, response: Response, call: Call) -> None:
    headers = response.headers()
    headers.append((REQUEST_ID_HEADER, call.request_id))
    if response.forwards_not_run:
        headers.append((NOT_RUN_HEADER, 'true'))
    length = _content_length(response, request.method)
    if length is not None:
        headers.append(('Content-Length', str(length)))
    send_head(request.raw, response.status, headers)


def _content_length(response: Response, method: str) -> int | None:
    if response.status == 204:
        return None
    if method == 'HEAD' or response.status in _STATUSES_WITHOUT_BODY:
        return response.head.content_length
    return response.length

"""Request bodies: small ones are buffered, larger ones are streamed.

A buffered body can be sent again on a retry. A caller that sends too slowly
is timed out, so that it does not occupy a worker thread indefinitely.
"""

import hashlib
from dataclasses import dataclass

from ..core.clock import monotonic_s
from ..core.errors import Refusal, RefusalDetails
from ..core.http import HttpRequest
from ..core.http_server import REQUEST_TIMEOUT_S
from ..core.http_stream import Body, StreamError

_MAX_PART_BYTES = 65536
# Minimum per progress time-out; without it a caller that sends one byte per
# time-out would occupy a worker thread indefinitely.
_MIN_PROGRESS_BYTES = 4096


class CallerBodyError(Exception):
    """The caller's body is incomplete, stalled or malformed."""

    def __init__(self, problem: str, *, is_stalled: bool = False) -> None:
        """Store whether the caller stopped sending or sent too slowly."""
        super().__init__(problem)
        self.is_stalled = is_stalled

    def refusal(self, *, not_run: bool) -> Refusal:
        """Return the refusal sent to the caller.

        Parameters
        ----------
        not_run : bool
            Whether it is certain that no target ran the request.
        """
        return Refusal(
            'request_timeout' if self.is_stalled else 'malformed_body',
            f'body of the request: {self}',
            remedy='send the body as its framing announces, without pauses',
            details=RefusalDetails(
                status=408 if self.is_stalled else 400, not_run=not_run
            ),
        )


@dataclass(slots=True)
class RequestBody:
    """A request body whose start is buffered.

    Parameters
    ----------
    prefix : bytes
        The complete body, or its start.
    rest : Body or None
        Stream of the remainder; None if ``prefix`` is the complete body.
    length : int or None
        Declared length in bytes; None for a chunked body.
    """

    prefix: bytes = b''
    rest: Body | None = None
    length: int | None = 0

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent more than once."""
        return self.rest is None

    def digest(self) -> str:
        """Return a digest of the buffered prefix and the length."""
        digest = hashlib.sha256(self.prefix)
        digest.update(f'|{self.length}'.encode())
        return digest.hexdigest()


class BodySource:
    """Reads a streamed body and checks the caller's progress."""

    def __init__(self, body: Body, *, progress_timeout_s: float) -> None:
        """Start the first progress period."""
        self._body = body
        self._progress_timeout_s = progress_timeout_s
        self._period_start_s = monotonic_s()
        self._received_bytes = 0

    def read_some(self) -> bytes:
        """Return the next part; empty at the end.

        Raises
        ------
        CallerBodyError
            If the body is incomplete, stalled or malformed.
        """
        self._body.limit_time(self._progress_timeout_s)
        try:
            part = self._body.read_some(_MAX_PART_BYTES)
        except TimeoutError:
            raise CallerBodyError('nothing arrived', is_stalled=True) from None
        except (StreamError, OSError) as error:
            raise CallerBodyError(str(error)) from error
        self._check_progress(len(part))
        return part

    def _check_progress(self, received_bytes: int) -> None:
        self._received_bytes += received_bytes
        now_s = monotonic_s()
        if now_s - self._period_start_s < self._progress_timeout_s:
            return
        if self._received_bytes < _MIN_PROGRESS_BYTES and received_bytes:
            raise CallerBodyError('too slow', is_stalled=True)
        self._period_start_s = now_s
        self._received_bytes = 0


def read_request_body(request: HttpRequest, *, limit_bytes: int) -> RequestBody:
    """Buffer a body of at most ``limit_bytes``, or the start of a longer one.

    Raises
    ------
    CallerBodyError
        If the body is incomplete, stalled or malformed.
    """
    body = request.open_body()
    if body.is_finished:
        return RequestBody()
    # The extra byte shows whether a chunked body ends at the limit.
    size = limit_bytes if body.length is not None else limit_bytes + 1
    try:
        prefix = _read_prefix(body, size)
    except TimeoutError:
        raise CallerBodyError('nothing arrived', is_stalled=True) from None
    except (StreamError, OSError) as error:
        raise CallerBodyError(str(error)) from error
    if body.is_finished:
        return RequestBody(prefix, None, len(prefix))
    return RequestBody(prefix, body, body.length)


def _read_prefix(body: Body, size: int) -> bytes:
    parts: list[bytes] = []
    remaining = size
    body.limit_time(REQUEST_TIMEOUT_S)
    deadline_s = monotonic_s() + REQUEST_TIMEOUT_S
    while remaining > 0:
        part = body.read_some(remaining)
        if not part:
            break
        parts.append(part)
        remaining -= len(part)
        if monotonic_s() > deadline_s:
            raise CallerBodyError('too slow', is_stalled=True)
    return b''.join(parts)

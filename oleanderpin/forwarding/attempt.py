"""One attempt: a request sent to one target over one connection.

An attempt that fails reports whether the request may have run and whether
the target is at fault, on which retries and ejection depend.
"""

import socket

from ..core.clock import monotonic_s
from ..core.errors import Refusal
from ..core.http_head import ResponseHead, parse_response_head
from ..core.http_stream import StreamError
from ..core.metrics import EVENTS
from ..routing.links import LinkBudget
from ..routing.router import AttemptOutcome, AttemptResult, Selection
from .attempt_error import AttemptError
from .body import BodySource, CallerBodyError
from .call import Call, request_head, wait_readable
from .connections import NoConnectionError, TargetConnection, TargetConnections
from .response import Response, response_body

_MAX_HEAD_BYTES = 65536
_MAX_INTERIM_RESPONSES = 10
_LAST_CHUNK = b'0\r\n\r\n'


class Attempt:
    """A request sent to a target, up to the head of the response.

    Parameters
    ----------
    call : Call
        The request.
    selection : Selection
        The chosen target; `release` returns its permits.
    connections : TargetConnections
        Connection pool.
    """

    def __init__(
        self, call: Call, selection: Selection, connections: TargetConnections
    ) -> None:
        """Acquire the permits of the target."""
        self.target = selection.target
        self.started_s = call.clock.now_s()
        self.sent_s = self.started_s
        self._call = call
        self._selection = selection
        self._connections = connections
        self._connection: TargetConnection | None = None
        self._is_reusable = True
        self._first_byte_ms = 0.0
        self._bytes_read_before = 0
        self._is_released = False
        self._links = connections.kernel.plugin(LinkBudget)
        self._selection.__enter__()

    @property
    def sock(self) -> socket.socket:
        """Socket of the connection to the target."""
        return self._open_connection().sock

    @property
    def has_fresh_connection(self) -> bool:
        """Whether the connection was new, or in use within the last second."""
        connection = self._open_connection()
        return connection.is_new or connection.was_fresh

    def send(self) -> None:
        """Send the request.

        Raises
        ------
        AttemptError
            If the target cannot be reached.
        CallerBodyError
            If the caller's body could not be read; the attempt has ended.
        """
        forwarding = self._connections.kernel.settings.forwarding
        timeout_s = min(forwarding.connect_timeout_s, self._call.remaining_s())
        try:
            self._connection = self._connections.acquire(
                self.target,
                needs_fresh=not self._call.request.is_idempotent,
                timeout_s=timeout_s,
            )
        except NoConnectionError as error:
            self.record('no_connection')
            self.release()
            raise AttemptError(
                'no_connection',
                f'no connection to a target: {error}',
                may_have_run=False,
            ) from error
        self._bytes_read_before = self._connection.reader.bytes_read
        if self._send_part(
            request_head(self._call) + self._frame(self._call.body.prefix)
        ):
            self._stream_body()
        self.sent_s = self._call.clock.now_s()

    def read_response(self) -> Response:
        """Read the head of the response after its first byte has arrived.

        Raises
        ------
        AttemptError
            If the connection was lost or the response is malformed.
        """
        connection = self._open_connection()
        now_s = self._call.clock.now_s()
        self._first_byte_ms = max(0.0, now_s - self.sent_s) * 1000
        connection.sock.settimeout(self._call.profile.progress_timeout_s)
        reader = connection.reader
        reader.before_receive = self._wait_for_progress
        # A head that arrives byte by byte makes progress all the time.
        reader.deadline_s = monotonic_s() + self._call.remaining_s()
        try:
            head = self._read_head()
        except Refusal as error:
            raise self._malformed_response(str(error)) from error
        except (StreamError, OSError) as error:
            is_late = self._call.remaining_s() <= 0
            if is_late and isinstance(error, TimeoutError):
                raise self.timed_out() from error
            raise self.connection_lost(error) from error
        reader.deadline_s = None
        if head.status == 101:
            raise self._malformed_response('unexpected 101')
        tokens = head.headers.tokens('connection')
        if 'close' in tokens or not head.minor_version:
            self._is_reusable = False
        body = response_body(
            head, connection.reader, method=self._call.request.method
        )
        if body.length is None and not head.is_chunked:
            self._is_reusable = False
        return Response(
            head,
            body,
            on_finish=lambda done: self._finish(head, done),
            on_part=self._wait_for_link_budget,
            on_abort=connection.abort,
            target=self.target.address,
        )

    def connection_lost(self, error: Exception) -> AttemptError:
        """End the attempt after a lost connection and return the error.

        An idle connection that the target had closed is not counted against
        the target if a new connection can be opened.
        """
        connection = self._open_connection()
        got_bytes = connection.reader.bytes_read > self._bytes_read_before
        is_fresh = self.has_fresh_connection
        self._close_connection()
        if got_bytes:
            self.record('reset')
            self.release()
            return AttemptError('answer_broken', f'answer broke off: {error}')
        is_stale = not is_fresh and self._connections.can_connect(self.target)
        if not is_stale:
            self.record('reset')
        self.release()
        if is_stale:
            return AttemptError(
                'stale_connection', f'an idle connection was closed: {error}'
            )
        return AttemptError(
            'target_connection_lost',
            f'the target closed the connection without an answer: {error}',
            is_crash=not isinstance(error, TimeoutError),
        )

    def timed_out(self) -> AttemptError:
        """End the attempt after the first-byte time-out and return the error.

        A reused connection that went silent is not counted against the
        target if a new connection can be opened.
        """
        connection = self._open_connection()
        is_new = connection.is_new
        self._close_connection()
        is_silent = False
        if not is_new:
            # Other idle connections of that age may be dead as well.
            self._connections.close_idle(self.target.address)
            is_silent = self._connections.can_connect(self.target)
        if not is_silent:
            self.record('timeout')
        self.release()
        if is_silent:
            return AttemptError(
                'silent_connection', 'an open connection went silent'
            )
        return AttemptError(
            'first_byte_timeout', 'the target did not answer in time'
        )

    def abandon(self) -> None:
        """End the attempt; its connection has an outstanding response."""
        connection = self._connection
        if connection is not None and not connection.is_new:
            if self._call.remaining_s() <= 0:
                # Other idle connections of that age may be dead as well.
                self._connections.close_idle(self.target.address)
        self._close_connection()
        self.release()

    def record(self, outcome: AttemptResult, *, status: int = 0) -> None:
        """Report the result of the attempt to the router."""
        self._selection.record(
            AttemptOutcome(outcome, self._first_byte_ms, status)
        )

    def release(self) -> None:
        """Return the permits of the target."""
        if self._is_released:
            return
        self._is_released = True
        self._selection.__exit__(None, None, None)

    def _open_connection(self) -> TargetConnection:
        if self._connection is None:
            raise RuntimeError('the attempt has no connection')
        return self._connection

    def _close_connection(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is not None:
            self._connections.close(connection)

    def _read_head(self) -> ResponseHead:
        reader = self._open_connection().reader
        interim_responses = 0
        while interim_responses < _MAX_INTERIM_RESPONSES:
            head = parse_response_head(
                reader.read_head(limit_bytes=_MAX_HEAD_BYTES)
            )
            if head.status >= 200 or head.status == 101:
                return head
            interim_responses += 1
        raise StreamError('too many interim answers')

    def _malformed_response(self, problem: str) -> AttemptError:
        self._close_connection()
        self.record('target_error')
        self.release()
        return AttemptError(
            'malformed_answer', f'malformed answer of the target: {problem}'
        )

    def _finish(self, head: ResponseHead, is_complete: bool | None) -> None:
        connection = self._connection
        if connection is None:
            return
        if is_complete and self._is_reusable:
            connection.reader.before_receive = None
            self._connection = None
            self._connections.release(connection)
        else:
            self._close_connection()
        if is_complete is False:
            self.record('reset', status=head.status)
        else:
            self.record(_result_for_status(head.status), status=head.status)
        self.release()

    def _wait_for_progress(self) -> None:
        timeout_s = self._call.profile.progress_timeout_s
        sock = self._open_connection().sock
        if not wait_readable([sock], self._call.caller, timeout_s=timeout_s):
            raise StreamError(f'no progress for {timeout_s} s')

    def _frame(self, part: bytes) -> bytes:
        if self._call.body.length is None and part:
            return b'%x\r\n%b\r\n' % (len(part), part)
        return part

    def _stream_body(self) -> None:
        call = self._call
        connection = self._open_connection()
        if call.body.rest is None:
            return
        source = BodySource(
            call.body.rest, progress_timeout_s=call.profile.progress_timeout_s
        )
        while True:
            try:
                part = source.read_some()
            except CallerBodyError:
                self.abandon()
                raise
            if self._has_early_response(connection):
                return
            is_last = not part
            if is_last and call.body.length is None:
                part = _LAST_CHUNK
            else:
                part = self._frame(part)
            if not self._send_part(part):
                return
            if is_last:
                call.extend_deadline()
                return

    def _send_part(self, part: bytes) -> bool:
        """Send a part; return False if the target closed the connection."""
        connection = self._open_connection()
        timeout_s = self._call.profile.progress_timeout_s
        self._wait_for_link_budget(len(part))
        try:
            connection.send(part, timeout_s=timeout_s)
        except ConnectionError:
            # The target may have sent a response before it closed.
            self._is_reusable = False
            return False
        except OSError as error:
            raise self.connection_lost(error) from error
        return True

    def _wait_for_link_budget(self, byte_count: int) -> None:
        """Wait for the bandwidth budget of the link to the target's region.

        After the progress time-out the transfer continues over budget: an
        aborted transfer would cost the link more than the remaining bytes.
        """
        profile = self._call.profile
        is_within_budget = self._links.acquire(
            self.target.region,
            byte_count,
            traffic_class=profile.traffic_class,
            deadline_s=self._call.clock.now_s() + profile.progress_timeout_s,
        )
        if not is_within_budget:
            EVENTS.labels('links', 'over_budget').inc()

    def _has_early_response(self, connection: TargetConnection) -> bool:
        if not wait_readable([connection.sock], None, timeout_s=0):
            return False
        # The rest of the body is not sent, so the connection cannot be reused.
        self._is_reusable = False
        return True


def _result_for_status(status: int) -> AttemptResult:
    if status == 503:
        return 'shed'
    return 'target_error' if status >= 500 else 'ok'

"""What targets say in their responses, of requests and of themselves."""

from http import HTTPStatus

from ..core.metrics import EVENTS
from ..core.stated_numbers import stated_count, stated_decimal
from .candidate import Candidate
from .dialect import Dialect
from .messages import TargetResponse
from .rate_limited_log import RateLimitedLog
from .service_targets import TargetDirectory

_LEAVING = b'1'
_FIRST_REDIRECTION = 300
# A target that wants nothing for longer stops its announcements.
_MAX_PAUSE_S = 3600.0
_MAX_REQUESTS_AT_TARGET = 1_000_000
# What a log line quotes of a header.
_QUOTED_BYTES = 100
_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


def parse_pause_s(value: bytes) -> float | None:
    """Return the seconds that a header names, None if it cannot be read."""
    return stated_decimal(value, most=_MAX_PAUSE_S)


class TargetAnswers:
    """Reads load, limit, leaving and pause from responses of targets.

    Parameters
    ----------
    dialect : Dialect
        Header names.
    directory : TargetDirectory
        Records what was read.
    log : RateLimitedLog
        Log of limits and of values that cannot be read.
    """

    def __init__(
        self, dialect: Dialect, directory: TargetDirectory, log: RateLimitedLog
    ) -> None:
        """Store what is needed to read responses."""
        self._dialect = dialect
        self._directory = directory
        self._log = log

    def is_valid(self, response: TargetResponse) -> bool:
        """Return whether a response may be passed on to the caller.

        Callers take some statuses as a guarantee that the request has not
        run. Targets state that in a header of their own, so a response with
        such a status but without that header is not passed on.
        """
        if response.status in _NOT_RUN_STATUSES:
            return False
        seal = self._dialect.seal
        is_success = response.status < _FIRST_REDIRECTION
        is_complete = not seal or response.header(seal) is not None
        is_unencoded = response.header(b'content-encoding') is None
        return is_unencoded and (is_complete or not is_success)

    def is_not_run(self, response: TargetResponse) -> bool:
        """Return whether the target states that it did not run the request."""
        return (
            self.is_misdirected(response)
            or response.header(self._dialect.not_executed) is not None
        )

    def is_misdirected(self, response: TargetResponse) -> bool:
        """Return whether another target than the intended one responded."""
        return response.status == HTTPStatus.MISDIRECTED_REQUEST

    def note(
        self,
        candidate: Candidate,
        response: TargetResponse,
        now_s: float,
        *,
        cause: str,
    ) -> None:
        """Record what a response says of its target.

        Parameters
        ----------
        candidate : Candidate
            Target that the request was sent to.
        response : TargetResponse
            Its response.
        now_s : float
            Monotonic time.
        cause : str
            Id of the request, for logs.
        """
        if self.is_misdirected(response):
            return
        candidate.health.note_answer(now_s)
        self._note_load(candidate, response, now_s)
        self._note_limit(candidate, response)
        if response.header(self._dialect.leaving) == _LEAVING:
            self._directory.note_leaving(candidate, cause)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._note_pause(candidate, response, cause)

    def _note_load(
        self, candidate: Candidate, response: TargetResponse, now_s: float
    ) -> None:
        load = response.header(self._dialect.load)
        if not load:
            return
        counts = [
            stated_count(part, most=_MAX_REQUESTS_AT_TARGET)
            for part in load.split(b',', 2)[:2]
        ]
        if len(counts) == 2 and None not in counts:
            running, waiting = (count or 0 for count in counts)
            candidate.health.note_load(running, waiting, now_s)

    def _note_limit(
        self, candidate: Candidate, response: TargetResponse
    ) -> None:
        header = response.header(self._dialect.limit_per_s)
        if self._directory.observe_limit(candidate, header):
            self._log.write(
                'limit of a target changed',
                target=candidate.target.target_id,
                limit=_quoted(header) if header else '',
            )

    def _note_pause(
        self, candidate: Candidate, response: TargetResponse, cause: str
    ) -> None:
        value = response.header(self._dialect.pause_s)
        if value is None:
            return
        pause_s = parse_pause_s(value)
        if pause_s is None:
            EVENTS.labels('gateway', 'pause_unreadable').inc()
            self._log.write(
                'pause of a target is not a number of seconds',
                target=candidate.target.target_id,
                value=_quoted(value),
                cause=cause,
            )
            return
        self._directory.states.note_pause(candidate, pause_s, cause)


def _quoted(value: bytes) -> str:
    return value[:_QUOTED_BYTES].decode('latin-1')

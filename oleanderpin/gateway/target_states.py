"""Targets that leave or pause by their own word, and the log of both states."""

from collections.abc import Collection

from ..core.clock import monotonic_s
from ..routing.leaving_targets import LeavingTargets
from ..targets.announcement import Incarnation
from .candidate import Candidate
from .rate_limited_log import RateLimitedLog

_STARTED_AGAIN = 'started again'


class TargetStates:
    """Begins and ends the states that targets declare.

    Parameters
    ----------
    leaving : LeavingTargets
        What this gateway and the others have read.
    log : RateLimitedLog
        Log of the changes.
    drain_s : float
        Time after which no request may reach a leaving target.
    """

    def __init__(
        self, leaving: LeavingTargets, log: RateLimitedLog, *, drain_s: float
    ) -> None:
        """Start without targets in a state."""
        self._known = leaving
        self._log = log
        self._drain_s = drain_s
        self._leaving: dict[Incarnation, Candidate] = {}
        self._paused: dict[Incarnation, Candidate] = {}

    def note_leaving(self, candidate: Candidate, cause: str) -> bool:
        """Record that a target said in a response that it leaves.

        Parameters
        ----------
        candidate : Candidate
            The target.
        cause : str
            Id of the request that it responded to.

        Returns
        -------
        bool
            Whether this is new.
        """
        if candidate.health.is_leaving:
            return False
        now_s = monotonic_s()
        self._known.observe(candidate.incarnation, now_s)
        self._begin_leaving(candidate, now_s, cause=cause)
        return True

    def apply_reported(
        self, candidates: Collection[Candidate]
    ) -> list[Candidate]:
        """Apply what other gateways have read; return whom it is new of."""
        if not self._known:
            return []
        changed = []
        for candidate in candidates:
            if candidate.health.is_leaving:
                continue
            since_s = self._known.since_s(candidate.incarnation)
            if since_s is not None:
                self._begin_leaving(candidate, since_s, cause='report')
                changed.append(candidate)
        return changed

    def note_pause(
        self, candidate: Candidate, pause_s: float, cause: str
    ) -> None:
        """Record that a target asked for a pause.

        Parameters
        ----------
        candidate : Candidate
            The target.
        pause_s : float
            Time for which it wants nothing.
        cause : str
            Id of the request that it responded to.
        """
        if candidate.health.note_pause(pause_s, monotonic_s()):
            self._paused[candidate.incarnation] = candidate
            self._log.write(
                'target pauses',
                target=candidate.target.target_id,
                address=candidate.target.address,
                pause_s=pause_s,
                cause=cause,
            )

    def end_pauses(self) -> None:
        """Log the pauses that are over."""
        now_s = monotonic_s()
        for incarnation, candidate in list(self._paused.items()):
            if not candidate.health.is_paused(now_s):
                self._paused.pop(incarnation)
                self._log_end('pauses', incarnation, cause='time is over')

    def note_present(self, present: Collection[Incarnation]) -> None:
        """End the states of targets that do not announce themselves any more.

        Parameters
        ----------
        present : collection of Incarnation
            Targets that announce themselves.
        """
        for incarnation in self._leaving.keys() - present:
            self._leaving.pop(incarnation)
            cause = _end_cause(incarnation, present)
            self._log_end('leaves', incarnation, cause=cause)
        for incarnation in self._paused.keys() - present:
            cause = _end_cause(incarnation, present)
            if cause == _STARTED_AGAIN:
                self._paused.pop(incarnation)
                self._log_end('pauses', incarnation, cause=cause)
        if self._known:
            self._known.forget_absent(present, monotonic_s())

    def _begin_leaving(
        self, candidate: Candidate, since_s: float, *, cause: str
    ) -> None:
        now_s = monotonic_s()
        candidate.health.note_leaving(since_s, now_s, drain_s=self._drain_s)
        self._leaving[candidate.incarnation] = candidate
        self._log.write(
            'target leaves',
            target=candidate.target.target_id,
            address=candidate.target.address,
            since_ms=int((now_s - since_s) * 1000),
            cause=cause,
        )

    def _log_end(
        self, state: str, incarnation: Incarnation, *, cause: str
    ) -> None:
        self._log.write(
            f'target no longer {state}',
            target=incarnation.target_id,
            address=incarnation.address,
            cause=cause,
        )


def _end_cause(ended: Incarnation, present: Collection[Incarnation]) -> str:
    is_again = any(
        each.target_id == ended.target_id or each.address == ended.address
        for each in present
    )
    return _STARTED_AGAIN if is_again else 'gone'

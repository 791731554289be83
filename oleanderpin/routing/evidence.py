"""What this instance itself observes of each target."""

import math

from ..targets.table import Target
from .concurrency import ConcurrencyLimit
from .outcome import AttemptOutcome

_LATENCY_WEIGHT = 0.1
_LATENCY_DECAY_S = 30.0
_FAILURE_DECAY_S = 5.0
_FAILURE_PENALTY_MS = 200.0
# Targets announce every second; a report that was not renewed for two
# announcements no longer describes the target.
_REPORT_LIMIT_S = 2.0
# A target that refused a connection is tried again after this time, unless
# nothing else can take the request.
_UNREACHABLE_S = 1.0
# A target that queues requests answers later than it used to. The usual
# latency falls quickly and rises slowly, so that a lasting change of the
# service is taken over after about 500 answers.
_USUAL_FALL = 0.1
_USUAL_RISE = 0.002
# Ratios of 1.3 and 1.6 refused 675 requests of a steady load that 1.5 and 2
# served.
_HOLD_RATIO = 1.5
_QUEUING_RATIO = 2.0
_OVERLOAD_RESULTS = frozenset(('shed', 'timeout'))
_FAILURE_RESULTS = frozenset(
    ('target_error', 'no_connection', 'timeout', 'reset')
)


class TargetEvidence:
    """In-flight requests, latency, failures and reported load of a target.

    Parameters
    ----------
    target : Target
        The target as last announced.
    now_s : float
        Monotonic time.
    instances : int
        Instances that are expected to share the target.
    """

    __slots__ = (
        '_failed_s',
        '_failures',
        '_latency_ms',
        '_measured_s',
        '_reported_s',
        '_unreachable_until_s',
        '_usual_ms',
        'in_flight',
        'limit',
        'target',
    )

    def __init__(
        self, target: Target, *, now_s: float, instances: int = 1
    ) -> None:
        """Start without measurements."""
        self.target = target
        self.in_flight = 0
        self.limit = ConcurrencyLimit(slots=target.slots, instances=instances)
        self._latency_ms = 0.0
        self._usual_ms = 0.0
        self._measured_s = float('-inf')
        self._failures = 0.0
        self._failed_s = now_s
        self._reported_s = now_s
        self._unreachable_until_s = float('-inf')

    def note_announcement(self, target: Target, *, now_s: float) -> None:
        """Take over an announcement; an unchanged one only grows older."""
        if target is self.target:
            return
        self.target = target
        self._reported_s = now_s
        if target.slots != self.limit.slots:
            self.limit.resize(target.slots)
        if target.load > target.slots:
            self.limit.on_reported_overload()

    def note_outcome(self, outcome: AttemptOutcome, *, now_s: float) -> None:
        """Record what an attempt came to."""
        if outcome.result == 'ok':
            self._note_latency(outcome.first_byte_ms, now_s=now_s)
            self._adapt_limit(now_s)
        if outcome.result in _OVERLOAD_RESULTS:
            self.limit.on_overload(now_s, latency_ms=self._latency_ms)
        if outcome.result in _FAILURE_RESULTS:
            self._failures = self.failures(now_s) + 1
            self._failed_s = now_s
        elif outcome.result == 'ok':
            self._failures = 0.0
            self._unreachable_until_s = float('-inf')
        if outcome.result == 'no_connection':
            self._unreachable_until_s = now_s + _UNREACHABLE_S

    def is_reachable(self, now_s: float) -> bool:
        """Return whether no connection was refused within the last second."""
        return now_s >= self._unreachable_until_s

    def failures(self, now_s: float) -> float:
        """Return the recent failures, decayed."""
        if not self._failures:
            return 0.0
        age_s = now_s - self._failed_s
        return self._failures * math.exp(-age_s / _FAILURE_DECAY_S)

    def latency_ms(self, now_s: float, *, typical_ms: float) -> float:
        """Return the latency; it decays to that of a typical target.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        typical_ms : float
            Latency that is assumed of a target without measurements.
        """
        if not self._latency_ms:
            return typical_ms
        known = math.exp((self._measured_s - now_s) / _LATENCY_DECAY_S)
        return typical_ms + (self._latency_ms - typical_ms) * known

    def busy(self, now_s: float) -> float:
        """Return the part of the target that is in use, 1 being all of it.

        A reported load counts only while the instance has not measured the
        target, and can only raise the estimate, so that a target cannot
        attract traffic by reporting too little. Used for all targets, it sent
        all instances to the same targets for as long as a report lasts.
        """
        own = self.in_flight / self.limit.value
        age_s = now_s - self._reported_s
        if self._latency_ms or age_s >= _REPORT_LIMIT_S:
            return own
        reported = min(1.0, self.target.load / self.target.slots)
        return max(own, reported * (1 - age_s / _REPORT_LIMIT_S))

    def expected_wait_ms(self, now_s: float, *, typical_ms: float) -> float:
        """Return the time until the first byte that one more request faces."""
        latency_ms = self.latency_ms(now_s, typical_ms=typical_ms)
        wait_ms = latency_ms * (1 + self.busy(now_s))
        if self._failures:
            wait_ms += _FAILURE_PENALTY_MS * self.failures(now_s)
        return wait_ms

    def has_room(self, ramp: float) -> bool:
        """Return whether the limit, scaled by slow start, allows one more."""
        return self.in_flight < max(1, int(self.limit.value * ramp))

    def _adapt_limit(self, now_s: float) -> None:
        ratio = self._latency_ms / self._usual_ms if self._usual_ms else 1.0
        if ratio >= _QUEUING_RATIO:
            self.limit.on_overload(now_s, latency_ms=self._latency_ms)
        elif ratio < _HOLD_RATIO:
            self.limit.on_success(in_flight=self.in_flight)

    def _note_latency(self, first_byte_ms: float, *, now_s: float) -> None:
        if self._latency_ms:
            change_ms = first_byte_ms - self._latency_ms
            self._latency_ms += _LATENCY_WEIGHT * change_ms
        else:
            self._latency_ms = first_byte_ms
        difference_ms = self._latency_ms - self._usual_ms
        weight = _USUAL_RISE if difference_ms > 0 else _USUAL_FALL
        if self._usual_ms:
            self._usual_ms += weight * difference_ms
        else:
            self._usual_ms = self._latency_ms
        self._measured_s = now_s

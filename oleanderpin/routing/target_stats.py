"""Statistics that this instance collects about each target."""

import math

from ..targets.table import Target
from .concurrency import ConcurrencyLimit
from .outcome import AttemptOutcome

_LATENCY_WEIGHT = 0.1
_LATENCY_DECAY_S = 30.0
_FAILURE_DECAY_S = 5.0
_FAILURE_PENALTY_MS = 200.0
# Targets announce their load every second; a report is stale after two missed
# announcements.
_REPORT_VALID_S = 2.0
# A target that refused a connection gets no requests for this time, unless
# no other target can take the request.
_UNREACHABLE_HOLD_S = 1.0
# A target that queues requests responds later than its baseline latency. The
# baseline falls quickly and rises slowly, so that it adopts a lasting change
# of the service after about 500 responses.
_BASELINE_FALL_WEIGHT = 0.1
_BASELINE_RISE_WEIGHT = 0.002
# Latency ratios to the baseline: below the first the limit may rise, from the
# second on it falls. With 1.3 and 1.6, 675 requests of a steady load were
# rejected that 1.5 and 2 served.
_HOLD_LATENCY_RATIO = 1.5
_QUEUING_LATENCY_RATIO = 2.0
_OVERLOAD_RESULTS = frozenset(('shed', 'timeout'))
_FAILURE_RESULTS = frozenset(
    ('target_error', 'no_connection', 'timeout', 'reset')
)


class TargetStats:
    """In-flight requests, latency, failures and reported load of a target.

    Parameters
    ----------
    target : Target
        Latest announcement of the target.
    now_s : float
        Monotonic time.
    instances : int
        Instances that are expected to share the target.
    """

    __slots__ = (
        '_baseline_ms',
        '_failures',
        '_last_failure_s',
        '_last_measured_s',
        '_latency_ms',
        '_reported_s',
        '_unreachable_until_s',
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
        self._baseline_ms = 0.0
        self._last_measured_s = float('-inf')
        self._failures = 0.0
        self._last_failure_s = now_s
        self._reported_s = now_s
        self._unreachable_until_s = float('-inf')

    def record_announcement(self, target: Target, *, now_s: float) -> None:
        """Record an announcement; the same object again does not renew it."""
        if target is self.target:
            return
        self.target = target
        self._reported_s = now_s
        if target.slots != self.limit.slots:
            self.limit.resize(target.slots)
        if target.load > target.slots:
            self.limit.on_reported_overload()

    def record_outcome(self, outcome: AttemptOutcome, *, now_s: float) -> None:
        """Record the outcome of an attempt."""
        if outcome.result == 'ok':
            self._record_latency(outcome.first_byte_ms, now_s=now_s)
            self._adapt_limit(now_s)
        if outcome.result in _OVERLOAD_RESULTS:
            self.limit.on_overload(now_s, latency_ms=self._latency_ms)
        if outcome.result in _FAILURE_RESULTS:
            self._failures = self.failures(now_s) + 1
            self._last_failure_s = now_s
        elif outcome.result == 'ok':
            self._failures = 0.0
            self._unreachable_until_s = float('-inf')
        if outcome.result == 'no_connection':
            self._unreachable_until_s = now_s + _UNREACHABLE_HOLD_S

    def is_reachable(self, now_s: float) -> bool:
        """Return whether the last second had no failed connection."""
        return now_s >= self._unreachable_until_s

    def failures(self, now_s: float) -> float:
        """Return the exponentially decayed number of recent failures."""
        if not self._failures:
            return 0.0
        age_s = now_s - self._last_failure_s
        return self._failures * math.exp(-age_s / _FAILURE_DECAY_S)

    def latency_ms(self, now_s: float, *, typical_latency_ms: float) -> float:
        """Return the mean latency, which decays towards that of a typical target.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        typical_ms : float
            Latency assumed for a target without measurements.
        """
        if not self._latency_ms:
            return typical_latency_ms
        weight = math.exp((self._last_measured_s - now_s) / _LATENCY_DECAY_S)
        return (
            typical_latency_ms
            + (self._latency_ms - typical_latency_ms) * weight
        )

    def utilization(self, now_s: float) -> float:
        """Return the fraction of the target that is in use, 1 for all of it.

        Reported load counts only until the instance has measured the target
        itself, and can only raise the estimate, so that a target cannot
        attract traffic by under-reporting. When it was used for all targets,
        all instances sent to the same targets while a report was valid.
        """
        own = self.in_flight / self.limit.value
        age_s = now_s - self._reported_s
        if self._latency_ms or age_s >= _REPORT_VALID_S:
            return own
        reported = min(1.0, self.target.load / self.target.slots)
        return max(own, reported * (1 - age_s / _REPORT_VALID_S))

    def expected_wait_ms(
        self, now_s: float, *, typical_latency_ms: float
    ) -> float:
        """Return the expected time to first byte of one more request."""
        latency_ms = self.latency_ms(
            now_s, typical_latency_ms=typical_latency_ms
        )
        wait_ms = latency_ms * (1 + self.utilization(now_s))
        if self._failures:
            wait_ms += _FAILURE_PENALTY_MS * self.failures(now_s)
        return wait_ms

    def has_capacity(self, ramp: float) -> bool:
        """Return whether the limit, scaled by slow start, admits a request."""
        return self.in_flight < max(1, int(self.limit.value * ramp))

    def _adapt_limit(self, now_s: float) -> None:
        ratio = (
            self._latency_ms / self._baseline_ms if self._baseline_ms else 1.0
        )
        if ratio >= _QUEUING_LATENCY_RATIO:
            self.limit.on_overload(now_s, latency_ms=self._latency_ms)
        elif ratio < _HOLD_LATENCY_RATIO:
            self.limit.on_success(in_flight=self.in_flight)

    def _record_latency(self, first_byte_ms: float, *, now_s: float) -> None:
        if self._latency_ms:
            change_ms = first_byte_ms - self._latency_ms
            self._latency_ms += _LATENCY_WEIGHT * change_ms
        else:
            self._latency_ms = first_byte_ms
        difference_ms = self._latency_ms - self._baseline_ms
        weight = (
            _BASELINE_RISE_WEIGHT
            if difference_ms > 0
            else _BASELINE_FALL_WEIGHT
        )
        if self._baseline_ms:
            self._baseline_ms += weight * difference_ms
        else:
            self._baseline_ms = self._latency_ms
        self._last_measured_s = now_s

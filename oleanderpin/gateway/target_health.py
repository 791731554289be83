"""What an instance has seen of a target, from its own requests."""

from dataclasses import dataclass, field

# Weight of the newest answer in the averages.
_WEIGHT = 0.2
# A failed attempt keeps new work away for this long, doubled each time.
_FIRST_EJECTION_S = 0.5
_LONGEST_EJECTION_S = 4.0
# Failures in a row that end the use of a target, unless it does not connect.
_FAILURES_IN_A_ROW = 3
# Averages are used after this many answers.
_MIN_ANSWERS = 4
_FAILING_PART = 0.3
# Reported load is believed for this long.
_LOAD_VALID_S = 1.0
_SHED_S = 0.15


@dataclass(slots=True)
class TargetHealth:
    """Load, failures and speed of one target.

    Parameters
    ----------
    slots : int
        Requests that the target processes at once.
    """

    slots: int
    in_flight: int = 0
    answers: int = 0
    latency_s: float = 0.0
    failure_part: float = 0.0
    failures_in_a_row: int = 0
    ejected_until_s: float = float('-inf')
    ejections: int = 0
    full_until_s: float = float('-inf')
    reported_busy: int = 0
    reported_s: float = float('-inf')
    sent_since_report: int = 0
    trial_s: float = float('-inf')
    broken_s: float = float('-inf')
    cold_tokens_s: float = field(default=float('-inf'))

    def busy(self, now_s: float) -> float:
        """Return how many requests the target has, running and waiting."""
        if now_s - self.reported_s > _LOAD_VALID_S:
            return float(self.in_flight)
        return max(
            float(self.in_flight),
            float(self.reported_busy + self.sent_since_report),
        )

    def room(self, now_s: float) -> float:
        """Return how many more requests would start at once."""
        if now_s < self.full_until_s:
            return 0.0
        return self.slots - self.busy(now_s)

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the target gets no new work at present."""
        return now_s < self.ejected_until_s

    def is_slow(self, usual_s: float, factor: float) -> bool:
        """Return whether it is slower than usual for its service."""
        return (
            self.answers >= _MIN_ANSWERS
            and usual_s > 0
            and self.latency_s > usual_s * factor
        )

    def is_failing(self) -> bool:
        """Return whether many of its answers are failures."""
        return self.answers >= _MIN_ANSWERS and (
            self.failure_part > _FAILING_PART
        )

    def note_sent(self) -> None:
        """Count a request that is on its way."""
        self.in_flight += 1
        self.sent_since_report += 1

    def note_load(self, running: int, waiting: int, now_s: float) -> None:
        """Take the load that an answer reports."""
        self.reported_busy = running + waiting
        self.reported_s = now_s
        self.sent_since_report = 0

    def note_answer(self, duration_s: float, *, is_failure: bool) -> None:
        """Take a complete answer."""
        self.answers += 1
        self.failures_in_a_row = self.failures_in_a_row + 1 if is_failure else 0
        if not is_failure:
            self.ejections = 0
            self.latency_s += (duration_s - self.latency_s) * (
                _WEIGHT if self.answers > 1 else 1
            )
        self.failure_part += (int(is_failure) - self.failure_part) * _WEIGHT

    def note_shed(self, now_s: float) -> None:
        """Note that the target refused a request for lack of room."""
        self.full_until_s = now_s + _SHED_S

    def note_broken(self, result: str, now_s: float) -> None:
        """Note an attempt without a complete answer."""
        self.answers += 1
        self.failure_part += (1 - self.failure_part) * _WEIGHT
        self.failures_in_a_row += 1
        if result == 'no_connection':
            self.broken_s = now_s
        if (
            result == 'no_connection'
            or self.failures_in_a_row >= _FAILURES_IN_A_ROW
        ):
            duration_s = min(
                _FIRST_EJECTION_S * 2**self.ejections, _LONGEST_EJECTION_S
            )
            self.ejections += 1
            self.ejected_until_s = now_s + duration_s

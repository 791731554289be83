"""Load, failures and latency of a target, as observed by this instance."""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from ..core.remote_timeout import RemoteTimeout
from .limit_bucket import LimitBucket

_NEVER_S = -math.inf
# Weight of the newest response in the moving averages.
_AVERAGE_WEIGHT = 0.2
# Duration of the first ejection, doubled for each further one.
_FIRST_EJECTION_S = 0.5
_MAX_EJECTION_S = 4.0
# Consecutive failures that eject a target; a failed connect ejects it at once.
_FAILURES_TO_EJECT = 3
# Averages are used after this many responses.
_MIN_RESPONSES = 4
# After this time without a response, the next one gets the higher weight.
_AVERAGE_STALE_S = 0.8
_STALE_AVERAGE_WEIGHT = 0.6
_FAILING_FRACTION = 0.3
# After these results the target may have restarted.
_MAY_HAVE_RESTARTED = frozenset(('no_connection', 'reset'))
# Part of the drain time in which a leaving target is a last resort; the rest
# covers requests on their way.
_LAST_RESORT_FRACTION = 0.5
# Reported load is valid for this long.
_LOAD_VALID_S = 1.0
_SHED_BACKOFF_S = 0.1
# Requests that may wait at a target, per slot.
_MAX_WAITING_PER_SLOT = 1.0
# Number of objects a target is assumed to have handled recently, and for how
# long.
_MAX_RECENT_OBJECTS = 64
_RECENT_OBJECT_S = 20.0


@dataclass(slots=True)
class TargetHealth:
    """Load, failures and latency of one target.

    Parameters
    ----------
    slots : int
        Requests that the target processes concurrently.
    round_trip_s : float
        Network round-trip time, estimated from the connect time.

    Notes
    -----
    ``may_have_restarted`` is set when the target may have restarted
    undetected; it counts as cold until it has been probed. ``expected_busy``
    is the average load of a target in its region, used while its own reported
    load is outdated. ``limit`` is None while the target has named no limit;
    ``weight`` is the part of the objects that it gets, relative to others.
    A leaving target is a last resort until ``last_resort_until_s``; one that
    asked for a pause gets nothing until ``paused_until_s``. ``connecting``
    holds the time-outs of requests that wait for a connection.
    """

    slots: int
    round_trip_s: float = 0.0
    in_flight: int = 0
    responses: int = 0
    warm_responses: int = 0
    warm_latency_s: float = 0.0
    measured_s: float = _NEVER_S
    failure_fraction: float = 0.0
    consecutive_failures: int = 0
    ejected_until_s: float = _NEVER_S
    ejections: int = 0
    full_until_s: float = _NEVER_S
    reported_busy: int = 0
    reported_s: float = _NEVER_S
    sent_since_report: int = 0
    sent_s: float = _NEVER_S
    cold_sent_s: float = _NEVER_S
    cold_until_s: float = _NEVER_S
    may_have_restarted: bool = False
    expected_busy: float = 0.0
    limit: LimitBucket | None = None
    weight: float = 1.0
    leaving_noted_s: float = math.inf
    last_resort_until_s: float = math.inf
    paused_until_s: float = _NEVER_S
    answered_s: float = _NEVER_S
    connecting: set[RemoteTimeout] = field(default_factory=set)
    _recent_objects: OrderedDict[str, float] = field(
        default_factory=OrderedDict
    )

    @property
    def is_leaving(self) -> bool:
        """Whether the target has said that it leaves."""
        return self.leaving_noted_s < math.inf

    @property
    def is_queue_unknown(self) -> bool:
        """Whether the target has not responded since its pause."""
        return self.paused_until_s > self.answered_s

    def is_paused(self, now_s: float) -> bool:
        """Return whether the target has asked for a pause that is not over."""
        return now_s < self.paused_until_s

    def declines(self, placed_s: float, now_s: float) -> str:
        """Return why a request placed earlier may not be sent any more.

        Parameters
        ----------
        placed_s : float
            Monotonic time at which the request was placed.
        now_s : float
            Monotonic time.

        Returns
        -------
        str
            ``leaving`` or ``paused``; empty if it may be sent.
        """
        if self.is_paused(now_s):
            return 'paused'
        is_new = placed_s < self.leaving_noted_s
        if self.is_leaving and (is_new or now_s >= self.last_resort_until_s):
            return 'leaving'
        return ''

    def note_leaving(
        self, since_s: float, now_s: float, *, drain_s: float
    ) -> None:
        """Record that the target leaves.

        Parameters
        ----------
        since_s : float
            Monotonic time at which it first said so to any gateway.
        now_s : float
            Monotonic time.
        drain_s : float
            Time after which no request may reach it.
        """
        self.leaving_noted_s = now_s
        self.last_resort_until_s = since_s + drain_s * _LAST_RESORT_FRACTION
        self._withdraw_connecting()

    def note_pause(self, pause_s: float, now_s: float) -> bool:
        """Record the pause that the target asked for.

        Returns
        -------
        bool
            Whether the pause begins; a shorter one does not end one.
        """
        begins = pause_s > 0 and not self.is_paused(now_s)
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)
        if begins:
            self.reported_s = _NEVER_S
            self._withdraw_connecting()
        return begins

    def busy(self, now_s: float) -> float:
        """Return the estimated requests at the target, running and waiting."""
        if now_s - self.reported_s > _LOAD_VALID_S:
            return max(self.in_flight, self.expected_busy)
        return max(self.in_flight, self.reported_busy + self.sent_since_report)

    def reports_free_slots(self, now_s: float) -> bool:
        """Return whether the target recently reported free slots."""
        is_recent = now_s - self.reported_s <= _LOAD_VALID_S
        return is_recent and self.reported_busy < self.slots

    def wait_s(self, work_s: float, now_s: float) -> float:
        """Return the expected wait of a new request for a slot."""
        waiting = self.busy(now_s) + 1 - self.slots
        return max(0, waiting) * work_s / max(1, self.slots)

    def usable_slots(self, usual_s: float, now_s: float) -> float:
        """Return the slots that requests within the target's limit occupy."""
        if self.limit is None or not usual_s:
            return self.slots
        return min(self.slots, self.limit.usable_per_s(now_s) * usual_s)

    def set_limit(self, limit_per_s: float, now_s: float) -> None:
        """Set the limit that the target names, 0 for none."""
        if not limit_per_s:
            self.limit = None
        elif self.limit is None:
            self.limit = LimitBucket(limit_per_s, now_s)
        else:
            self.limit.per_s = limit_per_s

    def is_full(self, now_s: float) -> bool:
        """Return whether the target just shed a request or has a full queue."""
        max_busy = self.slots * (1 + _MAX_WAITING_PER_SLOT)
        return now_s < self.full_until_s or self.busy(now_s) >= max_busy

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target is or may be cold."""
        return self.may_have_restarted or now_s < self.cold_until_s

    def note_cold(self, cold_s: float, now_s: float) -> None:
        """Record how much longer the target is cold, by its own report."""
        self.cold_until_s = now_s + cold_s
        self.may_have_restarted = False

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the target is excluded from new requests."""
        return now_s < self.ejected_until_s

    def slowness(self, usual_s: float) -> float:
        """Return the ratio of its duration to the usual one, at least 1."""
        if self.warm_responses < _MIN_RESPONSES or usual_s <= 0:
            return 1.0
        return max(1.0, self.warm_latency_s / usual_s)

    def is_failing(self) -> bool:
        """Return whether a large fraction of its responses are failures."""
        return self.responses >= _MIN_RESPONSES and (
            self.failure_fraction > _FAILING_FRACTION
        )

    def has_recent_object(self, key: str, now_s: float) -> bool:
        """Return whether the target has recently handled an object."""
        handled_s = self._recent_objects.get(key)
        return handled_s is not None and now_s - handled_s < _RECENT_OBJECT_S

    def note_sent(self, key: str, now_s: float) -> None:
        """Record a request that is being sent."""
        self.in_flight += 1
        self.sent_since_report += 1
        self.sent_s = now_s

    def note_connected(self, duration_s: float) -> None:
        """Record a connect time; the shortest one estimates the round trip."""
        if not self.round_trip_s or duration_s < self.round_trip_s:
            self.round_trip_s = duration_s

    def note_answer(self, now_s: float) -> None:
        """Record a response; one in a pause tells nothing of the time after."""
        self.answered_s = now_s

    def note_load(self, running: int, waiting: int, now_s: float) -> None:
        """Record the load reported by a response.

        More than makes the target full says nothing of it, but would count
        against the other targets of its region.
        """
        max_busy = math.ceil(self.slots * (1 + _MAX_WAITING_PER_SLOT))
        self.reported_busy = min(running + waiting, max_busy)
        self.reported_s = now_s
        self.sent_since_report = 0

    def note_failure(self) -> None:
        """Record a failed attempt."""
        self.responses += 1
        self.consecutive_failures += 1
        self.failure_fraction += (1 - self.failure_fraction) * _AVERAGE_WEIGHT

    def note_success(
        self, key: str, duration_s: float, now_s: float, *, has_waited: bool
    ) -> bool:
        """Record a successful response.

        Parameters
        ----------
        key : str
            Object of the request.
        duration_s : float
            Time from the request to the complete response.
        now_s : float
            Monotonic time.
        has_waited : bool
            Whether the target had no free slot when the request was sent.

        Returns
        -------
        bool
            Whether the duration is that of an object handled recently, without
            a wait for a slot.
        """
        self.responses += 1
        self.consecutive_failures = 0
        self.ejections = 0
        self.failure_fraction -= self.failure_fraction * _AVERAGE_WEIGHT
        was_recent = self.has_recent_object(key, now_s)
        self._recent_objects[key] = now_s
        self._recent_objects.move_to_end(key)
        if len(self._recent_objects) > _MAX_RECENT_OBJECTS:
            self._recent_objects.popitem(last=False)
        if not was_recent or has_waited:
            return False
        # After a pause, a new response outweighs the outdated average.
        is_stale = now_s - self.measured_s > _AVERAGE_STALE_S
        weight = _STALE_AVERAGE_WEIGHT if is_stale else _AVERAGE_WEIGHT
        work_s = duration_s - self.round_trip_s
        self.warm_latency_s += (work_s - self.warm_latency_s) * weight
        self.warm_responses += 1
        self.measured_s = now_s
        return True

    def note_shed(self, now_s: float) -> None:
        """Record that the target shed a request for lack of capacity."""
        self.full_until_s = now_s + _SHED_BACKOFF_S

    def note_connection_failure(self, result: str, now_s: float) -> None:
        """Record an attempt without a complete response."""
        self.note_failure()
        is_unreachable = result == 'no_connection'
        if result in _MAY_HAVE_RESTARTED:
            self.may_have_restarted = True
        if is_unreachable:
            self._recent_objects.clear()
        if is_unreachable or self.consecutive_failures >= _FAILURES_TO_EJECT:
            duration_s = min(
                _FIRST_EJECTION_S * 2**self.ejections, _MAX_EJECTION_S
            )
            self.ejections += 1
            self.ejected_until_s = now_s + duration_s

    def _withdraw_connecting(self) -> None:
        """End the waits of requests for a connection, to place them again."""
        for timeout in self.connecting:
            timeout.end()

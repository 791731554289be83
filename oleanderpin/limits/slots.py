"""Slots of one service and the requests that wait for them."""

from collections import Counter

from ..control.state import TrafficClass
from .round_robin import Durations, RoundRobin, Waiter

# Part of the slots that bulk traffic is sure of; small has the rest.
_BULK_PART = 0.25
# A class counts as present for this long after its last request.
_PRESENT_S = 10.0
_OTHER: dict[TrafficClass, TrafficClass] = {'small': 'bulk', 'bulk': 'small'}


class ServiceSlots:
    """Grants the slots of one service. Not thread-safe.

    Each traffic class is sure of its own slots and may use those that the
    other class leaves unused; while the other class is present, one slot is
    left for its next request.

    Parameters
    ----------
    places : int
        Requests that may wait; one account may hold half of them.
    """

    def __init__(self, *, places: int) -> None:
        """Start without requests."""
        self._places = places
        self._slots = 1
        self._durations = Durations()
        self._running: Counter[TrafficClass] = Counter()
        self._seen_s: dict[TrafficClass, float] = {}
        self._lines: dict[TrafficClass, RoundRobin] = {
            'small': RoundRobin(self._durations),
            'bulk': RoundRobin(self._durations),
        }

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(line) for line in self._lines.values())

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._running.total()

    def set_slots(self, slots: int) -> None:
        """Set how many requests may run at once; at least one may."""
        self._slots = max(1, slots)

    def expected_wait_s(self) -> float:
        """Return the time in which the waiting requests get slots."""
        return self._durations.overall_s() * (self.waiting + 1) / self._slots

    def start_at_once(self, traffic_class: TrafficClass, now_s: float) -> bool:
        """Take a slot if one is free and nobody waits for it."""
        self._seen_s[traffic_class] = now_s
        if self._lines[traffic_class] or not self._may_start(
            traffic_class, now_s
        ):
            return False
        self._running[traffic_class] += 1
        return True

    def push(self, waiter: Waiter, traffic_class: TrafficClass) -> bool:
        """Let a request wait; return False if no place is left for it."""
        is_full = self.waiting >= self._places
        # Open services have no accounts that could be told apart.
        if waiter.account:
            held = sum(
                line.waiting(waiter.account) for line in self._lines.values()
            )
            is_full = is_full or held >= self._places // 2
        if not is_full:
            self._lines[traffic_class].push(waiter)
        return not is_full

    def remove(self, waiter: Waiter, traffic_class: TrafficClass) -> None:
        """Take out a request that stopped waiting."""
        self._lines[traffic_class].remove(waiter)

    def release(
        self, account: str, traffic_class: TrafficClass, duration_s: float
    ) -> None:
        """Give a slot back after ``duration_s`` seconds."""
        self._running[traffic_class] -= 1
        self._durations.note(account, duration_s)

    def dispatch(self, now_s: float) -> list[Waiter]:
        """Grant free slots; return the requests that have got one."""
        granted = []
        for traffic_class, line in self._lines.items():
            while line and self._may_start(traffic_class, now_s):
                waiter = line.pop(now_s)
                if waiter is None:
                    break
                waiter.is_granted = True
                self._running[traffic_class] += 1
                granted.append(waiter)
        return granted

    def _may_start(self, traffic_class: TrafficClass, now_s: float) -> bool:
        free = self._slots - self.running
        if free <= 0:
            return False
        if self._running[traffic_class] < self._own_slots(traffic_class):
            return True
        other = _OTHER[traffic_class]
        if self._running[other] >= self._own_slots(other):
            return True
        is_present = now_s - self._seen_s.get(other, -now_s) < _PRESENT_S
        is_present = is_present and other in self._seen_s
        return not self._lines[other] and free > int(is_present)

    def _own_slots(self, traffic_class: TrafficClass) -> int:
        bulk = max(1, int(self._slots * _BULK_PART))
        return bulk if traffic_class == 'bulk' else max(1, self._slots - bulk)

"""Slots of one service and the queues of requests that wait for them."""

from collections import Counter

from ..control.state import TrafficClass
from .round_robin import Durations, RoundRobin, Waiter

# Fraction of the slots reserved for bulk traffic; small has the rest.
_BULK_FRACTION = 0.25
# A traffic class counts as active for this long after its last request.
_CLASS_ACTIVE_S = 10.0
_OTHER_CLASS: dict[TrafficClass, TrafficClass] = {
    'small': 'bulk',
    'bulk': 'small',
}


class ServiceSlots:
    """Grants the slots of one service. Not thread-safe.

    Each traffic class has reserved slots and may borrow those that the other
    class leaves unused. While the other class is active, one slot stays free
    for its next request.

    Parameters
    ----------
    places : int
        Maximum number of waiting requests; one account may have half of them.
    """

    def __init__(self, *, places: int) -> None:
        """Start with one slot and empty queues."""
        self._max_waiting = places
        self._slots = 1
        self._durations = Durations()
        self._running: Counter[TrafficClass] = Counter()
        self._last_request_s: dict[TrafficClass, float] = {}
        self._queues: dict[TrafficClass, RoundRobin] = {
            'small': RoundRobin(self._durations),
            'bulk': RoundRobin(self._durations),
        }

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._running.total()

    def set_slots(self, slots: int) -> None:
        """Set how many requests may run at once; at least one may."""
        self._slots = max(1, slots)

    def expected_wait_s(self) -> float:
        """Return the expected wait of a request that is queued now."""
        return (
            self._durations.overall_mean_s() * (self.waiting + 1) / self._slots
        )

    def start_at_once(self, traffic_class: TrafficClass, now_s: float) -> bool:
        """Take a slot if one is available and no request waits for it."""
        self._last_request_s[traffic_class] = now_s
        if self._queues[traffic_class] or not self._may_start(
            traffic_class, now_s
        ):
            return False
        self._running[traffic_class] += 1
        return True

    def push(self, waiter: Waiter, traffic_class: TrafficClass) -> bool:
        """Queue a request; return False if the queue is full."""
        is_full = self.waiting >= self._max_waiting
        # Requests to open services have no account that could be limited.
        if waiter.account:
            account_waiting = sum(
                queue.waiting(waiter.account) for queue in self._queues.values()
            )
            is_full = is_full or account_waiting >= self._max_waiting // 2
        if not is_full:
            self._queues[traffic_class].push(waiter)
        return not is_full

    def remove(self, waiter: Waiter, traffic_class: TrafficClass) -> None:
        """Remove a request that stopped waiting."""
        self._queues[traffic_class].remove(waiter)

    def release(
        self, account: str, traffic_class: TrafficClass, duration_s: float
    ) -> None:
        """Release a slot that was held for ``duration_s`` seconds."""
        self._running[traffic_class] -= 1
        self._durations.record(account, duration_s)

    def dispatch(self, now_s: float) -> list[Waiter]:
        """Grant free slots; return the requests that received one."""
        granted = []
        for traffic_class, queue in self._queues.items():
            while queue and self._may_start(traffic_class, now_s):
                waiter = queue.pop(now_s)
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
        if self._running[traffic_class] < self._reserved_slots(traffic_class):
            return True
        other = _OTHER_CLASS[traffic_class]
        if self._running[other] >= self._reserved_slots(other):
            return True
        is_active = (
            now_s - self._last_request_s.get(other, -now_s) < _CLASS_ACTIVE_S
        )
        is_active = is_active and other in self._last_request_s
        return not self._queues[other] and free > int(is_active)

    def _reserved_slots(self, traffic_class: TrafficClass) -> int:
        bulk = max(1, int(self._slots * _BULK_FRACTION))
        return bulk if traffic_class == 'bulk' else max(1, self._slots - bulk)

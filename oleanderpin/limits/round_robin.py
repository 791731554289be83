"""Deficit round robin over the waiting requests of client accounts."""

import threading
from collections import deque
from dataclasses import dataclass, field

# Weight of the last request in an account's moving average of durations.
_DURATION_WEIGHT = 0.1
# Costs stay within this factor of the mean over accounts, so that a few
# outliers can neither starve an account nor let it monopolise the slots.
_MAX_COST_FACTOR = 4.0


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a slot.

    Parameters
    ----------
    account : str
        Client account.
    deadline_s : float
        Monotonic time until which the request may wait.
    """

    account: str
    deadline_s: float
    event: threading.Event = field(default_factory=threading.Event)
    is_granted: bool = False


class Durations:
    """Moving averages of the time that accounts' requests hold a slot."""

    def __init__(self) -> None:
        """Start without requests."""
        self._means: dict[str, float] = {}

    def record(self, account: str, duration_s: float) -> None:
        """Record the duration of one request."""
        mean_s = self._means.get(account, duration_s)
        change_s = (duration_s - mean_s) * _DURATION_WEIGHT
        self._means[account] = mean_s + change_s

    def cost(self, account: str) -> float:
        """Return the cost of the account's next request; 1 on average."""
        mean_s = self._means.get(account)
        overall_mean_s = self.overall_mean_s()
        if mean_s is None or overall_mean_s <= 0:
            return 1.0
        cost = mean_s / overall_mean_s
        return min(_MAX_COST_FACTOR, max(1 / _MAX_COST_FACTOR, cost))

    def overall_mean_s(self) -> float:
        """Return the mean over the accounts, in seconds."""
        if not self._means:
            return 0.0
        return sum(self._means.values()) / len(self._means)


class RoundRobin:
    """Queues of waiting requests with equal slot time for each account.

    An account that starts to wait has its first turn before the accounts that
    wait already. It then joins the regular rotation, even if its queue is empty
    by then, so that it cannot be first again at once.
    """

    def __init__(self, durations: Durations) -> None:
        """Start empty."""
        self._durations = durations
        self._queues: dict[str, deque[Waiter]] = {}
        self._deficits: dict[str, float] = {}
        self._new: deque[str] = deque()
        self._old: deque[str] = deque()
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def waiting(self, account: str) -> int:
        """Return the number of waiting requests of an account."""
        return len(self._queues.get(account, ()))

    def push(self, waiter: Waiter) -> None:
        """Append a request to the queue of its account."""
        if waiter.account not in self._queues:
            self._queues[waiter.account] = deque()
            self._deficits[waiter.account] = 1.0
            self._new.append(waiter.account)
        self._queues[waiter.account].append(waiter)
        self._length += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that stopped waiting, if it is still queued."""
        queue = self._queues.get(waiter.account, ())
        if waiter in queue:
            self._queues[waiter.account].remove(waiter)
            self._length -= 1

    def pop(self, now_s: float) -> Waiter | None:
        """Return the next request; those past their deadline are dropped."""
        while self._length:
            rotation = self._new or self._old
            account = rotation[0]
            queue = self._queues[account]
            while queue and queue[0].deadline_s <= now_s:
                queue.popleft()
                self._length -= 1
            cost = self._durations.cost(account)
            if queue and self._deficits[account] >= cost:
                self._deficits[account] -= cost
                self._length -= 1
                return queue.popleft()
            rotation.popleft()
            self._end_turn(account, was_new=rotation is self._new)
        return None

    def _end_turn(self, account: str, *, was_new: bool) -> None:
        if self._queues[account] or was_new:
            self._deficits[account] += 1
            self._old.append(account)
        else:
            self._queues.pop(account)
            self._deficits.pop(account)

"""Deficit round robin over the waiting requests of client accounts."""

import threading
from collections import deque
from dataclasses import dataclass, field

# Weight of the last request in an account's mean duration.
_DURATION_WEIGHT = 0.1
# Costs stay within this factor of the mean over accounts, so that a few
# unusual requests cannot keep an account out or let it in all the time.
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
    """Mean time that the requests of each account hold a slot."""

    def __init__(self) -> None:
        """Start without requests."""
        self._means: dict[str, float] = {}

    def note(self, account: str, duration_s: float) -> None:
        """Record the duration of one request."""
        mean_s = self._means.get(account, duration_s)
        change_s = (duration_s - mean_s) * _DURATION_WEIGHT
        self._means[account] = mean_s + change_s

    def cost(self, account: str) -> float:
        """Return the cost of the account's next request; 1 on average."""
        mean_s = self._means.get(account)
        overall_s = self.overall_s()
        if mean_s is None or overall_s <= 0:
            return 1.0
        cost = mean_s / overall_s
        return min(_MAX_COST_FACTOR, max(1 / _MAX_COST_FACTOR, cost))

    def overall_s(self) -> float:
        """Return the mean over the accounts, in seconds."""
        if not self._means:
            return 0.0
        return sum(self._means.values()) / len(self._means)


class RoundRobin:
    """Waiting requests, served in turn by account in shares of slot time.

    An account that starts to wait has its first turn before those that wait
    already. It then takes its place among them, also when its line is empty
    meanwhile, so that it cannot be first again at once.
    """

    def __init__(self, durations: Durations) -> None:
        """Start empty."""
        self._durations = durations
        self._lines: dict[str, deque[Waiter]] = {}
        self._deficits: dict[str, float] = {}
        self._new: deque[str] = deque()
        self._old: deque[str] = deque()
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def waiting(self, account: str) -> int:
        """Return the number of waiting requests of an account."""
        return len(self._lines.get(account, ()))

    def push(self, waiter: Waiter) -> None:
        """Add a request at the end of its account's line."""
        if waiter.account not in self._lines:
            self._lines[waiter.account] = deque()
            self._deficits[waiter.account] = 1.0
            self._new.append(waiter.account)
        self._lines[waiter.account].append(waiter)
        self._length += 1

    def remove(self, waiter: Waiter) -> None:
        """Take out a request that stopped waiting, if it is still here."""
        line = self._lines.get(waiter.account, ())
        if waiter in line:
            self._lines[waiter.account].remove(waiter)
            self._length -= 1

    def pop(self, now_s: float) -> Waiter | None:
        """Return the next request; those past their deadline are dropped."""
        while self._length:
            turn = self._new or self._old
            account = turn[0]
            line = self._lines[account]
            while line and line[0].deadline_s <= now_s:
                line.popleft()
                self._length -= 1
            cost = self._durations.cost(account)
            if line and self._deficits[account] >= cost:
                self._deficits[account] -= cost
                self._length -= 1
                return line.popleft()
            turn.popleft()
            self._end_turn(account, was_new=turn is self._new)
        return None

    def _end_turn(self, account: str, *, was_new: bool) -> None:
        if self._lines[account] or was_new:
            self._deficits[account] += 1
            self._old.append(account)
        else:
            self._lines.pop(account)
            self._deficits.pop(account)

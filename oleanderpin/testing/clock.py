"""A clock that only advances when a test advances it."""

import threading


class ManualClock:
    """Monotonic clock whose time is set by a test."""

    def __init__(self, now_s: float = 1000.0) -> None:
        """Start at ``now_s`` seconds."""
        self._now_s = now_s
        self._lock = threading.Lock()

    def now_s(self) -> float:
        """Return the current time in seconds."""
        with self._lock:
            return self._now_s

    def advance(self, duration_s: float) -> None:
        """Advance the time by ``duration_s`` seconds."""
        with self._lock:
            self._now_s += duration_s

    def sleep(self, duration_s: float) -> None:
        """Advance the time instead of blocking."""
        self.advance(duration_s)

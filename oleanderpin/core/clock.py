"""Monotonic time, injectable so that tests can control it."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now_s(self) -> float:
        """Return monotonic seconds since an arbitrary origin."""
        ...

    def sleep(self, duration_s: float) -> None:
        """Block the calling thread for ``duration_s`` seconds."""
        ...


class MonotonicClock:
    """The operating system's monotonic clock."""

    def now_s(self) -> float:
        """Return monotonic seconds since an arbitrary origin."""
        return time.monotonic()

    def sleep(self, duration_s: float) -> None:
        """Block the calling thread for ``duration_s`` seconds."""
        time.sleep(duration_s)

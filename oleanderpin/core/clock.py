"""Monotonic time, injectable so that tests can control it."""

import time
from typing import Protocol


# Unlike the monotonic clock of Linux it counts the time for which the machine is
# suspended, so that leases and authority that ended meanwhile are not used.
_CLOCK_ID = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def monotonic_s() -> float:
    """Return seconds since an arbitrary origin; suspended time counts."""
    return time.clock_gettime(_CLOCK_ID)


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
        return monotonic_s()

    def sleep(self, duration_s: float) -> None:
        """Block the calling thread for ``duration_s`` seconds."""
        time.sleep(duration_s)

"""The clock of leases and authority."""

import time

import pytest

from ...core.clock import MonotonicClock, monotonic_s


def test_time_of_a_suspended_machine_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lease that is used after it ended in a suspension.

    The monotonic clock of Linux stands still while the machine is suspended;
    the clock that counts from the boot goes on.
    """
    clock = MonotonicClock()
    before_s = clock.now_s()
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME) + 30.0
    stopped_s = time.monotonic()
    readings_s = {
        time.CLOCK_BOOTTIME: boot_s,
        time.CLOCK_MONOTONIC: stopped_s,
    }
    monkeypatch.setattr(time, 'monotonic', lambda: stopped_s)
    monkeypatch.setattr(time, 'clock_gettime', readings_s.__getitem__)
    assert clock.now_s() - before_s >= 30.0
    assert monotonic_s() == boot_s

"""Threads that run calls concurrently."""

import threading

from ...core.clock import monotonic_s
from ...forwarding.fanout import Fanout

_WAIT_S = 10.0


def _remaining(before: set[threading.Thread]) -> list[threading.Thread]:
    """Return the threads started since ``before`` that do not end in time."""
    deadline_s = monotonic_s() + _WAIT_S
    started = set(threading.enumerate()) - before
    for thread in started:
        thread.join(max(0.0, deadline_s - monotonic_s()))
    return [thread for thread in started if thread.is_alive()]


def test_calls_that_wait_run_before_the_threads_end() -> None:
    """Guards against a stop that leaves a call without its result."""
    before = set(threading.enumerate())
    fanout = Fanout()
    results = fanout.run([lambda: 1, lambda: 2], timeout_s=_WAIT_S)
    fanout.start()
    fanout.stop()
    assert sorted(results) == [1, 2]
    assert not _remaining(before)

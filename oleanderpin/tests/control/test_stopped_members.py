"""What stopped instances leave in their process."""

import threading
from pathlib import Path

from ...core.clock import monotonic_s
from .group import Group

_WAIT_S = 10.0


def test_stopped_instances_leave_no_threads(tmp_path: Path) -> None:
    """Guards against a process that starts instances and runs out of threads.

    Each stopped instance used to leave the threads that call voters.
    """
    before = set(threading.enumerate())
    group = Group(tmp_path)
    group.start()
    started = set(threading.enumerate()) - before
    group.stop()
    deadline_s = monotonic_s() + _WAIT_S
    for thread in started:
        thread.join(max(0.0, deadline_s - monotonic_s()))
    assert not [thread.name for thread in started if thread.is_alive()]

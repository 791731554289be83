"""What stopped instances leave in their process."""

import logging
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


def test_no_table_refers_to_stopped_instances(tmp_path: Path) -> None:
    """Guards against a process that keeps each instance that it started.

    The HTTP library adds its servers to a table of the process for ever.
    """
    table: dict[str, object] = vars(logging)['statistics']
    before = set(table)
    group = Group(tmp_path)
    group.start()
    group.stop()
    assert set(table) == before

"""Failures: processor time of threads that have ended is lost, or unnoticed."""

import logging
import threading
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from oleanderpin.core import process_usage
from oleanderpin.core.process_usage import (
    ProcessMonitor,
    ThreadUsage,
    group_name,
)


@pytest.mark.parametrize(
    ('thread_name', 'expected'),
    [
        ('push', 'push'),
        ('fanout-3', 'fanout'),
        ('platform-order_0', 'platform-order'),
        ('CP Server Thread-12', 'CP Server Thread'),
        ('17', 'other'),
    ],
)
def test_numbers_are_not_part_of_the_group(
    thread_name: str, expected: str
) -> None:
    """Guards against one metric per thread, without bound."""
    assert group_name(thread_name) == expected


def _write_thread(tasks: Path, native_id: int, used_ns: int) -> None:
    (tasks / str(native_id)).mkdir(exist_ok=True)
    (tasks / str(native_id) / 'schedstat').write_text(f'{used_ns} 0 1\n')


def test_time_of_an_ended_thread_stays_counted(tmp_path: Path) -> None:
    """Guards against counters that fall when a thread ends."""
    _write_thread(tmp_path, 11, 2_000_000_000)
    _write_thread(tmp_path, 12, 500_000_000)
    usage = ThreadUsage(tmp_path)
    usage.sample()
    (tmp_path / '11' / 'schedstat').unlink()
    (tmp_path / '11').rmdir()
    used_s, counts = usage.sample()
    assert used_s == {'other': 2.5}
    assert counts == {'other': 1}


def test_own_threads_are_found_by_name() -> None:
    """Guards against a reader that does not match the running system."""
    ended = threading.Event()
    thread = threading.Thread(target=ended.wait, name='idle-7', daemon=True)
    thread.start()
    _used_s, counts = ThreadUsage().sample()
    ended.set()
    thread.join()
    assert counts['idle'] == 1


def test_stall_is_logged(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against late processes that look like lost messages."""
    kernel: Any = SimpleNamespace(
        wait_while_running=lambda _duration_s: not caplog.records
    )
    readings_s = iter([0.0, 0.0, 3.0, 3.0])
    monkeypatch.setattr(process_usage, 'monotonic_s', lambda: next(readings_s))
    with caplog.at_level(logging.WARNING):
        ProcessMonitor(kernel).run()
    assert [each.stalled_ms for each in caplog.records] == [2000]

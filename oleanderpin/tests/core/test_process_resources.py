"""Failures: a process ends for memory or descriptors, and no line tells it."""

import logging
import os
import resource
import threading
from fractions import Fraction
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from prometheus_client import generate_latest

from oleanderpin.core import process_usage
from oleanderpin.core.process_resources import (
    ProcessResources,
    connection_limit,
    read_resources,
)
from oleanderpin.core.process_usage import ProcessMonitor

_MB = 1_000_000


def test_memory_of_this_process_is_read() -> None:
    """Guards against a reader that does not match the running system."""
    before = read_resources()
    block = bytearray(os.urandom(64 * _MB))
    after = read_resources()
    size_bytes = len(block)
    del block
    freed = read_resources()
    assert after.resident_bytes - before.resident_bytes > size_bytes * 0.9
    assert freed.resident_bytes < after.resident_bytes - size_bytes * 0.9
    assert freed.peak_resident_bytes >= after.resident_bytes


def test_descriptors_of_this_process_are_counted() -> None:
    """Guards against an end for descriptors that no line announces."""
    before = read_resources()
    opened = [os.open(os.devnull, os.O_RDONLY) for _each in range(5)]
    after = read_resources()
    for descriptor in opened:
        os.close(descriptor)
    assert after.open_descriptors == before.open_descriptors + 5
    assert (
        after.descriptor_limit == resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    )


def test_system_without_the_files_ends_nothing(tmp_path: Path) -> None:
    """Guards against a monitor that ends where the system tells nothing."""
    resources = read_resources(tmp_path)
    assert resources.resident_mb is None
    assert resources.peak_resident_mb is None
    assert resources.open_descriptors is None


def test_metrics_tell_memory_and_descriptors() -> None:
    """Guards against graphs that do not show which limit a process nears."""
    text = generate_latest().decode()
    for name in (
        'oleanderpin_resident_bytes',
        'oleanderpin_peak_resident_bytes',
        'oleanderpin_open_descriptors',
        'oleanderpin_descriptor_limit',
    ):
        assert f'\n{name} ' in text


class _Run:
    """Runs a monitor once a second with given sizes of the process."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, sizes_mb: list[int]
    ) -> None:
        """Replace the clock and the sizes."""
        self._left = len(sizes_mb) - 1
        self._now_s = 0.0
        sizes = iter(sizes_mb)
        self.kernel: Any = SimpleNamespace(wait_while_running=self.wait)
        monkeypatch.setattr(process_usage, 'monotonic_s', lambda: self._now_s)
        monkeypatch.setattr(
            process_usage,
            'read_resources',
            lambda: ProcessResources(next(sizes) * _MB, 90 * _MB, 40, 4100),
        )

    def wait(self, duration_s: float) -> bool:
        """Let time pass; stop when there is no further size."""
        self._now_s += duration_s
        self._left -= 1
        return self._left >= 0


def test_regular_line_tells_memory_and_descriptors(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a record in which memory cannot be told from a crash."""
    run = _Run(monkeypatch, [55] * 12)
    with caplog.at_level(logging.INFO):
        ProcessMonitor(run.kernel).run()
    [line] = caplog.records
    assert line.getMessage() == 'processor time used'
    assert line.resident_mb == 55
    assert line.peak_resident_mb == 90
    assert line.open_descriptors == 40
    assert line.descriptor_limit == 4100


def test_growing_memory_is_logged_at_once(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that is killed between two regular lines."""
    run = _Run(monkeypatch, [55, 60, 120, 130, 250])
    with caplog.at_level(logging.INFO):
        ProcessMonitor(run.kernel).run()
    assert [each.resident_mb for each in caplog.records] == [120, 250]


def test_limits_in_force_are_logged_at_the_start(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a record that does not tell what was allowed."""
    instance = SimpleNamespace(memory_mb=300)
    kernel: Any = SimpleNamespace(
        settings=SimpleNamespace(instance=instance),
        wait_while_running=lambda _duration_s: False,
    )
    with caplog.at_level(logging.INFO):
        ProcessMonitor(kernel).start()
    [line] = caplog.records
    assert line.getMessage() == 'limits in force'
    assert line.memory_limit_mb == 300
    assert line.descriptor_limit == read_resources().descriptor_limit


def test_monitor_goes_on_after_an_error(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process whose memory is no longer logged."""
    rounds = iter([True, True, False])
    ended = threading.Event()

    def wait(_duration_s: float) -> bool:
        goes_on = next(rounds)
        if not goes_on:
            ended.set()
        return goes_on

    def fail() -> ProcessResources:
        raise ValueError('unknown unit')

    kernel: Any = SimpleNamespace(
        settings=SimpleNamespace(instance=SimpleNamespace()),
        wait_while_running=wait,
    )
    monkeypatch.setattr(process_usage, 'read_resources', fail)
    ProcessMonitor(kernel).start()
    assert ended.wait(5)
    assert 'background thread process-monitor failed' in caplog.text


@pytest.mark.parametrize(
    ('descriptors', 'connections'),
    [(1023, 341), (100_000, 1024), (resource.RLIM_INFINITY, 1024)],
)
def test_connections_leave_descriptors(
    monkeypatch: pytest.MonkeyPatch, descriptors: int, connections: int
) -> None:
    """Guards against listeners that refuse all without a limit."""
    monkeypatch.setattr(
        resource, 'getrlimit', lambda _kind: (descriptors, descriptors)
    )
    assert connection_limit(1024, of_descriptors=Fraction(1, 3)) == connections

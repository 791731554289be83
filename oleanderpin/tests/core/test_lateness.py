"""Lateness of an event loop, with a manual clock and on a running loop."""

import logging
import threading
import time
from pathlib import Path

import pytest

from ...core.event_loop import EventLoop
from ...core.lateness import LoopLateness, total_late_s
from ...core.metrics import EVENT_LOOP_LATE_S
from ...core.pauses import TICK_INTERVAL_S
from ...testing import ManualClock
from ...testing.gateway import configuration, started_gateway

_BLOCKED_S = 0.6


class _Loop:
    """Ticks as a loop does that is busy for some time between two ticks."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.lateness = LoopLateness(self.clock)

    def run(self, *late_s: float) -> None:
        for each_s in late_s:
            self.clock.advance(TICK_INTERVAL_S + each_s)
            self.lateness.tick()


def test_late_ticks_are_summed_up() -> None:
    """Guards against lateness that is lost, or counted for a busy loop."""
    loop = _Loop()
    loop.run(0.0, 0.7, 0.01, 0.3)
    assert loop.lateness.total_s() == pytest.approx(1.0)
    loop.clock.advance(TICK_INTERVAL_S + 2)
    assert loop.lateness.total_s() == pytest.approx(3.0)
    loop.lateness.tick()
    assert loop.lateness.total_s() == pytest.approx(3.0)


def test_lines_about_lateness_are_bounded(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a log that a busy loop fills, or that leaves delays out."""
    loop = _Loop()
    with caplog.at_level(logging.WARNING, 'oleanderpin.core.lateness'):
        loop.run(0.3, 0.3, 0.4, 0.5, 0.0, 0.0, 0.0)
    lines = [vars(each) for each in caplog.records]
    assert [each['times'] for each in lines] == [1, 3]
    total_ms = [each['total_ms'] for each in lines]
    assert total_ms == [pytest.approx(300, abs=2), pytest.approx(1200, abs=2)]


def _late_count() -> float:
    # All buckets of one collection, since the loop observes more meanwhile.
    (metric,) = EVENT_LOOP_LATE_S.collect()
    up_to = {
        sample.labels['le']: sample.value
        for sample in metric.samples
        if sample.name.endswith('_bucket')
    }
    return float(up_to['+Inf'] - up_to['0.25'])


def test_blocked_loop_is_seen(tmp_path: Path) -> None:
    """Guards against an instance whose loop stands still without a trace."""
    with started_gateway(tmp_path, configuration()) as gateway:
        loop = gateway.kernel.plugin(EventLoop).loop
        late_before = _late_count()
        late_before_s = total_late_s(loop)
        ran = threading.Event()
        loop.call_soon_threadsafe(time.sleep, _BLOCKED_S)
        loop.call_soon_threadsafe(loop.call_later, 2 * TICK_INTERVAL_S, ran.set)
        assert ran.wait(10)
        late_s = total_late_s(loop) - late_before_s
        assert late_s >= _BLOCKED_S - TICK_INTERVAL_S - 0.01
        assert _late_count() > late_before

"""Pauses of a process, with a manual clock."""

import pytest

from ...core.pauses import TICK_INTERVAL_S, PauseWatch
from ...testing import ManualClock


class _Process:
    """Ticks while it runs."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.watch = PauseWatch(self.clock)

    def run(self, duration_s: float) -> None:
        for _ in range(round(duration_s / TICK_INTERVAL_S)):
            self.clock.advance(TICK_INTERVAL_S)
            self.watch.tick()

    def max_wait_s(self) -> float:
        return self.watch.max_wait_s(self.clock.now_s())


@pytest.mark.parametrize('has_ticked', [False, True])
def test_data_read_after_a_pause_may_have_waited(has_ticked: bool) -> None:
    """Guards against an old order that is taken for one that just came.

    Data may be read before the first tick after the pause, or after it.
    """
    process = _Process()
    process.run(1)
    process.clock.advance(5)
    if has_ticked:
        process.watch.tick()
    assert process.max_wait_s() == pytest.approx(5)
    process.run(0.3)
    assert process.max_wait_s() == pytest.approx(5.3)


def test_pause_is_over_once_waiting_data_is_read() -> None:
    """Guards against orders that are refused long after a pause."""
    process = _Process()
    process.clock.advance(5)
    process.run(0.7)
    assert process.max_wait_s() < 0.2


def test_data_read_before_handling_is_judged_by_its_reading() -> None:
    """Guards against an old order that is handled when the pause seems over."""
    process = _Process()
    process.clock.advance(5)
    process.watch.tick()
    read_s = process.clock.now_s() + 0.01
    process.run(2)
    assert process.watch.max_wait_s(read_s) == pytest.approx(5.01)


def test_short_pause_leaves_time_for_an_order() -> None:
    """Guards against sound orders that are refused because of a short pause."""
    process = _Process()
    for _ in range(5):
        process.clock.advance(0.25)
        process.watch.tick()
        assert process.max_wait_s() <= 0.5
        process.run(0.2)
        assert process.max_wait_s() <= 0.5

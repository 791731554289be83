"""Lines about what control instances do with their parts of rates."""

import logging
import threading

import pytest

from ...limits.part_activity import PartActivity
from ...testing.rates import RatesInstance

LINE = 'parts of rates'
TIMEOUT_S = 10.0


class BlockedHandler(logging.Handler):
    """Stands in for a log whose reader does not read."""

    def __init__(self) -> None:
        super().__init__()
        self.is_blocked = threading.Event()
        self.may_go_on = threading.Event()

    def emit(self, _record: logging.LogRecord) -> None:
        """Wait until the reader goes on."""
        self.is_blocked.set()
        self.may_go_on.wait(TIMEOUT_S)


def activity() -> PartActivity:
    """Return the activity of an instance that calls no other."""
    return PartActivity(RatesInstance(lambda *_call: None))


def test_line_is_written_only_after_activity(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against lines of idle instances and counts that add up."""
    counted = activity()
    with caplog.at_level(logging.INFO):
        counted.log()
        counted.note_given(3, missing=1)
        counted.note_draw(2, 0.03)
        counted.note_draw(0, 0.01)
        counted.note_failed_draw()
        counted.log()
        counted.log()
        counted.note_given_owner(1)
        counted.note_unknown(4)
        counted.log()
    first, second = [each for each in caplog.records if each.message == LINE]
    assert (first.tokens_given, first.requests_empty) == (3, 1)
    assert (first.draws, first.failed_draws, first.tokens_drawn) == (3, 1, 2)
    assert first.mean_draw_ms == 20.0
    assert (second.tokens_given, second.draws) == (0, 0)
    assert (second.tokens_to_owners, second.requests_unknown) == (1, 4)
    assert second.mean_draw_ms is None


def test_counting_does_not_wait_for_the_log() -> None:
    """Guards against requests for tokens that wait for a reader of the log."""
    counted = activity()
    counted.note_given(1, missing=0)
    logger = logging.getLogger('oleanderpin.limits.part_activity')
    handler = BlockedHandler()
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    writer = threading.Thread(target=counted.log, daemon=True)
    counter = threading.Thread(
        target=counted.note_given, args=(1,), kwargs={'missing': 0}, daemon=True
    )
    try:
        writer.start()
        assert handler.is_blocked.wait(TIMEOUT_S)
        counter.start()
        counter.join(TIMEOUT_S / 2)
        assert not counter.is_alive()
        assert writer.is_alive()
    finally:
        handler.may_go_on.set()
        writer.join(TIMEOUT_S)
        logger.removeHandler(handler)
        logger.setLevel(level)

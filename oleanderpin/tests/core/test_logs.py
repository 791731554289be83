"""Fields of log lines."""

import logging
import time

from ...core.log_rate import WarningRate
from ...core.logs import age_ms


def test_age_of_what_was_never_there_has_no_number() -> None:
    """Guards against requests that fail because of their log line.

    A gateway that had just started logged the age of its control state before
    it had received any, and responded with 502.
    """
    assert age_ms(float('inf')) is None
    assert age_ms(1.25) == 1250


def test_repeated_warnings_are_left_out_and_counted() -> None:
    """Guards against a full disk, and against losing other lines for it."""
    rate = WarningRate()

    def written(level: int, line: int) -> bool:
        record = logging.LogRecord('n', level, 'p', line, 'm', (), None)
        return rate.filter(record)

    assert sum(written(logging.ERROR, 1) for _ in range(1000)) < 100
    assert written(logging.ERROR, 2)
    assert all(written(logging.INFO, 3) for _ in range(1000))
    time.sleep(0.3)
    record = logging.LogRecord('n', logging.ERROR, 'p', 1, 'm', (), None)
    assert rate.filter(record)
    assert record.__dict__['left_out'] > 900

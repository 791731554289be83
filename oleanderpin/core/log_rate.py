"""A limit on warnings that clients can cause."""

import logging
import threading

from .clock import monotonic_s

# Of each place in the code; INFO lines are not limited.
_LINES_PER_S = 5.0
_BURST_LINES = 50.0


class WarningRate(logging.Filter):
    """Limits the rate of warnings and errors of each place in the code.

    A client that sends malformed messages without end must not fill the disk.
    The next line reports how many were left out.
    """

    def __init__(self) -> None:
        """Start with a full bucket for each place."""
        super().__init__()
        self._buckets: dict[tuple[str, int], tuple[float, float, int]] = {}
        self._lock = threading.Lock()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is written."""
        if record.levelno < logging.WARNING:
            return True
        place = (record.pathname, record.lineno)
        now_s = monotonic_s()
        with self._lock:
            tokens, refilled_s, left_out = self._buckets.get(
                place, (_BURST_LINES, now_s, 0)
            )
            tokens += (now_s - refilled_s) * _LINES_PER_S
            tokens = min(_BURST_LINES, tokens)
            is_written = tokens >= 1
            if is_written:
                self._buckets[place] = (tokens - 1, now_s, 0)
            else:
                self._buckets[place] = (tokens, now_s, left_out + 1)
        if is_written and left_out:
            record.left_out = left_out
        return is_written

"""Limits on log lines that clients can cause."""

import logging
import threading
from collections.abc import Hashable

from .clock import monotonic_s

_LINES_PER_S = 5.0
# Of each place in the code; INFO lines are not limited.
_BURST_WARNINGS = 50.0


class LineRate:
    """Limits the rate of log lines of each kind with a token bucket.

    Not thread-safe.

    Parameters
    ----------
    burst_lines : float
        Lines of a kind that may be written at once.
    """

    def __init__(self, burst_lines: float) -> None:
        """Start with a full bucket for each kind."""
        self._burst_lines = burst_lines
        self._buckets: dict[Hashable, tuple[float, float, int]] = {}

    def take(self, kind: Hashable) -> int | None:
        """Count a line.

        Returns
        -------
        int or None
            None if it is to be left out; otherwise how many of its kind were
            left out since the last one that was written.
        """
        now_s = monotonic_s()
        tokens, refilled_s, left_out = self._buckets.get(
            kind, (self._burst_lines, now_s, 0)
        )
        tokens += (now_s - refilled_s) * _LINES_PER_S
        tokens = min(self._burst_lines, tokens)
        if tokens < 1:
            self._buckets[kind] = (tokens, now_s, left_out + 1)
            return None
        self._buckets[kind] = (tokens - 1, now_s, 0)
        return left_out


class WarningRate(logging.Filter):
    """Limits the rate of warnings and errors of each place in the code.

    A client that sends malformed messages without end must not fill the disk.
    The next line reports how many were left out.
    """

    def __init__(self) -> None:
        """Start with a full bucket for each place."""
        super().__init__()
        self._rate = LineRate(_BURST_WARNINGS)
        self._lock = threading.Lock()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is written."""
        if record.levelno < logging.WARNING:
            return True
        with self._lock:
            left_out = self._rate.take((record.pathname, record.lineno))
        if left_out:
            record.left_out = left_out
        return left_out is not None

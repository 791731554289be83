"""Rate-limited log lines."""

import logging

from ..core.clock import monotonic_s

# Lines per second of each kind; the next line reports how many were dropped.
_LINES_PER_S = 5.0
_BURST_LINES = 10.0


class RateLimitedLog:
    """Limits the rate of log lines of each kind with a token bucket.

    Parameters
    ----------
    logger : logging.Logger
        Logger that the lines are written to.
    """

    def __init__(self, logger: logging.Logger) -> None:
        """Start with a full bucket for each kind."""
        self._logger = logger
        self._buckets: dict[str, tuple[float, float, int]] = {}

    def write(self, kind: str, **fields: object) -> None:
        """Write a line, or count it as dropped if its kind is over the rate.

        Parameters
        ----------
        kind : str
            Message of the line.
        **fields : object
            Extra fields of the line.
        """
        now_s = monotonic_s()
        tokens, refilled_s, left_out = self._buckets.get(
            kind, (_BURST_LINES, now_s, 0)
        )
        tokens = min(_BURST_LINES, tokens + (now_s - refilled_s) * _LINES_PER_S)
        if tokens < 1:
            self._buckets[kind] = (tokens, now_s, left_out + 1)
            return
        if left_out:
            fields['left_out'] = left_out
        self._buckets[kind] = (tokens - 1, now_s, 0)
        self._logger.info(kind, extra=fields)

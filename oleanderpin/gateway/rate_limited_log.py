"""Rate-limited log lines."""

import logging

from ..core.log_rate import LineRate

_BURST_LINES = 10.0


class RateLimitedLog:
    """Limits the rate of log lines of each kind.

    Parameters
    ----------
    logger : logging.Logger
        Logger that the lines are written to.
    """

    def __init__(self, logger: logging.Logger) -> None:
        """Start with a full bucket for each kind."""
        self._logger = logger
        self._rate = LineRate(_BURST_LINES)

    def write(self, kind: str, **fields: object) -> None:
        """Write a line, or count it as dropped if its kind is over the rate.

        Parameters
        ----------
        kind : str
            Message of the line.
        **fields : object
            Extra fields of the line.
        """
        left_out = self._rate.take(kind)
        if left_out is None:
            return
        if left_out:
            fields['left_out'] = left_out
        self._logger.info(kind, extra=fields)

"""Log lines whose volume stays bounded under load."""

import logging
import time

# Lines of one kind a second; what exceeds it is counted and summed up.
_LINES_PER_S = 5.0
_BURST = 10.0


class BoundedLog:
    """Writes a bounded number of lines of each kind.

    Parameters
    ----------
    logger : logging.Logger
        Where the lines go.
    """

    def __init__(self, logger: logging.Logger) -> None:
        """Start with a full allowance for each kind."""
        self._logger = logger
        self._kinds: dict[str, tuple[float, float, int]] = {}

    def write(self, kind: str, **fields: object) -> None:
        """Write one line, or count it as left out.

        Parameters
        ----------
        kind : str
            What happened; the message of the line.
        **fields : object
            Fields of the line.
        """
        now_s = time.monotonic()
        tokens, refilled_s, left_out = self._kinds.get(kind, (_BURST, now_s, 0))
        tokens = min(_BURST, tokens + (now_s - refilled_s) * _LINES_PER_S)
        if tokens < 1:
            self._kinds[kind] = (tokens, now_s, left_out + 1)
            return
        if left_out:
            fields['left_out'] = left_out
        self._kinds[kind] = (tokens - 1, now_s, 0)
        self._logger.info(kind, extra=fields)

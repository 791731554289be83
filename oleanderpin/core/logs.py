"""Logging as JSON lines."""

import logging
import math
import sys

from pythonjsonlogger.json import JsonFormatter

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'


def configure_logs(
    *, instance: str, level: str, stream: str = 'stderr'
) -> None:
    """Write all log records as JSON lines.

    Parameters
    ----------
    instance : str
        Instance name added to each line.
    level : str
        Name of the lowest level that is written.
    stream : str
        ``stdout`` or ``stderr``.
    """
    handler = logging.StreamHandler(getattr(sys, stream))
    formatter = JsonFormatter(
        _FORMAT,
        rename_fields={'asctime': 'time', 'levelname': 'level'},
        static_fields={'instance': instance},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)


def age_ms(age_s: float) -> int | None:
    """Return an age in milliseconds for a log line, or None if infinite.

    The age of data that has not been received yet is infinite.
    """
    return int(age_s * 1000) if math.isfinite(age_s) else None

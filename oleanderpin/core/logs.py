"""Logging as JSON lines."""

import logging
import math
import sys
import threading
from types import TracebackType

from pythonjsonlogger.json import JsonFormatter

from .log_rate import WarningRate

_LOG = logging.getLogger(__name__)
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
    handler.addFilter(WarningRate())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)


def log_unhandled_errors() -> None:
    """Log what ends a thread, and errors that nothing can handle."""
    sys.excepthook = _log_error_of_process
    threading.excepthook = _log_error_of_thread
    sys.unraisablehook = _log_unraisable


def _log_error_of_process(
    error_type: type[BaseException],
    error: BaseException,
    traceback: TracebackType | None,
) -> None:
    _LOG.critical(
        'unhandled error ends the process',
        exc_info=(error_type, error, traceback),
    )


def _log_error_of_thread(failure: threading.ExceptHookArgs) -> None:
    name = failure.thread.name if failure.thread else ''
    _LOG.critical(
        'unhandled error ended thread %s',
        name,
        exc_info=failure.exc_value,
    )


def _log_unraisable(failure: 'sys.UnraisableHookArgs') -> None:
    _LOG.error(
        'error that cannot be raised: %s in %r',
        failure.err_msg or 'exception ignored',
        failure.object,
        exc_info=failure.exc_value,
    )


def age_ms(age_s: float) -> int | None:
    """Return an age in milliseconds for a log line, or None if infinite.

    The age of data that has not been received yet is infinite.
    """
    return int(age_s * 1000) if math.isfinite(age_s) else None

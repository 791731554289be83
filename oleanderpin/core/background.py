"""Threads of plug-ins that outlive an unexpected error."""

import logging
import threading
from collections.abc import Callable
from typing import Any

from .metrics import EVENTS

_LOG = logging.getLogger(__name__)
# Keeps a loop that fails at once from using the processor.
_RESTART_DELAY_S = 0.5


def background_thread(
    kernel: Any, loop: Callable[..., None], *arguments: Any, name: str
) -> threading.Thread:
    """Return a thread that runs a loop of a plug-in until it returns.

    If the loop raises, the error is logged and the loop is run again, so that
    one error does not silently end a task of the instance.

    Parameters
    ----------
    kernel : Kernel
        Kernel of the instance; the thread ends when it stops.
    loop : callable
        Loop that returns when the instance stops, and may be run again.
    *arguments : Any
        Arguments of the loop.
    name : str
        Name of the thread.
    """

    def run() -> None:
        while True:
            try:
                return loop(*arguments)
            except Exception:
                EVENTS.labels('process', 'thread_restarted').inc()
                _LOG.exception('background thread %s failed', name)
            if not kernel.wait_while_running(_RESTART_DELAY_S):
                return None

    return threading.Thread(target=run, name=name, daemon=True)

"""Signals of the daemon, noted from its first line of code on.

Imports little: until `Signals.install` has run, a signal ends the process.
"""

import faulthandler
import os
import queue
import signal
import sys
import time
from contextlib import suppress
from typing import NoReturn

_STOPS = frozenset((signal.SIGTERM, signal.SIGINT))
_MAX_WAKEUPS = 4096
_NOT_OPEN = -1


class ReceivedSignal:
    """A signal that the process was sent.

    Parameters
    ----------
    number : int
        Number of the signal.

    Notes
    -----
    Not a data class, since their module takes long to import.
    """

    __slots__ = ('number', '_received_s')

    def __init__(self, number: int) -> None:
        """Note when the signal was received."""
        self.number = number
        self._received_s = time.monotonic()

    @property
    def name(self) -> str:
        """Name of the signal."""
        return signal.Signals(self.number).name

    @property
    def is_stop(self) -> bool:
        """Whether the signal asks the process to end."""
        return self.number in _STOPS

    @property
    def age_ms(self) -> int:
        """Time since the signal was received, in milliseconds."""
        return int((time.monotonic() - self._received_s) * 1000)


class Signals:
    """Notes the signals that the process is sent, in their order.

    Notes
    -----
    The kernel may interrupt any thread with a signal, but handlers written in
    Python run in the main thread only, once it executes bytecode. So it must
    not wait for a lock without limit, see `wait_for_stop`.
    """

    def __init__(self) -> None:
        """Start without signals."""
        # Unlike an event or a lock it may be used in a signal handler that
        # interrupts another use of it.
        self._received: queue.SimpleQueue[ReceivedSignal] = queue.SimpleQueue()
        self.is_stop_received = False
        # Pipe that gets a byte with each signal, whichever thread has it.
        self._wakeups = _NOT_OPEN

    def install(self) -> None:
        """Note signals from now on, and print a native crash to stderr."""
        if self._wakeups == _NOT_OPEN:
            wakeups, written = os.pipe()
            self._wakeups = wakeups
            os.set_blocking(written, False)
            # A pipe that is full wakes the main thread as well.
            signal.set_wakeup_fd(written, warn_on_full_buffer=False)
        for number in (signal.SIGHUP, *_STOPS):
            signal.signal(number, self.note)
        faulthandler.enable()

    def note(self, number: int, *_ignored: object) -> None:
        """Note a signal; called by the interpreter."""
        received = ReceivedSignal(number)
        if received.is_stop:
            self.is_stop_received = True
        self._received.put(received)

    def wait(self) -> ReceivedSignal:
        """Return the next signal, as soon as there is one."""
        return self._received.get()

    def wait_for_stop(self) -> None:
        """Wait until the process is asked to end.

        Only for the main thread, after `install`.
        """
        while not self.is_stop_received:
            # The handlers run as soon as this call has returned.
            os.read(self._wakeups, _MAX_WAKEUPS)


SIGNALS = Signals()


def end_process(exit_code: int) -> NoReturn:
    """End the process at once, after all that was written.

    Parameters
    ----------
    exit_code : int
        Exit code of the process.

    Notes
    -----
    An ordinary exit gives up the handlers of signals before the process ends,
    so that SIGHUP changes the exit code, and may abort in a thread that writes.
    """
    for stream in (sys.stdout, sys.stderr):
        # If its reader is gone, there is nobody to tell.
        with suppress(OSError):
            stream.flush()
    os._exit(exit_code)

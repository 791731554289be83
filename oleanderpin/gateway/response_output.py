"""What callers have not taken of their responses yet."""

from typing import Any, Protocol

from ..core.clock import monotonic_s
from ..core.memory_budget import MemoryShare

_CHECK_INTERVAL_S = 0.25


class ResponseOutput:
    """Counts unsent bytes of a connection, and how fast the caller takes them.

    Parameters
    ----------
    share : MemoryShare
        What the connection holds of the process's memory.
    """

    def __init__(self, share: MemoryShare) -> None:
        """Start with nothing to send."""
        self._share = share
        self._written_bytes = 0
        self._charged_bytes = 0
        self._window_s: float | None = None
        self._window_bytes = 0

    def note_written(self, size_bytes: int, unsent_bytes: int) -> None:
        """Record a response and charge what is unsent of it."""
        self._written_bytes += size_bytes
        self.update(unsent_bytes)

    def update(self, unsent_bytes: int) -> bool:
        """Charge what is unsent now; return whether the budget is kept."""
        if not unsent_bytes:
            # No period runs while all is sent.
            self._window_s = None
        change_bytes = unsent_bytes - self._charged_bytes
        self._charged_bytes = unsent_bytes
        if change_bytes > 0:
            return self._share.charge(change_bytes)
        self._share.release(-change_bytes)
        return True

    def is_too_slow(
        self,
        undelivered_bytes: int,
        *,
        period_s: float,
        min_bytes_per_s: float,
    ) -> bool:
        """Return whether the caller took too little in the last period.

        Parameters
        ----------
        undelivered_bytes : int
            Bytes that the caller has not acknowledged.
        period_s : float
            Length of a period in seconds.
        min_bytes_per_s : float
            Least rate in a period in which bytes were unsent all the time.

        Notes
        -----
        What the kernel takes tells nothing of the caller: it takes more only
        once a large part of its own buffer is free.
        """
        now_s = monotonic_s()
        sent_bytes = self._written_bytes - undelivered_bytes
        if self._window_s is None:
            self._begin_window(now_s, sent_bytes)
            return False
        elapsed_s = now_s - self._window_s
        if elapsed_s < period_s:
            return False
        taken_bytes = sent_bytes - self._window_bytes
        self._begin_window(now_s, sent_bytes)
        return taken_bytes < min_bytes_per_s * elapsed_s

    def _begin_window(self, now_s: float, sent_bytes: int) -> None:
        self._window_s = now_s
        self._window_bytes = sent_bytes


class Writer(Protocol):
    """A connection with responses that may not be sent yet."""

    def check_output(self) -> bool:
        """Update what is unsent; return whether there is anything."""
        ...


class OutputWatch:
    """Checks the connections that have written, until all is sent."""

    def __init__(self) -> None:
        """Start without connections."""
        self._writers: set[Writer] = set()
        self._is_scheduled = False

    def add(self, writer: Writer, loop: Any) -> None:
        """Check a connection from now on."""
        self._writers.add(writer)
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_later(_CHECK_INTERVAL_S, self._check, loop)

    def discard(self, writer: Writer) -> None:
        """Forget a connection that has ended."""
        self._writers.discard(writer)

    def _check(self, loop: Any) -> None:
        for writer in list(self._writers):
            if not writer.check_output():
                self._writers.discard(writer)
        self._is_scheduled = bool(self._writers)
        if self._is_scheduled:
            loop.call_later(_CHECK_INTERVAL_S, self._check, loop)

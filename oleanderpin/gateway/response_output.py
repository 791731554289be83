"""What callers have not taken of their responses yet."""

from typing import Any, Protocol

from ..core.memory_budget import MemoryShare

_CHECK_INTERVAL_S = 0.25


class ResponseOutput:
    """Counts unsent bytes of a connection.

    Parameters
    ----------
    share : MemoryShare
        What the connection holds of the process's memory.
    """

    def __init__(self, share: MemoryShare) -> None:
        """Start with nothing to send."""
        self._share = share
        self._charged_bytes = 0

    def update(self, unsent_bytes: int) -> bool:
        """Charge what is unsent now; return whether the budget is kept."""
        change_bytes = unsent_bytes - self._charged_bytes
        self._charged_bytes = unsent_bytes
        if change_bytes > 0:
            return self._share.charge(change_bytes)
        self._share.release(-change_bytes)
        return True


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

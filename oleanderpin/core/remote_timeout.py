"""Time-outs of remote parties that do not count delays of the own event loop.

Load pattern: the event loop is busy for longer than a time-out. Its timers are
run before the sockets are read, so that a peer is blamed for an answer that has
arrived long ago.
"""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

from .clock import monotonic_s
from .lateness import total_late_s

# Passes of the event loop in which what has arrived is read and handed on; a
# new connection takes several.
_MAX_PASSES = 8
# A timer of the event loop may end this much early.
_TIMER_ERROR_S = 0.002


def _do_nothing() -> None:
    """Stand for a callback that is over.

    The callback would keep a request in memory until a collection of cycles.
    """


class RemoteTimer:
    """Calls back once a remote party has been silent for too long.

    What has arrived by then is read first.

    Parameters
    ----------
    timeout_s : float
        Time that the remote party has.
    callback : callable
        Called if the timer was not cancelled.
    is_extended : bool
        Whether the time for which the event loop was late does not count.
        False for a deadline of somebody else.
    """

    def __init__(
        self,
        timeout_s: float,
        callback: Callable[[], object],
        *,
        is_extended: bool = True,
    ) -> None:
        """Start the timer on the running event loop."""
        self._loop = asyncio.get_running_loop()
        self._callback = callback
        self._is_extended = is_extended
        self._passes = 0
        self._late_before_s = total_late_s(self._loop)
        self._due_s = monotonic_s() + timeout_s
        self._handle: asyncio.Handle = self._loop.call_later(
            max(0.0, timeout_s), self._start_passes
        )

    @property
    def late_s(self) -> float:
        """By how much the event loop has been late since the start."""
        return total_late_s(self._loop) - self._late_before_s

    def cancel(self) -> None:
        """Do not call back."""
        self._handle.cancel()
        self._callback = _do_nothing

    def _start_passes(self) -> None:
        self._passes = 0
        self._handle = self._loop.call_soon(self._pass)

    def _pass(self) -> None:
        self._passes += 1
        if self._passes < _MAX_PASSES:
            self._handle = self._loop.call_soon(self._pass)
            return
        late_s = self.late_s if self._is_extended else 0.0
        left_s = self._due_s + late_s - monotonic_s()
        if late_s and left_s > _TIMER_ERROR_S:
            self._handle = self._loop.call_later(left_s, self._start_passes)
        else:
            self._callback()
            self._callback = _do_nothing


class RemoteTimeout:
    """Context manager in place of `asyncio.timeout`; see `RemoteTimer`.

    Parameters
    ----------
    timeout_s : float
        Time that the remote party has.
    is_extended : bool
        Whether the time for which the event loop was late does not count.
    """

    def __init__(self, timeout_s: float, *, is_extended: bool = True) -> None:
        """Store the time-out, which starts when the context is entered."""
        self._timeout_s = timeout_s
        self._is_extended = is_extended
        self._timeout: asyncio.Timeout | None = None
        self._timer: RemoteTimer | None = None

    @property
    def late_s(self) -> float:
        """By how much the event loop has been late since it was entered."""
        return self._timer.late_s if self._timer else 0.0

    @property
    def is_own_delay(self) -> bool:
        """Whether the event loop was late for most of the time."""
        return self.late_s * 2 > self._timeout_s

    def end(self) -> None:
        """End it now, unless it is over."""
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def __aenter__(self) -> Self:
        """Start the timer."""
        self._timeout = asyncio.timeout(None)
        await self._timeout.__aenter__()
        self._timer = RemoteTimer(
            self._timeout_s, self.end, is_extended=self._is_extended
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Raise TimeoutError in place of the cancellation by the timer."""
        if self._timer is not None:
            self._timer.cancel()
        timeout = self._timeout
        # It refers to the task, whose exception would refer to this time-out
        # and keep what the task has handled until a collection of cycles.
        self._timeout = None
        if timeout is not None:
            await timeout.__aexit__(kind, error, traceback)

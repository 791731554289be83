"""Pauses of a process, in which received data waits without being read."""

from .clock import Clock

TICK_INTERVAL_S = 0.1
# A busy event loop may be this late without a pause being assumed.
_MAX_TICK_DELAY_S = 0.1
# Connections that were waiting when the pause ended are accepted and read
# within this time, or sooner if the pause was shorter.
_MAX_SETTLE_S = 0.5


class PauseWatch:
    """Bounds how long data that is read now may have waited in a socket.

    A process that was stopped, or whose machine was suspended, cannot tell when
    data arrived meanwhile; its sender may have given up long ago.

    Parameters
    ----------
    clock : Clock
        Counts the time for which the machine is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a pause."""
        self._clock = clock
        self._tick_s = clock.now_s()
        self._pause_started_s = self._tick_s
        self._pause_ended_s = self._tick_s

    def tick(self) -> None:
        """Record that the process runs; called each ``TICK_INTERVAL_S``."""
        now_s = self._clock.now_s()
        if now_s - self._tick_s > TICK_INTERVAL_S + _MAX_TICK_DELAY_S:
            self._pause_started_s = self._tick_s
            self._pause_ended_s = now_s
        self._tick_s = now_s

    def max_wait_s(self, read_s: float) -> float:
        """Return the longest time for which data may have waited to be read.

        Parameters
        ----------
        read_s : float
            Monotonic time at which the data was read.

        Returns
        -------
        float
            Seconds; 0 if only a delay of the event loop is possible.
        """
        settle_s = min(
            self._pause_ended_s - self._pause_started_s, _MAX_SETTLE_S
        )
        settled_s = self._pause_ended_s + settle_s
        if self._pause_started_s < read_s < settled_s:
            return read_s - self._pause_started_s
        # Without a tick since then, a pause may have ended just before.
        return max(0.0, read_s - self._tick_s)

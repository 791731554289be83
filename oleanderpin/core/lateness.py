"""Lateness of an event loop: how long its work waits for other work.

Nothing is read while the loop is busy, so that what others sent in time is read
late. Time-outs that blame others for silence have to know.
"""

import asyncio
import logging
from weakref import WeakKeyDictionary

from .clock import Clock
from .metrics import EVENT_LOOP_LATE_S
from .pauses import TICK_INTERVAL_S

_LOG = logging.getLogger(__name__)
# A loop that is late by less is only busy.
_MIN_COUNTED_S = 0.05
# Two ticks or more are missing.
_MIN_LOGGED_S = 0.25
_LOG_INTERVAL_S = 1.0

_watched: 'WeakKeyDictionary[asyncio.AbstractEventLoop, LoopLateness]' = (
    WeakKeyDictionary()
)


class LoopLateness:
    """Sums up by how much the ticks of an event loop come late.

    Not thread-safe: used on the event loop.

    Parameters
    ----------
    clock : Clock
        Counts the time for which the machine is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        """Start on time."""
        self._clock = clock
        self._tick_s = clock.now_s()
        self._total_s = 0.0
        self._logged_s = float('-inf')
        self._unlogged_s: list[float] = []

    def tick(self) -> None:
        """Record that the loop runs; called each ``TICK_INTERVAL_S``."""
        now_s = self._clock.now_s()
        late_s = max(0.0, now_s - self._tick_s - TICK_INTERVAL_S)
        EVENT_LOOP_LATE_S.observe(late_s)
        self._total_s += _counted(late_s)
        self._tick_s = now_s
        self._log(late_s, now_s)

    def total_s(self) -> float:
        """Return by how much the loop has been late since the first tick.

        Includes a tick that is late now.
        """
        late_s = self._clock.now_s() - self._tick_s - TICK_INTERVAL_S
        return self._total_s + _counted(late_s)

    def _log(self, late_s: float, now_s: float) -> None:
        if late_s >= _MIN_LOGGED_S:
            self._unlogged_s.append(late_s)
        is_due = now_s - self._logged_s >= _LOG_INTERVAL_S
        if not self._unlogged_s or not is_due:
            return
        _LOG.warning(
            'event loop was late',
            extra={
                'times': len(self._unlogged_s),
                'longest_ms': int(max(self._unlogged_s) * 1000),
                'total_ms': int(sum(self._unlogged_s) * 1000),
            },
        )
        self._unlogged_s.clear()
        self._logged_s = now_s


def watch_lateness(
    loop: asyncio.AbstractEventLoop, clock: Clock
) -> LoopLateness:
    """Return the lateness of a loop, which has to be ticked from now on."""
    lateness = LoopLateness(clock)
    _watched[loop] = lateness
    return lateness


def total_late_s(loop: asyncio.AbstractEventLoop) -> float:
    """Return by how much a loop has been late; 0 if it is not watched."""
    lateness = _watched.get(loop)
    return lateness.total_s() if lateness else 0.0


def _counted(late_s: float) -> float:
    return late_s if late_s >= _MIN_COUNTED_S else 0.0

"""The asyncio event loop of an instance, run in its own thread."""

import asyncio
import logging
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from typing import Any

import uvloop

from .clock import MonotonicClock
from .lateness import LoopLateness, watch_lateness
from .pauses import TICK_INTERVAL_S, PauseWatch
from .plugin import Plugin, plugins

_LOG = logging.getLogger(__name__)
_STOP_TIMEOUT_S = 2.0


@plugins.register('event-loop')
class EventLoop(Plugin):
    """Runs the coroutines of other plug-ins."""

    roles = frozenset(('gateway', 'control'))

    def __init__(self, kernel: Any) -> None:
        """Create the loop; ``start`` runs it."""
        super().__init__(kernel)
        self.loop = uvloop.new_event_loop()
        self._pauses: list[PauseWatch] = []
        self._thread = threading.Thread(
            target=self._run, name='event-loop', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        lateness = watch_lateness(self.loop, MonotonicClock())
        self.loop.call_soon(self._tick, lateness)
        self._thread.start()

    def watch_pauses(self) -> PauseWatch:
        """Return a watch of pauses of this process, which the loop updates."""
        watch = PauseWatch(self.kernel.clock)
        self._pauses.append(watch)
        return watch

    def stop(self) -> None:
        """Stop the loop; tasks that are still running are abandoned."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(_STOP_TIMEOUT_S)
        if not self._thread.is_alive():
            # Its timers and sockets would keep the instance in memory.
            self.loop.close()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the loop and return its result.

        Raises
        ------
        concurrent.futures.CancelledError
            If the loop has stopped.
        """
        return self.submit(coroutine).result()

    def submit(self, coroutine: Coroutine[Any, Any, Any]) -> Future[Any]:
        """Start a coroutine on the loop.

        Returns
        -------
        concurrent.futures.Future
            Its result; cancelled if the loop has stopped.
        """
        try:
            return asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        except RuntimeError:
            # The loop is closed.
            coroutine.close()
            cancelled: Future[Any] = Future()
            cancelled.cancel()
            return cancelled

    def _tick(self, lateness: LoopLateness) -> None:
        self.loop.call_later(TICK_INTERVAL_S, self._tick, lateness)
        lateness.tick()
        for watch in self._pauses:
            watch.tick()

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.set_exception_handler(_log_exception)
        while not self.kernel.stopping.is_set():
            try:
                return self.loop.run_forever()
            except BaseException:
                # Requests in progress wait for this loop; one callback must not
                # end it.
                _LOG.critical('event loop failed and goes on', exc_info=True)


def _log_exception(_loop: Any, context: dict[str, Any]) -> None:
    error = context.get('exception')
    _LOG.error(
        'event loop reported an error: %s', context['message'], exc_info=error
    )

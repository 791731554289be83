"""Concurrent calls to several peers on a pool of threads."""

import itertools
import queue
import threading
from collections.abc import Callable, Iterator
from typing import Any

_WORKER_THREADS = 24


class Fanout:
    """Pool of daemon threads that run calls concurrently."""

    def __init__(self) -> None:
        """Start without threads."""
        self._jobs: queue.SimpleQueue[Callable[[], None] | None] = (
            queue.SimpleQueue()
        )

    def start(self) -> None:
        """Start the threads."""
        for number in range(_WORKER_THREADS):
            threading.Thread(
                target=self._worker_loop, name=f'fanout-{number}', daemon=True
            ).start()

    def stop(self) -> None:
        """End the threads once they have run the calls that wait.

        Returns at once. Calls handed in afterwards never run.
        """
        for end in itertools.repeat(None, _WORKER_THREADS):
            self._jobs.put(end)

    def run(
        self, calls: list[Callable[[], Any]], *, timeout_s: float
    ) -> Iterator[Any]:
        """Run calls concurrently and return the results as they complete.

        Parameters
        ----------
        calls : list of callable
            Calls that do not raise.
        timeout_s : float
            Maximum wait for each next result.
        """
        results: queue.SimpleQueue[Any] = queue.SimpleQueue()
        for call in calls:
            self._jobs.put(_job(call, results))
        return _results(results, len(calls), timeout_s)

    def _worker_loop(self) -> None:
        for job in iter(self._jobs.get, None):
            job()


def _results(
    results: queue.SimpleQueue[Any], count: int, timeout_s: float
) -> Iterator[Any]:
    remaining = count
    while remaining:
        remaining -= 1
        try:
            yield results.get(timeout=max(0.001, timeout_s))
        except queue.Empty:
            return


def _job(
    call: Callable[[], Any], results: queue.SimpleQueue[Any]
) -> Callable[[], None]:
    return lambda: results.put(call())

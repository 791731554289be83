"""Responses in progress, of which some end when requests wait for a thread.

Fault: targets respond without end, and each response takes a worker thread for
as long as its caller reads.
"""

import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from ..core.clock import monotonic_s
from ..core.metrics import EVENTS
from .response import Response

# A response may go on for so long while others wait for a thread.
_MAX_STARVING_S = 0.5


class ResponseStreams:
    """Responses whose bodies are passed on while they arrive.

    Parameters
    ----------
    max_starving : int
        How many may go on while requests wait for a thread.
    """

    def __init__(self, max_starving: int) -> None:
        """Start without responses."""
        self._max_starving = max_starving
        self._lock = threading.Lock()
        self._begun_s: dict[Response, float] = {}

    @contextmanager
    def track(self, response: Response) -> Iterator[None]:
        """Count a response until the block ends."""
        with self._lock:
            self._begun_s[response] = monotonic_s()
        try:
            yield
        finally:
            with self._lock:
                self._begun_s.pop(response)

    def give_up(self, count: int) -> None:
        """End at most ``count`` responses that have lasted for long.

        The target with most of them loses one after the other, the oldest
        first.
        """
        until_s = monotonic_s() - _MAX_STARVING_S
        with self._lock:
            # In the order in which they began.
            lasting = [
                response
                for response, begun_s in self._begun_s.items()
                if begun_s <= until_s and not response.is_given_up
            ]
            going_on = [each for each in self._begun_s if not each.is_given_up]
            excess = len(going_on) - self._max_starving
            kept = len(lasting) - min(count, excess)
            by_target = Counter(each.target for each in lasting)
            while len(lasting) > max(0, kept):
                target = by_target.most_common(1)[0][0]
                response = next(
                    each for each in lasting if each.target == target
                )
                lasting.remove(response)
                by_target[target] -= 1
                EVENTS.labels('forwarding', 'answer_given_up').inc()
                response.give_up()

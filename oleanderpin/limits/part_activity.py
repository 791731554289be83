"""What a control instance did with its parts of rates, counted and logged."""

import logging
import threading
from dataclasses import dataclass
from typing import Any

from ..core.background import background_thread
from ..core.metrics import EVENTS

_LOG = logging.getLogger(__name__)
_LOG_INTERVAL_S = 2.0


@dataclass(slots=True)
class _Counts:
    """Counts since the last line.

    ``requests_empty`` are those without a token in the own part, once each time
    that they are asked for; ``draws_s`` is the time of draws with a reply.
    """

    tokens_given: int = 0
    tokens_to_owners: int = 0
    requests_empty: int = 0
    requests_unknown: int = 0
    replied_draws: int = 0
    tokens_drawn: int = 0
    failed_draws: int = 0
    draws_s: float = 0.0

    def fields(self) -> dict[str, object]:
        """Return the fields of the line."""
        mean_ms = None
        if self.replied_draws:
            mean_ms = round(self.draws_s * 1000 / self.replied_draws, 1)
        return {
            'tokens_given': self.tokens_given,
            'tokens_to_owners': self.tokens_to_owners,
            'requests_empty': self.requests_empty,
            'requests_unknown': self.requests_unknown,
            'draws': self.replied_draws + self.failed_draws,
            'tokens_drawn': self.tokens_drawn,
            'failed_draws': self.failed_draws,
            'mean_draw_ms': mean_ms,
        }


class PartActivity:
    """Counts tokens and draws; a thread of its own writes the lines.

    Thread-safe. No caller waits for the log.

    Parameters
    ----------
    kernel : Kernel
        The thread ends when it stops.
    """

    def __init__(self, kernel: Any) -> None:
        """Start without counts."""
        self._kernel = kernel
        self._lock = threading.Lock()
        self._counts = _Counts()
        self._thread = background_thread(
            kernel, self._run, name='parts-activity'
        )

    def start(self) -> None:
        """Start to write lines."""
        self._thread.start()

    def note_given(self, tokens: int, *, missing: int) -> None:
        """Count tokens for a gateway, and requests without one."""
        if missing:
            EVENTS.labels('limits', 'part_empty').inc()
        with self._lock:
            self._counts.tokens_given += tokens
            self._counts.requests_empty += missing

    def note_unknown(self, requests: int) -> None:
        """Count requests of an account that this instance does not know."""
        with self._lock:
            self._counts.requests_unknown += requests

    def note_given_owner(self, tokens: int) -> None:
        """Count tokens for another owner."""
        with self._lock:
            self._counts.tokens_to_owners += tokens

    def note_draw(self, tokens: int, round_trip_s: float) -> None:
        """Count a draw that another owner replied to."""
        EVENTS.labels('limits', 'tokens_drawn').inc(tokens)
        with self._lock:
            self._counts.replied_draws += 1
            self._counts.tokens_drawn += tokens
            self._counts.draws_s += round_trip_s

    def note_failed_draw(self) -> None:
        """Count a draw without a reply."""
        EVENTS.labels('limits', 'draw_failed').inc()
        with self._lock:
            self._counts.failed_draws += 1

    def log(self) -> None:
        """Write a line if there was any activity since the last one."""
        with self._lock:
            counts = self._counts
            self._counts = _Counts()
        if counts != _Counts():
            _LOG.info('parts of rates', extra=counts.fields())

    def _run(self) -> None:
        while self._kernel.wait_while_running(_LOG_INTERVAL_S):
            self.log()
        self.log()

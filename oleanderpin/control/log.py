"""The log of accepted changes on a control instance.

This version has one member: it appends to a file and syncs it.
"""

import json
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..wire.generated.control.ttypes import Entry
from .change import Outcome
from .view import ControlView


@dataclass(frozen=True, slots=True)
class Leadership:
    """Who leads, as far as this instance knows."""

    leader_address: str
    is_self: bool


@plugins.register('control-log')
class ControlLog(Plugin):
    """Appends changes and applies them to the view."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Keep the view of the control state."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._lock = threading.Lock()
        self._path = Path(kernel.settings.instance.data_dir) / 'control.jsonl'

    def start(self) -> None:
        """Read the log and apply it."""
        self._path.parent.mkdir(parents=True, exist_ok=True)
        if self._path.exists():
            lines = self._path.read_text().splitlines()
            entries = [
                Entry(revision=number, term=1, payload=line.encode())
                for number, line in enumerate(lines, start=1)
            ]
            self._view.apply(entries)
        self._view.note_fresh(self.kernel.clock.now_s())

    def leadership(self) -> Leadership:
        """Return who leads."""
        return Leadership(self.kernel.settings.listen.peer, is_self=True)

    def has_lease(self) -> bool:
        """Return whether this instance may answer as the leader."""
        return True

    def propose(self, payload: bytes, *, timeout_s: float) -> Outcome:
        """Append a change, sync it and apply it.

        Parameters
        ----------
        payload : bytes
            JSON of a `Change`.
        timeout_s : float
            Longest wait for the commit, in seconds.

        Returns
        -------
        Outcome
            The answer, the same for each resend.
        """
        with self._lock:
            line = json.dumps(json.loads(payload))
            with self._path.open('a') as log_file:
                log_file.write(line + '\n')
            entry = Entry(
                revision=self._view.revision + 1,
                term=1,
                payload=line.encode(),
            )
            outcome = self._view.apply([entry])[0]
        EVENTS.labels('control', 'committed').inc()
        return outcome


def wall_clock_s() -> float:
    """Return wall-clock seconds since the epoch, for reports only."""
    return time.time()

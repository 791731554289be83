"""The instance's copy of the control state and its freshness."""

import logging
import threading
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from ..core.metrics import CONTROL_REVISION
from ..core.plugin import Plugin, plugins
from ..wire.generated.control.ttypes import Entry
from .change import Outcome
from .machine import StateMachine
from .state import ControlState

_LOG = logging.getLogger(__name__)
_RECENT_ENTRIES = 2000

Listener = Callable[[ControlState], None]


@plugins.register('control-view')
class ControlView(Plugin):
    """Applied control state; its revision never goes back."""

    def __init__(self, kernel: Any) -> None:
        """Start at revision 0 without freshness."""
        super().__init__(kernel)
        self._changed = threading.Condition()
        self._machine = StateMachine()
        self._recent: deque[Entry] = deque(maxlen=_RECENT_ENTRIES)
        self._fresh_as_of_s = float('-inf')
        self._listeners: list[Listener] = []

    @property
    def state(self) -> ControlState:
        """The applied control state."""
        return self._machine.state

    @property
    def revision(self) -> int:
        """Revision of the last applied entry."""
        return self._machine.revision

    def freshness_age_s(self) -> float:
        """Return the seconds since this copy was known to be current."""
        return self.kernel.clock.now_s() - self._fresh_as_of_s

    def is_fresh(self) -> bool:
        """Return whether the copy may authorize requests with a key."""
        limit_s = self.kernel.settings.control.freshness_limit_s
        return self.freshness_age_s() < limit_s

    def note_fresh(self, as_of_s: float) -> None:
        """Record that the copy holds all that was accepted by ``as_of_s``.

        Parameters
        ----------
        as_of_s : float
            Monotonic time of this instance, in seconds.
        """
        with self._changed:
            self._fresh_as_of_s = max(self._fresh_as_of_s, as_of_s)

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with the new state after each change."""
        self._listeners.append(listener)

    def apply(self, entries: Sequence[Entry]) -> list[Outcome | None]:
        """Apply entries that follow the current revision.

        Entries at or below the current revision are skipped.

        Returns
        -------
        list
            Outcome of each applied entry.
        """
        outcomes = []
        with self._changed:
            for entry in entries:
                if entry.revision <= self._machine.revision:
                    continue
                outcomes.append(
                    self._machine.apply(entry.revision, entry.payload)
                )
                self._recent.append(entry)
            CONTROL_REVISION.set(self._machine.revision)
            self._changed.notify_all()
        if outcomes:
            self._notify()
        return outcomes

    def install(self, snapshot: bytes) -> bool:
        """Replace the copy by a snapshot of a higher revision.

        Returns
        -------
        bool
            False if the snapshot is not newer; the copy is then kept.
        """
        machine = StateMachine.decode(snapshot)
        with self._changed:
            if machine.revision <= self._machine.revision:
                return False
            self._machine = machine
            self._recent.clear()
            CONTROL_REVISION.set(machine.revision)
            self._changed.notify_all()
        self._notify()
        return True

    def snapshot(self) -> bytes:
        """Return the whole copy, encoded."""
        with self._changed:
            machine = self._machine.copy()
        return machine.encode()

    def entries_after(self, revision: int) -> list[Entry] | None:
        """Return the entries above ``revision``.

        Returns
        -------
        list or None
            None when some of them are no longer kept.
        """
        with self._changed:
            if revision >= self._machine.revision:
                return []
            first = self._recent[0].revision if self._recent else None
            if first is None or first > revision + 1:
                return None
            return [
                entry for entry in self._recent if entry.revision > revision
            ]

    def wait_for(self, revision: int, *, timeout_s: float) -> bool:
        """Wait until ``revision`` is applied.

        Returns
        -------
        bool
            Whether it was applied within ``timeout_s`` seconds.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._machine.revision >= revision, timeout_s
            )

    def answer_to(self, request_id: str) -> Outcome | None:
        """Return the first answer to a change, if it is still kept."""
        return self._machine.answers.get(request_id)

    def history(self) -> list[Any]:
        """Return the records of recent changes, oldest first."""
        with self._changed:
            return list(self._machine.history)

    def _notify(self) -> None:
        state = self.state
        for listener in self._listeners:
            try:
                listener(state)
            except Exception:
                _LOG.exception('listener of the control state failed')

"""The instance's copy of the control state and its freshness.

The copy may be used to authorize requests only while it is known to be
recent. This bounds the time for which an instance that is cut off from the
control instances accepts a revoked key.
"""

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
from .standing import CopyAge, Standing
from .state import ControlState

_LOG = logging.getLogger(__name__)
# Fraction of the freshness limit from which on a source counts as outdated. In
# a fleet without faults a relay's copy is younger than two hold times.
_OUTDATED_FRACTION = 0.25
# Hold times after which a copy may lack changes: a control instance, a relay and
# the instance itself each wait for one at most.
_AGED_HOLDS = 4
_MAX_RECENT_ENTRIES = 2000
# A peer that lacks more gets a snapshot.
_MAX_RECENT_BYTES = 8 * 1024 * 1024

Listener = Callable[[ControlState], None]


@plugins.register('control-view')
class ControlView(Plugin):
    """The applied control state; its revision never decreases."""

    def __init__(self, kernel: Any) -> None:
        """Start at revision 0 with a copy that is not fresh."""
        super().__init__(kernel)
        self._changed = threading.Condition()
        self._machine = StateMachine()
        self._recent_entries: deque[Entry] = deque()
        self._recent_bytes = 0
        self._fresh_as_of_s = float('-inf')
        self._age = CopyAge(
            kernel.clock,
            aged_after_s=_AGED_HOLDS * kernel.settings.control.watch_hold_s,
        )
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
        """Return the seconds since this copy was last known to be current."""
        return self.kernel.clock.now_s() - self._fresh_as_of_s

    def is_fresh(self) -> bool:
        """Return whether the copy may be used to authorize requests."""
        limit_s = self.kernel.settings.control.freshness_limit_s
        return self.freshness_age_s() < limit_s

    def outdated_after_s(self) -> float:
        """Return the age from which on a source counts as outdated."""
        limit_s = self.kernel.settings.control.freshness_limit_s
        return float(limit_s * _OUTDATED_FRACTION)

    def standing(self) -> Standing:
        """Return how current the copy is known to be."""
        return self._age.standing()

    def is_known_current(self) -> bool:
        """Return whether a leader has confirmed the copy recently.

        Only then is it certain that something is not configured.
        """
        return self.standing() is Standing.CURRENT

    def is_known_outdated(self) -> bool:
        """Return whether the copy must not be used, as others are newer."""
        return self.standing() is Standing.OUTDATED

    def current_as_of_s(self) -> float:
        """Return the time up to which the copy held all accepted changes."""
        return self._age.current_as_of_s()

    def note_current(self, as_of_s: float) -> None:
        """Record that the copy held all accepted changes, without authority.

        The instance that told it does not wait for a confirmation from here.

        Parameters
        ----------
        as_of_s : float
            Time on the monotonic clock of this instance, in seconds.
        """
        self._age.note_current(as_of_s)

    def note_peer_revision(self, revision: int, address: str) -> None:
        """Record the revision of the copy of a peer.

        Parameters
        ----------
        revision : int
            Revision that the peer has applied.
        address : str
            Its peer address.
        """
        if self._age.note_peer(revision, address, self.revision):
            with self._changed:
                self._age.note_revision(self._machine.revision)
                self._changed.notify_all()

    def wait_for_newer(self, *, timeout_s: float) -> tuple[int, str]:
        """Wait until a peer is known to hold a newer revision.

        Returns
        -------
        tuple
            The revision and the address of the peer; 0 and an empty address if
            there is none within ``timeout_s`` seconds.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._age.newest()[0], timeout_s)
            return self._age.newest()

    def note_fresh(self, as_of_s: float) -> None:
        """Record that the copy holds all changes accepted by ``as_of_s``.

        Parameters
        ----------
        as_of_s : float
            Time on the monotonic clock of this instance, in seconds.
        """
        with self._changed:
            self._fresh_as_of_s = max(self._fresh_as_of_s, as_of_s)
        self._age.note_current(as_of_s)

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
                self._keep_recent(entry)
            self._age.note_revision(self._machine.revision)
            CONTROL_REVISION.set(self._machine.revision)
            self._changed.notify_all()
        if outcomes:
            self._notify_listeners()
        return outcomes

    def install(self, snapshot: bytes) -> bool:
        """Replace the copy by a snapshot with a higher revision.

        Returns
        -------
        bool
            False if the snapshot is not newer and was ignored.
        """
        machine = StateMachine.decode(snapshot)
        with self._changed:
            if machine.revision <= self._machine.revision:
                return False
            self._machine = machine
            self._recent_entries.clear()
            self._recent_bytes = 0
            self._age.note_revision(machine.revision)
            CONTROL_REVISION.set(machine.revision)
            self._changed.notify_all()
        self._notify_listeners()
        return True

    def snapshot(self) -> bytes:
        """Return an encoded snapshot of the copy."""
        with self._changed:
            machine = self._machine.copy()
        return machine.encode()

    def entries_after(self, revision: int) -> list[Entry] | None:
        """Return the entries above ``revision``.

        Returns
        -------
        list or None
            None if some of them have been evicted.
        """
        with self._changed:
            if revision >= self._machine.revision:
                return []
            first = (
                self._recent_entries[0].revision
                if self._recent_entries
                else None
            )
            if first is None or first > revision + 1:
                return None
            return [
                entry
                for entry in self._recent_entries
                if entry.revision > revision
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
        """Return the recorded outcome of a change, if it is still kept."""
        return self._machine.outcomes.get(request_id)

    def history(self) -> list[Any]:
        """Return the records of recent changes, oldest first."""
        with self._changed:
            return list(self._machine.history)

    def _keep_recent(self, entry: Entry) -> None:
        recent = self._recent_entries
        recent.append(entry)
        self._recent_bytes += len(entry.payload)
        while len(recent) > 1 and (
            len(recent) > _MAX_RECENT_ENTRIES
            or self._recent_bytes > _MAX_RECENT_BYTES
        ):
            self._recent_bytes -= len(recent.popleft().payload)

    def _notify_listeners(self) -> None:
        state = self.state
        for listener in self._listeners:
            try:
                listener(state)
            except Exception:
                _LOG.exception('control state listener raised an exception')

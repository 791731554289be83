"""How current an instance's copy of the control state is known to be."""

import threading
from collections import deque
from dataclasses import dataclass, replace
from enum import Enum

from ..core.clock import Clock

# Newer revisions that are remembered at the same time; the first and the last
# ones matter.
_MAX_REVISIONS = 16
# Longest time without a datagram of any peer in which an unconfirmed copy may
# be used: several intervals of the failure detector.
_ISOLATION_LIMIT_S = 2.0
# A revision that no peer has told for so long is held by none that is reached.
_FORGOTTEN_AFTER_S = 6.0


class Standing(Enum):
    """What is known about the copy of the control state.

    Attributes
    ----------
    CURRENT
        A leader has confirmed the copy a short time ago.
    AGED
        A leader has confirmed the copy since this process started, but changes
        may have been accepted in the meantime.
    UNCONFIRMED
        The copy is what other instances had stored; no leader has confirmed it
        since this process started, and no peer is known to hold a newer one.
    OUTDATED
        A peer holds a newer revision, or the copy is unconfirmed and no peer
        is heard from.
    """

    CURRENT = 'current'
    AGED = 'aged'
    UNCONFIRMED = 'unconfirmed'
    OUTDATED = 'outdated'


@dataclass(frozen=True, slots=True)
class _NewerRevision:
    """A revision above the own one that a peer holds."""

    revision: int
    holder_address: str
    heard_s: float


class CopyAge:
    """Evidence for the standing of the copy: confirmations and peers' revisions.

    An instance cannot tell from its sources alone that its copy is old: they
    may be silent, or as old as itself. Each datagram of the failure detector
    therefore carries the revision of its sender.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    aged_after_s : float
        Age in seconds from which on a confirmed copy may lack changes, and time
        after which it may not be used once a peer holds a newer revision.
    """

    def __init__(self, clock: Clock, *, aged_after_s: float) -> None:
        """Start without a confirmation."""
        self._clock = clock
        self._aged_after_s = aged_after_s
        self._lock = threading.Lock()
        self._current_as_of_s = float('-inf')
        self._heard_s = clock.now_s()
        self._newer: deque[_NewerRevision] = deque()
        self._newer_told_s = float('-inf')

    def note_current(self, as_of_s: float) -> None:
        """Record that the copy held all accepted changes at a time.

        Parameters
        ----------
        as_of_s : float
            Time on the monotonic clock of this instance, in seconds.
        """
        self._current_as_of_s = max(self._current_as_of_s, as_of_s)

    def note_peer(self, revision: int, address: str, own_revision: int) -> bool:
        """Record the revision of a peer's copy.

        Parameters
        ----------
        revision : int
            Revision that the peer has applied.
        address : str
            Its peer address.
        own_revision : int
            Revision of the own copy.

        Returns
        -------
        bool
            Whether the own copy lacks it.
        """
        self._heard_s = self._clock.now_s()
        if revision <= own_revision:
            return False
        with self._lock:
            self._newer_told_s = self._heard_s
            self._add(_NewerRevision(revision, address, self._heard_s))
        return True

    def note_revision(self, own_revision: int) -> None:
        """Record that the own copy has reached a revision."""
        with self._lock:
            while self._newer and self._newer[0].revision <= own_revision:
                self._newer.popleft()

    def newest(self) -> tuple[int, str]:
        """Return the highest revision that a peer holds, and its address.

        Returns
        -------
        tuple
            Revision 0 and an empty address if no peer holds a newer one.
        """
        with self._lock:
            self._forget_untold(self._clock.now_s())
            if not self._newer:
                return 0, ''
            return self._newer[-1].revision, self._newer[-1].holder_address

    def current_as_of_s(self) -> float:
        """Return the time up to which the copy held all accepted changes."""
        return self._current_as_of_s

    def standing(self) -> Standing:
        """Return what is known about the copy at present."""
        now_s = self._clock.now_s()
        with self._lock:
            self._forget_untold(now_s)
            known_s = self._newer[0].heard_s if self._newer else None
        if self._current_as_of_s == float('-inf'):
            is_isolated = now_s - self._heard_s > _ISOLATION_LIMIT_S
            if known_s is not None or is_isolated:
                return Standing.OUTDATED
            return Standing.UNCONFIRMED
        if known_s is not None and now_s - known_s > self._aged_after_s:
            return Standing.OUTDATED
        is_aged = now_s - self._current_as_of_s > self._aged_after_s
        if known_s is not None or is_aged:
            return Standing.AGED
        return Standing.CURRENT

    def _add(self, told: _NewerRevision) -> None:
        """Keep each revision once, with the time at which it was first told."""
        known = self._newer
        last = known[-1] if known else None
        if last is None or told.revision > last.revision:
            known.append(told)
            if len(known) > _MAX_REVISIONS:
                del known[1]
        elif told.revision == last.revision:
            # This holder was heard from last, so it is likely to be alive.
            known[-1] = replace(last, holder_address=told.holder_address)

    def _forget_untold(self, now_s: float) -> None:
        if now_s - self._newer_told_s > _FORGOTTEN_AFTER_S:
            self._newer.clear()

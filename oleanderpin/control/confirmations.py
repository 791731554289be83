"""Which revision all instances have confirmed, by watcher and by time.

An instance has authority only while it is fresh, and it gets its freshness
only in answers to its watches. So the source of these answers knows everyone
who may act on what it passed on, without asking the membership: its watchers
and, through what they confirm, those who watch them.
"""

import threading
import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from ..core.clock import Clock

# Quartz clocks differ by less than 0.1%; the rest covers the time between
# reading the clock and using the result.
_CLOCK_RATE_MARGIN = 0.01
_CLOCK_MARGIN_S = 0.05
_MAX_COMMITS = 2000
# The clock is injected and cannot wake a waiting thread.
_POLL_S = 0.05


class WatcherId(NamedTuple):
    """A process that watches; a restarted one counts as another.

    Those who watched the process before its restart keep the authority that
    it passed on, so its record has to outlive it.
    """

    instance: str
    start_id: int


@dataclass(slots=True)
class _Watcher:
    confirmed_revision: int
    granted_s: float


class Confirmations:
    """Watchers of this instance and the revisions they have confirmed.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    freshness_limit_s : float
        Time after which an instance that got no answer loses its authority.
    """

    def __init__(self, clock: Clock, *, freshness_limit_s: float) -> None:
        """Start without watchers."""
        self._clock = clock
        self.bound_s = (
            freshness_limit_s * (1 + _CLOCK_RATE_MARGIN) + _CLOCK_MARGIN_S
        )
        self.changed = threading.Condition()
        self._watchers: dict[WatcherId, _Watcher] = {}
        self._commits: OrderedDict[int, float] = OrderedDict()
        self._complete_from_s = float('inf')

    def begin_leadership(self, *, is_first: bool) -> None:
        """Start to count as the leader.

        Parameters
        ----------
        is_first : bool
            Whether there was no leader before. The watchers of an earlier
            leader are not known; they lose their authority within the bound.
        """
        delay_s = 0 if is_first else self.bound_s
        with self.changed:
            self._complete_from_s = self._clock.now_s() + delay_s

    def end_leadership(self) -> None:
        """Stop counting as the leader."""
        with self.changed:
            self._complete_from_s = float('inf')

    def note_commit(self, revision: int) -> None:
        """Record that ``revision`` is committed by now."""
        with self.changed:
            self._commits.setdefault(revision, self._clock.now_s())
            if len(self._commits) > _MAX_COMMITS:
                self._commits.popitem(last=False)

    def note_grant(self, watcher_id: WatcherId, revision: int) -> None:
        """Record a watcher before it is given freshness.

        Parameters
        ----------
        watcher_id : WatcherId
            The watcher.
        revision : int
            Revision that the answer will at least carry.
        """
        now_s = self._clock.now_s()
        with self.changed:
            watcher = self._watchers.get(watcher_id)
            if watcher is None or self._is_expired(watcher):
                # Earlier freshness of this watcher came from another source,
                # which still counts it.
                watcher = _Watcher(revision, now_s)
                self._watchers[watcher_id] = watcher
            watcher.granted_s = now_s

    def confirm(self, watcher_id: WatcherId, revision: int) -> None:
        """Record that a watcher no longer acts on what precedes ``revision``."""
        with self.changed:
            watcher = self._watchers.get(watcher_id)
            if watcher is not None and revision > watcher.confirmed_revision:
                watcher.confirmed_revision = revision
                self.changed.notify_all()

    def lowest(self, own_revision: int) -> int:
        """Return the lowest revision that is still acted on, as far as known.

        Parameters
        ----------
        own_revision : int
            Revision applied by this instance.
        """
        with self.changed:
            self._drop_expired()
            confirmed = [
                watcher.confirmed_revision
                for watcher in self._watchers.values()
            ]
            return min((own_revision, *confirmed))

    def is_past_bound(self, revision: int) -> bool:
        """Return whether ``revision`` is in force by time alone."""
        with self.changed:
            # A later revision was committed later still.
            committed = [
                committed_s
                for committed_revision, committed_s in self._commits.items()
                if committed_revision >= revision
            ]
            if not committed:
                return False
            return self._clock.now_s() >= min(committed) + self.bound_s

    def wait(self, revision: int, own_revision: int, timeout_s: float) -> bool:
        """Wait until ``revision`` is confirmed by all or the bound has passed.

        Parameters
        ----------
        revision : int
            Committed revision.
        own_revision : int
            Revision applied by this instance.
        timeout_s : float
            Longest wait in real time.
        """
        end_s = time.monotonic() + timeout_s
        with self.changed:
            while True:
                if self._is_confirmed(revision, own_revision):
                    return True
                if self.is_past_bound(revision):
                    return True
                left_s = end_s - time.monotonic()
                if left_s <= 0:
                    return False
                self.changed.wait(min(left_s, _POLL_S))

    def watchers(self) -> dict[str, int]:
        """Return the confirmed revision of each watcher."""
        with self.changed:
            self._drop_expired()
            return {
                watcher_id.instance: watcher.confirmed_revision
                for watcher_id, watcher in self._watchers.items()
            }

    def _is_confirmed(self, revision: int, own_revision: int) -> bool:
        if self._clock.now_s() < self._complete_from_s:
            return False
        return self.lowest(own_revision) >= revision

    def _is_expired(self, watcher: _Watcher) -> bool:
        return self._clock.now_s() >= watcher.granted_s + self.bound_s

    def _drop_expired(self) -> None:
        self._watchers = {
            name: watcher
            for name, watcher in self._watchers.items()
            if not self._is_expired(watcher)
        }

"""Tracks which revision is in force on all instances.

An instance has authority, the right to authorize requests, only while its copy
of the control state is fresh, and it becomes fresh only by replies to its
watch requests. The source of these replies therefore knows every instance that
may act on the state that it sent, without consulting the membership: its
watchers directly, and their watchers by the revisions that they confirm. A
revision is also in force once the freshness limit, with a margin, has passed
since its commit, because a copy without it is no longer fresh by then.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from ..core.clock import Clock, monotonic_s

# The rates of quartz clocks differ by less than 0.1%; the remaining margin
# covers the time between reading the clock and using the result.
_CLOCK_RATE_MARGIN = 0.01
_CLOCK_MARGIN_S = 0.05
_MAX_COMMITS = 2000
# Waiting threads poll, because the injected clock cannot wake them.
_POLL_S = 0.05


class WatcherId(NamedTuple):
    """A watching process; a restarted process gets another id.

    Instances that watched the process before its restart keep the authority
    that it passed on, so the record of the old process must outlive it.
    """

    instance: str
    start_id: int


@dataclass(slots=True)
class _Watcher:
    confirmed_revision: int
    granted_s: float


class Confirmations:
    """The watchers of this instance and the revisions that they confirmed.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    freshness_limit_s : float
        Time after which an instance without replies loses its authority, in
        seconds.
    """

    def __init__(self, clock: Clock, *, freshness_limit_s: float) -> None:
        """Start without watchers."""
        self._clock = clock
        self.authority_timeout_s = (
            freshness_limit_s * (1 + _CLOCK_RATE_MARGIN) + _CLOCK_MARGIN_S
        )
        self.changed = threading.Condition()
        self._watchers: dict[WatcherId, _Watcher] = {}
        self._commits: OrderedDict[int, float] = OrderedDict()
        self._watchers_complete_from_s = float('inf')

    def begin_leadership(self, *, is_first: bool) -> None:
        """Start answering as the leader.

        Parameters
        ----------
        is_first : bool
            Whether there was no earlier leader. The watchers of an earlier
            leader are unknown; their authority expires within
            ``authority_timeout_s``.
        """
        delay_s = 0 if is_first else self.authority_timeout_s
        with self.changed:
            self._watchers_complete_from_s = self._clock.now_s() + delay_s

    def end_leadership(self) -> None:
        """Stop answering as the leader."""
        with self.changed:
            self._watchers_complete_from_s = float('inf')

    def record_commit(self, revision: int) -> None:
        """Record that ``revision`` is committed by the current time."""
        with self.changed:
            self._commits.setdefault(revision, self._clock.now_s())
            if len(self._commits) > _MAX_COMMITS:
                self._commits.popitem(last=False)

    def record_grant(self, watcher_id: WatcherId, revision: int) -> None:
        """Record a watcher; called before a reply makes it fresh.

        Parameters
        ----------
        watcher_id : WatcherId
            Watcher that gets the reply.
        revision : int
            Lower bound of the revision in the reply.
        """
        now_s = self._clock.now_s()
        with self.changed:
            watcher = self._watchers.get(watcher_id)
            if watcher is None or self._is_expired(watcher):
                # Freshness that the watcher got earlier came from another
                # source, which still has a record of the watcher.
                watcher = _Watcher(revision, now_s)
                self._watchers[watcher_id] = watcher
            watcher.granted_s = now_s

    def confirm(self, watcher_id: WatcherId, revision: int) -> None:
        """Record that a watcher no longer uses a state before ``revision``."""
        with self.changed:
            watcher = self._watchers.get(watcher_id)
            if watcher is not None and revision > watcher.confirmed_revision:
                watcher.confirmed_revision = revision
                self.changed.notify_all()

    def lowest_confirmed_revision(self, own_revision: int) -> int:
        """Return the lowest revision still used here or by a known watcher.

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

    def is_in_force_by_timeout(self, revision: int) -> bool:
        """Return whether all authority for an older state has expired."""
        with self.changed:
            # A later revision is never committed earlier.
            committed = [
                committed_s
                for committed_revision, committed_s in self._commits.items()
                if committed_revision >= revision
            ]
            if not committed:
                return False
            return (
                self._clock.now_s() >= min(committed) + self.authority_timeout_s
            )

    def wait(self, revision: int, own_revision: int, timeout_s: float) -> bool:
        """Wait until ``revision`` is in force by confirmation or by time-out.

        Parameters
        ----------
        revision : int
            Committed revision.
        own_revision : int
            Revision applied by this instance.
        timeout_s : float
            Longest wait in real time, in seconds.
        """
        end_s = monotonic_s() + timeout_s
        with self.changed:
            while True:
                if self._is_confirmed(revision, own_revision):
                    return True
                if self.is_in_force_by_timeout(revision):
                    return True
                remaining_s = end_s - monotonic_s()
                if remaining_s <= 0:
                    return False
                self.changed.wait(min(remaining_s, _POLL_S))

    def watchers(self) -> dict[str, int]:
        """Return the confirmed revision by watching instance."""
        with self.changed:
            self._drop_expired()
            return {
                watcher_id.instance: watcher.confirmed_revision
                for watcher_id, watcher in self._watchers.items()
            }

    def _is_confirmed(self, revision: int, own_revision: int) -> bool:
        if self._clock.now_s() < self._watchers_complete_from_s:
            return False
        return self.lowest_confirmed_revision(own_revision) >= revision

    def _is_expired(self, watcher: _Watcher) -> bool:
        return (
            self._clock.now_s() >= watcher.granted_s + self.authority_timeout_s
        )

    def _drop_expired(self) -> None:
        self._watchers = {
            name: watcher
            for name, watcher in self._watchers.items()
            if not self._is_expired(watcher)
        }

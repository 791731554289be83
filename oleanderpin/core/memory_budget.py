"""Budget of the memory that a process holds for callers and targets.

Load pattern: callers send without end, stop short of the end of a request, or
do not read their responses. Whatever they make the process hold is charged to
a share; once the budget is used up, shares that have not changed for a while are
given up, and then the one that has held most for longest for smaller ones.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from .clock import monotonic_s
from .metrics import EVENTS

# A share that has not changed for so long is given up before others.
_STALL_S = 1.0
# After no share could be given up, the others are not looked at for so long.
_RETRY_INTERVAL_S = 0.1
# While the budget is used up, each read of thousands of connections needs space;
# the order in which shares go is used for so long.
_RANKING_VALID_S = 0.1


@dataclass(slots=True, eq=False)
class MemoryShare:
    """Memory that is held for one connection.

    Parameters
    ----------
    budget : MemoryBudget
        Budget that the memory counts towards.
    give_up : callable, optional
        Releases what the connection may lose and returns whether there was
        any. Without it, the share is never given up for others.
    """

    budget: 'MemoryBudget'
    give_up: Callable[[], bool] | None = None
    held_bytes: int = 0
    since_s: float = 0.0
    # When it last changed.
    changed_s: float = 0.0
    is_closed: bool = False

    def charge(self, size_bytes: int) -> bool:
        """Add memory that is held now.

        Returns
        -------
        bool
            Whether the budget is kept; otherwise the caller has to release
            what it holds.
        """
        if self.is_closed or not size_bytes:
            return True
        self.changed_s = monotonic_s()
        if not self.held_bytes:
            self.since_s = self.changed_s
        self.held_bytes += size_bytes
        return self.budget.charge(self, size_bytes)

    def release(self, size_bytes: int) -> None:
        """Remove memory that is no longer held."""
        if size_bytes and not self.is_closed:
            self.changed_s = monotonic_s()
            self.held_bytes -= size_bytes
            self.budget.held_bytes -= size_bytes

    def is_stalled(self, now_s: float) -> bool:
        """Return whether it has not changed for a while."""
        return now_s - self.changed_s >= _STALL_S

    def may_go(self, now_s: float, larger_than_bytes: float) -> bool:
        """Return whether it may be given up for one that holds less."""
        return self.is_stalled(now_s) or self.held_bytes > larger_than_bytes

    def close(self) -> None:
        """Release everything; what comes later is not counted."""
        self.release(self.held_bytes)
        self.is_closed = True
        # The connection must not be kept in memory by the ranking.
        self.give_up = None
        self.budget.remove(self)


class MemoryBudget:
    """Bytes of memory held for all connections of a process.

    Not thread-safe: used on the event loop only.

    Parameters
    ----------
    max_bytes : int
        Limit on the bytes that are held.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start without shares."""
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self._shares: set[MemoryShare] = set()
        self._retry_s = 0.0
        self._ranking: list[MemoryShare] = []
        self._ranked_s = -math.inf

    def share(self, give_up: Callable[[], bool] | None = None) -> MemoryShare:
        """Return a new share; without ``give_up`` it is kept at all events."""
        share = MemoryShare(self, give_up)
        if give_up is not None:
            self._shares.add(share)
        return share

    def remove(self, share: MemoryShare) -> None:
        """Forget a share that is closed."""
        self._shares.discard(share)

    def has_space(self, size_bytes: int) -> bool:
        """Return whether so much more can be held.

        Stalled shares are given up for it, but no others, since it is only
        announced.
        """
        if size_bytes > self.max_bytes:
            return False
        return self._make_space(
            size_bytes, excluded=None, larger_than_bytes=math.inf
        )

    def charge(self, share: MemoryShare, size_bytes: int) -> bool:
        """Count memory of a share; return whether the budget is kept."""
        self.held_bytes += size_bytes
        if self.held_bytes <= self.max_bytes:
            return True
        # What others may lose yields to what may not be given up.
        larger_than_bytes = share.held_bytes if share.give_up else 0
        return self._make_space(
            0, excluded=share, larger_than_bytes=larger_than_bytes
        )

    def _make_space(
        self,
        size_bytes: int,
        *,
        excluded: MemoryShare | None,
        larger_than_bytes: float,
    ) -> bool:
        """Give up shares that are stalled, or hold more, until it fits."""
        if self.held_bytes + size_bytes <= self.max_bytes:
            return True
        now_s = monotonic_s()
        if now_s >= self._retry_s:
            limit_bytes = self.max_bytes - size_bytes
            is_outdated = now_s - self._ranked_s >= _RANKING_VALID_S
            if not is_outdated:
                self._give_up(now_s, limit_bytes, excluded, larger_than_bytes)
            if self.held_bytes > limit_bytes:
                self._rank(now_s)
                self._give_up(now_s, limit_bytes, excluded, larger_than_bytes)
        if self.held_bytes + size_bytes <= self.max_bytes:
            return True
        EVENTS.labels('memory', 'budget_used_up').inc()
        self._retry_s = max(self._retry_s, now_s + _RETRY_INTERVAL_S)
        return False

    def _give_up(
        self,
        now_s: float,
        limit_bytes: int,
        excluded: MemoryShare | None,
        larger_than_bytes: float,
    ) -> None:
        """Give up shares of the ranking until the limit is kept."""
        kept = []
        while self.held_bytes > limit_bytes and self._ranking:
            share = self._ranking.pop()
            if share.is_closed or not share.held_bytes:
                continue
            is_usable = share.may_go(now_s, larger_than_bytes)
            if share is excluded or not is_usable:
                kept.append(share)
            elif _is_given_up(share):
                EVENTS.labels('memory', 'share_given_up').inc()
        self._ranking.extend(reversed(kept))

    def _rank(self, now_s: float) -> None:
        """Order what may be given up, what goes first at the end."""
        self._ranked_s = now_s
        self._ranking = [each for each in self._shares if each.held_bytes]
        self._ranking.sort(
            key=lambda each: (
                each.is_stalled(now_s),
                each.held_bytes * (now_s - each.since_s),
            )
        )


def _is_given_up(share: MemoryShare) -> bool:
    return share.give_up is not None and share.give_up()

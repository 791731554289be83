"""Targets that say in their answers that they leave.

Load pattern: each gateway reads answers of few targets in a second. They share
what they have read, so that no gateway opens a connection to a target of which
another one has known for a second that it leaves.
"""

import threading
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from ..targets.announcement import Incarnation
from ..wire.generated.loads.ttypes import LeavingTarget
from .change_versions import ChangeVersions

# After this time a target has left, or has started again without a generation
# that would tell.
_FORGOTTEN_S = 60.0


class LeavingTargets:
    """Leaving targets known to one gateway; thread-safe."""

    def __init__(self) -> None:
        """Start without leaving targets."""
        self._lock = threading.Lock()
        self._since_s: dict[Incarnation, float] = {}
        self._unreported: dict[Incarnation, float] = {}
        self.version = 0

    def __bool__(self) -> bool:
        """Return whether any target is known to leave."""
        return bool(self._since_s)

    def since_s(self, incarnation: Incarnation) -> float | None:
        """Return when a target first said that it leaves, None if never."""
        return self._since_s.get(incarnation)

    def observe(self, incarnation: Incarnation, now_s: float) -> None:
        """Record that an answer of a target said that it leaves."""
        with self._lock:
            if incarnation not in self._since_s:
                self._since_s[incarnation] = now_s
                self._unreported[incarnation] = now_s

    def unreported(self, now_s: float) -> list[LeavingTarget]:
        """Return what was observed and is not reported yet."""
        with self._lock:
            return _encode(self._unreported, now_s)

    def note_reported(self, reported: Iterable[LeavingTarget]) -> None:
        """Record that a report has arrived."""
        with self._lock:
            for leaving in reported:
                self._unreported.pop(_incarnation(leaving), None)

    def merge(
        self, leaving: Iterable[LeavingTarget], version: int, now_s: float
    ) -> None:
        """Add what other gateways have read.

        Parameters
        ----------
        leaving : iterable of LeavingTarget
            Targets that are new since the last report.
        version : int
            Version to send with the next report.
        now_s : float
            Monotonic time of the request that returned them.
        """
        with self._lock:
            for each in leaving:
                self._since_s.setdefault(
                    _incarnation(each), now_s - each.age_ms / 1000
                )
            self.version = version

    def forget_absent(
        self, present: Collection[Incarnation], now_s: float
    ) -> None:
        """Forget old entries, except those of targets that can be told apart.

        Parameters
        ----------
        present : collection of Incarnation
            Targets that still announce themselves.
        now_s : float
            Monotonic time.
        """
        with self._lock:
            self._since_s = {
                incarnation: since_s
                for incarnation, since_s in self._since_s.items()
                if now_s - since_s < _FORGOTTEN_S
                or (incarnation.generation and incarnation in present)
            }


@dataclass(slots=True)
class SharedLeaving:
    """Leaving targets that the gateways have reported. Not thread-safe."""

    _versions: ChangeVersions[Incarnation] = field(
        default_factory=ChangeVersions
    )
    _since_s: dict[Incarnation, float] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Version of the last addition."""
        return self._versions.version

    def record(self, leaving: Iterable[LeavingTarget], now_s: float) -> None:
        """Add what a gateway has read."""
        for each in leaving:
            incarnation = _incarnation(each)
            if incarnation not in self._since_s:
                self._since_s[incarnation] = now_s - each.age_ms / 1000
                self._versions.note(incarnation)
        for incarnation, since_s in list(self._since_s.items()):
            if now_s - since_s >= _FORGOTTEN_S:
                self._since_s.pop(incarnation)
                self._versions.forget(incarnation)

    def added_since(self, version: int, now_s: float) -> list[LeavingTarget]:
        """Return the leaving targets that are new since a version."""
        added = self._versions.changed_since(version)
        return _encode({each: self._since_s[each] for each in added}, now_s)


def _incarnation(leaving: LeavingTarget) -> Incarnation:
    return Incarnation(leaving.target_id, leaving.address, leaving.generation)


def _encode(
    since_by_incarnation: dict[Incarnation, float], now_s: float
) -> list[LeavingTarget]:
    return [
        LeavingTarget(
            target_id=incarnation.target_id,
            address=incarnation.address,
            generation=incarnation.generation,
            age_ms=int(max(0.0, now_s - since_s) * 1000),
        )
        for incarnation, since_s in since_by_incarnation.items()
    ]

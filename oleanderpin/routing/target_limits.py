"""Limits that targets name for all instances together.

Load pattern: a target in need names the requests a second that it takes. Each
gateway learns this from its own responses only, and most gateways send few
requests to one target. They share what targets said, so that all of them know
of a limit, and of its end, about a second after the first one.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..core.metrics import EVENTS
from ..core.stated_numbers import stated_decimal
from ..wire.generated.loads.ttypes import TargetLimit
from .change_versions import ChangeVersions

# The smallest limit that is used; a target that names less is asked this often,
# so that the end of its need is noticed.
_MIN_LIMIT_PER_S = 0.1
# More than a target can take; a larger limit means the same.
_MAX_LIMIT_PER_S = 1e6
# A target that nobody has heard of for this long is taken for gone.
_FORGOTTEN_S = 60.0


@dataclass(frozen=True, slots=True)
class LimitEvidence:
    """What a target said last.

    Parameters
    ----------
    limit_per_s : float
        Requests a second from all instances together; 0 if it named none.
    seen_s : float
        Monotonic time of its response.
    """

    limit_per_s: float
    seen_s: float


def parse_limit_per_s(value: bytes | None) -> float | None:
    """Return the limit that a response header names.

    Parameters
    ----------
    value : bytes or None
        Value of the header; None if there is none.

    Returns
    -------
    float or None
        Requests a second, 0 without a header; None if it cannot be read, in
        which case the header says nothing.
    """
    if value is None:
        return 0.0
    limit_per_s = stated_decimal(value, most=_MAX_LIMIT_PER_S)
    if limit_per_s is None:
        EVENTS.labels('gateway', 'limit_unreadable').inc()
        return None
    return max(limit_per_s, _MIN_LIMIT_PER_S)


class TargetLimits:
    """Limits known to one gateway; thread-safe."""

    def __init__(self) -> None:
        """Start without limits."""
        self._lock = threading.Lock()
        self._known: dict[str, LimitEvidence] = {}
        self._observed: dict[str, LimitEvidence] = {}
        self.version = 0

    @property
    def has_limits(self) -> bool:
        """Whether any target has named a limit a short time ago."""
        return bool(self._known)

    def limit_per_s(self, target_id: str, now_s: float) -> float:
        """Return the limit of a target, 0 if it has none."""
        found = self._known.get(target_id)
        if found is None or now_s - found.seen_s >= _FORGOTTEN_S:
            return 0.0
        return found.limit_per_s

    def observe(self, target_id: str, limit_per_s: float, now_s: float) -> bool:
        """Record what a response of a target said.

        Returns
        -------
        bool
            Whether the limit begins or ends with this response.
        """
        before = self.limit_per_s(target_id, now_s)
        if not limit_per_s and target_id not in self._known:
            return False
        evidence = LimitEvidence(limit_per_s, now_s)
        with self._lock:
            self._known[target_id] = evidence
            self._observed[target_id] = evidence
        return bool(before) != bool(limit_per_s)

    def take_observed(self, now_s: float) -> list[TargetLimit]:
        """Return what was observed since the last call, for a report."""
        with self._lock:
            observed = self._observed
            self._observed = {}
        return _encode(observed, now_s)

    def merge(
        self, limits: Iterable[TargetLimit], version: int, now_s: float
    ) -> None:
        """Add what other gateways have learnt, where it is newer.

        Parameters
        ----------
        limits : iterable of TargetLimit
            Changed limits.
        version : int
            Version to send with the next report.
        now_s : float
            Monotonic time of the request that returned them.
        """
        with self._lock:
            _add_newer(self._known, limits, now_s)
            self._known = {
                target_id: evidence
                for target_id, evidence in self._known.items()
                if now_s - evidence.seen_s < _FORGOTTEN_S
            }
            self.version = version


@dataclass(slots=True)
class SharedLimits:
    """Limits that the gateways have reported. Not thread-safe."""

    _versions: ChangeVersions[str] = field(default_factory=ChangeVersions)
    _known: dict[str, LimitEvidence] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Version of the last change."""
        return self._versions.version

    def record(self, limits: Iterable[TargetLimit], now_s: float) -> None:
        """Add what a gateway has learnt, where it is newer."""
        for target_id, last in _add_newer(self._known, limits, now_s):
            limit_per_s = self._known[target_id].limit_per_s
            if last is None or last.limit_per_s != limit_per_s:
                self._versions.note(target_id)
        for target_id, evidence in list(self._known.items()):
            if now_s - evidence.seen_s >= _FORGOTTEN_S:
                self._known.pop(target_id)
                self._versions.forget(target_id)

    def changed_since(self, version: int, now_s: float) -> list[TargetLimit]:
        """Return the limits that have changed since a version."""
        changed = self._versions.changed_since(version)
        return _encode({each: self._known[each] for each in changed}, now_s)


def _add_newer(
    known: dict[str, LimitEvidence],
    limits: Iterable[TargetLimit],
    now_s: float,
) -> list[tuple[str, LimitEvidence | None]]:
    """Add newer evidence; return the targets concerned and what it replaces."""
    added = []
    for limit in limits:
        seen_s = now_s - limit.age_ms / 1000
        last = known.get(limit.target_id)
        if last is None or seen_s > last.seen_s:
            known[limit.target_id] = LimitEvidence(limit.limit_per_s, seen_s)
            added.append((limit.target_id, last))
    return added


def _encode(
    evidence_by_target: dict[str, LimitEvidence], now_s: float
) -> list[TargetLimit]:
    return [
        TargetLimit(
            target_id=target_id,
            limit_per_s=evidence.limit_per_s,
            age_ms=int(max(0.0, now_s - evidence.seen_s) * 1000),
        )
        for target_id, evidence in evidence_by_target.items()
    ]

"""Candidates of one service: eligible targets by version and locality."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..moves.split import ANY_VERSION
from ..targets.table import Target
from .shift import Cell
from .target_stats import TargetStats


@dataclass(slots=True, eq=False)
class Candidate:
    """An eligible target and its slow-start factor ``ramp``."""

    address: str
    cell: Cell
    stats: TargetStats
    ramp: float = 1.0


@dataclass(slots=True)
class Tiers:
    """Candidates of one version, in the local region and in other regions."""

    local: list[Candidate] = field(default_factory=list)
    remote: list[Candidate] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CandidateSet:
    """All candidates of a service at one point in time."""

    by_version: Mapping[str, Tiers]
    weights: Mapping[str, float]
    typical_latency_ms: float
    cells: frozenset[Cell]


def cell_of(target: Target) -> Cell:
    """Return the cell of the traffic split to which a target belongs."""
    return Cell(target.region, target.failure_domain, target.version)


def group_candidates(
    candidates: Iterable[Candidate],
    *,
    weights: Mapping[str, float],
    own_region: str,
    now_s: float,
) -> CandidateSet:
    """Group candidates by version and locality.

    Parameters
    ----------
    candidates : iterable of Candidate
        Eligible targets of all versions.
    weights : mapping of str to float
        Weight of each version; the key ``''`` stands for all others.
    own_region : str
        Region of the instance.
    now_s : float
        Monotonic time.
    """
    active_weights = {
        name: weight for name, weight in weights.items() if weight > 0
    }
    by_version: dict[str, Tiers] = defaultdict(Tiers)
    cells = set()
    total_ms = 0.0
    measured = 0
    for candidate in candidates:
        version = candidate.cell.version
        key = version if version in weights else ANY_VERSION
        if key not in active_weights:
            continue
        tiers = by_version[key]
        is_local = candidate.cell.region == own_region
        (tiers.local if is_local else tiers.remote).append(candidate)
        cells.add(candidate.cell)
        latency_ms = candidate.stats.latency_ms(now_s, typical_latency_ms=0)
        if latency_ms and is_local:
            total_ms += latency_ms
            measured += 1
    return CandidateSet(
        by_version=dict(by_version),
        weights=active_weights,
        typical_latency_ms=total_ms / measured if measured else 1.0,
        cells=frozenset(cells),
    )

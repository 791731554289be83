"""Candidates of one service: its eligible targets, by version and place."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..moves.split import ANY_VERSION
from ..targets.table import Target
from .evidence import TargetEvidence
from .shift import Cell


@dataclass(slots=True, eq=False)
class Candidate:
    """An eligible target; ``ramp`` is its slow-start factor."""

    address: str
    cell: Cell
    evidence: TargetEvidence
    ramp: float = 1.0


@dataclass(slots=True)
class Tiers:
    """Candidates of one version: those in the own region and the others."""

    near: list[Candidate] = field(default_factory=list)
    far: list[Candidate] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CandidateSet:
    """All candidates of a service at one time."""

    by_version: Mapping[str, Tiers]
    weights: Mapping[str, float]
    typical_ms: float
    cells: frozenset[Cell]


def cell_of(target: Target) -> Cell:
    """Return the part of the traffic split that a target serves."""
    return Cell(target.region, target.failure_domain, target.version)


def group(
    candidates: Iterable[Candidate],
    *,
    weights: Mapping[str, float],
    own_region: str,
    now_s: float,
) -> CandidateSet:
    """Group candidates by version and nearness.

    Parameters
    ----------
    candidates : iterable of Candidate
        Eligible targets of all versions.
    weights : mapping of str to float
        Share of each version; the key ``''`` stands for all others.
    own_region : str
        Region of the instance.
    now_s : float
        Monotonic time.
    """
    used = {name: weight for name, weight in weights.items() if weight > 0}
    by_version: dict[str, Tiers] = defaultdict(Tiers)
    cells = set()
    total_ms = 0.0
    measured = 0
    for candidate in candidates:
        version = candidate.cell.version
        key = version if version in weights else ANY_VERSION
        if key not in used:
            continue
        tiers = by_version[key]
        is_near = candidate.cell.region == own_region
        (tiers.near if is_near else tiers.far).append(candidate)
        cells.add(candidate.cell)
        latency_ms = candidate.evidence.latency_ms(now_s, typical_ms=0)
        if latency_ms and is_near:
            total_ms += latency_ms
            measured += 1
    return CandidateSet(
        by_version=dict(by_version),
        weights=used,
        typical_ms=total_ms / measured if measured else 1.0,
        cells=frozenset(cells),
    )

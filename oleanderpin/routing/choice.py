"""Selects one target among the candidates.

Local targets come first, then targets of other regions for which a permit is
available. Within a group, the better of two random candidates is taken.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass, field
from itertools import chain

from .candidates import Candidate, CandidateSet
from .capacity import Permit, PermitSource
from .shift import ShiftLimiter

_COMPARED_CANDIDATES = 2
# Random draws may hit targets that are at their limit or ramping up; after this
# many draws the candidates are scanned in order.
_MAX_DRAWS = 6


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen candidate, with a permit if it is in another region."""

    candidate: Candidate
    permit: Permit | None = None


@dataclass(slots=True)
class Chooser:
    """Makes one choice and collects reasons for a rejection.

    Uses the power of two choices: two candidates are drawn at random and the
    one with the shorter expected wait is taken. Taking the shortest wait of
    all candidates would make instances with the same view send to the same
    target at once.
    """

    service: str
    candidates: CandidateSet
    shift_limiter: ShiftLimiter
    permit_source: PermitSource
    generator: random.Random
    exclude: Collection[str]
    now_s: float
    rejection_reasons: set[str] = field(default_factory=set)
    _full_regions: set[str] = field(default_factory=set)

    def choose(self, versions: Collection[str]) -> Choice | None:
        """Return a choice from the first version that has an admissible target.

        Parameters
        ----------
        versions : collection of str
            Versions in order of preference.
        """
        for version in versions:
            tiers = self.candidates.by_version.get(version)
            if tiers is None:
                continue
            candidate = self._pick(tiers.local)
            if candidate is not None:
                return Choice(candidate)
            choice = self._pick_remote(tiers.remote)
            if choice is not None:
                return choice
            candidate = self._last_resort(tiers.local)
            if candidate is not None and not self.rejection_reasons:
                return Choice(candidate)
        return None

    def _pick_remote(self, remote: list[Candidate]) -> Choice | None:
        regions = {each.cell.region for each in remote}
        is_local_busy = 'target_busy' in self.rejection_reasons
        had_cap = 'shift_cap' in self.rejection_reasons
        while regions - self._full_regions:
            candidate = self._pick(remote)
            if candidate is None:
                if is_local_busy and not had_cap:
                    # A local target frees up sooner than the shift cap does.
                    self.rejection_reasons.discard('shift_cap')
                return None
            region = candidate.cell.region
            permit = self.permit_source.acquire(self.service, region)
            if permit is not None:
                return Choice(candidate, permit)
            self.rejection_reasons.add('region_capacity')
            self._full_regions.add(region)
        return None

    def _pick(self, pool: list[Candidate]) -> Candidate | None:
        if not pool:
            return None
        drawn = self._draw(pool)
        if drawn:
            return self._better(drawn)
        return self._scan(pool)

    def _last_resort(self, pool: list[Candidate]) -> Candidate | None:
        """Return a target that recently refused a connection.

        It is tried only when there is no other reason for a rejection: a
        request that can wait for a busy target should not spend its attempts
        on an unreachable one.
        """
        for candidate in pool:
            if self._state(candidate) == 'unreachable':
                return candidate
        return None

    def _draw(self, pool: list[Candidate]) -> list[Candidate]:
        drawn: list[Candidate] = []
        draws = 0
        while draws < _MAX_DRAWS and len(drawn) < _COMPARED_CANDIDATES:
            draws += 1
            candidate = pool[int(self.generator.random() * len(pool))]
            if candidate not in drawn and self._is_usable(candidate):
                drawn.append(candidate)
        return drawn

    def _is_usable(self, candidate: Candidate) -> bool:
        return self._state(candidate) == 'ready'

    def _passes_ramp(self, candidate: Candidate) -> bool:
        return candidate.ramp >= 1 or self.generator.random() < candidate.ramp

    def _scan(self, pool: list[Candidate]) -> Candidate | None:
        """Scan all candidates, starting at a random one."""
        start = int(self.generator.random() * len(pool))
        found: list[Candidate] = []
        others: dict[str, Candidate] = {}
        for candidate in chain(pool[start:], pool[:start]):
            state = self._state(candidate)
            if state != 'ready':
                others.setdefault(state, candidate)
                continue
            found.append(candidate)
            if len(found) == _COMPARED_CANDIDATES:
                break
        if found:
            return self._better(found)
        if 'cold' in others:
            return others['cold']
        if 'blocked' in others:
            return self._raise_ceiling_for(others['blocked'])
        return None

    def _state(self, candidate: Candidate) -> str:
        if not self._has_capacity(candidate):
            return 'full'
        if not self._is_under_ceiling(candidate):
            return 'blocked'
        if not candidate.stats.is_reachable(self.now_s):
            return 'unreachable'
        return 'ready' if self._passes_ramp(candidate) else 'cold'

    def _raise_ceiling_for(self, candidate: Candidate) -> Candidate | None:
        if self.shift_limiter.raise_ceiling(candidate.cell, self.now_s):
            return candidate
        self.rejection_reasons.add('shift_cap')
        return None

    def _is_under_ceiling(self, candidate: Candidate) -> bool:
        return self.shift_limiter.allows(candidate.cell)

    def _has_capacity(self, candidate: Candidate) -> bool:
        if candidate.address in self.exclude:
            return False
        if candidate.cell.region in self._full_regions:
            return False
        if candidate.stats.has_capacity(candidate.ramp):
            return True
        self.rejection_reasons.add('target_busy')
        return False

    def _better(self, found: list[Candidate]) -> Candidate:
        if len(found) == 1:
            return found[0]
        typical_latency_ms = self.candidates.typical_latency_ms
        return min(
            found,
            key=lambda each: each.stats.expected_wait_ms(
                self.now_s, typical_latency_ms=typical_latency_ms
            ),
        )


def draw_version(
    candidates: CandidateSet,
    *,
    established: str,
    generator: random.Random,
) -> tuple[str, ...]:
    """Return the versions to try, the first one drawn by weight.

    The established version is the fallback for a version that cannot take the
    request, never the other way round, so that a new version gets no more
    than its share.
    """
    weights = candidates.weights
    if len(weights) == 1:
        return tuple(weights)
    drawn = generator.choices(list(weights), list(weights.values()))[0]
    if drawn == established or established not in weights:
        return (drawn,)
    return (drawn, established)

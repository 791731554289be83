"""The choice of one target among the candidates."""

import random
from collections.abc import Collection
from dataclasses import dataclass, field
from itertools import chain

from .candidates import Candidate, CandidateSet
from .capacity import CapacityLender, Permit
from .shift import ShiftGovernor

_COMPARED = 2
# Draws may hit a target that is busy or ramping up; after so many the
# candidates are searched one by one.
_MAX_DRAWS = 6


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen candidate; ``permit`` is held for work in another region."""

    candidate: Candidate
    permit: Permit | None = None


@dataclass(slots=True)
class Chooser:
    """One choice; collects in ``obstacles`` what stood in the way.

    Two candidates are drawn at random and the one with the shorter expected
    wait is taken. (Alternative considered: the shortest wait of all. Several
    instances with the same view then send to the same target at once.)
    """

    service: str
    candidates: CandidateSet
    governor: ShiftGovernor
    lender: CapacityLender
    generator: random.Random
    exclude: Collection[str]
    now_s: float
    obstacles: set[str] = field(default_factory=set)
    _full_regions: set[str] = field(default_factory=set)

    def choose(self, versions: Collection[str]) -> Choice | None:
        """Return a choice among the first version that allows one.

        Parameters
        ----------
        versions : collection of str
            Versions in order of preference.
        """
        for version in versions:
            tiers = self.candidates.by_version.get(version)
            if tiers is None:
                continue
            candidate = self._pick(tiers.near)
            if candidate is not None:
                return Choice(candidate)
            choice = self._pick_far(tiers.far)
            if choice is not None:
                return choice
            candidate = self._last_resort(tiers.near)
            if candidate is not None and not self.obstacles:
                return Choice(candidate)
        return None

    def _pick_far(self, far: list[Candidate]) -> Choice | None:
        regions = {each.cell.region for each in far}
        is_near_busy = 'target_busy' in self.obstacles
        had_cap = 'shift_cap' in self.obstacles
        while regions - self._full_regions:
            candidate = self._pick(far)
            if candidate is None:
                if is_near_busy and not had_cap:
                    # Waiting for a near target helps sooner than the cap.
                    self.obstacles.discard('shift_cap')
                return None
            region = candidate.cell.region
            permit = self.lender.acquire(self.service, region)
            if permit is not None:
                return Choice(candidate, permit)
            self.obstacles.add('region_capacity')
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
        """Return a target that refused a connection a moment ago.

        It is tried only when nothing else stands in the way: a request that
        can wait for a busy target should not use up its attempts here.
        """
        for candidate in pool:
            if self._state(candidate) == 'unreachable':
                return candidate
        return None

    def _draw(self, pool: list[Candidate]) -> list[Candidate]:
        drawn: list[Candidate] = []
        draws = 0
        while draws < _MAX_DRAWS and len(drawn) < _COMPARED:
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
        """Search all candidates, starting at a random one."""
        start = int(self.generator.random() * len(pool))
        found: list[Candidate] = []
        others: dict[str, Candidate] = {}
        for candidate in chain(pool[start:], pool[:start]):
            state = self._state(candidate)
            if state != 'ready':
                others.setdefault(state, candidate)
                continue
            found.append(candidate)
            if len(found) == _COMPARED:
                break
        if found:
            return self._better(found)
        if 'cold' in others:
            return others['cold']
        if 'blocked' in others:
            return self._raise_for(others['blocked'])
        return None

    def _state(self, candidate: Candidate) -> str:
        if not self._has_room(candidate):
            return 'full'
        if not self._is_allowed(candidate):
            return 'blocked'
        if not candidate.evidence.is_reachable(self.now_s):
            return 'unreachable'
        return 'ready' if self._passes_ramp(candidate) else 'cold'

    def _raise_for(self, candidate: Candidate) -> Candidate | None:
        if self.governor.raise_ceiling(candidate.cell, self.now_s):
            return candidate
        self.obstacles.add('shift_cap')
        return None

    def _is_allowed(self, candidate: Candidate) -> bool:
        return self.governor.allows(candidate.cell)

    def _has_room(self, candidate: Candidate) -> bool:
        if candidate.address in self.exclude:
            return False
        if candidate.cell.region in self._full_regions:
            return False
        if candidate.evidence.has_room(candidate.ramp):
            return True
        self.obstacles.add('target_busy')
        return False

    def _better(self, found: list[Candidate]) -> Candidate:
        if len(found) == 1:
            return found[0]
        typical_ms = self.candidates.typical_ms
        return min(
            found,
            key=lambda each: each.evidence.expected_wait_ms(
                self.now_s, typical_ms=typical_ms
            ),
        )


def draw_version(
    candidates: CandidateSet,
    *,
    established: str,
    generator: random.Random,
) -> tuple[str, ...]:
    """Return the versions to try, the first drawn by the weights.

    The established version of the service stands in for a version that
    cannot take the request, never the other way round, so that a version on
    trial gets no more than its share.
    """
    weights = candidates.weights
    if len(weights) == 1:
        return tuple(weights)
    drawn = generator.choices(list(weights), list(weights.values()))[0]
    if drawn == established or established not in weights:
        return (drawn,)
    return (drawn, established)

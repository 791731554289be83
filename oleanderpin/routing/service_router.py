"""Routing state of one service at this instance."""

import random
import threading
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from ..control.state import Profile, Service
from ..core.errors import Refusal, RefusalDetails
from ..targets.table import Target
from .candidates import Candidate, CandidateSet, cell_of, group
from .capacity import CapacityLender
from .choice import Choice, Chooser, draw_version
from .ejection import Ejection
from .evidence import TargetEvidence
from .outcome import AttemptOutcome
from .shift import ShiftGovernor
from .shift_budget import ShiftPool
from .slow_start import SlowStart

# Leaving and draining targets get no new work after this time at the latest;
# the limit for that is 3 s.
_REFRESH_INTERVAL_S = 0.25
_REMEDIES: Mapping[str, str] = {
    'shift_cap': 'repeat later, or raise shift_cap_percent of the profile',
    'region_capacity': 'repeat later, or add targets to this region',
    'target_busy': 'repeat later, or add targets',
    'no_target': 'start targets, or end a drain',
}


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What the router knows of a service from other concerns.

    Parameters
    ----------
    targets : sequence of Target
        Live targets, without leaving and draining ones.
    weights : mapping of str to float
        Share of each version.
    profile : Profile
        Profile of the service.
    sharers : int
        Live instances in the region, which share its targets.
    is_region_lost : bool
        Whether a region lost its last instance since the last call.
    """

    targets: Sequence[Target]
    weights: Mapping[str, float]
    profile: Profile
    sharers: int = 1
    is_region_lost: bool = False


Survey = Callable[[Service], Surroundings]


class ServiceRouter:
    """Chooses targets of one service.

    Parameters
    ----------
    service : Service
        The service.
    region : str
        Region of the instance.
    survey : callable
        Reads targets, versions and profile from their owners.
    lender : CapacityLender
        Lends permits for other regions.
    generator : random.Random
        Source of randomness.
    now_s : float
        Monotonic time.
    shift_pool : ShiftPool, optional
        The part of the service's shift cap that the fleet shares.
    """

    def __init__(
        self,
        service: Service,
        *,
        region: str,
        survey: Survey,
        lender: CapacityLender,
        generator: random.Random,
        now_s: float,
        shift_pool: ShiftPool | None = None,
    ) -> None:
        """Start without an earlier split and without evidence."""
        self._service = service
        self._region = region
        self._survey = survey
        self._lender = lender
        self._generator = generator
        self._lock = threading.Lock()
        self._evidence: dict[str, TargetEvidence] = {}
        self._ejection = Ejection()
        self._slow_start = SlowStart()
        self._due_s = float('-inf')
        self._candidates = CandidateSet({}, {}, 1.0, frozenset())
        profile = Profile(name='')
        self.governor = ShiftGovernor(
            cap_percent=profile.shift_cap_percent,
            interval_s=profile.shift_interval_s,
            now_s=now_s,
            pool=shift_pool,
        )

    def invalidate(self) -> None:
        """Read targets, drains and versions again before the next choice."""
        self._due_s = float('-inf')

    def choose(
        self, service: Service, *, exclude: Collection[str], now_s: float
    ) -> Choice:
        """Choose a target and count the request in flight there.

        Raises
        ------
        Refusal
            ``no_target``, ``target_busy``, ``region_capacity`` or
            ``shift_cap``; the request has not run.
        """
        with self._lock:
            self._service = service
            self._refresh(now_s)
            # Further attempts of a request belong to its first offer.
            if not exclude and not self.governor.offer(now_s):
                raise self._refusal({'shift_cap'}, now_s)
            chooser = Chooser(
                service=service.name,
                candidates=self._candidates,
                governor=self.governor,
                lender=self._lender,
                generator=self._generator,
                exclude=exclude,
                now_s=now_s,
            )
            versions = draw_version(
                self._candidates,
                established=service.version,
                generator=self._generator,
            )
            choice = chooser.choose(versions)
            if choice is None:
                if not exclude and 'shift_cap' not in chooser.obstacles:
                    self.governor.withdraw()
                raise self._refusal(chooser.obstacles, now_s)
            self.governor.admit(choice.candidate.cell)
            choice.candidate.evidence.in_flight += 1
            return choice

    def release(self, choice: Choice) -> None:
        """Count the request of a choice as ended."""
        with self._lock:
            choice.candidate.evidence.in_flight -= 1
        if choice.permit is not None:
            choice.permit.release()

    def note_outcome(
        self, choice: Choice, outcome: AttemptOutcome, *, now_s: float
    ) -> None:
        """Record what an attempt at the chosen target came to."""
        address = choice.candidate.address
        with self._lock:
            choice.candidate.evidence.note_outcome(outcome, now_s=now_s)
            if outcome.result == 'no_connection':
                self.governor.refund(choice.candidate.cell)
            if self._ejection.note_outcome(address, outcome, now_s=now_s):
                self.invalidate()

    def slots(self, service: Service, *, now_s: float) -> int:
        """Return how many requests this instance may run at once."""
        with self._lock:
            self._service = service
            self._refresh(now_s)
            limit = 0
            regions: set[str] = set()
            for tiers in self._candidates.by_version.values():
                limit += sum(
                    int(each.evidence.limit.value) for each in tiers.near
                )
                regions.update(other.cell.region for other in tiers.far)
        outside = sum(
            self._lender.available(service.name, region) for region in regions
        )
        return limit + outside

    def in_flight(self) -> dict[str, tuple[Target, int]]:
        """Return the requests in flight by address of the target."""
        with self._lock:
            return {
                address: (evidence.target, evidence.in_flight)
                for address, evidence in self._evidence.items()
                if evidence.in_flight
            }

    def _refresh(self, now_s: float) -> None:
        if now_s < self._due_s:
            return
        self._due_s = now_s + _REFRESH_INTERVAL_S
        around = self._survey(self._service)
        profile = around.profile
        self.governor.configure(
            cap_percent=profile.shift_cap_percent,
            interval_s=profile.shift_interval_s,
        )
        if around.is_region_lost:
            self.governor.restrict(now_s)
        self._follow(around, now_s)
        eligible = self._eligible(around, now_s)
        self._candidates = group(
            eligible,
            weights=around.weights,
            own_region=self._region,
            now_s=now_s,
        )
        self.governor.update(self._candidates.cells, now_s=now_s)

    def _follow(self, around: Surroundings, now_s: float) -> None:
        """Keep evidence of the live targets and of those still in use."""
        evidence = {
            address: each
            for address, each in self._evidence.items()
            if each.in_flight
        }
        for target in around.targets:
            known = self._evidence.get(target.address)
            if known is None:
                known = TargetEvidence(
                    target, now_s=now_s, instances=around.sharers
                )
            known.note_announcement(target, now_s=now_s)
            evidence[target.address] = known
        if not evidence.keys() >= self._evidence.keys():
            self._ejection.forget_absent(evidence)
        self._evidence = evidence

    def _eligible(self, around: Surroundings, now_s: float) -> list[Candidate]:
        ejected = self._ejection.ejected(around.targets, now_s=now_s)
        targets = [
            target for target in around.targets if target.address not in ejected
        ]
        self._slow_start.update(
            [target.address for target in targets], now_s=now_s
        )
        factors = self._slow_start.factors(
            now_s=now_s, ramp_s=around.profile.slow_start_s
        )
        return [
            Candidate(
                target.address,
                cell_of(target),
                self._evidence[target.address],
                factors[target.address],
            )
            for target in targets
        ]

    def _refusal(self, obstacles: set[str], now_s: float) -> Refusal:
        reason = next(
            (each for each in _REMEDIES if each in obstacles), 'no_target'
        )
        retry_after_s = 1.0
        if reason == 'shift_cap':
            retry_after_s = self.governor.retry_after_s(now_s)
        elif reason == 'target_busy':
            retry_after_s = max(0.1, self._candidates.typical_ms / 1000)
        return Refusal(
            reason,
            f'no target of {self._service.name!r} can take the request',
            remedy=_REMEDIES[reason],
            details=RefusalDetails(
                retry_after_s=retry_after_s,
                suggest_instances=reason == 'no_target',
            ),
        )

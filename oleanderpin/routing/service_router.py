"""Routing of one service at this instance."""

import random
import threading
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from ..control.state import Profile, Service
from ..core.errors import Refusal, RefusalDetails
from ..targets.table import Target
from .candidates import Candidate, CandidateSet, cell_of, group_candidates
from .capacity import PermitSource
from .choice import Choice, Chooser, draw_version
from .ejection import Ejection
from .outcome import AttemptOutcome
from .shift import ShiftLimiter
from .shift_budget import ShiftPool
from .slow_start import SlowStart
from .target_stats import TargetStats

# Leaving and draining targets get no new requests after at most this time; the
# requirement is 3 s.
_REFRESH_INTERVAL_S = 0.25
_REMEDIES: Mapping[str, str] = {
    'shift_cap': 'repeat later, or raise shift_cap_percent of the profile',
    'region_capacity': 'repeat later, or add targets to this region',
    'target_busy': 'repeat later, or add targets',
    'no_target': 'start targets, or end a drain',
}


@dataclass(frozen=True, slots=True)
class ServiceSnapshot:
    """Targets, weights and profile of a service at one point in time.

    Parameters
    ----------
    targets : sequence of Target
        Live targets, except leaving and draining ones.
    weights : mapping of str to float
        Weight of each version.
    profile : Profile
        Profile of the service.
    local_instances : int
        Live instances in the region, which share its targets.
    is_region_lost : bool
        Whether a region has lost its last instance since the last snapshot.
    """

    targets: Sequence[Target]
    weights: Mapping[str, float]
    profile: Profile
    local_instances: int = 1
    is_region_lost: bool = False


SnapshotReader = Callable[[Service], ServiceSnapshot]


class ServiceRouter:
    """Chooses targets of one service.

    Parameters
    ----------
    service : Service
        The service.
    region : str
        Region of the instance.
    read_snapshot : callable
        Returns the current targets, weights and profile of the service.
    permit_source : PermitSource
        Grants permits for other regions.
    generator : random.Random
        Random number generator.
    now_s : float
        Monotonic time.
    shift_pool : ShiftPool, optional
        Fleet-wide share of the service's shift cap.
    """

    def __init__(
        self,
        service: Service,
        *,
        region: str,
        read_snapshot: SnapshotReader,
        permit_source: PermitSource,
        generator: random.Random,
        now_s: float,
        shift_pool: ShiftPool | None = None,
    ) -> None:
        """Start without a baseline split and without statistics."""
        self._service = service
        self._region = region
        self._read_snapshot = read_snapshot
        self._permit_source = permit_source
        self._generator = generator
        self._lock = threading.Lock()
        self._target_stats: dict[str, TargetStats] = {}
        self._ejection = Ejection()
        self._slow_start = SlowStart()
        self._due_s = float('-inf')
        self._candidates = CandidateSet({}, {}, 1.0, frozenset())
        profile = Profile(name='')
        self.shift_limiter = ShiftLimiter(
            cap_percent=profile.shift_cap_percent,
            interval_s=profile.shift_interval_s,
            now_s=now_s,
            pool=shift_pool,
        )

    def invalidate(self) -> None:
        """Force a refresh before the next choice."""
        self._due_s = float('-inf')

    def choose(
        self, service: Service, *, exclude: Collection[str], now_s: float
    ) -> Choice:
        """Choose a target and count the request as in flight.

        Raises
        ------
        Refusal
            ``no_target``, ``target_busy``, ``region_capacity`` or
            ``shift_cap``; the request has not run.
        """
        with self._lock:
            self._service = service
            self._refresh(now_s)
            # Retries of a request were counted with its first attempt.
            if not exclude and not self.shift_limiter.offer(now_s):
                raise self._refusal({'shift_cap'}, now_s)
            chooser = Chooser(
                service=service.name,
                candidates=self._candidates,
                shift_limiter=self.shift_limiter,
                permit_source=self._permit_source,
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
                if not exclude and 'shift_cap' not in chooser.rejection_reasons:
                    self.shift_limiter.withdraw()
                raise self._refusal(chooser.rejection_reasons, now_s)
            self.shift_limiter.admit(choice.candidate.cell)
            choice.candidate.stats.in_flight += 1
            return choice

    def release(self, choice: Choice) -> None:
        """End the request of a choice and release its permit."""
        with self._lock:
            choice.candidate.stats.in_flight -= 1
        if choice.permit is not None:
            choice.permit.release()

    def record_outcome(
        self, choice: Choice, outcome: AttemptOutcome, *, now_s: float
    ) -> None:
        """Record the outcome of an attempt at the chosen target."""
        address = choice.candidate.address
        with self._lock:
            choice.candidate.stats.record_outcome(outcome, now_s=now_s)
            if outcome.result == 'no_connection':
                self.shift_limiter.refund(choice.candidate.cell)
            if self._ejection.record_outcome(address, outcome, now_s=now_s):
                self.invalidate()

    def slots(self, service: Service, *, now_s: float) -> int:
        """Return how many requests this instance may run concurrently."""
        with self._lock:
            self._service = service
            self._refresh(now_s)
            limit = 0
            regions: set[str] = set()
            for tiers in self._candidates.by_version.values():
                limit += sum(
                    int(each.stats.limit.value) for each in tiers.local
                )
                regions.update(other.cell.region for other in tiers.remote)
        outside = sum(
            self._permit_source.available(service.name, region)
            for region in regions
        )
        return limit + outside

    def in_flight(self) -> dict[str, tuple[Target, int]]:
        """Return the requests in flight by target address."""
        with self._lock:
            return {
                address: (stats.target, stats.in_flight)
                for address, stats in self._target_stats.items()
                if stats.in_flight
            }

    def _refresh(self, now_s: float) -> None:
        if now_s < self._due_s:
            return
        self._due_s = now_s + _REFRESH_INTERVAL_S
        snapshot = self._read_snapshot(self._service)
        profile = snapshot.profile
        self.shift_limiter.configure(
            cap_percent=profile.shift_cap_percent,
            interval_s=profile.shift_interval_s,
        )
        if snapshot.is_region_lost:
            self.shift_limiter.restrict(now_s)
        self._update_targets(snapshot, now_s)
        eligible = self._eligible(snapshot, now_s)
        self._candidates = group_candidates(
            eligible,
            weights=snapshot.weights,
            own_region=self._region,
            now_s=now_s,
        )
        self.shift_limiter.update(self._candidates.cells, now_s=now_s)

    def _update_targets(self, snapshot: ServiceSnapshot, now_s: float) -> None:
        """Keep statistics of live targets and of those with requests in flight."""
        stats = {
            address: each
            for address, each in self._target_stats.items()
            if each.in_flight
        }
        for target in snapshot.targets:
            target_stats = self._target_stats.get(target.address)
            if target_stats is None:
                target_stats = TargetStats(
                    target, now_s=now_s, instances=snapshot.local_instances
                )
            target_stats.record_announcement(target, now_s=now_s)
            stats[target.address] = target_stats
        if not stats.keys() >= self._target_stats.keys():
            self._ejection.remove_absent(stats)
        self._target_stats = stats

    def _eligible(
        self, snapshot: ServiceSnapshot, now_s: float
    ) -> list[Candidate]:
        ejected = self._ejection.ejected(snapshot.targets, now_s=now_s)
        targets = [
            target
            for target in snapshot.targets
            if target.address not in ejected
        ]
        self._slow_start.update(
            [target.address for target in targets], now_s=now_s
        )
        factors = self._slow_start.factors(
            now_s=now_s, ramp_s=snapshot.profile.slow_start_s
        )
        return [
            Candidate(
                target.address,
                cell_of(target),
                self._target_stats[target.address],
                factors[target.address],
            )
            for target in targets
        ]

    def _refusal(self, rejection_reasons: set[str], now_s: float) -> Refusal:
        reason = next(
            (each for each in _REMEDIES if each in rejection_reasons),
            'no_target',
        )
        retry_after_s = 1.0
        if reason == 'shift_cap':
            retry_after_s = self.shift_limiter.retry_after_s(now_s)
        elif reason == 'target_busy':
            retry_after_s = max(0.1, self._candidates.typical_latency_ms / 1000)
        return Refusal(
            reason,
            f'no target of {self._service.name!r} can take the request',
            remedy=_REMEDIES[reason],
            details=RefusalDetails(
                retry_after_s=retry_after_s,
                suggest_instances=reason == 'no_target',
            ),
        )

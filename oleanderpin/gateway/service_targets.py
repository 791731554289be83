"""Targets of each service, with the health that this instance observed."""

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from ..control.state import Service
from ..control.view import ControlView
from ..core.clock import monotonic_s
from ..core.places import distance
from ..moves.drains import Drains
from ..moves.split import ANY_VERSION, VersionSplit
from ..routing.region_loads import LoadKey
from ..routing.target_limits import TargetLimits, parse_limit_per_s
from ..targets.announcement import Incarnation
from ..targets.table import TargetTable
from .candidate import (
    Candidate,
)
from .load_reports import LoadReporter
from .placement import order_candidates
from .rate_limited_log import RateLimitedLog
from .region_split import RegionCapacity, RegionSplit
from .route_durations import RouteDurations
from .target_health import TargetHealth
from .target_states import TargetStates

_MAX_CACHED_ORDERS = 5000
# Weight of the newest response in the moving average of a service's duration.
_AVERAGE_WEIGHT = 0.05

# Load of a target by which its limit is weighed at least: an idle fleet leaves
# room for all objects of a limited target.
_MIN_WEIGHING_LOAD = 0.25
_MIN_WEIGHT = 1 / 16

# Service and run of a target.
_HealthKey = tuple[str, Incarnation]
_OrderKey = tuple[str, str, tuple[str, ...], str, bool]


@dataclass(slots=True)
class ServiceTargets:
    """Candidates of one service, with cached orders by object."""

    split: RegionSplit
    candidates: list[Candidate] = field(default_factory=list)
    usual_s: float = 0.0
    slots: dict[str, float] = field(init=False)
    _is_limited: bool = False
    _orders: dict[_OrderKey, list[list[Candidate]]] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        """Add up the slots of each region."""
        # Limits outlive the list of candidates.
        self._is_limited = any(
            each.health.limit is not None for each in self.candidates
        )
        self.add_up_slots(monotonic_s())

    def add_up_slots(self, now_s: float) -> None:
        """Add up the slots of each region, without leaving targets."""
        self.slots = {}
        for each in self.candidates:
            if each.health.is_leaving:
                continue
            region = each.target.region
            usable = each.health.usable_slots(self.usual_s, now_s)
            self.slots[region] = self.slots.get(region, 0) + usable

    def ordered(
        self,
        key: str,
        version: str,
        regions: tuple[str, ...],
        *,
        has_large_body: bool = False,
    ) -> list[list[Candidate]]:
        """Return the candidates of a version in the order of an object.

        They are grouped by region, with the object's home region first.

        Parameters
        ----------
        key : str
            Name of the object.
        version : str
            Version of the service; empty for any.
        regions : tuple of str
            Regions that may be used; empty for all.
        has_large_body : bool
            Whether the request has a large body.
        """
        home = self.split.home_region(key, regions or self.slots)
        order_key = (key, version, regions, home, has_large_body)
        found = self._orders.get(order_key)
        if found is None:
            allowed = [
                each
                for each in self.candidates
                if version in {ANY_VERSION, each.target.version}
                and (not regions or each.target.region in regions)
            ]
            found = order_candidates(
                key, allowed, home=home, has_large_body=has_large_body
            )
            if len(self._orders) >= _MAX_CACHED_ORDERS:
                self._orders.clear()
            self._orders[order_key] = found
        return found

    def note_lost(self, lost: Sequence[Candidate], now_s: float) -> None:
        """Account for targets that leave, as for drained ones."""
        self.add_up_slots(now_s)
        if any(each.is_in_region for each in lost):
            self.split.note_target_loss(now_s)

    def update_limits(self, limits: TargetLimits, now_s: float) -> None:
        """Apply the limits that targets named.

        A limited target keeps the part of its objects that its limit leaves
        room for. If all stayed, requests beyond the limit would load them again
        at other targets, each time for one request.
        """
        is_limited = limits.has_limits
        if not is_limited and not self._is_limited:
            return
        self._is_limited = is_limited
        has_moved = False
        for each in self.candidates:
            target = each.target
            limit_per_s = limits.limit_per_s(target.target_id, now_s)
            each.health.set_limit(limit_per_s, now_s)
            usable = each.health.usable_slots(self.usual_s, now_s)
            weight = self._weight(each, usable)
            has_moved = has_moved or weight != each.health.weight
            each.health.weight = weight
        self.add_up_slots(now_s)
        if has_moved:
            self._orders.clear()

    def _weight(self, candidate: Candidate, usable_slots: float) -> float:
        """Return the part of the objects of a candidate, relative to others."""
        health = candidate.health
        if health.limit is None:
            return 1.0
        load = self.split.load_of(candidate.target.region)
        used = health.slots * min(1.0, max(load, _MIN_WEIGHING_LOAD))
        return _rounded_weight(usable_slots / used)

    def versions(self) -> set[str]:
        """Return the versions of the candidates that stay."""
        return {
            each.target.version
            for each in self.candidates
            if not each.health.is_leaving
        }

    def in_flight(self) -> dict[str, int]:
        """Return the requests in flight from this instance, by region."""
        counts = dict.fromkeys(self.slots, 0)
        for each in self.candidates:
            region = each.target.region
            counts[region] = counts.get(region, 0) + each.health.in_flight
        return counts

    def update_split(
        self, fleet: Mapping[str, float] | None, now_s: float
    ) -> None:
        """Adjust the region split to the loads of the regions.

        Parameters
        ----------
        fleet : mapping of str to float or None
            Requests of all instances by region; None if unknown.
        now_s : float
            Monotonic time.
        """
        self.split.estimate_from_slots(self.slots, now_s)
        capacities = {}
        for region, slots in self.slots.items():
            if fleet is not None:
                in_flight = fleet.get(region, 0.0)
            elif region == self.split.own_region:
                in_flight = self._observed_busy(region, now_s)
            else:
                # The last known load; a load that was not reported must not
                # count as spare capacity.
                in_flight = self.split.load_of(region) * slots
            capacities[region] = RegionCapacity(slots, in_flight)
        self.split.update(capacities, now_s)
        if fleet is not None:
            for each in self.candidates:
                load = self.split.load_of(each.target.region)
                each.health.expected_busy = load * each.health.slots

    def _observed_busy(self, region: str, now_s: float) -> float:
        return sum(
            each.health.busy(now_s)
            for each in self.candidates
            if each.target.region == region
        )

    def note_duration(self, duration_s: float) -> None:
        """Update the usual duration with that of a warm object."""
        if self.usual_s:
            self.usual_s += (duration_s - self.usual_s) * _AVERAGE_WEIGHT
        else:
            self.usual_s = duration_s


class TargetDirectory:
    """Targets by service, from the target table without draining targets.

    Parameters
    ----------
    kernel : Kernel
        Provides the target table and drains.
    log : RateLimitedLog
        Log of targets that leave or pause.
    """

    def __init__(self, kernel: Any, log: RateLimitedLog) -> None:
        """Start without targets."""
        self._table = kernel.plugin(TargetTable)
        self._drains = kernel.plugin(Drains)
        self._view = kernel.plugin(ControlView)
        self._split = kernel.plugin(VersionSplit)
        self._random = random.Random()
        self._instance = kernel.settings.instance
        self.reporter = kernel.plugin(LoadReporter)
        self.states = TargetStates(
            self.reporter.leaving,
            log,
            drain_s=kernel.settings.gateway.target_drain_s,
        )
        self._services: dict[str, ServiceTargets] = {}
        self._health: dict[_HealthKey, TargetHealth] = {}
        self._drained: set[_HealthKey] = set()
        self._seen_version = -1
        self._seen_drains: Any = None
        self.durations = RouteDurations()

    def for_service(self, service: str) -> ServiceTargets:
        """Return the targets of a service."""
        state = self._view.state
        if (
            self._seen_version != self._table.version
            or self._seen_drains is not state.drains
        ):
            self._seen_version = self._table.version
            self._seen_drains = state.drains
            self._refresh()
        found = self._services.get(service)
        if found is None:
            found = self._new_service()
            self._services[service] = found
        return found

    def observe_limit(self, candidate: Candidate, header: bytes | None) -> bool:
        """Record the limit that a response named, if any.

        Parameters
        ----------
        candidate : Candidate
            Target that responded.
        header : bytes or None
            Value of the header that names a limit.

        Returns
        -------
        bool
            Whether the limit begins or ends with this response.
        """
        limit_per_s = parse_limit_per_s(header)
        if limit_per_s is None:
            return False
        now_s = monotonic_s()
        candidate.health.set_limit(limit_per_s, now_s)
        return self.reporter.limits.observe(
            candidate.target.target_id, limit_per_s, now_s
        )

    def choose_version(self, service: Service, targets: ServiceTargets) -> str:
        """Return the version for a request, by the split of the service.

        Parameters
        ----------
        service : Service
            Service of the request.
        targets : ServiceTargets
            Its targets; versions without any are left out.
        """
        weights = self._split.weights(service)
        versions = [
            version for version, weight in weights.items() if weight > 0
        ]
        if len(versions) == 1:
            return versions[0]
        present = targets.versions()
        usable = [
            version for version in versions if not version or version in present
        ] or versions
        return self._random.choices(
            usable, [weights[version] for version in usable]
        )[0]

    def note_leaving(self, candidate: Candidate, cause: str) -> None:
        """Record that a target said in a response that it leaves.

        Parameters
        ----------
        candidate : Candidate
            The target.
        cause : str
            Id of the request that it responded to.
        """
        if self.states.note_leaving(candidate, cause):
            service = self._services[candidate.target.service]
            service.note_lost([candidate], monotonic_s())

    def possibly_restarted(self) -> list[Candidate]:
        """Return targets that may have restarted and may be asked."""
        now_s = monotonic_s()
        return [
            each
            for service in self._services.values()
            for each in service.candidates
            if each.health.may_have_restarted
            and not each.health.is_ejected(now_s)
            and not each.health.declines(now_s, now_s)
            and not each.health.is_leaving
        ]

    def update_splits(self) -> list[tuple[str, RegionSplit]]:
        """Adjust the region split of each service to the regions' loads.

        Returns
        -------
        list of tuple of str and RegionSplit
            Services whose shares changed noticeably, and their splits.
        """
        now_s = monotonic_s()
        self.reporter.note_sample(
            {
                LoadKey(name, region): count
                for name, service in self._services.items()
                for region, count in service.in_flight().items()
            }
        )
        fleet = self.reporter.fleet()
        self.states.end_pauses()
        for name, service in self._services.items():
            lost = self.states.apply_reported(service.candidates)
            if lost:
                service.note_lost(lost, now_s)
            service.update_limits(self.reporter.limits, now_s)
            service.update_split(_loads_of_service(fleet, name), now_s)
        return [
            (name, service.split)
            for name, service in self._services.items()
            if service.split.take_change()
        ]

    def _refresh(self) -> None:
        by_service: dict[str, list[Candidate]] = {}
        health: dict[_HealthKey, TargetHealth] = {}
        drained: set[_HealthKey] = set()
        announced = self._table.every_incarnation()
        started = {_place_of(key) for key in self._health}
        for target, incarnation in announced:
            key = (target.service, incarnation)
            if self._drains.is_draining(target):
                drained.add(key)
                continue
            observed = self._health.get(key) or TargetHealth(
                target.slots, may_have_restarted=_place_of(key) in started
            )
            # It may have become cold while it was drained.
            observed.may_have_restarted = (
                observed.may_have_restarted or key in self._drained
            )
            observed.slots = target.slots
            health[key] = observed
            by_service.setdefault(target.service, []).append(
                Candidate(
                    target,
                    observed,
                    distance(self._instance, target),
                    incarnation.generation,
                )
            )
        self._health = {**self._health_of_missing(health), **health}
        self._drained = drained
        self.states.note_present({each for _target, each in announced})
        for name in self._services.keys() | by_service.keys():
            known = self._services.get(name) or self._new_service()
            candidates = by_service.get(name, [])
            self.states.apply_reported(candidates)
            if _own_region_ids(known.candidates) - _own_region_ids(candidates):
                known.split.note_target_loss(monotonic_s())
            self._services[name] = ServiceTargets(
                known.split, candidates, known.usual_s
            )

    def _new_service(self) -> ServiceTargets:
        return ServiceTargets(RegionSplit(self._instance.region, monotonic_s()))

    def _health_of_missing(
        self, current: Mapping[_HealthKey, TargetHealth]
    ) -> dict[_HealthKey, TargetHealth]:
        """Return the health of missing targets in use or in a pause."""
        now_s = monotonic_s()
        return {
            key: health
            for key, health in self._health.items()
            if key not in current
            and (health.in_flight or health.is_paused(now_s))
        }


def _place_of(key: _HealthKey) -> tuple[str, str, str]:
    """Return service, id and address, which a target may start again under."""
    service, incarnation = key
    return service, incarnation.target_id, incarnation.address


def _rounded_weight(weight: float) -> float:
    """Return a weight in steps, so that gateways come to the same one.

    Parameters
    ----------
    weight : float
        Relative capacity of a target; 1 or more without a limit that binds.
    """
    bounded = min(1.0, max(weight, _MIN_WEIGHT))
    return 2.0 ** round(math.log2(bounded))


def _loads_of_service(
    fleet: Mapping[LoadKey, float] | None, name: str
) -> dict[str, float] | None:
    if fleet is None:
        return None
    return {
        key.region: count for key, count in fleet.items() if key.service == name
    }


def _own_region_ids(candidates: Sequence[Candidate]) -> set[str]:
    return {
        each.target.target_id
        for each in candidates
        if each.is_in_region and not each.health.is_leaving
    }

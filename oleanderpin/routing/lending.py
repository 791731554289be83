"""Permits for other regions, leased from the ledger on the control leader."""

import threading
from collections import Counter, defaultdict, deque
from typing import Any

from ..control.view import ControlView
from ..core.background import background_thread
from ..core.clock import Clock
from ..core.plugin import Plugin, plugins
from ..limits.allocator import ShareAllocator
from ..limits.holder import Holder
from ..limits.messages import Quota
from ..limits.shares import ShareHolder
from ..membership.peers import Peers
from ..targets.announcement import Target
from ..targets.table import TargetTable
from .capacity import Permit, spare_slots
from .router import Router

_UPDATE_INTERVAL_S = 1.0
# The rest is kept for the region's own callers, whose load becomes known late.
_LENDABLE_FRACTION = 0.5
_RESERVE_PERMITS = 1
# A request without a leased permit counts as demand for this long, so that the
# lease grows.
_UNMET_DEMAND_S = 1.0
_MAX_UNMET_REQUESTS = 32


def region_resource(service: str, region: str) -> str:
    """Return the ledger's resource name for a service's slots in a region."""
    return f'region/{service}/{region}'


class _LeasedPermit:
    __slots__ = ('_capacity', '_is_reserve', '_resource')

    def __init__(
        self, capacity: 'LeasedCapacity', resource: str, *, is_reserve: bool
    ) -> None:
        self._capacity: LeasedCapacity | None = capacity
        self._resource = resource
        self._is_reserve = is_reserve

    def release(self) -> None:
        capacity = self._capacity
        self._capacity = None
        if capacity is not None:
            capacity.release(self._resource, is_reserve=self._is_reserve)


class LeasedCapacity:
    """Grants permits from this instance's leases, and one reserve permit.

    Parameters
    ----------
    holder : Holder
        Holds the leases.
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, holder: Holder, *, clock: Clock) -> None:
        """Start without permits in use."""
        self._holder = holder
        self._clock = clock
        self._lock = threading.Lock()
        self._leased_in_use: Counter[str] = Counter()
        self._reserve_in_use: Counter[str] = Counter()
        self._unmet_expiries_s: defaultdict[str, deque[float]] = defaultdict(
            deque
        )

    def acquire(self, service: str, region: str) -> Permit | None:
        """Return a permit for one request, or None when all are in use."""
        resource = region_resource(service, region)
        self._holder.track(resource, is_permit=True)
        with self._lock:
            self._expire_unmet(resource)
            if self._holder.take(resource):
                self._leased_in_use[resource] += 1
                return _LeasedPermit(self, resource, is_reserve=False)
            self._record_unmet(resource)
            if self._reserve_in_use[resource] >= _RESERVE_PERMITS:
                return None
            self._reserve_in_use[resource] += 1
        return _LeasedPermit(self, resource, is_reserve=True)

    def available(self, service: str, region: str) -> int:
        """Return how many permits could be acquired now."""
        resource = region_resource(service, region)
        _rate_per_s, burst, _tokens = self._holder.held(resource)
        with self._lock:
            leased = max(0, int(burst) - self._leased_in_use[resource])
            return leased + _RESERVE_PERMITS - self._reserve_in_use[resource]

    def release(self, resource: str, *, is_reserve: bool) -> None:
        """Return one permit to the pool."""
        with self._lock:
            if is_reserve:
                self._reserve_in_use[resource] -= 1
                return
            self._leased_in_use[resource] -= 1
            self._holder.give_back(resource)

    def _record_unmet(self, resource: str) -> None:
        unmet = self._unmet_expiries_s[resource]
        if len(unmet) < _MAX_UNMET_REQUESTS:
            unmet.append(self._clock.now_s() + _UNMET_DEMAND_S)
            self._holder.note_waiting(resource, 1)

    def _expire_unmet(self, resource: str) -> None:
        unmet = self._unmet_expiries_s[resource]
        now_s = self._clock.now_s()
        while unmet and unmet[0] <= now_s:
            unmet.popleft()
            self._holder.note_waiting(resource, -1)


@plugins.register('region-lending')
class RegionLending(Plugin):
    """Connects the router to the permits that this instance holds."""

    roles = frozenset(('entry',))

    def start(self) -> None:
        """Set the permit source of the router."""
        holder = self.kernel.plugin(ShareHolder).holder
        permit_source = LeasedCapacity(holder, clock=self.kernel.clock)
        self.kernel.plugin(Router).use_lender(permit_source)


@plugins.register('region-spare')
class RegionSpareCapacity(Plugin):
    """Sets how many slots of each region the ledger may lease out."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Look up the plug-ins that provide targets and peers."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._table = kernel.plugin(TargetTable)
        self._peers = kernel.plugin(Peers)
        self._allocator = kernel.plugin(ShareAllocator)
        self._known_resources: set[str] = set()

    def start(self) -> None:
        """Start the update thread."""
        background_thread(
            self.kernel, self._update_loop, name='region-spare'
        ).start()

    def update(self) -> None:
        """Set the lendable permits from the announced targets."""
        defined = set()
        for service in self._view.state.services:
            by_region = defaultdict(list)
            for target in self._table.targets(service):
                by_region[target.region].append(target)
            for region, targets in by_region.items():
                resource = region_resource(service, region)
                defined.add(resource)
                permits = self._permits(resource, region, targets)
                self._allocator.set_whole(resource, Quota(0, permits))
        for resource in self._known_resources - defined:
            self._allocator.remove(resource)
        self._known_resources = defined

    def _permits(
        self, resource: str, region: str, targets: list[Target]
    ) -> int:
        slots = sum(target.slots for target in targets)
        in_use = sum(min(target.load, target.slots) for target in targets)
        lent = self._allocator.lent_burst(resource)
        # The reported load includes requests from other regions.
        used_inside = max(0, round(in_use - lent))
        outside = [
            peer
            for peer in self._peers.alive()
            if peer.region != region and 'entry' in peer.roles
        ]
        spare = spare_slots(
            slots=slots,
            used_inside=used_inside,
            outside_instances=len(outside),
        )
        return min(spare, int(slots * _LENDABLE_FRACTION))

    def _update_loop(self) -> None:
        while self.kernel.wait_while_running(_UPDATE_INTERVAL_S):
            self.update()

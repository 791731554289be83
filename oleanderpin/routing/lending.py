"""Permits for other regions, lent by the ledger on the control leader."""

import threading
from collections import Counter, defaultdict, deque
from typing import Any

from ..control.view import ControlView
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
# The rest stays free for the region's own callers, whose load is known late.
_LENT_PART = 0.5
_RESERVE = 1
# Refused work raises the demand for this long, so that the lease grows.
_UNMET_S = 1.0
_MAX_UNMET = 32


def region_resource(service: str, region: str) -> str:
    """Return the ledger's name of a service's slots in a region."""
    return f'region/{service}/{region}'


class _HeldPermit:
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
            capacity.give_back(self._resource, is_reserve=self._is_reserve)


class LeasedCapacity:
    """Permits from this instance's leases, and a reserve of one request.

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
        self._leased: Counter[str] = Counter()
        self._reserve: Counter[str] = Counter()
        self._unmet: defaultdict[str, deque[float]] = defaultdict(deque)

    def acquire(self, service: str, region: str) -> Permit | None:
        """Return a permit for one request, or None when all are in use."""
        resource = region_resource(service, region)
        self._holder.track(resource, is_permit=True)
        with self._lock:
            self._forget_unmet(resource)
            if self._holder.take(resource):
                self._leased[resource] += 1
                return _HeldPermit(self, resource, is_reserve=False)
            self._note_unmet(resource)
            if self._reserve[resource] >= _RESERVE:
                return None
            self._reserve[resource] += 1
        return _HeldPermit(self, resource, is_reserve=True)

    def available(self, service: str, region: str) -> int:
        """Return how many permits could be acquired now."""
        resource = region_resource(service, region)
        _rate_per_s, burst, _tokens = self._holder.held(resource)
        with self._lock:
            leased = max(0, int(burst) - self._leased[resource])
            return leased + _RESERVE - self._reserve[resource]

    def give_back(self, resource: str, *, is_reserve: bool) -> None:
        """Count one permit in use less."""
        with self._lock:
            if is_reserve:
                self._reserve[resource] -= 1
                return
            self._leased[resource] -= 1
            self._holder.give_back(resource)

    def _note_unmet(self, resource: str) -> None:
        unmet = self._unmet[resource]
        if len(unmet) < _MAX_UNMET:
            unmet.append(self._clock.now_s() + _UNMET_S)
            self._holder.note_waiting(resource, 1)

    def _forget_unmet(self, resource: str) -> None:
        unmet = self._unmet[resource]
        now_s = self._clock.now_s()
        while unmet and unmet[0] <= now_s:
            unmet.popleft()
            self._holder.note_waiting(resource, -1)


@plugins.register('region-lending')
class RegionLending(Plugin):
    """Gives the router the permits that this instance holds."""

    roles = frozenset(('entry',))

    def start(self) -> None:
        """Connect the router with the leases."""
        holder = self.kernel.plugin(ShareHolder).holder
        lender = LeasedCapacity(holder, clock=self.kernel.clock)
        self.kernel.plugin(Router).use_lender(lender)


@plugins.register('region-spare')
class RegionSpare(Plugin):
    """Tells the ledger how many slots of each region may be lent."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Find the sources of slots and instances."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._table = kernel.plugin(TargetTable)
        self._peers = kernel.plugin(Peers)
        self._allocator = kernel.plugin(ShareAllocator)
        self._known: set[str] = set()

    def start(self) -> None:
        """Start the updating thread."""
        threading.Thread(
            target=self._update_loop, name='region-spare', daemon=True
        ).start()

    def update(self) -> None:
        """Define what may be lent, from the announced targets."""
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
        for resource in self._known - defined:
            self._allocator.remove(resource)
        self._known = defined

    def _permits(
        self, resource: str, region: str, targets: list[Target]
    ) -> int:
        slots = sum(target.slots for target in targets)
        in_use = sum(min(target.load, target.slots) for target in targets)
        lent = self._allocator.lent_burst(resource)
        # The reported load holds the work of other regions as well.
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
        return min(spare, int(slots * _LENT_PART))

    def _update_loop(self) -> None:
        while self.kernel.wait_while_running(_UPDATE_INTERVAL_S):
            self.update()

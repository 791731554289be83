"""Permits for requests that are sent to targets of another region.

They keep instances of several regions that choose targets at the same time
from together overloading one region.
"""

import threading
from collections import Counter
from typing import Protocol

_RESERVE_PERMITS = 1


class Permit(Protocol):
    """Permission to run one request in another region."""

    def release(self) -> None:
        """Return the permit; further calls have no effect."""
        ...


class PermitSource(Protocol):
    """Grants permits for requests to other regions."""

    def acquire(self, service: str, region: str) -> Permit | None:
        """Return a permit for one request, or None when all are in use."""
        ...

    def available(self, service: str, region: str) -> int:
        """Return how many permits could be acquired now."""
        ...


class LeaseSource(Protocol):
    """Leases that the ledger grants on the spare slots of regions."""

    def leased(self, service: str, region: str) -> int | None:
        """Return the permits of a valid lease, or None without one."""
        ...


class _RegionPermit:
    __slots__ = ('_capacity', '_pool_key')

    def __init__(
        self, capacity: 'RegionCapacity', pool_key: '_PoolKey'
    ) -> None:
        self._capacity: RegionCapacity | None = capacity
        self._pool_key = pool_key

    def release(self) -> None:
        capacity = self._capacity
        self._capacity = None
        if capacity is not None:
            capacity.release(self._pool_key)


_PoolKey = tuple[str, str]


class RegionCapacity:
    """Grants the permits of leases, or one reserve permit without a lease.

    Parameters
    ----------
    leases : LeaseSource, optional
        Source of leases; without it only the reserve permit is granted.
    """

    def __init__(self, leases: LeaseSource | None = None) -> None:
        """Start without permits in use."""
        self._leases = leases
        self._lock = threading.Lock()
        self._in_use: Counter[_PoolKey] = Counter()

    def acquire(self, service: str, region: str) -> Permit | None:
        """Return a permit for one request, or None when all are in use.

        When a lease shrinks or expires, permits in use stay valid until
        their requests end; new ones are granted only up to the smaller lease.
        """
        pool_key = (service, region)
        allowed = self._allowed(service, region)
        with self._lock:
            if self._in_use[pool_key] >= allowed:
                return None
            self._in_use[pool_key] += 1
        return _RegionPermit(self, pool_key)

    def available(self, service: str, region: str) -> int:
        """Return how many permits could be acquired now."""
        allowed = self._allowed(service, region)
        return max(0, allowed - self.in_use(service, region))

    def in_use(self, service: str, region: str) -> int:
        """Return how many permits are in use, for renewing the lease."""
        with self._lock:
            return self._in_use[service, region]

    def release(self, pool_key: _PoolKey) -> None:
        """Return one permit to the pool."""
        with self._lock:
            self._in_use[pool_key] -= 1

    def _allowed(self, service: str, region: str) -> int:
        if self._leases is None:
            return _RESERVE_PERMITS
        leased = self._leases.leased(service, region)
        return _RESERVE_PERMITS if leased is None else leased


def spare_slots(*, slots: int, used_inside: int, outside_instances: int) -> int:
    """Return how many permits the ledger may lease out for a region.

    Parameters
    ----------
    slots : int
        Slots of the service's eligible targets in the region.
    used_inside : int
        Slots in use by instances of the region itself.
    outside_instances : int
        Live instances of other regions. Each may use its reserve permit
        while it holds no lease, so one slot per instance is never leased out.
    """
    reserve = outside_instances * _RESERVE_PERMITS
    return max(0, slots - used_inside - reserve)

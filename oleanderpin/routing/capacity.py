"""Permits for work that enters a region from outside."""

import threading
from collections import Counter
from typing import Protocol

_RESERVE = 1


class Permit(Protocol):
    """The right to run one request in another region."""

    def release(self) -> None:
        """Give the permit back; further calls have no effect."""
        ...


class CapacityLender(Protocol):
    """Lends permits to enter regions."""

    def acquire(self, service: str, region: str) -> Permit | None:
        """Return a permit for one request, or None when all are in use."""
        ...

    def available(self, service: str, region: str) -> int:
        """Return how many permits could be acquired now."""
        ...


class LeaseSource(Protocol):
    """Leases on a region's spare slots, as the ledger lends them."""

    def leased(self, service: str, region: str) -> int | None:
        """Return the permits under a valid lease; None without a lease."""
        ...


class _RegionPermit:
    __slots__ = ('_capacity', '_place')

    def __init__(self, capacity: 'RegionCapacity', place: '_Place') -> None:
        self._capacity: RegionCapacity | None = capacity
        self._place = place

    def release(self) -> None:
        capacity = self._capacity
        self._capacity = None
        if capacity is not None:
            capacity.give_back(self._place)


_Place = tuple[str, str]


class RegionCapacity:
    """Permits under leases, or a reserve of one request without a lease.

    Parameters
    ----------
    leases : LeaseSource, optional
        Without it only the reserve is lent.
    """

    def __init__(self, leases: LeaseSource | None = None) -> None:
        """Start without permits in use."""
        self._leases = leases
        self._lock = threading.Lock()
        self._in_use: Counter[_Place] = Counter()

    def acquire(self, service: str, region: str) -> Permit | None:
        """Return a permit for one request, or None when all are in use.

        When a lease shrinks or expires, permits in use stay valid until
        their requests end, and no new ones are lent above the smaller lease.
        """
        place = (service, region)
        allowed = self._allowed(service, region)
        with self._lock:
            if self._in_use[place] >= allowed:
                return None
            self._in_use[place] += 1
        return _RegionPermit(self, place)

    def available(self, service: str, region: str) -> int:
        """Return how many permits could be acquired now."""
        allowed = self._allowed(service, region)
        return max(0, allowed - self.in_use(service, region))

    def in_use(self, service: str, region: str) -> int:
        """Return how many permits are held, for the ledger's renewal."""
        with self._lock:
            return self._in_use[service, region]

    def give_back(self, place: _Place) -> None:
        """Count one permit in use less."""
        with self._lock:
            self._in_use[place] -= 1

    def _allowed(self, service: str, region: str) -> int:
        if self._leases is None:
            return _RESERVE
        leased = self._leases.leased(service, region)
        return _RESERVE if leased is None else leased


def spare_slots(*, slots: int, used_inside: int, outside_instances: int) -> int:
    """Return how many permits a ledger may lend for a region in total.

    Parameters
    ----------
    slots : int
        Slots of the service's eligible targets in the region.
    used_inside : int
        Slots in use by instances of the region itself.
    outside_instances : int
        Live instances of other regions. Each may use its reserve of one
        request while it holds no lease, so that much is never lent.
    """
    reserve = outside_instances * _RESERVE
    return max(0, slots - used_inside - reserve)

"""Tests of permits for other regions that are leased from one ledger."""

from ...limits.holder import Holder
from ...limits.ledger import Ledger
from ...limits.messages import Quota
from ...routing.capacity import Permit
from ...routing.lending import LeasedCapacity, region_resource
from ...testing import ManualClock

INSTANCES = 6
SPARE_SLOTS = 10
LEASE_S = 4.0


class Fleet:
    """Instances outside a region, and the ledger of its spare slots."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.ledger = Ledger(clock=self.clock, lease_s=LEASE_S)
        self.clock.advance(LEASE_S + 1)
        quota = Quota(0, SPARE_SLOTS)
        self.ledger.set_whole(region_resource('desk', 'south'), quota)
        self.holders = [
            Holder(
                clock=self.clock,
                name=f'i-{number}',
                incarnation=1,
                lease_s=LEASE_S,
            )
            for number in range(INSTANCES)
        ]
        self.permit_sources = [
            LeasedCapacity(holder, clock=self.clock) for holder in self.holders
        ]
        self.permits: list[Permit] = []

    def renew(self) -> None:
        for holder in self.holders:
            holder.apply(self.ledger.renew(holder.request()))

    def ask(self, count: int) -> None:
        for _each in range(count):
            for permit_source in self.permit_sources:
                permit = permit_source.acquire('desk', 'south')
                if permit is not None:
                    self.permits.append(permit)


def test_instances_that_decide_at_once_stay_within_the_spare_slots() -> None:
    """Guards against overloading a region from many instances at once."""
    fleet = Fleet()
    for _round in range(8):
        fleet.ask(10)
        fleet.renew()
        fleet.clock.advance(0.5)
    # Each instance may use its reserve permit in addition to the leases.
    assert SPARE_SLOTS <= len(fleet.permits) <= SPARE_SLOTS + INSTANCES


def test_unused_permits_go_to_the_instance_that_needs_them() -> None:
    """Guards against leases that stay with instances that do not use them."""
    fleet = Fleet()
    for _round in range(20):
        permit_source = fleet.permit_sources[0]
        permit = permit_source.acquire('desk', 'south')
        while permit is not None:
            fleet.permits.append(permit)
            permit = permit_source.acquire('desk', 'south')
        fleet.renew()
        fleet.clock.advance(0.5)
    assert len(fleet.permits) == SPARE_SLOTS + 1


def test_expired_lease_leaves_the_reserve() -> None:
    """Guards against a cut-off instance that keeps granting leased permits."""
    fleet = Fleet()
    fleet.ask(1)
    fleet.renew()
    fleet.clock.advance(LEASE_S + 1)
    for permit in fleet.permits:
        permit.release()
    assert fleet.permit_sources[0].acquire('desk', 'south') is not None
    assert fleet.permit_sources[0].acquire('desk', 'south') is None
    assert fleet.permit_sources[0].available('desk', 'south') == 0

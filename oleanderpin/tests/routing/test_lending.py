"""Permits for other regions under leases of one ledger."""

from ...limits.holder import Holder
from ...limits.ledger import Ledger
from ...limits.messages import Quota
from ...routing.capacity import Permit
from ...routing.lending import LeasedCapacity, region_resource
from ...testing import ManualClock

INSTANCES = 6
SPARE = 10
LEASE_S = 4.0


class Fleet:
    """Instances outside a region and the ledger of its spare slots."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.ledger = Ledger(clock=self.clock, lease_s=LEASE_S)
        self.clock.advance(LEASE_S + 1)
        whole = Quota(0, SPARE)
        self.ledger.set_whole(region_resource('desk', 'south'), whole)
        self.holders = [
            Holder(
                clock=self.clock,
                name=f'i-{number}',
                incarnation=1,
                lease_s=LEASE_S,
            )
            for number in range(INSTANCES)
        ]
        self.lenders = [
            LeasedCapacity(holder, clock=self.clock) for holder in self.holders
        ]
        self.permits: list[Permit] = []

    def renew(self) -> None:
        for holder in self.holders:
            holder.apply(self.ledger.renew(holder.request()))

    def ask(self, count: int) -> None:
        for _each in range(count):
            for lender in self.lenders:
                permit = lender.acquire('desk', 'south')
                if permit is not None:
                    self.permits.append(permit)


def test_instances_that_decide_at_once_stay_within_the_spare_slots() -> None:
    """Guards against a region overloaded by many others at once."""
    fleet = Fleet()
    for _round in range(8):
        fleet.ask(10)
        fleet.renew()
        fleet.clock.advance(0.5)
    # Each instance may use its reserve of one request besides the leases.
    assert SPARE <= len(fleet.permits) <= SPARE + INSTANCES


def test_unused_permits_go_to_the_instance_that_needs_them() -> None:
    """Guards against leases that stay where they are not used."""
    fleet = Fleet()
    for _round in range(20):
        lender = fleet.lenders[0]
        permit = lender.acquire('desk', 'south')
        while permit is not None:
            fleet.permits.append(permit)
            permit = lender.acquire('desk', 'south')
        fleet.renew()
        fleet.clock.advance(0.5)
    assert len(fleet.permits) == SPARE + 1


def test_expired_lease_leaves_the_reserve() -> None:
    """Guards against an instance that is cut off and goes on lending."""
    fleet = Fleet()
    fleet.ask(1)
    fleet.renew()
    fleet.clock.advance(LEASE_S + 1)
    for permit in fleet.permits:
        permit.release()
    assert fleet.lenders[0].acquire('desk', 'south') is not None
    assert fleet.lenders[0].acquire('desk', 'south') is None
    assert fleet.lenders[0].available('desk', 'south') == 0

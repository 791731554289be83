"""Unit tests of limits, ejection, permits and the link budget."""

import threading
from dataclasses import replace

import pytest

from ...control.state import Profile
from ...routing.capacity import RegionCapacity, spare_slots
from ...routing.concurrency import ConcurrencyLimit
from ...routing.ejection import Ejection
from ...routing.links import LinkBudget
from ...routing.outcome import AttemptOutcome
from ...routing.target_stats import TargetStats
from ...testing import ManualClock
from ...testing.routing import FakeKernel, RoutingWorld, make_target

FAILED = AttemptOutcome('no_connection')


def test_instances_that_share_a_target_stay_near_its_slots() -> None:
    """Guards against instances that together overload a shared target."""
    slots = 9
    limits = [ConcurrencyLimit(slots=slots, instances=1) for _ in range(4)]
    in_use = []
    for step in range(400):
        total = sum(int(each.value) for each in limits)
        in_use.append(total)
        for each in limits:
            if total > slots:
                each.on_overload(step * 0.1, latency_ms=50)
            else:
                each.on_success(in_flight=int(each.value))
    assert in_use[0] == 36
    assert max(in_use[20:]) <= slots + len(limits)
    assert sum(in_use[20:]) / 380 > slots * 0.6


def test_limit_stays_between_one_and_slots() -> None:
    limit = ConcurrencyLimit(slots=3)
    for step in range(50):
        limit.on_overload(step, latency_ms=1)
    assert limit.value == 1
    for _each in range(200):
        limit.on_success(in_flight=3)
    assert limit.value == 3


def test_queuing_target_gets_a_lower_limit_without_shedding() -> None:
    """Guards against a limit that lets a target queue requests."""
    target = make_target('t0', failure_domain='a-a', slots=8)
    stats = TargetStats(target, now_s=0, instances=1)
    limits = []
    for step, latency_ms in enumerate([50.0] * 100 + [120.0] * 100):
        outcome = AttemptOutcome('ok', latency_ms)
        stats.record_outcome(outcome, now_s=step * 0.05)
        limits.append(stats.limit.value)
    assert limits[99] == 8
    assert limits[199] < 4


def test_reported_overload_leaves_the_equal_share() -> None:
    """Guards against a wrong load report that takes a target out of service."""
    target = make_target('t0', failure_domain='a-a', slots=8)
    stats = TargetStats(target, now_s=0, instances=2)
    for _each in range(500):
        stats.limit.on_success(in_flight=8)
    assert stats.limit.value == 8
    for second in range(20):
        stats.record_announcement(replace(target, load=1e6), now_s=second)
    assert stats.limit.value == 4


@pytest.mark.parametrize(('bad', 'expected'), [(1, 1), (4, 2), (6, 0)])
def test_ejection_is_bounded(bad: int, expected: int) -> None:
    """Guards against ejecting most or all of a failure domain."""
    targets = [make_target(f't{i}', failure_domain='a-a') for i in range(6)]
    ejection = Ejection()
    for target in targets[:bad]:
        assert ejection.record_outcome(target.address, FAILED, now_s=0)
    assert len(ejection.ejected(targets, now_s=1)) == expected


def test_readmission_takes_twice_as_long_each_time() -> None:
    targets = [make_target(f't{i}', failure_domain='a-a') for i in range(3)]
    ejection = Ejection()
    ejection.record_outcome('t0', FAILED, now_s=0)
    assert not ejection.ejected(targets, now_s=2.1)
    ejection.record_outcome('t0', FAILED, now_s=3)
    assert ejection.ejected(targets, now_s=6.9)
    assert not ejection.ejected(targets, now_s=7.1)


class Ledger:
    """Leases out the spare slots in equal shares."""

    def __init__(self, spare: int, holders: int) -> None:
        self.share = spare // holders

    def leased(self, _service: str, _region: str) -> int | None:
        return self.share


def test_permits_stay_within_spare_slots_when_all_decide_at_once() -> None:
    """Guards against outside instances that together overload a region."""
    instances = 12
    spare = spare_slots(slots=70, used_inside=20, outside_instances=instances)
    assert spare == 38
    ledger = Ledger(spare, instances)
    capacities = [RegionCapacity(ledger) for _each in range(instances)]
    granted = []

    def acquire_permits(capacity: RegionCapacity) -> None:
        for _each in range(10):
            granted.append(capacity.acquire('desk', 'north'))

    threads = [
        threading.Thread(target=acquire_permits, args=(capacity,))
        for capacity in capacities
        for _twice in range(2)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    permits = [each for each in granted if each is not None]
    assert len(permits) == ledger.share * instances
    permits[0].release()
    permits[0].release()
    assert sum(each.in_use('desk', 'north') for each in capacities) == 35


def test_reserve_is_one_request() -> None:
    capacity = RegionCapacity()
    first = capacity.acquire('desk', 'north')
    assert first is not None
    assert capacity.acquire('desk', 'north') is None
    assert capacity.acquire('desk', 'south') is not None
    first.release()
    assert capacity.acquire('desk', 'north') is not None


def link_budget() -> tuple[LinkBudget, ManualClock]:
    clock = ManualClock()
    world = RoutingWorld(clock, Profile(name='p'))
    world.router('i0', failure_domain='north-a')
    world.router('i1', failure_domain='north-b')
    kernel = FakeKernel(world, 'i0', 'north-a')
    return LinkBudget(kernel), clock


def test_bulk_gets_its_fraction_of_an_equal_share() -> None:
    """Guards against bulk transfers that saturate an inter-region link."""
    budget, clock = link_budget()
    started_s = clock.now_s()
    sent = 0
    while clock.now_s() < started_s + 10:
        assert budget.acquire(
            'south', 65536, traffic_class='bulk', deadline_s=started_s + 60
        )
        sent += 65536
    # 300 Mbit/s shared by two instances, 60% of it for bulk.
    assert sent == pytest.approx(0.6 * 150 * 125000 * 10, rel=0.03)
    assert budget.acquire(
        'south', 1000, traffic_class='small', deadline_s=clock.now_s()
    )


def test_link_budget_stops_waiting_at_the_deadline() -> None:
    budget, clock = link_budget()
    deadline_s = clock.now_s() + 1
    for expected in (True, False):
        assert expected == budget.acquire(
            'south', 10**9, traffic_class='small', deadline_s=deadline_s
        )
    assert budget.acquire(
        'north', 10**9, traffic_class='bulk', deadline_s=deadline_s
    )

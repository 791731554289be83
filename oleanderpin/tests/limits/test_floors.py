"""Floors: the fraction of a rate that instances use without the leader."""

from ...control.state import Account
from ...limits.floors import Floors

ACCOUNT = Account('shop', rate_per_s=100, burst=100)


def admitted(floors: Floors, *, duration_s: float, per_s: int = 1000) -> int:
    """Send requests at even intervals; return how many were admitted."""
    times = range(int(duration_s * per_s))
    return sum(floors.take(ACCOUNT, 100 + time / per_s) for time in times)


def test_floors_of_all_instances_keep_their_part() -> None:
    """Guards against floors that add up to more than their fraction."""
    instances = [Floors(50) for _number in range(10)]
    total = 0
    for floors in instances:
        floors.note_instances(10)
        total += admitted(floors, duration_s=4)
    assert 0.9 * 4 * 50 <= total <= 4 * 50


def test_restart_of_all_instances_serves_at_once() -> None:
    """Guards against rejecting all requests until a ledger has recovered."""
    floors = Floors(50)
    floors.note_instances(10)
    assert admitted(floors, duration_s=1) >= 4


def test_lost_instances_do_not_raise_the_floor() -> None:
    """Guards against partitioned instances that each use the full rate."""
    floors = Floors(50)
    floors.note_instances(10)
    floors.note_instances(1)
    assert admitted(floors, duration_s=4) <= 4 * 5


def test_no_floor_without_knowledge_of_others() -> None:
    """Guards against a newly started instance that counts only itself."""
    assert admitted(Floors(50), duration_s=1) == 0


def test_small_burst_is_not_multiplied() -> None:
    """Guards against one token of floor in each of many instances."""
    small = Account('small', rate_per_s=5, burst=5)
    instances = [Floors(25) for _number in range(66)]
    for floors in instances:
        floors.note_instances(66)
        floors.take(small, 0.0)
    admitted_at_once = sum(floors.take(small, 3600.0) for floors in instances)
    assert admitted_at_once <= small.burst


def test_unused_token_returns_within_the_share() -> None:
    """Guards against floors that grow by tokens that are returned."""
    floors = Floors(100)
    floors.note_instances(10)
    account = Account('shop', rate_per_s=100, burst=100)
    assert not floors.take(account, 0.0)
    taken = sum(floors.take(account, 10.0) for _each in range(100))
    assert taken == 10
    for _each in range(50):
        floors.give_back(account)
    assert sum(floors.take(account, 10.0) for _each in range(100)) == taken

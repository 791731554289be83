"""Who has to give up memory when a budget is used up."""

import weakref

import pytest

from ...core import memory_budget
from ...core.clock import monotonic_s
from ...core.memory_budget import MemoryBudget, MemoryShare
from ...testing.gateway import gateway_settings
from ...testing.fleet import build_settings

BUDGET_BYTES = 1000


class Holder:
    """Holds memory of a budget and gives it up when it is asked to."""

    def __init__(self, budget: MemoryBudget, size_bytes: int) -> None:
        self.given_up = 0
        self.share: MemoryShare = budget.share(self.give_up)
        self.is_kept = self.share.charge(size_bytes)

    def give_up(self) -> bool:
        self.given_up += self.share.held_bytes
        self.share.release(self.share.held_bytes)
        return True


@pytest.fixture
def budget() -> MemoryBudget:
    return MemoryBudget(BUDGET_BYTES)


def test_largest_share_gives_way_to_a_smaller_one(budget) -> None:
    """Guards against ordinary callers that are refused for a few large ones."""
    small = Holder(budget, 100)
    large = Holder(budget, 800)
    newcomer = Holder(budget, 200)
    assert newcomer.is_kept
    assert (small.given_up, large.given_up) == (0, 800)
    assert budget.held_bytes == 300


def test_share_does_not_displace_smaller_ones(budget) -> None:
    """Guards against a large body that ends many ordinary requests."""
    others = [Holder(budget, 100) for _each in range(8)]
    assert not Holder(budget, 300).is_kept
    assert not any(each.given_up for each in others)


def test_response_displaces_what_may_be_given_up(budget) -> None:
    """Guards against requests that fail since others are not complete."""
    incomplete = Holder(budget, 900)
    response = budget.share()
    assert response.charge(300)
    assert incomplete.given_up == 900
    assert not Holder(budget, 900).is_kept
    assert response.held_bytes == 300


def test_closed_share_holds_nothing(budget) -> None:
    """Guards against a budget that drifts by what ends after its connection."""
    holder = Holder(budget, 400)
    holder.share.close()
    holder.share.release(400)
    holder.share.charge(400)
    holder.share.close()
    assert (budget.held_bytes, holder.share.held_bytes) == (0, 0)


@pytest.mark.parametrize(
    ('line', 'expected_mib'),
    [('', 100), ('memory_mb = 200', 100), ('memory_mb = 300', 150)],
)
def test_budget_follows_the_memory_of_the_machine(
    tmp_path, line: str, expected_mib: int
) -> None:
    """Guards against a constant that is too much for a small machine."""
    text = gateway_settings([1, 2, 3], tmp_path)
    text = text.replace('max_buffered_bytes = 1048576', '')
    text = text.replace('[instance]', f'[instance]\n{line}')
    assert build_settings(text).max_held_bytes == expected_mib * 1024 * 1024


def test_stalled_share_gives_way_to_a_larger_one(
    budget, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against many small unfinished bodies that keep out uploads."""
    others = [Holder(budget, 100) for _each in range(9)]
    later_s = monotonic_s() + 2.0
    monkeypatch.setattr(memory_budget, 'monotonic_s', lambda: later_s)
    assert budget.has_space(400)
    assert Holder(budget, 400).is_kept
    assert sum(each.given_up for each in others) == 300


def test_announced_bytes_displace_no_active_share(budget) -> None:
    """Guards against callers that announce a body and never send it."""
    active = Holder(budget, 900)
    assert not budget.has_space(400)
    assert not active.given_up


def test_shares_are_not_ranked_for_each_charge(
    budget: MemoryBudget, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a loop that sorts all shares for each read.

    Load pattern: the budget is used up, and thousands of connections go on.
    """
    holders = [Holder(budget, 5) for _each in range(200)]
    now_s = monotonic_s() + 0.5
    monkeypatch.setattr(memory_budget, 'monotonic_s', lambda: now_s)
    ranked_s: list[float] = []
    rank = MemoryBudget._rank

    def count(self: MemoryBudget, at_s: float) -> None:
        ranked_s.append(at_s)
        rank(self, at_s)

    monkeypatch.setattr(MemoryBudget, '_rank', count)
    response = budget.share()
    assert all(response.charge(5) for _each in range(100))
    assert len(ranked_s) == 1
    assert sum(bool(each.given_up) for each in holders) == 100


def test_share_that_has_changed_since_the_ranking_is_judged_anew(
    budget: MemoryBudget, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an outdated order that ends requests in vain."""
    holders = [Holder(budget, 100) for _each in range(10)]
    now_s = monotonic_s() + 0.5
    monkeypatch.setattr(memory_budget, 'monotonic_s', lambda: now_s)
    response = budget.share()
    assert response.charge(100)
    left = [each for each in holders if each.share.held_bytes]
    left[0].share.close()
    left[1].share.release(90)
    newcomer = Holder(budget, 90)
    assert newcomer.is_kept
    assert not left[0].given_up
    assert budget.held_bytes <= BUDGET_BYTES


def test_ranking_keeps_no_closed_connection_in_memory(
    budget: MemoryBudget,
) -> None:
    """Guards against memory that is held after its share was released."""
    holders = [Holder(budget, 100) for _each in range(10)]
    assert budget.share().charge(100)
    refs = [weakref.ref(each) for each in holders]
    for holder in holders:
        holder.share.close()
    del holder
    holders.clear()
    assert not any(each() for each in refs)

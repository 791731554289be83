"""Rates of small accounts, owned in parts by control instances."""

import heapq
import random
from collections.abc import Callable, Iterable
from typing import Any

import pytest

from ...control.state import Account, PartOwners
from ...limits.part_ownership import owners_of
from ...limits.parts import Parts
from ...testing import ManualClock
from ...testing.builders import settled_owners

ACCOUNT = 'small'
RUN_S = 60.0
NEAR_ROUND_TRIP_S = 0.003
FAR_ROUND_TRIP_S = 0.11
MAX_WAIT_S = 0.5
POLL_S = 0.005
OWNERS_PER_REGION = 2


def account(rate_per_s: float, burst: float) -> Account:
    """Return the account of the simulation."""
    return Account(ACCOUNT, rate_per_s=rate_per_s, burst=burst)


def in_cut(first: int, second: int) -> bool:
    """Return whether a cut separates two owners: even from odd ones."""
    return first % 2 != second % 2


class Owners:
    """Event-driven simulation of owners that draw tokens from each other.

    Requests arrive at the owner of their own failure domain.
    """

    def __init__(
        self,
        count: int,
        limited: Account,
        *,
        silent: Iterable[int] = (),
        is_cut: Callable[[float], bool] = lambda _now_s: False,
    ) -> None:
        self.clock = ManualClock(0.0)
        self.names = [f'10.0.0.{index}:7220' for index in range(count)]
        self.silent = set(silent)
        self.is_cut = is_cut
        self.parts = [
            Parts(clock=self.clock, address=name, handover_s=0)
            for name in self.names
        ]
        for parts in self.parts:
            parts.update([limited], settled_owners(self.names))
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.scheduled = 0
        self.is_drawing = [False] * count
        self.silent_known: list[set[str]] = [set() for _name in self.names]
        self.admitted_s: list[float] = []
        self.waits_s: list[float] = []
        self.refused = 0

    def at(self, at_s: float, action: Callable[..., None], arg: Any) -> None:
        """Schedule an action."""
        self.scheduled += 1
        heapq.heappush(self.events, (at_s, self.scheduled, action, arg))

    def run(self, arrivals: Iterable[tuple[float, int]]) -> None:
        """Run all arrivals; owners have earned their burst before."""
        self.clock.advance(RUN_S)
        for at_s, index in arrivals:
            self.at(RUN_S + at_s, self.ask, (RUN_S + at_s, index))
        while self.events:
            at_s, _number, action, arg = heapq.heappop(self.events)
            self.clock.advance(max(0.0, at_s - self.clock.now_s()))
            action(arg)

    def ask(self, request: tuple[float, int]) -> None:
        """Admit a request, let it ask again, or refuse it."""
        arrived_s, index = request
        now_s = self.clock.now_s()
        if self.parts[index].take(ACCOUNT, 1):
            self.admitted_s.append(now_s)
            self.waits_s.append(now_s - arrived_s)
            if self.parts[index].is_low(ACCOUNT):
                self.draw(index)
            return
        self.draw(index)
        if now_s - arrived_s >= MAX_WAIT_S:
            self.refused += 1
            return
        self.at(now_s + POLL_S, self.ask, request)

    def draw(self, index: int) -> None:
        """Draw a token from another owner, one at a time."""
        source = self.source(index)
        if self.is_drawing[index] or source is None:
            return
        self.is_drawing[index] = True
        count = self.parts[index].start_draw(ACCOUNT, 1)
        delay_s = self.round_trip_s(index, source)
        now_s = self.clock.now_s()
        if source in self.silent or (
            self.is_cut(now_s) and in_cut(index, source)
        ):
            self.at(now_s + MAX_WAIT_S, self.note_silent, (index, source))
            return
        self.at(now_s + delay_s / 2, self.give, (index, source, count))

    def source(self, index: int) -> int | None:
        """Return the owner that is drawn from."""
        region = index // OWNERS_PER_REGION * OWNERS_PER_REGION
        near = self.names[region : region + OWNERS_PER_REGION]
        name = self.parts[index].next_source(
            ACCOUNT, near=near, silent=self.silent_known[index]
        )
        return None if name is None else self.names.index(name)

    def give(self, draw: tuple[int, int, int]) -> None:
        """Take tokens from the part of the source."""
        index, source, count = draw
        taken = self.parts[source].take(ACCOUNT, count)
        left = self.parts[source].left(ACCOUNT)
        delay_s = self.round_trip_s(index, source)
        self.at(
            self.clock.now_s() + delay_s / 2,
            self.receive,
            (index, source, taken, left),
        )

    def receive(self, drawn: tuple[int, int, int, float]) -> None:
        """Add a drawn token."""
        index, source, taken, left = drawn
        self.is_drawing[index] = False
        self.parts[index].note_level(ACCOUNT, self.names[source], left)
        self.parts[index].add(ACCOUNT, taken)

    def note_silent(self, draw: tuple[int, int]) -> None:
        """Note that an owner did not reply."""
        index, source = draw
        self.is_drawing[index] = False
        self.silent_known[index].add(self.names[source])

    def round_trip_s(self, first: int, second: int) -> float:
        """Return the round trip between two owners."""
        is_near = first // OWNERS_PER_REGION == second // OWNERS_PER_REGION
        return NEAR_ROUND_TRIP_S if is_near else FAR_ROUND_TRIP_S


def poisson(
    rate_per_s: float, places: Iterable[int], *, seed: int = 1
) -> list[tuple[float, int]]:
    """Return Poisson arrivals at random places."""
    rng = random.Random(seed)
    indexes = tuple(places)
    at_s = rng.expovariate(rate_per_s)
    found = []
    while at_s < RUN_S:
        found.append((at_s, rng.choice(indexes)))
        at_s += rng.expovariate(rate_per_s)
    return found


def assert_within_rate(admitted_s: list[float], limited: Account) -> None:
    """Assert that each window holds at most burst + rate x window."""
    tokens, updated_s = limited.burst + 1e-6, 0.0
    for at_s in sorted(admitted_s):
        earned = (at_s - updated_s) * limited.rate_per_s
        tokens = min(limited.burst + 1e-6, tokens + earned)
        updated_s = at_s
        assert tokens >= 1
        tokens -= 1


def played(
    count: int, limited: Account, demand_per_s: float, **options: Any
) -> tuple[Owners, int]:
    """Play requests that arrive evenly; return owners and requests."""
    fleet = Owners(count, limited, **options)
    arrivals = poisson(demand_per_s, range(count))
    fleet.run(arrivals)
    return fleet, len(arrivals)


@pytest.mark.parametrize('count', [6, 9])
@pytest.mark.parametrize('rate_per_s', [12, 20, 40])
def test_small_account_within_its_rate_is_served_without_a_leader(
    count: int, rate_per_s: float
) -> None:
    """Guards against a distant leader on the path of each request.

    Tokens that 66 gateways borrowed one by one took 0.1 to 0.4 s, and none
    came while the leader did not reply.
    """
    fleet, requests = played(
        count, account(rate_per_s, rate_per_s), rate_per_s / 1.6
    )
    assert fleet.refused <= 0.01 * requests
    assert sorted(fleet.waits_s)[requests // 2] == 0
    assert sum(fleet.waits_s) / requests < NEAR_ROUND_TRIP_S + MAX_WAIT_S / 10


@pytest.mark.parametrize('rate_per_s', [8, 20, 40])
def test_callers_in_one_failure_domain_use_the_whole_rate(
    rate_per_s: float,
) -> None:
    """Guards against parts that are of use in their own failure domain only."""
    fleet = Owners(6, account(rate_per_s, rate_per_s))
    arrivals = poisson(rate_per_s / 1.6, [0])
    fleet.run(arrivals)
    assert fleet.refused <= 0.02 * len(arrivals)


def test_silent_owner_costs_no_more_than_its_part() -> None:
    """Guards against one instance whose silence refuses an account."""
    fleet, requests = played(6, account(20, 20), 12.5, silent=[0])
    from_silent = fleet.admitted_s
    assert len(from_silent) >= 0.97 * requests


@pytest.mark.parametrize('burst', [1, 4, 20])
def test_flood_stays_within_the_rate_in_a_cut(burst: float) -> None:
    """Guards against tokens that are created when they move or in a cut."""
    limited = account(20, burst)
    fleet, _requests = played(
        6, limited, 100, is_cut=lambda now_s: RUN_S + 20 <= now_s < RUN_S + 40
    )
    in_transit = account(20, burst + OWNERS_PER_REGION)
    assert_within_rate(fleet.admitted_s, in_transit)
    assert len(fleet.admitted_s) >= 0.6 * 20 * RUN_S


def one_part(*, handover_s: float = 0.0) -> tuple[Parts, ManualClock]:
    """Return the parts of one of two owners, without accounts."""
    clock = ManualClock(0.0)
    parts = Parts(clock=clock, address='a', handover_s=handover_s)
    parts.update([], settled_owners('ab'), lent=[ACCOUNT])
    return parts, clock


def test_account_that_was_lent_has_no_tokens_until_shares_end() -> None:
    """Guards against a rate that is lent and owned in parts at a time."""
    parts, clock = one_part(handover_s=4.0)
    parts.update([account(20, 20)], settled_owners('ab'))
    clock.advance(4.0)
    assert not parts.take(ACCOUNT, 1)
    clock.advance(0.15)
    assert parts.take(ACCOUNT, 2) == 1


def test_part_of_a_removed_instance_is_not_divided_before_its_hand_over() -> (
    None
):
    """Guards against a part that a removed instance goes on using."""
    parts, clock = one_part()
    both, alone = {'a': 'north', 'b': 'north'}, {'a': 'north'}
    parts.update([account(20, 20)], PartOwners(1, both, both))
    clock.advance(10.0)
    parts.update([account(20, 20)], PartOwners(2, both, alone))
    assert parts.take(ACCOUNT, 20) == 10
    clock.advance(0.5)
    assert parts.take(ACCOUNT, 20) == 5
    parts.update([account(20, 20)], PartOwners(3, alone, alone))
    clock.advance(0.5)
    assert parts.take(ACCOUNT, 20) == 10


def test_parts_are_empty_at_the_start() -> None:
    """Guards against a burst that is used again after each restart."""
    parts, _clock = one_part()
    parts.update([account(20, 20)], settled_owners('ab'))
    assert parts.take(ACCOUNT, 1) == 0


def test_small_burst_has_few_owners() -> None:
    """Guards against parts that never have a whole token."""
    members = [f'm{number}' for number in range(9)]
    for burst, count in ((1, 1), (4, 2), (9, 4), (40, 9)):
        known = owners_of(account(4, burst), settled_owners(members))
        assert len(known.owners) == known.part_count == count


def test_lowered_burst_takes_effect_at_once() -> None:
    """Guards against tokens of an earlier configuration."""
    parts, clock = one_part()
    parts.update([account(20, 20)], settled_owners('ab'))
    clock.advance(10.0)
    parts.update([account(4, 4)], settled_owners('ab'))
    assert parts.take(ACCOUNT, 20) == 2

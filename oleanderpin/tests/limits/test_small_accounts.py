"""Rates of small accounts on many instances, and recovery of new ledgers."""

import heapq
import random
from collections.abc import Callable
from typing import Any

import pytest

from ...limits.holder import Holder
from ...limits.ledger import Ledger
from ...limits.messages import Quota
from ...testing import ManualClock

ACCOUNT = 'account/small'
LEASE_S = 4.0
RENEW_S = 0.5
ONE_WAY_S = 0.055
MAX_WAIT_S = 1.0
RUN_S = 60.0


class Fleet:
    """Event-driven simulation of holders with a ledger in another region."""

    def __init__(self, size: int, quota: Quota) -> None:
        self.clock = ManualClock(0.0)
        self.ledger = Ledger(
            clock=self.clock, lease_s=LEASE_S, possible_holders=()
        )
        self.ledger.set_whole(ACCOUNT, quota)
        self.holders = [
            Holder(
                clock=self.clock,
                name=f'g{index}',
                incarnation=1,
                lease_s=LEASE_S,
            )
            for index in range(size)
        ]
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.waiting: list[list[float]] = [[] for _each in range(size)]
        self.is_renewing = [False] * size
        self.admitted_s: list[float] = []
        self.rejected = 0
        self.scheduled = 0

    def at(self, at_s: float, action: Callable[..., None], arg: Any) -> None:
        """Schedule an action."""
        self.scheduled += 1
        heapq.heappush(self.events, (at_s, self.scheduled, action, arg))

    def run(self, arrivals: list[tuple[float, int]]) -> None:
        """Run arrivals and the renewals between them."""
        for index, holder in enumerate(self.holders):
            holder.track(ACCOUNT)
            self.at(index * 0.003, self.renew_regularly, index)
        for at_s, index in arrivals:
            self.at(at_s, self.arrive, index)
        while self.events and self.events[0][0] < RUN_S:
            at_s, _number, action, arg = heapq.heappop(self.events)
            self.clock.advance(max(0.0, at_s - self.clock.now_s()))
            action(arg)

    def arrive(self, index: int) -> None:
        """Admit a request or queue it."""
        self.holders[index].note_arrival(ACCOUNT)
        self.holders[index].note_waiting(ACCOUNT, 1)
        self.waiting[index].append(self.clock.now_s())
        self.serve(index)
        if self.waiting[index]:
            self.renew(index)

    def serve(self, index: int) -> None:
        """Admit waiting requests, and reject those that waited too long."""
        now_s = self.clock.now_s()
        holder = self.holders[index]
        while self.waiting[index]:
            if holder.take(ACCOUNT):
                self.admitted_s.append(now_s)
            elif now_s - self.waiting[index][0] >= MAX_WAIT_S:
                self.rejected += 1
            else:
                return
            self.waiting[index].pop(0)
            holder.note_waiting(ACCOUNT, -1)

    def renew_regularly(self, index: int) -> None:
        """Renew after each interval."""
        self.serve(index)
        self.renew(index)
        self.at(self.clock.now_s() + RENEW_S, self.renew_regularly, index)

    def renew(self, index: int) -> None:
        """Send a renewal unless one is in flight."""
        if self.is_renewing[index]:
            return
        self.is_renewing[index] = True
        renewal = self.holders[index].request()
        self.at(self.clock.now_s() + ONE_WAY_S, self.answer, (index, renewal))

    def answer(self, message: tuple[int, Any]) -> None:
        """Answer a renewal at the ledger."""
        index, renewal = message
        grants = self.ledger.renew(renewal)
        self.at(self.clock.now_s() + ONE_WAY_S, self.apply, (index, grants))

    def apply(self, message: tuple[int, Any]) -> None:
        """Apply an answer at the holder."""
        index, grants = message
        self.is_renewing[index] = False
        self.holders[index].apply(grants)
        self.serve(index)
        if self.waiting[index]:
            self.renew(index)


def poisson(
    size: int, demand_per_s: float, seed: int
) -> list[tuple[float, int]]:
    """Return Poisson arrivals at random instances."""
    rng = random.Random(seed)
    at_s = rng.expovariate(demand_per_s)
    found = []
    while at_s < RUN_S:
        found.append((at_s, rng.randrange(size)))
        at_s += rng.expovariate(demand_per_s)
    return found


@pytest.mark.parametrize(
    ('size', 'rate_per_s'), [(11, 20), (11, 100), (66, 20), (66, 100)]
)
def test_account_within_its_rate_is_not_refused(
    size: int, rate_per_s: float
) -> None:
    """Guards against tokens kept idle at instances without requests.

    If each instance keeps a token for its next request, 66 instances reject
    64% of the requests of an account with 20 requests/s.
    """
    quota = Quota(rate_per_s, rate_per_s)
    arrivals = poisson(size, rate_per_s / 1.6, seed=1)
    fleet = Fleet(size, quota)
    fleet.run(arrivals)
    assert fleet.rejected <= 0.02 * len(arrivals)


def test_flood_at_many_instances_stays_within_the_rate() -> None:
    """Guards against tokens that count twice when they are returned."""
    quota = Quota(20, 20)
    fleet = Fleet(66, quota)
    fleet.run(poisson(66, 200.0, seed=2))
    for number, first_s in enumerate(fleet.admitted_s):
        later = fleet.admitted_s[number:]
        within = [at_s for at_s in later if at_s - first_s < 5]
        assert len(within) <= 20 * 5 + 20 + 1


def holder(name: str, clock: ManualClock, incarnation: int = 1) -> Holder:
    """Return a holder with one waiting request of the account."""
    made = Holder(
        clock=clock, name=name, incarnation=incarnation, lease_s=LEASE_S
    )
    made.track(ACCOUNT)
    made.note_arrival(ACCOUNT)
    made.note_waiting(ACCOUNT, 1)
    return made


def test_new_ledger_lends_once_all_have_claimed() -> None:
    """Guards against a lease time without rates when all instances restart."""
    clock = ManualClock(0.0)
    ledger = Ledger(clock=clock, lease_s=LEASE_S, possible_holders=('g0', 'g1'))
    ledger.set_whole(ACCOUNT, Quota(100, 100))
    first, second = holder('g0', clock), holder('g1', clock)
    assert ledger.renew(first.request()).is_recovering
    grants = ledger.renew(second.request())
    clock.advance(0.5)
    assert not ledger.is_recovering
    assert second.apply(grants)
    second.apply(ledger.renew(second.request()))
    assert second.take(ACCOUNT)


def test_new_ledger_waits_for_one_that_does_not_claim() -> None:
    """Guards against lending what a partitioned instance still uses."""
    clock = ManualClock(0.0)
    ledger = Ledger(
        clock=clock, lease_s=LEASE_S, possible_holders=('g0', 'gone')
    )
    ledger.set_whole(ACCOUNT, Quota(100, 100))
    first = holder('g0', clock)
    for _renewal in range(7):
        first.apply(ledger.renew(first.request()))
        clock.advance(0.5)
        assert not first.take(ACCOUNT)
    clock.advance(1.0)
    first.apply(ledger.renew(first.request()))
    assert first.take(ACCOUNT)


def test_unregistered_instance_is_lent_nothing() -> None:
    """Guards against a share that the next ledger does not wait for."""
    clock = ManualClock(0.0)
    ledger = Ledger(clock=clock, lease_s=LEASE_S, possible_holders=())
    ledger.set_whole(ACCOUNT, Quota(100, 100))
    clock.advance(LEASE_S)
    new = holder('g9', clock)
    new.apply(ledger.renew(new.request(), may_grow=False))
    assert not new.take(ACCOUNT)
    new.apply(ledger.renew(new.request(), may_grow=True))
    assert new.take(ACCOUNT)


def test_renewal_for_a_waiting_request_lists_only_its_account() -> None:
    """Guards against renewals whose size grows with all accounts.

    With 76 accounts at 66 instances, each request of a small account made its
    instance and the leader handle all of them.
    """
    clock = ManualClock(0.0)
    ledger = Ledger(clock=clock, lease_s=LEASE_S, possible_holders=())
    waiting = holder('g0', clock)
    for number in range(76):
        resource = f'account/{number}'
        ledger.set_whole(resource, Quota(20, 20))
        waiting.track(resource)
    ledger.set_whole(ACCOUNT, Quota(20, 20))
    waiting.apply(ledger.renew(waiting.request()))
    waiting.note_arrival(ACCOUNT)
    renewal = waiting.request()
    assert [each.resource for each in renewal.holdings] == [ACCOUNT]
    grants = ledger.renew(renewal)
    assert [each.resource for each in grants.grants] == [ACCOUNT]
    assert waiting.apply(grants)


def test_partial_renewal_is_no_claim_to_a_new_ledger() -> None:
    """Guards against lending again what a partial renewal does not list."""
    clock = ManualClock(0.0)
    quota = Quota(100, 100)
    first = Ledger(clock=clock, lease_s=LEASE_S, possible_holders=())
    first.set_whole(ACCOUNT, quota)
    using = holder('g0', clock)
    for _renewal in range(2):
        using.apply(first.renew(using.request()))
        clock.advance(0.1)
    using.note_waiting(ACCOUNT, -1)
    assert using.held(ACCOUNT)[0] > 0
    second = Ledger(clock=clock, lease_s=LEASE_S, possible_holders=('g0',))
    second.set_whole(ACCOUNT, quota)
    renewal = using.request()
    assert renewal.is_partial
    assert not using.apply(second.renew(renewal))
    assert second.is_recovering
    claim = using.request()
    assert not claim.is_partial
    assert using.apply(second.renew(claim))
    assert second.lent(ACCOUNT).rate_per_s >= using.held(ACCOUNT)[0] > 0


@pytest.mark.parametrize('demand_factor', [1.0, 1.3, 2.0])
def test_busy_account_is_served_up_to_its_rate(demand_factor: float) -> None:
    """Guards against tokens lent in fractions that no request can use.

    With many instances waiting, each got a part of a token with each renewal,
    and most requests gave up before theirs was whole.
    """
    rate_per_s = 20.0
    fleet = Fleet(66, Quota(rate_per_s, rate_per_s))
    arrivals = poisson(66, rate_per_s * demand_factor, seed=3)
    fleet.run(arrivals)
    served_per_s = len(fleet.admitted_s) / RUN_S
    assert served_per_s >= 0.9 * rate_per_s

"""Shares under lost, repeated and reordered messages, and restarts."""

import random
from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from ...limits.demand import DemandEstimator
from ...limits.holder import Holder
from ...limits.ledger import Ledger
from ...limits.messages import Grants, Quota, Renewal
from ...limits.pool import Pool, Share
from ...testing import ManualClock

LEASE_S = 4.0
ACCOUNT = 'account/a'
PERMITS = 'capacity/north/desk'
RATE = Quota(50, 40)
SLOTS = Quota(0, 7)
TOLERANCE = 1e-6


class OffsetClock:
    """The clock of one node, with its own origin."""

    def __init__(self, base: ManualClock, offset_s: float) -> None:
        self.base = base
        self.offset_s = offset_s

    def now_s(self) -> float:
        return self.base.now_s() + self.offset_s

    def sleep(self, duration_s: float) -> None:
        self.base.advance(duration_s)


class Fleet:
    """Holders and one ledger; the test delivers each message."""

    def __init__(self, holder_count: int = 3, quota: Quota = RATE) -> None:
        self.clock = ManualClock()
        self.quota = quota
        self.requests: list[Renewal] = []
        self.replies: list[tuple[int, Grants]] = []
        self.admitted_s: list[float] = []
        self.incarnation = 0
        self.holders = [self.new_holder(i) for i in range(holder_count)]
        self.lease_ids: Iterator[int] = iter(range(1, 10**9))
        self.change_leader()

    def new_holder(self, index: int) -> Holder:
        self.incarnation += 1
        clock = OffsetClock(self.clock, 1000.0 * index)
        holder = Holder(
            clock=clock,
            name=f'h{index}',
            incarnation=self.incarnation,
            lease_s=LEASE_S,
        )
        holder.track(ACCOUNT)
        holder.track(PERMITS, is_permit=True)
        return holder

    def change_leader(self) -> None:
        self.ledger = Ledger(
            clock=OffsetClock(self.clock, 5000),
            lease_s=LEASE_S,
            new_id=lambda: next(self.lease_ids),
        )
        self.ledger.set_whole(ACCOUNT, self.quota)
        self.ledger.set_whole(PERMITS, SLOTS)

    def send(self, index: int) -> None:
        self.requests.append(self.holders[index].request())

    def deliver_request(self, position: int) -> None:
        renewal = self.requests[position]
        reply = self.ledger.renew(renewal)
        self.replies.append((int(renewal.holder[1:]), reply))

    def deliver_reply(self, position: int) -> None:
        index, grants = self.replies[position]
        self.holders[index].apply(grants)

    def exchange(self, index: int) -> None:
        """Renew without loss or delay."""
        self.send(index)
        self.deliver_request(len(self.requests) - 1)
        self.deliver_reply(len(self.replies) - 1)

    def use_all(self, index: int, *, limit: int = 1000) -> int:
        """Admit until the holder has no token left, so that demand is high."""
        holder = self.holders[index]
        taken = 0
        for _each in range(3):
            holder.note_arrival(ACCOUNT)
        while taken < limit and holder.take(ACCOUNT):
            holder.note_arrival(ACCOUNT)
            self.admitted_s.append(self.clock.now_s())
            taken += 1
        return taken

    def check(self) -> None:
        """Check that rate, burst, tokens and permits are within the quotas."""
        held = [
            holder.held(ACCOUNT)
            for holder in self.holders
            if ACCOUNT in holder.resources()
        ]
        assert sum(each[0] for each in held) <= self.quota.rate_per_s + 1e-6
        bursts = sum(each[1] for each in held)
        assert bursts <= self.quota.burst + TOLERANCE
        tokens = sum(each[2] for each in held) + self.ledger.tokens(ACCOUNT)
        in_transit = self.tokens_in_transit()
        assert tokens + in_transit <= self.quota.burst + TOLERANCE
        permits = sum(holder.held(PERMITS)[1] for holder in self.holders)
        assert permits <= SLOTS.burst + TOLERANCE

    def tokens_in_transit(self) -> float:
        """Return the tokens granted that live holders have not received."""
        total = 0.0
        for lease in self.ledger._leases.values():
            holder = self.holders[int(lease.key[0][1:])]
            share = self.ledger._pools[ACCOUNT].shares.get(lease.lease_id)
            if share is None or lease.key[1] != holder._incarnation:
                continue
            buckets = {**holder._untracked, **holder._buckets}
            holds_lease = lease.lease_id == holder._lease_id
            bucket = buckets.get(ACCOUNT)
            received = bucket.given if bucket and holds_lease else 0
            total += max(0.0, share.given - received)
        return total

    def check_windows(self) -> None:
        """Check the admissions of all time windows at once.

        Every window is within burst + rate x window exactly if one bucket for
        the quota, full at the start, never falls below zero tokens.
        """
        tokens = self.quota.burst
        before_s = 0.0
        for at_s in self.admitted_s:
            earned = (at_s - before_s) * self.quota.rate_per_s
            tokens = min(self.quota.burst, tokens + earned) - 1
            before_s = at_s
            assert tokens >= -TOLERANCE


def perform(fleet: Fleet, kind: str, number: int, amount: float) -> None:
    index = number % len(fleet.holders)
    if kind == 'advance':
        fleet.clock.advance(amount)
    elif kind == 'renew':
        fleet.exchange(index)
    elif kind == 'send':
        fleet.send(index)
    elif kind == 'request' and fleet.requests:
        # Any of the last messages may arrive, late or repeatedly.
        fleet.deliver_request(-1 - number % min(6, len(fleet.requests)))
    elif kind == 'reply' and fleet.replies:
        fleet.deliver_reply(-1 - number % min(6, len(fleet.replies)))
    elif kind == 'use':
        fleet.use_all(index)
    elif kind == 'leader':
        fleet.change_leader()
    else:
        inject_fault(fleet, kind, number, amount)


def inject_fault(fleet: Fleet, kind: str, number: int, amount: float) -> None:
    index = number % len(fleet.holders)
    holder = fleet.holders[index]
    if kind == 'permit':
        # Released at once, because work in progress may outlast a lease.
        holder.note_waiting(PERMITS, number % 3)
        holder.take(PERMITS)
        holder.give_back(PERMITS)
        holder.note_waiting(PERMITS, -(number % 2))
    elif kind == 'crash':
        fleet.holders[index] = fleet.new_holder(index)
    elif kind == 'clock back':
        holder._clock.offset_s -= amount  # type: ignore[attr-defined]
    elif kind == 'untrack':
        # The next use tracks it again.
        holder.untrack(ACCOUNT)


COMMON = ('advance', 'renew', 'send', 'request', 'reply', 'use', 'permit')
FAULTS = ('crash', 'leader', 'clock back', 'untrack')
STEPS = 400


@settings(
    derandomize=True,
    max_examples=200,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 2**32))
def test_no_window_exceeds_the_account(seed: int) -> None:
    """Guards against tokens or rates counted twice under any fault.

    Each run weighs the actions differently, because some faults need many
    of one kind in a row.
    """
    chance = random.Random(seed)
    weights = [
        *(chance.choice((1, 3, 9)) for _kind in COMMON),
        *(chance.choice((0, 0, 0.1, 0.5)) for _kind in FAULTS),
    ]
    amounts = chance.choice(((0.01, 0.1, 0.4), (0.1, 1.0, 4.0)))
    fleet = Fleet()
    fleet.clock.advance(LEASE_S)
    kinds = chance.choices(COMMON + FAULTS, weights, k=STEPS)
    for kind in kinds:
        perform(fleet, kind, chance.randrange(12), chance.choice(amounts))
        fleet.check()
    fleet.check_windows()


@pytest.fixture
def fleet() -> Fleet:
    """A fleet whose account is new, with shares at all holders."""
    ready = Fleet()
    ready.clock.advance(LEASE_S)
    ready.ledger.remove(ACCOUNT)
    ready.ledger._known_resources.clear()
    ready.ledger.set_whole(ACCOUNT, RATE)
    for index in range(3):
        ready.exchange(index)
    return ready


def test_idle_holders_have_a_base_share(fleet: Fleet) -> None:
    """Guards against a first request that has to wait for the leader."""
    assert all(holder.take(ACCOUNT) for holder in fleet.holders)


def test_one_holder_can_use_the_whole(fleet: Fleet) -> None:
    """Guards against rate that stays at holders without traffic."""
    admitted = 0
    started_s = fleet.clock.now_s()
    for _step in range(200):
        fleet.clock.advance(0.05)
        admitted += fleet.use_all(0)
        for index in range(3):
            fleet.exchange(index)
    window_s = fleet.clock.now_s() - started_s
    # The base shares of the two other holders stay unused.
    assert admitted >= RATE.rate_per_s * window_s * 0.97
    fleet.check_windows()


def test_reduction_counts_only_when_confirmed(fleet: Fleet) -> None:
    """Guards against lending a rate that another holder still uses."""
    for _step in range(20):
        fleet.clock.advance(0.1)
        fleet.use_all(0)
        fleet.exchange(0)
    assert fleet.holders[0].held(ACCOUNT)[0] > 40
    fleet.clock.advance(3)
    fleet.send(0)
    fleet.deliver_request(-1)
    assert fleet.ledger.lent(ACCOUNT).rate_per_s > 40
    fleet.deliver_reply(-1)
    fleet.exchange(0)
    assert fleet.ledger.lent(ACCOUNT).rate_per_s < 5


def test_share_of_a_dead_holder_is_lent_after_its_lease(fleet: Fleet) -> None:
    for _step in range(20):
        fleet.clock.advance(0.1)
        fleet.use_all(0)
        fleet.exchange(0)
    fleet.clock.advance(LEASE_S - 0.1)
    assert fleet.ledger.lent(ACCOUNT).rate_per_s > 40
    fleet.clock.advance(0.1)
    assert fleet.ledger.lent(ACCOUNT) == Quota(0, 0)


def test_claims_keep_shares_over_a_leader_change(fleet: Fleet) -> None:
    """Guards against rejected requests in an election, and against growth."""
    for _step in range(20):
        fleet.clock.advance(0.1)
        fleet.use_all(0, limit=3)
        fleet.exchange(0)
    before = fleet.holders[0].held(ACCOUNT)
    fleet.clock.advance(2)
    fleet.change_leader()
    fleet.exchange(0)
    rate_per_s, burst, tokens = fleet.holders[0].held(ACCOUNT)
    assert rate_per_s == before[0]
    assert tokens >= 1
    fleet.exchange(1)
    assert fleet.holders[1].held(ACCOUNT)[1] <= before[1] + burst
    assert fleet.ledger.tokens(ACCOUNT) == 0


def test_answer_from_before_a_clock_step_back_is_ignored(
    fleet: Fleet,
) -> None:
    """Guards against a lease that seems to last longer than it does."""
    fleet.send(0)
    fleet.deliver_request(-1)
    fleet.holders[0]._clock.offset_s -= 3  # type: ignore[attr-defined]
    fleet.deliver_reply(-1)
    assert fleet.holders[0].held(ACCOUNT) == (0, 0, 0)


def test_late_answer_to_a_claim_raises_nothing(fleet: Fleet) -> None:
    """Guards against a claim that outlives what the holder held."""
    for _step in range(20):
        fleet.clock.advance(0.1)
        fleet.use_all(0)
        fleet.exchange(0)
    fleet.change_leader()
    fleet.send(0)
    fleet.deliver_request(-1)
    claimed = fleet.holders[0].held(ACCOUNT)[1]
    fleet.use_all(0)
    fleet.clock.advance(0.1)
    fleet.holders[0]._buckets[ACCOUNT].reserve_demand = DemandEstimator(
        time_constant_s=1
    )
    # Returns empty burst; this claim is lost.
    fleet.send(0)
    burst = fleet.holders[0].held(ACCOUNT)[1]
    assert burst < claimed
    fleet.deliver_reply(-1)
    assert fleet.holders[0].held(ACCOUNT)[1] <= burst


def test_rounding_of_totals_does_not_stop_grants() -> None:
    """Guards against dividing by a total that rounding errors made zero."""
    pool = Pool(RATE, 0.0, tokens=RATE.burst)
    large, small = Share(), Share()
    for share, amount in ((large, 1e17), (small, 1.0), (large, 0.0)):
        pool.update_demand(
            share, demand_per_s=amount, wanted_burst=amount, reserve=amount
        )
    assert pool.wanted_burst == 0
    assert pool.desired_quota(small).burst >= 1


@pytest.mark.parametrize('is_lost', [False, True])
def test_tokens_for_a_resource_given_up_are_not_received_later(
    fleet: Fleet, *, is_lost: bool
) -> None:
    """Guards against tokens that reappear after the pool filled again."""
    holder = fleet.holders[0]
    holder.note_waiting(ACCOUNT, 10)
    fleet.send(0)
    fleet.deliver_request(-1)
    holder.untrack(ACCOUNT)
    if is_lost:
        fleet.exchange(0)
    else:
        fleet.deliver_reply(-1)
    holder.track(ACCOUNT)
    holder.note_waiting(ACCOUNT, -10)
    fleet.exchange(0)
    fleet.clock.advance(2)
    fleet.holders[1].note_waiting(ACCOUNT, 40)
    fleet.exchange(1)
    fleet.use_all(1)
    # Returns empty burst, so that the pool has room for tokens again.
    fleet.holders[1].note_waiting(ACCOUNT, -40)
    fleet.exchange(1)
    fleet.exchange(1)
    fleet.exchange(0)
    fleet.use_all(0)
    fleet.holders[2].note_waiting(ACCOUNT, 20)
    fleet.exchange(2)
    fleet.use_all(2)
    fleet.check_windows()


def test_change_of_the_account_reaches_holders(fleet: Fleet) -> None:
    for _step in range(20):
        fleet.clock.advance(0.1)
        fleet.use_all(0)
        fleet.exchange(0)
    fleet.ledger.set_whole(ACCOUNT, Quota(5, 4))
    for _round in range(2):
        fleet.exchange(0)
    assert fleet.ledger.lent(ACCOUNT).rate_per_s <= 5 + TOLERANCE
    assert fleet.holders[0].held(ACCOUNT)[1] <= 4
    fleet.ledger.remove(ACCOUNT)
    fleet.exchange(0)
    assert fleet.holders[0].held(ACCOUNT) == (0, 0, 0)


def test_recreated_account_does_not_start_with_a_full_burst(
    fleet: Fleet,
) -> None:
    """Guards against a second burst while old leases are in force."""
    fleet.use_all(0)
    fleet.ledger.remove(ACCOUNT)
    fleet.ledger.set_whole(ACCOUNT, RATE)
    assert fleet.ledger.tokens(ACCOUNT) < RATE.burst


def test_leaving_holder_returns_its_share(fleet: Fleet) -> None:
    leaving = fleet.holders[0].request(is_leaving=True)
    before = fleet.ledger.tokens(ACCOUNT)
    lent = fleet.ledger.lent(ACCOUNT)
    fleet.ledger.renew(leaving)
    assert fleet.ledger.lent(ACCOUNT).burst < lent.burst
    assert fleet.ledger.tokens(ACCOUNT) > before


def test_permits_in_use_stay_counted(fleet: Fleet) -> None:
    """Guards against lending a slot that is still in use."""
    holder = fleet.holders[0]
    for _each in range(5):
        holder.note_waiting(PERMITS, 1)
        fleet.exchange(0)
        assert holder.take(PERMITS)
    holder.note_waiting(PERMITS, -5)
    fleet.ledger.set_whole(PERMITS, Quota(0, 2))
    for _round in range(3):
        fleet.exchange(0)
    assert fleet.ledger.lent(PERMITS).burst == 5
    assert not holder.take(PERMITS)
    for _each in range(5):
        holder.give_back(PERMITS)
    for _round in range(3):
        fleet.exchange(0)
    assert fleet.ledger.lent(PERMITS).burst == 0


def test_resource_that_was_owned_in_parts_starts_empty() -> None:
    """Guards against a burst that is lent after its parts were used.

    The allocator removes accounts that control instances own in parts; a
    raised burst returns them to the ledger.
    """
    clock = ManualClock(0.0)
    ledger = Ledger(clock=clock, lease_s=4.0, possible_holders=())
    ledger.remove('account/small')
    clock.advance(10.0)
    ledger.set_whole('account/small', Quota(400, 400))
    assert ledger.tokens('account/small') == 0

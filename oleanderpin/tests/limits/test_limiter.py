"""The rate limiter with its share holder and the allocator of the leader."""

import threading
from concurrent.futures import ThreadPoolExecutor
from types import MappingProxyType, SimpleNamespace
from typing import Any

import pytest

from ...control.state import Account, ControlState, ShareHolderRecord
from ...core.clock import MonotonicClock
from ...core.errors import Refusal, UnavailableError
from ...core.settings import ControlSettings, ForwardingSettings, LimitsSettings
from ...limits.allocator import ShareAllocator
from ...limits.limiter import RateLimiter
from ...limits.messages import Quota
from ...limits.shares import ShareHolder, early_gap_s
from ...testing import ManualClock
from ...wire.generated.common.ttypes import NotLeader

SHOP = Account('shop', rate_per_s=20, burst=8)
PERMITS = 'capacity/north/desk'
# The second holder never claims, so that a new ledger waits one lease time.
HOLDERS = MappingProxyType(
    {name: ShareHolderRecord(name) for name in ('north-1', 'south-1')}
)


class Clock(ManualClock):
    """A running clock that can be advanced."""

    def __init__(self) -> None:
        super().__init__(0.0)
        self._running = MonotonicClock()

    def now_s(self) -> float:
        return super().now_s() + self._running.now_s()


class Instance:
    """One instance that is both leader and holder, without a network."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.stopping = threading.Event()
        self.settings = SimpleNamespace(
            instance=SimpleNamespace(name='north-1', roles=('entry',)),
            control=ControlSettings(),
            limits=LimitsSettings(renew_interval_s=0.1),
            forwarding=ForwardingSettings(),
        )
        self.state = ControlState(share_holders=HOLDERS)
        self.revision = 1
        self.leads = True
        self.is_reachable = True
        self.allocator = ShareAllocator(self)
        self.shares = ShareHolder(self)
        self.limiter = RateLimiter(self)

    def plugin(self, plugin_class: type) -> Any:
        if plugin_class is ShareHolder:
            return self.shares
        return self

    def wait_while_running(self, duration_s: float) -> bool:
        return not self.stopping.wait(duration_s)

    def register(self, *_arguments: Any) -> None:
        """Stand in for the peer server."""

    def own(self) -> Any:
        return SimpleNamespace(incarnation=1)

    def has_lease(self) -> bool:
        return self.leads

    def leadership(self) -> Any:
        return SimpleNamespace(leader_address='127.0.0.1:1')

    def call(self, _service: str, method: str, request: Any, **_: Any) -> Any:
        if not self.is_reachable:
            raise UnavailableError('no leader')
        return self.allocator.handle_renewal(
            request, is_partial=method == 'renew_changes'
        )

    def put(self, *accounts: Account) -> None:
        records = {account.name: account for account in accounts}
        self.state = ControlState(
            accounts=MappingProxyType(records), share_holders=HOLDERS
        )

    def renew(self) -> None:
        self.shares._track_accounts()
        self.shares._renew()

    def recover(self) -> None:
        """Renew steadily until the ledger has recovered."""
        for _each in range(10):
            self.renew()
            self.clock.advance(0.5)
        self.renew()

    def admit(self, max_wait_s: float = 0.5) -> None:
        self.limiter.admit(SHOP, deadline_s=self.clock.now_s() + max_wait_s)


@pytest.fixture
def instance() -> Any:
    made = Instance()
    yield made
    made.stopping.set()


def outcome(instance: Instance) -> str:
    try:
        instance.admit(1.0)
    except Refusal as refusal:
        assert refusal.details.retry_after_s > 0
        return refusal.reason
    return 'admitted'


def test_burst_is_admitted_and_then_refused(instance: Instance) -> None:
    instance.recover()
    instance.put(SHOP)
    instance.shares.start()
    started_s = instance.clock.now_s()
    with ThreadPoolExecutor(40) as callers:
        outcomes = list(callers.map(outcome, [instance] * 40))
    window_s = instance.clock.now_s() - started_s
    count = outcomes.count('admitted')
    assert SHOP.burst <= count <= SHOP.burst + SHOP.rate_per_s * window_s
    assert set(outcomes) == {'admitted', 'over_rate'}


def test_unreachable_leader_is_not_called_over_rate(
    instance: Instance,
) -> None:
    """Guards against 429 for callers within their rate."""
    instance.put(SHOP)
    instance.is_reachable = False
    instance.shares.start()
    with pytest.raises(Refusal) as caught:
        instance.admit(0.05)
    assert caught.value.reason == 'no_rate_share'
    assert caught.value.details.suggest_instances


def test_recovering_ledger_is_not_called_over_rate(
    instance: Instance,
) -> None:
    """Guards against 429 within the rate after a leader change."""
    instance.put(SHOP)
    instance.shares.start()
    with pytest.raises(Refusal) as caught:
        instance.admit(0.3)
    assert caught.value.reason == 'no_rate_share'


def test_unobserved_lead_starts_a_new_ledger(instance: Instance) -> None:
    """Guards against using a ledger that another leader may have replaced."""
    instance.recover()
    first = instance.allocator._ledger
    instance.clock.advance(0.5)
    instance.renew()
    assert instance.allocator._ledger is first
    instance.clock.advance(1)
    instance.renew()
    assert instance.allocator._ledger is not first


def test_follower_names_the_leader(instance: Instance) -> None:
    instance.leads = False
    with pytest.raises(NotLeader) as caught:
        instance.renew()
    assert caught.value.leader_address == '127.0.0.1:1'


def test_changed_and_deleted_account(instance: Instance) -> None:
    instance.recover()
    instance.put(Account('shop', rate_per_s=20, burst=80))
    instance.renew()
    assert instance.shares.holder.held('account/shop')[1] > 0
    instance.put(Account('shop', rate_per_s=1, burst=1))
    instance.renew()
    instance.renew()
    assert instance.allocator._ledger.lent('account/shop').burst <= 1
    instance.put()
    instance.renew()
    instance.renew()
    assert 'account/shop' not in instance.shares.holder.resources()
    assert 'account/shop' not in instance.allocator._ledger._pools


def test_permits_are_lent_and_given_back(instance: Instance) -> None:
    instance.allocator.set_whole(PERMITS, Quota(0, 2))
    instance.recover()
    instance.shares.start()
    soon_s = instance.clock.now_s() + 2
    with (
        instance.shares.permit(PERMITS, deadline_s=soon_s),
        instance.shares.permit(PERMITS, deadline_s=soon_s),
        pytest.raises(Refusal) as caught,
        instance.shares.permit(PERMITS, deadline_s=soon_s),
    ):
        pass
    assert caught.value.reason == 'no_permit'
    with instance.shares.permit(PERMITS, deadline_s=soon_s):
        assert instance.shares.holder.held(PERMITS)[1] >= 1


def test_stop_returns_the_shares(instance: Instance) -> None:
    instance.recover()
    instance.put(SHOP)
    instance.renew()
    instance.stopping.set()
    instance.shares.stop()
    assert instance.allocator._ledger.lent('account/shop') == Quota(0, 0)
    assert instance.allocator._ledger.tokens('account/shop') == SHOP.burst


def test_distance_from_the_leader_does_not_lower_the_rate_of_renewals() -> None:
    """Guards against a region whose requests wait longer for their tokens."""
    near_s, far_s = 0.003, 0.115
    for holder_count in (11, 66):
        intervals = [
            round_trip_s + early_gap_s(holder_count, round_trip_s)
            for round_trip_s in (near_s, far_s)
        ]
        assert max(intervals) <= max(far_s + 0.02, min(intervals))
    assert early_gap_s(530, near_s) > 1.0

"""Tests of the router: shift cap, drains, slow start and load reports."""

from collections import Counter

import pytest

from ...control.state import Move, Profile
from ...core.errors import Refusal
from ...routing.outcome import AttemptOutcome
from ...routing.router import Router
from ...routing.shift_budget import POOL_FRACTION
from ...testing import ManualClock
from ...testing.routing import RoutingWorld, make_target

DOMAINS = ('north-a', 'north-b', 'south-a', 'south-b')
RATE_PER_S = 20
# Requests by which a cell may exceed its share.
MAX_AHEAD_REQUESTS = 2


class Fleet:
    """Four instances that share eight targets."""

    def __init__(self, **profile: float) -> None:
        self.clock = ManualClock()
        self.world = RoutingWorld(self.clock, Profile(name='p', **profile))
        for domain in DOMAINS:
            for index in range(2):
                self.announce(f'{domain}-{index}', domain)
        self.routers = {
            domain: self.world.router(f'i-{domain}', failure_domain=domain)
            for domain in DOMAINS
        }
        self.refusals: Counter[str] = Counter()

    def announce(self, name: str, domain: str, version: str = 'v1') -> None:
        target = make_target(
            name, failure_domain=domain, version=version, slots=50
        )
        self.world.put(target)

    def run(self, seconds: int, *, rate: int = RATE_PER_S) -> Counter[str]:
        """Send ``rate`` requests per second to each instance."""
        admitted: Counter[str] = Counter()
        for _request in range(seconds * rate):
            self.clock.advance(1 / rate)
            for router in self.routers.values():
                admitted.update(self.ask(router))
        return admitted

    def ask(self, router: Router) -> list[str]:
        try:
            selection = router.choose(self.world.service, route='r')
        except Refusal as refusal:
            assert refusal.details.not_run
            assert refusal.details.retry_after_s
            self.refusals[refusal.reason] += 1
            return []
        with selection:
            selection.record(AttemptOutcome('ok', 10.0))
        target = selection.target
        return [f'{target.failure_domain} {target.version}']


def fail_over(fleet: Fleet) -> None:
    fleet.world.remove('north-a-0', 'north-a-1')


def drain(fleet: Fleet) -> None:
    fleet.world.drain('north-a', kind='failure_domain')


def lose_region(fleet: Fleet) -> None:
    fleet.world.remove(*(f'north-{d}-{i}' for d in 'ab' for i in (0, 1)))
    for domain in ('north-a', 'north-b'):
        fleet.world.peers.pop(f'i-{domain}')
        fleet.routers.pop(domain)


def move(fleet: Fleet) -> None:
    state = fleet.world.state
    ended = Move('desk', 'v1', 'v2', 0.0, status='running', share_percent=100)
    fleet.world.change(state.with_record('moves', 'desk', ended))


@pytest.mark.parametrize('cause', [fail_over, drain, lose_region, move])
def test_shift_within_an_interval_keeps_the_cap(cause: object) -> None:
    """Guards against a cause of shifts that bypasses the shift limiter."""
    fleet = Fleet(shift_cap_percent=20, shift_interval_s=10, slow_start_s=0)
    for domain in DOMAINS:
        fleet.announce(f'{domain}-v2', domain, 'v2')
    fleet.run(20)
    before = fleet.run(10)
    offered = 10 * RATE_PER_S * len(DOMAINS)
    assert before.total() == offered
    cause(fleet)
    rate = RATE_PER_S * len(DOMAINS) // len(fleet.routers)
    previous = before
    for _interval in range(3):
        now = fleet.run(10, rate=rate)
        gained = (now - previous).total()
        allowed = 0.2 * offered + MAX_AHEAD_REQUESTS * 8 * len(fleet.routers)
        assert gained <= allowed
        previous = now
    assert fleet.refusals['shift_cap']
    assert set(fleet.refusals) == {'shift_cap'}


class Pool:
    """Grants at most its fraction of the cap in any interval."""

    def __init__(self, clock: ManualClock, fleet_rate_per_s: float) -> None:
        self.clock = clock
        self.allowed_per_s = fleet_rate_per_s * 0.2 * POOL_FRACTION
        self.taken: list[tuple[float, float]] = []

    def take(self, amount_per_s: float) -> bool:
        since_s = self.clock.now_s() - 10
        self.taken = [each for each in self.taken if each[0] > since_s]
        taken_per_s = sum(each[1] for each in self.taken)
        if taken_per_s + amount_per_s > self.allowed_per_s:
            return False
        self.taken.append((self.clock.now_s(), amount_per_s))
        return True


def test_shared_pool_moves_more_and_keeps_the_fleets_cap() -> None:
    """Guards against instances that together exceed a shared cap."""
    gained = {}
    for has_pool in (False, True):
        fleet = Fleet(shift_cap_percent=20, slow_start_s=0)
        if has_pool:
            pool = Pool(fleet.clock, RATE_PER_S * len(DOMAINS))
            for router in fleet.routers.values():
                router.use_shift_pools(lambda _service, pool=pool: pool)
        fleet.run(20)
        before = fleet.run(10)
        fail_over(fleet)
        gained[has_pool] = (fleet.run(10) - before).total()
    offered = 10 * RATE_PER_S * len(DOMAINS)
    assert gained[True] > gained[False]
    assert gained[True] <= 0.2 * offered + MAX_AHEAD_REQUESTS * 4 * len(DOMAINS)


def test_recovery_counts_as_a_shift() -> None:
    """Guards against a failure domain that regains all traffic at once."""
    fleet = Fleet(shift_cap_percent=20, shift_interval_s=10, slow_start_s=0)
    fleet.run(30)
    fail_over(fleet)
    fleet.run(80)
    for index in range(2):
        fleet.announce(f'north-a-{index}', 'north-a')
    fleet.refusals.clear()
    back = fleet.run(10)
    assert (
        0
        < back['north-a v1']
        <= 0.2 * 10 * RATE_PER_S * 4 + MAX_AHEAD_REQUESTS * 4
    )
    assert not fleet.refusals


def test_first_start_has_no_baseline_split() -> None:
    """Guards against rejected requests while a fleet starts."""
    fleet = Fleet(shift_cap_percent=1, shift_interval_s=10)
    fleet.run(30)
    assert not fleet.refusals


def test_draining_target_gets_no_requests_and_ramps_up_after() -> None:
    """Guards against new requests to a draining target and a cold return."""
    fleet = Fleet(shift_cap_percent=100, slow_start_s=20)
    fleet.run(20)
    fleet.world.drain('north-a-0', kind='target')
    router = fleet.routers['north-a']
    chosen = {choose(router, fleet) for _each in range(200)}
    assert 'north-a-0' not in chosen
    state = fleet.world.state.without_record('drains', 'north-a-0')
    fleet.world.change(state)
    counts: Counter[str] = Counter()
    for _each in range(400):
        fleet.clock.advance(0.005)
        counts[choose(router, fleet)] += 1
    others = sum(counts.values()) / 4
    assert 0 < counts['north-a-0'] < others / 2


def choose(router: Router, fleet: Fleet) -> str:
    selection = router.choose(fleet.world.service, route='r')
    with selection:
        return selection.target.address


def test_low_load_report_attracts_no_traffic() -> None:
    """Guards against a target that attracts requests by reporting no load."""
    fleet = Fleet(shift_cap_percent=100)
    for address in ('north-a-1', 'north-b-0', 'north-b-1'):
        fleet.world.renew(address, load=10)
    fleet.world.renew('north-a-0', load=0)
    router = fleet.routers['north-a']
    held = [router.choose(fleet.world.service, route='r') for _ in range(60)]
    low_reporter = sum(each.target.address == 'north-a-0' for each in held)
    assert low_reporter <= 60 * 0.45


def test_lost_measurements_are_not_read_as_zero_load() -> None:
    """Guards against a target without recent data that looks idle and fast."""
    fleet = Fleet(shift_cap_percent=100)
    router = fleet.routers['north-a']
    slow = 'north-a-0'
    for _each in range(300):
        fleet.clock.advance(0.01)
        with router.choose(fleet.world.service, route='r') as selection:
            address = selection.target.address
            took_ms = 200.0 if address == slow else 20.0
            selection.record(AttemptOutcome('ok', took_ms))
    fleet.clock.advance(3600)
    held = [router.choose(fleet.world.service, route='r') for _ in range(40)]
    counts = Counter(each.target.address for each in held)
    assert counts[slow] <= 40 / 4 + 5


def test_unreachable_targets_are_tried_last() -> None:
    """Guards against spending all attempts on targets of a lost domain."""
    fleet = Fleet(shift_cap_percent=100)
    router = fleet.routers['north-a']
    unreachable = {'north-a-0', 'north-a-1'}
    wasted = 0
    for _each in range(100):
        with router.choose(fleet.world.service, route='r') as selection:
            is_unreachable = selection.target.address in unreachable
            wasted += is_unreachable
            result = 'no_connection' if is_unreachable else 'ok'
            selection.record(AttemptOutcome(result, 10.0))
    assert wasted == len(unreachable)
    tried = ['north-b-0', 'north-b-1', 'south-a-0', 'south-a-1']
    tried += ['south-b-0', 'south-b-1']
    with router.choose(
        fleet.world.service, route='r', exclude=tried
    ) as selection:
        assert selection.target.address in unreachable

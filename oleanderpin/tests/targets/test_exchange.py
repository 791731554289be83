"""Exchange of targets: leaves, restarts, deltas and new instances."""

import threading
from dataclasses import replace
from typing import Any

import pytest

from ... import daemon  # noqa: F401  registers all plug-ins
from ...core.kernel import Kernel
from ...membership.peers import Peer, Peers
from ...targets.announcement import Announcement, Departure, Target
from ...targets.exchange import Exchange, pull_source
from ...targets.table import LEAVE_LEASE_S, TARGET_LEASE_S, TargetTable
from ...testing.builders import make_peers
from ...testing.clock import ManualClock
from ...testing.fleet import build_fleet
from ..control.group import wait_until


class Pair:
    """Two instances that exchange records only on request."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.kernels = build_fleet(['north-a', 'north-b'], clock=self.clock)
        self.sent = [0, 0]

    def table(self, number: int) -> TargetTable:
        return self.kernels[number].plugin(TargetTable)

    def exchange(self, number: int) -> Exchange:
        return self.kernels[number].plugin(Exchange)

    def push(self, source: int, target: int) -> int:
        """Push records that are not yet sent; return their number."""
        update = self.exchange(source).update_after(self.sent[source])
        self.sent[source] = self.exchange(source).published.version
        self.exchange(target).receive(update)
        return len(update.records)


@pytest.fixture
def pair() -> Pair:
    return Pair()


def announcement(**changes: Any) -> Announcement:
    fields = {
        'service': 'desk',
        'target_id': 't1',
        'address': '127.0.0.1:9',
        'region': 'north',
        'failure_domain': 'north-a',
        'slots': 8,
    }
    return Announcement(**(fields | changes))


def departure(**changes: Any) -> Departure:
    return Departure(service='desk', target_id='t1', **changes)


def found(table: TargetTable) -> tuple[Target, ...]:
    return table.targets('desk')


@pytest.mark.parametrize('generation', [None, 7])
def test_late_announcement_does_not_undo_a_leave(
    pair: Pair, generation: int | None
) -> None:
    """Guards against new requests to a target that is leaving."""
    pair.table(0).announce(announcement(generation=generation))
    pair.push(0, 1)
    late = pair.exchange(0).update_after(0)
    pair.table(1).leave(departure())
    assert not found(pair.table(1))
    # The same announcement arrives at the other instance, then from it.
    pair.table(0).announce(announcement(generation=generation, load=5))
    pair.push(0, 1)
    pair.exchange(1).receive(late)
    assert not found(pair.table(1))
    pair.push(1, 0)
    assert not found(pair.table(0))
    for _second in range(int(LEAVE_LEASE_S * 2)):
        pair.clock.advance(1)
        pair.table(0).announce(announcement(generation=generation))
        pair.table(0).expire()
        assert not found(pair.table(0))


def test_target_that_starts_again_returns(pair: Pair) -> None:
    """Guards against a restarted target that gets no requests."""
    for generation in (1, 2):
        pair.table(0).announce(announcement(generation=generation))
        pair.push(0, 1)
        assert found(pair.table(1))
        pair.table(1).leave(departure(generation=generation))
        pair.push(1, 0)
        assert not found(pair.table(0))
    pair.table(0).announce(announcement(generation=1))
    assert not found(pair.table(0))


def test_leave_reaches_an_instance_that_does_not_know_the_target(
    pair: Pair,
) -> None:
    """Guards against losing a leave sent to a newly started instance."""
    pair.table(0).announce(announcement(generation=4))
    pair.table(1).leave(departure())
    pair.push(0, 1)
    pair.push(1, 0)
    assert not found(pair.table(0))
    assert not found(pair.table(1))


def test_only_noticeable_changes_are_pushed(pair: Pair) -> None:
    """Guards against sending every renewal of every target to peers."""
    pair.table(0).announce(announcement(load=10))
    assert pair.push(0, 1) == 1
    pair.table(0).announce(announcement(load=11))
    assert pair.push(0, 1) == 0
    pair.table(0).announce(announcement(load=20))
    assert pair.push(0, 1) == 1
    assert found(pair.table(1))[0].load == 20


def test_new_instance_pulls_the_whole_table(pair: Pair) -> None:
    """Guards against an instance that waits for changes to learn targets."""
    for number in range(3):
        pair.table(0).announce(announcement(target_id=f't{number}'))
    pair.clock.advance(2)
    for update in pair.exchange(0).all_pushes():
        pair.exchange(1).receive(update)
    assert len(found(pair.table(1))) == 3
    age_s = pair.clock.now_s() - found(pair.table(1))[0].load_seen_s
    assert age_s >= 2


def test_targets_of_a_dead_origin_stay_until_their_lease_ends(
    pair: Pair,
) -> None:
    """Guards against losing targets with the instance that owns them."""
    pair.table(0).announce(announcement())
    pair.push(0, 1)
    ttl_s = pair.exchange(0).renew_interval_s() * 3
    pair.clock.advance(ttl_s - 0.1)
    assert found(pair.table(1))
    pair.push(0, 1)
    pair.clock.advance(ttl_s - 0.1)
    assert found(pair.table(1))
    pair.clock.advance(0.2)
    assert not found(pair.table(1))


def test_target_that_stops_renewing_is_withdrawn(pair: Pair) -> None:
    """Guards against a dead target that its origin keeps renewing."""
    pair.table(0).announce(announcement())
    pair.push(0, 1)
    pair.clock.advance(TARGET_LEASE_S)
    pair.table(0).expire()
    pair.push(0, 1)
    assert not found(pair.table(1))


def test_former_owner_does_not_revive_a_target(pair: Pair) -> None:
    """Guards against renewing an old record after a newer one expired."""
    pair.table(0).announce(announcement())
    pair.push(0, 1)
    for _announcement in range(2):
        pair.table(1).announce(announcement())
    pair.push(1, 0)
    pair.push(0, 1)
    pair.clock.advance(TARGET_LEASE_S)
    for number in (0, 1):
        pair.table(number).expire()
    pair.push(1, 0)
    for _renewal in range(int(LEAVE_LEASE_S)):
        pair.clock.advance(2)
        pair.push(0, 1)
        pair.push(1, 0)
        assert not found(pair.table(0)) + found(pair.table(1))


def test_renewal_keeps_the_end_of_the_cold_start(pair: Pair) -> None:
    """Guards against full load on a cold target after the next push."""
    pair.table(0).announce(announcement(cold_s=3.0))
    pair.push(0, 1)
    cold_until_s = found(pair.table(1))[0].cold_until_s
    assert cold_until_s == pair.clock.now_s() + 3.0
    pair.clock.advance(0.2)
    pair.push(0, 1)
    assert found(pair.table(1))[0].cold_until_s == cold_until_s


def test_record_of_an_older_push_is_ignored(pair: Pair) -> None:
    """Guards against a delayed push that replaces a newer record."""
    pair.table(0).announce(announcement(version='v1'))
    late = pair.exchange(0).update_after(0)
    pair.table(0).announce(announcement(version='v2'))
    pair.push(0, 1)
    pair.exchange(1).receive(late)
    assert found(pair.table(1))[0].version == 'v2'


def test_restarted_receiver_is_sent_all_records_again(pair: Pair) -> None:
    """Guards against sending only deltas to a peer that lost its records."""
    from ...targets.pusher import Pusher
    from ...wire.generated.exchange.ttypes import PushReply

    pushed: list[int] = []
    replies = iter([PushReply(1), PushReply(2), PushReply(2)])

    class Network:
        def call(self, *arguments: Any, timeout_s: float) -> PushReply:
            pushed.append(len(arguments[3].records))
            return next(replies)

    kernel: Kernel = pair.kernels[0]
    pusher = Pusher(kernel, pair.exchange(0), Network())  # type: ignore[arg-type]
    pair.table(0).announce(announcement())
    assert pusher.push_once()
    assert not pusher.push_once()
    assert pusher.push_once()
    assert pushed == [1, 0, 1]


def _pushing_threads() -> int:
    return sum(thread.name == 'push' for thread in threading.enumerate())


def test_instance_without_records_has_no_thread_per_peer() -> None:
    """Guards against a cost of idle instances that grows with the fleet."""
    kernels = build_fleet(['north-a'] * 4)
    threads_before = _pushing_threads()
    try:
        for kernel in kernels:
            kernel.start()
        wait_until(
            'all instances known',
            lambda: all(
                len(each.plugin(Peers).alive()) == len(kernels)
                for each in kernels
            ),
        )
        kernels[0].plugin(TargetTable).announce(announcement())
        wait_until(
            'target known everywhere',
            lambda: all(found(each.plugin(TargetTable)) for each in kernels),
        )
        assert _pushing_threads() - threads_before == len(kernels) - 1
    finally:
        for kernel in kernels:
            kernel.stop()


def test_new_instance_pulls_records_from_its_own_failure_domain() -> None:
    """Guards against whole tables that cross regions at each start."""
    near, control, region, far = (
        replace(peer, name=name, region=where, roles=(role,))
        for peer, name, where, role in (
            (make_peers('north-a', 1)[0], 'near', 'north', 'gateway'),
            (make_peers('north-a', 1)[0], 'control', 'north', 'control'),
            (make_peers('north-b', 1)[0], 'region', 'north', 'control'),
            (make_peers('south-a', 1)[0], 'far', 'south', 'control'),
        )
    )
    own = replace(near, name='own')
    assert pull_source(own, [far, region, near, control], asked=()) is control
    assert pull_source(own, [far, region, near], asked=()) is near
    assert pull_source(own, [far, region], asked=['north-a']) is region
    assert pull_source(own, [far, near], asked=['north-a']) is far
    assert pull_source(own, [near], asked=['north-a']) is None


def test_instance_whose_neighbour_has_no_records_asks_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start without targets after a loss of power.

    The control instance of the own failure domain has restarted too and knows
    no target yet; pushes follow only after seconds.
    """
    pair = Pair()
    exchange = pair.exchange(0)
    own = pair.kernels[0].plugin(Peers).own()
    found = {'north-a': 0, 'north-b': 5, 'south-a': 0, 'south-b': 0}
    others = [
        replace(
            own,
            name=domain,
            region=domain.partition('-')[0],
            failure_domain=domain,
            roles=('control',),
        )
        for domain in found
    ]
    monkeypatch.setattr(exchange._peers, 'alive', lambda: (own, *others))
    asked: list[str] = []

    def pull_from(peer: Peer) -> int:
        asked.append(peer.failure_domain)
        return found[peer.failure_domain]

    monkeypatch.setattr(exchange, 'pull_from', pull_from)
    assert [exchange.pull_step() for _each in range(3)] == [False, False, True]
    assert asked[:2] == ['north-a', 'north-b']
    assert asked[2] in {'south-a', 'south-b'}


def test_target_that_is_pulled_stays_cold() -> None:
    """Guards against full load from an instance that has just started.

    A renewal says nothing about the time at which a record was published.
    """
    clock = ManualClock()
    origin, relay, new = build_fleet(['north-a'] * 3, clock=clock)
    origin.plugin(TargetTable).announce(announcement(cold_s=3.0))
    relay.plugin(Exchange).receive(origin.plugin(Exchange).update_after(0))
    clock.advance(0.5)
    version = origin.plugin(Exchange).published.version
    renewal = origin.plugin(Exchange).update_after(version)
    relay.plugin(Exchange).receive(renewal)
    for update in relay.plugin(Exchange).all_pushes():
        new.plugin(Exchange).receive(update)
    (target,) = new.plugin(TargetTable).targets('desk')
    clock.advance(2.0)
    assert target.is_cold(clock.now_s())
    clock.advance(1.0)
    assert not target.is_cold(clock.now_s())

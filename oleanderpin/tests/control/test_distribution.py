"""Freshness, confirmations, choice of sources and order of revisions."""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from ... import daemon  # noqa: F401  registers all plug-ins
from ...control.authority import Authority
from ...control.change import Change, Outcome
from ...control.confirmations import Confirmations, WatcherId
from ...control.distribution import Distribution
from ...control.log import ControlLog, Leadership
from ...control.follower import SourceWatch
from ...control.sources import (
    control_sources,
    relays,
    sources,
    standby_sources,
)
from ...control.state import Service
from ...control.view import ControlView
from ...core.errors import Refusal
from ...core.kernel import Kernel
from ...core.metrics import EVENTS
from ...membership.members import as_alive
from ...membership.peers import Peer, Peers
from ...testing.clock import ManualClock
from ...testing.fleet import LinkFaults, build_fleet
from ...wire.generated.control.ttypes import Entry, WatchRequest
from ...wire.server import PeerServer
from .group import wait_until

LIMIT_S = 6.0
KEY_HASH = 'a' * 64


class LeaderLog:
    """Fake replicated log: a leader that accepts each change at once.

    It always has the lease, because the threads of the real log do not follow
    the manual clock.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._view = kernel.plugin(ControlView)
        self._address = kernel.settings.listen.peer
        self.is_leading = True

    def has_lease(self) -> bool:
        return self.is_leading

    def leadership(self) -> Leadership:
        return Leadership(self._address, is_self=True)

    def propose(self, payload: bytes, *, timeout_s: float) -> Outcome | None:
        entry = Entry(self._view.revision + 1, 1, payload)
        return self._view.apply([entry])[0]


class Chain:
    """A leader, two chained relays and a last instance, on a manual clock."""

    def __init__(self, data_dir: str, *, size: int = 4) -> None:
        self.clock = ManualClock()
        self.kernels = build_fleet(
            ['north-a'] * size, data_dir=data_dir, clock=self.clock
        )
        for kernel in self.kernels:
            kernel.plugin(PeerServer).start()
        log: Any = LeaderLog(self.kernels[0])
        self.kernels[0]._plugins[ControlLog] = log
        self.log = log
        # Ages are rounded up to milliseconds.
        self.clock.advance(0.1)

    def view(self, number: int) -> ControlView:
        return self.kernels[number].plugin(ControlView)

    def distribution(self, number: int) -> Distribution:
        return self.kernels[number].plugin(Distribution)

    def watch(self, number: int) -> None:
        """Let an instance send one watch request to its predecessor."""
        source = self.kernels[number - 1].settings.listen.peer
        self.distribution(number).follower.watch_once(source, hold_s=0)

    def change(self, command: str, **arguments: Any) -> int:
        change = Change(
            request_id=f'request-{self.view(0).revision}',
            command=command,
            arguments=arguments,
        )
        return self.distribution(0).propose(change).revision

    def share_membership(self) -> None:
        """Add each instance to the peer tables of all instances."""
        for kernel in self.kernels:
            for other in self.kernels:
                own = other.plugin(Peers).table.own
                kernel.plugin(Peers).table.merge(as_alive(own))

    def stop(self) -> None:
        for kernel in self.kernels:
            kernel.stopping.set()
            kernel.plugin(PeerServer).stop()


@pytest.fixture
def chain(tmp_path: Path) -> Iterator[Chain]:
    built = Chain(str(tmp_path))
    yield built
    built.stop()


def test_freshness_is_not_passed_on_as_younger_than_it_is(
    chain: Chain,
) -> None:
    """Guards against relays that pass on freshness with too low an age.

    Authority would then outlast the leader's lease.
    """
    confirmed_s = chain.clock.now_s()
    for number in (1, 2, 3):
        chain.watch(number)
        age_s = chain.view(number).freshness_age_s()
        assert age_s >= chain.clock.now_s() - confirmed_s
        chain.clock.advance(1.5)
    # A relay without new replies cannot renew the freshness of others.
    chain.watch(3)
    assert chain.view(3).freshness_age_s() >= 4.5
    chain.clock.advance(LIMIT_S - 4.5)
    chain.watch(3)
    assert not chain.view(3).is_fresh()


def test_time_in_a_held_watch_does_not_make_freshness_younger(
    chain: Chain,
) -> None:
    """Guards against counting freshness from the reply, not the request."""
    chain.watch(1)
    relay = chain.distribution(1)
    view = chain.view(1)

    def hold(revision: int, *, timeout_s: float) -> bool:
        chain.clock.advance(1.0)
        chain.watch(1)
        return False

    chain.clock.advance(2.0)
    view.wait_for = hold  # type: ignore[method-assign]
    request = WatchRequest('i2', 0, 1000, 0, 1)
    reply = relay.handle_watch(request)
    # The relay became fresh after the request arrived, so the watcher may
    # count from the time of its request, but not from a later time.
    assert reply.freshness_age_ms == 0


def test_time_in_a_held_watch_does_not_age_the_copy(chain: Chain) -> None:
    """Guards against 503 for what is not configured, in a calm fleet.

    The age of a copy that its standing is based on was counted from the request
    of each of three hops, which are held for 0.5 s each.
    """
    relay = chain.view(1)

    def hold(revision: int, *, timeout_s: float) -> bool:
        chain.clock.advance(1.0)
        chain.watch(1)
        return False

    relay.wait_for = hold  # type: ignore[method-assign]
    chain.watch(2)
    age_s = chain.clock.now_s() - chain.view(2).current_as_of_s()
    assert age_s <= 0.1
    chain.clock.advance(1.0)
    relay.wait_for = lambda *_, **__: False  # type: ignore[method-assign]
    chain.watch(2)
    age_s = chain.clock.now_s() - chain.view(2).current_as_of_s()
    assert age_s >= 1.0


def test_revoked_key_stops_working_on_a_cut_off_instance(
    chain: Chain,
) -> None:
    """Guards against a revoked key that stays valid during a partition."""
    chain.change('profile.put', name='counter')
    chain.change('account.put', name='shop', rate_per_s=1, burst=1)
    chain.change('service.put', name='desk', profile='counter')
    chain.change('key.add', key_hash=KEY_HASH, account='shop')
    chain.watch(1)
    authority = chain.kernels[1].plugin(Authority)
    service: Service = chain.view(1).state.services['desk']
    assert authority.check(key_hash=KEY_HASH, service=service).name == 'shop'
    revision = chain.change('key.revoke', key_hash=KEY_HASH)
    # The instance does not receive the change.
    chain.clock.advance(LIMIT_S)
    with pytest.raises(Refusal) as refused:
        authority.check(key_hash=KEY_HASH, service=service)
    assert refused.value.reason == 'no_fresh_authority'
    chain.clock.advance(0.2)
    assert chain.distribution(0).wait_in_force(revision, timeout_s=0)


def test_in_force_waits_for_an_instance_behind_a_relay(chain: Chain) -> None:
    """Guards against `in_force` while an instance uses the old state."""
    distribution = chain.distribution(0)
    chain.clock.advance(LIMIT_S)
    distribution.confirmations.begin_leadership(is_first=True)
    for number in (1, 2):
        chain.watch(number)
    revision = chain.change('profile.put', name='counter')
    assert not distribution.wait_in_force(revision, timeout_s=0.1)
    chain.watch(1)
    chain.watch(1)
    # The relay has applied the change, its watcher has not.
    assert not distribution.wait_in_force(revision, timeout_s=0.1)
    chain.watch(2)
    chain.watch(2)
    chain.watch(1)
    assert distribution.wait_in_force(revision, timeout_s=5)


def test_in_force_ends_by_time_for_a_dead_instance(chain: Chain) -> None:
    """Guards against waiting forever for an instance that is gone."""
    distribution = chain.distribution(0)
    distribution.confirmations.begin_leadership(is_first=True)
    chain.watch(1)
    revision = chain.change('profile.put', name='counter')
    chain.clock.advance(LIMIT_S - 0.1)
    assert not distribution.wait_in_force(revision, timeout_s=0.1)
    chain.clock.advance(0.3)
    assert distribution.wait_in_force(revision, timeout_s=5)


def test_confirmations_after_a_change_of_leader_count_late() -> None:
    """Guards against a new leader that ignores the old leader's watchers.

    It does not know them, so it has to wait until their authority expires.
    """
    clock = ManualClock()
    confirmations = Confirmations(clock, freshness_limit_s=LIMIT_S)
    assert not confirmations.wait(1, 1, 0)
    confirmations.begin_leadership(is_first=False)
    clock.advance(LIMIT_S)
    assert not confirmations.wait(1, 1, 0)
    clock.advance(1)
    assert confirmations.wait(1, 1, 0)


def test_restarted_relay_does_not_confirm_for_its_former_watchers() -> None:
    """Guards against `in_force` while a restarted relay's watchers are fresh.

    They watched the relay before its restart and still use the old state.
    """
    clock = ManualClock()
    confirmations = Confirmations(clock, freshness_limit_s=LIMIT_S)
    confirmations.begin_leadership(is_first=True)
    confirmations.record_grant(WatcherId('relay', 1), 3)
    confirmations.record_grant(WatcherId('relay', 2), 3)
    confirmations.confirm(WatcherId('relay', 2), 4)
    assert not confirmations.wait(4, 4, 0)
    clock.advance(LIMIT_S + 1)
    assert confirmations.wait(4, 4, 0)


def test_older_state_is_never_installed(chain: Chain) -> None:
    """Guards against a lagging source that restores a revoked key."""
    chain.change('profile.put', name='counter')
    older = chain.view(0).snapshot()
    chain.change('profile.put', name='other')
    chain.watch(1)
    assert not chain.view(1).install(older)
    assert chain.view(1).revision == 2


def test_freshness_from_before_the_start_is_not_taken(chain: Chain) -> None:
    """Guards against a restarted instance that uses an older revision."""
    chain.watch(1)
    chain.clock.advance(1.0)
    restarted: Kernel = build_fleet(['north-a'], clock=chain.clock)[0]
    source = chain.kernels[1].settings.listen.peer
    follower = restarted.plugin(Distribution).follower
    follower.watch_once(source, hold_s=0)
    assert not restarted.plugin(ControlView).is_fresh()
    chain.clock.advance(0.1)
    chain.watch(1)
    follower.watch_once(source, hold_s=0)
    assert restarted.plugin(ControlView).is_fresh()


def test_leader_has_no_confirmations_to_pass_on(chain: Chain) -> None:
    """Guards against a busy loop on a leader, which reports to no source."""
    chain.change('profile.put', name='counter')
    chain.watch(1)
    assert not chain.distribution(0).follower.has_unreported_revision()


def test_fallback_when_no_relay_responds(chain: Chain) -> None:
    """Guards against an instance that loses authority when its relays fail."""
    chain.share_membership()
    alive = chain.kernels[0].plugin(Peers).alive()
    chosen = {each.name for each in relays('north-a', alive)}
    leaf = next(
        each
        for each in chain.kernels[1:]
        if each.settings.instance.name not in chosen
    )
    cut = [
        each for each in chain.kernels if each.settings.instance.name in chosen
    ]
    LinkFaults(leaf).cut(*cut)
    leader = chain.kernels[0].settings.listen.peer
    for kernel in chain.kernels[1:]:
        if kernel is not leaf:
            follower = kernel.plugin(Distribution).follower
            follower.watch_once(leader, hold_s=0)
    assert not leaf.plugin(ControlView).is_fresh()
    for _step in range(len(chosen) + 1):
        leaf.plugin(Distribution).follower.follow_step()
    assert leaf.plugin(ControlView).is_fresh()


class Leaf:
    """An instance with two relays, of which it follows the first."""

    def __init__(self, chain: Chain) -> None:
        self.chain = chain
        chain.share_membership()
        alive = chain.kernels[0].plugin(Peers).alive()
        chosen = {each.name for each in relays('north-a', alive)}
        self.kernel = next(
            each
            for each in chain.kernels[1:]
            if each.settings.instance.name not in chosen
        )
        self.follower = self.kernel.plugin(Distribution).follower
        self.others = [
            each for each in chain.kernels[1:] if each is not self.kernel
        ]
        self.update_others()
        self.follower.follow_step()

    def followed(self) -> Kernel:
        """Return the instance that the leaf follows."""
        return next(
            each
            for each in self.chain.kernels
            if each.settings.listen.peer == self.follower.source
        )

    def update_others(self, *, left_out: Kernel | None = None) -> None:
        """Let all other instances but one get the leader's state."""
        leader = self.chain.kernels[0].settings.listen.peer
        for kernel in self.others:
            if kernel is not left_out:
                kernel.plugin(Distribution).follower.watch_once(
                    leader, hold_s=0
                )

    def seconds_until(
        self, revision: int, *, left_out: Kernel | None = None
    ) -> float:
        """Return how long it takes until the leaf has a revision."""
        clock = self.chain.clock
        started_s = clock.now_s()
        while self.kernel.plugin(ControlView).revision < revision:
            assert clock.now_s() - started_s < LIMIT_S
            self.update_others(left_out=left_out)
            before_s, source = clock.now_s(), self.follower.source
            self.follower.follow_step()
            is_held = self.follower.source == source
            if is_held and clock.now_s() == before_s:
                # Relays do not hold requests on the manual clock.
                clock.advance(self.kernel.settings.control.watch_hold_s)
        return clock.now_s() - started_s


def test_sources_are_searched_only_after_a_change(
    chain: Chain, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against idle instances that sort all their peers all the time."""
    searches = []

    def search(*arguments: Any) -> list[str]:
        searches.append(arguments)
        return sources(*arguments)

    monkeypatch.setattr('oleanderpin.control.follower.sources', search)
    follower = chain.distribution(1).follower
    before = [follower.ordered_sources() for _each in range(10)]
    assert len(searches) == 1
    chain.share_membership()
    assert follower.ordered_sources() != before[-1]
    assert len(searches) == 2


def test_silent_relay_delays_a_change_less_than_two_seconds(
    chain: Chain,
) -> None:
    """Guards against a change that is late behind a relay that lost power.

    The users allow 2 s on their smallest sites.
    """
    leaf = Leaf(chain)
    relay = leaf.followed()
    LinkFaults(leaf.kernel).silence(relay)
    revision = chain.change('profile.put', name='counter')
    assert leaf.seconds_until(revision, left_out=relay) <= 2.0


def test_cut_off_relay_delays_a_change_less_than_two_seconds(
    chain: Chain,
) -> None:
    """Guards against following a relay that answers but is itself cut off."""
    leaf = Leaf(chain)
    relay = leaf.followed()
    revision = chain.change('profile.put', name='counter')
    assert leaf.seconds_until(revision, left_out=relay) <= 2.0


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[list[Kernel]]:
    """Two failure domains that follow the leader with their own threads."""
    kernels = build_fleet(
        ['north-a'] * 5 + ['north-b'] * 2, data_dir=str(tmp_path)
    )
    log: Any = LeaderLog(kernels[0])
    kernels[0]._plugins[ControlLog] = log
    for kernel in kernels:
        for other in kernels:
            own = other.plugin(Peers).table.own
            kernel.plugin(Peers).table.merge(as_alive(own))
        kernel.plugin(PeerServer).start()
    for kernel in kernels:
        kernel.plugin(Distribution).start()
    yield kernels
    for kernel in kernels:
        kernel.stopping.set()
        kernel.plugin(PeerServer).stop()


def test_change_does_not_wait_for_silent_relays(fleet: list[Kernel]) -> None:
    """Guards against sources that are asked one after the other.

    A key that had been revoked was accepted for 2.5 s, because two relays fell
    silent and each was given up only after its time-out.
    """
    alive = fleet[0].plugin(Peers).alive()
    chosen = {each.name for each in relays('north-a', alive)}
    own_relays = [
        each for each in fleet if each.settings.instance.name in chosen
    ]
    leaf = next(each for each in fleet[1:5] if each not in own_relays)
    wait_until('leaf is fresh', leaf.plugin(ControlView).is_fresh)
    faults = LinkFaults(leaf)
    faults.hang(*own_relays)
    wait_until('leaf asks a silent relay', lambda: faults.hung_calls)
    change = Change(
        request_id='request-1',
        command='profile.put',
        arguments={'name': 'counter'},
    )
    revision = fleet[0].plugin(Distribution).propose(change).revision
    try:
        wait_until(
            'change at the leaf',
            lambda: leaf.plugin(ControlView).revision >= revision,
        )
    finally:
        faults.restore()


@pytest.mark.parametrize('election_s', [2.0, 6.0, 10.0])
def test_outdated_sources_are_asked_again_soon(
    tmp_path: Path, election_s: float
) -> None:
    """Guards against a back-off from sources that only wait for a leader.

    While a new leader was elected, an instance found all sources outdated and
    backed off from each for 2 s, then 4 s, then 8 s. Later it asked only those
    that had lost power, and accepted a revoked key for 3.8 s.
    """
    chain = Chain(str(tmp_path), size=7)
    leaf = Leaf(chain)
    chain.log.is_leading = False
    LinkFaults(leaf.kernel).silence(*leaf.others)
    lost_s = chain.clock.now_s()
    while chain.clock.now_s() - lost_s < election_s:
        leaf.follower.follow_step()
        chain.clock.advance(0.1)
    chain.log.is_leading = True
    revision = chain.change('profile.put', name='counter')
    delay_s = leaf.seconds_until(revision)
    chain.stop()
    assert delay_s <= 2.0


def test_silent_source_is_asked_again_although_others_reply(
    chain: Chain,
) -> None:
    """Guards against instances that only ask each other for the leader's state.

    A control instance lost its disk, asked another one that was outdated, and
    never again the new leader, which had been silent once.
    """
    leaf = Leaf(chain)
    faults = LinkFaults(leaf.kernel)
    faults.silence(chain.kernels[0])
    started_s = chain.clock.now_s()
    while chain.clock.now_s() - started_s < LIMIT_S:
        leaf.follower.follow_step()
        chain.clock.advance(0.1)
    faults.restore()
    revision = chain.change('profile.put', name='counter')
    # Nobody else follows the leader.
    leaf.others = []
    assert leaf.seconds_until(revision) < LIMIT_S


def test_catching_up_with_a_peer_that_is_gone_pauses(
    fleet: list[Kernel],
) -> None:
    """Guards against an instance that calls a stopped peer without a pause."""
    leaf = fleet[4]
    wait_until('leaf is fresh', leaf.plugin(ControlView).is_fresh)
    faults = LinkFaults(leaf)
    faults.cut(*fleet[:4], *fleet[5:])
    view = leaf.plugin(ControlView)
    failed = EVENTS.labels('control', 'catch_up_failed')
    before = failed._value.get()
    view.note_peer_revision(view.revision + 1, fleet[1].settings.listen.peer)
    wait_until('catches up', lambda: failed._value.get() > before)
    time.sleep(1.0)
    # One call in 0.2 s; a loop without a pause makes thousands.
    assert failed._value.get() - before < 50


def test_proposal_reaches_the_leader_through_others(chain: Chain) -> None:
    """Guards against failed proposals while the link to the leader is cut."""
    chain.share_membership()
    LinkFaults(chain.kernels[1]).cut(chain.kernels[0])
    change = Change(
        request_id='request-1',
        command='profile.put',
        arguments={'name': 'counter'},
    )
    distribution = chain.distribution(1)
    chain.distribution(0).confirmations.begin_leadership(is_first=True)
    outcome = distribution.propose(change)
    assert outcome.kind == 'ok'
    assert distribution.wait_in_force(outcome.revision, timeout_s=5)


def test_standby_source_sends_no_change_that_the_first_one_sends(
    chain: Chain,
) -> None:
    """Guards against each change being sent to each instance twice."""
    revision = chain.change('profile.put', name='counter')
    request = WatchRequest(
        instance='i1',
        revision=0,
        hold_ms=0,
        confirmed_revision=0,
        start_id=1,
        wants_revision_only=True,
    )
    reply = chain.distribution(0).handle_watch(request)
    assert reply.revision == revision
    assert not reply.entries
    assert not reply.snapshot


def test_change_comes_from_the_standby_source_if_the_first_one_is_silent(
    chain: Chain,
) -> None:
    """Guards against a change that waits for the time-out of a source."""
    revision = chain.change('profile.put', name='counter')
    chain.distribution(1).follower.watch_once(
        chain.kernels[0].settings.listen.peer,
        hold_s=0,
        watch=SourceWatch(is_standby=True),
    )
    assert chain.view(1).revision == revision
    assert chain.view(1).is_fresh()


def large_fleet() -> list[Peer]:
    """Return 9 failure domains of 20 gateways and 2 control instances."""
    found = []
    for number in range(9):
        region, domain = f'r{number // 3}', f'd{number}'
        for index in range(22):
            role = 'control' if index < 2 else 'gateway'
            name = f'{role}-{domain}-{index}'
            found.append(
                Peer(
                    name, region, domain, domain, '', '', name, 1, roles=(role,)
                )
            )
    return found


def test_changes_reach_gateways_from_their_own_region() -> None:
    """Guards against a border that each change crosses for each instance.

    Relays watched the leader, and all instances did after a start, when no
    other one was current: 6 of 12 MB that 63 instances sent between regions.
    """
    peers = large_fleet()
    by_address = {each.peer_address: each for each in peers}
    leader = peers[0].peer_address
    for own in peers:
        if 'control' in own.roles:
            continue
        control = control_sources(own, peers, leaders=[leader], configured=[])
        first = by_address[sources(own, peers, control)[0]]
        standby = by_address[standby_sources(own, peers, control)[0]]
        assert first.failure_domain == own.failure_domain
        assert standby.region == own.region


def peer(name: str, domain: str, **changes: Any) -> Peer:
    return Peer(name, 'r', domain, 's', '', '', f'at-{name}', 1, **changes)


def test_relays_watch_control_and_others_watch_relays() -> None:
    """Guards against all instances watching the leader."""
    peers = [peer(f'a{number}', 'a') for number in range(6)]
    peers += [peer(f'b{number}', 'b') for number in range(3)]
    chosen = {each.name for each in relays('a', peers)}
    assert len(chosen) == 2
    near = {f'at-{name}' for name in chosen}
    for each in peers[:6]:
        first = sources(each, peers, ['leader'])[0]
        assert first == 'leader' if each.name in chosen else first in near
    remaining = [each for each in peers if each.name not in chosen]
    assert len(relays('a', remaining)) == 2
    draining = [peer('c', 'c', draining=True), peer('d', 'c')]
    assert [each.name for each in relays('c', draining)] == ['d']


def test_control_is_tried_right_after_the_first_relay() -> None:
    """Guards against a change that waits for several lost peers in turn.

    A gateway whose relays had lost power tried the second relay and three other
    instances of its failure domain, which had lost power too, before a control
    instance.
    """
    peers = [peer(f'a{number}', 'a') for number in range(9)]
    chosen = relays('a', peers)
    own = next(each for each in peers if each not in chosen)
    ordered = sources(own, peers, ['c1', 'c2', 'c3'])
    addresses = {each.peer_address for each in chosen}
    assert {ordered[0], ordered[2]} == addresses
    assert ordered[1] == 'c1'
    assert ordered.index('c2') <= 3


def test_standby_source_does_not_fail_with_the_first() -> None:
    """Guards against two sources that one loss of power silences together."""
    peers = [peer(f'a{number}', 'a') for number in range(6)]
    peers += [peer(f'b{number}', 'b') for number in range(6)]
    chosen = relays('a', peers)
    own = next(each for each in peers if each not in chosen)
    near = {each.peer_address for each in relays('b', peers)}
    assert set(standby_sources(own, peers, ['c1'])) == {*near, 'c1'}
    assert standby_sources(own, peers, ['c1'])[0] in near
    assert standby_sources(chosen[0], peers, ['c1', 'c2']) == ['c1', 'c2']


def test_control_instances_have_no_standby_source() -> None:
    """Guards against confirmations that go round in a circle of sources."""
    own = peer('c', 'a', roles=('control',))
    assert not standby_sources(own, [own, peer('b', 'b')], ['c1', 'c2'])

"""Membership: suspicion, refutation, restarts and partitions of one link."""

import threading
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any, cast

import pytest

from ... import daemon  # noqa: F401  registers all plug-ins
from ...core.errors import UnavailableError
from ...core.kernel import Kernel
from ...core.settings import PeersSettings
from ...membership.members import MemberTable, Status, as_alive
from ...membership.peers import Peers
from ...membership.probing import Prober
from ...testing.clock import ManualClock
from ...testing.fleet import LinkFaults, build_fleet
from ...wire.datagrams import PeerDatagrams
from ...wire.generated.membership.ttypes import MemberUpdate, PeerInfo
from ...wire.server import PeerServer

SUSPECT_TIMEOUT_S = 3.0


def info(name: str, *, incarnation: int = 1, port: int = 1) -> PeerInfo:
    return PeerInfo(
        name=name,
        incarnation=incarnation,
        peer_address=f'127.0.0.1:{port}',
        roles=[],
        draining=False,
    )


def table(name: str, clock: ManualClock) -> MemberTable:
    return MemberTable(
        info(name, port=ord(name)),
        clock=clock,
        suspect_timeout_s=SUSPECT_TIMEOUT_S,
    )


def status(members: MemberTable, name: str) -> Status | None:
    found = members.find(name)
    return found.status if found else None


def merge_all(source: MemberTable, target: MemberTable) -> None:
    for update in source.updates():
        target.merge(update)


def test_refutation_within_the_time_limit_prevents_removal() -> None:
    """Guards against removal of an instance that was only slow to answer."""
    clock = ManualClock()
    node_a, node_b, node_c = (table(name, clock) for name in 'abc')
    for other in (node_b, node_c):
        merge_all(other, node_a)
    merge_all(node_a, node_b)
    node_a.suspect('b')
    merge_all(node_a, node_b)
    clock.advance(SUSPECT_TIMEOUT_S - 0.1)
    node_a.expire()
    assert status(node_a, 'b') is Status.suspect
    merge_all(node_b, node_a)
    clock.advance(SUSPECT_TIMEOUT_S)
    node_a.expire()
    assert status(node_a, 'b') is Status.alive
    assert node_b.own.incarnation == 2


def test_unrefuted_suspicion_ends_in_removal() -> None:
    """Guards against a dead instance that stays in look-ups or is revived."""
    clock = ManualClock()
    node_a, node_b = table('a', clock), table('b', clock)
    merge_all(node_b, node_a)
    node_a.suspect('b')
    clock.advance(SUSPECT_TIMEOUT_S)
    node_a.expire()
    assert status(node_a, 'b') is Status.dead
    assert not node_a.merge(as_alive(info('b', port=ord('b'))))
    assert status(node_a, 'b') is Status.dead


def test_restart_replaces_the_old_incarnation() -> None:
    """Guards against removal of a restarted instance by late updates.

    The late updates are about the old process with a lower incarnation.
    """
    clock = ManualClock()
    node_a = table('a', clock)
    node_a.merge(as_alive(info('b', incarnation=5, port=7)))
    node_a.merge(as_alive(info('b', incarnation=9, port=7)))
    late = MemberUpdate(name='b', incarnation=5, status=int(Status.left))
    assert not node_a.merge(late)
    assert status(node_a, 'b') is Status.alive
    node_a.merge(as_alive(info('c', incarnation=20, port=7)))
    assert status(node_a, 'b') is Status.left
    assert status(node_a, 'c') is Status.alive


def test_restart_with_a_clock_set_back_takes_a_higher_incarnation() -> None:
    """Guards against a restarted instance that no peer accepts again.

    Its incarnation comes from the clock, so it is lower than the old one.
    """
    restarted = table('b', ManualClock())
    restarted.merge(MemberUpdate(name='b', incarnation=50, status=0))
    assert restarted.own.incarnation == 51


def test_leaving_instance_does_not_refute_its_own_leave() -> None:
    """Guards against an instance that is listed again after it has left."""
    node_a = table('a', ManualClock())
    node_a.leave()
    echo = MemberUpdate(name='a', incarnation=1, status=int(Status.left))
    assert not node_a.merge(echo)
    assert node_a.own.incarnation == 1


def test_updates_in_one_datagram_are_bounded() -> None:
    """Guards against fragmented datagrams after a mass failure."""
    node_a = table('a', ManualClock())
    for port in range(300, 500):
        node_a.merge(as_alive(info(f'instance-{port}', port=port)))
    sizes = []
    while batch := node_a.piggyback():
        sizes.append(sum(len(each) for each in batch))
    assert len(sizes) > 10
    assert max(sizes) <= 900


def test_own_stall_does_not_end_the_time_to_refute() -> None:
    """Guards against sound members declared dead after a stall of this process.

    The refutation has arrived, and is read once the process runs again.
    """
    clock = ManualClock()
    node_a, node_b = table('a', clock), table('b', clock)
    merge_all(node_b, node_a)
    node_a.suspect('b')
    merge_all(node_a, node_b)
    pauses = iter((SUSPECT_TIMEOUT_S + 1, 0.0))

    def wait(duration_s: float) -> bool:
        stalled_s = next(pauses)
        clock.advance(duration_s + stalled_s)
        if not stalled_s:
            merge_all(node_b, node_a)
        return bool(stalled_s)

    def call(*_arguments: object, **_options: object) -> None:
        raise UnavailableError('cut off', remedy='none')

    kernel = SimpleNamespace(
        clock=clock,
        draining=threading.Event(),
        plugin=lambda _kind: SimpleNamespace(call=call),
        settings=SimpleNamespace(peers=PeersSettings()),
        wait_while_running=wait,
    )
    gossip = SimpleNamespace(
        forget=lambda _answered: None,
        notify_suspicion=lambda _members, _name: None,
        ping=lambda _address, name: threading.Event(),
        ping_through=lambda _members, _address, _answered: None,
    )
    Prober(kernel, node_a, cast(Any, gossip))._probe_loop()
    assert status(node_a, 'b') is Status.alive


@pytest.fixture
def three_kernels() -> Iterator[list[Kernel]]:
    kernels = build_fleet(
        ['north-a', 'north-b', 'south-a'],
        extra='[peers]\nprobe_timeout_s = 0.2\n',
    )
    yield kernels
    for kernel in kernels:
        kernel.stopping.set()
        kernel.plugin(PeerDatagrams).stop()
        kernel.plugin(PeerServer).stop()


def start_transport(kernels: list[Kernel]) -> None:
    for kernel in kernels:
        kernel.plugin(PeerDatagrams).start()
        kernel.plugin(PeerServer).start()
        for other in kernels:
            own = other.plugin(Peers).table.own
            kernel.plugin(Peers).table.merge(as_alive(own))


def probe(kernel: Kernel, subject: Kernel) -> Status | None:
    """Probe once in the calling thread; return the status afterwards."""
    members = kernel.plugin(Peers).table
    name = subject.settings.instance.name
    member = members.find(name)
    assert member is not None
    kernel.plugin(Peers).prober.probe(member)
    return status(members, name)


def test_cut_link_does_not_remove_a_member_that_others_reach(
    three_kernels: list[Kernel],
) -> None:
    """Guards against removal of a member when one link drops all packets."""
    node_a, node_b, node_c = three_kernels
    faults = [LinkFaults(node_a), LinkFaults(node_b)]
    start_transport(three_kernels)
    faults[0].cut(node_b)
    faults[1].cut(node_a)
    assert probe(node_a, node_b) is Status.alive
    faults[0].cut(node_b, node_c)
    assert probe(node_a, node_b) is Status.suspect


def test_lost_datagrams_alone_do_not_remove_a_member(
    three_kernels: list[Kernel],
) -> None:
    """Guards against an empty membership where a firewall drops UDP."""
    node_a, node_b, _node_c = three_kernels
    start_transport(three_kernels)
    node_a.plugin(PeerDatagrams).send = lambda *_ignored: None  # type: ignore[method-assign]
    assert probe(node_a, node_b) is Status.alive

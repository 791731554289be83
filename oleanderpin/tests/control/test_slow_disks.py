"""Disks whose syncs take about as long as an election timeout."""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from ...wire.generated.common.ttypes import NotLeader, Unavailable
from ...wire.generated.raft.ttypes import MemberProblem
from .group import Group, account_change, wait_until

# The election timeouts of the group are between 0.5 and 1.0 s.
_SLOWER_THAN_HEARTBEATS_S = 0.6
_SLOWER_THAN_VOTES_S = 0.3


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    made = Group(tmp_path)
    made.start()
    yield made
    made.stop()


def _slow_down(group: Group, sync_s: float) -> None:
    for name in group.kernels:
        storage = group.log(name)._node.storage
        storage.sync = _delayed(storage.sync, sync_s)


def _delayed(
    sync: Callable[[int], None], sync_s: float
) -> Callable[[int], None]:
    def sync_late(descriptor: int) -> None:
        time.sleep(sync_s)
        sync(descriptor)

    return sync_late


def test_leader_stays_while_syncs_are_slow(group: Group) -> None:
    """Guards against an election after each change."""
    leader = group.leader()
    group.change(0, through=leader)
    term = group.log(leader).own_member().term
    _slow_down(group, _SLOWER_THAN_HEARTBEATS_S)
    for number in range(1, 4):
        assert group.change(number, through=leader).kind == 'ok'
    assert group.leader() == leader
    assert group.log(leader).own_member().term == term


def test_leader_is_elected_while_syncs_are_slow(group: Group) -> None:
    """Guards against elections that never end."""
    leader = group.leader()
    group.change(0, through=leader)
    _slow_down(group, _SLOWER_THAN_VOTES_S)
    group.stop(leader)
    assert group.change(1, through=group.leader()).kind == 'ok'


def test_member_whose_disk_hangs_does_not_count_for_a_removal(
    group: Group,
) -> None:
    """Guards against a removal that leaves no majority that can sync."""
    leader = group.leader()
    lost, hanging = [each for each in group.kernels if each != leader]
    group.change(0, through=leader)
    may_sync = threading.Event()
    storage = group.log(hanging)._node.storage
    sync = storage.sync

    def wait_and_sync(descriptor: int) -> None:
        may_sync.wait(60)
        sync(descriptor)

    storage.sync = wait_and_sync
    group.stop(lost)
    log = group.log(leader)
    with pytest.raises(Unavailable):
        log.propose(account_change(1).encode(), timeout_s=1.5)
    with pytest.raises(MemberProblem, match='would answer'):
        log.members.remove(lost, timeout_s=0.5)
    assert log.has_lease()
    may_sync.set()

    def is_removed() -> bool:
        with suppress(NotLeader, Unavailable):
            group.log(group.leader()).members.remove(lost, timeout_s=10)
            return True
        return False

    wait_until('removed', is_removed)
    assert group.change(1).kind == 'ok'

"""Votes and the leader lease, with a manual clock."""

import errno
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from ...control.convert import members_to_wire
from ...control.raft import RaftNode
from ...control.raft_state import Role
from ...control.receiver import Receiver
from ...control.records import HardState, Identity, Member
from ...control.storage import LogStorage, StoredState
from ...control.voting import Voting
from ...core.kernel import Kernel
from ...core.settings import load_settings
from ...testing import ManualClock, settings_text
from ...wire.generated.common.ttypes import Unavailable
from ...wire.generated.raft.ttypes import (
    AppendReply,
    AppendRequest,
    Envelope,
    RaftEntry,
    SnapshotRequest,
    VoteRequest,
)
from .group import wait_until

_MEMBERS = tuple(
    Member(member_id, f'c-{member_id}', f'127.0.0.1:{port}', is_voter=True)
    for port, member_id in enumerate(('m1', 'm2', 'm3'), start=1)
)


_ENTRY = RaftEntry(index=1, term=1, kind=0, payload=b'')


class Voter:
    """Member m1, without threads other than its disk writer."""

    def __init__(self, directory: Path) -> None:
        path = directory / 'c.ini'
        path.write_text(
            settings_text(
                name='c-m1', ports=[1, 2, 3], seeds=[], data_dir=str(directory)
            )
        )
        self.clock = ManualClock()
        kernel = Kernel(load_settings(path), clock=self.clock)
        storage = LogStorage(directory / 'log')
        storage.load()
        identity = Identity('m1', 'group', _MEMBERS)
        storage.save_identity(identity)
        self.node = RaftNode(kernel, storage, StoredState(identity))
        self.node.disk.start()
        self.may_sync = threading.Event()
        self.installed: list[bytes] = []
        self.receiver = Receiver(self.node, self.install)
        self.voting = Voting(self.node, self.receiver)

    def install(self, snapshot: bytes) -> bool:
        self.installed.append(snapshot)
        return True

    def receive_chunk(self, offset: int, chunk: bytes, *, is_last: bool) -> int:
        """Receive a chunk of a snapshot of entries up to 7."""
        request = SnapshotRequest(
            envelope=Envelope('group', 'm2', 'm1', 1),
            leader_address='127.0.0.1:2',
            last_index=7,
            last_term=1,
            members=members_to_wire(_MEMBERS),
            offset_bytes=offset,
            chunk=chunk,
            is_last=is_last,
        )
        return self.receiver.install_snapshot(request).received_bytes

    def ask_for_vote(
        self, method: str, candidate: str, term: int, *, last_index: int = 0
    ) -> bool:
        request = VoteRequest(
            envelope=Envelope('group', candidate, 'm1', term),
            last_index=last_index,
            last_term=1 if last_index else 0,
        )
        return getattr(self.voting, method)(request).granted

    def receive_entries(self, term: int, *entries: RaftEntry) -> AppendReply:
        return self.receiver.append_entries(
            AppendRequest(
                envelope=Envelope('group', 'm2', 'm1', term),
                leader_address='127.0.0.1:2',
                prev_index=0,
                prev_term=0,
                entries=list(entries),
                commit_index=0,
            )
        )

    def receive_heartbeat(self, last_index: int) -> AppendReply:
        """Receive a message without entries behind an entry of term 1."""
        return self.receiver.append_entries(
            AppendRequest(
                envelope=Envelope('group', 'm2', 'm1', 1),
                leader_address='127.0.0.1:2',
                prev_index=last_index,
                prev_term=1,
                entries=[],
                commit_index=0,
            )
        )

    def hold_syncs(self) -> None:
        """Let all syncs wait until ``may_sync`` is set."""
        sync = self.node.storage.sync

        def wait_and_sync(descriptor: int) -> None:
            self.may_sync.wait(60)
            sync(descriptor)

        self.node.storage.sync = wait_and_sync


@pytest.fixture
def voter(tmp_path: Path) -> Iterator[Voter]:
    made = Voter(tmp_path)
    yield made
    made.may_sync.set()
    made.node.disk.stop()


@pytest.mark.parametrize('method', ['pre_vote', 'request_vote'])
def test_no_vote_soon_after_start_or_heartbeat(
    voter: Voter, method: str
) -> None:
    """Guards against a second leader while the first one has its lease."""
    voter.clock.advance(0.99)
    assert not voter.ask_for_vote(method, 'm3', 5)
    voter.receive_entries(1)
    voter.clock.advance(0.99)
    assert not voter.ask_for_vote(method, 'm3', 5)
    assert voter.node.state.hard_state.term == 1
    voter.clock.advance(0.02)
    assert voter.ask_for_vote(method, 'm3', 5)


def test_one_vote_in_a_term_also_after_a_restart(
    voter: Voter, tmp_path: Path
) -> None:
    """Guards against two leaders in one term."""
    voter.clock.advance(2)
    assert voter.ask_for_vote('request_vote', 'm3', 5)
    assert not voter.ask_for_vote('request_vote', 'm2', 5)
    voter.node.disk.stop()
    storage = LogStorage(tmp_path / 'log')
    assert storage.load().hard_state == HardState(5, 'm3')
    storage.close()


def test_vote_that_a_full_disk_lost_is_given_once(
    voter: Voter, tmp_path: Path
) -> None:
    """Guards against two votes in a term, before and after a failed write."""

    def raise_no_space(_descriptor: int) -> None:
        raise OSError(errno.ENOSPC, 'no space left on device')

    storage = voter.node.storage
    sync = storage.sync
    voter.clock.advance(2)
    storage.sync = raise_no_space
    with pytest.raises(Unavailable, match='no space'):
        voter.ask_for_vote('request_vote', 'm3', 5)
    with pytest.raises(Unavailable, match='no space'):
        voter.ask_for_vote('request_vote', 'm2', 5)
    storage.sync = sync
    wait_until('recovered', lambda: voter.node.state.failure is None)
    voter.clock.advance(2)
    granted = [
        each
        for each in ('m2', 'm3')
        if voter.ask_for_vote('request_vote', each, 5)
    ]
    assert len(granted) == 1
    voter.node.disk.stop()
    reread = LogStorage(tmp_path / 'log')
    assert reread.load().hard_state == HardState(5, granted[0])
    reread.close()


def test_pre_vote_changes_nothing(voter: Voter) -> None:
    """Guards against an isolated member that raises the term of the others."""
    voter.clock.advance(2)
    assert voter.ask_for_vote('pre_vote', 'm3', 9)
    assert voter.node.state.hard_state == HardState()


def test_lease_needs_own_entry_and_recent_majority(voter: Voter) -> None:
    """Guards against a leader that serves outdated state."""
    node = voter.node
    with node.lock:
        node.save_hard_state(HardState(1, 'm1'))
        node.become_leader()
        node.state.progress['m2'].acked_s = voter.clock.now_s()
    assert node.state.role is Role.LEADER
    assert not node.has_lease()
    with node.lock:
        node.state.applied_index = node.state.term_start_index
    assert node.has_lease()
    voter.clock.advance(0.81)
    assert not node.has_lease()


def test_own_sync_alone_commits_nothing(voter: Voter) -> None:
    """Guards against commits before a majority has synced."""
    node = voter.node
    with node.lock:
        node.save_hard_state(HardState(1, 'm1'))
        node.become_leader()
    node.disk.wait(node.disk.ticket, timeout_s=60)
    with node.lock:
        node.advance_commit()
        assert node.state.commit_index == 0
        node.state.progress['m3'].match_index = 1
        node.advance_commit()
        assert node.state.commit_index == 1


@pytest.mark.parametrize('method', ['pre_vote', 'request_vote'])
def test_candidate_with_a_shorter_log_gets_no_vote(
    voter: Voter, method: str
) -> None:
    """Guards against a leader that lacks accepted changes."""
    voter.receive_entries(1, _ENTRY)
    voter.node.disk.wait(voter.node.disk.ticket, timeout_s=60)
    assert voter.receive_heartbeat(1).match_index == 1
    voter.clock.advance(2)
    assert not voter.ask_for_vote(method, 'm3', 5)
    assert voter.ask_for_vote(method, 'm3', 6, last_index=1)


def test_entry_is_not_acknowledged_unless_synced(voter: Voter) -> None:
    """Guards against a majority that counts an entry in memory only."""

    def fail(_descriptor: int) -> None:
        raise OSError('broken disk')

    voter.node.storage.sync = fail
    with pytest.raises(Unavailable):
        wait_until(
            'acknowledged',
            lambda: voter.receive_entries(1, _ENTRY).match_index,
        )
    assert voter.node.state.durable_index == 0
    with pytest.raises(Unavailable):
        voter.ask_for_vote('pre_vote', 'm3', 9)


def test_entry_that_is_synced_late_is_answered_but_not_counted(
    voter: Voter,
) -> None:
    """Guards against a leader that steps down since disks are slow.

    And against a majority that counts an entry in memory only.
    """
    voter.hold_syncs()
    started_s = time.monotonic()
    reply = voter.receive_entries(1, _ENTRY)
    heartbeat = voter.receive_heartbeat(1)
    assert time.monotonic() - started_s < 5.0
    assert (reply.accepted, reply.match_index) == (True, 0)
    assert (heartbeat.accepted, heartbeat.match_index) == (True, 0)
    voter.may_sync.set()
    voter.node.disk.wait(voter.node.disk.ticket, timeout_s=60)
    assert voter.receive_heartbeat(1).match_index == 1


def test_snapshot_that_is_synced_late_is_not_counted(voter: Voter) -> None:
    """Guards against a member that is promoted with a snapshot in memory."""
    voter.hold_syncs()
    installing = threading.Thread(
        target=voter.receive_chunk, args=(0, b'abc'), kwargs={'is_last': True}
    )
    installing.start()
    wait_until('installed', lambda: voter.node.state.commit_index == 7)
    heartbeat = voter.receive_heartbeat(7)
    assert (heartbeat.accepted, heartbeat.match_index) == (True, 0)
    voter.may_sync.set()
    installing.join()
    assert voter.receive_heartbeat(7).match_index == 7


def test_entry_of_an_older_term_is_not_committed_alone(voter: Voter) -> None:
    """Guards against committing an entry that a later leader may replace."""
    node = voter.node
    voter.receive_entries(1, _ENTRY)
    with node.lock:
        node.save_hard_state(HardState(2, 'm1'))
        node.become_leader()
    node.disk.wait(node.disk.ticket, timeout_s=60)
    with node.lock:
        node.state.progress['m3'].match_index = 1
        node.advance_commit()
        assert node.state.commit_index == 0
        node.state.progress['m3'].match_index = 2
        node.advance_commit()
        assert node.state.commit_index == 2


def test_snapshot_arrives_in_parts_despite_lost_and_repeated_ones(
    voter: Voter, tmp_path: Path
) -> None:
    """Guards against a snapshot that is installed with a gap."""
    assert voter.receive_chunk(3, b'def', is_last=True) == 0
    assert voter.receive_chunk(0, b'abc', is_last=False) == 3
    assert voter.receive_chunk(6, b'ghi', is_last=True) == 3
    assert not voter.installed
    assert voter.receive_chunk(3, b'def', is_last=False) == 6
    assert voter.receive_chunk(3, b'def', is_last=False) == 6
    assert voter.receive_chunk(6, b'ghi', is_last=True) == 9
    assert voter.installed == [b'abcdefghi']
    assert voter.node.state.commit_index == 7
    voter.node.disk.stop()
    storage = LogStorage(tmp_path / 'log')
    contents = storage.load()
    storage.close()
    assert contents.info.index == 7
    assert contents.snapshot == b'abcdefghi'

"""The replicated log over loopback, with members that fail."""

import errno
import shutil
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from ...control import configuration  # noqa: F401 - registers commands
from ...control.change import Change, Outcome
from ...control.members import MemberChanges
from ...core.http import HttpRequest
from ...core.metrics import EVENTS
from ...moves import controller  # noqa: F401 - registers the plug-in
from ...operators.admin import Admin
from ...wire.generated.common.ttypes import NotLeader, Unavailable
from ...wire.generated.raft.ttypes import MemberProblem
from .group import Group, account_change, wait_until


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    made = Group(tmp_path, size=4)
    made.start()
    yield made
    made.stop()


def others(group: Group, name: str) -> list[str]:
    return [each for each in group.kernels if each != name]


def readiness(group: Group, name: str) -> int:
    request = HttpRequest('GET', '/readyz', '', [], '127.0.0.1', None)
    return group.kernels[name].plugin(Admin).handle(request).status


def voters(group: Group) -> set[str]:
    """Return the names of the committed voters, as the leader has them."""
    state = group.log(group.leader())._node.state
    members = state.log.members_at(state.commit_index)
    return {each.name for each in members if each.is_voter}


def change_members(
    group: Group, change: Callable[[MemberChanges], object]
) -> None:
    """Change the members at the leader; at the next one if it steps down.

    Such a change may be repeated, since it says what the members are to be.
    """

    def is_changed() -> bool:
        try:
            change(group.log(group.leader()).members)
        except (NotLeader, Unavailable):
            return False
        return True

    wait_until('members changed', is_changed)


def is_silent(group: Group, name: str) -> bool:
    """Return whether the leader has heard nothing of a member for 1 s."""
    try:
        status = group.log(group.leader()).members.status()
    except (NotLeader, Unavailable):
        return False
    age_ms = next(
        each.last_answer_age_ms
        for each in status.members
        if each.member.name == name
    )
    # A leader that was elected in the meantime has never heard of it.
    return age_ms > 1000 or age_ms < 0


@pytest.mark.parametrize('delay_s', [0.0, 0.3])
def test_failed_fsync_makes_the_member_step_down(
    group: Group, delay_s: float
) -> None:
    """Guards against acknowledging entries that are not on the disk.

    An entry counts when a majority has it on disk. If the leader's disk fails
    late, the others have synced the entry before, and it is acknowledged.
    """
    failed = group.leader()
    group.change(1)

    def raise_no_space(_descriptor: int) -> None:
        time.sleep(delay_s)
        raise OSError(errno.ENOSPC, 'no space left on device')

    group.log(failed)._node.storage.sync = raise_no_space
    acknowledged: list[Outcome] = []

    def has_failed() -> bool:
        # A leader without its lease refuses the change and writes nothing.
        with suppress(NotLeader, Unavailable):
            acknowledged.append(
                group.log(failed).propose(
                    account_change(2).encode(), timeout_s=10
                )
            )
        return 'no space' in group.log(failed).problem

    wait_until('failure', has_failed)
    wait_until('no lease', lambda: not group.log(failed).has_lease())
    assert readiness(group, failed) == 503
    assert group.leader(among=others(group, failed)) != failed
    answer = group.change(2, through=others(group, failed)[0])
    assert answer.kind == 'ok'
    assert all(each == answer for each in acknowledged)
    # Without its log the instance still serves as an entry instance.
    wait_until('fresh', lambda: group.view(failed).is_fresh())
    group.stop(failed)
    group.start(failed)
    wait_until('ready', lambda: readiness(group, failed) == 200)
    assert group.view(failed).answer_to('request-000002') == answer


def test_leader_killed_during_changes(group: Group) -> None:
    """Guards against lost or duplicated changes when the leader is killed."""
    leader = group.leader()
    survivors = others(group, leader)
    answers: dict[int, Outcome] = {}

    def propose(first: int) -> None:
        for number in range(first, first + 20):
            answers[number] = group.change(number, through=survivors[0])

    threads = [
        threading.Thread(target=propose, args=(first,))
        for first in range(0, 100, 20)
    ]
    for thread in threads:
        thread.start()
    wait_until('some changes', lambda: len(answers) > 20)
    group.stop(leader)
    for thread in threads:
        thread.join()
    assert len(answers) == 100
    assert {answer.kind for answer in answers.values()} == {'ok'}
    assert len({answer.revision for answer in answers.values()}) == 100
    group.start(leader)
    group.wait_for_same_revision()
    for name in group.names[:3]:
        assert len(group.view(name).state.accounts) == 100
        for number, answer in answers.items():
            request_id = account_change(number).request_id
            assert group.view(name).answer_to(request_id) == answer


def test_isolated_leader_serves_nothing(group: Group) -> None:
    """Guards against a minority that accepts changes or is taken for fresh."""
    old = group.leader()
    rest = others(group, old)
    group.change(1)
    group.isolate(old)
    with pytest.raises((NotLeader, Unavailable)):
        group.log(old).propose(account_change(2).encode(), timeout_s=10)
    new = group.leader(among=rest)
    assert not group.log(old).has_lease()
    wait_until('not fresh', lambda: not group.view(old).is_fresh())
    with pytest.raises((NotLeader, Unavailable)):
        group.log(old).read_barrier(timeout_s=1)
    assert group.change(3, through=new).kind == 'ok'
    # Time enough for elections, which the pre-vote has to prevent.
    wait_until(
        'election timeouts',
        lambda: (
            not group.log(old).leadership().is_self
            and not group.log(old).leadership().leader_address
        ),
    )
    term = group.log(new).own_member().term
    group.heal()
    wait_until('fresh again', lambda: group.view(old).is_fresh())
    # Freshness may arrive through another member before the heartbeat does.
    wait_until(
        'follows the new leader',
        lambda: (
            group.log(old).leadership().leader_address == group.address(new)
        ),
    )
    group.change(4, through=old)
    group.wait_for_same_revision()
    assert group.log(new).own_member().term == term
    assert group.leader(among=[new]) == new
    for name in group.kernels:
        accounts = group.view(name).state.accounts
        assert sorted(accounts) == ['a1', 'a3', 'a4']


def test_all_restart_after_many_changes(group: Group) -> None:
    """Guards against state or results that change across a restart."""
    answers = [group.change(number) for number in range(500)]
    revision = group.wait_for_same_revision()
    before = {name: group.view(name).state for name in group.kernels}
    group.stop()
    group.start()
    group.leader()
    group.wait_for_same_revision()
    for name in group.kernels:
        assert group.view(name).state == before[name]
        assert group.view(name).revision > revision
    assert [group.change(number) for number in range(500)] == answers


def test_wiped_disk_returns_as_another_member(group: Group) -> None:
    """Guards against a second vote of a member that lost its disk."""
    for number in range(450):
        group.change(number)
    leader = group.leader()
    wiped = others(group, leader)[0]
    old_id = group.log(wiped).own_member().member_id
    group.stop(wiped)
    shutil.rmtree(group.directory / wiped)
    group.start(wiped)
    own = group.log(wiped).own_member()
    assert own.member_id != old_id
    assert own.role == 'waiting to be added'
    assert group.change(450, through=leader).kind == 'ok'
    assert group.log(wiped).own_member().role == 'waiting to be added'

    address = group.address(wiped)
    change_members(group, lambda members: members.add(address, timeout_s=10))
    wait_until(
        'promoted',
        lambda: group.log(wiped).own_member().role in {'follower', 'leader'},
    )
    group.wait_for_same_revision()
    leader = group.leader()
    members = group.log(leader)._node.state.log.members
    assert {each.name for each in members} == set(group.names[:3])
    assert old_id not in {each.member_id for each in members}
    assert group.view(wiped).state == group.view(leader).state


def test_second_member_lost_after_a_replacement(group: Group) -> None:
    """Guards against a replacement that does not count towards majorities."""
    leader = group.leader()
    lost = others(group, leader)[0]
    group.stop(lost)
    group.start('c3')
    address = group.address('c3')
    change_members(group, lambda members: members.add(address, timeout_s=10))
    wait_until('promoted', lambda: 'c3' in voters(group))
    change_members(group, lambda members: members.remove(lost, timeout_s=10))
    answer = group.change(1)
    assert voters(group) == set(group.kernels)
    group.stop(leader)
    assert group.change(2).kind == 'ok'
    assert group.change(1) == answer


def test_removal_that_would_stop_the_group_is_refused(group: Group) -> None:
    """Guards against the removal of a healthy member instead of a lost one."""
    leader = group.leader()
    lost, healthy = others(group, leader)
    group.stop(lost)
    wait_until('lost member detected', lambda: is_silent(group, lost))
    with pytest.raises(MemberProblem, match='would answer'):
        change_members(
            group, lambda members: members.remove(healthy, timeout_s=0.5)
        )
    change_members(group, lambda members: members.remove(lost, timeout_s=10))
    assert voters(group) == {leader, healthy}
    assert group.change(1).kind == 'ok'


def test_wiped_first_members_form_no_second_group(group: Group) -> None:
    """Guards against a second group when settings name replaced members."""
    group.leader()
    group.start('c3')
    address = group.address('c3')
    change_members(group, lambda members: members.add(address, timeout_s=10))
    for name in ('c0', 'c1', 'c2'):
        wait_until(
            'c3 is a voter',
            lambda: (
                group.log('c3').own_member().role
                not in {'learner', 'waiting to be added'}
            ),
        )
        change_members(
            group, lambda members, name=name: members.remove(name, timeout_s=10)
        )
    wait_until('c3 leads alone', lambda: group.log('c3').has_lease())
    for name in ('c0', 'c1', 'c2'):
        group.stop(name)
        shutil.rmtree(group.directory / name)
    group.start('c0', 'c1', 'c2')
    waits = EVENTS.labels('control', 'bootstrap_waits')
    seen = waits._value.get()
    wait_until('bootstrap tried', lambda: waits._value.get() > seen + 5)
    roles = {group.log(name).own_member().role for name in ('c0', 'c1', 'c2')}
    assert roles == {'waiting to be added'}


def test_damaged_disk_keeps_the_member_out(group: Group) -> None:
    """Guards against an instance that joins with a damaged log."""
    damaged = others(group, group.leader())[0]
    for number in range(3):
        group.change(number)
    group.wait_for_same_revision()
    group.stop(damaged)
    segment = min((group.directory / damaged / 'log').glob('segment-*'))
    content = bytearray(segment.read_bytes())
    content[20] ^= 1
    segment.write_bytes(content)
    group.start(damaged)
    assert 'bad checksum' in group.log(damaged).problem
    assert group.log(damaged).leadership().leader_address == ''
    assert readiness(group, damaged) == 503
    with pytest.raises(Unavailable):
        group.log(damaged).propose(account_change(3).encode(), timeout_s=1)
    # The entry role continues with the state of the other members.
    wait_until('fresh', lambda: group.view(damaged).is_fresh())
    assert group.change(3, through=damaged).kind == 'ok'


def test_member_that_starts_alone_knows_what_was_committed(
    group: Group,
) -> None:
    """Guards against a start without configuration until the next election."""
    for number in range(3):
        group.change(number)
    revision = group.wait_for_same_revision()
    # Its copy may have got the changes from the leader, before its own log.
    wait_until(
        'applied from the log',
        lambda: group.log('c0').own_member().revision >= revision,
    )
    group.stop()
    group.start('c0')
    view = group.view('c0')
    wait_until('applied', lambda: view.revision >= revision)
    assert 'a2' in view.state.accounts
    # Without a majority it is neither fresh nor able to accept changes.
    assert not view.is_fresh()
    assert not group.log('c0').has_lease()


def test_member_that_cannot_apply_an_entry_answers_nothing(
    group: Group, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a thread that ends unseen, and a state without an entry.

    The group goes on without the member, which shows the reason and takes part
    again once it can apply the entry.
    """
    name = next(each for each in group.names[:3] if each != group.leader())
    view = group.view(name)
    apply = view.apply

    def fail(_entries: object) -> None:
        raise KeyError('service')

    monkeypatch.setattr(view, 'apply', fail)
    assert group.change(1, through=group.leader()).kind == 'ok'
    wait_until('problem', lambda: 'cannot apply' in group.log(name).problem)
    assert readiness(group, name) == 503
    assert not group.log(name).has_lease()
    assert group.change(2, through=group.leader()).kind == 'ok'
    monkeypatch.setattr(view, 'apply', apply)
    wait_until('applied', lambda: 'a2' in view.state.accounts)
    wait_until('ready', lambda: readiness(group, name) == 200)


def test_move_ends_with_its_service(group: Group) -> None:
    """Guards against the removal of a service that ends the log for good.

    The move's end is proposed against a state that still has the service and is
    applied after a configuration that has removed it; members that start later
    apply the same entries.
    """
    leader = group.leader()
    changes = [
        ('profile.put', {'name': 'p'}),
        ('service.put', {'name': 's', 'profile': 'p', 'version': 'v1'}),
        (
            'move.start',
            {'service': 's', 'to_version': 'v2', 'deadline_s': 600},
        ),
        (
            'configuration.replace',
            {'number': 1, 'based_on': 0, 'objects': {}},
        ),
        (
            'move.finish',
            {'service': 's', 'status': 'done', 'reason': 'completed'},
        ),
    ]
    kinds = [
        group.log(leader)
        .propose(
            Change(
                request_id=f'request-{number}',
                command=command,
                arguments=arguments,
            ).encode(),
            timeout_s=10,
        )
        .kind
        for number, (command, arguments) in enumerate(changes)
    ]
    assert kinds[:4] == ['ok'] * 4
    assert kinds[4] in {'not_found', 'conflict'}
    wait_until(
        'ended',
        lambda: group.view(leader).state.moves['s'].status == 'taken_back',
    )
    group.stop()
    group.start()
    assert group.change(1).kind == 'ok'
    group.wait_for_same_revision()

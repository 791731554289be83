"""Members that are replaced at other addresses, over loopback."""

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from .group import MEMBER_TIMEOUT_S, Group, wait_until


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    made = Group(tmp_path, size=7, joins_automatically=True)
    made.start()
    yield made
    made.stop()


def _voters(group: Group) -> set[str]:
    """Return the names of the committed voters, as the leader has them."""
    state = group.log(group.leader())._node.state
    members = state.log.members_at(state.commit_index)
    return {each.name for each in members if each.is_voter}


def _wait_for_voters(group: Group, names: set[str]) -> None:
    wait_until(f'voters {sorted(names)}', lambda: _voters(group) == names)


@pytest.mark.parametrize('is_planned', [True, False])
def test_group_survives_the_replacement_of_all_members(
    group: Group, is_planned: bool
) -> None:
    """Guards against replaced members that count towards majorities for good.

    A planned replacement starts before the old member ends, and the leader is
    replaced like the others.
    """
    group.leader()
    for number, old in enumerate(('c0', 'c1', 'c2')):
        new = f'c{number + 3}'
        if is_planned:
            group.start(new)
            wait_until('added', lambda new=new: new in _voters(group))
            group.stop(old)
        else:
            group.stop(old)
            group.start(new)
        _wait_for_voters(group, set(group.kernels))
        assert group.change(number).kind == 'ok'
    group.stop(group.leader())
    assert group.change(3).kind == 'ok'


def test_removed_member_that_returns_is_added_again(group: Group) -> None:
    """Guards against a member that was away for long and never votes again."""
    group.start('c3')
    _wait_for_voters(group, {'c0', 'c1', 'c2', 'c3'})
    away = next(each for each in group.kernels if each != group.leader())
    member_id = group.log(away).own_member().member_id
    group.isolate(away)
    _wait_for_voters(group, set(group.kernels) - {away})
    assert group.change(1, through=group.leader()).kind == 'ok'
    group.heal()
    _wait_for_voters(group, set(group.kernels))
    assert group.log(away).own_member().member_id == member_id
    group.wait_for_same_revision()
    assert 'a1' in group.view(away).state.accounts


def test_removed_member_returns_after_a_restart(group: Group) -> None:
    """Guards against a disk with old members that keeps its member out."""
    group.start('c3')
    _wait_for_voters(group, {'c0', 'c1', 'c2', 'c3'})
    away = next(each for each in group.kernels if each != group.leader())
    group.stop(away)
    _wait_for_voters(group, set(group.kernels))
    group.start(away)
    _wait_for_voters(group, {'c0', 'c1', 'c2', 'c3'})


def test_short_outage_changes_no_members(group: Group) -> None:
    """Guards against an outage of two of five that costs the majority.

    An odd group keeps a silent member, since its removal would not lower the
    majority.
    """
    group.start('c3', 'c4')
    everyone = {'c0', 'c1', 'c2', 'c3', 'c4'}
    _wait_for_voters(group, everyone)
    leader = group.leader()
    away = [each for each in group.kernels if each != leader][:2]
    for name in away:
        group.isolate(name)
    for number in range(3):
        assert group.change(number, through=leader).kind == 'ok'
    time.sleep(MEMBER_TIMEOUT_S + 1)
    assert _voters(group) == everyone
    group.heal()
    group.wait_for_same_revision()

"""Decisions on the members of a group that instances join automatically."""

import random

import pytest

from ...control.member_policy import MAX_VOTERS, next_members
from ...control.progress import voter_ids
from ...control.records import Member, Members


def _member(name: str, *, is_voter: bool = True, address: str = '') -> Member:
    return Member(f'id-{name}', name, address or f'{name}:1', is_voter)


def _group(size: int) -> Members:
    return tuple(_member(f'c{number}') for number in range(size))


def _names(members: Members) -> list[str]:
    return [each.name for each in members]


@pytest.mark.parametrize('size', [3, 5, 7])
def test_silent_voter_of_an_odd_group_keeps_its_place(size: int) -> None:
    """Guards against outages that shrink the group to a few members."""
    group = _group(size)
    assert next_members(group, ready=None, silent=group[:1]) == group


@pytest.mark.parametrize('size', [4, 6])
def test_silent_voter_of_an_even_group_is_removed(size: int) -> None:
    """Guards against a replaced member that raises the majority."""
    group = _group(size)
    changed = next_members(group, ready=None, silent=group[:1])
    assert changed == group[1:]


def test_replacement_takes_the_place_of_a_silent_voter() -> None:
    """Guards against a full group of which some members are gone."""
    group = _group(MAX_VOTERS)
    learner = _member('new', is_voter=False)
    members = (*group, learner)
    without_silent = next_members(members, ready=learner, silent=group[2:4])
    assert _names(without_silent) == [
        each.name for each in members if each != group[2]
    ]
    promoted = next_members(without_silent, ready=learner, silent=group[3:4])
    assert len(voter_ids(promoted)) == MAX_VOTERS
    assert group[3] in promoted


def test_full_group_without_silent_members_keeps_its_members() -> None:
    """Guards against the removal of a member that responds."""
    learner = _member('new', is_voter=False)
    members = (*_group(MAX_VOTERS), learner)
    assert next_members(members, ready=learner, silent=()) == members


def test_silent_learner_is_removed() -> None:
    """Guards against learners that are gone and hold a place."""
    learner = _member('new', is_voter=False)
    members = (*_group(3), learner)
    assert next_members(members, ready=None, silent=(learner,)) == _group(3)


def test_voter_that_lost_its_disk_is_removed_first() -> None:
    """Guards against two voters on the same instance."""
    group = _group(4)
    learner = _member('new', is_voter=False, address=group[1].address)
    changed = next_members((*group, learner), ready=learner, silent=())
    assert _names(changed) == ['c0', 'c2', 'c3', 'new']


@pytest.mark.parametrize('fleet_size', [3, 5, 6, 7, 12])
def test_group_tolerates_its_losses_after_each_replacement(
    fleet_size: int,
) -> None:
    """Guards against replacements that leave no majority for good.

    Load pattern: members are replaced at other addresses, one at a time, the
    new one first or after the old one is gone; some freeze and wake again.
    """
    choose = random.Random(fleet_size)
    running = {f'c{number}' for number in range(fleet_size)}
    members = _group(min(fleet_size, MAX_VOTERS))
    tolerated = (min(fleet_size, MAX_VOTERS) - 1) // 2
    for number in range(60):
        gone = choose.choice(sorted(running))
        is_back = choose.random() < 0.3
        running.discard(gone)
        if not is_back:
            running.add(f'new{number}')
        members = _settle(members, running)
        if is_back:
            running.add(gone)
            members = _settle(members, running)
        names = set(_names(members))
        voters = {each.name for each in members if each.is_voter}
        majority = len(voters) // 2 + 1
        assert len(voters & running) - tolerated >= majority, names - running


def _settle(members: Members, running: set[str]) -> Members:
    """Make changes until none is left; waiting instances are added."""
    for _ in range(50):
        silent = [each for each in members if each.name not in running]
        learner = next(
            (
                each
                for each in members
                if not each.is_voter and each.name in running
            ),
            None,
        )
        changed = next_members(members, ready=learner, silent=silent)
        if changed == members:
            waiting = sorted(running - set(_names(members)))
            if not waiting or len(members) - len(silent) >= MAX_VOTERS:
                return members
            changed = (*members, _member(waiting[0], is_voter=False))
        assert abs(len(voter_ids(changed)) - len(voter_ids(members))) <= 1
        members = changed
    raise AssertionError(f'members do not settle: {members}')

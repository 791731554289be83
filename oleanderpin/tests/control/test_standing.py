"""What an instance knows about how current its copy is."""

import pytest

from ...control.standing import CopyAge, Standing
from ...testing.clock import ManualClock

AGED_AFTER_S = 1.5
PEER = '10.0.0.2:7000'


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def age(clock: ManualClock) -> CopyAge:
    return CopyAge(clock, aged_after_s=AGED_AFTER_S)


def test_copy_of_a_started_instance_is_not_current(age: CopyAge) -> None:
    """Guards against a start that takes a stored copy for the newest one."""
    age.note_peer(0, PEER, 5)
    assert age.standing() is Standing.UNCONFIRMED
    age.note_peer(6, PEER, 5)
    assert age.standing() is Standing.OUTDATED


def test_started_instance_that_hears_nobody_is_outdated(
    clock: ManualClock, age: CopyAge
) -> None:
    """Guards against an instance that reaches nobody and denies routes."""
    clock.advance(2.1)
    assert age.standing() is Standing.OUTDATED
    age.note_peer(5, PEER, 5)
    assert age.standing() is Standing.UNCONFIRMED


def test_cut_off_instance_that_was_current_goes_on(
    clock: ManualClock, age: CopyAge
) -> None:
    """Guards against a failure domain that stops serving when it is cut off."""
    age.note_current(clock.now_s())
    assert age.standing() is Standing.CURRENT
    clock.advance(600)
    assert age.standing() is Standing.AGED


def test_newer_copy_elsewhere_ends_the_use_of_the_own_one(
    clock: ManualClock, age: CopyAge
) -> None:
    """Guards against an instance that is left behind by all its sources.

    Its sources told it that they were fresh, while others had a newer copy.
    """
    age.note_peer(7, PEER, 5)
    for _step in range(8):
        age.note_current(clock.now_s())
        clock.advance(0.2)
        # Further changes do not begin the time anew.
        age.note_peer(7 + _step, PEER, 5)
    assert age.standing() is Standing.OUTDATED
    age.note_revision(14)
    assert age.standing() is Standing.CURRENT


def test_stream_of_changes_does_not_make_a_copy_outdated(
    clock: ManualClock, age: CopyAge
) -> None:
    """Guards against refusals by an instance that gets each change in time."""
    for revision in range(1, 40):
        age.note_current(clock.now_s())
        age.note_peer(revision + 1, PEER, revision)
        clock.advance(0.3)
        assert age.standing() is not Standing.OUTDATED
        age.note_revision(revision + 1)
        age.note_peer(revision + 2, PEER, revision + 1)


def test_last_holder_of_the_newest_revision_is_asked(age: CopyAge) -> None:
    """Guards against asking an instance that has failed in the meantime."""
    for address in ('a', 'b', 'c'):
        age.note_peer(9, address, 5)
    age.note_peer(8, 'd', 5)
    assert age.newest() == (9, 'c')
    age.note_revision(9)
    assert age.newest() == (0, '')


def test_revision_that_nobody_holds_any_more_is_forgotten(
    clock: ManualClock, age: CopyAge
) -> None:
    """Guards against refusing for good because of a peer that is gone."""
    age.note_peer(9, PEER, 5)
    for _step in range(4):
        clock.advance(2.0)
        age.note_current(clock.now_s())
        age.note_peer(5, PEER, 5)
    assert age.newest() == (0, '')
    assert age.standing() is Standing.CURRENT

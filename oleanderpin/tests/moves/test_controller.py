"""Decisions about a move, case by case."""

from dataclasses import replace

import pytest

from ...control.state import Move, Profile
from ...moves.controller import MoveProgress, decide
from ...moves.evidence import MoveEvidence
from ...moves.plan import compute_pace, stages_percent
from ...wire.generated.stats.ttypes import RouteBatch

_PROFILE = Profile('p', shift_interval_s=2, move_watch_s=10)


def progress(
    *, share_percent: float = 10, stage_new_count: int = 100
) -> MoveProgress:
    move = Move(
        service='desk',
        from_version='v1',
        to_version='v2',
        deadline_unix_s=1000,
        share_percent=share_percent,
        started_unix_s=0,
    )
    return MoveProgress(
        move, MoveEvidence(0.005), 0, stage_new_count=stage_new_count
    )


def decision(state: MoveProgress, *, now_s: float = 50, targets: bool = True):
    return decide(
        state,
        _PROFILE,
        now_s=now_s,
        now_unix_s=now_s,
        has_new_targets=targets,
    )


def test_good_version_advances_within_the_cap() -> None:
    found = decision(progress())
    assert found.command == 'move.advance'
    assert found.share_percent == 30


def test_observed_last_stage_is_done() -> None:
    assert decision(progress(share_percent=95)).status == 'done'


def test_stage_is_not_left_early() -> None:
    """Guards against a step before the shift interval has passed."""
    assert not decision(progress(), now_s=1).command


def test_bad_route_rolls_back_the_move() -> None:
    """Guards against missing a version that is bad on one route only."""
    state = progress()
    for _ in range(10):
        state.evidence.update(
            [
                RouteBatch('GET /panel', 50, 0, 0, 500, 0, 0),
                RouteBatch('POST /report', 3, 2, 0, 30, 0, 0),
            ]
        )
    found = decision(state, now_s=1)
    assert found.status == 'taken_back'
    assert 'POST /report' in found.reason


def test_slow_version_is_rolled_back() -> None:
    state = progress()
    for _ in range(10):
        state.evidence.update([RouteBatch('GET /', 20, 0, 10, 200, 0, 9)])
    assert 'slow' in decision(state).reason


def test_local_halt_rolls_back_the_move() -> None:
    """Guards against a leader that ignores the halt of one instance."""
    state = replace(progress(), local_halt='north-1: errors')
    assert decision(state).status == 'taken_back'


def test_suspicious_version_is_held() -> None:
    """Guards against a larger share while evidence is accumulating."""
    state = progress()
    while not state.evidence.is_suspicious:
        state.evidence.update([RouteBatch('GET /', 10, 1, 0, 90, 0, 0)])
    assert not decision(state).command


def test_too_little_traffic_waits_and_then_rolls_back() -> None:
    state = progress(stage_new_count=3)
    assert not decision(state).command
    assert 'too little traffic' in decision(state, now_s=985).reason


def test_deadline_too_short_for_the_cap() -> None:
    """Guards against a move that exceeds its cap to meet its deadline."""
    state = progress(share_percent=0, stage_new_count=0)
    state.move = replace(state.move, deadline_unix_s=60)
    found = decision(state, now_s=50)
    assert found.status == 'taken_back'
    assert 'too short' in found.reason


def test_missing_targets_wait_until_the_deadline() -> None:
    state = progress(share_percent=0)
    assert not decision(state, targets=False).command
    assert 'no target' in decision(state, now_s=990, targets=False).reason


@pytest.mark.parametrize('cap', [3, 20, 100])
def test_no_step_exceeds_the_cap(cap: float) -> None:
    stages = stages_percent(replace(_PROFILE, shift_cap_percent=cap))
    steps = zip((0, *stages), stages, strict=False)
    assert all(after - before <= cap for before, after in steps)
    assert stages[-1] == 95


def test_pace_uses_the_remaining_time() -> None:
    state = progress(share_percent=0)
    early = compute_pace(state.move, _PROFILE, now_unix_s=0)
    late = compute_pace(state.move, _PROFILE, now_unix_s=965)
    assert early.dwell_s > late.dwell_s >= _PROFILE.shift_interval_s

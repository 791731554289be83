"""Stages of a version move and their pace up to the deadline."""

from dataclasses import dataclass

from ..control.state import Move, Profile

_FIRST_STAGES_PERCENT = (1.0, 5.0, 10.0)
# The old version keeps this much until the watch period has passed, so that
# the two can still be compared at the same time.
HOLD_OUT_PERCENT = 5.0
LAST_STAGE_PERCENT = 100.0 - HOLD_OUT_PERCENT
# Time kept for commits, distribution and one election.
_MARGIN_S = 5.0
_MIN_REQUESTS_PER_STAGE = 30
_MAX_DWELL_FACTOR = 6.0


@dataclass(frozen=True, slots=True)
class Pace:
    """How long the present stage should last.

    Parameters
    ----------
    dwell_s : float
        Seconds for which the stage should be observed.
    slack_s : float
        Seconds left over if all remaining steps take the least time that
        the cap allows; negative when the deadline cannot be met.
    """

    dwell_s: float
    slack_s: float


def stages_percent(profile: Profile) -> tuple[float, ...]:
    """Return all shares of the new version, in order.

    No step is larger than the profile's cap.
    """
    cap = profile.shift_cap_percent
    stages: list[float] = []
    for first_stage in _FIRST_STAGES_PERCENT:
        _climb(stages, first_stage, cap)
    _climb(stages, LAST_STAGE_PERCENT, cap)
    return tuple(stages)


def next_stage_percent(profile: Profile, share_percent: float) -> float:
    """Return the stage after ``share_percent``."""
    for stage in stages_percent(profile):
        if stage > share_percent:
            return stage
    return LAST_STAGE_PERCENT


def pace(move: Move, profile: Profile, *, now_unix_s: float) -> Pace:
    """Spread the time that is left over the remaining steps.

    Parameters
    ----------
    move : Move
        The running move.
    profile : Profile
        Gives cap, interval and watch period.
    now_unix_s : float
        Wall-clock time on the leader, in seconds since the epoch.
    """
    remaining = [
        stage for stage in stages_percent(profile) if stage > move.share_percent
    ]
    left_s = move.deadline_unix_s - now_unix_s
    available_s = left_s - profile.move_watch_s - _MARGIN_S
    # The present stage has to be observed too, before the next step.
    steps = len(remaining)
    least_s = steps * profile.shift_interval_s
    slack_s = available_s - least_s
    if not steps:
        return Pace(profile.move_watch_s, left_s - _MARGIN_S)
    longest_s = profile.shift_interval_s * _MAX_DWELL_FACTOR
    dwell_s = min(longest_s, available_s / steps)
    return Pace(max(profile.shift_interval_s, dwell_s), slack_s)


def requests_needed(share_percent: float) -> int:
    """Return the requests of the new version needed to leave a stage.

    The first stages are small enough to be left without evidence, so that
    a service with little traffic reaches a share that can be judged.
    """
    is_first = share_percent < _FIRST_STAGES_PERCENT[-1]
    return 0 if is_first else _MIN_REQUESTS_PER_STAGE


def _climb(stages: list[float], goal: float, cap: float) -> None:
    current = stages[-1] if stages else 0.0
    while current < goal:
        current = min(goal, current + cap)
        stages.append(current)

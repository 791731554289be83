"""Stages of a version move and their pacing up to the deadline."""

from dataclasses import dataclass

from ..control.state import Move, Profile

_FIRST_STAGES_PERCENT = (1.0, 5.0, 10.0)
# The old version keeps this share until the watch period has passed, so that
# both versions can still be compared in the same intervals.
HOLD_OUT_PERCENT = 5.0
LAST_STAGE_PERCENT = 100.0 - HOLD_OUT_PERCENT
# Reserved for commits, distribution and one leader election.
_DEADLINE_MARGIN_S = 5.0
_MIN_REQUESTS_PER_STAGE = 30
_MAX_DWELL_FACTOR = 6.0


@dataclass(frozen=True, slots=True)
class StagePace:
    """How long the current stage should last.

    Parameters
    ----------
    dwell_s : float
        Seconds for which the stage should be observed.
    slack_s : float
        Seconds left if each remaining step takes the shift interval, the
        shortest time allowed; negative if the deadline cannot be met.
    """

    dwell_s: float
    slack_s: float


def stages_percent(profile: Profile) -> tuple[float, ...]:
    """Return the shares of the new version at each stage, in order.

    No step is larger than the profile's shift cap.
    """
    cap = profile.shift_cap_percent
    stages: list[float] = []
    for first_stage in _FIRST_STAGES_PERCENT:
        _append_stages(stages, first_stage, cap)
    _append_stages(stages, LAST_STAGE_PERCENT, cap)
    return tuple(stages)


def next_stage_percent(profile: Profile, share_percent: float) -> float:
    """Return the share of the first stage above ``share_percent``."""
    for stage in stages_percent(profile):
        if stage > share_percent:
            return stage
    return LAST_STAGE_PERCENT


def compute_pace(
    move: Move, profile: Profile, *, now_unix_s: float
) -> StagePace:
    """Divide the time until the deadline among the remaining steps.

    Parameters
    ----------
    move : Move
        The running move.
    profile : Profile
        Shift cap, shift interval and watch period of the service.
    now_unix_s : float
        Wall-clock time on the leader, in seconds since the epoch.
    """
    remaining_stages = [
        stage for stage in stages_percent(profile) if stage > move.share_percent
    ]
    remaining_s = move.deadline_unix_s - now_unix_s
    available_s = remaining_s - profile.move_watch_s - _DEADLINE_MARGIN_S
    # The current stage has to be observed as well, before the next step.
    steps = len(remaining_stages)
    min_duration_s = steps * profile.shift_interval_s
    slack_s = available_s - min_duration_s
    if not steps:
        return StagePace(profile.move_watch_s, remaining_s - _DEADLINE_MARGIN_S)
    max_dwell_s = profile.shift_interval_s * _MAX_DWELL_FACTOR
    dwell_s = min(max_dwell_s, available_s / steps)
    return StagePace(max(profile.shift_interval_s, dwell_s), slack_s)


def requests_needed(share_percent: float) -> int:
    """Return the requests of the new version required to leave a stage.

    The first stages are small and require none, so that a service with little
    traffic reaches a share at which the versions can be compared.
    """
    is_first = share_percent < _FIRST_STAGES_PERCENT[-1]
    return 0 if is_first else _MIN_REQUESTS_PER_STAGE


def _append_stages(stages: list[float], last_stage: float, cap: float) -> None:
    current = stages[-1] if stages else 0.0
    while current < last_stage:
        current = min(last_stage, current + cap)
        stages.append(current)

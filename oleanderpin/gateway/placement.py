"""Chooses the target of a request by object, room, speed and distance.

Load pattern: callers ask again and again for a limited number of objects, and
a target that has lately handled an object needs a third of the time. So each
object has its own order of targets, the same on all instances, and moves down
that order only when the ones before have no room.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import xxhash

from ..targets.announcement import Target
from .target_health import TargetHealth

_SLOW_FACTOR = 2.5
# How often a target that looks bad is tried again.
_TRIAL_INTERVAL_S = 1.0
# Requests a cold target may get from one instance beyond its steady share.
_COLD_BURST = 1.0

Obstacle = Literal['no_target', 'ejected', 'busy', 'cold']


@dataclass(slots=True)
class Candidate:
    """A target that may take a request."""

    target: Target
    health: TargetHealth
    is_near: bool


@dataclass(frozen=True, slots=True)
class Needs:
    """What a request needs of its target.

    Parameters
    ----------
    cold_interval_s : float
        Least time between two requests of this instance to a cold target;
        0 without a bound.
    usual_s : float
        Usual time of an answer of the service.
    queue_limit : float
        Requests that may wait at a target for each of its slots.
    is_repeatable : bool
        Whether the request may be used to try a target that looks bad.
    """

    cold_interval_s: float = 0.0
    usual_s: float = 0.0
    queue_limit: float = 0.0
    is_repeatable: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen candidate, or why there is none."""

    candidate: Candidate | None
    obstacle: Obstacle = 'no_target'


def order_for(key: str, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates in the order of an object, near ones first.

    Parameters
    ----------
    key : str
        Names the object.
    candidates : sequence of Candidate
        Targets of the service.
    """
    return sorted(
        candidates,
        key=lambda each: (
            not each.is_near,
            xxhash.xxh3_64_intdigest(
                f'{key}/{each.target.target_id}'.encode()
            ),
        ),
    )


def place(
    ordered: Sequence[Candidate], needs: Needs, *, replicas: int, now_s: float
) -> Placement:
    """Choose a candidate.

    Parameters
    ----------
    ordered : sequence of Candidate
        Candidates in the order of the object.
    needs : Needs
        What the request needs.
    replicas : int
        Targets of a region that an object uses before others are asked.
    now_s : float
        Monotonic time.
    """
    usable: list[Candidate] = []
    obstacle: Obstacle = 'no_target'
    for candidate in ordered:
        found = _obstacle(candidate, needs, now_s)
        if found is None:
            usable.append(candidate)
        else:
            obstacle = found
    if not usable:
        return Placement(None, obstacle)
    near = [each for each in usable if each.is_near][:replicas]
    far = [each for each in usable if not each.is_near][:replicas]
    for group in (near, far, usable):
        for candidate in group:
            if candidate.health.room(now_s) >= 1:
                return Placement(candidate)
    shortest = min(near or usable, key=lambda each: _queue(each, now_s))
    if _queue(shortest, now_s) < needs.queue_limit:
        return Placement(shortest)
    return Placement(None, 'busy')


def _obstacle(
    candidate: Candidate, needs: Needs, now_s: float
) -> Obstacle | None:
    health = candidate.health
    if health.is_ejected(now_s):
        return 'ejected'
    if needs.cold_interval_s and _is_cold(candidate, now_s):
        ready_s = health.cold_tokens_s + needs.cold_interval_s * _COLD_BURST
        if now_s < ready_s:
            return 'cold'
    if health.is_failing() or health.is_slow(needs.usual_s, _SLOW_FACTOR):
        is_due = now_s - health.trial_s >= _TRIAL_INTERVAL_S
        if not (is_due and needs.is_repeatable):
            return 'ejected'
    return None


def _is_cold(candidate: Candidate, now_s: float) -> bool:
    """Return whether a target is cold, or may have started again unseen."""
    target = candidate.target
    is_unconfirmed = candidate.health.broken_s > target.load_seen_s
    return target.is_cold(now_s) or is_unconfirmed


def note_placed(candidate: Candidate, now_s: float) -> None:
    """Record that a request goes to a candidate."""
    health = candidate.health
    health.note_sent()
    health.trial_s = now_s
    if _is_cold(candidate, now_s):
        health.cold_tokens_s = now_s


def _queue(candidate: Candidate, now_s: float) -> float:
    health = candidate.health
    return max(0.0, health.busy(now_s) - health.slots) / max(1, health.slots)

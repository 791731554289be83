"""Chooses the target of a request by object, room, speed and distance.

Load pattern: callers ask again and again for a limited number of objects, and
a target that has lately handled an object needs a third of the time. So each
object has its own order of targets, the same on all instances. A request goes
to another target than the first only when the answer is expected earlier
there, although that target has to load the object: waiting for one of many
slots is usually shorter.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import xxhash

from ..core.logs import age_ms
from ..targets.announcement import Target
from .known_gateways import KnownGateways
from .target_health import TargetHealth

# Work on an object that a target has not handled lately, in usual durations.
_COLD_WORK = 3.3
# A target that needs this much longer than usual is only tried now and then.
_SLOW_FACTOR = 2.5
_TRIAL_INTERVAL_S = 1.0
# Duration that is assumed before the first answer of a service.
_UNKNOWN_WORK_S = 0.2

# Distances of a target from this instance.
OWN_FAILURE_DOMAIN = 0
OWN_REGION = 1
OTHER_REGION = 2
# How much earlier an answer has to be expected for a request to go further:
# bytes between failure domains and between regions have a price.
_DISTANCE_BIAS_S = (0.0, 0.03, 0.06)

Obstacle = Literal['no_target', 'ejected', 'busy', 'cold']


@dataclass(slots=True)
class Candidate:
    """A target that may take a request."""

    target: Target
    health: TargetHealth
    distance: int

    @property
    def is_near(self) -> bool:
        """Whether the target is in the region of this instance."""
        return self.distance < OTHER_REGION

    def announcement_age_ms(self, now_s: float) -> int | None:
        """Return the age of the target's last announcement."""
        return age_ms(now_s - self.target.load_seen_s)


@dataclass(frozen=True, slots=True)
class Needs:
    """What a request needs of its target.

    Parameters
    ----------
    key : str
        Names the object.
    left_s : float
        Time until the answer is due.
    most_wait_s : float
        Longest wait for a slot after which the answer is still timely.
    usual_s : float
        Usual time of an answer about an object that the target knows.
    cold_rate_per_s : float
        Requests per second that a cold target stands from all instances
        together; 0 without a bound.
    is_repeatable : bool
        Whether the request may be used to try a target that looks bad.
    """

    key: str
    left_s: float
    most_wait_s: float = 1.0
    usual_s: float = 0.0
    cold_rate_per_s: float = 0.0
    is_repeatable: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen candidate, or why there is none.

    ``wait_s`` is the expected wait for a slot.
    """

    candidate: Candidate | None
    obstacle: Obstacle = 'no_target'
    wait_s: float = 0.0


def order_for(
    key: str,
    candidates: Sequence[Candidate],
    *,
    home: str,
    is_bulk: bool = False,
) -> list[list[Candidate]]:
    """Return the candidates by region, each group in the object's order.

    Parameters
    ----------
    key : str
        Names the object.
    candidates : sequence of Candidate
        Targets of the service.
    home : str
        Region of the object's home; its group comes first, then the own
        region's, then all others.
    is_bulk : bool
        Whether the request has a large body, which is kept in the own failure
        domain while its targets have room.
    """
    ordered = sorted(
        candidates,
        key=lambda each: xxhash.xxh3_64_intdigest(
            f'{key}/{each.target.target_id}'.encode()
        ),
    )
    if is_bulk:
        ordered.sort(key=_distance)
    at_home = [each for each in ordered if each.target.region == home]
    others = [each for each in ordered if each.target.region != home]
    near = [each for each in others if each.is_near]
    far = [each for each in others if not each.is_near]
    return [group for group in (at_home, near, far) if group]


def _distance(candidate: Candidate) -> int:
    return candidate.distance


def place(
    groups: Sequence[Sequence[Candidate]],
    needs: Needs,
    *,
    replicas: int,
    now_s: float,
    sharers: KnownGateways,
) -> Placement:
    """Choose the candidate that is expected to answer first.

    Parameters
    ----------
    groups : sequence of sequence of Candidate
        Candidates by region in the order of the object. The first usable one
        of all is expected to know the object.
    needs : Needs
        What the request needs.
    replicas : int
        How many usable candidates of each group are compared.
    now_s : float
        Monotonic time.
    sharers : Sharers
        The gateways that share the rates of cold targets.
    """
    found = _Search(needs, replicas, now_s, sharers)
    for number, group in enumerate(groups):
        found.compare(group, is_home=not number)
    best = found.best
    if best is None:
        return Placement(None, found.obstacle)
    wait_s = best.health.wait_s(needs.usual_s or _UNKNOWN_WORK_S, now_s)
    if found.best_s > needs.left_s or wait_s > needs.most_wait_s:
        return Placement(None, 'busy', wait_s)
    return Placement(best, wait_s=wait_s)


@dataclass(slots=True)
class _Search:
    """The best candidate so far."""

    needs: Needs
    replicas: int
    now_s: float
    sharers: KnownGateways
    best: Candidate | None = None
    best_s: float = float('inf')
    obstacle: Obstacle = 'no_target'

    def compare(self, group: Sequence[Candidate], *, is_home: bool) -> None:
        """Compare the first usable candidates of a group."""
        compared = 0
        for candidate in group:
            found = self._obstacle(candidate)
            if found is not None:
                self.obstacle = found
                continue
            self._take(candidate, is_first=is_home and not compared)
            compared += 1
            if compared >= self.replicas:
                return

    def _obstacle(self, candidate: Candidate) -> Obstacle | None:
        health = candidate.health
        if health.is_ejected(self.now_s):
            return 'ejected'
        if self._is_too_cold(candidate):
            return 'cold'
        if health.is_full(self.now_s):
            return 'busy'
        is_bad = health.is_failing() or (
            health.slowness(self.needs.usual_s) > _SLOW_FACTOR
        )
        if is_bad:
            is_due = self.now_s - health.sent_s >= _TRIAL_INTERVAL_S
            if not (is_due and self.needs.is_repeatable):
                return 'ejected'
        return None

    def _is_too_cold(self, candidate: Candidate) -> bool:
        rate_per_s = self.needs.cold_rate_per_s
        if not rate_per_s or not _is_cold(candidate, self.now_s):
            return False
        interval_s = self.sharers.cold_interval_s(
            candidate.target.target_id, rate_per_s
        )
        return self.now_s < candidate.health.cold_sent_s + interval_s

    def _take(self, candidate: Candidate, *, is_first: bool) -> None:
        health = candidate.health
        is_known = is_first or health.knows(self.needs.key, self.now_s)
        cost_s = _DISTANCE_BIAS_S[candidate.distance] + _expected_s(
            candidate, self.needs, is_known=is_known, now_s=self.now_s
        )
        if cost_s < self.best_s:
            self.best = candidate
            self.best_s = cost_s


def note_placed(candidate: Candidate, key: str, now_s: float) -> None:
    """Record that a request about an object goes to a candidate."""
    health = candidate.health
    health.note_sent(key, now_s)
    if _is_cold(candidate, now_s):
        health.cold_sent_s = now_s


def _expected_s(
    candidate: Candidate, needs: Needs, *, is_known: bool, now_s: float
) -> float:
    """Return the time after which an answer is expected."""
    health = candidate.health
    usual_s = needs.usual_s or _UNKNOWN_WORK_S
    speed = health.slowness(usual_s)
    work_s = usual_s * speed
    own_s = work_s if is_known else work_s * _COLD_WORK
    return health.wait_s(work_s, now_s) + own_s + health.round_trip_s


def _is_cold(candidate: Candidate, now_s: float) -> bool:
    return candidate.target.is_cold(now_s) or candidate.health.is_cold(now_s)

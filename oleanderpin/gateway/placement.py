"""Chooses the target of a request by object affinity, load and distance.

Load pattern: callers request a limited number of objects repeatedly, and a
target that has recently handled an object needs a third of the time. Each
object therefore has its own order of targets, by rendezvous hashing, which is
the same on all instances. A request goes to a target other than the first only
if the response is expected earlier there even though that target has to load
the object; waiting for one of many slots usually takes less time.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import xxhash

from ..core.logs import age_ms
from ..targets.announcement import Target
from .known_gateways import KnownGateways
from .target_health import TargetHealth

# Work on an object that a target has not handled recently, as a multiple of the
# usual duration.
_RELOAD_WORK_FACTOR = 3.3
# A target slower than the usual duration by this factor gets one trial request
# per interval.
_SLOW_FACTOR = 2.5
_TRIAL_INTERVAL_S = 1.0
# Duration assumed before the first response of a service.
_DEFAULT_WORK_S = 0.2

_HASH_RANGE = 2.0**64

# Distances of a target from this instance.
OWN_FAILURE_DOMAIN = 0
OWN_REGION = 1
OTHER_REGION = 2
# By how much a more distant target must be faster to be chosen, by distance:
# traffic between failure domains and between regions is charged for.
_DISTANCE_PENALTY_S = (0.0, 0.03, 0.06)

RejectReason = Literal['no_target', 'ejected', 'busy', 'cold', 'limited']


@dataclass(slots=True)
class Candidate:
    """A target that may be chosen for a request."""

    target: Target
    health: TargetHealth
    distance: int

    @property
    def is_in_region(self) -> bool:
        """Whether the target is in the region of this instance."""
        return self.distance < OTHER_REGION

    def announcement_age_ms(self, now_s: float) -> int | None:
        """Return the age of the target's last announcement."""
        return age_ms(now_s - self.target.load_seen_s)


@dataclass(frozen=True, slots=True)
class Needs:
    """Requirements of a request on its target.

    Parameters
    ----------
    key : str
        Name of the object.
    left_s : float
        Time until the deadline.
    most_wait_s : float
        Longest wait for a slot that still meets the latency objective.
    usual_s : float
        Usual response time for an object that the target handled recently.
    cold_rate_per_s : float
        Limit on the request rate of a cold target, over all instances; 0
        for no limit.
    is_repeatable : bool
        Whether the request may serve as a trial of a slow or failing target.
    least_work_s : float
        Time that targets work at least on a request of this kind; 0 if it is
        unknown. Requests with less time left are rejected.
    """

    key: str
    left_s: float
    most_wait_s: float = 1.0
    usual_s: float = 0.0
    cold_rate_per_s: float = 0.0
    is_repeatable: bool = False
    least_work_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen candidate, or the reason why there is none.

    ``wait_s`` is the expected wait for a slot and ``response_s`` the expected
    time of the response, both of the best one of the ``compared`` candidates.
    """

    candidate: Candidate | None
    reject_reason: RejectReason = 'no_target'
    wait_s: float = 0.0
    response_s: float = 0.0
    compared: int = 0

    def describe(self, needs: Needs) -> str:
        """Return the estimates behind a rejection, for logs."""
        return (
            f'{self.reject_reason}, {self.compared} targets compared, '
            f'expected wait {int(self.wait_s * 1000)} ms of '
            f'{int(needs.most_wait_s * 1000)} ms, response in '
            f'{int(self.response_s * 1000)} ms, at least '
            f'{int(needs.least_work_s * 1000)} ms of work, '
            f'{int(needs.left_s * 1000)} ms left'
        )


def order_candidates(
    key: str,
    candidates: Sequence[Candidate],
    *,
    home: str,
    has_large_body: bool = False,
) -> list[list[Candidate]]:
    """Return the candidates grouped by region, each in the object's order.

    Parameters
    ----------
    key : str
        Name of the object.
    candidates : sequence of Candidate
        Targets of the service.
    home : str
        Home region of the object; its group comes first, then the own
        region's, then all others.
    has_large_body : bool
        Whether the request has a large body, which is kept in the own failure
        domain while targets there have spare capacity.
    """
    ordered = sorted(candidates, key=lambda each: _rank(key, each))
    if has_large_body:
        ordered.sort(key=_distance)
    home_group = [each for each in ordered if each.target.region == home]
    others = [each for each in ordered if each.target.region != home]
    own_group = [each for each in others if each.is_in_region]
    other_group = [each for each in others if not each.is_in_region]
    return [group for group in (home_group, own_group, other_group) if group]


def _rank(key: str, candidate: Candidate) -> float:
    """Return the place of a candidate in the order of an object.

    The part of the objects that have a candidate first is proportional to its
    weight (weighted rendezvous hashing), and a change of one weight moves only
    objects of that candidate.
    """
    digest = xxhash.xxh3_64_intdigest(
        f'{key}/{candidate.target.target_id}'.encode()
    )
    return -math.log1p(-digest / _HASH_RANGE) / candidate.health.weight


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
    """Choose the candidate with the earliest expected response.

    Parameters
    ----------
    groups : sequence of sequence of Candidate
        Candidates by region in the order of the object. The first usable one
        of the first group is assumed to have handled the object recently.
    needs : Needs
        Requirements of the request.
    replicas : int
        Number of usable candidates that are compared in each group.
    now_s : float
        Monotonic time.
    sharers : KnownGateways
        Gateways that share the request rates of cold targets.
    """
    search = _CandidateSearch(needs, replicas, now_s, sharers)
    for number, group in enumerate(groups):
        search.compare(group, is_home=not number)
    best = search.best
    if best is None:
        if search.limit_wait_s < math.inf:
            return Placement(None, 'limited', search.limit_wait_s)
        return Placement(None, search.reject_reason)
    compared = search.compared
    wait_s = best.health.wait_s(needs.usual_s or _DEFAULT_WORK_S, now_s)
    least_s = wait_s + needs.least_work_s + best.health.round_trip_s
    if least_s > needs.left_s or wait_s > needs.most_wait_s:
        return Placement(None, 'busy', wait_s, search.best_s, compared)
    return Placement(
        best, wait_s=wait_s, response_s=search.best_s, compared=compared
    )


@dataclass(slots=True)
class _CandidateSearch:
    """State of a search for the best candidate."""

    needs: Needs
    replicas: int
    now_s: float
    sharers: KnownGateways
    best: Candidate | None = None
    best_s: float = float('inf')
    compared: int = 0
    reject_reason: RejectReason = 'no_target'
    # Time until this gateway may send a request to a target at its limit.
    limit_wait_s: float = float('inf')

    def compare(self, group: Sequence[Candidate], *, is_home: bool) -> None:
        """Compare the first usable candidates of a group."""
        compared = 0
        for candidate in group:
            reject_reason = self._reject_reason(candidate)
            if reject_reason is not None:
                self.reject_reason = reject_reason
                continue
            self._consider(candidate, is_preferred=is_home and not compared)
            compared += 1
            self.compared += 1
            if compared >= self.replicas:
                return

    def _reject_reason(self, candidate: Candidate) -> RejectReason | None:
        health = candidate.health
        if health.is_ejected(self.now_s):
            return 'ejected'
        if self._is_too_cold(candidate):
            return 'cold'
        if self._is_over_limit(candidate):
            return 'limited'
        if health.is_full(self.now_s):
            return 'busy'
        is_degraded = health.is_failing() or (
            health.slowness(self.needs.usual_s) > _SLOW_FACTOR
        )
        if is_degraded:
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

    def _is_over_limit(self, candidate: Candidate) -> bool:
        limit = candidate.health.limit
        if limit is None:
            return False
        share = self.sharers.limit_share(
            candidate.target.target_id, limit.usable_per_s(self.now_s)
        )
        wait_s = limit.wait_s(share, self.now_s)
        self.limit_wait_s = min(self.limit_wait_s, wait_s or math.inf)
        return wait_s > 0

    def _consider(self, candidate: Candidate, *, is_preferred: bool) -> None:
        health = candidate.health
        is_recent = is_preferred or health.has_recent_object(
            self.needs.key, self.now_s
        )
        cost_s = _DISTANCE_PENALTY_S[candidate.distance] + _expected_s(
            candidate, self.needs, is_recent=is_recent, now_s=self.now_s
        )
        if cost_s < self.best_s:
            self.best = candidate
            self.best_s = cost_s


def note_placed(candidate: Candidate, key: str, now_s: float) -> None:
    """Record that a request for an object is sent to a candidate."""
    health = candidate.health
    health.note_sent(key, now_s)
    if health.limit is not None:
        health.limit.take()
    if _is_cold(candidate, now_s):
        health.cold_sent_s = now_s


def _expected_s(
    candidate: Candidate, needs: Needs, *, is_recent: bool, now_s: float
) -> float:
    """Return the expected response time, with wait and round trip."""
    health = candidate.health
    usual_s = needs.usual_s or _DEFAULT_WORK_S
    slowness = health.slowness(usual_s)
    work_s = usual_s * slowness
    request_s = work_s if is_recent else work_s * _RELOAD_WORK_FACTOR
    return health.wait_s(work_s, now_s) + request_s + health.round_trip_s


def _is_cold(candidate: Candidate, now_s: float) -> bool:
    return candidate.target.is_cold(now_s) or candidate.health.is_cold(now_s)

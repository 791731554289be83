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
from dataclasses import dataclass, field

import xxhash

from ..core.places import OTHER_REGION, OWN_FAILURE_DOMAIN, OWN_REGION
from .candidate import (
    Candidate,
    Needs,
)
from .eligibility import Question, exclusion_of
from .known_gateways import KnownGateways

__all__ = (
    'OTHER_REGION',
    'OWN_FAILURE_DOMAIN',
    'OWN_REGION',
    'Candidate',
    'Needs',
    'Placement',
    'note_placed',
    'order_candidates',
    'place',
)

# Work on an object that a target has not handled recently, as a multiple of the
# usual duration.
_RELOAD_WORK_FACTOR = 3.3
# Duration assumed before the first response of a service.
_DEFAULT_WORK_S = 0.2

_HASH_RANGE = 2.0**64

# By how much a more distant target must be faster to be chosen, by distance:
# traffic between failure domains and between regions is charged for.
_DISTANCE_PENALTY_S = (0.0, 0.03, 0.06)

# Targets that decline by their own word are replaced by those of other regions.
_DECLINED = frozenset(('leaving', 'paused'))
# Reasons that end as soon as a response or a token comes.
_SOON_USABLE = frozenset(('busy', 'limited'))


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen candidate, or the reason why there is none.

    ``wait_s`` is the expected wait for a slot and ``response_s`` the expected
    time of the response, both of the best one of the ``compared`` candidates;
    without any, ``wait_s`` is the time until a target may be asked, as far as
    targets tell. ``excluded`` holds the reasons for which candidates were left
    out.
    """

    candidate: Candidate | None
    reject_reason: str = 'no_target'
    wait_s: float = 0.0
    response_s: float = 0.0
    compared: int = 0
    excluded: frozenset[str] = frozenset()

    @property
    def may_go_elsewhere(self) -> bool:
        """Whether targets outside the home region should be compared too."""
        return self.candidate is None and (
            self.reject_reason == 'limited' or bool(self.excluded & _DECLINED)
        )

    @property
    def may_use_leaving(self) -> bool:
        """Whether only a leaving target may be left."""
        return self.candidate is None and 'leaving' in self.excluded

    @property
    def may_use_degraded(self) -> bool:
        """Whether only slow or failing targets are left.

        If others are only busy, the request may have room there soon.
        """
        is_alone = not (self.compared or self.excluded & _SOON_USABLE)
        return self.candidate is None and is_alone and 'trial' in self.excluded

    def describe(self, needs: Needs) -> str:
        """Return the estimates behind a rejection, for logs."""
        return (
            f'{self.reject_reason}, {self.compared} targets compared, '
            f'expected wait {int(self.wait_s * 1000)} ms of '
            f'{int(needs.max_wait_s * 1000)} ms, response in '
            f'{int(self.response_s * 1000)} ms, at least '
            f'{int(needs.min_work_s * 1000)} ms of work, '
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
    known_gateways: KnownGateways,
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
    known_gateways : KnownGateways
        Gateways that share the request rates of cold targets.
    """
    search = _CandidateSearch(Question(needs, now_s, known_gateways), replicas)
    for number, group in enumerate(groups):
        search.compare(group, is_home=not number)
    best = search.best
    if best is None:
        return search.rejection()
    compared = search.compared
    wait_s = best.health.wait_s(needs.usual_s or _DEFAULT_WORK_S, now_s)
    min_s = wait_s + needs.min_work_s + best.health.round_trip_s
    if min_s > needs.left_s or wait_s > needs.max_wait_s:
        return Placement(
            None,
            'busy',
            wait_s,
            search.best_s,
            compared,
            frozenset(search.opens_s),
        )
    return Placement(
        best, wait_s=wait_s, response_s=search.best_s, compared=compared
    )


@dataclass(slots=True)
class _CandidateSearch:
    """State of a search for the best candidate.

    ``opens_s`` is the first time, by reason, from which a candidate that was
    left out may be asked again.
    """

    question: Question
    replicas: int
    best: Candidate | None = None
    best_s: float = float('inf')
    compared: int = 0
    last_reason: str = 'no_target'
    opens_s: dict[str, float] = field(default_factory=dict)

    def compare(self, group: Sequence[Candidate], *, is_home: bool) -> None:
        """Compare the first usable candidates of a group."""
        compared = 0
        for candidate in group:
            exclusion = exclusion_of(candidate, self.question)
            if exclusion is not None:
                reason, until_s = exclusion
                self.last_reason = reason
                self.opens_s[reason] = min(
                    until_s, self.opens_s.get(reason, math.inf)
                )
                continue
            self._consider(candidate, is_preferred=is_home and not compared)
            compared += 1
            self.compared += 1
            if compared >= self.replicas:
                return

    def rejection(self) -> Placement:
        """Return why there is no candidate, and when there may be one."""
        opens_s, now_s = self.opens_s, self.question.now_s
        reason, wait_s = self.last_reason, 0.0
        if opens_s.get('limited', math.inf) < math.inf:
            reason = 'limited'
            wait_s = opens_s['limited'] - now_s
        elif 'paused' in opens_s and 'busy' not in opens_s:
            # A queue may have room at any moment; the others tell a time.
            reason = 'paused'
            wait_s = max(0.0, min(opens_s.values()) - now_s)
        return Placement(None, reason, wait_s, excluded=frozenset(opens_s))

    def _consider(self, candidate: Candidate, *, is_preferred: bool) -> None:
        health = candidate.health
        is_recent = is_preferred or health.has_recent_object(
            self.question.needs.key, self.question.now_s
        )
        cost_s = _DISTANCE_PENALTY_S[candidate.distance] + _expected_s(
            candidate,
            self.question.needs,
            is_recent=is_recent,
            now_s=self.question.now_s,
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
    if candidate.is_cold(now_s):
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

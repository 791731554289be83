"""Whether a target may get a request now; if not, why and until when.

Each reason to leave a target out is a check; the first one that applies is the
answer. A check returns the monotonic time from which the target may be asked
again: the present time if that may be any moment, infinity if never.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from ..core.metrics import TARGETS_LEFT_OUT
from ..core.registry import Registry
from .candidate import Candidate, Needs
from .known_gateways import KnownGateways

# A target slower than the usual duration by this factor gets one trial request
# per interval.
_SLOW_FACTOR = 2.5
_TRIAL_INTERVAL_S = 1.0


class Exclusion(NamedTuple):
    """Why a target is left out.

    Parameters
    ----------
    reason : str
        Name of the check.
    until_s : float
        Monotonic time from which the target may be asked again.
    """

    reason: str
    until_s: float


@dataclass(frozen=True, slots=True)
class Question:
    """A request that looks for a target at a point in time.

    Parameters
    ----------
    needs : Needs
        Requirements of the request.
    now_s : float
        Monotonic time.
    known_gateways : KnownGateways
        Gateways that share the request rates of cold and limited targets.
    """

    needs: Needs
    now_s: float
    known_gateways: KnownGateways


Check = Callable[[Candidate, Question], float | None]
checks: Registry[Check] = Registry('eligibility check')


def exclusion_of(candidate: Candidate, question: Question) -> Exclusion | None:
    """Return why a target may not get a request now, None if it may."""
    for reason, check, left_out in _ORDERED_CHECKS:
        until_s = check(candidate, question)
        if until_s is not None:
            left_out.inc()
            return Exclusion(reason, until_s)
    return None


@checks.register('leaving')
def _check_leaving(candidate: Candidate, question: Question) -> float | None:
    health = candidate.health
    if not health.is_leaving:
        return None
    is_usable = question.now_s < health.last_resort_until_s
    return None if is_usable and question.needs.uses_leaving else math.inf


@checks.register('paused')
def _check_paused(candidate: Candidate, question: Question) -> float | None:
    until_s = candidate.health.paused_until_s
    return until_s if question.now_s < until_s else None


@checks.register('ejected')
def _check_ejected(candidate: Candidate, question: Question) -> float | None:
    until_s = candidate.health.ejected_until_s
    return until_s if question.now_s < until_s else None


@checks.register('cold')
def _check_cold(candidate: Candidate, question: Question) -> float | None:
    rate_per_s = question.needs.cold_rate_per_s
    if not rate_per_s or not candidate.is_cold(question.now_s):
        return None
    interval_s = question.known_gateways.cold_interval_s(
        candidate.target.target_id, rate_per_s
    )
    if math.isinf(interval_s):
        # Other gateways are chosen for this target. The sum with the time of a
        # request that was never sent would be no number.
        return math.inf
    until_s = candidate.health.cold_sent_s + interval_s
    return until_s if question.now_s < until_s else None


@checks.register('limited')
def _check_limit(candidate: Candidate, question: Question) -> float | None:
    limit = candidate.health.limit
    if limit is None:
        return None
    share = question.known_gateways.limit_share(
        candidate.target.target_id, limit.usable_per_s(question.now_s)
    )
    wait_s = limit.wait_s(share, question.now_s)
    return question.now_s + wait_s if wait_s > 0 else None


@checks.register('busy')
def _check_queue(candidate: Candidate, question: Question) -> float | None:
    health = candidate.health
    is_full = health.is_full(question.now_s) or (
        # One request at a time, until its response tells the queue.
        health.in_flight > 0 and health.is_queue_unknown
    )
    return question.now_s if is_full else None


@checks.register('trial')
def _check_trial(candidate: Candidate, question: Question) -> float | None:
    health, needs = candidate.health, question.needs
    is_failing = health.is_failing()
    is_slow = health.slowness(needs.usual_s) > _SLOW_FACTOR
    if not is_failing and (not is_slow or needs.uses_degraded):
        return None
    until_s = health.sent_s + _TRIAL_INTERVAL_S
    may_be_trial = needs.is_repeatable or needs.uses_degraded
    if may_be_trial and question.now_s >= until_s:
        return None
    return max(until_s, question.now_s)


_ORDERED_CHECKS = tuple(
    (reason, checks.get(reason), TARGETS_LEFT_OUT.labels(reason))
    for reason in checks
)

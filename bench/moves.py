"""Outcomes of version moves against fixed 10% steps, with fixed seeds.

Simulates only the counts that instances report; decisions and tests are the
ones that run in the daemon. The baseline moves 10% each interval and takes
back when over 5% of the new version's requests of an interval failed. A good
version whose deadline is too short for the cap is to be taken back.
"""

import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass, replace

from oleanderpin.control.state import Move, Profile
from oleanderpin.moves.controller import MoveProgress, decide
from oleanderpin.moves.evidence import MoveEvidence
from oleanderpin.moves.reporting import LOCAL_ALPHA
from oleanderpin.wire.generated.stats.ttypes import RouteBatch

_INSTANCES = 11
_RUNS = 20
_PROFILE = Profile('p', shift_interval_s=10, move_watch_s=30)
_ROUTES = ('GET /a', 'GET /b', 'GET /c', 'POST /d', 'POST /e')
_OLD_ERRORS = 0.002
_OLD_SLOW = 0.03


@dataclass(frozen=True)
class Chance:
    """Probabilities of a bad answer of the new version."""

    errors: float = _OLD_ERRORS
    slow: float = _OLD_SLOW


Behaviour = Callable[[float, float, str], Chance]


@dataclass(frozen=True)
class Case:
    """One kind of new version: its behaviour by time, share and route."""

    name: str
    behaviour: Behaviour
    is_good: bool
    requests_per_s: float = 300
    deadline_s: float = 600


CASES = (
    Case('good', lambda t, s, r: Chance(), True),
    Case('good, little headroom', lambda t, s, r: Chance(0.003), True),
    Case('fails at once', lambda t, s, r: Chance(0.5), False),
    Case('few errors', lambda t, s, r: Chance(0.03), False),
    Case(
        'fails late', lambda t, s, r: Chance(0.5 if t > 200 else 0.002), False
    ),
    Case('slow at once', lambda t, s, r: Chance(slow=0.6), False),
    Case(
        'slow under load',
        lambda t, s, r: Chance(slow=0.5 if s > 40 else 0.03),
        False,
    ),
    Case(
        'bad on one route',
        lambda t, s, r: Chance(0.4 if r == 'POST /e' else 0.002),
        False,
    ),
    Case('good, 2 requests/s', lambda t, s, r: Chance(), True, 2),
    Case('fails, 2 requests/s', lambda t, s, r: Chance(0.5), False, 2),
    Case('good, deadline 60 s', lambda t, s, r: Chance(), False, 300, 60),
)


@dataclass
class Result:
    """How one move ended."""

    status: str
    ended_s: float
    bad_requests: int


def _binomial(rng: random.Random, count: int, chance: float) -> int:
    return sum(rng.random() < chance for _ in range(count))


def _batch(
    rng: random.Random, case: Case, route: str, now_s: float, share: float
) -> RouteBatch:
    mean = case.requests_per_s / _INSTANCES / len(_ROUTES)
    total = int(mean) + (rng.random() < mean % 1)
    new = _binomial(rng, total, share / 100)
    old = total - new
    chance = case.behaviour(now_s, share, route)
    return RouteBatch(
        route,
        new,
        _binomial(rng, new, chance.errors),
        _binomial(rng, new, chance.slow),
        old,
        _binomial(rng, old, _OLD_ERRORS),
        _binomial(rng, old, _OLD_SLOW),
    )


def run_product(rng: random.Random, case: Case) -> Result:
    """Run one move with the product's own decisions."""
    move = Move('s', 'v1', 'v2', case.deadline_s)
    progress = MoveProgress(move, MoveEvidence(0.005), 0)
    local = [MoveEvidence(LOCAL_ALPHA) for _ in range(_INSTANCES)]
    bad_requests = 0
    now_s = 0.0
    while True:
        share = progress.move.share_percent
        for instance in range(_INSTANCES):
            own_share = 0 if local[instance].badness() else share
            batches = [_batch(rng, case, r, now_s, own_share) for r in _ROUTES]
            bad_requests += sum(b.new_errors + b.new_slow for b in batches)
            local[instance].update(batches)
            progress.local_halt = (
                progress.local_halt or local[instance].badness()
            )
            progress.evidence.update(batches)
            progress.stage_new_count += sum(b.new_count for b in batches)
        now_s += 1
        decision = decide(
            progress,
            _PROFILE,
            now_s=now_s,
            now_unix_s=now_s,
            has_new_targets=True,
        )
        if decision.command == 'move.finish':
            return Result(decision.status, now_s, bad_requests)
        if decision.command:
            move = replace(progress.move, share_percent=decision.share_percent)
            progress.enter_stage(move, now_s=now_s)


def run_baseline(rng: random.Random, case: Case) -> Result:
    """Run one move in fixed 10% steps, one each interval."""
    bad_requests = 0
    for step in range(1, 11):
        new_count = new_errors = 0
        for second in range(int(_PROFILE.shift_interval_s)):
            now_s = step * _PROFILE.shift_interval_s + second
            for _instance in range(_INSTANCES):
                batches = [
                    _batch(rng, case, r, now_s, step * 10) for r in _ROUTES
                ]
                bad_requests += sum(b.new_errors + b.new_slow for b in batches)
                new_count += sum(b.new_count for b in batches)
                new_errors += sum(b.new_errors for b in batches)
        if new_errors > 0.05 * new_count:
            return Result('taken_back', now_s, bad_requests)
    return Result('done', now_s, bad_requests)


def main() -> None:
    """Print a table of all cases."""
    head = f'{"case":24}{"way":10}{"right":>8}{"median s":>10}{"bad requests: median":>22}{"max":>8}'
    print(f'{_RUNS} moves a row, seed 5, {_INSTANCES} instances, 5 routes')
    print(head)
    for case in CASES:
        for way, run in (('product', run_product), ('baseline', run_baseline)):
            rng = random.Random(5)
            results = [run(rng, case) for _ in range(_RUNS)]
            wanted = 'done' if case.is_good else 'taken_back'
            right = sum(each.status == wanted for each in results)
            ended_s = statistics.median(each.ended_s for each in results)
            bad = [each.bad_requests for each in results]
            print(
                f'{case.name:24}{way:10}{right:>5}/{_RUNS}{ended_s:>9.0f}'
                f'{statistics.median(bad):>22.0f}{max(bad):>8}'
            )


if __name__ == '__main__':
    main()

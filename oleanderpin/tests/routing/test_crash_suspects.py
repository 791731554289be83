"""Which requests are refused because they crash targets."""

import pytest

from ...routing.crash_suspects import (
    REFUSED_S,
    Crash,
    CrashSuspects,
    SharedSuspects,
)
from ...routing.loss_rate import LossRate
from ...routing.recent_answers import RecentAnswers
from ...testing.crash_simulation import DEADLY, CrashSimulation

NAME = b'0123456789abcdef'
# Crashes after which others are told, the time that this may take, and what
# may reach targets afterwards.
CRASHES = 3
KNOWN_S = 4.0
LATE_ATTEMPTS = 3
SEEDS = range(1, 6)


def crash(number: int, ended_s: float, *, ran_s: float = 0.1) -> Crash:
    """Return a crash that counts in full."""
    return Crash(number, ended_s - ran_s, ended_s, 100)


def exchange(
    suspects: CrashSuspects, shared: SharedSuspects, now_s: float
) -> None:
    """Report what is new and take what others have reported."""
    news = suspects.unreported(now_s)
    told = shared.exchange(news, now_s)
    suspects.note_reported(news)
    suspects.merge(told, now_s)


def late_attempts(crash_times_s: list[float]) -> int:
    """Return the crashes after all gateways must know of the request."""
    known_s = crash_times_s[CRASHES - 1] + KNOWN_S
    return sum(each > known_s for each in crash_times_s)


def test_request_is_refused_after_three_crashes_in_a_row() -> None:
    suspects = CrashSuspects()
    for number in range(CRASHES):
        assert not suspects.refused_for_s(NAME, number)
        suspects.observe_crash(NAME, crash(number, number))
    assert suspects.refused_for_s(NAME, 2) == REFUSED_S
    assert not suspects.refused_for_s(NAME, 2 + REFUSED_S)


def test_copies_that_ran_at_the_same_time_count_once() -> None:
    """Guards against refusing a sound request that a failing rack ran."""
    suspects = CrashSuspects()
    for number in range(20):
        suspects.observe_crash(NAME, crash(number, number / 100, ran_s=0.5))
    assert suspects.percent(NAME) == 100


def test_answer_ends_the_suspicion() -> None:
    suspects = CrashSuspects()
    for number in range(2):
        suspects.observe_crash(NAME, crash(number, number))
    suspects.observe_answer(NAME, 2)
    suspects.observe_crash(NAME, crash(3, 3))
    assert suspects.percent(NAME) == 0
    suspects.observe_crash(NAME, crash(4, 100))
    assert suspects.percent(NAME) == 100


def test_crashes_at_different_gateways_add_up() -> None:
    shared = SharedSuspects()
    gateways = [CrashSuspects() for _each in range(5)]
    for number, suspects in enumerate(gateways[:CRASHES]):
        suspects.observe_crash(NAME, crash(number, number))
        exchange(suspects, shared, number + 0.1)
    for suspects in gateways:
        exchange(suspects, shared, 4)
        assert suspects.refused_for_s(NAME, 4)


def test_answer_at_one_gateway_is_known_at_all() -> None:
    """Guards against old crashes of a request that is served elsewhere."""
    shared = SharedSuspects()
    first, second = CrashSuspects(), CrashSuspects()
    for number in range(2):
        first.observe_crash(NAME, crash(number, number))
    exchange(first, shared, 2)
    exchange(second, shared, 2)
    second.observe_answer(NAME, 2.5)
    exchange(second, shared, 3)
    exchange(first, shared, 3)
    first.observe_crash(NAME, crash(5, 5))
    assert first.percent(NAME) == 100


def test_single_crashes_are_not_told_to_others() -> None:
    """Guards against messages about each request that a lost target ran."""
    shared = SharedSuspects()
    first, second = CrashSuspects(), CrashSuspects()
    first.observe_crash(NAME, crash(1, 1))
    exchange(first, shared, 1)
    exchange(second, shared, 1)
    assert not second


def test_instance_that_counts_learns_again_what_it_lost() -> None:
    """Guards against forgetting refused requests when it restarts."""
    first, second = CrashSuspects(), CrashSuspects()
    shared = SharedSuspects()
    for number in range(CRASHES):
        first.observe_crash(NAME, crash(number, number))
    exchange(first, shared, 3)
    restarted = SharedSuspects()
    # Two rounds: the first tells the gateway that the instance is new.
    exchange(first, restarted, 4)
    exchange(first, restarted, 5)
    exchange(second, restarted, 5)
    assert second.refused_for_s(NAME, 5)


def test_gateway_that_restarts_learns_which_requests_are_refused() -> None:
    shared = SharedSuspects()
    first = CrashSuspects()
    for number in range(CRASHES):
        first.observe_crash(NAME, crash(number, number))
    exchange(first, shared, 3)
    restarted = CrashSuspects()
    exchange(restarted, shared, 4)
    assert restarted.refused_for_s(NAME, 4)


def test_crash_counts_less_while_many_requests_are_lost() -> None:
    losses = LossRate()
    for number in range(50):
        losses.note(number / 50, is_lost=False)
    assert losses.weight_percent() == 100
    for _each in range(25):
        losses.note(1, is_lost=True)
    assert losses.weight_percent() < 80


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('gateways', (1, 10, 182, 530))
def test_deadly_request_is_soon_known_to_all_gateways(
    gateways: int, seed: int
) -> None:
    """Guards against resends that end one target after the other."""
    fleet = CrashSimulation(gateways=gateways, targets=60, seed=seed)
    fleet.add_sound(per_s=300, until_s=20)
    fleet.add_deadly(per_s=3, until_s=20)
    fleet.run(22)
    assert late_attempts(fleet.crash_times_s) <= LATE_ATTEMPTS
    assert set(fleet.refused) == {DEADLY}


@pytest.mark.parametrize('seed', SEEDS)
def test_parts_of_a_fleet_that_is_cut_learn_it_each_for_itself(
    seed: int,
) -> None:
    fleet = CrashSimulation(gateways=20, targets=60, seed=seed, counters=2)
    fleet.add_sound(per_s=300, until_s=20)
    fleet.add_deadly(per_s=3, until_s=20)
    fleet.run(22)
    assert late_attempts(fleet.crash_times_s) <= LATE_ATTEMPTS
    assert set(fleet.refused) == {DEADLY}


@pytest.mark.parametrize('seed', SEEDS)
def test_refused_request_stays_refused_when_counting_restarts(
    seed: int,
) -> None:
    fleet = CrashSimulation(gateways=20, targets=60, seed=seed)
    fleet.add_deadly(per_s=3, until_s=40)
    fleet.run(10)
    before = len(fleet.crash_times_s)
    fleet.restart_counting()
    fleet.run(42)
    assert len(fleet.crash_times_s) == before


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('lost', (15, 30, 50))
def test_sound_requests_are_served_while_many_targets_fail(
    lost: int, seed: int
) -> None:
    """Guards against refusing requests that ran where a rack failed."""
    fleet = CrashSimulation(gateways=10, targets=60, seed=seed)
    fleet.add_sound(per_s=550, until_s=20)
    fleet.run(10)
    fleet.crash_targets(lost, within_s=2)
    fleet.run(22)
    assert not fleet.refused


@pytest.mark.parametrize('seed', SEEDS)
def test_sound_request_is_not_refused_for_long_in_a_large_fleet(
    seed: int,
) -> None:
    """Guards against a refusal that nothing ends.

    Each gateway sees few copies of a request, so that answers are learnt late.
    """
    fleet = CrashSimulation(gateways=182, targets=60, seed=seed)
    fleet.add_sound(per_s=550, until_s=20)
    fleet.run(10)
    fleet.crash_targets(30, within_s=2)
    fleet.run(15)
    early = dict(fleet.refused)
    assert sum(early.values()) <= fleet.answered / 1000
    fleet.run(22)
    assert fleet.refused == early


@pytest.mark.parametrize('seed', SEEDS)
def test_sound_requests_are_served_beside_a_deadly_one(seed: int) -> None:
    """Guards against refusing what ran where a deadly request was run."""
    fleet = CrashSimulation(gateways=10, targets=28, seed=seed)
    fleet.add_sound(per_s=550, until_s=30)
    fleet.add_deadly(per_s=6, until_s=30)
    fleet.run(12)
    fleet.crash_targets(10, within_s=2)
    fleet.run(32)
    assert set(fleet.refused) == {DEADLY}


def test_answers_of_the_last_seconds_are_kept() -> None:
    """Guards against suspecting a request that others have displaced.

    A gateway answers 55 requests a second, and 200 more at the same moment.
    """
    answers = RecentAnswers()
    for number in range(3300):
        answers.note(b'old-%d' % number, number / 55)
    hot = [b'hot-%d' % number for number in range(200)]
    for name in hot:
        answers.note(name, 60)
    for number in range(110):
        answers.note(b'new-%d' % number, 60 + number / 55)
    assert all(answers.answered_s(name) == 60 for name in hot)

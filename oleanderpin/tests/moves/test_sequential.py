"""The sequential test: its false-alarm rate and its power."""

import random

import pytest

from ...moves.sequential import Batch, SequentialDetector

_ALPHA = 0.01
_INTERVALS = 300


def requests_until_alarm(
    rng: random.Random,
    *,
    new_probability: float,
    old_probability: float = 0.01,
    bad_from: int = 0,
    new_count: int = 5,
) -> int | None:
    """Return the bad version's requests up to the alarm; None if no alarm."""
    detector = SequentialDetector(_ALPHA)
    exposed = 0
    for interval in range(_INTERVALS):
        is_bad = interval >= bad_from
        probability = new_probability if is_bad else old_probability
        new_bad = sum(rng.random() < probability for _ in range(new_count))
        old_bad = sum(rng.random() < old_probability for _ in range(95))
        exposed += new_count if is_bad else 0
        detector.update(Batch(new_count, new_bad, 95, old_bad))
        if detector.is_bad:
            return exposed
    return None


def test_equal_versions_rarely_raise_an_alarm() -> None:
    """Guards against good versions being rolled back."""
    rng = random.Random(7)
    alarms = [
        requests_until_alarm(rng, new_probability=0.03, old_probability=0.03)
        for _ in range(200)
    ]
    # Ville's inequality allows 2 of 200 on average.
    assert sum(alarm is not None for alarm in alarms) <= 6


def test_common_outage_is_not_blamed_on_the_new_version() -> None:
    """Guards against alarms when both versions fail equally often."""
    detector = SequentialDetector(_ALPHA)
    for _ in range(100):
        detector.update(Batch(10, 9, 90, 81))
    assert not detector.is_suspicious


@pytest.mark.parametrize(
    ('new_probability', 'bad_from', 'exposed_limit'),
    [(0.1, 0, 300), (0.5, 0, 50), (1.0, 0, 20), (0.3, 200, 150)],
)
def test_bad_version_is_found_within_few_requests(
    new_probability: float, bad_from: int, exposed_limit: int
) -> None:
    """Guards against early or late degradations that are not detected."""
    rng = random.Random(11)
    exposures = [
        requests_until_alarm(
            rng, new_probability=new_probability, bad_from=bad_from
        )
        for _ in range(40)
    ]
    assert None not in exposures
    found = sorted(exposed for exposed in exposures if exposed is not None)
    assert found[len(found) // 2] <= exposed_limit


def test_thinning_of_large_batches_never_adds_evidence() -> None:
    """Guards against rounding that turns equal versions into a bad one."""
    detector = SequentialDetector(_ALPHA)
    for _ in range(1000):
        detector.update(Batch(4000, 1, 4000, 1))
    assert not detector.is_suspicious

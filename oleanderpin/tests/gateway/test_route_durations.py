"""Estimates of the work on each route's requests."""

import random

import pytest

from ...gateway.route_durations import RouteDurations


def test_estimate_is_of_the_route_itself() -> None:
    """Guards against refusals by the durations of other routes."""
    durations = RouteDurations()
    for _each in range(50):
        durations.note('slow', 2.0)
    assert durations.fast_s('slow') > 1.5
    assert durations.fast_s('added') == 0


def test_estimate_is_a_fast_response() -> None:
    """Guards against refusing requests that half of the time are in time."""
    generator = random.Random(1)
    durations = RouteDurations()
    for _each in range(2000):
        durations.note('desk', generator.uniform(1.0, 2.0))
    assert durations.fast_s('desk') == pytest.approx(1.2, abs=0.2)

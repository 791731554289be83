"""Simulated overload of a fleet, with the gateway's own decisions."""

import math
from dataclasses import replace
from typing import Any

import pytest

from ...testing.emulator import Emulation, RequestKind, Scenario, Tally

# A tenth of the targets and a third of the callers are in one region.
FLEET = Scenario(
    targets={'north': 5, 'central': 1, 'south': 4},
    kinds=(RequestKind('lookup', 1.0, 0.4, 0.25, 2.0, 50),),
    gateways=2,
    duration_s=4.0,
)


def simulate(load: float, **options: Any) -> Tally:
    """Return the outcome counts at a load."""
    return Emulation(FLEET, load=load, **options).run()


def in_aim_per_s(load: float, **options: Any) -> float:
    """Return the rate of answers within the latency objective."""
    return simulate(load, **options).in_aim / FLEET.duration_s


def any_wait_s(*_arguments: float, **_options: float) -> float:
    """Return an unlimited wait."""
    return math.inf


def test_every_request_has_one_outcome() -> None:
    """Guards against requests that the simulation loses."""
    tally = simulate(1.5)
    outcomes = tally.in_aim + tally.late + tally.refused + tally.expired
    assert outcomes == tally.asked


def test_runs_with_the_same_seed_are_equal() -> None:
    """Guards against results that differ from run to run."""
    assert simulate(0.8, seed=3) == simulate(0.8, seed=3)


@pytest.mark.parametrize('load', [1.3, 1.6, 2.0])
def test_service_does_not_collapse_beyond_the_room(load: float) -> None:
    """Guards against queues that grow until all answers are late."""
    assert in_aim_per_s(load) >= 0.9 * in_aim_per_s(1.0)


def test_unbounded_waits_serve_less_in_time() -> None:
    """Guards against a simulation in which overload does no harm."""
    bounded = in_aim_per_s(1.6)
    assert in_aim_per_s(1.6, max_wait=any_wait_s) < 0.8 * bounded


def test_targets_that_pause_or_leave_get_nothing_more() -> None:
    """Guards against requests that targets have asked not to be sent."""
    told = replace(
        FLEET,
        queue=3,
        pause_s=1.0,
        leaves_s={'north-t0': 0.5, 'south-t1': 1.0},
        drain_s=1.0,
        duration_s=6.0,
    )
    emulation = Emulation(told, load=1.2)
    tally = emulation.run()
    assert tally.pauses
    assert tally.leaves == 2 * told.gateways * len(told.targets)
    assert not tally.after_drain
    assert not tally.in_pause

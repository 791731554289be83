"""Objects of targets with a limit."""

from collections import Counter

import pytest

from ...gateway.placement import OWN_FAILURE_DOMAIN, Candidate
from ...gateway.region_split import RegionCapacity, RegionSplit
from ...gateway.service_targets import ServiceTargets
from ...gateway.target_health import TargetHealth
from ...routing.target_limits import TargetLimits
from ...testing.routing import make_target

KEYS = [f'o{number}' for number in range(4000)]
USUAL_S = 0.15
SLOTS = 9


def service(count: int = 20) -> ServiceTargets:
    """Return a service with targets of one region."""
    candidates = [
        Candidate(
            make_target(f't{number}', failure_domain='north-a', slots=SLOTS),
            TargetHealth(SLOTS),
            OWN_FAILURE_DOMAIN,
        )
        for number in range(count)
    ]
    return ServiceTargets(RegionSplit('north', 0.0), candidates, USUAL_S)


def homes(targets: ServiceTargets) -> dict[str, str]:
    """Return the first target of each object."""
    return {
        key: targets.ordered(key, '', ())[0][0].target.target_id for key in KEYS
    }


def limited(targets: ServiceTargets, limit_per_s: float) -> None:
    """Let the first target name a limit, and wait until it is in full effect."""
    limits = TargetLimits()
    for now_s in (100.0, 103.0):
        limits.observe('t0', limit_per_s, now_s)
        targets.update_limits(limits, now_s)


def test_limited_target_keeps_the_objects_that_it_can_serve() -> None:
    """Guards against objects that are loaded elsewhere for each request.

    With all objects left at targets that named half of their rate, only 0.45 of
    the worth was served.
    """
    targets = service()
    before = homes(targets)
    limited(targets, 4.0)
    after = homes(targets)
    counts = Counter(after.values())
    assert 0 < counts['t0'] < 0.5 * Counter(before.values())['t0']
    moved = {key for key in KEYS if before[key] != after[key]}
    assert {before[key] for key in moved} == {'t0'}


def test_objects_return_when_the_limit_ends() -> None:
    """Guards against objects that stay away from a target without need."""
    targets = service()
    before = homes(targets)
    limited(targets, 4.0)
    limited(targets, 0.0)
    assert homes(targets) == before


def test_limits_reduce_the_slots_of_the_region() -> None:
    """Guards against a region that looks idle because its targets are limited.

    Requests in flight fall with the limits; compared with all slots, the region
    would be sent the objects of others.
    """
    targets = service(count=1)
    limited(targets, 4.0)
    assert targets.slots['north'] == pytest.approx(4.0 * USUAL_S)


def test_overload_without_limits_moves_no_objects() -> None:
    """Guards against orders that are computed anew while a region is busy."""
    targets = service()
    limited(targets, 4.0)
    busy = RegionCapacity(slots=10, in_flight=30)
    for now_s in range(20):
        targets.split.update({'north': busy}, float(now_s))
    limited(targets, 4.0)
    weights = {each.health.weight for each in targets.candidates[1:]}
    assert weights == {1.0}

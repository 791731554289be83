"""Division of the rate of a cold target among gateways."""

import math

import pytest

from ...gateway.known_gateways import KnownGateways


def fleet(size: int) -> list[KnownGateways]:
    """Return the views of gateways that all know each other."""
    names = [f'g{number}' for number in range(size)]
    gateways = [KnownGateways(name) for name in names]
    for each in gateways:
        each.add(names)
    return gateways


@pytest.mark.parametrize('size', [8, 11, 66, 530])
def test_first_requests_of_all_gateways_stay_within_the_rate(
    size: int,
) -> None:
    """Guards against one request from each of many gateways at once."""
    intervals_s = [each.cold_interval_s('t1', 4.5) for each in fleet(size)]
    finite_s = [each for each in intervals_s if math.isfinite(each)]
    # Each may send at once and again after its interval.
    in_first_second = sum(1 + int(1 / each) for each in finite_s)
    assert finite_s
    assert in_first_second <= 4.5 * 1.5 + 8
    assert sum(1 / each for each in finite_s) <= 4.5


def test_cold_targets_are_spread_over_gateways() -> None:
    """Guards against few gateways that warm up all targets."""
    gateways = fleet(66)
    chosen = [
        sum(
            math.isfinite(each.cold_interval_s(f't{target}', 4.5))
            for target in range(200)
        )
        for each in gateways
    ]
    assert min(chosen) > 0
    assert max(chosen) < 200 / 4


def test_gone_gateways_still_count() -> None:
    """Guards against two sides of a partition that each use the whole rate."""
    one = fleet(66)[0]
    chosen_s = one.cold_interval_s('t1', 17.0)
    one.add(['g0'])
    assert one.cold_interval_s('t1', 17.0) == chosen_s


def test_few_gateways_all_share() -> None:
    """Guards against cold targets of a small fleet that get no request."""
    for each in fleet(3):
        assert each.cold_interval_s('t1', 20.0) == pytest.approx(0.5)
    assert fleet(3)[0].cold_interval_s('t1', 0.0) == 0

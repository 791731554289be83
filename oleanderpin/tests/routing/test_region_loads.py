"""Sums of what all gateways have in flight."""

import random

import pytest

from ...routing.region_loads import (
    REPORT_VALID_S,
    LoadKey,
    ReportedLoads,
    decode_loads,
    encode_loads,
)

NORTH = LoadKey('desk', 'north')
SOUTH = LoadKey('desk', 'south')


def test_reports_of_all_gateways_add_up() -> None:
    """Guards against a region that looks empty to those who send little."""
    reports = ReportedLoads()
    reports.record_report('g0', {NORTH: 2.0}, 0.0)
    reports.record_report('g1', {NORTH: 3.5, SOUTH: 1.0}, 0.5)
    reports.record_report('g0', {NORTH: 4.0}, 1.0)
    sums = reports.sums(1.0)
    assert sums.reporters == 2
    assert sums.in_flight == {NORTH: 7.5, SOUTH: 1.0}


def test_gone_gateway_stops_counting() -> None:
    """Guards against load of a gateway that has died."""
    reports = ReportedLoads()
    reports.record_report('g0', {NORTH: 2.0}, 0.0)
    reports.record_report('g1', {NORTH: 3.0}, REPORT_VALID_S)
    sums = reports.sums(REPORT_VALID_S)
    assert sums.reporters == 1
    assert sums.in_flight == {NORTH: 3.0}


def test_loads_survive_the_wire() -> None:
    """Guards against service and region that change places."""
    loads = {NORTH: 2.25, SOUTH: 0.0}
    assert decode_loads(encode_loads(loads)) == loads


def test_running_sums_match_the_reports() -> None:
    """Guards against sums that drift away from the last reports."""
    chance = random.Random(1)
    reports = ReportedLoads()
    last: dict[str, float] = {}
    for step in range(2000):
        gateway = f'g{chance.randrange(20)}'
        last[gateway] = chance.randrange(40) / 4
        reports.record_report(gateway, {NORTH: last[gateway]}, step * 1e-4)
    found = reports.sums(0.2)
    assert found.reporters == 20
    assert found.in_flight[NORTH] == pytest.approx(sum(last.values()))
    assert reports.sums(10.0).in_flight == {}

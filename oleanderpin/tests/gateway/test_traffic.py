"""The log line about a gateway's traffic."""

import logging

import pytest

from ...gateway.traffic import TrafficMeter


def test_line_tells_token_waits_by_kind_and_result(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against refusals of small accounts hidden by those of large ones.

    Counts of an earlier line must not be in the next one either.
    """
    meter = TrafficMeter()
    for kind, result, waited_s in (
        ('small', 'ok', 0.1),
        ('small', 'no_rate_share', 0.5),
        ('divided', 'ok', 0.0),
    ):
        meter.add_time('rate', waited_s)
        meter.add_token_wait(kind, result, waited_s)
    with caplog.at_level(logging.INFO):
        meter.log()
        meter.add_response(200)
        meter.log()
    first, second = caplog.records
    assert first.tokens == {
        'small': {
            'results': {'ok': 1, 'no_rate_share': 1},
            'mean_ms': 300.0,
            'longest_ms': 500.0,
        },
        'divided': {'results': {'ok': 1}, 'mean_ms': 0.0, 'longest_ms': 0.0},
    }
    assert first.mean_ms == {'rate': 200}
    assert second.tokens == {}

"""Numbers in the headers of one target, and the requests at others."""

import logging
import time
from pathlib import Path

import pytest

from ...control.configuration import ProfileDocument
from ...core.stated_numbers import stated_count, stated_decimal
from ...testing.gateway import (
    ScriptedHttpTarget,
    answer_bytes,
    configuration,
    request_bytes,
    started_gateway,
)
from .test_plugin import status_of

REPEATABLE = ProfileDocument(is_repeatable=True, max_attempts=3)
HUGE = '1' + '0' * 30


@pytest.mark.parametrize(
    'header',
    [
        pytest.param('X-Target-Limit: 1e308', id='limit'),
        pytest.param(f'X-Target-Limit: {HUGE}', id='limit in digits'),
        pytest.param('X-Target-Load: 1000,0,4', id='load'),
        pytest.param(f'X-Target-Load: {HUGE},0,4', id='huge load'),
        pytest.param(
            f'X-Target-Load: 1{"0" * 400},0,4', id='load beyond float'
        ),
        pytest.param(f'X-Target-Load: {"9" * 5000},0,4', id='load beyond int'),
    ],
)
def test_numbers_of_one_target_cost_others_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, header: str
) -> None:
    """Guards against a header that refuses or fails requests at all targets."""
    stating = ScriptedHttpTarget(
        lambda request: answer_bytes(request, extra=f'{header}\r\n')
    ).start()
    sound = [ScriptedHttpTarget().start() for _each in range(3)]
    change = configuration(profile=REPEATABLE)
    with (
        caplog.at_level(logging.ERROR),
        started_gateway(tmp_path, change) as gateway,
    ):
        gateway.announce(stating, 't0', slots=4)
        for number, target in enumerate(sound):
            gateway.announce(target, f't{number + 1}', slots=4)
        statuses = set()
        for number in range(60):
            request = request_bytes(
                path=f'/desk/{number}', request_id=f'r{number}'
            )
            statuses.add(status_of(gateway.ask(request)[0]))
            time.sleep(0.03)
        assert stating.requests
        assert statuses == {200}
    assert 'failed' not in caplog.text


def test_pause_without_end_is_refused_in_time(tmp_path: Path) -> None:
    """Guards against refusals that fail for a number that a target stated."""

    def refuse(request: bytes) -> bytes:
        extra = 'X-Not-Run: true\r\nX-Target-Pause-S: 1e308\r\n'
        return answer_bytes(request, status=503, extra=extra)

    target = ScriptedHttpTarget(refuse).start()
    change = configuration(profile=REPEATABLE)
    with started_gateway(tmp_path, change) as gateway:
        gateway.announce(target, 't1')
        for number in range(3):
            request = request_bytes(request_id=f'r{number}')
            assert status_of(gateway.ask(request)[0]) == 503
    target.stop()


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (b'0', 0),
        (b'007', 7),
        (b'9', 8),
        (b'9' * 5000, 8),
        (b'', None),
        (b'-1', None),
        (b'1_0', None),
        ('٣'.encode(), None),
    ],
)
def test_stated_count(value: bytes, expected: int | None) -> None:
    """Guards against numbers that cannot be used."""
    assert stated_count(value, most=8) == expected


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (b'0.25', 0.25),
        (b'.5', 0.5),
        (b'3.', 3.0),
        (b'9', 8.0),
        (b'1e-1', 0.1),
        (b'1e3', 8.0),
        (b'1e999', 8.0),
        (b'9' * 5000, None),
        (b'inf', None),
        (b'nan', None),
        (b'1_0', None),
    ],
)
def test_stated_decimal(value: bytes, expected: float | None) -> None:
    """Guards against numbers that cannot be used."""
    assert stated_decimal(value, most=8.0) == expected

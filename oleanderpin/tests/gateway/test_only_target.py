"""A service whose only target is slow or fails."""

import time
from pathlib import Path

import pytest

from ...control.configuration import ProfileDocument
from ...testing.gateway import (
    GatewayFixture,
    ScriptedHttpTarget,
    answer_bytes,
    configuration,
    request_bytes,
    started_gateway,
)
from .test_plugin import status_of

NOT_REPEATABLE = ProfileDocument(is_repeatable=False)
LASTING = ('[targets]', 'lease_s = 60')
FAST_REQUESTS = 60
SLOW_REQUESTS = 20
FAST_S = 0.002
SLOW_S = 0.08


@pytest.fixture
def gateway(tmp_path: Path):
    change = configuration(profile=NOT_REPEATABLE)
    with started_gateway(tmp_path, change, options=LASTING) as started:
        yield started


def statuses(gateway: GatewayFixture, count: int) -> list[int]:
    """Send requests for one object, one after the other."""
    return [
        status_of(gateway.ask(request_bytes(request_id='object'))[0])
        for _each in range(count)
    ]


def test_only_target_is_used_while_it_is_slow(gateway: GatewayFixture) -> None:
    """Guards against refusing all requests once the only target slows down.

    None of them may run twice, so that none may be a trial of a slow target.
    """
    work_s = FAST_S

    def respond(request: bytes) -> bytes:
        time.sleep(work_s)
        return answer_bytes(request)

    target = ScriptedHttpTarget(respond).start()
    gateway.announce(target, 't1')
    assert set(statuses(gateway, FAST_REQUESTS)) == {200}
    work_s = SLOW_S
    assert set(statuses(gateway, SLOW_REQUESTS)) == {200}
    target.stop()


def test_only_target_is_tried_again_after_failures(
    gateway: GatewayFixture,
) -> None:
    """Guards against refusing all requests once the only target has failed."""
    status = 500
    target = ScriptedHttpTarget(
        lambda request: answer_bytes(request, status=status)
    ).start()
    gateway.announce(target, 't1')
    statuses(gateway, SLOW_REQUESTS)
    status = 200
    served = 0
    for _each in range(30):
        served += statuses(gateway, 1) == [200]
        time.sleep(0.1)
    # One trial a second at first, and all requests once it has recovered.
    assert served >= 2
    target.stop()

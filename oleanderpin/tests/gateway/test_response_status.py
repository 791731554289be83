"""Responses of targets whose status is none of HTTP."""

import logging
from pathlib import Path

import pytest

from ...control.configuration import ProfileDocument
from ...testing.gateway import (
    ScriptedHttpTarget,
    answer_bytes,
    configuration,
    request_bytes,
    started_gateway,
)
from .test_plugin import status_of

# No response may wait for it.
REQUEST_TIMEOUT_MS = 60_000


@pytest.mark.parametrize(
    'status', ['000', '099', '600', '999', 'abc', '20', '']
)
def test_response_without_a_valid_status_is_given_up(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, status: str
) -> None:
    """Guards against such a status at a caller, and a wait for a next one."""
    caplog.set_level(logging.INFO)

    def respond(request: bytes) -> bytes:
        return answer_bytes(request).replace(b' 200 ', f' {status} '.encode())

    profile = ProfileDocument(
        is_repeatable=False, request_timeout_s=REQUEST_TIMEOUT_MS / 1000
    )
    target = ScriptedHttpTarget(respond).start()
    with started_gateway(tmp_path, configuration(profile=profile)) as gateway:
        gateway.announce(target, 't1')
        request = request_bytes(
            method='POST', body=b'x', deadline_ms=REQUEST_TIMEOUT_MS
        )
        (response,) = gateway.ask(request)
        assert status_of(response) == 502
    failures = [
        record.result
        for record in caplog.records
        if record.getMessage() == 'attempt failed'
    ]
    assert failures == ['bad_answer']
    target.stop()

"""Responses that begin before the request was sent, or that are malformed."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from ...control.configuration import ProfileDocument
from ...testing.broken_targets import EarlyTarget, Ending
from ...testing.gateway import (
    GatewayFixture,
    configuration,
    request_bytes,
    started_gateway,
)

# More than the kernel buffers on both sides.
_UPLOAD = b'u' * 5_000_000
_ID = b'X-Request-Id: %s\r\n'
_OK_HEAD = b'HTTP/1.1 200 OK\r\n' + _ID
_UNTIL_CLOSE = _OK_HEAD + b'\r\npart'


@contextmanager
def gateway_before(
    folder: Path, target: EarlyTarget
) -> Iterator[GatewayFixture]:
    """Run a gateway with one target and without retries."""
    profile = ProfileDocument(is_repeatable=False)
    target.start()
    with started_gateway(
        folder,
        configuration(profile=profile),
        options=('max_buffered_bytes = 50000000',),
    ) as gateway:
        gateway.announce(target, 't1')
        yield gateway
    target.stop()


def failed_results(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return why the gateway counted attempts as failed."""
    return [
        record.result
        for record in caplog.records
        if record.getMessage() == 'attempt failed'
    ]


@pytest.mark.parametrize('ending', ['reset', 'close', 'half-close'])
@pytest.mark.parametrize(
    'response',
    [
        pytest.param(_UNTIL_CLOSE, id='until-close'),
        pytest.param(
            _OK_HEAD + b'Content-Length: 9\r\n\r\npart', id='by-length'
        ),
        pytest.param(
            _OK_HEAD + b'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n',
            id='chunked',
        ),
    ],
)
def test_part_of_a_response_is_not_passed_on(
    tmp_path: Path,
    caplog: pytest.LogCaptureFixture,
    response: bytes,
    ending: Ending,
) -> None:
    """Guards against a caller that takes a part for the whole."""
    caplog.set_level('INFO')
    with gateway_before(tmp_path, EarlyTarget(response, ending)) as gateway:
        request = request_bytes(method='POST', body=_UPLOAD)
        (answer,) = gateway.ask(request)
        assert answer.startswith(b'HTTP/1.1 502 ')
        assert failed_results(caplog) == ['reset']


@pytest.mark.parametrize(
    'status', [b'000', b'099', b'600', b'999', b'2x0', b'20', b'']
)
def test_invalid_status_is_not_passed_on(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, status: bytes
) -> None:
    """Guards against answers with a status that no caller can read."""
    caplog.set_level('INFO')
    response = (
        b'HTTP/1.1 ' + status + b' Odd\r\n' + _ID
    ) + b'Content-Length: 2\r\n\r\nok'
    target = EarlyTarget(response, 'close', reads_request=True)
    with gateway_before(tmp_path, target) as gateway:
        (answer,) = gateway.ask(request_bytes(method='POST', body=b'x'))
        assert answer.startswith(b'HTTP/1.1 502 ')
        assert failed_results(caplog) == ['bad_answer']


@pytest.mark.parametrize('ending', ['close', 'half-close'])
def test_response_until_an_orderly_close_is_passed_on(
    tmp_path: Path, ending: Ending
) -> None:
    """Guards against refusing the responses of simple targets."""
    target = EarlyTarget(_UNTIL_CLOSE, ending, reads_request=True)
    with gateway_before(tmp_path, target) as gateway:
        (answer,) = gateway.ask(request_bytes(method='POST', body=b'x'))
        assert answer.startswith(b'HTTP/1.1 200 ')
        assert answer.endswith(b'part')

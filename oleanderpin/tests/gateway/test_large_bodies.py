"""Requests with large bodies, which are decided about before they are read."""

import socket
from pathlib import Path

import pytest

from ...control.configuration import ProfileDocument
from ...testing.gateway import (
    GatewayFixture,
    ScriptedHttpTarget,
    configuration,
    header_of,
    read_message,
    request_bytes,
    started_gateway,
)
from ..control.group import wait_until
from .test_plugin import status_of

ONCE = ProfileDocument(is_repeatable=False, max_attempts=1)
BODY = bytes(range(256)) * 400


@pytest.fixture
def gateway(tmp_path: Path):
    with started_gateway(tmp_path, configuration(profile=ONCE)) as started:
        yield started


def head_of(request: bytes) -> bytes:
    """Return a request without its body."""
    return request[: len(request) - len(BODY)]


@pytest.mark.parametrize(
    ('path', 'key', 'status'), [('/desk/1', 'wrong', 401), ('/else/', 'k', 404)]
)
def test_refusal_does_not_wait_for_the_body(
    gateway: GatewayFixture, path: str, key: str, status: int
) -> None:
    """Guards against links that are filled by bodies of refused requests.

    A gateway whose link was full of them could not reach any other instance for
    ten seconds, and used a configuration that was 2.6 s old.
    """
    request = request_bytes(method='POST', path=path, key=key, body=BODY)
    with gateway.connect() as connection:
        connection.sendall(head_of(request) + BODY[:1000])
        response = read_message(connection, bytearray())
    assert status_of(response) == status
    assert header_of(response, b'connection') == b'close'


def test_caller_that_goes_on_sending_reads_the_refusal(
    gateway: GatewayFixture,
) -> None:
    """Guards against a connection that is reset before the caller has read."""
    request = request_bytes(method='POST', key='wrong', body=BODY)
    with gateway.connect() as connection:
        connection.sendall(request)
        assert status_of(read_message(connection, bytearray())) == 401


def test_connection_goes_on_after_a_refused_body(
    gateway: GatewayFixture,
) -> None:
    """Guards against a connection that is not read after a refusal."""
    gateway.announce(ScriptedHttpTarget().start(), 't1')
    refused = request_bytes(method='POST', key='wrong', body=BODY[:20_000])
    buffer = bytearray()
    with gateway.connect() as connection:
        connection.sendall(refused)
        assert status_of(read_message(connection, buffer)) == 401
        connection.sendall(request_bytes())
        assert status_of(read_message(connection, buffer)) == 200


def test_admitted_body_reaches_the_target(gateway: GatewayFixture) -> None:
    """Guards against a body that stays unread after the decision."""
    target = ScriptedHttpTarget().start()
    gateway.announce(target, 't1')
    request = request_bytes(method='POST', body=BODY)
    buffer = bytearray()
    with gateway.connect() as connection:
        for number in range(3):
            sent = request.replace(b'r1', b'r%d' % number, 1)
            connection.sendall(sent[: len(sent) // 2])
            connection.sendall(sent[len(sent) // 2 :])
            assert status_of(read_message(connection, buffer)) == 200
    assert [each[-len(BODY) :] for each in target.requests] == [BODY] * 3


def test_caller_is_asked_for_the_body_after_the_decision(
    gateway: GatewayFixture,
) -> None:
    """Guards against ``100 Continue`` for a body that is not wanted."""
    gateway.announce(ScriptedHttpTarget().start(), 't1')
    request = request_bytes(method='POST', body=BODY).replace(
        b'\r\n', b'\r\nExpect: 100-continue\r\n', 1
    )
    buffer = bytearray()
    with gateway.connect() as connection:
        connection.sendall(head_of(request))
        assert status_of(read_message(connection, buffer)) == 100
        connection.sendall(BODY)
        assert status_of(read_message(connection, buffer)) == 200
    refused = request.replace(b'key-of-shop', b'other')
    with gateway.connect() as connection:
        connection.sendall(head_of(refused))
        assert status_of(read_message(connection, bytearray())) == 401


def test_caller_that_leaves_during_the_body_frees_it(
    gateway: GatewayFixture,
) -> None:
    """Guards against memory that is kept for callers that are gone."""
    gateway.announce(ScriptedHttpTarget().start(), 't1')
    request = request_bytes(method='POST', body=BODY)
    with gateway.connect() as connection:
        connection.sendall(request[:-1])
        wait_until('the body', lambda: gateway.held_bytes() >= len(BODY))
        connection.shutdown(socket.SHUT_RDWR)
    wait_until('free memory', lambda: not gateway.held_bytes())


def test_body_that_no_target_can_take_is_not_read(
    gateway: GatewayFixture,
) -> None:
    """Guards against bodies that are read to be refused as busy."""
    request = request_bytes(method='POST', body=BODY)
    with gateway.connect() as connection:
        connection.sendall(head_of(request))
        response = read_message(connection, bytearray())
    assert status_of(response) == 503
    assert header_of(response, b'retry-after')


def test_caller_that_leaves_during_the_body_uses_no_token(
    tmp_path: Path,
) -> None:
    """Guards against rates used up by requests that never reach a target."""
    change = configuration(profile=ONCE, rate_per_s=2.0)
    request = request_bytes(method='POST', body=BODY, deadline_ms=1000)
    with started_gateway(tmp_path, change) as gateway:
        gateway.announce(ScriptedHttpTarget().start(), 't1')
        wait_until(
            'a share of the rate',
            lambda: status_of(gateway.ask(request_bytes())[0]) == 200,
        )
        for _each in range(10):
            with gateway.connect() as connection:
                connection.sendall(request[:-1])
                wait_until(
                    'the body', lambda: gateway.held_bytes() >= len(BODY)
                )
            wait_until('free memory', lambda: not gateway.held_bytes())
        (response,) = gateway.ask(request_bytes(deadline_ms=1000))
    assert status_of(response) == 200

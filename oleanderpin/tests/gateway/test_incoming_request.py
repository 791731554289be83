"""What a request that is being read may consist of."""

import pytest

from ...gateway.incoming_request import IncomingRequest
from ...gateway.listener_options import StaticLimits
from ...gateway.messages import CallerRequest

LIMITS = StaticLimits(max_header_bytes=1000, max_body_bytes=1_000_000)


@pytest.fixture
def incoming() -> IncomingRequest:
    return IncomingRequest(CallerRequest(b'POST', b'', [], 0.0), LIMITS)


def send_body(incoming: IncomingRequest, piece: bytes, count: int) -> None:
    """Send a body in equal pieces."""
    incoming.is_in_head = False
    for _each in range(count):
        incoming.add_piece(piece)


def test_head_that_arrives_in_one_read_is_limited(incoming) -> None:
    """Guards against heads that were checked only while incomplete."""
    incoming.add_target(b'/desk/1')
    for _each in range(100):
        incoming.add_field(b'a', b'0123456789')
    incoming.is_in_head = False
    assert incoming.violation() == 431
    assert len(incoming.request.headers) < 100


def test_trailers_are_limited_and_dropped(incoming) -> None:
    """Guards against trailers that are kept, or passed on as headers."""
    send_body(incoming, b'x', 1)
    incoming.add_field(b'host', b'other')
    assert not incoming.request.headers
    assert incoming.violation() is None
    for _each in range(100):
        incoming.add_field(b'a', b'0123456789')
    assert incoming.violation() == 431


def test_field_without_end_is_limited(incoming) -> None:
    """Guards against bytes that the parser keeps until a field ends."""
    send_body(incoming, b'x', 1)
    incoming.note_read(1)
    for _each in range(3):
        incoming.note_read(400)
    assert incoming.violation() == 431


@pytest.mark.parametrize(
    ('piece_bytes', 'count', 'expected'),
    [(1, 65_000, None), (1, 75_000, 400), (2, 80_000, 400), (16, 6000, None)],
)
def test_body_in_many_small_pieces_is_refused(
    incoming, piece_bytes: int, count: int, expected: int | None
) -> None:
    """Guards against processor time for pieces of a few bytes."""
    send_body(incoming, bytes(piece_bytes), count)
    assert incoming.violation() == expected


def test_cost_covers_objects_of_small_fields(incoming) -> None:
    """Guards against heads that take ten times their size unnoticed."""
    for _each in range(50):
        incoming.add_field(b'a', b'b')
    assert incoming.cost_bytes > 50 * 100

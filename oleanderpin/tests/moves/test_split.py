"""Traffic shares of versions on one instance."""

from types import SimpleNamespace
from typing import Any

import pytest

from ...control.state import ControlState, Move, Service
from ...moves.split import VersionSplit

BEFORE = Service('desk', 'p', version='v1')
AFTER = Service('desk', 'p', version='v2')


def move(status: Any, share_percent: float) -> Move:
    return Move(
        'desk', 'v1', 'v2', 0.0, status=status, share_percent=share_percent
    )


def make_split(
    service: Service, running: Move, *, is_fresh: bool = True
) -> VersionSplit:
    state = ControlState(services={'desk': service}, moves={'desk': running})
    view = SimpleNamespace(state=state, is_fresh=lambda: is_fresh)
    kernel: Any = SimpleNamespace(plugin=lambda _class: view)
    return VersionSplit(kernel)


def test_running_move_splits_by_its_share() -> None:
    split = make_split(BEFORE, move('running', 30))
    weights = split.weights(BEFORE)
    assert weights == {'v2': pytest.approx(0.3), 'v1': pytest.approx(0.7)}


def test_request_that_read_the_service_before_the_move_ended() -> None:
    """Guards against a request that reverts the split after a move ended.

    It combines the service read before the end with the state after it.
    """
    split = make_split(AFTER, move('done', 100))
    assert split.weights(BEFORE) == {'v2': 1.0}


def test_stale_instance_sends_the_new_version_no_requests() -> None:
    """Guards against a bad version in a partitioned failure domain."""
    split = make_split(BEFORE, move('running', 30), is_fresh=False)
    assert split.weights(BEFORE) == {'v2': 0.0, 'v1': 1.0}


def test_halted_version_has_no_share_until_the_next_move() -> None:
    running = move('running', 30)
    split = make_split(BEFORE, running)
    split.halt(running, 'errors on route GET /')
    assert split.weights(BEFORE)['v2'] == 0.0
    assert split.halt_reason(running)
    later = Move('desk', 'v1', 'v2', 0.0, started_unix_s=5.0)
    assert not split.halt_reason(later)

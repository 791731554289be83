"""Orders of operators that arrive late or at an instance that is behind."""

import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from ...control.state import ControlState
from ...control.view import ControlView
from ...core.errors import UnavailableError
from ...operators.actions import OperatorActions
from ..control.group import Group, wait_until

_ZONE = 'north-a'
_LONG_S = 30.0


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    made = Group(tmp_path)
    made.start()
    made.leader()
    yield made
    made.stop()


def _actions(group: Group, name: str) -> OperatorActions:
    return group.kernels[name].plugin(OperatorActions)


def _until(group: Group, name: str, duration_s: float = _LONG_S) -> float:
    return group.kernels[name].clock.now_s() + duration_s


def _drain(group: Group, name: str) -> None:
    actions = _actions(group, name)
    order = actions.drain_failure_domain
    assert order(_ZONE, valid_until_s=_until(group, name)).kind == 'ok'


def _return(group: Group, name: str) -> None:
    actions = _actions(group, name)
    order = actions.return_failure_domain
    assert order(_ZONE, valid_until_s=_until(group, name)).kind == 'ok'


def _is_drained(group: Group, name: str) -> bool:
    return _ZONE in group.view(name).state.drains


class _OldView:
    """A view whose state and revision stay as they are."""

    def __init__(self, view: ControlView) -> None:
        self.state: ControlState = view.state
        self.revision = view.revision


def test_order_that_was_given_up_is_refused(group: Group) -> None:
    """Guards against an order that its sender has sent elsewhere since."""
    _drain(group, 'c0')
    with pytest.raises(UnavailableError, match='too late'):
        _actions(group, 'c1').return_failure_domain(
            _ZONE, valid_until_s=_until(group, 'c1', -0.1)
        )
    assert _is_drained(group, group.leader())


@pytest.mark.parametrize('first', [_drain, _return])
def test_pause_between_check_and_proposal_does_no_harm(
    group: Group, monkeypatch: pytest.MonkeyPatch, first: Callable[..., None]
) -> None:
    """Guards against an order that acts after a pause of its instance.

    While the instance c1 stands still, the order is given again at c0, and the
    opposite order after it.
    """
    orders = {_drain: _return, _return: _drain}
    opposite = orders[first]
    if first is _return:
        _drain(group, 'c0')
    paused = _actions(group, 'c1')
    wait_until(
        'c1 is current',
        lambda: group.view('c1').revision == group.view('c0').revision,
    )
    propose = paused._distribution.propose
    valid_until_s = _until(group, 'c1', 1.0)

    def propose_after_pause(change: object) -> object:
        first(group, 'c0')
        opposite(group, 'c0')
        time.sleep(1.2)
        return propose(change)

    with monkeypatch.context() as patched:
        patched.setattr(paused._distribution, 'propose', propose_after_pause)
        order = (
            paused.drain_failure_domain
            if first is _drain
            else paused.return_failure_domain
        )
        with pytest.raises(UnavailableError, match='too late'):
            order(_ZONE, valid_until_s=valid_until_s)
    leader = group.leader()
    assert _is_drained(group, leader) == (opposite is _drain)


def test_order_at_an_instance_that_is_behind_succeeds(
    group: Group, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against sound orders that are refused for an old copy."""
    behind = _actions(group, 'c1')
    monkeypatch.setattr(behind, '_view', _OldView(group.view('c1')))
    _drain(group, 'c0')
    _return(group, 'c1')
    assert not _is_drained(group, group.leader())
    _drain(group, 'c0')
    _drain(group, 'c1')
    assert _is_drained(group, group.leader())


def test_order_given_twice_in_time_succeeds_twice(group: Group) -> None:
    """Guards against a repeated order that gets an error."""
    for order in (_drain, _return):
        order(group, 'c0')
        order(group, 'c1')
        order(group, group.leader())

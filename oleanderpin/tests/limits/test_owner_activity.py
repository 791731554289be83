"""What a control instance logs of its parts of rates."""

import logging
from typing import Any

import pytest

from ...core.errors import UnavailableError
from ...limits import part_activity
from ...limits.part_owner import PartOwner
from ...testing import ManualClock
from ...testing.rates import SMALL, RatesInstance
from ...wire.generated.parts.ttypes import Drawn, Need
from ..control.group import wait_until

COUNTS = (
    'tokens_given',
    'tokens_to_owners',
    'requests_empty',
    'requests_unknown',
    'draws',
    'tokens_drawn',
    'failed_draws',
)
ROUND_TRIP_S = 0.02


def lines(caplog: pytest.LogCaptureFixture) -> list[Any]:
    """Return the lines about parts."""
    return [each for each in caplog.records if each.message == 'parts of rates']


def counted(caplog: pytest.LogCaptureFixture) -> dict[str, int]:
    """Return the sums over all lines."""
    return {
        name: sum(getattr(each, name) for each in lines(caplog))
        for name in COUNTS
    }


@pytest.mark.parametrize('is_silent', [False, True])
def test_lines_tell_empty_parts_from_silent_owners(
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
    *,
    is_silent: bool,
) -> None:
    """Guards against refusals whose cause no line of an owner tells."""
    monkeypatch.setattr(part_activity, '_LOG_INTERVAL_S', 0.05)
    clock = ManualClock(0.0)

    def draw(*_call: Any) -> Drawn:
        clock.advance(ROUND_TRIP_S)
        if is_silent:
            raise UnavailableError('no reply')
        return Drawn(count=1, left=0.0)

    instance = RatesInstance(draw, own='c0', controls=('c0', 'c1'), clock=clock)
    owner = PartOwner(instance)
    with caplog.at_level(logging.INFO):
        owner.start()
        # Half of the rate is this instance's part.
        clock.advance(1.0)
        owner.give_owner(SMALL.name, 1)
        owner.give([Need(account=SMALL.name, count=5)])
        owner.give([Need(account='unknown', count=1)])
        wait_until(
            'lines about the draw and the last request',
            lambda: (
                counted(caplog)['draws'] and counted(caplog)['requests_unknown']
            ),
        )
        instance.stopping.set()
        owner.stop()
    assert counted(caplog) == {
        'tokens_given': 3,
        'tokens_to_owners': 1,
        'requests_empty': 2,
        'requests_unknown': 1,
        'draws': 1,
        'tokens_drawn': int(not is_silent),
        'failed_draws': int(is_silent),
    }
    means_ms = {each.mean_draw_ms for each in lines(caplog)} - {None}
    assert means_ms == (set() if is_silent else {ROUND_TRIP_S * 1000})

"""Confirmation of leaves in a control group of three instances."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from ... import daemon  # noqa: F401  registers all plug-ins
from ...core.errors import UnavailableError
from ...targets.announcement import Announcement, Departure
from ...targets.departures import Departures
from ...targets.table import TargetTable
from ..control.group import WAIT_S, Group, wait_until

# A wait with this time-out ends at once or runs to its end, so its length
# affects no result.
_SHORT_TIMEOUT_S = 0.3


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    group = Group(tmp_path)
    group.start()
    try:
        wait_until('members known', lambda: _all_know_members(group))
        yield group
    finally:
        group.heal()
        group.stop()


def _all_know_members(group: Group) -> bool:
    return all(len(group.view(name).state.members) == 3 for name in group.names)


def _plugin(group: Group, name: str, kind: type[Any]) -> Any:
    return group.kernels[name].plugin(kind)


def _announce(group: Group, name: str, **changes: Any) -> None:
    fields: dict[str, Any] = {
        'service': 'desk',
        'target_id': 't1',
        'address': '127.0.0.1:9',
        'region': 'local',
        'failure_domain': 'local-a',
        'generation': 7,
    }
    _plugin(group, name, TargetTable).announce(
        Announcement(**(fields | changes))
    )


def _departure(generation: int | None = 7) -> Departure:
    return Departure(service='desk', target_id='t1', generation=generation)


def test_leave_is_confirmed_by_a_majority(group: Group) -> None:
    """Guards against leaves that are not confirmed without any fault."""
    _announce(group, 'c0')
    _plugin(group, 'c0', Departures).leave(_departure(), timeout_s=WAIT_S)
    assert not _plugin(group, 'c0', TargetTable).targets('desk')


def test_partitioned_instance_confirms_no_leave(group: Group) -> None:
    """Guards against confirming a leave that the other instances lack."""
    _announce(group, 'c1')
    tables = [_plugin(group, name, TargetTable) for name in group.names]
    wait_until('announced', lambda: all(t.targets('desk') for t in tables))
    group.isolate('c0')
    with pytest.raises(UnavailableError, match="leave of 't1'"):
        _plugin(group, 'c0', Departures).leave(
            _departure(), timeout_s=_SHORT_TIMEOUT_S
        )
    assert tables[1].targets('desk')
    _plugin(group, 'c1', Departures).leave(_departure(), timeout_s=WAIT_S)
    group.heal()
    wait_until('gone', lambda: not any(t.targets('desk') for t in tables))


def test_late_leave_of_an_earlier_run_needs_no_confirmation(
    group: Group,
) -> None:
    """Guards against a delayed leave that ends the target's next run."""
    _announce(group, 'c0', generation=8)
    group.isolate('c0')
    _plugin(group, 'c0', Departures).leave(
        _departure(7), timeout_s=_SHORT_TIMEOUT_S
    )
    assert _plugin(group, 'c0', TargetTable).targets('desk')

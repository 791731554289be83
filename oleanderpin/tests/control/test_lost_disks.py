"""Loss of disks while all other instances lose power at the same moment."""

import random
import shutil
from pathlib import Path

import pytest

from ...control.change import Change
from ...control.distribution import Distribution
from ...core.errors import UnavailableError
from ...testing.power import SyncedFiles, lose_power
from .group import Group, account_change, wait_until

_MEMBERS = 6
_LOST_DISKS = 2
_CHANGES = 12


def _confirm(group: Group, change: Change) -> None:
    """Send a change until it is confirmed."""

    def is_confirmed() -> bool:
        name = next(iter(group.kernels))
        try:
            outcome = group.kernels[name].plugin(Distribution).propose(change)
        except UnavailableError:
            return False
        return outcome.kind == 'ok'

    wait_until('confirmed', is_confirmed)


def _holders(
    contents: dict[Path, bytes], group: Group, text: bytes
) -> list[str]:
    """Return the members whose synced files contain a text."""
    return [
        name
        for name in group.names
        if any(
            text in content
            for path, content in contents.items()
            if path.is_relative_to(group.directory / name)
        )
    ]


@pytest.mark.parametrize('seed', range(3))
def test_confirmed_change_outlives_two_disks_and_all_power(
    tmp_path: Path, seed: int
) -> None:
    """Guards against confirmed changes that too few disks hold.

    The lost disks are those of members that have synced the last change, and
    no instance keeps a copy in memory.
    """
    choose = random.Random(seed)
    group = Group(tmp_path, size=_MEMBERS, initial=_MEMBERS)
    with SyncedFiles(tmp_path) as synced:
        group.start()
        group.leader()
        for number in range(_CHANGES):
            _confirm(group, account_change(number))
        at_confirmation = synced.contents()
        group.stop()
    last = account_change(_CHANGES - 1).request_id.encode()
    holders = _holders(at_confirmation, group, last)
    assert len(holders) > _LOST_DISKS
    lost = choose.sample(holders, _LOST_DISKS)
    for name in group.names:
        lose_power(at_confirmation, group.directory / name)
    for name in lost:
        shutil.rmtree(group.directory / name)
    survivors = [name for name in group.names if name not in lost]
    try:
        group.start(*survivors)
        leader = group.leader()
        accounts = group.view(leader).state.accounts
        assert accounts.keys() == {f'a{each}' for each in range(_CHANGES)}
        group.start(*lost)
        _confirm(group, account_change(_CHANGES))
        for name in survivors:
            wait_until(
                'applied',
                lambda view=group.view(name): 'a12' in view.state.accounts,
            )
    finally:
        group.stop()

"""Gateways after all instances lost power right after a change."""

import random
import shutil
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from ...control.log import ControlLog
from ...control.view import ControlView
from ...core.clock import monotonic_s
from ...testing.gateway_fleet import (
    AskedRequest,
    GatewayFleet,
    accounts_configuration,
    wait_for,
)
from ...testing.power import SyncedFiles, lose_power

ACCOUNT = 'shop'
RATES = {ACCOUNT: (0.0, 0.0)}
DOMAINS = ('north-a', 'north-b', 'north-c')
GATEWAYS = 12
# The users allow 2 to 3 s from the confirmation of a change.
IN_FORCE_S = 2.0
# Time over which gateways are asked after there is a leader.
WATCHED_S = 4.0
STATUS_NOT_FOUND = 404
_SYNC_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Restart:
    """A fleet that starts after it lost power right after a change.

    The change added the route ``/added/``. The disks hold its entry, but not
    the position of the last committed entry, which was written afterwards.
    """

    fleet: GatewayFleet
    started_s: float
    # Number of the configuration with the added route.
    number: int

    def is_led(self) -> bool:
        """Return whether there is a leader."""
        controls = (self.fleet.kernels[name] for name in self.fleet.controls)
        return any(each.plugin(ControlLog).has_lease() for each in controls)

    def ask_all(self, names: list[str]) -> list[AskedRequest]:
        """Ask gateways for the added route, until some time after an election.

        Returns
        -------
        list of AskedRequest
            The requests in the order in which they were sent.
        """
        asked: list[AskedRequest] = []
        led_s = float('inf')
        number = 0
        while monotonic_s() < led_s + WATCHED_S:
            for name in names:
                number += 1
                asked.append(
                    self.fleet.ask(
                        name,
                        ACCOUNT,
                        deadline_ms=1000,
                        number=number,
                        path='/added/1',
                    )
                )
            if led_s == float('inf') and self.is_led():
                led_s = monotonic_s()
            assert monotonic_s() < self.started_s + 30
        return asked


@pytest.fixture
def restart(tmp_path: Path) -> Iterator[Restart]:
    domains = [DOMAINS[each % 3] for each in range(GATEWAYS)]
    fleet = GatewayFleet(tmp_path, DOMAINS, domains)
    with SyncedFiles(tmp_path) as synced:
        fleet.start()
        number = _configure_until_stored(fleet, synced) + 1
        before = synced.contents()
        fleet.configure(
            accounts_configuration(
                RATES, number=number, added_prefixes=['/added/']
            )
        )
        at_confirmation = _without_last_positions(synced.contents(), before)
        fleet.stop()
    for name in fleet.controls:
        shutil.rmtree(tmp_path / name)
        lose_power(at_confirmation, tmp_path / name)
    names = list(fleet.names)
    random.Random(1).shuffle(names)
    fleet.start(names)
    yield Restart(fleet, monotonic_s(), number)
    fleet.stop()


def _configure_until_stored(fleet: GatewayFleet, synced: SyncedFiles) -> int:
    """Return the number of the configuration by which one is stored.

    Positions of committed entries are synced once in a second, with the next
    entry, so a single change may not be followed by a sync.
    """
    number = 1
    fleet.configure(accounts_configuration(RATES))
    earlier = _commit_positions(synced)
    while not _have_changed(earlier, _commit_positions(synced)):
        time.sleep(_SYNC_INTERVAL_S)
        number += 1
        fleet.configure(accounts_configuration(RATES, number=number))
    return number


def _have_changed(
    earlier: dict[Path, bytes], stored: dict[Path, bytes]
) -> bool:
    return len(stored) == len(DOMAINS) and all(
        content != earlier.get(path) for path, content in stored.items()
    )


def _without_last_positions(
    contents: dict[Path, bytes], before: dict[Path, bytes]
) -> dict[Path, bytes]:
    """Return synced files with the positions of committed entries before.

    A position may be on its way: synced, but under its old name.
    """
    return {
        path: before[path] if path.name.startswith('commit') else content
        for path, content in contents.items()
        if path in before or not path.name.startswith('commit')
    }


def _commit_positions(synced: SyncedFiles) -> dict[Path, bytes]:
    return {
        path: content
        for path, content in synced.contents().items()
        if path.name == 'commit'
    }


def test_no_gateway_denies_a_route_that_it_cannot_know(
    restart: Restart,
) -> None:
    """Guards against 404 for a route that was added before all power was lost.

    Control instances without a leader hand out the configuration before it.
    """
    asked = restart.ask_all(restart.fleet.gateways)
    denied = [each for each in asked if each.status == STATUS_NOT_FOUND]
    assert not denied
    last = {each.gateway: each for each in asked}
    assert all(each.is_served for each in last.values())


def test_gateway_gets_a_change_from_any_instance_that_it_reaches(
    restart: Restart,
) -> None:
    """Guards against a search for a current source, one time-out after another.

    After a restart of all, gateways used the configuration before the last one
    for 7 to 14 s, since each source that they tried was silent.
    """
    fleet = restart.fleet
    wait_for('leader', restart.is_led)
    late = fleet.gateways[0]
    reached = fleet.gateways[-1]
    cut = [each for each in fleet.names if each not in {late, reached}]
    fleet.faults[late].silence(*(fleet.kernels[each] for each in cut))
    for name in cut:
        fleet.faults[name].silence(fleet.kernels[late])
    fleet.configure_without_waiting(
        accounts_configuration(
            RATES,
            number=restart.number + 1,
            added_prefixes=['/added/', '/later/'],
        )
    )
    confirmed_s = monotonic_s()
    view = fleet.kernels[late].plugin(ControlView)
    wait_for(
        'change',
        lambda: view.state.configuration.number == restart.number + 1,
    )
    assert monotonic_s() - confirmed_s < IN_FORCE_S

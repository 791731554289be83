"""Reports of requests in flight, without a network."""

from types import SimpleNamespace
from typing import Any

from ...core.errors import UnavailableError
from ...gateway.load_reports import LoadReporter
from ...membership.peers import Peers
from ...routing.region_loads import LoadKey, LoadsHandler, RegionLoadAggregator
from ...testing.clock import ManualClock

NORTH = LoadKey('desk', 'north')


class Kernel:
    """Stands in for kernel, peers and network of one gateway."""

    def __init__(self, name: str, fleet: 'Fleet') -> None:
        self.settings = SimpleNamespace(
            instance=SimpleNamespace(name=name, failure_domain='north-a')
        )
        self.clock = fleet.clock
        self._fleet = fleet

    def plugin(self, plugin_class: type) -> Any:
        """Return the fleet in place of plug-ins."""
        return self._fleet if plugin_class is Peers else self

    def register(self, *_arguments: Any) -> None:
        """Stand in for the peer server."""

    def call(self, address: str, *arguments: Any, **_options: Any) -> Any:
        """Deliver a report to the aggregator at an address."""
        if address not in self._fleet.reachable:
            raise UnavailableError(f'{address} does not answer')
        return self._fleet.aggregators[address](arguments[-1])


class Fleet:
    """Gateways and control instances."""

    def __init__(self, gateways: int) -> None:
        self.clock = ManualClock()
        self.names = [f'g{number}' for number in range(gateways)]
        self.reachable = {'c0', 'c1', 'c2'}
        self.aggregators = {}
        for address in sorted(self.reachable):
            aggregator = RegionLoadAggregator(Kernel(address, self))
            self.aggregators[address] = _serve(aggregator)
        self.reporters = [LoadReporter(Kernel(n, self)) for n in self.names]

    def alive(self) -> list[Any]:
        """Return all instances."""
        control = [_peer(name, 'control') for name in ('c0', 'c1', 'c2')]
        return [*(_peer(name, 'gateway') for name in self.names), *control]


def _peer(name: str, role: str) -> Any:
    return SimpleNamespace(name=name, roles=(role,), peer_address=name)


def _serve(aggregator: RegionLoadAggregator) -> Any:
    return LoadsHandler(aggregator).report


def test_each_gateway_learns_the_sums() -> None:
    """Guards against gateways that mistake their own load for the fleet's."""
    fleet = Fleet(4)
    for count, reporter in enumerate(fleet.reporters):
        reporter.note_sample({NORTH: count})
        reporter.note_sample({NORTH: count + 2})
        reporter.report_once()
    assert fleet.reporters[-1].fleet() == {NORTH: 1 + 2 + 3 + 4}


def test_sums_are_scaled_up_for_missing_reports() -> None:
    """Guards against loads that look low while reports are lost."""
    fleet = Fleet(4)
    for reporter in fleet.reporters[:2]:
        reporter.note_sample({NORTH: 3})
        reporter.report_once()
    assert fleet.reporters[1].fleet() == {NORTH: 12}
    assert fleet.reporters[2].fleet() is None


def test_old_sums_are_not_used() -> None:
    """Guards against a split that follows outdated loads."""
    fleet = Fleet(1)
    reporter = fleet.reporters[0]
    reporter.note_sample({NORTH: 3})
    reporter.report_once()
    fleet.reachable.clear()
    fleet.clock.advance(3.0)
    reporter.report_once()
    assert reporter.fleet() == {NORTH: 3}
    fleet.clock.advance(2.0)
    assert reporter.fleet() is None

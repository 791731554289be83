"""Reports of requests in flight, without a network."""

from types import SimpleNamespace
from typing import Any

from ...core.errors import UnavailableError
from ...gateway.load_reports import LoadReporter
from ...membership.peers import Peers
from ...routing.region_loads import (
    LoadKey,
    LoadsHandler,
    RegionLoadAggregator,
    aggregator_address,
)
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
        self.control = ['c0', 'c1', 'c2']
        self.reachable = set(self.control)
        self.aggregators = {}
        for address in sorted(self.reachable):
            aggregator = RegionLoadAggregator(Kernel(address, self))
            self.aggregators[address] = _serve(aggregator)
        self.reporters = [LoadReporter(Kernel(n, self)) for n in self.names]

    def alive(self) -> list[Any]:
        """Return all instances."""
        control = [_peer(name, 'control') for name in self.control]
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


def test_limit_of_a_target_reaches_all_gateways() -> None:
    """Guards against a limit that only the gateways it was told to know."""
    fleet = Fleet(3)
    first, *others = fleet.reporters
    now_s = fleet.clock.now_s()
    assert first.limits.observe('t1', 6.0, now_s)
    for reporter in fleet.reporters:
        reporter.report_once()
    assert [each.limits.limit_per_s('t1', now_s) for each in others] == [6, 6]
    fleet.clock.advance(1.0)
    now_s = fleet.clock.now_s()
    others[0].limits.observe('t1', 0.0, now_s)
    for reporter in (others[0], first, others[1]):
        reporter.report_once()
    assert not any(
        each.limits.limit_per_s('t1', now_s) for each in fleet.reporters
    )


def test_new_aggregator_is_told_apart() -> None:
    """Guards against a limit that is missed when control instances change."""
    fleet = Fleet(2)
    first, second = fleet.reporters
    for reporter in fleet.reporters:
        reporter.report_once()
    lost = aggregator_address(fleet.alive())
    fleet.control = [name for name in fleet.control if name != lost]
    now_s = fleet.clock.now_s()
    first.limits.observe('t1', 6.0, now_s)
    first.report_once()
    second.report_once()
    assert second.limits.limit_per_s('t1', now_s) == 6


def test_limit_is_forgotten_when_nobody_hears_of_the_target() -> None:
    """Guards against targets that are gone and fill the memory."""
    fleet = Fleet(2)
    first, second = fleet.reporters
    first.limits.observe('t1', 6.0, fleet.clock.now_s())
    first.report_once()
    second.report_once()
    fleet.clock.advance(61.0)
    first.report_once()
    second.report_once()
    now_s = fleet.clock.now_s()
    assert not second.limits.limit_per_s('t1', now_s)

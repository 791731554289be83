"""Selection of the gateways that callers use."""

from dataclasses import replace
from typing import Any

from ...lookup.gateways import Gateways, choose_nearest
from ...membership.peers import Peer
from ...routing.region_loads import (
    LinkLoad,
    LoadsHandler,
    RegionLoadAggregator,
)
from ...testing import ManualClock
from ...testing.builders import make_peers


def peer(name: str, failure_domain: str) -> Peer:
    """Return a gateway; its region is the part before the dash."""
    return Peer(
        name=name,
        region=failure_domain.partition('-')[0],
        failure_domain=failure_domain,
        site=failure_domain,
        caller_address=f'{name}:80',
        admin_address='',
        peer_address='',
        incarnation=1,
        roles=('gateway',),
    )


PEERS = [
    peer('n1', 'north-a'),
    peer('n2', 'north-a'),
    peer('n3', 'north-b'),
    peer('s1', 'south-a'),
]


def names(region: str, failure_domain: str) -> list[str]:
    found = choose_nearest(PEERS, region, failure_domain)
    return [each.name for each in found]


def test_own_failure_domain_first() -> None:
    """Guards against needless traffic between failure domains."""
    assert names('north', 'north-a') == ['n1', 'n2']


def test_single_gateway_is_not_the_only_one_returned() -> None:
    """Guards against callers with no alternative when their gateway fails."""
    assert names('north', 'north-b') == ['n1', 'n2', 'n3']


def test_region_without_gateways_uses_others() -> None:
    """Guards against an empty list while other regions have gateways."""
    assert names('west', 'west-a') == ['n1', 'n2', 'n3', 's1']


class _Kernel:
    """Stands in for kernel, membership and network of a control instance."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.peers = [*make_peers('north-a', 9), *make_peers('north-b', 12)]
        control = replace(self.peers[0], name='c1', roles=('control',))
        self.peers.append(control)
        self.aggregator = RegionLoadAggregator(self)

    def plugin(self, _plugin_class: type) -> Any:
        return self

    def register(self, *_arguments: Any) -> None:
        """Stand in for the peer server."""

    def alive(self) -> list[Peer]:
        return self.peers

    def call(self, _address: str, *_arguments: Any, **_options: Any) -> Any:
        return LoadsHandler(self.aggregator).domains()

    def report(self, failure_domain: str, load: float) -> None:
        """Report the same link load from all gateways of a failure domain."""
        for gateway in self.peers:
            if gateway.failure_domain == failure_domain:
                self.aggregator.record_report(
                    gateway.name, {}, link=LinkLoad(failure_domain, load)
                )


def test_look_up_adds_neighbours_of_a_busy_failure_domain() -> None:
    """Guards against look-ups that only go by distance."""
    kernel = _Kernel()
    gateways = Gateways(kernel)
    for _second in range(30):
        kernel.clock.advance(1.0)
        kernel.report('north-a', 0.95)
        kernel.report('north-b', 0.1)
        gateways.update()
    busy = gateways.nearest('north', 'north-a', caller='caller')
    assert any(address.startswith('north-b') for address in busy)
    idle = gateways.nearest('north', 'north-b', caller='caller')
    assert not any(address.startswith('north-a') for address in idle)

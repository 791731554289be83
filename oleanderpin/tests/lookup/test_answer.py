"""Order of the instances in look-up responses."""

import json
from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from ...control.state import Block, ControlState, Drain, Service
from ...control.view import ControlView
from ...core.errors import Refusal
from ...lookup.answer import Lookup
from ...lookup.blocks import BlockIndex, ClientBlocks
from ...lookup.order import MAX_INSTANCES
from ...membership.peers import Peer, Peers
from ...moves.drains import Drains


def make_peer(name: str, **changes: Any) -> Peer:
    """Return a peer whose name is ``region-domain-site-number``."""
    region, domain, site, _number = name.split('-')
    fields = {
        'region': region,
        'failure_domain': f'{region}-{domain}',
        'site': f'{region}-{domain}-{site}',
        'roles': ('entry',),
        'incarnation': 1,
    }
    address = f'{name}:80'
    return Peer(
        name=name,
        caller_address=address,
        admin_address=address,
        peer_address=address,
        **{**fields, **changes},
    )


PEERS = (
    make_peer('a-1-x-0'),
    make_peer('a-1-x-1'),
    make_peer('a-1-y-0'),
    make_peer('a-2-x-0'),
    make_peer('b-1-x-0'),
    make_peer('b-1-y-0'),
    make_peer('b-2-x-0'),
)
SITES = {'10.0.0.0/8': 'b-1-x', '11.0.0.0/8': 'nowhere'}


class LookupHarness:
    """A look-up plug-in on peers and control state that the test sets."""

    def __init__(self) -> None:
        self.peers: tuple[Peer, ...] = PEERS
        blocks = {cidr: Block(cidr, site) for cidr, site in SITES.items()}
        self.state = ControlState(
            services={'desk': Service('desk', 'p')}, blocks=blocks
        )
        settings = SimpleNamespace(forwarding=SimpleNamespace(lookup_ttl_s=5.0))
        plugins: dict[type, Any] = {
            ControlView: self,
            Peers: SimpleNamespace(alive=lambda: self.peers),
            ClientBlocks: BlockIndex(blocks),
        }
        kernel: Any = SimpleNamespace(
            plugin=lambda plugin_class: plugins[plugin_class], settings=settings
        )
        plugins[Drains] = Drains(kernel)
        self.lookup = Lookup(kernel)
        self.is_current = True

    def is_known_current(self) -> bool:
        return self.is_current

    def names(self, client_ip: str) -> list[str]:
        return [entry.name for entry in self.lookup.entries(client_ip)]

    def distances(self, client_ip: str, site: str) -> list[int]:
        region, domain, _site = site.split('-')
        parts = (f'{site}-', f'{region}-{domain}-', f'{region}-')
        return [
            sum(not name.startswith(part) for part in parts)
            for name in self.names(client_ip)
        ]


@pytest.fixture
def harness() -> LookupHarness:
    return LookupHarness()


def test_block_of_caller_determines_the_order(harness: LookupHarness) -> None:
    """Guards against ordering by the place of the responding instance."""
    assert harness.distances('10.0.0.1', 'b-1-x') == [0, 1, 2, 3, 3, 3, 3]
    assert sorted(harness.names('10.0.0.1')) == sorted(
        peer.name for peer in PEERS
    )


@pytest.mark.parametrize('client_ip', ['192.0.2.1', '11.0.0.1'])
def test_unknown_place_uses_the_responding_instance(
    harness: LookupHarness, client_ip: str
) -> None:
    """Guards against rejecting callers without a block or a live site."""
    assert harness.distances(client_ip, 'a-1-x') == [0, 0, 1, 2, 3, 3, 3]


def test_callers_are_spread_over_equal_distances(
    harness: LookupHarness,
) -> None:
    """Guards against sending all callers to one instance of a site."""
    harness.peers = (*PEERS, *(make_peer(f'b-1-x-{n}') for n in range(1, 4)))
    addresses = [f'10.0.{n >> 8}.{n & 255}' for n in range(4000)]
    firsts = Counter(harness.names(address)[0] for address in addresses)
    assert set(firsts) == {f'b-1-x-{n}' for n in range(4)}
    assert min(firsts.values()) > 700
    assert max(firsts.values()) < 1300


def test_loss_moves_only_callers_of_the_lost_instance(
    harness: LookupHarness,
) -> None:
    """Guards against reshuffling all callers when one instance is lost."""
    harness.peers = (*PEERS, *(make_peer(f'b-1-x-{n}') for n in range(1, 4)))
    addresses = [f'10.0.0.{n}' for n in range(256)]
    before = {address: harness.names(address)[0] for address in addresses}
    harness.peers = harness.peers[:-1]
    for address, first in before.items():
        if first != 'b-1-x-3':
            assert harness.names(address)[0] == first


def test_draining_and_lost_instances_are_left_out(
    harness: LookupHarness,
) -> None:
    """Guards against cached orders that still list draining or lost instances."""
    assert 'b-1-x-0' in harness.names('10.0.0.1')
    harness.state = harness.state.with_record(
        'drains', 'b-1', Drain('b-1', 'failure_domain')
    )
    assert harness.distances('10.0.0.1', 'b-1-x') == [2, 3, 3, 3, 3]
    harness.peers = tuple(
        peer for peer in PEERS if peer.failure_domain != 'a-2'
    )
    assert 'a-2-x-0' not in harness.names('10.0.0.1')
    harness.peers = (make_peer('a-1-x-0', draining=True), *PEERS[1:])
    assert 'a-1-x-0' not in harness.names('10.0.0.1')
    harness.peers = (*PEERS[:-1], make_peer('b-2-x-0', roles=('control',)))
    assert 'b-2-x-0' not in harness.names('10.0.0.1')


def test_place_of_a_site_is_kept_after_its_loss(harness: LookupHarness) -> None:
    """Guards against losing the location of a site when its instances fail."""
    harness.names('10.0.0.1')
    harness.peers = tuple(peer for peer in PEERS if peer.site != 'b-1-x')
    assert harness.names('10.0.0.1')[:2] == ['b-1-y-0', 'b-2-x-0']


def test_long_responses_keep_instances_of_each_distance(
    harness: LookupHarness,
) -> None:
    """Guards against responses whose instances all fail together.

    A site with many instances could fill the response; all of them would be
    lost with its failure domain.
    """
    near = (make_peer(f'b-1-x-{n}') for n in range(1, 40))
    harness.peers = (*PEERS, *near)
    distances = harness.distances('10.0.0.1', 'b-1-x')
    assert len(distances) <= MAX_INSTANCES
    assert distances == sorted(distances)
    assert set(distances) == {0, 1, 2, 3}


def test_response_is_the_documented_json(harness: LookupHarness) -> None:
    """Guards against malformed JSON: the body is joined from encoded parts."""
    request: Any = SimpleNamespace(
        path='/lookup/desk', query='client=10.0.0.1', client_ip='192.0.2.1'
    )
    response = harness.lookup.answer(request)
    document = json.loads(response.body)
    assert document['service'] == 'desk'
    assert document['ttl_s'] == 5.0
    assert document['instances'][0] == {
        'name': 'b-1-x-0',
        'address': 'b-1-x-0:80',
        'failure_domain': 'b-1',
        'region': 'b',
        'weight': 100,
    }
    assert len(document['instances']) == len(PEERS)
    harness.peers = (make_peer('a-1-x-0', draining=True),)
    assert json.loads(harness.lookup.answer(request).body)['instances'] == []


@pytest.mark.parametrize(('is_current', 'status'), [(True, 404), (False, 503)])
def test_service_is_denied_by_a_current_copy_only(
    harness: LookupHarness, is_current: bool, status: int
) -> None:
    """Guards against 404 for a service that was added before power was lost."""
    harness.is_current = is_current
    request: Any = SimpleNamespace(path='/lookup/other', query='', client_ip='')
    with pytest.raises(Refusal) as refused:
        harness.lookup.answer(request)
    assert refused.value.details.status == status

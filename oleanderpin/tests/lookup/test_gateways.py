"""Selection of the gateways that callers use."""

from ...lookup.gateways import choose_nearest
from ...membership.peers import Peer


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

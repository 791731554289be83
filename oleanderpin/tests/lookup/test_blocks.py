"""Longest-prefix match of client addresses."""

import ipaddress
import threading
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...control.state import Block, ControlState
from ...lookup.blocks import BlockIndex, ClientBlocks


def as_blocks(sites: dict[str, str]) -> dict[str, Block]:
    return {cidr: Block(cidr, site) for cidr, site in sites.items()}


NESTED = as_blocks(
    {
        '10.0.0.0/8': 'outer',
        '10.1.0.0/16': 'middle',
        '10.1.2.0/24': 'inner',
        '10.255.255.0/24': 'end',
        '2001:db8::/32': 'six',
        '2001:db8::/64': 'six-first',
        '2001:db8::8000:0:0:0/65': 'six-half',
        '2001:db8::1/128': 'six-host',
        '255.255.255.255/32': 'last',
    }
)


@pytest.mark.parametrize(
    ('client_ip', 'site'),
    [
        ('9.255.255.255', None),
        ('10.0.0.0', 'outer'),
        ('10.0.255.255', 'outer'),
        ('10.1.0.0', 'middle'),
        ('10.1.1.255', 'middle'),
        ('10.1.2.0', 'inner'),
        ('10.1.2.255', 'inner'),
        ('10.1.3.0', 'middle'),
        ('10.2.0.0', 'outer'),
        ('10.255.255.255', 'end'),
        ('11.0.0.0', None),
        ('255.255.255.254', None),
        ('255.255.255.255', 'last'),
        ('2001:db7:ffff:ffff:ffff:ffff:ffff:ffff', None),
        ('2001:db8::', 'six-first'),
        ('2001:db8::1', 'six-host'),
        ('2001:db8::2', 'six-first'),
        ('2001:db8::7fff:ffff:ffff:ffff', 'six-first'),
        ('2001:db8::8000:0:0:0', 'six-half'),
        ('2001:db8::ffff:ffff:ffff:ffff', 'six-half'),
        ('2001:db8:0:1::', 'six'),
        ('2001:db9::', None),
        ('::ffff:10.1.2.3', 'inner'),
        ('2001:db8::2%eth0', 'six-first'),
        ('not an address', None),
    ],
)
def test_nested_blocks_and_their_boundaries(
    client_ip: str, site: str | None
) -> None:
    """Guards against off-by-one ranges and a lost enclosing block."""
    assert BlockIndex(NESTED).site_of(client_ip) == site


def test_default_blocks_cover_everything() -> None:
    """Guards against overflow at the last address of each family."""
    index = BlockIndex(as_blocks({'0.0.0.0/0': 'four', '::/0': 'six'}))
    assert index.site_of('0.0.0.0') == 'four'
    assert index.site_of('255.255.255.255') == 'four'
    assert index.site_of('::') == 'six'
    assert index.site_of('ffff:' * 7 + 'ffff') == 'six'


def make_cidr(value: int, bits: int, length: int) -> str:
    # Few distinct leading and trailing bits make blocks nest and adjoin.
    top = value >> 4 << (bits - 4)
    network: Any = ipaddress.IPv4Network
    if bits == 128:
        network = ipaddress.IPv6Network
    return str(network((top | value & 15, length), strict=False))


def block_tables(bits: int, lengths: list[int]) -> Any:
    cidrs = st.builds(
        make_cidr,
        st.integers(0, 255),
        st.just(bits),
        st.sampled_from(lengths),
    )
    return st.dictionaries(cidrs, st.sampled_from('abc'), max_size=12)


def linear_search(sites: dict[str, str], address: Any) -> str | None:
    networks = [ipaddress.ip_network(cidr) for cidr in sites]
    found = [each for each in networks if address in each]
    if not found:
        return None
    return sites[str(max(found, key=lambda each: each.prefixlen))]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    block_tables(32, [0, 1, 2, 3, 4, 28, 30, 31, 32]),
    block_tables(128, [0, 1, 2, 4, 63, 64, 65, 124, 127, 128]),
)
def test_index_agrees_with_linear_search(
    sites4: dict[str, str], sites6: dict[str, str]
) -> None:
    """Guards against wrong ranges for any nesting of blocks."""
    sites = {**sites4, **sites6}
    index = BlockIndex(as_blocks(sites))
    for cidr in sites:
        network = ipaddress.ip_network(cidr)
        edges = (int(network[0]), int(network[-1]))
        for number in (edges[0] - 1, *edges, edges[1] + 1):
            if 0 <= number < 1 << network.max_prefixlen:
                address = type(network[0])(number)
                expected = linear_search(sites, address)
                # IPv4-mapped addresses are looked up as IPv4.
                if getattr(address, 'ipv4_mapped', None) is None:
                    assert index.site_of(str(address)) == expected


class FakeView:
    """A control view whose state the test sets."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.listeners: list[Any] = []

    def subscribe(self, listener: Any) -> None:
        self.listeners.append(listener)

    def set(self, state: ControlState) -> None:
        self.state = state
        for listener in self.listeners:
            listener(state)


def make_client_blocks(view: FakeView) -> ClientBlocks:
    stopping = threading.Event()
    kernel: Any = SimpleNamespace(
        plugin=lambda _class: view,
        stopping=stopping,
        wait_while_running=lambda duration_s: not stopping.wait(duration_s),
    )
    return ClientBlocks(kernel)


def test_index_is_rebuilt_only_for_a_new_table_of_blocks() -> None:
    """Guards against a rebuild at each change of the control state."""
    view = FakeView()
    client_blocks = make_client_blocks(view)
    view.set(ControlState(blocks=NESTED))
    assert client_blocks.rebuild()
    assert client_blocks.site_of('10.1.2.3') == 'inner'
    view.set(ControlState(blocks=NESTED, drains={}))
    assert not client_blocks.rebuild()
    view.set(ControlState(blocks=as_blocks({'10.0.0.0/8': 'new'})))
    assert client_blocks.rebuild()
    assert client_blocks.site_of('10.1.2.3') == 'new'


def test_listener_leaves_the_build_to_the_thread() -> None:
    """Guards against index builds in the thread that applies log entries.

    A build in the listener would delay that thread.
    """
    view = FakeView()
    client_blocks = make_client_blocks(view)
    view.set(ControlState(blocks=NESTED))
    assert client_blocks.site_of('10.1.2.3') is None
    built = threading.Event()
    rebuild = client_blocks.rebuild
    client_blocks.rebuild = lambda: (rebuild(), built.set())
    client_blocks.start()
    try:
        assert built.wait(10)
        assert client_blocks.site_of('10.1.2.3') == 'inner'
    finally:
        client_blocks.kernel.stopping.set()
        client_blocks.stop()

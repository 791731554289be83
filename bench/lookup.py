"""Cost of look-ups: index of client blocks, answers, control state.

Run ``python -m bench.lookup``. Each size runs in its own process, so that
memory freed by one size does not hide in the next.
"""

import gc
import random
import statistics
import subprocess
import sys
import threading
import time
import tracemalloc
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from oleanderpin.control.machine import StateMachine
from oleanderpin.control.state import (
    Block,
    ControlState,
    ObjectMeta,
    Service,
)
from oleanderpin.control.view import ControlView
from oleanderpin.lookup.answer import Lookup
from oleanderpin.lookup.blocks import BlockIndex, ClientBlocks
from oleanderpin.lookup.order import Orders, places_of
from oleanderpin.membership.peers import Peer, Peers
from oleanderpin.moves.drains import Drains

SEED = 7
SIZES = (3000, 30000, 300000)
SITES = 180
INSTANCES = 530
REGIONS = 4
DOMAINS = 8
IPV6_PART = 0.2
NESTED_PART = 0.2
LOOKUPS = 100000
ANSWERS = 20000
ANSWERED_CLIENTS = 5000
PAUSE_S = 0.001
TICK_S = 0.001
MIB = 1024 * 1024


def make_sites() -> list[tuple[str, str, str]]:
    """Return region, failure domain and name of each site."""
    sites = []
    for number in range(SITES):
        domain = number % DOMAINS
        region = f'region-{domain % REGIONS}'
        sites.append((region, f'{region}-{domain}', f'site-{number:03d}'))
    return sites


def make_peers() -> tuple[Peer, ...]:
    """Return the live instances."""
    sites = make_sites()
    peers = []
    for number in range(INSTANCES):
        region, domain, site = sites[number % SITES]
        host = f'10.{number >> 8}.{number & 255}.1'
        peers.append(
            Peer(
                name=f'instance-{number:03d}',
                region=region,
                failure_domain=domain,
                site=site,
                caller_address=f'{host}:8080',
                admin_address=f'{host}:8081',
                peer_address=f'{host}:8082',
                incarnation=1,
                roles=('entry',),
            )
        )
    return tuple(peers)


def make_cidrs(count: int) -> list[str]:
    """Return distinct blocks: /24 in /16 for IPv4, /48 in /32 for IPv6."""
    rng = random.Random(SEED)
    cidrs: dict[str, None] = {}
    while len(cidrs) < count:
        outer = rng.random() < NESTED_PART
        if rng.random() < IPV6_PART:
            high = rng.getrandbits(12)
            low = '' if outer else f':{rng.getrandbits(16) | 1:x}'
            cidrs[f'2a00:{high:x}{low}::/{32 if outer else 48}'] = None
        else:
            first, second = rng.randrange(1, 224), rng.getrandbits(8)
            third = 0 if outer else rng.getrandbits(8)
            length = 16 if outer else 24
            cidrs[f'{first}.{second}.{third}.0/{length}'] = None
    return list(cidrs)


def make_blocks(count: int) -> dict[str, Block]:
    """Return the table of blocks as changes and snapshots leave it.

    Each site name is a string of its own, as a decoder makes them.
    """
    rng = random.Random(SEED)
    return {
        cidr: Block(cidr, f'site-{rng.randrange(SITES):03d}')
        for cidr in make_cidrs(count)
    }


def make_clients(count: int) -> list[str]:
    """Return addresses of callers, four fifths IPv4."""
    rng = random.Random(SEED + 1)
    clients = []
    for _each in range(count):
        if rng.random() < IPV6_PART:
            clients.append(
                f'2a00:{rng.getrandbits(12):x}:{rng.getrandbits(16):x}'
                f'::{rng.getrandbits(16):x}'
            )
        else:
            parts = (rng.randrange(1, 224), *rng.randbytes(3))
            clients.append('.'.join(map(str, parts)))
    return clients


def allocated(make: Callable[[], Any]) -> tuple[Any, float, float]:
    """Return the product, its memory and the peak while it is made, in MiB."""
    gc.collect()
    tracemalloc.start()
    product = make()
    gc.collect()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return product, held / MIB, peak / MIB


def delays_ms(work: Callable[[], Any]) -> str:
    """Return how late a thread wakes up that wakes up each millisecond."""
    done = threading.Event()
    delays: list[float] = []

    def tick() -> None:
        while not done.is_set():
            started_s = time.perf_counter()
            time.sleep(TICK_S)
            delays.append(time.perf_counter() - started_s - TICK_S)

    thread = threading.Thread(target=tick, daemon=True)
    thread.start()
    work()
    done.set()
    thread.join()
    delays.sort()
    chosen = (delays[int(len(delays) * part)] for part in (0.5, 0.99))
    return '/'.join(f'{each * 1000:.1f}' for each in (*chosen, delays[-1]))


def seconds(work: Callable[[], Any]) -> float:
    """Return the processor seconds of this process for some work."""
    started_s = time.process_time()
    work()
    return time.process_time() - started_s


def measure_index(blocks: dict[str, Block]) -> BlockIndex:
    """Print build time, stalls, memory and cost of one search."""
    index, held, peak = allocated(lambda: BlockIndex(blocks))
    cpu_s = seconds(lambda: BlockIndex(blocks))
    started_s = time.perf_counter()
    BlockIndex(blocks, pause=lambda: time.sleep(PAUSE_S))
    wall_s = time.perf_counter() - started_s
    paused = delays_ms(
        lambda: BlockIndex(blocks, pause=lambda: time.sleep(PAUSE_S))
    )
    unpaused = delays_ms(lambda: BlockIndex(blocks))
    idle = delays_ms(lambda: time.sleep(wall_s))
    print(f'  index: {len(index)} ranges, {held:.2f} MiB, peak {peak:.1f} MiB')
    print(f'  build: {cpu_s:.2f} s of CPU, {wall_s:.2f} s with pauses')
    print(
        '  delay of another thread in ms (median/p99/worst): '
        f'{paused}; without pauses {unpaused}; without a build {idle}'
    )
    clients = make_clients(LOOKUPS)
    rounds = []
    for _round in range(5):
        rounds.append(seconds(lambda: [index.site_of(ip) for ip in clients]))
    found = sum(index.site_of(ip) is not None for ip in clients)
    print(
        f'  search: {statistics.median(rounds) / LOOKUPS * 1e6:.2f} us, '
        f'{found / LOOKUPS:.0%} in a block'
    )
    return index


def make_lookup(state: ControlState, index: BlockIndex) -> Lookup:
    """Return a look-up plug-in over the given tables."""
    peers = make_peers()
    found: dict[type, Any] = {
        ControlView: SimpleNamespace(state=state),
        Peers: SimpleNamespace(alive=lambda: peers),
        ClientBlocks: index,
    }
    kernel: Any = SimpleNamespace(
        plugin=lambda plugin_class: found[plugin_class],
        settings=SimpleNamespace(forwarding=SimpleNamespace(lookup_ttl_s=5.0)),
    )
    found[Drains] = Drains(kernel)
    return Lookup(kernel)


def measure_answers(state: ControlState, index: BlockIndex) -> None:
    """Print the rate of answers and the memory of the kept orders."""
    lookup = make_lookup(state, index)
    # Clients of the instance's own site and two others, as callers that use
    # their nearest instance; and clients of all sites.
    near = {f'site-{number:03d}' for number in range(3)}
    all_clients = make_clients(ANSWERED_CLIENTS * 200)
    of_near = [ip for ip in all_clients if index.site_of(ip) in near]
    for label, clients in (
        ('3 sites', of_near[:ANSWERED_CLIENTS]),
        ('all sites', all_clients[:ANSWERED_CLIENTS]),
    ):
        requests: list[Any] = [
            SimpleNamespace(path='/lookup/desk', query='', client_ip=ip)
            for ip in clients
        ]
        repeated = (requests * (ANSWERS // len(requests) + 1))[:ANSWERS]
        first_s = seconds(lambda: [lookup.answer(each) for each in requests])
        cpu_s = seconds(lambda: [lookup.answer(each) for each in repeated])
        print(
            f'  answers, {len(clients)} clients of {label}: '
            f'{len(clients) / first_s:.0f}/s at first, '
            f'{ANSWERS / cpu_s:.0f}/s afterwards'
        )
    size = len(lookup.answer(requests[0]).body)
    peers = make_peers()
    orders, held, _peak = allocated(
        lambda: Orders(peers[0], peers, places_of(peers))
    )
    cpu_s = seconds(lambda: Orders(peers[0], peers, places_of(peers)))
    _kept, kept, _peak = allocated(
        lambda: (
            [
                orders.find(f'site-{number % 4:03d}', ip)
                for number, ip in enumerate(all_clients[:50000])
            ]
            and None
        )
    )
    print(
        f'  orders: {cpu_s * 1000:.1f} ms and {held:.2f} MiB for each '
        f'membership version, {kept:.2f} MiB kept; answer {size} bytes'
    )


def measure_state(count: int) -> ControlState:
    """Print the memory of the control state and its snapshot."""
    blocks, held, _peak = allocated(lambda: make_blocks(count))
    machine = StateMachine()
    machine.state = ControlState(
        services={'desk': Service('desk', 'p')},
        blocks=blocks,
        metas={'services/desk': ObjectMeta(1, 'r', 'o')},
    )
    snapshot, _held, encode_peak = allocated(machine.encode)
    encode_s = seconds(machine.encode)
    _decoded, decoded, decode_peak = allocated(
        lambda: StateMachine.decode(snapshot)
    )
    decode_s = seconds(lambda: StateMachine.decode(snapshot))
    print(
        f'  control state: {held:.1f} MiB built, {decoded:.1f} MiB from a '
        f'snapshot (peak {decode_peak:.1f} MiB, {decode_s:.2f} s of CPU)'
    )
    print(
        f'  snapshot: {len(snapshot) / MIB:.2f} MiB, {encode_s:.2f} s of CPU '
        f'(peak {encode_peak:.1f} MiB)'
    )
    return machine.state


def measure(count: int) -> None:
    """Print all figures for a number of blocks."""
    print(f'{count} blocks, {SITES} sites, {INSTANCES} instances')
    state = measure_state(count)
    index = measure_index(dict(state.blocks))
    measure_answers(state, index)


def main() -> None:
    """Measure each size in its own process."""
    if len(sys.argv) > 1:
        measure(int(sys.argv[1]))
        return
    for count in SIZES:
        command = [sys.executable, '-m', 'bench.lookup', str(count)]
        subprocess.run(command, check=True)


if __name__ == '__main__':
    main()

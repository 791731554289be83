"""Bytes and CPU time per node of idle membership, against its size.

All nodes run in one process over loopback and start only the membership and
its transport. Bytes are payload sent, without IP and UDP headers.
"""

import statistics
import sys
import time

import oleanderpin.daemon  # noqa: F401  registers all plug-ins
from oleanderpin.core.kernel import Kernel
from oleanderpin.core.metrics import PEER_BYTES
from oleanderpin.membership.peers import Peers
from oleanderpin.testing.fleet import build_fleet
from oleanderpin.wire.datagrams import PeerDatagrams
from oleanderpin.wire.server import PeerServer

_SIZES = (4, 8, 16, 32)
_SETTLE_S = 15.0
_MEASURE_S = 10.0


def sent_bytes() -> float:
    """Return the payload bytes that all nodes have sent so far."""
    return PEER_BYTES.labels('sent')._value.get()


def start(kernels: list[Kernel]) -> None:
    """Start the transport and the membership of all nodes."""
    for kernel in kernels:
        for plugin_class in (PeerDatagrams, PeerServer, Peers):
            kernel.plugin(plugin_class).start()


def stop(kernels: list[Kernel]) -> None:
    """Stop what `start` started."""
    for kernel in kernels:
        kernel.stopping.set()
        for plugin_class in (Peers, PeerServer, PeerDatagrams):
            kernel.plugin(plugin_class).stop()


def wait_until_removed(kernels: list[Kernel], name: str) -> float:
    """Return the seconds until no node returns ``name`` as alive."""
    started_s = time.monotonic()
    while any(
        peer.name == name
        for kernel in kernels
        for peer in kernel.plugin(Peers).alive()
    ):
        time.sleep(0.01)
    return time.monotonic() - started_s


def measure(size: int) -> str:
    """Return one line of figures for ``size`` nodes."""
    kernels = build_fleet(['north-a'] * size)
    start(kernels)
    time.sleep(_SETTLE_S)
    known = [len(kernel.plugin(Peers).alive()) for kernel in kernels]
    bytes_before, cpu_before = sent_bytes(), time.process_time()
    time.sleep(_MEASURE_S)
    sent = (sent_bytes() - bytes_before) / _MEASURE_S / size
    cpu = (time.process_time() - cpu_before) / _MEASURE_S / size * 100
    removals = []
    while len(kernels) > size - 3:
        victim = kernels.pop()
        victim.stopping.set()
        victim.plugin(PeerDatagrams).stop()
        victim.plugin(PeerServer).stop()
        name = victim.settings.instance.name
        removals.append(wait_until_removed(kernels, name))
    stop(kernels)
    return (
        f'{size} nodes, {min(known)} known: {sent:.0f} B/s sent and '
        f'{cpu:.3f}% of a core per node; silent node out of look-ups after '
        f'{statistics.median(removals):.2f} s median, {max(removals):.2f} s '
        f'worst of {len(removals)}'
    )


def main() -> int:
    """Print the figures."""
    for size in _SIZES:
        print(measure(size), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())

"""Time from accepted to in force, and bytes and CPU time of idle control.

All instances run in one process over loopback, with every plug-in, so that
one interpreter lock is shared by all of them. Bytes are payload sent over
TCP and UDP, without headers.
"""

import logging
import os
import statistics
import sys
import tempfile
import threading
import time

import psutil

import oleanderpin.daemon  # noqa: F401  registers all plug-ins
from oleanderpin.control.change import Change
from oleanderpin.control.distribution import Distribution
from oleanderpin.control.view import ControlView
from oleanderpin.core.kernel import Kernel
from oleanderpin.core.metrics import PEER_BYTES
from oleanderpin.testing.fleet import build_fleet

_DOMAINS = (
    'almaty-a',
    'almaty-b',
    'astana-a',
    'astana-b',
    'shymkent-a',
    'shymkent-b',
)
_SIZE = 11
_CHANGES = 300
_SLOPE_SIZES = (4, 8, 16, 32)
_SETTLE_S = 20.0
_MEASURE_S = 10.0
_FRESH_TIMEOUT_S = 60.0
_ATTEMPTS = 10


def sent_bytes() -> float:
    """Return the payload bytes that all instances have sent so far."""
    return PEER_BYTES.labels('sent')._value.get()


def start(size: int, folder: str) -> list[Kernel]:
    """Start ``size`` instances and wait until all are fresh."""
    places = [_DOMAINS[number % len(_DOMAINS)] for number in range(size)]
    kernels = _start_on_free_ports(places, folder)
    end_s = time.monotonic() + _FRESH_TIMEOUT_S
    while not all(each.plugin(ControlView).is_fresh() for each in kernels):
        if time.monotonic() > end_s:
            raise TimeoutError('not all instances became fresh')
        time.sleep(0.05)
    return kernels


def _start_on_free_ports(places: list[str], folder: str) -> list[Kernel]:
    # A port found free may be taken by an outgoing connection meanwhile.
    for _attempt in range(_ATTEMPTS):
        kernels = build_fleet(places, data_dir=folder)
        try:
            for kernel in kernels:
                kernel.start()
        except OSError:
            stop(kernels)
        else:
            return kernels
    raise RuntimeError('no free ports found')


def stop(kernels: list[Kernel]) -> None:
    """Stop all instances."""
    for kernel in kernels:
        kernel.stopping.set()
    for kernel in kernels:
        kernel.stop()


def measure_changes(kernels: list[Kernel]) -> str:
    """Return the time from accepted to in force of many changes."""
    durations = []
    for number in range(_CHANGES):
        distribution = kernels[number % len(kernels)].plugin(Distribution)
        outcome = distribution.propose(
            Change(
                request_id=f'change-{number:04}',
                command='profile.put',
                arguments={'name': f'profile-{number % 20}'},
            )
        )
        outcome.raise_for_kind()
        accepted_s = time.monotonic()
        if not distribution.wait_in_force(outcome.revision, timeout_s=10):
            raise TimeoutError(f'change {number} is not in force')
        durations.append((time.monotonic() - accepted_s) * 1000)
    return (
        f'{len(kernels)} instances, {_CHANGES} changes: accepted to in force '
        f'{statistics.median(durations):.1f} ms median, '
        f'{max(durations):.1f} ms worst'
    )


def measure_idle(kernels: list[Kernel]) -> str:
    """Return bytes and CPU time per instance without changes."""
    time.sleep(_SETTLE_S)
    ages = [each.plugin(ControlView).freshness_age_s() for each in kernels]
    bytes_before, cpu_before = sent_bytes(), time.process_time()
    time.sleep(_MEASURE_S)
    count = len(kernels)
    sent = (sent_bytes() - bytes_before) / _MEASURE_S / count
    cpu = (time.process_time() - cpu_before) / _MEASURE_S / count * 100
    memory_mb = psutil.Process(os.getpid()).memory_info().rss / 1e6
    return (
        f'{count} instances idle: {sent:.0f} B/s sent and {cpu:.2f}% of a '
        f'core each, oldest copy {max(ages):.2f} s, '
        f'{threading.active_count()} threads and {memory_mb:.0f} MB in all'
    )


def main() -> int:
    """Print the figures; sizes may be given as arguments."""
    sizes = [int(argument) for argument in sys.argv[1:]]
    logging.disable()
    with tempfile.TemporaryDirectory() as folder:
        if not sizes:
            kernels = start(_SIZE, os.path.join(folder, 'main'))
            print(measure_idle(kernels), flush=True)
            print(measure_changes(kernels), flush=True)
            stop(kernels)
        for size in sizes or _SLOPE_SIZES:
            kernels = start(size, os.path.join(folder, str(size)))
            print(measure_idle(kernels), flush=True)
            stop(kernels)
    return 0


if __name__ == '__main__':
    sys.exit(main())

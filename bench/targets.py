"""Bytes of the exchange of targets, and time until a leave is in force.

Eleven instances run in one process over loopback, with every plug-in. Each
of 42 targets renews once per second at one instance; its load wanders.
"""

import logging
import random
import statistics
import sys
import tempfile
import threading
import time

import oleanderpin.daemon  # noqa: F401  registers all plug-ins
from oleanderpin.core.kernel import Kernel
from oleanderpin.core.metrics import PEER_BYTES
from oleanderpin.targets.announcement import Announcement, Departure
from oleanderpin.targets.table import TargetTable

from .distribution import start, stop

_INSTANCES = 11
_TARGETS = 42
_LEAVES = 20
_SETTLE_S = 20.0
_MEASURE_S = 20.0
_SEED = 7


class Announcer:
    """Renews all targets from one thread."""

    def __init__(self, kernels: list[Kernel]) -> None:
        self._tables = [kernel.plugin(TargetTable) for kernel in kernels]
        self._random = random.Random(_SEED)
        self._loads = [10.0] * _TARGETS
        self.gone: set[int] = set()
        self.stopped = threading.Event()

    def run(self) -> None:
        """Announce each target once per second until stopped."""
        while not self.stopped.is_set():
            for number in range(_TARGETS):
                if number not in self.gone:
                    self.announce(number)
                self.stopped.wait(1 / _TARGETS)

    def announce(self, number: int) -> None:
        """Announce one target with a load that wanders by up to 5%."""
        self._loads[number] *= self._random.uniform(0.95, 1.05)
        self.table(number).announce(
            Announcement(
                service='board-api',
                target_id=f'target-{number}',
                address=f'10.0.0.{number}:80',
                region='almaty',
                failure_domain='almaty-a',
                slots=7,
                connections=350,
                load=self._loads[number],
                generation=1,
            )
        )

    def table(self, number: int) -> TargetTable:
        """Return the table of the instance that hears a target."""
        return self._tables[number % len(self._tables)]

    def leave(self, number: int) -> float:
        """Return the seconds until no instance lists a target that leaves."""
        self.gone.add(number)
        started_s = time.monotonic()
        departure = Departure(
            service='board-api', target_id=f'target-{number}', generation=1
        )
        self.table(number + 1).leave(departure)
        while self._lists(f'target-{number}'):
            time.sleep(0.002)
        return time.monotonic() - started_s

    def _lists(self, target_id: str) -> bool:
        return any(
            target.target_id == target_id
            for table in self._tables
            for target in table.targets('board-api')
        )


def main() -> int:
    """Print the figures."""
    logging.disable()
    with tempfile.TemporaryDirectory() as folder:
        kernels = start(_INSTANCES, folder)
        announcer = Announcer(kernels)
        threading.Thread(target=announcer.run, daemon=True).start()
        time.sleep(_SETTLE_S)
        sent_before = PEER_BYTES.labels('sent')._value.get()
        cpu_before = time.process_time()
        time.sleep(_MEASURE_S)
        sent = PEER_BYTES.labels('sent')._value.get() - sent_before
        cpu = time.process_time() - cpu_before
        scale = 1 / _MEASURE_S / _INSTANCES
        counts = [
            len(each.plugin(TargetTable).targets('board-api'))
            for each in kernels
        ]
        leaves = [announcer.leave(number) for number in range(_LEAVES)]
        announcer.stopped.set()
        stop(kernels)
    print(
        f'{_INSTANCES} instances, {min(counts)} to {max(counts)} of '
        f'{_TARGETS} targets listed: {sent * scale:.0f} B/s sent and '
        f'{cpu * scale * 100:.2f}% of a core each; leave in force everywhere '
        f'after {statistics.median(leaves) * 1000:.0f} ms median, '
        f'{max(leaves) * 1000:.0f} ms worst of {_LEAVES}'
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())

"""Byte budget of this instance on inter-region links."""

import threading
from typing import Any

from ..control.state import TrafficClass
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peers

_BYTES_PER_MBIT = 125_000
_BULK_FRACTION = 0.6
# The buckets hold the bytes of 0.1 s.
_BURST_S = 0.1
_MIN_SLEEP_S = 0.001
_MAX_SLEEP_S = 0.05


class _TokenBucket:
    """Token bucket in bytes; a single grant may overdraw it."""

    def __init__(self, now_s: float) -> None:
        self.level_bytes = 0.0
        self._updated_s = now_s

    def refill(self, now_s: float, *, bytes_per_s: float) -> None:
        gained = (now_s - self._updated_s) * bytes_per_s
        self._updated_s = now_s
        self.level_bytes = min(
            bytes_per_s * _BURST_S, self.level_bytes + gained
        )

    def wait_s(self, bytes_per_s: float) -> float:
        return max(0.0, -self.level_bytes / bytes_per_s)


class _Link:
    def __init__(self, now_s: float) -> None:
        self.total = _TokenBucket(now_s)
        self.bulk = _TokenBucket(now_s)
        self.small_waiting = 0


@plugins.register('link-budget')
class LinkBudget(Plugin):
    """Divides the link to each region equally among the local instances."""

    def __init__(self, kernel: Any) -> None:
        """Start with empty buckets."""
        super().__init__(kernel)
        self._peers = kernel.plugin(Peers)
        self._lock = threading.Lock()
        self._links: dict[str, _Link] = {}

    def acquire(
        self,
        region: str,
        byte_count: int,
        *,
        traffic_class: TrafficClass,
        deadline_s: float,
    ) -> bool:
        """Wait until bytes may be sent to a region.

        Parameters
        ----------
        region : str
            Destination region; the local region is never limited.
        byte_count : int
            Bytes about to be sent. One grant may exceed the burst; later
            ones then wait until the bucket has refilled.
        traffic_class : str
            ``small`` has priority; ``bulk`` gets at most 60% of the budget.
        deadline_s : float
            Latest monotonic time to wait until.

        Returns
        -------
        bool
            False if the deadline passed or the instance is stopping.
        """
        if region == self.kernel.settings.instance.region:
            return True
        is_small = traffic_class == 'small'
        wait_s = self._take(region, byte_count, is_small=is_small)
        if wait_s == 0:
            return True
        self._count_waiting(region, is_small)
        try:
            return self._wait(region, byte_count, is_small, deadline_s)
        finally:
            self._count_waiting(region, is_small, change=-1)

    def bytes_per_s(self) -> float:
        """Return this instance's share of the link to each region."""
        own_region = self.kernel.settings.instance.region
        local_instances = sum(
            peer.region == own_region and 'entry' in peer.roles
            for peer in self._peers.alive()
        )
        mbit_per_s = self.kernel.settings.forwarding.link_mbit_per_s
        return mbit_per_s * _BYTES_PER_MBIT / max(1, local_instances)

    def _wait(
        self, region: str, byte_count: int, is_small: bool, deadline_s: float
    ) -> bool:
        clock = self.kernel.clock
        while not self.kernel.stopping.is_set():
            wait_s = self._take(
                region, byte_count, is_small=is_small, is_waiting=True
            )
            if wait_s == 0:
                return True
            remaining_s = deadline_s - clock.now_s()
            if remaining_s <= 0:
                return False
            sleep_s = min(wait_s, remaining_s, _MAX_SLEEP_S)
            clock.sleep(max(sleep_s, _MIN_SLEEP_S))
        return False

    def _take(
        self,
        region: str,
        byte_count: int,
        *,
        is_small: bool,
        is_waiting: bool = False,
    ) -> float:
        """Consume the bytes and return 0, or return the seconds to wait."""
        bytes_per_s = self.bytes_per_s()
        with self._lock:
            now_s = self.kernel.clock.now_s()
            link = self._link(region, now_s)
            link.total.refill(now_s, bytes_per_s=bytes_per_s)
            link.bulk.refill(now_s, bytes_per_s=bytes_per_s * _BULK_FRACTION)
            wait_s = link.total.wait_s(bytes_per_s)
            if not is_small:
                bulk_wait_s = link.bulk.wait_s(bytes_per_s * _BULK_FRACTION)
                wait_s = max(wait_s, bulk_wait_s)
            if link.small_waiting and not (is_small and is_waiting):
                # Small requests that are already waiting go first.
                wait_s = max(wait_s, _MAX_SLEEP_S)
            if wait_s > 0:
                return wait_s
            link.total.level_bytes -= byte_count
            if not is_small:
                link.bulk.level_bytes -= byte_count
        return 0.0

    def _count_waiting(
        self, region: str, is_small: bool, *, change: int = 1
    ) -> None:
        if is_small:
            with self._lock:
                self._links[region].small_waiting += change

    def _link(self, region: str, now_s: float) -> _Link:
        link = self._links.get(region)
        if link is None:
            link = _Link(now_s)
            self._links[region] = link
        return link

"""Sums of the requests that all gateways have at the targets of each region.

Load pattern: callers press on a region whose targets are few. A gateway sees
its own requests only, a small part of what its targets have, and hardly any of
other regions; what it does not see looks like room. One control instance, the
same for all gateways, adds their reports up.
"""

import threading
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..core.plugin import Plugin, plugins
from ..wire.generated.loads import Loads
from ..wire.generated.loads.ttypes import LoadReport, LoadSums, RegionLoad
from ..wire.server import PeerServer

# A gateway that has not reported for three intervals is taken to be gone.
REPORT_VALID_S = 3.0
# Less than any mean of a few samples.
_ROUNDING = 1e-6


class LoadKey(NamedTuple):
    """Targets of a service in one region."""

    service: str
    region: str


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Requests in flight from all gateways that report.

    Parameters
    ----------
    reporters : int
        Gateways that have reported lately.
    in_flight : dict of LoadKey to float
        Requests that they have at the targets, running and waiting.
    """

    reporters: int = 0
    in_flight: dict[LoadKey, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Report:
    taken_s: float
    in_flight: Mapping[LoadKey, float]


class ReportedLoads:
    """The last report of each gateway, and their running sums."""

    def __init__(self) -> None:
        """Start without reports."""
        # The oldest report is first, since each one moves to the end.
        self._reports: OrderedDict[str, _Report] = OrderedDict()
        self._sums: defaultdict[LoadKey, float] = defaultdict(float)

    def record_report(
        self, gateway: str, in_flight: Mapping[LoadKey, float], now_s: float
    ) -> None:
        """Put a gateway's report in place of its last one."""
        last = self._reports.pop(gateway, None)
        if last is not None:
            self._subtract(last)
        self._reports[gateway] = _Report(now_s, in_flight)
        for key, count in in_flight.items():
            self._sums[key] += count

    def sums(self, now_s: float) -> FleetLoad:
        """Return the sums of the reports that are still valid."""
        while self._reports:
            gateway, oldest = next(iter(self._reports.items()))
            if now_s - oldest.taken_s < REPORT_VALID_S:
                break
            self._reports.pop(gateway)
            self._subtract(oldest)
        return FleetLoad(len(self._reports), dict(self._sums))

    def _subtract(self, report: _Report) -> None:
        for key, count in report.in_flight.items():
            self._sums[key] -= count
            # Ends the rounding errors of the running sums.
            if self._sums[key] < _ROUNDING:
                self._sums.pop(key)


class LoadsHandler:
    """Serves the Thrift service ``Loads``."""

    def __init__(self, board: 'RegionLoadAggregator') -> None:
        """Keep the board."""
        self._board = board

    def report(self, report: LoadReport) -> LoadSums:
        """Take a gateway's report and answer with the sums."""
        sums = self._board.take(report.instance, decode_loads(report.loads))
        return LoadSums(
            reporters=sums.reporters, loads=encode_loads(sums.in_flight)
        )


@plugins.register('region-loads')
class RegionLoadAggregator(Plugin):
    """Adds up the reports of the gateways on a control instance."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._lock = threading.Lock()
        self._reports = ReportedLoads()
        kernel.plugin(PeerServer).register(
            'Loads', Loads.Processor(LoadsHandler(self))
        )

    def take(self, gateway: str, in_flight: dict[LoadKey, float]) -> FleetLoad:
        """Record a report and return the sums."""
        now_s = self.kernel.clock.now_s()
        with self._lock:
            self._reports.record_report(gateway, in_flight, now_s)
            return self._reports.sums(now_s)


def encode_loads(in_flight: dict[LoadKey, float]) -> list[RegionLoad]:
    """Return loads as Thrift structures."""
    return [
        RegionLoad(service_name=key.service, region=key.region, in_flight=count)
        for key, count in in_flight.items()
    ]


def decode_loads(loads: Iterable[RegionLoad]) -> dict[LoadKey, float]:
    """Return loads from Thrift structures."""
    return {
        LoadKey(each.service_name, each.region): each.in_flight
        for each in loads
    }

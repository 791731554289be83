"""Requests in flight from all gateways, summed per service and region.

This matters when callers overload a region with few targets. A gateway sees
only its own requests, a small fraction of what its targets serve and hardly
anything of other regions, so load that it does not see looks like spare
capacity. One control instance, the same for all gateways, sums their reports.
"""

import threading
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import xxhash

from ..core.plugin import Plugin, plugins
from ..membership.peers import Peer
from ..wire.generated.loads import Loads
from ..wire.generated.loads.ttypes import (
    CrashSuspects,
    DomainLoad,
    LeavingTarget,
    LoadReport,
    LoadSums,
    RegionLoad,
    TargetLimit,
)
from ..wire.server import PeerServer
from .crash_suspects import SharedSuspects
from .leaving_targets import SharedLeaving
from .target_limits import SharedLimits

# A gateway that misses three report intervals is considered gone.
REPORT_VALID_S = 3.0
# Smaller than any non-zero mean of a few samples.
_ROUNDING_ERROR_REQUESTS = 1e-6


class LoadKey(NamedTuple):
    """Identifies the targets of a service in one region."""

    service: str
    region: str


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Requests in flight from all reporting gateways.

    Parameters
    ----------
    reporters : int
        Gateways with a valid report.
    in_flight : dict of LoadKey to float
        Their requests at the targets, running and waiting.
    """

    reporters: int = 0
    in_flight: dict[LoadKey, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LinkLoad:
    """Load of a gateway's link.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the gateway; empty if it reported none.
    load : float
        Fraction of the link that is used in the busier direction.
    """

    failure_domain: str = ''
    load: float = 0.0


_NO_LINK = LinkLoad()


@dataclass(frozen=True, slots=True)
class _Report:
    received_s: float
    in_flight: Mapping[LoadKey, float]
    link: LinkLoad


class ReportedLoads:
    """Latest report of each gateway and the running sums."""

    def __init__(self) -> None:
        """Start without reports."""
        # Ordered by age: each new report moves its gateway to the end.
        self._reports: OrderedDict[str, _Report] = OrderedDict()
        self._sums: defaultdict[LoadKey, float] = defaultdict(float)

    def record_report(
        self,
        gateway: str,
        in_flight: Mapping[LoadKey, float],
        now_s: float,
        *,
        link: LinkLoad = _NO_LINK,
    ) -> None:
        """Replace a gateway's previous report."""
        last = self._reports.pop(gateway, None)
        if last is not None:
            self._subtract(last)
        self._reports[gateway] = _Report(now_s, in_flight, link)
        for key, count in in_flight.items():
            self._sums[key] += count

    def sums(self, now_s: float) -> FleetLoad:
        """Return the sums of the reports that are still valid."""
        while self._reports:
            gateway, oldest = next(iter(self._reports.items()))
            if now_s - oldest.received_s < REPORT_VALID_S:
                break
            self._reports.pop(gateway)
            self._subtract(oldest)
        return FleetLoad(len(self._reports), dict(self._sums))

    def links(self, now_s: float) -> dict[str, list[float]]:
        """Return the link loads of the gateways by failure domain."""
        self.sums(now_s)
        found: defaultdict[str, list[float]] = defaultdict(list)
        for report in self._reports.values():
            if report.link.failure_domain:
                found[report.link.failure_domain].append(report.link.load)
        return dict(found)

    def _subtract(self, report: _Report) -> None:
        for key, count in report.in_flight.items():
            self._sums[key] -= count
            # Drops what remains of a sum from rounding errors.
            if self._sums[key] < _ROUNDING_ERROR_REQUESTS:
                self._sums.pop(key)


class LoadsHandler:
    """Serves the Thrift service ``Loads``."""

    def __init__(self, aggregator: 'RegionLoadAggregator') -> None:
        """Set the aggregator that records the reports."""
        self._aggregator = aggregator

    def report(self, report: LoadReport) -> LoadSums:
        """Record a gateway's report and return the sums."""
        sums = self._aggregator.record_report(
            report.instance,
            decode_loads(report.loads),
            link=LinkLoad(report.failure_domain or '', report.link_load or 0.0),
        )
        limits, version = self._aggregator.exchange_limits(
            report.limits or [], report.limits_version or 0
        )
        leaving, leaving_version = self._aggregator.exchange_leaving(
            report.leaving or [], report.leaving_version or 0
        )
        return LoadSums(
            reporters=sums.reporters,
            loads=encode_loads(sums.in_flight),
            limits=limits or None,
            limits_version=version,
            leaving=leaving or None,
            leaving_version=leaving_version,
            suspects=self.exchange_suspects(report.suspects)
            if report.suspects
            else None,
        )

    def exchange_suspects(self, suspects: CrashSuspects) -> CrashSuspects:
        """Record suspected requests; return what is new to the gateway."""
        return self._aggregator.exchange_suspects(suspects)

    def domains(self) -> list[DomainLoad]:
        """Return the mean link load of each failure domain."""
        return [
            DomainLoad(
                failure_domain=domain,
                reporters=len(loads),
                link_load=sum(loads) / len(loads),
            )
            for domain, loads in self._aggregator.links().items()
        ]


@plugins.register('region-loads')
class RegionLoadAggregator(Plugin):
    """Sums the reports of the gateways on a control instance."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._lock = threading.Lock()
        self._reports = ReportedLoads()
        self._limits = SharedLimits()
        self._leaving = SharedLeaving()
        self._suspects = SharedSuspects()
        kernel.plugin(PeerServer).register(
            'Loads', Loads.Processor(LoadsHandler(self))
        )

    def record_report(
        self, gateway: str, in_flight: dict[LoadKey, float], *, link: LinkLoad
    ) -> FleetLoad:
        """Record a report and return the sums."""
        now_s = self.kernel.clock.now_s()
        with self._lock:
            self._reports.record_report(gateway, in_flight, now_s, link=link)
            return self._reports.sums(now_s)

    def exchange_limits(
        self, limits: list[TargetLimit], version: int
    ) -> tuple[list[TargetLimit], int]:
        """Record limits of targets; return those changed since a version."""
        now_s = self.kernel.clock.now_s()
        with self._lock:
            self._limits.record(limits, now_s)
            changed = self._limits.changed_since(version, now_s)
            return changed, self._limits.version

    def exchange_leaving(
        self, leaving: list[LeavingTarget], version: int
    ) -> tuple[list[LeavingTarget], int]:
        """Record leaving targets; return those that are new since a version."""
        now_s = self.kernel.clock.now_s()
        with self._lock:
            self._leaving.record(leaving, now_s)
            added = self._leaving.added_since(version, now_s)
            return added, self._leaving.version

    def exchange_suspects(self, suspects: CrashSuspects) -> CrashSuspects:
        """Record suspected requests; return those changed since a version."""
        with self._lock:
            return self._suspects.exchange(suspects, self.kernel.clock.now_s())

    def links(self) -> dict[str, list[float]]:
        """Return the link loads of the gateways by failure domain."""
        with self._lock:
            return self._reports.links(self.kernel.clock.now_s())


def aggregator_address(peers: Iterable[Peer]) -> str | None:
    """Return the address of the control instance that adds up the reports.

    Rendezvous hashing chooses the same live instance everywhere; None if there
    is none.
    """
    control = [peer for peer in peers if 'control' in peer.roles]
    if not control:
        return None
    aggregator = min(
        control,
        key=lambda peer: xxhash.xxh3_64_intdigest(
            f'loads/{peer.name}'.encode()
        ),
    )
    return aggregator.peer_address


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

"""Reports this gateway's requests in flight and fetches the fleet's sums."""

import logging
import threading
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from ..core.background import background_thread
from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peers
from ..routing.leaving_targets import LeavingTargets
from ..routing.region_loads import (
    FleetLoad,
    LoadKey,
    aggregator_address,
    decode_loads,
    encode_loads,
)
from ..routing.target_limits import TargetLimits
from ..wire.generated.loads.ttypes import LoadReport
from ..wire.network import PeerNetwork

_LOG = logging.getLogger(__name__)
# The split between regions follows load changes over seconds.
REPORT_INTERVAL_S = 1.0
_CALL_TIMEOUT_S = 0.5
# Sums expire after three lost reports in a row.
_SUMS_VALID_S = 4.0
# Sums over a smaller fraction of the gateways do not represent the fleet.
_MIN_REPORTING_FRACTION = 0.5


@plugins.register('load-reporter')
class LoadReporter(Plugin):
    """Sends the mean of its samples to one control instance each second."""

    roles = frozenset(('gateway',))

    def __init__(self, kernel: Any) -> None:
        """Start without samples."""
        super().__init__(kernel)
        self._peers = kernel.plugin(Peers)
        self._network = kernel.plugin(PeerNetwork)
        self._lock = threading.Lock()
        self._samples = 0
        self._sums: dict[LoadKey, float] = defaultdict(float)
        self._fleet = FleetLoad()
        self._fleet_received_s = float('-inf')
        self._is_report_accepted = True
        # Set by the gateway: fraction of its link that it uses.
        self.link_load = 0.0
        self.limits = TargetLimits()
        self.leaving = LeavingTargets()

    def start(self) -> None:
        """Start the reporting thread."""
        background_thread(
            self.kernel, self._report_loop, name='load-reports'
        ).start()

    def note_sample(self, in_flight: Mapping[LoadKey, int]) -> None:
        """Add a sample of this gateway's requests in flight."""
        with self._lock:
            self._samples += 1
            for key, count in in_flight.items():
                self._sums[key] += count

    def fleet(self) -> Mapping[LoadKey, float] | None:
        """Return the requests in flight of all gateways; None if unknown.

        The sums are scaled up for gateways that do not report.
        """
        age_s = self.kernel.clock.now_s() - self._fleet_received_s
        gateways = sum('gateway' in peer.roles for peer in self._peers.alive())
        fleet = self._fleet
        is_known = age_s < _SUMS_VALID_S and fleet.reporters
        if not is_known or fleet.reporters < gateways * _MIN_REPORTING_FRACTION:
            return None
        scale = max(1.0, gateways / fleet.reporters)
        return {key: count * scale for key, count in fleet.in_flight.items()}

    def report_once(self) -> None:
        """Send a report to the aggregator and store the sums it returns."""
        address = aggregator_address(self._peers.alive())
        if address is None:
            return
        instance = self.kernel.settings.instance
        asked_s = self.kernel.clock.now_s()
        leaving = self.leaving.unreported(asked_s)
        report = LoadReport(
            instance=instance.name,
            loads=encode_loads(self._take_means()),
            failure_domain=instance.failure_domain,
            link_load=self.link_load,
            limits=self.limits.take_observed(asked_s) or None,
            limits_version=self.limits.version,
            leaving=leaving or None,
            leaving_version=self.leaving.version,
        )
        try:
            sums = self._network.call(
                address, 'Loads', 'report', report, timeout_s=_CALL_TIMEOUT_S
            )
        except UnavailableError as error:
            EVENTS.labels('loads', 'report_failed').inc()
            if self._is_report_accepted:
                _LOG.warning('loads of the fleet are not known: %s', error)
            self._is_report_accepted = False
            return
        if not self._is_report_accepted:
            _LOG.info('loads of the fleet are known again')
        self._is_report_accepted = True
        self.limits.merge(sums.limits or [], sums.limits_version or 0, asked_s)
        self.leaving.note_reported(leaving)
        self.leaving.merge(
            sums.leaving or [], sums.leaving_version or 0, asked_s
        )
        self._fleet = FleetLoad(sums.reporters, decode_loads(sums.loads))
        self._fleet_received_s = self.kernel.clock.now_s()

    def _take_means(self) -> dict[LoadKey, float]:
        with self._lock:
            samples = self._samples
            sums = self._sums
            self._samples = 0
            self._sums = defaultdict(float)
        return {key: total / samples for key, total in sums.items()}

    def _report_loop(self) -> None:
        while self.kernel.wait_while_running(REPORT_INTERVAL_S):
            try:
                self.report_once()
            except Exception:
                # Retried in the next round; outdated sums expire on their own.
                _LOG.exception('load report failed')

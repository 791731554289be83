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
from ..routing.crash_suspects import CrashSuspects
from ..routing.leaving_targets import LeavingTargets
from ..routing.region_loads import (
    FleetLoad,
    LoadKey,
    aggregator_address,
    decode_loads,
    encode_loads,
)
from ..routing.target_limits import TargetLimits
from ..wire.generated.loads import ttypes
from ..wire.generated.loads.ttypes import LoadReport
from ..wire.network import PeerNetwork

_LOG = logging.getLogger(__name__)
# The split between regions follows load changes over seconds.
REPORT_INTERVAL_S = 1.0
_CALL_TIMEOUT_S = 0.5
# Delay of a report of crashes, within which most sound requests that were lost
# with a target have been answered by another one.
_NEWS_DELAY_S = 0.2
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
        self.suspects = CrashSuspects()
        self._has_urgent_news = threading.Event()

    def start(self) -> None:
        """Start the reporting thread."""
        background_thread(
            self.kernel, self._report_loop, name='load-reports'
        ).start()

    def stop(self) -> None:
        """Wake up the thread so that it ends."""
        self._has_urgent_news.set()

    def report_crashes_soon(self) -> None:
        """Report suspected requests before the next report of loads is due."""
        self._has_urgent_news.set()

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
        suspects = self.suspects.unreported(asked_s)
        report = LoadReport(
            instance=instance.name,
            loads=encode_loads(self._take_means()),
            failure_domain=instance.failure_domain,
            link_load=self.link_load,
            limits=self.limits.take_observed(asked_s) or None,
            limits_version=self.limits.version,
            leaving=leaving or None,
            leaving_version=self.leaving.version,
            suspects=suspects,
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
        self._merge_suspects(suspects, sums.suspects, asked_s)
        self._fleet = FleetLoad(sums.reporters, decode_loads(sums.loads))
        self._fleet_received_s = self.kernel.clock.now_s()

    def report_crashes(self) -> None:
        """Report suspected requests, and fetch those of other gateways."""
        address = aggregator_address(self._peers.alive())
        if address is None or not self.suspects.has_news:
            return
        asked_s = self.kernel.clock.now_s()
        suspects = self.suspects.unreported(asked_s)
        try:
            told = self._network.call(
                address,
                'Loads',
                'exchange_suspects',
                suspects,
                timeout_s=_CALL_TIMEOUT_S,
            )
        except UnavailableError as error:
            EVENTS.labels('loads', 'crash_report_failed').inc()
            _LOG.warning('crashes are reported with the next report: %s', error)
            return
        self._merge_suspects(suspects, told, asked_s)

    def _merge_suspects(
        self,
        reported: ttypes.CrashSuspects,
        told: ttypes.CrashSuspects | None,
        asked_s: float,
    ) -> None:
        if told is None:
            # An instance of an earlier version does not count crashes.
            return
        self.suspects.note_reported(reported)
        for fingerprint in self.suspects.merge(told, asked_s):
            _LOG.warning(
                'request crashes targets, by reports of other gateways',
                extra={'fingerprint': fingerprint.hex()},
            )

    def _take_means(self) -> dict[LoadKey, float]:
        with self._lock:
            samples = self._samples
            sums = self._sums
            self._samples = 0
            self._sums = defaultdict(float)
        return {key: total / samples for key, total in sums.items()}

    def _report_loop(self) -> None:
        due_s = self.kernel.clock.now_s() + REPORT_INTERVAL_S
        while not self.kernel.stopping.is_set():
            left_s = due_s - self.kernel.clock.now_s()
            try:
                if left_s <= 0:
                    due_s = self.kernel.clock.now_s() + REPORT_INTERVAL_S
                    self.report_once()
                elif self._has_urgent_news.wait(left_s):
                    self._has_urgent_news.clear()
                    self.kernel.wait_while_running(_NEWS_DELAY_S)
                    self.report_crashes()
            except Exception:
                # Retried in the next round; outdated sums expire on their own.
                _LOG.exception('load report failed')

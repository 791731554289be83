"""Evaluates version statistics locally and reports them to the leader.

Each instance halts a worse version on its own findings, so that it need not
wait for the leader, which it may be unable to reach.
"""

import logging
from dataclasses import dataclass
from typing import Any

from ..control.leader import LeaderClient
from ..control.state import Move
from ..core.background import background_thread
from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peers
from ..wire.generated.stats.ttypes import MoveReport, RouteBatch
from .evidence import MoveEvidence
from .split import VersionSplit
from .stats import VersionStats, is_same_move

_LOG = logging.getLogger(__name__)
REPORT_INTERVAL_S = 1.0
_REPORT_TIMEOUT_S = 2.0
# Half of a move's false-alarm rate, divided among 16 instances. The leader's
# detectors use the other half.
LOCAL_ALPHA = 0.005 / 16


@dataclass(slots=True)
class _LocalMove:
    move: Move
    evidence: MoveEvidence


@plugins.register('move-reporter')
class MoveReporter(Plugin):
    """Halts a worse version locally and reports version statistics."""

    roles = frozenset(('entry', 'gateway'))

    def __init__(self, kernel: Any) -> None:
        """Look up the plug-ins that this one uses."""
        super().__init__(kernel)
        self._stats = kernel.plugin(VersionStats)
        self._split = kernel.plugin(VersionSplit)
        self._peers = kernel.plugin(Peers)
        self._leader = kernel.plugin(LeaderClient)
        self._local_moves: dict[str, _LocalMove] = {}
        self._sequence = 0

    def start(self) -> None:
        """Start the reporting thread."""
        background_thread(
            self.kernel, self._report_loop, name='move-reports'
        ).start()

    def take_reports(self) -> list[MoveReport]:
        """Evaluate the latest batches locally and return their reports."""
        reports = []
        for service, (move, batches) in self._stats.take_batches().items():
            self._evaluate(move, batches)
            self._sequence += 1
            own = self._peers.own()
            reports.append(
                MoveReport(
                    instance=own.name,
                    incarnation=own.incarnation,
                    sequence=self._sequence,
                    service_name=service,
                    to_version=move.to_version,
                    batches=batches,
                    local_halt=self._split.halt_reason(move),
                )
            )
        return reports

    def _evaluate(self, move: Move, batches: list[RouteBatch]) -> None:
        local = self._local_moves.get(move.service)
        if local is None or not is_same_move(local.move, move):
            local = _LocalMove(move, MoveEvidence(LOCAL_ALPHA))
            self._local_moves[move.service] = local
        local.evidence.update(batches)
        reason = local.evidence.badness()
        if reason:
            self._split.halt(move, reason)

    def _report_loop(self) -> None:
        while self.kernel.wait_while_running(REPORT_INTERVAL_S):
            try:
                self._report()
            except UnavailableError:
                # The local evaluation remains in force. The leader misses the
                # counts of this interval, which does not invalidate its
                # conclusions.
                EVENTS.labels('moves', 'report_failed').inc()
            except Exception:
                _LOG.exception('report of version statistics failed')

    def _report(self) -> None:
        reports = self.take_reports()
        if reports:
            self._leader.call(
                'Stats', 'report', reports, timeout_s=_REPORT_TIMEOUT_S
            )

"""Advances, finishes and rolls back version moves, on the control leader.

It answers a new version that is worse than the old one, on one route or on
all: the move is rolled back when the reports of the instances show it.
"""

import logging
import secrets
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..control.change import Change
from ..control.distribution import Distribution
from ..control.log import ControlLog
from ..control.state import ControlState, Move, Profile
from ..control.view import ControlView
from ..core.background import background_thread
from ..core.errors import OleanderpinError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..targets.table import TargetTable
from ..wire.generated.common.ttypes import NotLeader
from ..wire.generated.stats import Stats
from ..wire.generated.stats.ttypes import MoveReport
from ..wire.server import PeerServer
from .evidence import MoveEvidence
from .plan import (
    LAST_STAGE_PERCENT,
    StagePace,
    compute_pace,
    next_stage_percent,
    requests_needed,
)
from .stats import is_same_move

_LOG = logging.getLogger(__name__)
_STEP_INTERVAL_S = 0.5
FLEET_ALPHA = 0.005
_OPERATOR = 'move-controller'


@dataclass(frozen=True, slots=True)
class Decision:
    """The next step of a move.

    ``command`` is ``move.advance``, ``move.finish``, or empty to wait.
    """

    command: str = ''
    share_percent: float = 0.0
    status: str = ''
    reason: str = ''


@dataclass(slots=True)
class MoveProgress:
    """Stage and evidence of a running move, on the leader."""

    move: Move
    evidence: MoveEvidence
    stage_started_s: float
    stage_new_count: int = 0
    local_halt: str = ''

    def enter_stage(self, move: Move, *, now_s: float) -> None:
        """Start observing the stage of the committed control state."""
        self.move = move
        self.stage_started_s = now_s
        self.stage_new_count = 0


def decide(
    progress: MoveProgress,
    profile: Profile,
    *,
    now_s: float,
    now_unix_s: float,
    has_new_targets: bool,
) -> Decision:
    """Decide the next step of a move.

    Parameters
    ----------
    progress : MoveProgress
        Stage and evidence of the move.
    profile : Profile
        Shift cap, shift interval and watch period of the service.
    now_s : float
        Monotonic time, in seconds.
    now_unix_s : float
        Wall-clock time, in seconds since the epoch.
    has_new_targets : bool
        Whether targets of the new version are announced.

    Returns
    -------
    Decision
        Roll back, advance, finish or wait.
    """
    reason = progress.local_halt or progress.evidence.badness()
    if reason:
        return _roll_back(f'bad version: {reason}')
    move = progress.move
    pace = compute_pace(move, profile, now_unix_s=now_unix_s)
    if pace.slack_s < 0:
        return _roll_back(_deadline_reason(progress, has_new_targets))
    if not has_new_targets:
        return Decision()
    is_observed = _is_observed(progress, pace, now_s=now_s)
    if not is_observed or progress.evidence.is_suspicious:
        return Decision()
    if move.share_percent >= LAST_STAGE_PERCENT:
        return Decision('move.finish', status='done', reason='completed')
    share_percent = next_stage_percent(profile, move.share_percent)
    return Decision('move.advance', share_percent=share_percent)


def _is_observed(
    progress: MoveProgress, pace: StagePace, *, now_s: float
) -> bool:
    if now_s - progress.stage_started_s < pace.dwell_s:
        return progress.move.share_percent <= 0
    needed = requests_needed(progress.move.share_percent)
    return progress.stage_new_count >= needed


def _deadline_reason(progress: MoveProgress, has_new_targets: bool) -> str:
    if not has_new_targets:
        return 'deadline: no target of the new version announced itself'
    if progress.evidence.is_suspicious:
        return 'deadline: the new version looks worse, without certainty'
    needed = requests_needed(progress.move.share_percent)
    if progress.stage_new_count < needed:
        return (
            'deadline: too little traffic to judge the new version '
            f'({progress.stage_new_count} of {needed} requests)'
        )
    return 'deadline: too short for the shift cap and the watch period'


def _roll_back(reason: str) -> Decision:
    return Decision('move.finish', status='taken_back', reason=reason)


class _StatsHandler:
    """Serves the Thrift service ``Stats``."""

    def __init__(self, controller: 'MoveController') -> None:
        self._controller = controller

    def report(self, reports: list[MoveReport]) -> None:
        self._controller.take_reports(reports)


@plugins.register('move-controller')
class MoveController(Plugin):
    """Collects version statistics and proposes the next steps of moves."""

    roles = frozenset(('control',))

    def __init__(
        self, kernel: Any, *, unix_time: Callable[[], float] = time.time
    ) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._unix_time = unix_time
        self._view = kernel.plugin(ControlView)
        self._log = kernel.plugin(ControlLog)
        self._table = kernel.plugin(TargetTable)
        self._distribution = kernel.plugin(Distribution)
        self._lock = threading.Lock()
        self._progress: dict[str, MoveProgress] = {}
        self._sequences: dict[tuple[str, int], int] = {}
        kernel.plugin(PeerServer).register(
            'Stats', Stats.Processor(_StatsHandler(self))
        )

    def start(self) -> None:
        """Start the controlling thread."""
        background_thread(
            self.kernel, self._control_loop, name='move-controller'
        ).start()

    def take_reports(self, reports: list[MoveReport]) -> None:
        """Add the reports of an instance to the evidence, each once.

        Raises
        ------
        NotLeader
            If this instance is not the control leader.
        """
        if not self._log.has_lease():
            leadership = self._log.leadership()
            raise NotLeader(leader_address=leadership.leader_address)
        with self._lock:
            for report in reports:
                self._take_report(report)

    def step(self) -> None:
        """Decide on each running move and propose its next step, if any."""
        state = self._view.state
        now_s = self.kernel.clock.now_s()
        self._sync_progress(state, now_s)
        for service, progress in list(self._progress.items()):
            if service not in state.services:
                reason = 'a configuration removed the service'
                self._propose(progress, _roll_back(reason))
                continue
            profile_name = state.services[service].profile
            profile = state.profiles.get(profile_name, Profile(profile_name))
            targets = self._table.targets(service)
            version = progress.move.to_version
            with self._lock:
                decision = decide(
                    progress,
                    profile,
                    now_s=now_s,
                    now_unix_s=self._unix_time(),
                    has_new_targets=any(
                        target.version == version for target in targets
                    ),
                )
            if decision.command:
                self._propose(progress, decision)

    def _sync_progress(self, state: ControlState, now_s: float) -> None:
        running = {
            service: move
            for service, move in state.moves.items()
            if move.status == 'running'
        }
        with self._lock:
            for service in set(self._progress) - set(running):
                self._progress.pop(service)
            for service, move in running.items():
                known = self._progress.get(service)
                if known is None or not is_same_move(known.move, move):
                    evidence = MoveEvidence(FLEET_ALPHA)
                    known = MoveProgress(move, evidence, now_s)
                    self._progress[service] = known
                elif known.move.share_percent != move.share_percent:
                    known.enter_stage(move, now_s=now_s)

    def _take_report(self, report: MoveReport) -> None:
        source = (report.instance, report.incarnation)
        if report.sequence <= self._sequences.get(source, 0):
            EVENTS.labels('moves', 'repeated_report').inc()
            return
        self._sequences[source] = report.sequence
        progress = self._progress.get(report.service_name)
        if progress is None or progress.move.to_version != report.to_version:
            return
        progress.evidence.update(report.batches)
        progress.stage_new_count += sum(
            batch.new_count for batch in report.batches
        )
        if report.local_halt:
            progress.local_halt = f'{report.instance}: {report.local_halt}'

    def _propose(self, progress: MoveProgress, decision: Decision) -> None:
        arguments: dict[str, Any] = {
            'service': progress.move.service,
            'evidence': progress.evidence.summary(),
        }
        if decision.command == 'move.advance':
            arguments['share_percent'] = decision.share_percent
        else:
            arguments['status'] = decision.status
            arguments['reason'] = decision.reason
        meta = self._view.state.metas.get(f'moves/{progress.move.service}')
        change = Change(
            request_id=secrets.token_hex(8),
            command=decision.command,
            arguments=arguments,
            # Conflicts with a change that an operator made in the meantime.
            expected_revision=meta.revision if meta else None,
            operator=_OPERATOR,
            proposed_unix_s=self._unix_time(),
        )
        outcome = self._distribution.propose(change)
        _LOG.info(
            'move step proposed',
            extra={**arguments, 'outcome': outcome.kind},
        )

    def _control_loop(self) -> None:
        while self.kernel.wait_while_running(_STEP_INTERVAL_S):
            if not self._log.has_lease():
                # Counts collected under an earlier lease are incomplete.
                self._progress.clear()
                continue
            try:
                self.step()
            except OleanderpinError as error:
                EVENTS.labels('moves', 'step_failed').inc()
                _LOG.warning('move step failed: %s', error)
            except Exception:
                _LOG.exception('move step failed')

"""Determines which version of a service is in use before its first move.

Load pattern: targets of a new version start beside the old ones before a move
is requested. They must not receive requests until the move begins.
"""

import logging
import secrets
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

from ..control.change import Change
from ..control.distribution import Distribution
from ..control.log import ControlLog
from ..control.state import Service
from ..control.view import ControlView
from ..core.background import background_thread
from ..core.errors import OleanderpinError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..targets.announcement import Target
from ..targets.table import TargetTable

_LOG = logging.getLogger(__name__)
_CHECK_INTERVAL_S = 0.5
# A service whose version has had no targets for this long adopts the most
# common version among its targets.
_ADOPT_DELAY_S = 3.0
_REQUEST_ID_BYTES = 8


def version_to_adopt(
    service: Service, targets: Iterable[Target], *, without_targets_s: float
) -> str:
    """Return the version that a service should adopt, empty for none.

    Parameters
    ----------
    service : Service
        The service.
    targets : iterable of Target
        Its live targets.
    without_targets_s : float
        Seconds for which its current version has had no targets.
    """
    counts = Counter(target.version for target in targets if target.version)
    if not counts or service.version in counts:
        return ''
    if service.version and without_targets_s < _ADOPT_DELAY_S:
        return ''
    return counts.most_common(1)[0][0]


@plugins.register('version-baseline')
class VersionBaseline(Plugin):
    """Proposes the version in use; runs on the control leader."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Look up the plug-ins that this one uses."""
        super().__init__(kernel)
        self._log = kernel.plugin(ControlLog)
        self._view = kernel.plugin(ControlView)
        self._table = kernel.plugin(TargetTable)
        self._distribution = kernel.plugin(Distribution)
        self._last_present_s: dict[str, float] = {}

    def start(self) -> None:
        """Start the checking thread."""
        background_thread(
            self.kernel, self._check_loop, name='version-baseline'
        ).start()

    def step(self) -> None:
        """Propose a version for each service that has to adopt one."""
        now_s = self.kernel.clock.now_s()
        state = self._view.state
        for service in state.services.values():
            move = state.moves.get(service.name)
            if move is not None and move.status == 'running':
                continue
            targets = self._table.targets(service.name)
            present = {target.version for target in targets}
            if service.version in present:
                self._last_present_s[service.name] = now_s
            last_present_s = self._last_present_s.setdefault(
                service.name, now_s
            )
            version = version_to_adopt(
                service, targets, without_targets_s=now_s - last_present_s
            )
            if version:
                self._propose(service, version)

    def _propose(self, service: Service, version: str) -> None:
        arguments = {
            'name': service.name,
            'version': version,
            'previous': service.version,
        }
        outcome = self._distribution.propose(
            Change(
                request_id=secrets.token_hex(_REQUEST_ID_BYTES),
                command='service.adopt_version',
                arguments=arguments,
                operator='version-baseline',
                proposed_unix_s=time.time(),
            )
        )
        _LOG.info(
            'proposed version in use for service',
            extra={
                'service': service.name,
                'version': version,
                'previous': service.version,
                'outcome': outcome.kind,
            },
        )

    def _check_loop(self) -> None:
        while self.kernel.wait_while_running(_CHECK_INTERVAL_S):
            if not self._log.has_lease():
                self._last_present_s.clear()
                continue
            try:
                self.step()
            except OleanderpinError as error:
                EVENTS.labels('moves', 'adoption_failed').inc()
                _LOG.warning('proposing the version in use failed: %s', error)

"""Learns which version of a service is in use before its first move.

Load pattern: targets of a new version start beside the old ones before anyone
has asked for a move. They get no work until the move begins.
"""

import logging
import secrets
import threading
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

from ..control.change import Change
from ..control.distribution import Distribution
from ..control.log import ControlLog
from ..control.state import Service
from ..control.view import ControlView
from ..core.errors import OleanderpinError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..targets.announcement import Target
from ..targets.table import TargetTable

_LOG = logging.getLogger(__name__)
_INTERVAL_S = 0.5
# A service whose version has no targets left takes the one that it has.
_ABANDONED_AFTER_S = 3.0
_ID_BYTES = 8


def version_to_adopt(
    service: Service, targets: Iterable[Target], *, abandoned_s: float
) -> str:
    """Return the version that a service should take, empty for none.

    Parameters
    ----------
    service : Service
        The service.
    targets : iterable of Target
        Its live targets.
    abandoned_s : float
        How long its version has had no targets.
    """
    counts = Counter(each.version for each in targets if each.version)
    if not counts or service.version in counts:
        return ''
    if service.version and abandoned_s < _ABANDONED_AFTER_S:
        return ''
    return counts.most_common(1)[0][0]


@plugins.register('version-baseline')
class VersionBaseline(Plugin):
    """Proposes the version in use, on the control leader."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Keep the plug-ins that it reads."""
        super().__init__(kernel)
        self._log = kernel.plugin(ControlLog)
        self._view = kernel.plugin(ControlView)
        self._table = kernel.plugin(TargetTable)
        self._distribution = kernel.plugin(Distribution)
        self._present_s: dict[str, float] = {}

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(
            target=self._run, name='version-baseline', daemon=True
        ).start()

    def step(self) -> None:
        """Propose a version for each service that needs one."""
        now_s = self.kernel.clock.now_s()
        state = self._view.state
        for service in state.services.values():
            move = state.moves.get(service.name)
            if move is not None and move.status == 'running':
                continue
            targets = self._table.targets(service.name)
            present = {each.version for each in targets}
            if service.version in present:
                self._present_s[service.name] = now_s
            seen_s = self._present_s.setdefault(service.name, now_s)
            version = version_to_adopt(
                service, targets, abandoned_s=now_s - seen_s
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
                request_id=secrets.token_hex(_ID_BYTES),
                command='service.adopt_version',
                arguments=arguments,
                operator='version-baseline',
                proposed_unix_s=time.time(),
            )
        )
        _LOG.info(
            'version adopted', extra={**arguments, 'outcome': outcome.kind}
        )

    def _run(self) -> None:
        while self.kernel.wait_while_running(_INTERVAL_S):
            if not self._log.has_lease():
                self._present_s.clear()
                continue
            try:
                self.step()
            except OleanderpinError as error:
                EVENTS.labels('moves', 'adoption_failed').inc()
                _LOG.warning('version not adopted: %s', error)

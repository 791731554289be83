"""Registers share holders in the control log before they are lent anything.

Load pattern: the leader is lost together with many instances, or all processes
restart. The next ledger has to wait for shares that it does not know of. The
log gives it the names of all possible holders, and it waits only for those.
"""

import logging
import threading
from typing import Any

from ..control.commands import SHARE_HOLDERS_ADD
from ..control.log import ControlLog
from ..control.proposals import propose_as_leader
from ..core.background import background_thread
from ..core.metrics import EVENTS

_LOG = logging.getLogger(__name__)
# Instances that start within this time are registered by one change.
_BATCH_DELAY_S = 0.02
# Interval at which the idle thread checks whether the kernel stops. A failed
# change is not retried here; the instance's next renewal proposes it again.
_STOP_CHECK_INTERVAL_S = 0.5


class HolderRegistrar:
    """Registers share holders while this instance leads.

    Parameters
    ----------
    kernel : Kernel
        Provides the control log.
    """

    def __init__(self, kernel: Any) -> None:
        """Start without pending names."""
        self._kernel = kernel
        self._log = kernel.plugin(ControlLog)
        self._lock = threading.Lock()
        self._pending_names: set[str] = set()
        self._has_pending = threading.Event()

    def start(self) -> None:
        """Start the thread that proposes the changes."""
        background_thread(
            self._kernel, self._run, name='holder-registrar'
        ).start()

    def add(self, name: str) -> None:
        """Queue an instance for registration."""
        with self._lock:
            self._pending_names.add(name)
        self._has_pending.set()

    def _run(self) -> None:
        while not self._kernel.stopping.is_set():
            if not self._has_pending.wait(_STOP_CHECK_INTERVAL_S):
                continue
            self._kernel.wait_while_running(_BATCH_DELAY_S)
            self._has_pending.clear()
            with self._lock:
                names = sorted(self._pending_names)
                self._pending_names.clear()
            if names:
                self._propose(names)

    def _propose(self, names: list[str]) -> None:
        problem = propose_as_leader(
            self._log,
            SHARE_HOLDERS_ADD,
            {'names': names},
            operator='share-ledger',
        )
        if problem:
            EVENTS.labels('limits', 'holders_not_registered').inc()
            _LOG.warning(
                'share holders not registered',
                extra={'names': names, 'problem': problem},
            )
            return
        _LOG.info('share holders registered', extra={'names': names})

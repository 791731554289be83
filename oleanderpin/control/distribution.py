"""Distribution of the control state from control instances to all others."""

import logging
import threading
from typing import Any

from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..wire.generated.control import Control
from ..wire.generated.control.ttypes import (
    ProposeReply,
    ProposeRequest,
    WatchReply,
    WatchRequest,
)
from ..wire.network import PeerNetwork
from ..wire.server import PeerServer
from .change import Change, Outcome
from .leader import LeaderClient
from .log import ControlLog
from .view import ControlView

_LOG = logging.getLogger(__name__)
_RETRY_PAUSE_S = 0.2
_CALL_MARGIN_S = 2.0
_PROPOSE_TIMEOUT_S = 5.0
_NOT_FRESH_MS = -1


class _ControlHandler:
    """Serves the Thrift service ``Control``."""

    def __init__(self, distribution: 'Distribution') -> None:
        self._distribution = distribution

    def propose(self, request: ProposeRequest) -> ProposeReply:
        outcome = self._distribution.propose_here(request)
        return ProposeReply(payload=outcome.encode())

    def watch(self, request: WatchRequest) -> WatchReply:
        return self._distribution.watch_here(request)


@plugins.register('distribution')
class Distribution(Plugin):
    """Follows the control state and passes it on to watching peers."""

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._network = kernel.plugin(PeerNetwork)
        kernel.plugin(PeerServer).register(
            'Control', Control.Processor(_ControlHandler(self))
        )

    def start(self) -> None:
        """Start following; the leader has no source to follow."""
        threading.Thread(
            target=self._follow, name='control-watch', daemon=True
        ).start()

    def propose(self, change: Change) -> Outcome:
        """Have a change accepted, from any instance.

        Parameters
        ----------
        change : Change
            The change; a resend carries the same request id.

        Returns
        -------
        Outcome
            The answer to the first of equal requests.

        Raises
        ------
        UnavailableError
            If no leader could be reached.
        """
        request = ProposeRequest(payload=change.encode(), hops=0)
        reply = self.kernel.plugin(LeaderClient).call(
            'Control', 'propose', request, timeout_s=_PROPOSE_TIMEOUT_S
        )
        return Outcome.decode(reply.payload)

    def propose_here(self, request: ProposeRequest) -> Outcome:
        """Append a change to the log of this control instance."""
        log = self.kernel.plugin(ControlLog)
        return log.propose(request.payload, timeout_s=_PROPOSE_TIMEOUT_S)

    def watch_here(self, request: WatchRequest) -> WatchReply:
        """Answer a long poll with news or, after the hold time, without."""
        self._view.wait_for(
            request.revision + 1, timeout_s=request.hold_ms / 1000
        )
        is_leader = (
            self.kernel.has(ControlLog)
            and self.kernel.plugin(ControlLog).has_lease()
        )
        if is_leader:
            self._view.note_fresh(self.kernel.clock.now_s())
        # The age is taken before the entries, so that these hold all that
        # the freshness stands for.
        age_ms = _NOT_FRESH_MS
        if self._view.is_fresh():
            age_ms = int(self._view.freshness_age_s() * 1000) + 1
        entries = self._view.entries_after(request.revision)
        snapshot = b'' if entries is not None else self._view.snapshot()
        return WatchReply(
            revision=self._view.revision,
            freshness_age_ms=age_ms,
            entries=entries or [],
            snapshot=snapshot,
        )

    def _follow(self) -> None:
        while not self.kernel.stopping.is_set():
            for address in self._sources():
                self._watch_while_answered(address)
            self.kernel.wait_while_running(_RETRY_PAUSE_S)

    def _watch_while_answered(self, address: str) -> None:
        is_answered = True
        while is_answered and address in self._sources():
            is_answered = self._watch_once(address)

    def _watch_once(self, address: str) -> bool:
        settings = self.kernel.settings
        request = WatchRequest(
            instance=settings.instance.name,
            revision=self._view.revision,
            hold_ms=int(settings.control.watch_hold_s * 1000),
            confirmed_revision=self._view.revision,
        )
        asked_s = self.kernel.clock.now_s()
        try:
            reply = self._network.call(
                address,
                'Control',
                'watch',
                request,
                timeout_s=settings.control.watch_hold_s + _CALL_MARGIN_S,
            )
        except UnavailableError as error:
            EVENTS.labels('control', 'watch_failed').inc()
            _LOG.warning('watch failed: %s', error)
            return False
        if reply.snapshot:
            self._view.install(reply.snapshot)
        self._view.apply(reply.entries)
        is_complete = self._view.revision >= reply.revision
        if reply.freshness_age_ms >= 0 and is_complete:
            self._view.note_fresh(asked_s - reply.freshness_age_ms / 1000)
        # A source that is not fresh itself must not keep this instance.
        is_fresh = reply.freshness_age_ms >= 0
        return is_fresh and not self.kernel.stopping.is_set()

    def _sources(self) -> list[str]:
        if self.kernel.has(ControlLog):
            leadership = self.kernel.plugin(ControlLog).leadership()
            if leadership.leader_address:
                is_self = leadership.is_self
                return [] if is_self else [leadership.leader_address]
        members = self.kernel.settings.control.initial_members
        own_address = self.kernel.settings.listen.peer
        addresses = [member.partition('=')[2] for member in members]
        return [each for each in addresses if each != own_address]

"""Distribution of the control state from control instances to all others."""

import time
from typing import Any

from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..wire.generated.common.ttypes import NotLeader, Unavailable
from ..wire.generated.control import Control
from ..wire.generated.control.ttypes import (
    ProposeReply,
    ProposeRequest,
    WatchReply,
    WatchRequest,
)
from ..wire.server import PeerServer
from .change import Change, Outcome
from .confirmations import Confirmations, WatcherId
from .follower import Follower
from .leader import LeaderClient
from .log import ControlLog
from .state import ControlState
from .view import ControlView

_PROPOSE_TIMEOUT_S = 5.0
# Covers an election, during which changes wait.
_PROPOSE_PATIENCE_S = 8.0
_RETRY_PAUSE_S = 0.2
_MAX_HOPS = 2
_IN_FORCE_HOLD_S = 1.0
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

    def confirm(self, request: WatchRequest) -> None:
        self._distribution.confirm_here(request)

    def in_force(self, revision: int, hold_ms: int) -> bool:
        return self._distribution.in_force_here(revision, hold_ms / 1000)


@plugins.register('distribution')
class Distribution(Plugin):
    """Follows the control state and passes it on to watching peers."""

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._leader = kernel.plugin(LeaderClient)
        self.confirmations = Confirmations(
            kernel.clock,
            freshness_limit_s=kernel.settings.control.freshness_limit_s,
        )
        self.follower = Follower(kernel, self.confirmations)
        self._view.subscribe(self._note_state)
        kernel.plugin(PeerServer).register(
            'Control', Control.Processor(_ControlHandler(self))
        )

    def start(self) -> None:
        """Start following, or leading while this instance has the lease."""
        self.follower.start()

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
        end_s = time.monotonic() + _PROPOSE_PATIENCE_S
        maybe_applied = False
        while True:
            try:
                reply = self._propose_once(request)
            except UnavailableError as error:
                maybe_applied = maybe_applied or error.maybe_applied
                error.maybe_applied = maybe_applied
                is_late = time.monotonic() > end_s
                # A resend is safe: the request id makes it recognizable.
                if is_late or not self.kernel.wait_while_running(
                    _RETRY_PAUSE_S
                ):
                    raise
                continue
            outcome = Outcome.decode(reply.payload)
            self.confirmations.note_commit(outcome.revision)
            return outcome

    def propose_here(self, request: ProposeRequest) -> Outcome:
        """Append a change to the log, or pass it on to the leader.

        Raises
        ------
        NotLeader
            If this instance neither leads nor may pass the request on.
        Unavailable
            If no leader could be reached from here.
        """
        try:
            return self._append_or_forward(request)
        except UnavailableError as error:
            raise Unavailable(
                problem=error.problem, maybe_applied=error.maybe_applied
            ) from error

    def wait_in_force(self, revision: int, *, timeout_s: float) -> bool:
        """Wait until no instance can use a state older than ``revision``.

        Parameters
        ----------
        revision : int
            A committed revision, as told by `propose`.
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        bool
            True when all instances with authority have confirmed the
            revision, or when the freshness limit has passed since its commit.
        """
        end_s = time.monotonic() + timeout_s
        while not self.kernel.stopping.is_set():
            if self.confirmations.is_past_bound(revision):
                return True
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                return False
            hold_s = min(left_s, _IN_FORCE_HOLD_S)
            try:
                if self._ask_in_force(revision, hold_s):
                    return True
            except UnavailableError:
                self.kernel.wait_while_running(min(left_s, _RETRY_PAUSE_S))
        return False

    def in_force_here(self, revision: int, hold_s: float) -> bool:
        """Answer whether ``revision`` is in force, or ask the leader.

        Raises
        ------
        NotLeader
            If this control instance does not lead.
        Unavailable
            If no leader could be reached from here.
        """
        if not self.kernel.has(ControlLog):
            try:
                return self._ask_leader_in_force(revision, hold_s)
            except UnavailableError as error:
                raise Unavailable(
                    problem=error.problem, maybe_applied=False
                ) from error
        if not self.follower.leads():
            raise NotLeader(leader_address=self._leader_elsewhere() or '')
        is_in_force = self.confirmations.wait(
            revision, self._view.revision, hold_s
        )
        # A leader that has lost its lease meanwhile no longer knows all.
        return is_in_force and self.follower.leads()

    def watch_here(self, request: WatchRequest) -> WatchReply:
        """Answer a long poll with changes or, after the hold time, without."""
        arrived_s = self.kernel.clock.now_s()
        self.confirm_here(request)
        self._view.wait_for(
            request.revision + 1, timeout_s=request.hold_ms / 1000
        )
        leads = self.follower.leads()
        age_ms = _NOT_FRESH_MS
        if self._view.is_fresh():
            # The watcher is recorded and the age taken before the entries, so
            # that these hold all that the freshness stands for.
            self.confirmations.note_grant(
                _watcher_id(request), self._view.revision
            )
            age_ms = self._age_at_ms(arrived_s)
        entries = self._view.entries_after(request.revision)
        snapshot = b'' if entries is not None else self._view.snapshot()
        return WatchReply(
            revision=self._view.revision,
            freshness_age_ms=age_ms,
            entries=entries or [],
            snapshot=snapshot,
            leader_address=None if leads else self._leader_elsewhere(),
        )

    def confirm_here(self, request: WatchRequest) -> None:
        """Take a watcher's confirmation."""
        self.confirmations.confirm(
            _watcher_id(request), request.confirmed_revision
        )

    def _age_at_ms(self, arrived_s: float) -> int:
        """Return the age of the freshness when a request arrived.

        The watcher counts from when it sent the request, which was earlier.
        """
        now_s = self.kernel.clock.now_s()
        as_of_s = now_s - self._view.freshness_age_s()
        return max(0, int((arrived_s - as_of_s) * 1000) + 1)

    def _leader_elsewhere(self) -> str | None:
        if not self.kernel.has(ControlLog):
            return None
        leadership = self.kernel.plugin(ControlLog).leadership()
        return None if leadership.is_self else leadership.leader_address

    def _note_state(self, _state: ControlState) -> None:
        self.confirmations.note_commit(self._view.revision)

    def _append_or_forward(self, request: ProposeRequest) -> Outcome:
        if self.kernel.has(ControlLog):
            log = self.kernel.plugin(ControlLog)
            return log.propose(request.payload, timeout_s=_PROPOSE_TIMEOUT_S)
        if request.hops >= _MAX_HOPS:
            raise NotLeader(leader_address='')
        request.hops += 1
        reply = self._ask_leader(request)
        return Outcome.decode(reply.payload)

    def _propose_once(self, request: ProposeRequest) -> ProposeReply:
        try:
            return self._ask_leader(request)
        except UnavailableError as error:
            maybe_applied = error.maybe_applied
        # Another instance may still reach the leader.
        request = ProposeRequest(payload=request.payload, hops=1)
        try:
            return self._leader.call_through_peers(
                'Control', 'propose', request, timeout_s=_PROPOSE_TIMEOUT_S
            )
        except UnavailableError as error:
            error.maybe_applied = error.maybe_applied or maybe_applied
            raise

    def _ask_leader(self, request: ProposeRequest) -> ProposeReply:
        return self._leader.call(
            'Control', 'propose', request, timeout_s=_PROPOSE_TIMEOUT_S
        )

    def _ask_in_force(self, revision: int, hold_s: float) -> bool:
        try:
            return self._ask_leader_in_force(revision, hold_s)
        except UnavailableError:
            EVENTS.labels('control', 'in_force_forwarded').inc()
        request = (revision, int(hold_s * 1000))
        return bool(
            self._leader.call_through_peers(
                'Control',
                'in_force',
                *request,
                timeout_s=hold_s + _IN_FORCE_HOLD_S,
            )
        )

    def _ask_leader_in_force(self, revision: int, hold_s: float) -> bool:
        answer: bool = self._leader.call(
            'Control',
            'in_force',
            revision,
            int(hold_s * 1000),
            timeout_s=hold_s + _IN_FORCE_HOLD_S,
        )
        return answer


def _watcher_id(request: WatchRequest) -> WatcherId:
    return WatcherId(request.instance, request.start_id)

"""Distribution of the control state from control instances to all others.

Each instance watches a source by long polling and serves other watchers, so
that not all instances watch the leader. Changes proposed on any instance are
forwarded to the leader, through other peers if the direct link is down.
"""

import math
from typing import Any

from ..core.clock import monotonic_s
from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peers
from ..wire.generated.common.ttypes import NotLeader, Unavailable
from ..wire.generated.control import Control
from ..wire.generated.control.ttypes import (
    Entry,
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
# Long enough for an election, during which no change is accepted.
_PROPOSE_TOTAL_TIMEOUT_S = 8.0
_RETRY_DELAY_S = 0.2
_MAX_HOPS = 2
_IN_FORCE_HOLD_S = 1.0
# Hold time of an outdated source, so that its watchers soon try another one.
_OUTDATED_HOLD_S = 0.1
# Age in replies of a source whose own copy is not fresh.
_NOT_FRESH_MS = -1


class _ControlHandler:
    """Serves the Thrift service ``Control``."""

    def __init__(self, distribution: 'Distribution') -> None:
        self._distribution = distribution

    def propose(self, request: ProposeRequest) -> ProposeReply:
        outcome = self._distribution.handle_propose(request)
        return ProposeReply(payload=outcome.encode())

    def watch(self, request: WatchRequest) -> WatchReply:
        return self._distribution.handle_watch(request)

    def confirm(self, request: WatchRequest) -> None:
        self._distribution.handle_confirm(request)

    def in_force(self, revision: int, hold_ms: int) -> bool:
        return self._distribution.handle_in_force(revision, hold_ms / 1000)


@plugins.register('distribution')
class Distribution(Plugin):
    """Follows the control state and serves it to watching peers."""

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
        self._view.subscribe(self._record_applied_revision)
        kernel.plugin(Peers).gossip.share_revision(
            lambda: self._view.revision, self._view.note_peer_revision
        )
        kernel.plugin(PeerServer).register(
            'Control', Control.Processor(_ControlHandler(self))
        )

    def start(self) -> None:
        """Start following a source, or leading while holding the lease."""
        self.follower.start()

    def propose(self, change: Change) -> Outcome:
        """Propose a change to the leader; works on any instance.

        Parameters
        ----------
        change : Change
            The change; a resent change has the same request id.

        Returns
        -------
        Outcome
            Outcome of the change; a resent change gets its first outcome.

        Raises
        ------
        UnavailableError
            If no leader could be reached.
        """
        request = ProposeRequest(payload=change.encode(), hops=0)
        end_s = monotonic_s() + _PROPOSE_TOTAL_TIMEOUT_S
        maybe_applied = False
        while True:
            try:
                reply = self._propose_once(request)
            except UnavailableError as error:
                maybe_applied = maybe_applied or error.maybe_applied
                error.maybe_applied = maybe_applied
                is_timed_out = monotonic_s() > end_s
                # Resending is safe: the request id identifies the change.
                if is_timed_out or not self.kernel.wait_while_running(
                    _RETRY_DELAY_S
                ):
                    raise
                continue
            outcome = Outcome.decode(reply.payload)
            self.confirmations.record_commit(outcome.revision)
            return outcome

    def handle_propose(self, request: ProposeRequest) -> Outcome:
        """Append a change to the log, or forward it to the leader.

        Raises
        ------
        NotLeader
            If this instance is not the leader and the request may not be
            forwarded again.
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
            Committed revision, as returned by `propose`.
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        bool
            True if all instances with authority have confirmed the revision,
            or if the freshness limit has passed since its commit.
        """
        end_s = monotonic_s() + timeout_s
        while not self.kernel.stopping.is_set():
            if self.confirmations.is_in_force_by_timeout(revision):
                return True
            remaining_s = end_s - monotonic_s()
            if remaining_s <= 0:
                return False
            hold_s = min(remaining_s, _IN_FORCE_HOLD_S)
            try:
                if self._ask_in_force(revision, hold_s):
                    return True
            except UnavailableError:
                self.kernel.wait_while_running(min(remaining_s, _RETRY_DELAY_S))
        return False

    def handle_in_force(self, revision: int, hold_s: float) -> bool:
        """Return whether ``revision`` is in force, asking the leader if needed.

        Raises
        ------
        NotLeader
            If this control instance is not the leader.
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
        if not self.follower.check_leadership():
            raise NotLeader(leader_address=self._remote_leader_address() or '')
        is_in_force = self.confirmations.wait(
            revision, self._view.revision, hold_s
        )
        # If the lease was lost meanwhile, a new leader may have watchers that
        # are unknown here.
        return is_in_force and self.follower.check_leadership()

    def handle_watch(self, request: WatchRequest) -> WatchReply:
        """Reply to a long poll with changes, or without after the hold time."""
        arrived_s = self.kernel.clock.now_s()
        if not request.is_catch_up:
            self.handle_confirm(request)
        self._view.wait_for(
            request.revision + 1, timeout_s=self._hold_s(request)
        )
        is_leader = self.follower.check_leadership()
        age_ms = _NOT_FRESH_MS
        if self._view.is_fresh():
            # The watcher is recorded and the age is read before the entries, so
            # that the entries include every change that the freshness covers.
            if not request.is_catch_up:
                self.confirmations.record_grant(
                    _watcher_id(request), self._view.revision
                )
            age_ms = self._freshness_age_at_ms(arrived_s)
        if request.wants_revision_only:
            entries: list[Entry] | None = []
        else:
            entries = self._view.entries_after(request.revision)
        snapshot = b'' if entries is not None else self._view.snapshot()
        return WatchReply(
            revision=self._view.revision,
            freshness_age_ms=age_ms,
            entries=entries or [],
            snapshot=snapshot,
            leader_address=None if is_leader else self._remote_leader_address(),
            current_after_arrival_ms=self._current_after_ms(arrived_s),
        )

    def _hold_s(self, request: WatchRequest) -> float:
        """Return how long a watcher may wait here for the next change."""
        hold_s = request.hold_ms / 1000
        self.follower.check_leadership()
        if self._view.freshness_age_s() <= self._view.outdated_after_s():
            return hold_s
        return min(hold_s, _OUTDATED_HOLD_S)

    def handle_confirm(self, request: WatchRequest) -> None:
        """Record a watcher's confirmed revision."""
        self.confirmations.confirm(
            _watcher_id(request), request.confirmed_revision
        )

    def _freshness_age_at_ms(self, arrived_s: float) -> int:
        """Return the age of this copy's freshness when a request arrived.

        The watcher subtracts the age from the time at which it sent the
        request, which is earlier, so it never overestimates its freshness.
        """
        now_s = self.kernel.clock.now_s()
        as_of_s = now_s - self._view.freshness_age_s()
        return max(0, int((arrived_s - as_of_s) * 1000) + 1)

    def _current_after_ms(self, arrived_s: float) -> int | None:
        """Return from when on changes may be missing, after the arrival."""
        after_s = self._view.current_as_of_s() - arrived_s
        return math.floor(after_s * 1000) if math.isfinite(after_s) else None

    def _remote_leader_address(self) -> str | None:
        if not self.kernel.has(ControlLog):
            return None
        leadership = self.kernel.plugin(ControlLog).leadership()
        return None if leadership.is_self else leadership.leader_address

    def _record_applied_revision(self, _state: ControlState) -> None:
        self.confirmations.record_commit(self._view.revision)

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
        # Another instance may have a working link to the leader.
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

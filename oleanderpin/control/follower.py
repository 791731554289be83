"""The threads that watch sources and report confirmations to them.

An instance watches two sources that fail independently, so that a change does
not wait until a silent one is given up.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Literal

from ..core.background import background_thread
from ..core.errors import UnavailableError
from ..core.logs import age_ms
from ..core.metrics import EVENTS
from ..membership.peers import Peer, Peers
from ..wire.generated.control.ttypes import WatchReply, WatchRequest
from ..wire.network import PeerNetwork
from .confirmations import Confirmations
from .log import ControlLog
from .sources import (
    configured_members,
    control_sources,
    sources,
    standby_sources,
)
from .view import ControlView

_LOG = logging.getLogger(__name__)
# Longer than a round trip on a link whose queue is half a second long in both
# directions.
_CALL_MARGIN_S = 1.0
# Delay after all known sources failed or were outdated.
_RETRY_DELAY_S = 0.2
# Interval at which a leader renews its own freshness.
_LEADER_INTERVAL_S = 0.2
# Back-off from a source that failed, doubled for each further failure.
_MIN_BACKOFF_S = 2.0
_MAX_BACKOFF_S = 30.0
# Interval at which a silent source is asked although others reply, with an
# outdated copy: it may be the only one that is current again.
_SILENT_INTERVAL_S = 2.0
# A source that others name as the leader is asked again this long after it was
# silent.
_LEADER_RETRY_S = 1.0
# A held request ends with a change, so a long hold time only delays the
# discovery that the standby source is silent.
_STANDBY_HOLD_S = 2.0
# Time that the first source has for a change that the standby source reports.
# It covers a relay, which gets the change and passes it on.
_FIRST_SOURCE_S = 0.4


# Interval at which an instance whose sources are silent asks other members for
# their revisions, and the number that it asks at once.
_CATCH_UP_INTERVAL_S = 0.5
_ASKED_PEERS = 16
# The peer is alive, so a reply that is late waits behind others on a full link.
_CATCH_UP_TIMEOUT_S = 4.0

_WatchResult = Literal['fresh', 'outdated', 'silent']


@dataclass(frozen=True, slots=True)
class _BackOff:
    """Why and for how long other sources are preferred to one."""

    result: _WatchResult
    failed_s: float
    duration_s: float

    def preference(
        self, now_s: float, *, prefers_replies: bool
    ) -> tuple[int, float]:
        """Return the sort key of the source; lower ones are asked first.

        Sources that replied, even if with an outdated copy, are current again
        once there is a leader, and a silent one takes a time-out.

        Parameters
        ----------
        now_s : float
            Time on the monotonic clock.
        prefers_replies : bool
            Whether sources that replied precede silent ones: the own copy is
            outdated, and a silent source was asked a short time ago.
        """
        is_over = now_s >= self.failed_s + self.duration_s
        is_silent = self.result == 'silent'
        if is_over and not (is_silent and prefers_replies):
            return (0, 0.0)
        return (2 if is_silent else 1, self.failed_s)


@dataclass(slots=True)
class _FoundSources:
    """Sources by preference, and the peers and leaders they were found for."""

    peers: tuple[Peer, ...] = ()
    leaders: tuple[str, ...] = ()
    addresses: list[str] = field(default_factory=list)


@dataclass(slots=True)
class SourceWatch:
    """One of the sources that an instance watches at the same time.

    Parameters
    ----------
    is_standby : bool
        Whether this is the second source, on another path than the first.
    source : str
        Peer address of the source; empty while there is none.
    reported_revision : int
        Confirmed revision that the source was told last.
    found : _FoundSources
        The sources to choose from.
    """

    is_standby: bool = False
    source: str = ''
    reported_revision: int = 0
    found: _FoundSources = field(default_factory=_FoundSources)


class Follower:
    """Updates the control view from two sources that respond.

    Parameters
    ----------
    kernel : Kernel
        Provides settings, clock and plug-ins.
    confirmations : Confirmations
        Confirmed revisions of the watchers of this instance.
    """

    def __init__(self, kernel: Any, confirmations: Confirmations) -> None:
        """Start without a source."""
        self._kernel = kernel
        self._view = kernel.plugin(ControlView)
        self._network = kernel.plugin(PeerNetwork)
        self._peers = kernel.plugin(Peers)
        self._confirmations = confirmations
        self._started_s = kernel.clock.now_s()
        self._backoffs: dict[str, _BackOff] = {}
        self._silent_asked_s = float('-inf')
        self._hinted_leader = ''
        self._outdated_s = self._view.outdated_after_s()
        # Whether the last reply was one of a source that is fresh.
        self._is_watching = False
        self._start_id = random.getrandbits(31)
        self._first = SourceWatch()
        self._standby = SourceWatch(is_standby=True)

    @property
    def source(self) -> str:
        """Peer address of the preferred source; empty while there is none."""
        return self._first.source

    def start(self) -> None:
        """Start the threads that watch sources and report confirmations."""
        threads: list[tuple[Callable[..., None], tuple[SourceWatch, ...]]] = [
            (self._watch_loop, ()),
            (self._report_loop, (self._first,)),
            (self._catch_up_loop, ()),
        ]
        # Control instances have no second source.
        if 'control' not in self._kernel.settings.instance.roles:
            threads.append((self._standby_loop, ()))
            threads.append((self._report_loop, (self._standby,)))
        for loop, arguments in threads:
            background_thread(
                self._kernel, loop, *arguments, name='control-watch'
            ).start()

    def check_leadership(self) -> bool:
        """Return whether this instance leads, and if so record freshness."""
        # The time is read first: holding the lease afterwards implies that no
        # change was accepted elsewhere up to that time.
        now_s = self._kernel.clock.now_s()
        is_leader = (
            self._kernel.has(ControlLog)
            and self._kernel.plugin(ControlLog).has_lease()
        )
        if is_leader:
            self._view.note_fresh(now_s)
        return is_leader

    def watch_once(
        self, address: str, *, hold_s: float, watch: SourceWatch | None = None
    ) -> WatchReply:
        """Send one watch request to a source and apply the reply.

        Parameters
        ----------
        address : str
            Peer address of the source.
        hold_s : float
            How long the source holds the request while there are no changes.
        watch : SourceWatch, optional
            Which of the two sources this is; by default the preferred one.

        Raises
        ------
        UnavailableError
            If the source did not reply.
        """
        watch = watch or self._first
        request = self._watch_request(hold_s, watch)
        request.wants_revision_only = watch.is_standby or None
        known_revision = self._view.revision
        requested_s = self._kernel.clock.now_s()
        reply = self._send_watch(address, request)
        if watch.is_standby and not self._has_changes(reply):
            request = self._watch_request(0, watch)
            known_revision = self._view.revision
            requested_s = self._kernel.clock.now_s()
            reply = self._send_watch(address, request)
        self._take_over(reply)
        as_of_s = requested_s - reply.freshness_age_ms / 1000
        if reply.freshness_age_ms >= 0 and self._is_known_for(reply, as_of_s):
            self._view.note_fresh(as_of_s)
        self._note_current(reply, requested_s)
        self._log_received(reply, known_revision, address)
        return reply

    def catch_up(self) -> None:
        """Get the changes that a peer is known to hold from that peer.

        The sources of this instance may be silent or as old as itself, while
        the peer has sent a datagram recently. It waits for no confirmation of
        this reply, so that confirmations never go round in a circle.
        """
        revision, _address = self._view.wait_for_newer(
            timeout_s=_CATCH_UP_INTERVAL_S
        )
        if not revision:
            if not self._view.is_known_current():
                self._peers.ask_revisions(_ASKED_PEERS)
            return
        if self._is_watching and self._view.wait_for(
            revision, timeout_s=_FIRST_SOURCE_S
        ):
            return
        revision, address = self._view.wait_for_newer(timeout_s=0)
        if not address:
            return
        request = self._watch_request(0, SourceWatch())
        request.is_catch_up = True
        known_revision = self._view.revision
        requested_s = self._kernel.clock.now_s()
        try:
            reply = self._send_watch(
                address, request, margin_s=_CATCH_UP_TIMEOUT_S
            )
        except UnavailableError as error:
            EVENTS.labels('control', 'catch_up_failed').inc()
            _LOG.warning('cannot catch up with a peer: %s', error)
            self._kernel.wait_while_running(_RETRY_DELAY_S)
            return
        EVENTS.labels('control', 'caught_up').inc()
        self._take_over(reply)
        self._note_current(reply, requested_s)
        self._log_received(reply, known_revision, address)
        if self._view.revision == known_revision:
            # The peer has restarted since it told its revision.
            self._kernel.wait_while_running(_RETRY_DELAY_S)

    def _catch_up_loop(self) -> None:
        while not self._kernel.stopping.is_set():
            self.catch_up()

    def _take_over(self, reply: WatchReply) -> None:
        if reply.snapshot:
            self._view.install(reply.snapshot)
        self._view.apply(reply.entries)

    def _log_received(
        self, reply: WatchReply, known_revision: int, address: str
    ) -> None:
        has_content = bool(reply.entries or reply.snapshot)
        if has_content and self._view.revision > known_revision:
            _LOG.info(
                'control state received',
                extra={
                    'revision': self._view.revision,
                    'configuration': self._view.state.configuration.number,
                    'source': address,
                    'source_age_ms': reply.freshness_age_ms,
                    'standing': self._view.standing().value,
                },
            )

    def _send_watch(
        self,
        address: str,
        request: WatchRequest,
        *,
        margin_s: float = _CALL_MARGIN_S,
    ) -> WatchReply:
        return self._network.call(
            address,
            'Control',
            'watch',
            request,
            timeout_s=request.hold_ms / 1000 + margin_s,
        )

    def _has_changes(self, reply: WatchReply) -> bool:
        """Return whether a reply, or the first source in time, has them."""
        if reply.entries or reply.snapshot:
            return True
        return self._view.wait_for(reply.revision, timeout_s=_FIRST_SOURCE_S)

    def ordered_sources(self, *, is_standby: bool = False) -> list[str]:
        """Return the sources by preference, those in back-off last.

        Parameters
        ----------
        is_standby : bool
            Return those of the second watch, without the one of the first.
        """
        leader = self._hinted_leader
        if self._kernel.has(ControlLog):
            leadership = self._kernel.plugin(ControlLog).leadership()
            leader = leadership.leader_address or leader
        watch, other = self._first, self._standby
        if is_standby:
            watch, other = other, watch
        known = [
            address
            for address in self._find_sources(watch, leader)
            if not is_standby or address != other.source
        ]
        now_s = self._kernel.clock.now_s()
        prefers_replies = (
            self._view.freshness_age_s() > self._outdated_s
            and now_s - self._silent_asked_s < _SILENT_INTERVAL_S
        )

        def preference(address: str) -> tuple[int, float]:
            backoff = self._backoffs.get(address)
            if backoff is None:
                return (0, 0.0)
            is_retry_due = now_s - backoff.failed_s >= _LEADER_RETRY_S
            if address == leader and is_retry_due:
                return (0, 0.0)
            return backoff.preference(now_s, prefers_replies=prefers_replies)

        # Sorting is stable and keeps the order of preference.
        return sorted(known, key=preference)

    def _find_sources(self, watch: SourceWatch, leader: str) -> list[str]:
        """Return the sources of a watch, found again after a change only.

        Load pattern: each of several hundred instances asks several times a
        second, and ordering the peers takes time for each of them.
        """
        peers = self._peers.alive()
        leaders = (leader, self._hinted_leader)
        found = watch.found
        if found.peers is peers and found.leaders == leaders:
            return found.addresses
        configured = configured_members(self._kernel.settings)
        control = control_sources(
            self._peers.own(),
            peers,
            leaders=leaders,
            configured=[member.address for member in configured],
        )
        candidates = standby_sources if watch.is_standby else sources
        addresses = candidates(self._peers.own(), peers, control)
        watch.found = _FoundSources(peers, leaders, addresses)
        return addresses

    def _watch_request(self, hold_s: float, watch: SourceWatch) -> WatchRequest:
        revision = self._view.revision
        confirmed = self._confirmations.lowest_confirmed_revision(revision)
        watch.reported_revision = confirmed
        return WatchRequest(
            instance=self._kernel.settings.instance.name,
            revision=revision,
            hold_ms=int(hold_s * 1000),
            confirmed_revision=confirmed,
            start_id=self._start_id,
        )

    def _note_current(self, reply: WatchReply, requested_s: float) -> None:
        """Record up to when the copy holds all accepted changes.

        Counted from the request, which is sent before it arrives, by the clock
        of the source, so the time spent in a held request does not count.
        Authority is counted without it, as clocks may differ in their rates.
        """
        after_ms = reply.current_after_arrival_ms
        if after_ms is None:
            return
        as_of_s = requested_s + after_ms / 1000
        if self._is_known_for(reply, as_of_s):
            self._view.note_current(as_of_s)

    def _is_known_for(self, reply: WatchReply, as_of_s: float) -> bool:
        """Return whether the own copy holds all changes up to ``as_of_s``.

        A time before the start may belong to a lower revision than the one that
        an earlier process of this instance used.
        """
        has_revision = self._view.revision >= reply.revision
        return has_revision and as_of_s >= self._started_s

    def _watch_loop(self) -> None:
        was_leader = False
        while not self._kernel.stopping.is_set():
            is_leader = self.check_leadership()
            if is_leader:
                if not was_leader:
                    is_first = self._view.revision == 0
                    self._confirmations.begin_leadership(is_first=is_first)
                self._first.source = ''
                self._kernel.wait_while_running(_LEADER_INTERVAL_S)
            else:
                self._confirmations.end_leadership()
                self.follow_step()
            was_leader = is_leader

    def _standby_loop(self) -> None:
        while not self._kernel.stopping.is_set():
            self.follow_step(self._standby)

    def follow_step(self, watch: SourceWatch | None = None) -> None:
        """Watch the best source once; back off from it on failure.

        Parameters
        ----------
        watch : SourceWatch, optional
            Which of the two sources to watch; by default the preferred one.
        """
        watch = watch or self._first
        known = self.ordered_sources(is_standby=watch.is_standby)
        if not known:
            watch.source = ''
            self._kernel.wait_while_running(_RETRY_DELAY_S)
            return
        address = known[0]
        is_new = address != watch.source
        if is_new:
            _LOG.info(
                'control state source changed',
                extra={
                    'source': address,
                    'previous': watch.source,
                    'is_standby': watch.is_standby,
                    'freshness_age_ms': age_ms(self._view.freshness_age_s()),
                },
            )
        watch.source = address
        # A new source is asked to reply at once, to show that it works.
        hold_s = 0 if is_new else self._hold_s(watch)
        last = self._backoffs.get(address)
        result = self._try_watch(watch, hold_s)
        self._is_watching = result == 'fresh'
        if result == 'silent':
            self._peers.ask_revisions(_ASKED_PEERS)
        if last is not None and last.result == 'silent':
            self._silent_asked_s = self._kernel.clock.now_s()
        if result == 'fresh':
            self._backoffs.pop(address, None)
            return
        self._back_off(address, result)
        now_s = self._kernel.clock.now_s()
        # A change may be waiting at the next source.
        if all(self._is_in_backoff(each, now_s) for each in known):
            self._kernel.wait_while_running(_RETRY_DELAY_S)

    def _hold_s(self, watch: SourceWatch) -> float:
        hold_s = self._kernel.settings.control.watch_hold_s
        return max(hold_s, _STANDBY_HOLD_S) if watch.is_standby else hold_s

    def _try_watch(self, watch: SourceWatch, hold_s: float) -> _WatchResult:
        """Watch once; return whether the source replied and is fresh enough."""
        address = watch.source
        if self._kernel.stopping.is_set():
            return 'fresh'
        try:
            reply = self.watch_once(address, hold_s=hold_s, watch=watch)
        except UnavailableError as error:
            if not self._kernel.stopping.is_set():
                EVENTS.labels('control', 'watch_failed').inc()
                _LOG.warning('control state watch failed: %s', error)
            return 'silent'
        if reply.leader_address:
            self._hinted_leader = reply.leader_address
        is_fresh = 0 <= reply.freshness_age_ms / 1000 <= self._outdated_s
        if not is_fresh:
            EVENTS.labels('control', 'source_outdated').inc()
            _LOG.warning(
                'control state source is outdated',
                extra={
                    'source': address,
                    'source_age_ms': reply.freshness_age_ms,
                },
            )
        return 'fresh' if is_fresh else 'outdated'

    def _back_off(self, address: str, result: _WatchResult) -> None:
        last = self._backoffs.get(address)
        last_s = last.duration_s if last else 0.0
        duration_s = min(max(last_s * 2, _MIN_BACKOFF_S), _MAX_BACKOFF_S)
        now_s = self._kernel.clock.now_s()
        self._backoffs[address] = _BackOff(result, now_s, duration_s)
        if address == self._hinted_leader:
            self._hinted_leader = ''

    def _is_in_backoff(self, address: str, now_s: float) -> bool:
        found = self._backoffs.get(address)
        return found is not None and now_s < found.failed_s + found.duration_s

    def _report_loop(self, watch: SourceWatch) -> None:
        """Report confirmations at once, even while a watch request is held."""
        changed = self._confirmations.changed
        while not self._kernel.stopping.is_set():
            with changed:
                if not self.has_unreported_revision(watch):
                    changed.wait(self._hold_s(watch))
            if self.has_unreported_revision(watch):
                self._send_confirmation(watch)

    def has_unreported_revision(self, watch: SourceWatch | None = None) -> bool:
        """Return whether there is a confirmed revision to report to a source.

        A leader has no source and nothing to report.
        """
        watch = watch or self._first
        if not watch.source:
            return False
        confirmed = self._confirmations.lowest_confirmed_revision(
            self._view.revision
        )
        return confirmed > watch.reported_revision

    def _send_confirmation(self, watch: SourceWatch) -> None:
        try:
            self._network.call(
                watch.source,
                'Control',
                'confirm',
                self._watch_request(0, watch),
                timeout_s=_CALL_MARGIN_S,
            )
        except UnavailableError:
            # The next watch request reports the same revision.
            EVENTS.labels('control', 'confirm_failed').inc()

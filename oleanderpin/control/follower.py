"""The thread that watches a source of the control state."""

import logging
import random
import threading
from typing import Any

from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..membership.peers import Peers
from ..wire.generated.control.ttypes import WatchReply, WatchRequest
from ..wire.network import PeerNetwork
from .confirmations import Confirmations
from .log import ControlLog
from .sources import configured_members, sources
from .view import ControlView

_LOG = logging.getLogger(__name__)
_CALL_MARGIN_S = 1.0
# Pause after a source that failed or had no recent freshness.
_RETRY_PAUSE_S = 0.2
# How often a leader confirms its own freshness.
_LEADER_INTERVAL_S = 0.2
_AVOID_MIN_S = 2.0
_AVOID_MAX_S = 30.0


class Follower:
    """Keeps the view up to date from the best source that responds.

    Parameters
    ----------
    kernel : Kernel
        Gives settings, clock and network.
    confirmations : Confirmations
        What the watchers of this instance have confirmed.
    """

    def __init__(self, kernel: Any, confirmations: Confirmations) -> None:
        """Start without a source."""
        self._kernel = kernel
        self._view = kernel.plugin(ControlView)
        self._network = kernel.plugin(PeerNetwork)
        self._peers = kernel.plugin(Peers)
        self._confirmations = confirmations
        self._started_s = kernel.clock.now_s()
        self._avoided: dict[str, tuple[float, float]] = {}
        self._hinted_leader = ''
        self._reported_revision = 0
        self._start_id = random.getrandbits(31)
        self.source = ''

    def start(self) -> None:
        """Start watching and passing confirmations on."""
        for loop in (self._follow, self._report):
            threading.Thread(
                target=loop, name='control-watch', daemon=True
            ).start()

    def leads(self) -> bool:
        """Return whether this instance leads; its view is then fresh."""
        # The time is read first: the lease shows that nothing was accepted
        # elsewhere up to then.
        now_s = self._kernel.clock.now_s()
        leads = (
            self._kernel.has(ControlLog)
            and self._kernel.plugin(ControlLog).has_lease()
        )
        if leads:
            self._view.note_fresh(now_s)
        return leads

    def watch_once(self, address: str, *, hold_s: float) -> WatchReply:
        """Watch a source once and apply its answer.

        Parameters
        ----------
        address : str
            Peer address of the source.
        hold_s : float
            How long the source holds the request without changes.

        Raises
        ------
        UnavailableError
            If the source did not answer.
        """
        request = self._request(hold_s)
        asked_s = self._kernel.clock.now_s()
        reply = self._network.call(
            address,
            'Control',
            'watch',
            request,
            timeout_s=hold_s + _CALL_MARGIN_S,
        )
        if reply.snapshot:
            self._view.install(reply.snapshot)
        self._view.apply(reply.entries)
        self._take_freshness(reply, asked_s)
        return reply

    def ordered_sources(self) -> list[str]:
        """Return the sources, the preferred one first, avoided ones last."""
        control = [self._hinted_leader, *self._control_addresses()]
        if self._kernel.has(ControlLog):
            leadership = self._kernel.plugin(ControlLog).leadership()
            control.insert(0, leadership.leader_address)
        known = sources(
            self._peers.own(),
            self._peers.alive(),
            [address for address in control if address],
        )
        now_s = self._kernel.clock.now_s()
        # Sorting is stable, so that the order of preference is kept.
        return sorted(known, key=lambda address: self._penalty(address, now_s))

    def _request(self, hold_s: float) -> WatchRequest:
        revision = self._view.revision
        confirmed = self._confirmations.lowest(revision)
        self._reported_revision = confirmed
        return WatchRequest(
            instance=self._kernel.settings.instance.name,
            revision=revision,
            hold_ms=int(hold_s * 1000),
            confirmed_revision=confirmed,
            start_id=self._start_id,
        )

    def _take_freshness(self, reply: WatchReply, asked_s: float) -> None:
        if reply.freshness_age_ms < 0 or self._view.revision < reply.revision:
            return
        as_of_s = asked_s - reply.freshness_age_ms / 1000
        # Older freshness may go with a lower revision than the one on which
        # an earlier process of this instance has acted.
        if as_of_s >= self._started_s:
            self._view.note_fresh(as_of_s)

    def _follow(self) -> None:
        was_leading = False
        while not self._kernel.stopping.is_set():
            leads = self.leads()
            if leads:
                if not was_leading:
                    is_first = self._view.revision == 0
                    self._confirmations.begin_leadership(is_first=is_first)
                self.source = ''
                self._kernel.wait_while_running(_LEADER_INTERVAL_S)
            else:
                self._confirmations.end_leadership()
                self.follow_step()
            was_leading = leads

    def follow_step(self) -> None:
        """Watch the preferred source once; avoid it if it does not serve."""
        known = self.ordered_sources()
        if not known:
            self._kernel.wait_while_running(_RETRY_PAUSE_S)
            return
        address = known[0]
        is_new = address != self.source
        self.source = address
        # The first answer of a new source is needed at once.
        hold_s = 0 if is_new else self._kernel.settings.control.watch_hold_s
        if self._is_served_by(address, hold_s):
            self._avoided.pop(address, None)
            return
        if not is_new and self._is_served_by(address, 0):
            # The connection was silent, not the source.
            return
        self._avoid(address)
        self._kernel.wait_while_running(_RETRY_PAUSE_S)

    def _is_served_by(self, address: str, hold_s: float) -> bool:
        """Watch once; return whether the source is recent enough to stay."""
        if self._kernel.stopping.is_set():
            return True
        try:
            reply = self.watch_once(address, hold_s=hold_s)
        except UnavailableError as error:
            if not self._kernel.stopping.is_set():
                EVENTS.labels('control', 'watch_failed').inc()
                _LOG.warning('watch failed: %s', error)
            return False
        if reply.leader_address:
            self._hinted_leader = reply.leader_address
        limit_s = self._kernel.settings.control.freshness_limit_s
        return 0 <= reply.freshness_age_ms / 1000 <= limit_s / 2

    def _avoid(self, address: str) -> None:
        _until_s, last_s = self._avoided.get(address, (0.0, 0.0))
        duration_s = min(max(last_s * 2, _AVOID_MIN_S), _AVOID_MAX_S)
        until_s = self._kernel.clock.now_s() + duration_s
        self._avoided[address] = (until_s, duration_s)
        if address == self._hinted_leader:
            self._hinted_leader = ''

    def _penalty(self, address: str, now_s: float) -> float:
        until_s, _duration_s = self._avoided.get(address, (0.0, 0.0))
        return until_s if until_s > now_s else 0.0

    def _control_addresses(self) -> list[str]:
        own = self._peers.own()
        announced = [
            peer for peer in self._peers.alive() if 'control' in peer.roles
        ]
        announced.sort(
            key=lambda peer: (
                peer.failure_domain != own.failure_domain,
                peer.region != own.region,
                peer.name,
            )
        )
        configured = configured_members(self._kernel.settings)
        return [
            *(peer.peer_address for peer in announced),
            *(member.address for member in configured),
        ]

    def _report(self) -> None:
        """Pass on at once what watchers confirm while a watch is held."""
        changed = self._confirmations.changed
        while not self._kernel.stopping.is_set():
            with changed:
                if not self.has_unreported_revision():
                    changed.wait(self._kernel.settings.control.watch_hold_s)
            if self.has_unreported_revision():
                self._confirm(self.source)

    def has_unreported_revision(self) -> bool:
        """Return whether the source lacks a confirmation.

        A leader has no source and nothing to pass on.
        """
        if not self.source:
            return False
        confirmed = self._confirmations.lowest(self._view.revision)
        return confirmed > self._reported_revision

    def _confirm(self, address: str) -> None:
        try:
            self._network.call(
                address,
                'Control',
                'confirm',
                self._request(0),
                timeout_s=_CALL_MARGIN_S,
            )
        except UnavailableError:
            # The next watch carries the same revision.
            EVENTS.labels('control', 'confirm_failed').inc()

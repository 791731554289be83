"""Failure detector: probes one member per interval.

The same thread joins the fleet through seeds, synchronizes the table with other
members, and reconnects after partitions.
"""

import itertools
import random
import threading
from typing import Any

from ..core.background import background_thread
from ..core.clock import monotonic_s
from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..wire.generated.membership.ttypes import MemberUpdate
from ..wire.network import PeerNetwork
from .gossip import Gossip
from .members import Member, MemberTable, Status, as_alive
from .scope import (
    members_to_notify,
    next_in_round,
    probe_scope,
    sync_interval_s,
    sync_partners,
)

_JOIN_TIMEOUT_S = 2.0
# Once in so many probe intervals, a dead member or unreachable seed is pinged.
_RECONNECT_EVERY_INTERVALS = 2
# Longer than the delays of the scheduler's time slices.
_MIN_STALL_S = 0.25


class Prober:
    """Runs the failure detector in one thread.

    Parameters
    ----------
    kernel : Kernel
        Kernel with the settings and the plug-in for calls to peers.
    table : MemberTable
        Known members.
    gossip : Gossip
        Sends the probes.
    """

    def __init__(self, kernel: Any, table: MemberTable, gossip: Gossip) -> None:
        """Start with an empty round of members."""
        self._kernel = kernel
        self._network = kernel.plugin(PeerNetwork)
        self._table = table
        self._gossip = gossip
        self._queue: list[str] = []
        self._last_sync_s = float('-inf')
        self._sync_count = 0
        self._reconnect_answered = threading.Event()
        self._reconnect_address = ''

    def start(self) -> None:
        """Start the probing thread."""
        background_thread(self._kernel, self._probe_loop, name='probe').start()

    def notify(self, status: Status) -> None:
        """Tell some members directly that this instance drains or leaves."""
        for member in self._notified():
            self._gossip.notify(member.info.peer_address, status)

    def _probe_loop(self) -> None:
        settings = self._kernel.settings.peers
        for number in itertools.count():
            started_s = monotonic_s()
            self._table.expire()
            self._announce_drain()
            self._sync_when_due()
            if number % _RECONNECT_EVERY_INTERVALS == 0:
                self._reconnect()
            member = self._next_member()
            if member is not None:
                self.probe(member)
            spent_s = monotonic_s() - started_s
            pause_s = max(0, settings.probe_interval_s - spent_s)
            if not self._pause(pause_s):
                return

    def _pause(self, pause_s: float) -> bool:
        """Wait; return False as soon as the instance is stopping."""
        clock = self._kernel.clock
        due_s = clock.now_s() + pause_s
        is_running: bool = self._kernel.wait_while_running(pause_s)
        stalled_s = clock.now_s() - due_s
        if stalled_s >= _MIN_STALL_S:
            EVENTS.labels('membership', 'stalled').inc()
            self._table.postpone_expiry(stalled_s)
        return is_running

    def probe(self, member: Member) -> None:
        """Probe a member and mark it as suspect if no path reaches it.

        Parameters
        ----------
        member : Member
            The member; it is probed directly, then through others and over
            TCP, within the probe interval.
        """
        started_s = monotonic_s()
        settings = self._kernel.settings.peers
        address = member.info.peer_address
        answered = self._gossip.ping(address, name=member.info.name)
        try:
            if answered.wait(settings.probe_timeout_s):
                return
            EVENTS.labels('membership', 'probe_failed').inc()
            relays = [each for each in self._scope() if each is not member]
            self._gossip.ping_through(relays, address, answered)
            if self._ping_over_tcp(address):
                return
            end_s = started_s + settings.probe_interval_s
            if answered.wait(max(0, end_s - monotonic_s())):
                return
        finally:
            self._gossip.forget(answered)
        # A probe that took much longer than planned points to a stall of this
        # process rather than to a failure of the other one.
        if monotonic_s() - started_s < 2 * settings.probe_interval_s:
            self._table.suspect(member.info.name)
            self._gossip.notify_suspicion(self._notified(), member.info.name)

    def _announce_drain(self) -> None:
        # Plug-ins drain one after another, each waiting for its work to finish.
        # Announcing the drain here does not wait for those before this one.
        is_draining = self._kernel.draining.is_set()
        if is_draining and not self._table.own.draining:
            self._table.announce_own(draining=True)
            self.notify(Status.alive)

    def _ping_over_tcp(self, address: str) -> bool:
        try:
            reply = self._network.call(
                address,
                'Membership',
                'ping',
                self._table.own,
                timeout_s=self._kernel.settings.peers.probe_timeout_s,
            )
        except UnavailableError:
            return False
        self._table.merge(as_alive(reply.info))
        return True

    def _next_member(self) -> Member | None:
        """Return the next member of a shuffled round of the scope."""
        scope = {each.info.name: each for each in self._scope()}
        return next_in_round(self._queue, scope)

    def _running(self) -> list[Member]:
        return [each for each in self._table.members() if each.is_running]

    def _scope(self) -> list[Member]:
        return probe_scope(self._table.own, self._running())

    def _notified(self) -> list[Member]:
        return members_to_notify(self._table.own, self._running())

    def _reconnect(self) -> None:
        """Ping one instance that may be reachable again after a partition."""
        members = self._table.members()
        running = {
            each.info.peer_address for each in members if each.is_running
        }
        running.add(self._table.own.peer_address)
        known = [
            each.info.peer_address
            for each in members
            if each.status is Status.dead
        ]
        seeds = self._kernel.settings.peers.seed_addresses()
        unreachable = [each for each in {*known, *seeds} if each not in running]
        self._gossip.forget(self._reconnect_answered)
        self._reconnect_answered.clear()
        if unreachable:
            address = random.choice(unreachable)
            names = [
                each.info.name
                for each in members
                if each.info.peer_address == address
            ]
            name = names[0] if names else ''
            self._reconnect_answered = self._gossip.ping(address, name=name)
            self._reconnect_address = address

    def _sync_when_due(self) -> None:
        if self._reconnect_answered.is_set():
            self._reconnect_answered.clear()
            self._sync(self._reconnect_address)
        running = self._running()
        interval_s = sync_interval_s(self._sync_count, len(running))
        now_s = monotonic_s()
        if running and now_s - self._last_sync_s < interval_s:
            return
        partners = sync_partners(self._table.own, running)
        addresses = [each.info.peer_address for each in partners]
        own_address = self._table.own.peer_address
        seeds = [
            seed
            for seed in self._kernel.settings.peers.seed_addresses()
            if seed != own_address
        ]
        if addresses or seeds:
            if self._sync(random.choice(addresses or seeds)):
                self._last_sync_s = now_s
                self._sync_count += 1

    def _sync(self, address: str) -> bool:
        try:
            updates = self._network.call(
                address,
                'Membership',
                'join',
                self._table.own,
                timeout_s=_JOIN_TIMEOUT_S,
            )
        except UnavailableError:
            EVENTS.labels('membership', 'join_failed').inc()
            return False
        for update in updates:
            known = self._table.find(update.name)
            is_dead_here = known is not None and known.status is Status.dead
            is_merged = self._table.merge(update, disseminate=False)
            if is_dead_here and not is_merged:
                self._request_refutation(update)
        return True

    def _request_refutation(self, update: MemberUpdate) -> None:
        """Ping a member that is dead here but alive elsewhere.

        The ping tells it that it is taken for dead, so that it can refute.
        """
        if update.status == Status.alive and update.info is not None:
            address = update.info.peer_address
            answered = self._gossip.ping(address, name=update.name)
            self._gossip.forget(answered)

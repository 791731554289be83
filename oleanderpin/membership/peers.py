"""The set of live instances, kept up to date by gossip."""

import random
import time
from dataclasses import dataclass, replace
from typing import Any

from ..core.places import distance
from ..core.plugin import Plugin, plugins
from ..wire.generated.membership import Membership
from ..wire.generated.membership.ttypes import (
    MemberUpdate,
    PeerInfo,
    PingReply,
)
from ..wire.peer_traffic import BORDERS, Border, PeerTraffic
from ..wire.server import PeerServer
from .gossip import Gossip
from .members import MemberTable, Status, as_alive
from .probing import Prober

_CachedPeers = tuple[tuple[int, bool], tuple['Peer', ...]]


@dataclass(frozen=True, slots=True)
class Peer:
    """A live instance."""

    name: str
    region: str
    failure_domain: str
    site: str
    caller_address: str
    admin_address: str
    peer_address: str
    incarnation: int
    roles: tuple[str, ...] = ()
    draining: bool = False


class _MembershipHandler:
    """Serves the Thrift service ``Membership``."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table

    def ping(self, sender: PeerInfo) -> PingReply:
        self._merge_sender(sender)
        return PingReply(info=self._table.own)

    def join(self, sender: PeerInfo) -> list[MemberUpdate]:
        self._merge_sender(sender)
        return self._table.updates()

    def _merge_sender(self, sender: PeerInfo) -> None:
        self._table.merge(as_alive(sender))


@plugins.register('peers')
class Peers(Plugin):
    """Maintains the set of live instances, this one included."""

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service and the handler of datagrams."""
        super().__init__(kernel)
        self.table = MemberTable(
            _own_info(kernel.settings),
            clock=kernel.clock,
            suspect_timeout_s=kernel.settings.peers.suspect_timeout_s,
        )
        self._cached: _CachedPeers = ((-1, False), ())
        kernel.plugin(PeerTraffic).borders = self._borders
        self.gossip = Gossip(kernel, self.table)
        self.prober = Prober(kernel, self.table, self.gossip)
        kernel.plugin(PeerServer).register(
            'Membership',
            Membership.Processor(_MembershipHandler(self.table)),
        )

    def start(self) -> None:
        """Start the probing thread."""
        self.prober.start()

    def stop(self) -> None:
        """Announce that this instance leaves."""
        self.table.leave()
        self.prober.notify(Status.left)

    def ask_revisions(self, count: int) -> None:
        """Ask random running members for the revisions of their copies.

        Parameters
        ----------
        count : int
            Number of members that are asked at most.
        """
        addresses = [
            member.info.peer_address
            for member in self.table.members()
            if member.is_running
        ]
        for address in random.sample(addresses, min(count, len(addresses))):
            self.gossip.ask_revision(address)

    def own(self) -> Peer:
        """Return this instance as its peers see it."""
        return self.alive()[0]

    def alive(self) -> tuple[Peer, ...]:
        """Return the live instances that are not suspected, this one first."""
        # Called for each look-up, so the result is cached until it changes.
        state = (self.table.version, self.kernel.draining.is_set())
        cached_state, peers = self._cached
        if state != cached_state:
            peers = self._find_alive(is_draining=state[1])
            self._cached = (state, peers)
        return peers

    def _borders(self) -> dict[str, Border]:
        """Return the border to each known member by its peer address."""
        own = self.table.own
        return {
            member.info.peer_address: BORDERS[distance(own, member.info)]
            for member in self.table.members()
        }

    def _find_alive(self, *, is_draining: bool) -> tuple[Peer, ...]:
        own = replace(_as_peer(self.table.own), draining=is_draining)
        others = [
            _as_peer(member.info)
            for member in self.table.members()
            if member.status is Status.alive
        ]
        return (own, *others)


def _own_info(settings: Any) -> PeerInfo:
    instance = settings.instance
    return PeerInfo(
        name=instance.name,
        region=instance.region,
        failure_domain=instance.failure_domain,
        site=instance.site or instance.failure_domain,
        caller_address=settings.listen.caller,
        admin_address=settings.listen.admin,
        peer_address=settings.listen.peer,
        incarnation=time.time_ns() // 1000,
        roles=list(instance.roles),
        draining=False,
    )


def _as_peer(info: PeerInfo) -> Peer:
    return Peer(
        name=info.name,
        region=info.region,
        failure_domain=info.failure_domain,
        site=info.site,
        caller_address=info.caller_address,
        admin_address=info.admin_address,
        peer_address=info.peer_address,
        incarnation=info.incarnation,
        roles=tuple(info.roles),
        draining=info.draining,
    )

"""Live instances, found by asking the configured seeds."""

import threading
import time
from dataclasses import dataclass
from typing import Any

from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..wire.generated.membership import Membership
from ..wire.generated.membership.ttypes import PeerInfo, PingReply
from ..wire.network import PeerNetwork
from ..wire.server import PeerServer


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

    def __init__(self, peers: 'Peers') -> None:
        self._peers = peers

    def ping(self, sender: PeerInfo) -> PingReply:
        self._peers.note_alive(sender)
        return PingReply(info=self._peers.own_info())


@plugins.register('peers')
class Peers(Plugin):
    """Keeps the set of live instances, this one included."""

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._network = kernel.plugin(PeerNetwork)
        self._lock = threading.Lock()
        self._alive: dict[str, tuple[Peer, float]] = {}
        self._incarnation = time.time_ns() // 1000
        kernel.plugin(PeerServer).register(
            'Membership', Membership.Processor(_MembershipHandler(self))
        )

    def start(self) -> None:
        """Start one probing thread for each seed."""
        own_address = self.kernel.settings.listen.peer
        for address in self.kernel.settings.peers.seeds:
            if address != own_address:
                threading.Thread(
                    target=self._probe_loop,
                    args=(address,),
                    name=f'probe-{address}',
                    daemon=True,
                ).start()

    def own(self) -> Peer:
        """Return this instance as its peers see it."""
        settings = self.kernel.settings
        instance = settings.instance
        return Peer(
            name=instance.name,
            region=instance.region,
            failure_domain=instance.failure_domain,
            site=instance.site or instance.failure_domain,
            caller_address=settings.listen.caller,
            admin_address=settings.listen.admin,
            peer_address=settings.listen.peer,
            incarnation=self._incarnation,
            roles=tuple(instance.roles),
            draining=self.kernel.draining.is_set(),
        )

    def own_info(self) -> PeerInfo:
        """Return this instance as a Thrift message."""
        own = self.own()
        return PeerInfo(
            name=own.name,
            region=own.region,
            failure_domain=own.failure_domain,
            site=own.site,
            caller_address=own.caller_address,
            admin_address=own.admin_address,
            peer_address=own.peer_address,
            incarnation=own.incarnation,
            roles=list(own.roles),
            draining=own.draining,
        )

    def alive(self) -> tuple[Peer, ...]:
        """Return the live instances, this one first."""
        limit_s = self.kernel.settings.peers.suspect_timeout_s
        now_s = self.kernel.clock.now_s()
        with self._lock:
            others = [
                peer
                for peer, seen_s in self._alive.values()
                if now_s - seen_s < limit_s
            ]
        return (self.own(), *others)

    def note_alive(self, info: PeerInfo) -> None:
        """Record a sign of life of another instance."""
        peer = Peer(
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
        with self._lock:
            self._alive[peer.name] = (peer, self.kernel.clock.now_s())

    def _probe_loop(self, address: str) -> None:
        settings = self.kernel.settings.peers
        while self.kernel.wait_while_running(settings.probe_interval_s):
            try:
                reply = self._network.call(
                    address,
                    'Membership',
                    'ping',
                    self.own_info(),
                    timeout_s=settings.probe_timeout_s,
                )
            except UnavailableError:
                EVENTS.labels('membership', 'probe_failed').inc()
                continue
            self.note_alive(reply.info)

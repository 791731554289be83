"""Calls to the control leader from any instance."""

from dataclasses import dataclass
from typing import Any

from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peers
from ..wire.generated.common.ttypes import NotLeader, Unavailable
from ..wire.network import PeerCallError, PeerNetwork
from .sources import configured_members

_MAX_REDIRECTS = 3
_MAX_FORWARDERS = 3


@dataclass(slots=True)
class _LeaderSearch:
    """Addresses still to be tried and the failures so far."""

    candidates: list[str]
    redirects: int = 0
    maybe_applied: bool = False

    def record_failure(
        self, error: NotLeader | Unavailable | PeerCallError
    ) -> None:
        if isinstance(error, PeerCallError):
            self.maybe_applied = self.maybe_applied or error.sent
        elif isinstance(error, Unavailable):
            self.maybe_applied = self.maybe_applied or error.maybe_applied
        elif error.leader_address and self.redirects < _MAX_REDIRECTS:
            self.redirects += 1
            self.candidates.insert(0, error.leader_address)


@plugins.register('leader-client')
class LeaderClient(Plugin):
    """Finds the leader by trying control instances and caches its address.

    The Thrift methods that it calls must declare ``NotLeader``.
    """

    def __init__(self, kernel: Any) -> None:
        """Start without a known leader."""
        super().__init__(kernel)
        self._network = kernel.plugin(PeerNetwork)
        self._peers = kernel.plugin(Peers)
        self._leader_address = ''

    def call(
        self,
        service_name: str,
        method: str,
        *arguments: Any,
        timeout_s: float,
    ) -> Any:
        """Call a Thrift method on the leader.

        Parameters
        ----------
        service_name, method : str
            Thrift service and method.
        *arguments : Any
            Thrift arguments.
        timeout_s : float
            Time for each call, in seconds.

        Returns
        -------
        Any
            The Thrift result.

        Raises
        ------
        UnavailableError
            If no leader replied; ``maybe_applied`` tells whether a request may
            have reached one.
        """
        search = _LeaderSearch(self._candidates())
        while search.candidates:
            address = search.candidates.pop(0)
            try:
                result = self._network.call(
                    address,
                    service_name,
                    method,
                    *arguments,
                    timeout_s=timeout_s,
                )
            except (NotLeader, Unavailable, PeerCallError) as error:
                search.record_failure(error)
                continue
            self._leader_address = address
            return result
        EVENTS.labels('control', 'leader_not_found').inc()
        raise UnavailableError(
            f'no control leader answered {service_name}.{method}',
            remedy='resend it with the same request id',
            maybe_applied=search.maybe_applied,
        )

    def call_through_peers(
        self,
        service_name: str,
        method: str,
        *arguments: Any,
        timeout_s: float,
    ) -> Any:
        """Call a method on a few live peers, which forward it to the leader.

        Parameters
        ----------
        service_name, method : str
            Thrift service and method; peers must be able to forward it.
        *arguments : Any
            Thrift arguments.
        timeout_s : float
            Time for each call, in seconds.

        Returns
        -------
        Any
            The first Thrift result of a peer.

        Raises
        ------
        UnavailableError
            If none of the peers reached the leader.
        """
        maybe_applied = False
        _own, *others = self._peers.alive()
        for peer in others[:_MAX_FORWARDERS]:
            try:
                return self._network.call(
                    peer.peer_address,
                    service_name,
                    method,
                    *arguments,
                    timeout_s=timeout_s,
                )
            except (PeerCallError, Unavailable):
                maybe_applied = True
            except NotLeader:
                EVENTS.labels('control', 'forward_refused').inc()
        raise UnavailableError(
            'no control leader could be reached directly or through peers',
            remedy='resend it with the same request id',
            maybe_applied=maybe_applied,
        )

    def _candidates(self) -> list[str]:
        peers = self._peers.alive()
        configured = configured_members(self.kernel.settings)
        known = [
            self._leader_address,
            *(peer.peer_address for peer in peers if 'control' in peer.roles),
            *(member.address for member in configured),
        ]
        alive = {peer.peer_address for peer in peers}
        # A call to a dead address takes a full time-out, so these come last.
        return sorted(
            (address for address in dict.fromkeys(known) if address),
            key=lambda address: address not in alive,
        )

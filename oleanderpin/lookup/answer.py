"""Answers to ``GET /lookup/<service>``."""

import ipaddress
import json
from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import parse_qs

from ..control.view import ControlView
from ..core.errors import Refusal, RefusalDetails
from ..core.http import HttpAnswer, HttpRequest
from ..core.metrics import LOOKUPS
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peer, Peers
from ..moves.drains import Drains

PATH_PREFIX = '/lookup/'


@dataclass(frozen=True, slots=True)
class LookupEntry:
    """One instance in the order in which a caller should use it."""

    name: str
    address: str
    failure_domain: str
    region: str
    weight: int


@plugins.register('lookup')
class Lookup(Plugin):
    """Chooses instances for a caller by its block."""

    def __init__(self, kernel: Any) -> None:
        """Keep the view and the peers."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._peers = kernel.plugin(Peers)
        self._drains = kernel.plugin(Drains)

    def answer(self, request: HttpRequest) -> HttpAnswer:
        """Return the instances to use, nearest first.

        Raises
        ------
        Refusal
            If the service is unknown or the client address is malformed.
        """
        name = request.path.removeprefix(PATH_PREFIX)
        if name not in self._view.state.services:
            raise Refusal(
                'unknown_service',
                f'no service {name!r}',
                remedy=f'known: {sorted(self._view.state.services)}',
                details=RefusalDetails(status=404),
            )
        client_ip = _client_ip(request)
        ttl_s = self.kernel.settings.forwarding.lookup_ttl_s
        entries = [asdict(entry) for entry in self.entries(client_ip)]
        LOOKUPS.labels(name).inc()
        document = {'service': name, 'ttl_s': ttl_s, 'instances': entries}
        return HttpAnswer(
            200,
            json.dumps(document).encode(),
            headers=[('Cache-Control', f'max-age={int(ttl_s)}')],
        )

    def entries(self, client_ip: str) -> list[LookupEntry]:
        """Return the instances for a client address, nearest first."""
        own = self._peers.own()
        candidates = [
            peer
            for peer in self._peers.alive()
            if 'entry' in peer.roles and not self._drains.is_draining_peer(peer)
        ]
        candidates.sort(key=lambda peer: (_distance(own, peer), peer.name))
        return [
            LookupEntry(
                name=peer.name,
                address=peer.caller_address,
                failure_domain=peer.failure_domain,
                region=peer.region,
                weight=100,
            )
            for peer in candidates
        ]


def _distance(own: Peer, peer: Peer) -> int:
    if peer.site == own.site:
        return 0
    if peer.failure_domain == own.failure_domain:
        return 1
    return 2 if peer.region == own.region else 3


def _client_ip(request: HttpRequest) -> str:
    values = parse_qs(request.query).get('client')
    client_ip = values[0] if values else request.client_ip
    try:
        return str(ipaddress.ip_address(client_ip))
    except ValueError:
        raise Refusal(
            'bad_client_address',
            f'client={client_ip!r} is not an IP address',
            remedy='send an IPv4 or IPv6 address',
            details=RefusalDetails(status=400),
        ) from None

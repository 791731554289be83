"""Responses to ``GET /lookup/<service>``.

A caller gets the nearest usable instances first. Draining instances and
instances that are suspected to have failed are left out.
"""

import ipaddress
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from ..control.authority import require_current
from ..control.state import Drain
from ..control.view import ControlView
from ..core.errors import Refusal, RefusalDetails
from ..core.http import HttpResponse, HttpRequest
from ..core.metrics import LOOKUPS
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peer, Peers
from ..moves.drains import Drains
from .blocks import ClientBlocks
from .order import LookupEntry, Order, Orders, Place, places_of

PATH_PREFIX = '/lookup/'


@dataclass(frozen=True, slots=True)
class _CachedOrders:
    """Orders and the tables from which they were computed."""

    peers: tuple[Peer, ...]
    drains: Mapping[str, Drain]
    orders: Orders


@plugins.register('lookup')
class Lookup(Plugin):
    """Selects instances for a caller by the site of its client block."""

    def __init__(self, kernel: Any) -> None:
        """Find the plug-ins that hold the state, peers, drains and blocks."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._peers = kernel.plugin(Peers)
        self._drains = kernel.plugin(Drains)
        self._blocks = kernel.plugin(ClientBlocks)
        # The place of a site is kept while none of its instances is live, so
        # that its callers still get the nearest instances of other sites.
        self._places: dict[str, Place] = {}
        self._cached: _CachedOrders | None = None

    def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a look-up, nearest instances first.

        Raises
        ------
        Refusal
            If the service is unknown, or may be, or the client address is
            malformed.
        """
        name = request.path.removeprefix(PATH_PREFIX)
        if name not in self._view.state.services:
            require_current(self._view, f'service {name!r}')
            raise Refusal(
                'unknown_service',
                f'no service {name!r}',
                remedy=f'known: {sorted(self._view.state.services)}',
                details=RefusalDetails(status=404),
            )
        client_ip = _client_ip(request)
        ttl_s = self.kernel.settings.forwarding.lookup_ttl_s
        encoded = b', '.join(self._order(client_ip).encoded)
        LOOKUPS.labels(name).inc()
        head = json.dumps({'service': name, 'ttl_s': ttl_s})[:-1].encode()
        return HttpResponse(
            200,
            b''.join((head, b', "instances": [', encoded, b']}')),
            headers=[('Cache-Control', f'max-age={int(ttl_s)}')],
        )

    def entries(self, client_ip: str) -> list[LookupEntry]:
        """Return the instances for a client address, nearest first."""
        return list(self._order(client_ip).entries)

    def _order(self, client_ip: str) -> Order:
        site = self._blocks.site_of(client_ip)
        return self._current_orders().find(site, client_ip)

    def _current_orders(self) -> Orders:
        # Both tables are replaced, not modified, when they change, so identity
        # shows whether the cached orders are current.
        drains = self._view.state.drains
        peers = self._peers.alive()
        cached = self._cached
        if (
            cached is None
            or cached.peers is not peers
            or cached.drains is not drains
        ):
            self._places = {**self._places, **places_of(peers)}
            usable = [peer for peer in peers if self._is_usable(peer)]
            orders = Orders(peers[0], usable, self._places)
            cached = _CachedOrders(peers, drains, orders)
            self._cached = cached
        return cached.orders

    def _is_usable(self, peer: Peer) -> bool:
        return 'entry' in peer.roles and not self._drains.is_draining_peer(peer)


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

"""One instance that limits rates, without a kernel or a network."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import replace
from types import MappingProxyType, SimpleNamespace
from typing import Any

from prometheus_client import REGISTRY

from ..control.state import Account, ControlState, PART_OWNERS_KEY
from ..core.clock import Clock, MonotonicClock
from ..core.settings import LimitsSettings
from ..membership.peers import Peer
from .builders import make_peers, settled_owners

# Enough for floors at eight gateways, and too little for them.
DIVIDED = Account('large', rate_per_s=100.0, burst=100.0)
SMALL = Account('small', rate_per_s=8.0, burst=8.0)

Reply = Callable[..., Any]


class RatesInstance:
    """Stands in for kernel, control view, peers, network and shares.

    Parameters
    ----------
    reply : callable
        Gets address, service, method and arguments of each call to a peer, and
        returns the reply.
    own : str
        Peer address of this instance.
    controls : iterable of str
        Peer addresses of the control instances.
    clock : Clock or None
        Monotonic clock; the system's if None.
    """

    def __init__(
        self,
        reply: Reply,
        *,
        own: str = 'g0',
        controls: Iterable[str] = ('c0',),
        clock: Clock | None = None,
    ) -> None:
        """Start with accounts of both kinds and without shares."""
        self.clock = clock or MonotonicClock()
        self.stopping = threading.Event()
        self.settings = SimpleNamespace(
            instance=SimpleNamespace(name=own),
            listen=SimpleNamespace(peer=own),
            limits=LimitsSettings(floor_percent=75),
        )
        members = {
            address: SimpleNamespace(address=address) for address in controls
        }
        accounts = {each.name: each for each in (DIVIDED, SMALL)}
        owners = {PART_OWNERS_KEY: settled_owners(members)}
        self.state = ControlState(
            accounts=MappingProxyType(accounts),
            members=MappingProxyType(members),  # type: ignore[arg-type]
            part_owners=MappingProxyType(owners),
        )
        self.revision = 1
        self.is_cut_off = False
        self.share_result = 'ok'
        self.holder = SimpleNamespace(
            note_arrival=lambda _resource: None,
            note_waiting=lambda _resource, _change: None,
            next_unit_s=lambda _resource: None,
        )
        self._own = own
        self._reply = reply

    def plugin(self, _plugin_class: type) -> Any:
        """Return this stand-in for all plug-ins."""
        return self

    def wait_while_running(self, duration_s: float) -> bool:
        """Wait; return whether the instance is running."""
        return not self.stopping.wait(duration_s)

    def register(self, *_arguments: Any) -> None:
        """Stand in for the peer server."""

    def subscribe(self, *_arguments: Any) -> None:
        """Stand in for the control view."""

    def freshness_age_s(self) -> float:
        """Return the age of the control state."""
        return 0.0

    def own(self) -> Peer:
        """Return this instance."""
        return _peer(self._own, 'gateway')

    def alive(self) -> list[Peer]:
        """Return this instance and the control instances."""
        controls = [_peer(address, 'control') for address in self.state.members]
        return [self.own(), *controls]

    def call(self, address: str, *arguments: Any, **_options: Any) -> Any:
        """Return the reply to a call."""
        return self._reply(address, *arguments)

    def take_now(self, _resource: str) -> str:
        """Return what became of a token of the own share."""
        return self.share_result


def sample(metric: str, **labels: str) -> float:
    """Return the value of a metric of this process, 0 before the first."""
    return REGISTRY.get_sample_value(metric, labels) or 0.0


def _peer(address: str, role: str) -> Peer:
    peer = make_peers('north-a', 1)[0]
    return replace(peer, name=address, peer_address=address, roles=(role,))

"""Surroundings of routers, for tests and benchmarks without processes."""

import random
import threading
from dataclasses import replace
from typing import Any

from ..control.state import ControlState, Drain, Profile, Service
from ..control.view import ControlView, Listener
from ..core.clock import Clock
from ..core.settings import Settings
from ..membership.peers import Peer, Peers
from ..moves.drains import Drains
from ..moves.split import VersionSplit
from ..routing.router import Router
from ..targets.table import Target, TargetTable


def make_target(
    name: str,
    *,
    failure_domain: str,
    version: str = 'v1',
    slots: int = 4,
    load: float = 0.0,
) -> Target:
    """Return a target; its region is the part of the domain before ``-``."""
    return Target(
        service='desk',
        target_id=name,
        address=name,
        region=failure_domain.partition('-')[0],
        failure_domain=failure_domain,
        version=version,
        slots=slots,
        connections=100,
        load=load,
    )


class RoutingWorld:
    """Targets, peers and control state that several routers share.

    Parameters
    ----------
    clock : Clock
        Clock of all routers.
    profile : Profile
        Profile of the service ``desk``.
    """

    def __init__(self, clock: Clock, profile: Profile) -> None:
        """Start without targets and peers."""
        self.clock = clock
        self.service = Service(name='desk', profile=profile.name, version='v1')
        self.state = ControlState().with_record(
            'profiles', profile.name, profile
        )
        self.state = self.state.with_record('services', 'desk', self.service)
        self.peers: dict[str, Peer] = {}
        self._targets: dict[str, Target] = {}
        self._listeners: list[Listener] = []

    def put(self, *targets: Target) -> None:
        """Announce targets."""
        self._targets.update({each.address: each for each in targets})

    def remove(self, *addresses: str) -> None:
        """Let the announcements of targets lapse."""
        for address in addresses:
            self._targets.pop(address)

    def renew(self, address: str, *, load: float) -> None:
        """Announce a target again with another load."""
        self.put(replace(self._targets[address], load=load))

    def targets(self, _service: str) -> tuple[Target, ...]:
        """Return the announced targets."""
        return tuple(self._targets.values())

    def drain(self, name: str, *, kind: Any) -> None:
        """Commit a drain."""
        self.change(self.state.with_record('drains', name, Drain(name, kind)))

    def change(self, state: ControlState) -> None:
        """Put a control state in force."""
        self.state = state
        for listener in self._listeners:
            listener(state)

    def is_fresh(self) -> bool:
        """Return that the control state is fresh."""
        return True

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each new control state."""
        self._listeners.append(listener)

    def router(self, name: str, *, failure_domain: str) -> Router:
        """Return the router of a new instance in a failure domain."""
        region = failure_domain.partition('-')[0]
        self.peers[name] = Peer(
            name=name,
            region=region,
            failure_domain=failure_domain,
            site=failure_domain,
            caller_address=name,
            admin_address=name,
            peer_address=name,
            incarnation=1,
            roles=('entry',),
        )
        kernel = FakeKernel(self, name, failure_domain)
        return Router(kernel, generator=random.Random(name))


class _FakePeers:
    """The peers as one instance sees them, itself first."""

    def __init__(self, world: RoutingWorld, own: Peer) -> None:
        self._world = world
        self._own = own

    def own(self) -> Peer:
        return self._own

    def alive(self) -> tuple[Peer, ...]:
        others = self._world.peers.values()
        return (self._own, *(each for each in others if each != self._own))


class FakeKernel:
    """Stands in for the kernel of one instance.

    Parameters
    ----------
    world : RoutingWorld
        Stands in for the target table, the peers and the control view.
    name, failure_domain : str
        Identity and place of the instance.
    """

    def __init__(
        self, world: RoutingWorld, name: str, failure_domain: str
    ) -> None:
        """Build the plug-ins that routing reads."""
        address = '127.0.0.1:{0}'
        listen = {'caller': 1, 'admin': 2, 'peer': 3}
        self.settings = Settings.model_validate(
            {
                'instance': {
                    'name': name,
                    'region': failure_domain.partition('-')[0],
                    'failure_domain': failure_domain,
                },
                'listen': {
                    each: address.format(port) for each, port in listen.items()
                },
            }
        )
        self.clock = world.clock
        self.draining = threading.Event()
        self.stopping = threading.Event()
        self._plugins: dict[type, Any] = {
            TargetTable: world,
            ControlView: world,
            Peers: _FakePeers(world, world.peers[name]),
        }
        self._plugins[Drains] = Drains(self)  # type: ignore[arg-type]
        self._plugins[VersionSplit] = VersionSplit(self)  # type: ignore[arg-type]

    def plugin(self, plugin_class: type) -> Any:
        """Return the stand-in for a plug-in."""
        return self._plugins[plugin_class]

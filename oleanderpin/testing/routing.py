"""In-process simulation around routers, for tests and benchmarks."""

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
    """Simulated targets, peers and control state that several routers share.

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
        """Announce targets, replacing those with the same addresses."""
        self._targets.update({each.address: each for each in targets})

    def remove(self, *addresses: str) -> None:
        """Remove targets as if their announcements had expired."""
        for address in addresses:
            self._targets.pop(address)

    def renew(self, address: str, *, load: float) -> None:
        """Announce a target again with another load."""
        self.put(replace(self._targets[address], load=load))

    def targets(self, _service: str) -> tuple[Target, ...]:
        """Return all announced targets; the service is ignored."""
        return tuple(self._targets.values())

    def drain(self, name: str, *, kind: Any) -> None:
        """Add a drain to the control state."""
        self.change(self.state.with_record('drains', name, Drain(name, kind)))

    def change(self, state: ControlState) -> None:
        """Apply a control state and notify the listeners."""
        self.state = state
        for listener in self._listeners:
            listener(state)

    def is_fresh(self) -> bool:
        """Return True: the simulated control state is always fresh."""
        return True

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each new control state."""
        self._listeners.append(listener)

    def router(self, name: str, *, failure_domain: str) -> Router:
        """Add an instance in a failure domain and return its router."""
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
    """Peers of one instance, starting with the instance itself."""

    def __init__(self, world: RoutingWorld, own: Peer) -> None:
        self._world = world
        self._own = own

    def own(self) -> Peer:
        return self._own

    def alive(self) -> tuple[Peer, ...]:
        others = self._world.peers.values()
        return (self._own, *(each for each in others if each != self._own))


class FakeKernel:
    """Test double for the kernel of one instance.

    Parameters
    ----------
    world : RoutingWorld
        Replaces the target table, the peers and the control view.
    name, failure_domain : str
        Name and location of the instance.
    """

    def __init__(
        self, world: RoutingWorld, name: str, failure_domain: str
    ) -> None:
        """Create the plug-ins that routing uses."""
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
        """Return a plug-in or the test double that replaces it."""
        return self._plugins[plugin_class]

"""Selects targets by locality, expected wait and spare regional capacity."""

import random
import threading
from collections.abc import Callable, Collection
from typing import Any

from ..control.state import Profile, Service
from ..control.view import ControlView
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peers
from ..moves.drains import Drains
from ..moves.split import VersionSplit
from ..targets.table import Target, TargetTable
from .capacity import PermitSource, RegionCapacity
from .choice import Choice
from .outcome import AttemptOutcome, AttemptResult, Observation, Observer
from .service_router import ServiceRouter, ServiceSnapshot
from .shift_budget import ShiftPool

__all__ = (
    'AttemptOutcome',
    'AttemptResult',
    'Observation',
    'Observer',
    'Router',
    'Selection',
)


class Selection:
    """A chosen target and the permits held for it.

    Used as a context manager; its exit releases the permits.
    """

    def __init__(
        self,
        router: 'Router',
        service_router: ServiceRouter,
        choice: Choice,
        route: str,
    ) -> None:
        """Hold the permits of ``choice``."""
        self._router = router
        self._service_router = service_router
        self._choice = choice
        self._route = route
        self.target = choice.candidate.stats.target

    def __enter__(self) -> 'Selection':
        """Return the selection."""
        return self

    def __exit__(self, *_exc_info: object) -> None:
        """Release the permits."""
        self._service_router.release(self._choice)

    def record(self, outcome: AttemptOutcome) -> None:
        """Record the outcome of the attempt."""
        self._service_router.record_outcome(
            self._choice, outcome, now_s=self._router.kernel.clock.now_s()
        )
        self._router.observe(
            Observation(self.target.service, self._route, self.target, outcome)
        )


@plugins.register('router')
class Router(Plugin):
    """Chooses a target for each attempt.

    Parameters
    ----------
    kernel : Kernel
        Provides settings, the clock and the other plug-ins.
    generator : random.Random, optional
        Random number generator; by default seeded with the instance's name,
        so that instances draw differently.
    """

    def __init__(
        self, kernel: Any, *, generator: random.Random | None = None
    ) -> None:
        """Start without requests in flight."""
        super().__init__(kernel)
        self._table = kernel.plugin(TargetTable)
        self._split = kernel.plugin(VersionSplit)
        self._drains = kernel.plugin(Drains)
        self._peers = kernel.plugin(Peers)
        self._view = kernel.plugin(ControlView)
        self._generator = generator or random.Random(
            kernel.settings.instance.name
        )
        self._permit_source: PermitSource = RegionCapacity()
        self._shift_pools: Callable[[str], ShiftPool | None] = _no_pool
        self._lock = threading.Lock()
        self._services: dict[str, ServiceRouter] = {}
        self._regions_seen: dict[str, frozenset[str]] = {}
        self._observers: list[Observer] = []
        self._view.subscribe(self._on_state)

    def use_lender(self, permit_source: PermitSource) -> None:
        """Set the source of permits for other regions.

        Call it before the first request; services keep their permit source.
        """
        self._permit_source = permit_source

    def use_shift_pools(self, pools: Callable[[str], ShiftPool | None]) -> None:
        """Set the fleet-wide pools of the shift caps.

        Call it before the first request; services keep their pool.

        Parameters
        ----------
        pools : callable
            Returns the pool of the service with a given name.
        """
        self._shift_pools = pools

    def on_outcome(self, observer: Observer) -> None:
        """Register an observer of attempt outcomes."""
        self._observers.append(observer)

    def observe(self, observation: Observation) -> None:
        """Pass an attempt's outcome to the observers."""
        for observer in self._observers:
            observer(observation)

    def slots(self, service: Service) -> int:
        """Return how many requests of a service may run concurrently."""
        now_s = self.kernel.clock.now_s()
        return self._service_router(service).slots(service, now_s=now_s)

    def in_flight(self) -> dict[str, tuple[Target, int]]:
        """Return the requests in flight by target address."""
        with self._lock:
            services = list(self._services.values())
        in_flight: dict[str, tuple[Target, int]] = {}
        for each in services:
            in_flight.update(each.in_flight())
        return in_flight

    def choose(
        self, service: Service, *, route: str, exclude: Collection[str] = ()
    ) -> Selection:
        """Choose a target for one attempt.

        Parameters
        ----------
        service : Service
            Requested service.
        route : str
            Method and first path segment, for comparing versions.
        exclude : collection of str
            Addresses that were already tried.

        Raises
        ------
        Refusal
            If no target can take the request. The reason is ``no_target``,
            ``target_busy``, ``region_capacity`` or ``shift_cap``.
        """
        service_router = self._service_router(service)
        choice = service_router.choose(
            service, exclude=exclude, now_s=self.kernel.clock.now_s()
        )
        if choice.permit is not None:
            EVENTS.labels('routing', 'other_region').inc()
        return Selection(self, service_router, choice, route)

    def _service_router(self, service: Service) -> ServiceRouter:
        known = self._services.get(service.name)
        if known is not None:
            return known
        with self._lock:
            return self._services.setdefault(
                service.name,
                ServiceRouter(
                    service,
                    region=self.kernel.settings.instance.region,
                    read_snapshot=self._read_snapshot,
                    permit_source=self._permit_source,
                    generator=self._generator,
                    now_s=self.kernel.clock.now_s(),
                    shift_pool=self._shift_pools(service.name),
                ),
            )

    def _read_snapshot(self, service: Service) -> ServiceSnapshot:
        own_region = self.kernel.settings.instance.region
        peers = [peer for peer in self._peers.alive() if 'entry' in peer.roles]
        regions = frozenset(peer.region for peer in peers)
        seen = self._regions_seen.get(service.name, frozenset())
        self._regions_seen[service.name] = regions
        local_instances = sum(peer.region == own_region for peer in peers)
        return ServiceSnapshot(
            targets=[
                target
                for target in self._table.targets(service.name)
                if not self._drains.is_draining(target)
            ],
            weights=self._split.weights(service),
            profile=self._view.state.profiles.get(
                service.profile, Profile(name=service.profile)
            ),
            local_instances=max(1, local_instances),
            is_region_lost=not seen <= regions,
        )

    def _on_state(self, _state: Any) -> None:
        for each in list(self._services.values()):
            each.invalidate()


def _no_pool(_service: str) -> None:
    """Return no pool; the default until `use_shift_pools` is called."""

"""Chooses targets, nearest first and least loaded among the near ones."""

import threading
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any, Literal

from ..control.state import Service
from ..core.errors import Refusal, RefusalDetails
from ..core.plugin import Plugin, plugins
from ..moves.drains import Drains
from ..moves.split import VersionSplit
from ..targets.table import Target, TargetTable

AttemptResult = Literal[
    'ok', 'target_error', 'no_connection', 'timeout', 'reset', 'shed'
]


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """What one attempt at a target came to."""

    result: AttemptResult
    first_byte_ms: float = 0.0
    status: int = 0


@dataclass(frozen=True, slots=True)
class Observation:
    """An attempt's outcome with its place, for statistics of versions."""

    service: str
    route: str
    target: Target
    outcome: AttemptOutcome


Observer = Callable[[Observation], None]


class Selection:
    """A chosen target and the permits held for it.

    Used as a context manager; leaving it gives the permits back.
    """

    def __init__(self, router: 'Router', target: Target, route: str) -> None:
        """Hold the permits of ``target``."""
        self._router = router
        self._route = route
        self.target = target

    def __enter__(self) -> 'Selection':
        """Return the selection."""
        return self

    def __exit__(self, *_exc_info: object) -> None:
        """Give the permits back."""
        self._router.release(self.target)

    def record(self, outcome: AttemptOutcome) -> None:
        """Tell the router what the attempt came to."""
        self._router.observe(
            Observation(self.target.service, self._route, self.target, outcome)
        )


@plugins.register('router')
class Router(Plugin):
    """Chooses a target for each attempt."""

    def __init__(self, kernel: Any) -> None:
        """Start without requests in flight."""
        super().__init__(kernel)
        self._table = kernel.plugin(TargetTable)
        self._split = kernel.plugin(VersionSplit)
        self._drains = kernel.plugin(Drains)
        self._lock = threading.Lock()
        self._in_flight: Counter[str] = Counter()
        self._observers: list[Observer] = []

    def on_outcome(self, observer: Observer) -> None:
        """Call ``observer`` with each attempt's outcome."""
        self._observers.append(observer)

    def observe(self, observation: Observation) -> None:
        """Pass an attempt's outcome to the observers."""
        for observer in self._observers:
            observer(observation)

    def slots(self, service: Service) -> int:
        """Return how many requests of a service may run at once."""
        targets = self._table.targets(service.name)
        return sum(target.slots for target in targets)

    def choose(
        self, service: Service, *, route: str, exclude: Collection[str] = ()
    ) -> Selection:
        """Choose a target for one attempt.

        Parameters
        ----------
        service : Service
            Service that is asked for.
        route : str
            Method and first path segment, for comparison of versions.
        exclude : collection of str
            Addresses that were tried already.

        Raises
        ------
        Refusal
            If no target can take the request.
        """
        own = self.kernel.settings.instance
        weights = self._split.weights(service)
        targets = [
            target
            for target in self._table.targets(service.name)
            if target.address not in exclude
            and weights.get(target.version, weights.get('', 0)) > 0
            and not self._drains.is_draining(target)
        ]
        if not targets:
            raise Refusal(
                'no_target',
                f'no target of {service.name!r} can take the request',
                remedy='start targets or try again',
                details=RefusalDetails(retry_after_s=1.0),
            )
        with self._lock:
            target = min(
                targets,
                key=lambda each: (
                    each.failure_domain != own.failure_domain,
                    each.region != own.region,
                    self._in_flight[each.address] / each.slots,
                ),
            )
            self._in_flight[target.address] += 1
        return Selection(self, target, route)

    def release(self, target: Target) -> None:
        """Count one request in flight less."""
        with self._lock:
            self._in_flight[target.address] -= 1

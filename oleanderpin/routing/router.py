"""Chooses targets, nearest first and least loaded among the near ones."""

import threading
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass
from typing import Any, Literal

from ..control.state import Service
from ..core.errors import Refusal, RefusalDetails
from ..core.plugin import Plugin, plugins
from ..targets.table import Target, TargetTable

AttemptResult = Literal[
    'ok', 'target_error', 'no_connection', 'timeout', 'reset', 'shed'
]


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """What one attempt at a target came to."""

    result: AttemptResult
    first_byte_ms: float = 0.0


class Selection:
    """A chosen target and the permits held for it.

    Used as a context manager; leaving it gives the permits back.
    """

    def __init__(self, router: 'Router', target: Target) -> None:
        """Hold the permits of ``target``."""
        self._router = router
        self.target = target

    def __enter__(self) -> 'Selection':
        """Return the selection."""
        return self

    def __exit__(self, *_exc_info: object) -> None:
        """Give the permits back."""
        self._router.release(self.target)

    def record(self, outcome: AttemptOutcome) -> None:
        """Tell the router what the attempt came to."""


@plugins.register('router')
class Router(Plugin):
    """Chooses a target for each attempt."""

    def __init__(self, kernel: Any) -> None:
        """Start without requests in flight."""
        super().__init__(kernel)
        self._table = kernel.plugin(TargetTable)
        self._lock = threading.Lock()
        self._in_flight: Counter[str] = Counter()

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
        targets = [
            target
            for target in self._table.targets(service.name)
            if target.address not in exclude
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
        return Selection(self, target)

    def release(self, target: Target) -> None:
        """Count one request in flight less."""
        with self._lock:
            self._in_flight[target.address] -= 1

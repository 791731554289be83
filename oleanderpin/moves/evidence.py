"""Evidence about a move: one sequential test per route and measure."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..wire.generated.stats.ttypes import RouteBatch
from .sequential import Batch, SequentialDetector

OTHER_ROUTES = '*'
_MAX_ROUTES = 40
_MEASURES = ('errors', 'slow')
# Tables with fewer requests of one version carry hardly any evidence, so
# counts are accumulated first. The rule depends on request counts only, never
# on bad requests, which preserves the false-alarm bound.
_MIN_REQUESTS_PER_VERSION = 4
_MIN_REQUESTS_TOTAL = 100


@dataclass(slots=True)
class RouteTotals:
    """Requests, errors and slow responses of both versions on a route."""

    new_count: int = 0
    new_errors: int = 0
    new_slow: int = 0
    old_count: int = 0
    old_errors: int = 0
    old_slow: int = 0

    def add(self, batch: 'RouteBatch | RouteTotals') -> None:
        """Add the counts of a batch."""
        self.new_count += batch.new_count
        self.new_errors += batch.new_errors
        self.new_slow += batch.new_slow
        self.old_count += batch.old_count
        self.old_errors += batch.old_errors
        self.old_slow += batch.old_slow

    @property
    def is_conclusive(self) -> bool:
        """Whether there are enough requests for a two-by-two table."""
        fewer = min(self.new_count, self.old_count)
        total = self.new_count + self.old_count
        return (
            fewer >= _MIN_REQUESTS_PER_VERSION or total >= _MIN_REQUESTS_TOTAL
        )

    def table(self, measure: str) -> Batch:
        """Return the two-by-two table of a measure."""
        is_errors = measure == 'errors'
        return Batch(
            new_count=self.new_count,
            new_bad=self.new_errors if is_errors else self.new_slow,
            old_count=self.old_count,
            old_bad=self.old_errors if is_errors else self.old_slow,
        )


@dataclass(slots=True)
class _Route:
    totals: RouteTotals
    pending: RouteTotals
    detectors: dict[str, SequentialDetector] = field(default_factory=dict)


class MoveEvidence:
    """Sequential tests of one move over all observed routes.

    Parameters
    ----------
    alpha : float
        Upper bound of the false-alarm probability over all routes and
        measures.
    """

    def __init__(self, alpha: float) -> None:
        """Start without routes."""
        self._alpha = alpha
        self._routes: dict[str, _Route] = {}

    def update(self, batches: Iterable[RouteBatch]) -> None:
        """Add the evidence of the batches of one interval."""
        for batch in batches:
            route = self._route(batch.route)
            route.totals.add(batch)
            route.pending.add(batch)
            if not route.pending.is_conclusive:
                continue
            for measure, detector in route.detectors.items():
                detector.update(route.pending.table(measure))
            route.pending = RouteTotals()

    @property
    def new_count(self) -> int:
        """Requests that the new version has handled."""
        return sum(route.totals.new_count for route in self._routes.values())

    def totals(self) -> dict[str, RouteTotals]:
        """Return the counts of each route."""
        return {name: route.totals for name, route in self._routes.items()}

    @property
    def is_suspicious(self) -> bool:
        """Whether a test has accumulated half of the required log evidence."""
        return any(
            detector.is_suspicious
            for route in self._routes.values()
            for detector in route.detectors.values()
        )

    def badness(self) -> str:
        """Return why the new version is worse; empty while it is not."""
        for name, route in self._routes.items():
            for measure, detector in route.detectors.items():
                if detector.is_bad:
                    return _detection_reason(
                        name, route.totals, measure, detector
                    )
        return ''

    def summary(self) -> str:
        """Return the totals over all routes as text, for the report of a move."""
        totals = RouteTotals()
        for route in self._routes.values():
            totals.add(route.totals)
        return (
            f'{len(self._routes)} routes; new version: '
            f'{totals.new_errors} errors and {totals.new_slow} slow of '
            f'{totals.new_count}; old version: {totals.old_errors} errors '
            f'and {totals.old_slow} slow of {totals.old_count}'
        )

    def _route(self, name: str) -> _Route:
        if name not in self._routes and len(self._routes) >= _MAX_ROUTES:
            name = OTHER_ROUTES
        route = self._routes.get(name)
        if route is None:
            route = _Route(RouteTotals(), RouteTotals())
            # The shares 1 / (k * (k + 1)) of alpha over all routes sum to 1.
            number = len(self._routes) + 1
            share = 1 / (number * (number + 1)) / len(_MEASURES)
            for measure in _MEASURES:
                route.detectors[measure] = SequentialDetector(
                    self._alpha * share
                )
            self._routes[name] = route
        return route


def _detection_reason(
    route: str,
    totals: RouteTotals,
    measure: str,
    detector: SequentialDetector,
) -> str:
    new_bad = getattr(totals, f'new_{measure}')
    old_bad = getattr(totals, f'old_{measure}')
    return (
        f'{measure} on route {route!r}: {new_bad} of {totals.new_count} at '
        f'the new version, {old_bad} of {totals.old_count} at the old one; '
        f'log e-value {detector.log_evidence:.1f} at false-alarm rate '
        f'{detector.alpha:.2g}'
    )

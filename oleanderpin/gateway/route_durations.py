"""How long targets work on the requests of each route.

Load pattern: routes are added while targets are busy. A decision about a new
route by the durations of others is never corrected, since a route whose
requests are all refused gets no response that could be measured.
"""

from collections import OrderedDict

# Fraction of the responses that are faster than the estimate.
_FAST_FRACTION = 0.2
# Change of the estimate with each response, as a fraction of it.
_STEP = 0.1
_MAX_ROUTES = 10_000


class RouteDurations:
    """Duration below which few responses of a route are."""

    def __init__(self) -> None:
        """Start without estimates."""
        # Ordered by use, so that routes that are gone are dropped first.
        self._fast_s: OrderedDict[str, float] = OrderedDict()

    def fast_s(self, route: str) -> float:
        """Return the estimate of a route, 0 while there is none.

        Parameters
        ----------
        route : str
            Name of the route.
        """
        return self._fast_s.get(route, 0.0)

    def note(self, route: str, duration_s: float) -> None:
        """Adjust the estimate to a successful response.

        Parameters
        ----------
        route : str
            Name of the route.
        duration_s : float
            Time of the target's work, without a wait for a slot.
        """
        last_s = self._fast_s.get(route)
        if last_s is None:
            estimate_s = duration_s
        elif duration_s < last_s:
            estimate_s = last_s * (1 - _STEP * (1 - _FAST_FRACTION))
        else:
            estimate_s = last_s * (1 + _STEP * _FAST_FRACTION)
        self._fast_s[route] = estimate_s
        self._fast_s.move_to_end(route)
        if len(self._fast_s) > _MAX_ROUTES:
            self._fast_s.popitem(last=False)

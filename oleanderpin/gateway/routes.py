"""Finds the route of a request and the service that handles it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..control.state import ControlState, Profile, Route


@dataclass(slots=True)
class WeightedRoute:
    """A route with its profile and the state of its weighted round robin.

    Services take turns in proportion to their weights (smooth weighted round
    robin).
    """

    route: Route
    profile: Profile
    _credits: list[float] = field(default_factory=list)

    def next_service(self) -> str:
        """Return the service for the next request."""
        weights = self.route.weights
        if len(weights) == 1:
            return self.route.services[0]
        if not self._credits:
            self._credits = [0.0 for _weight in weights]
        for position, weight in enumerate(weights):
            self._credits[position] += weight
        chosen = max(range(len(weights)), key=self._credits.__getitem__)
        self._credits[chosen] -= sum(weights)
        return self.route.services[chosen]


class RouteTable:
    """Routes by host, longest prefixes first.

    Parameters
    ----------
    state : ControlState
        Provides routes and profiles.
    """

    def __init__(self, state: ControlState) -> None:
        """Index the routes."""
        # Changes are detected by object identity, so the tables are kept alive.
        self.tables = (state.routes, state.profiles)
        self._by_host: dict[str, list[WeightedRoute]] = {}
        for route in state.routes.values():
            profile = _profile(state.profiles, route.profile)
            self._by_host.setdefault(route.host.lower(), []).append(
                WeightedRoute(route, profile)
            )
        for routes in self._by_host.values():
            routes.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> WeightedRoute | None:
        """Return the route with the longest prefix of ``path``."""
        for candidate in self._by_host.get(host, ()):
            if path.startswith(candidate.route.path_prefix):
                return candidate
        return None


def _prefix_length(candidate: WeightedRoute) -> int:
    return len(candidate.route.path_prefix)


def _profile(profiles: Mapping[str, Profile], name: str) -> Profile:
    return profiles.get(name) or Profile(name)

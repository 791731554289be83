"""The targets of each service, with what this instance has seen of them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ..control.state import Service
from ..control.view import ControlView
from ..membership.peers import Peers
from ..moves.drains import Drains
from ..moves.split import ANY_VERSION
from ..targets.table import TargetTable
from .placement import Candidate, order_for
from .target_health import TargetHealth

_MAX_ORDERS = 5000
# Weight of the newest answer in the usual duration of a service.
_WEIGHT = 0.05

_Order = tuple[str, str, tuple[str, ...]]


@dataclass(slots=True)
class ServiceTargets:
    """Candidates of one service and their orders by object."""

    candidates: list[Candidate] = field(default_factory=list)
    usual_s: float = 0.0
    _orders: dict[_Order, list[Candidate]] = field(default_factory=dict)

    def ordered(
        self, key: str, version: str, regions: tuple[str, ...]
    ) -> list[Candidate]:
        """Return the candidates of a version in the order of an object.

        Parameters
        ----------
        key : str
            Names the object.
        version : str
            Version of the service; empty for any.
        regions : tuple of str
            Regions that may be used; empty for all.
        """
        found = self._orders.get((key, version, regions))
        if found is None:
            allowed = [
                each
                for each in self.candidates
                if version in {ANY_VERSION, each.target.version}
                and (not regions or each.target.region in regions)
            ]
            found = order_for(key, allowed)
            if len(self._orders) >= _MAX_ORDERS:
                self._orders.clear()
            self._orders[key, version, regions] = found
        return found

    def versions(self) -> set[str]:
        """Return the versions of the candidates."""
        return {each.target.version for each in self.candidates}

    def note_duration(self, duration_s: float) -> None:
        """Take the duration of a good answer."""
        if self.usual_s:
            self.usual_s += (duration_s - self.usual_s) * _WEIGHT
        else:
            self.usual_s = duration_s


class TargetDirectory:
    """Follows the target table and the drains.

    Parameters
    ----------
    kernel : Kernel
        Gives table, drains and peers.
    """

    def __init__(self, kernel: Any) -> None:
        """Start without targets."""
        self._table = kernel.plugin(TargetTable)
        self._drains = kernel.plugin(Drains)
        self._view = kernel.plugin(ControlView)
        self._peers = kernel.plugin(Peers)
        self._region = kernel.settings.instance.region
        self._services: dict[str, ServiceTargets] = {}
        self._health: dict[tuple[str, str, str], TargetHealth] = {}
        self._seen_version = -1
        self._seen_drains: Any = None
        self._sharers = 1

    def of(self, service: str) -> ServiceTargets:
        """Return the targets of a service."""
        state = self._view.state
        if (
            self._seen_version != self._table.version
            or self._seen_drains is not state.drains
        ):
            self._seen_version = self._table.version
            self._seen_drains = state.drains
            self._refresh()
        found = self._services.get(service)
        if found is None:
            found = ServiceTargets()
            self._services[service] = found
        return found

    def cold_interval_s(self, service: Service) -> float:
        """Return the time between requests of one instance to a cold target.

        All gateways that were ever seen count, so that instances that cannot
        hear of each other keep the bound together.
        """
        if not service.cold_rate_per_s:
            return 0.0
        gateways = sum(
            'gateway' in peer.roles for peer in self._peers.alive()
        )
        self._sharers = max(self._sharers, gateways)
        return self._sharers / service.cold_rate_per_s

    def _refresh(self) -> None:
        by_service: dict[str, list[Candidate]] = {}
        health: dict[tuple[str, str, str], TargetHealth] = {}
        for target in self._table.every_target():
            if self._drains.is_draining(target):
                continue
            key = (target.service, target.target_id, target.address)
            known = self._health.get(key) or TargetHealth(target.slots)
            known.slots = target.slots
            health[key] = known
            by_service.setdefault(target.service, []).append(
                Candidate(target, known, target.region == self._region)
            )
        self._health = {**self._kept_health(health), **health}
        for name in self._services.keys() | by_service.keys():
            service = self._services.setdefault(name, ServiceTargets())
            self._services[name] = ServiceTargets(
                by_service.get(name, []), service.usual_s
            )

    def _kept_health(
        self, current: Mapping[tuple[str, str, str], TargetHealth]
    ) -> dict[tuple[str, str, str], TargetHealth]:
        """Return the health of targets that still have work or may return."""
        return {
            key: health
            for key, health in self._health.items()
            if key not in current and health.in_flight
        }


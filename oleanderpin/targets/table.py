"""The table of targets that have announced themselves."""

import json
import threading
from dataclasses import asdict, dataclass
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

from ..core.plugin import Plugin, plugins
from ..core.settings import Address, Name
from ..wire.generated.exchange.ttypes import SoftRecord
from .exchange import Exchange

TARGET_LEASE_S = 3.0


class Announcement(BaseModel):
    """What a target tells about itself; renewed every second."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    service: Name
    target_id: Annotated[str, Field(min_length=1, max_length=128)]
    address: Address
    region: Name
    failure_domain: Name
    version: Annotated[str, Field(max_length=64)] = ''
    slots: Annotated[int, Field(ge=1, le=100000)] = 1
    connections: Annotated[int, Field(ge=1, le=1000000)] = 100
    load: Annotated[float, Field(ge=0, le=1e6)] = 0.0


class Departure(BaseModel):
    """A target's notice that it takes no new work."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    service: Name
    target_id: Annotated[str, Field(min_length=1, max_length=128)]


@dataclass(frozen=True, slots=True)
class Target:
    """A target as last announced."""

    service: str
    target_id: str
    address: str
    region: str
    failure_domain: str
    version: str
    slots: int
    connections: int
    load: float
    leaving: bool = False


@dataclass(slots=True)
class _Row:
    target: Target
    expires_s: float
    first_seen_s: float


@plugins.register('target-table')
class TargetTable(Plugin):
    """Targets by service, each under a lease."""

    def __init__(self, kernel: Any) -> None:
        """Start with an empty table."""
        super().__init__(kernel)
        self._lock = threading.Lock()
        self._rows: dict[tuple[str, str], _Row] = {}
        self._exchange = kernel.plugin(Exchange)
        self._exchange.on_record('target', self._merge)

    def announce(self, announcement: Announcement) -> Target:
        """Record or renew a target that announced itself here."""
        target = Target(**announcement.model_dump())
        self._store_own(target)
        return target

    def leave(self, departure: Departure) -> None:
        """Give a target no new work from now on."""
        with self._lock:
            row = self._rows.get((departure.service, departure.target_id))
        if row is None:
            return
        fields = asdict(row.target) | {'leaving': True}
        self._store_own(Target(**fields))

    def targets(self, service: str) -> tuple[Target, ...]:
        """Return the live targets of a service that take new work."""
        now_s = self.kernel.clock.now_s()
        with self._lock:
            return tuple(
                row.target
                for row in self._rows.values()
                if row.target.service == service
                and row.expires_s > now_s
                and not row.target.leaving
            )

    def _store_own(self, target: Target) -> None:
        self._store(target, ttl_s=TARGET_LEASE_S)
        self._exchange.publish(
            'target',
            f'{target.service}/{target.target_id}',
            json.dumps(asdict(target)).encode(),
            ttl_s=TARGET_LEASE_S,
            is_urgent=target.leaving,
        )

    def _merge(self, record: SoftRecord) -> None:
        target = Target(**json.loads(record.payload))
        self._store(target, ttl_s=record.ttl_ms / 1000)

    def _store(self, target: Target, *, ttl_s: float) -> None:
        now_s = self.kernel.clock.now_s()
        key = (target.service, target.target_id)
        with self._lock:
            known = self._rows.get(key)
            first_seen_s = known.first_seen_s if known else now_s
            self._rows[key] = _Row(target, now_s + ttl_s, first_seen_s)

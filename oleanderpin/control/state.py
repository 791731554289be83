"""The control state: immutable tables of the accepted records."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any, Literal, TypeVar

RecordT = TypeVar('RecordT')

TrafficClass = Literal['small', 'bulk']
MoveStatus = Literal['running', 'done', 'taken_back']
DrainKind = Literal['target', 'instance', 'failure_domain']


@dataclass(frozen=True, slots=True)
class Profile:
    """Requirements of a kind of traffic; see the operator page on profiles."""

    name: str
    traffic_class: TrafficClass = 'small'
    request_timeout_s: float = 10.0
    first_byte_timeout_s: float = 5.0
    progress_timeout_s: float = 10.0
    queue_timeout_s: float = 1.0
    max_attempts: int = 3
    retry_budget_percent: float = 10.0
    hedge_after_ms: float = 0.0
    idempotency_required: bool = False
    shift_cap_percent: float = 20.0
    shift_interval_s: float = 10.0
    slow_start_s: float = 10.0
    move_watch_s: float = 30.0
    is_repeatable: bool = False
    latency_objective_s: float = 1.0
    rank: int = 0
    is_sticky: bool = False
    allowed_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """A service; empty ``accounts`` allow any client account.

    ``cold_rate_per_s`` limits the rate that a cold target gets from all
    instances together; 0 means no limit. ``annotation`` is free text of the
    operator.
    """

    name: str
    profile: str
    is_open: bool = False
    accounts: tuple[str, ...] = ()
    version: str = ''
    cold_rate_per_s: float = 0.0
    cold_start_s: float = 0.0
    max_connections: int = 0
    health_path: str = ''
    annotation: str = ''


@dataclass(frozen=True, slots=True)
class Route:
    """Routes requests by host and path prefix to weighted services.

    ``weights`` holds one weight per entry of ``services``.
    """

    name: str
    host: str
    path_prefix: str
    profile: str
    services: tuple[str, ...]
    weights: tuple[float, ...]
    is_open: bool = False
    annotation: str = ''


@dataclass(frozen=True, slots=True)
class Account:
    """A client account with its fleet-wide rate and burst.

    A rate of 0 means no limit. ``rank`` takes precedence over the rank of a
    route's profile.
    """

    name: str
    rate_per_s: float
    burst: float
    rank: int | None = None
    allowed_regions: tuple[str, ...] = ()
    annotation: str = ''


@dataclass(frozen=True, slots=True)
class Configuration:
    """Number and limits of the configuration in force.

    ``accepted`` holds the digests of the most recently accepted documents, by
    which resent ones are recognized.
    """

    number: int
    accepted: tuple[str, ...] = ()
    max_header_bytes: int = 16384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    annotation: str = ''


@dataclass(frozen=True, slots=True)
class Key:
    """An issued key, identified by the hexadecimal SHA-256 of its text."""

    key_hash: str
    account: str


@dataclass(frozen=True, slots=True)
class Drain:
    """A planned drain of a target, an instance or a failure domain."""

    name: str
    kind: DrainKind


@dataclass(frozen=True, slots=True)
class Move:
    """A version move of a service.

    ``deadline_unix_s`` is wall-clock time of the instance that proposed the
    move. ``evidence`` is a sentence for the report.
    """

    service: str
    from_version: str
    to_version: str
    deadline_unix_s: float
    status: MoveStatus = 'running'
    share_percent: float = 0.0
    reason: str = ''
    evidence: str = ''
    started_unix_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Block:
    """A client block in CIDR notation and the site that serves it."""

    cidr: str
    site: str


@dataclass(frozen=True, slots=True)
class ControlMember:
    """A member of the control group: a voter or a learner."""

    member_id: str
    name: str
    address: str
    is_voter: bool


@dataclass(frozen=True, slots=True)
class ShareHolderRecord:
    """An instance that may hold shares of client account rates."""

    name: str


@dataclass(frozen=True, slots=True)
class PartOwners:
    """Control instances that own parts of small accounts' rates.

    ``owners`` and ``next_owners`` hold the region of each instance by its peer
    address. They differ while parts are handed over. ``number`` increases with
    each change.
    """

    number: int = 0
    owners: Mapping[str, str] = field(default_factory=dict)
    next_owners: Mapping[str, str] = field(default_factory=dict)

    @property
    def is_settled(self) -> bool:
        """Whether no part is being handed over."""
        return self.owners == self.next_owners


@dataclass(frozen=True, slots=True)
class ObjectMeta:
    """The last accepted change of an object."""

    revision: int
    request_id: str
    operator: str


@dataclass(frozen=True, slots=True)
class HistoryRecord:
    """One accepted change, as listed in the change history."""

    revision: int
    operator: str
    command: str
    target: str
    request_id: str
    unix_s: float


# Key of the only record in the tables ``configurations`` and ``part_owners``.
CONFIGURATION_KEY = 'current'
PART_OWNERS_KEY = 'current'


def _empty_table() -> Mapping[str, Any]:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class ControlState:
    """All tables; a change returns a new state that shares the other tables."""

    profiles: Mapping[str, Profile] = field(default_factory=_empty_table)
    services: Mapping[str, Service] = field(default_factory=_empty_table)
    routes: Mapping[str, Route] = field(default_factory=_empty_table)
    accounts: Mapping[str, Account] = field(default_factory=_empty_table)
    keys: Mapping[str, Key] = field(default_factory=_empty_table)
    drains: Mapping[str, Drain] = field(default_factory=_empty_table)
    moves: Mapping[str, Move] = field(default_factory=_empty_table)
    blocks: Mapping[str, Block] = field(default_factory=_empty_table)
    members: Mapping[str, ControlMember] = field(default_factory=_empty_table)
    share_holders: Mapping[str, ShareHolderRecord] = field(
        default_factory=_empty_table
    )
    part_owners: Mapping[str, PartOwners] = field(default_factory=_empty_table)
    metas: Mapping[str, ObjectMeta] = field(default_factory=_empty_table)
    configurations: Mapping[str, Configuration] = field(
        default_factory=_empty_table
    )

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; number 0 before the first one."""
        return self.configurations.get(CONFIGURATION_KEY, Configuration(0))

    @property
    def owners_of_parts(self) -> PartOwners:
        """The owners of parts; number 0 before the first ones."""
        return self.part_owners.get(PART_OWNERS_KEY, PartOwners())

    def with_record(self, table: str, name: str, record: Any) -> 'ControlState':
        """Return a state whose ``table`` holds ``record`` under ``name``."""
        return self.with_records(table, {name: record})

    def with_records(
        self, table: str, records: Mapping[str, Any]
    ) -> 'ControlState':
        """Return a state whose ``table`` is updated with ``records``."""
        merged = {**getattr(self, table), **records}
        return replace(self, **{table: MappingProxyType(merged)})

    def without_record(self, table: str, name: str) -> 'ControlState':
        """Return a state whose ``table`` has no record under ``name``."""
        remaining = {**getattr(self, table)}
        remaining.pop(name, None)
        return replace(self, **{table: MappingProxyType(remaining)})


RECORD_TYPES: Mapping[str, type] = MappingProxyType(
    {
        'profiles': Profile,
        'services': Service,
        'routes': Route,
        'accounts': Account,
        'keys': Key,
        'drains': Drain,
        'moves': Move,
        'blocks': Block,
        'members': ControlMember,
        'share_holders': ShareHolderRecord,
        'part_owners': PartOwners,
        'metas': ObjectMeta,
        'configurations': Configuration,
    }
)

"""Settings of one instance, read from an INI file and validated."""

import configparser
import re
from pathlib import Path
from typing import Annotated, Any

import pydantic
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from .errors import SettingsError, ValidationError

_ADDRESS = re.compile(r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')
_DURATION = re.compile(r'^(?P<number>\d+(\.\d+)?) ?(?P<unit>ms|s)?$')
_UNIT_S = {'ms': 0.001, 's': 1.0}
_ROLES = ('entry', 'control', 'gateway')
_MAX_PORT = 65535
# The rest of a ratio of retries covers requests counted in another window.
_USED_RETRY_FRACTION = 0.95
_MIB = 1024 * 1024
_DEFAULT_HELD_BYTES = 100 * _MIB
# One of so many parts of the memory is held for callers and targets; the
# interpreter, the control state and the kernel's buffers need the rest.
_HELD_MEMORY_PARTS = 2


def _split_list(value: object) -> object:
    if isinstance(value, str):
        return [part.strip() for part in value.split(',') if part.strip()]
    return value


def _check_address(value: str) -> str:
    if not _ADDRESS.match(value):
        raise ValueError('write an IPv4 address and port, as 10.0.0.1:8080')
    host, port = value.split(':')
    if int(port) > _MAX_PORT or any(
        int(part) > 255 for part in host.split('.')
    ):
        raise ValueError('use octets up to 255 and a port up to 65535')
    return value


def _check_role(value: str) -> str:
    if value not in _ROLES:
        raise ValueError(f'use one of {list(_ROLES)}')
    return value


def _parse_duration(value: object) -> object:
    """Parse a duration such as ``250ms``; plain numbers are seconds."""
    if isinstance(value, str):
        match = _DURATION.match(value.strip())
        if match:
            scale = _UNIT_S[match['unit'] or 's']
            return float(match['number']) * scale
    return value


Seconds = Annotated[float, BeforeValidator(_parse_duration)]
Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]
Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Role = Annotated[str, pydantic.AfterValidator(_check_role)]


class _Section(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class InstanceSettings(_Section):
    """Identity, location, roles and memory of the instance.

    ``memory_mb`` is the memory that the process may use, in MiB. A gateway
    holds at most a half of it for callers and targets.
    """

    name: Name
    region: Name
    failure_domain: Name
    site: Name | None = None
    roles: Annotated[tuple[Role, ...], BeforeValidator(_split_list)] = (
        'entry',
    )
    data_dir: Path | None = None
    memory_mb: Annotated[int, Field(ge=64)] | None = None


class ListenSettings(_Section):
    """Addresses of the three listeners."""

    caller: Address
    admin: Address
    peer: Address


class PeersSettings(_Section):
    """Seed addresses for peer discovery, and failure detection.

    ``seed_port`` replaces the port of each seed, for deployments in which all
    peer listeners share a port other than the listed one. ``compress_calls``
    compresses calls to peers; versions before it cannot read compressed calls,
    so leave it off until all instances run a version that can.
    ``max_received_bytes`` bounds the calls of all peers that are read or handled
    at the same time.
    """

    seeds: Annotated[tuple[Address, ...], BeforeValidator(_split_list)] = ()
    seed_port: Annotated[int, Field(ge=1, le=_MAX_PORT)] | None = None
    probe_interval_s: Annotated[float, Field(ge=0.05, le=60)] = 1.0
    probe_timeout_s: Annotated[float, Field(ge=0.01, le=10)] = 0.4
    suspect_timeout_s: Annotated[float, Field(ge=0.1, le=120)] = 3.0
    compress_calls: bool = True
    max_received_bytes: Annotated[int, Field(ge=1048576)] = 24 * 1024 * 1024

    def seed_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of the seeds."""
        if self.seed_port is None:
            return self.seeds
        hosts = [seed.partition(':')[0] for seed in self.seeds]
        return tuple(f'{host}:{self.seed_port}' for host in hosts)


class ControlSettings(_Section):
    """Replicated log and distribution of the control state.

    ``initial_members`` lists ``name=peer address`` of the instances that
    form the initial Raft group; it is used only while none of them has stored
    state. With ``form_from_seeds`` the seeds form the group instead, and with
    ``join_automatically`` an instance asks the group to add it if it is no
    member, and the leader removes a member that has not responded for
    ``member_timeout_s`` if the group does not get weaker.
    """

    initial_members: Annotated[
        tuple[str, ...], BeforeValidator(_split_list)
    ] = ()
    form_from_seeds: bool = False
    join_automatically: bool = False
    # Longer than a restart, so that restarts leave the members as they are.
    member_timeout_s: Annotated[Seconds, Field(ge=0.5, le=86400)] = 10.0
    heartbeat_interval_s: Annotated[float, Field(ge=0.02, le=5)] = 0.3
    election_timeout_min_s: Annotated[float, Field(ge=0.05, le=30)] = 1.0
    election_timeout_max_s: Annotated[float, Field(ge=0.1, le=60)] = 2.0
    leader_lease_s: Annotated[float, Field(ge=0.03, le=30)] = 0.8
    freshness_limit_s: Annotated[float, Field(ge=0.5, le=10)] = 6.0
    watch_hold_s: Annotated[float, Field(ge=0.05, le=5)] = 0.5
    snapshot_every_entries: Annotated[int, Field(ge=10, le=1000000)] = 500


class LimitsSettings(_Section):
    """Leases of the rate shares of client accounts.

    A control instance that has not heard from the leader for ``part_lease_s``
    stops using its parts of small accounts' rates. A longer lease serves them
    longer in a cut, and delays the hand-over of a lost instance's parts.
    """

    lease_s: Annotated[float, Field(ge=0.5, le=60)] = 4.0
    part_lease_s: Annotated[float, Field(ge=1, le=600)] = 30.0
    # Fraction of each rate that gateways divide evenly without the leader.
    floor_percent: Annotated[float, Field(ge=0, le=100)] = 0.0
    renew_interval_s: Annotated[float, Field(ge=0.05, le=10)] = 0.5


class ForwardingSettings(_Section):
    """The caller listener and the connections to targets."""

    threads: Annotated[int, Field(ge=2, le=1000)] = 64
    max_header_bytes: Annotated[int, Field(ge=1024, le=1048576)] = 32768
    replay_buffer_bytes: Annotated[int, Field(ge=0, le=16777216)] = 65536
    connect_timeout_s: Annotated[float, Field(ge=0.01, le=30)] = 1.0
    idle_connection_s: Annotated[float, Field(ge=0.1, le=300)] = 15.0
    link_mbit_per_s: Annotated[float, Field(ge=1, le=1000000)] = 300.0
    drain_timeout_s: Annotated[Seconds, Field(ge=0, le=3600)] = 60.0
    lookup_ttl_s: Annotated[float, Field(ge=0, le=300)] = 5.0


class TargetsSettings(_Section):
    """Leases of targets that announce themselves."""

    # Covers three announcements at one per second.
    lease_s: Annotated[Seconds, Field(ge=0.5, le=600)] = 3.0


class GatewaySettings(_Section):
    """The listener that serves routes on an event loop.

    It listens on the address for callers; ``ready`` is the address of its
    readiness check. ``dialect`` selects the header names that callers and
    targets use. ``max_buffered_bytes`` bounds the memory that is held for
    requests and responses, until callers have taken the responses; left out, it
    is a half of the instance's ``memory_mb``, or else 100 MiB. ``max_connections``
    bounds the connections of callers; left out, it is three quarters of the
    process's limit on descriptors.
    """

    ready: Address | None = None
    dialect: str = 'bearer'
    max_targets_per_object: Annotated[int, Field(ge=1, le=1000)] = 4
    retry_budget_percent: Annotated[float, Field(ge=0, le=100)] = 10.0
    # Fraction of retries that the fleet may not exceed; used in place of the
    # percentage, with a margin, if it is set.
    retry_budget_ratio: Annotated[float, Field(ge=0, le=1)] | None = None
    # Retries that all gateways together may keep for later.
    retry_reserve: Annotated[float, Field(ge=0, le=1000000)] = 60.0
    max_buffered_bytes: Annotated[int, Field(ge=65536)] | None = None
    max_connections: Annotated[int, Field(ge=1)] | None = None
    # A caller that takes less of its responses over an idle time-out is closed.
    min_delivery_bytes_per_s: Annotated[float, Field(ge=0)] = 64.0
    max_response_bytes: Annotated[int, Field(ge=65536)] = 16 * 1024 * 1024
    # Bounds the framing of a response too: interim responses, sizes of chunks
    # and trailers, beyond the size of its body.
    max_response_head_bytes: Annotated[int, Field(ge=1024)] = 65536
    # Fields and pieces below 256 bytes, which cost time rather than memory.
    max_response_parts: Annotated[int, Field(ge=1024)] = 65536
    connect_timeout_s: Annotated[float, Field(ge=0.01, le=30)] = 0.5
    idle_connection_s: Annotated[float, Field(ge=0.1, le=300)] = 4.0
    grace_s: Annotated[Seconds, Field(ge=0, le=3600)] = 6.0
    # No request may reach a target so long after it has said that it leaves.
    target_drain_s: Annotated[Seconds, Field(ge=0, le=3600)] = 3.0
    # How long callers may keep using an earlier look-up response.
    lookup_ttl_s: Annotated[float, Field(ge=0, le=300)] = 2.0
    serves_when_cut_off: bool = False
    # Rate of the instance's own link in each direction.
    link_mbit_per_s: Annotated[float, Field(gt=0, le=1000000)] = 1000.0

    @property
    def retry_percent(self) -> float:
        """Retries that an instance may send for each hundred requests."""
        if self.retry_budget_ratio is None:
            return self.retry_budget_percent
        return self.retry_budget_ratio * 100 * _USED_RETRY_FRACTION


class LogSettings(_Section):
    """Log output."""

    stream: Annotated[str, Field(pattern='^(stdout|stderr)$')] = 'stderr'
    level: Annotated[str, Field(pattern='^(DEBUG|INFO|WARNING|ERROR)$')] = (
        'INFO'
    )


class Settings(_Section):
    """All settings of one instance; each field is a section of the file."""

    instance: InstanceSettings
    listen: ListenSettings
    peers: PeersSettings = PeersSettings()
    control: ControlSettings = ControlSettings()
    limits: LimitsSettings = LimitsSettings()
    forwarding: ForwardingSettings = ForwardingSettings()
    targets: TargetsSettings = TargetsSettings()
    gateway: GatewaySettings = GatewaySettings()
    log: LogSettings = LogSettings()
    regions: dict[Name, Name] = {}

    @property
    def max_held_bytes(self) -> int:
        """Limit on the memory held for callers and targets, in bytes."""
        if self.gateway.max_buffered_bytes is not None:
            return self.gateway.max_buffered_bytes
        if self.instance.memory_mb is not None:
            return self.instance.memory_mb * _MIB // _HELD_MEMORY_PARTS
        return _DEFAULT_HELD_BYTES

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain.

        Raises
        ------
        ValidationError
            If section ``[regions]`` does not name it.
        """
        if failure_domain == self.instance.failure_domain:
            return self.instance.region
        try:
            return self.regions[failure_domain]
        except KeyError:
            raise ValidationError(
                f'unknown failure domain {failure_domain!r}',
                remedy=f'use one of {sorted(self.regions)}',
            ) from None

    @pydantic.model_validator(mode='after')
    def _check_consistency(self) -> 'Settings':
        listen = self.listen
        addresses = (listen.caller, listen.admin, listen.peer)
        if len(set(addresses)) != len(addresses):
            raise ValueError(
                f'listen: {list(addresses)} holds a duplicate address; '
                'give each listener its own port'
            )
        control = self.control
        if control.election_timeout_min_s >= control.election_timeout_max_s:
            raise ValueError(
                'control: election_timeout_min_s must be below '
                'election_timeout_max_s'
            )
        if control.leader_lease_s >= control.election_timeout_min_s:
            raise ValueError(
                'control: leader_lease_s must be below election_timeout_min_s'
            )
        return self

    @pydantic.model_validator(mode='after')
    def _check_roles(self) -> 'Settings':
        if {'entry', 'gateway'} <= set(self.instance.roles):
            raise ValueError(
                'instance: entry and gateway share the address for callers; '
                'choose one of these roles'
            )
        if 'entry' in self.instance.roles and self.limits.floor_percent:
            raise ValueError(
                'limits: floor_percent is for gateways; an entry instance '
                'borrows all rates from the leader, so leave it at 0'
            )
        if 'control' in self.instance.roles and not self.instance.data_dir:
            raise ValueError(
                'instance: the control role needs a disk; set data_dir'
            )
        return self


def load_settings(path: Path) -> Settings:
    """Read and validate an INI file.

    Parameters
    ----------
    path : Path
        Settings file, in UTF-8.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid; the message names the file,
        section, field, invalid value and remedy.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding='utf-8') as settings_file:
            parser.read_file(settings_file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError(
            f'{path}: cannot be read: {error}',
            remedy='give a readable INI file',
        ) from error
    sections: dict[str, Any] = {
        name: dict(parser[name]) for name in parser.sections()
    }
    try:
        return Settings.model_validate(sections)
    except pydantic.ValidationError as error:
        raise _settings_error(path, error) from error


def _settings_error(
    path: Path, error: pydantic.ValidationError
) -> SettingsError:
    lines = [_describe_error(path, detail) for detail in error.errors()]
    return SettingsError('\n'.join(lines))


def _describe_error(path: Path, detail: Any) -> str:
    location = [str(part) for part in detail['loc']]
    section = location[0] if location else ''
    field = '.'.join(location[1:])
    if detail['type'] == 'extra_forbidden':
        valid = _valid_names(section, is_section=not field)
        item = f'field {field!r}' if field else 'section'
        return f'{path}: [{section}] unknown {item}; remedy: use one of {valid}'
    problem = detail['msg'].removeprefix('Value error, ')
    if not location:
        return f'{path}: {problem}'
    bad_value = '' if detail['type'] == 'missing' else f' {detail["input"]!r}:'
    return f'{path}: [{section}] {field}:{bad_value} remedy: {problem}'


def _valid_names(section: str, *, is_section: bool) -> list[str]:
    if is_section:
        return sorted(Settings.model_fields)
    annotation = Settings.model_fields[section].annotation
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return sorted(annotation.model_fields)
    return []

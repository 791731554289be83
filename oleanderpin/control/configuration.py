"""The configuration as one document, changed by compare-and-set.

A document names the configuration number that it is based on. Of two documents
based on the same number only the first one is accepted, so that operators
cannot overwrite each other's changes. An accepted document that is sent again,
for example after a lost reply, is recognized by its digest.
"""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Annotated, Any

from pydantic import Field

from ..core.errors import ConflictError, ValidationError
from .commands import Arguments, ObjectName, command
from .state import (
    CONFIGURATION_KEY,
    Account,
    ControlState,
    Key,
    Profile,
    Route,
    Service,
)

REPLACE = 'configuration.replace'
EDIT = 'configuration.edit'
# Digests kept to recognize resent documents: about half a day of changes at
# the design load.
_MAX_ACCEPTED = 300
_TABLES = ('profiles', 'services', 'routes', 'accounts')

Amount = Annotated[float, Field(ge=0, le=1e9)]
Seconds = Annotated[float, Field(gt=0, le=86400)]


class ProfileDocument(Arguments):
    """Requirements of a kind of traffic; becomes a `Profile`."""

    request_timeout_s: Seconds = 10.0
    max_attempts: Annotated[int, Field(ge=1, le=100)] = 3
    is_repeatable: bool = False
    latency_objective_s: Seconds = 1.0
    rank: int = 0
    is_sticky: bool = False
    allowed_regions: tuple[str, ...] = ()
    shift_cap_percent: Annotated[float, Field(gt=0, le=100)] = 20.0
    shift_interval_s: Seconds = 10.0
    move_watch_s: Amount = 30.0


class ServiceDocument(Arguments):
    """A service; its version is set by moves, not by documents."""

    profile: ObjectName
    cold_rate_per_s: Amount = 0.0
    cold_start_s: Amount = 0.0
    max_connections: Annotated[int, Field(ge=0)] = 0
    health_path: str = ''
    annotation: str = ''


class RouteDocument(Arguments):
    """A route; ``weights`` holds one weight per entry of ``services``."""

    host: Annotated[str, Field(min_length=1, max_length=253)]
    path_prefix: Annotated[str, Field(pattern='^/', max_length=4096)]
    profile: ObjectName
    services: Annotated[tuple[ObjectName, ...], Field(min_length=1)]
    weights: tuple[Amount, ...]
    is_open: bool = False
    annotation: str = ''


class AccountDocument(Arguments):
    """A client account with the hashes of its keys."""

    key_hashes: tuple[Annotated[str, Field(pattern='^[0-9a-f]{64}$')], ...] = ()
    rate_per_s: Amount = 0.0
    burst: Amount = 0.0
    rank: int | None = None
    allowed_regions: tuple[str, ...] = ()
    annotation: str = ''


class LimitsDocument(Arguments):
    """Limits on the size and timing of callers' requests."""

    max_header_bytes: Annotated[int, Field(ge=256)] = 16384
    max_body_bytes: Annotated[int, Field(ge=0)] = 64 * 1024 * 1024
    header_timeout_s: Seconds = 10.0
    idle_timeout_s: Seconds = 60.0
    annotation: str = ''


class Objects(Arguments):
    """Objects by table and name."""

    profiles: dict[ObjectName, ProfileDocument] = {}
    services: dict[ObjectName, ServiceDocument] = {}
    routes: dict[ObjectName, RouteDocument] = {}
    accounts: dict[ObjectName, AccountDocument] = {}


class _ConfigurationChange(Arguments):
    """Number of the new configuration and of the one that it is based on."""

    number: Annotated[int, Field(ge=0)]
    based_on: Annotated[int, Field(ge=0)]
    limits: LimitsDocument | None = None

    def digest(self) -> str:
        """Return a digest that identifies the change.

        It covers the class name and is stored, so renaming a subclass would
        keep resent documents from being recognized.
        """
        document = [type(self).__name__, self.model_dump(mode='json')]
        encoded = json.dumps(document, sort_keys=True).encode()
        return hashlib.sha256(encoded).hexdigest()[:32]


class ConfigurationReplace(_ConfigurationChange):
    """Arguments of ``configuration.replace``."""

    objects: Objects


class ConfigurationEdit(_ConfigurationChange):
    """Arguments of ``configuration.edit``: objects to upsert and to remove."""

    upsert: Objects = Objects()
    remove: dict[str, tuple[str, ...]] = {}


@command(REPLACE, ConfigurationReplace)
def _replace(
    state: ControlState, arguments: ConfigurationReplace, _unix_s: float
) -> ControlState:
    if _is_accepted(state, arguments):
        return state
    _check_number(state, arguments)
    empty = replace(
        state,
        **dict.fromkeys((*_TABLES, 'keys'), MappingProxyType({})),
    )
    changed = _with_objects(empty, arguments.objects, previous=state)
    return _with_configuration(state, changed, arguments)


@command(EDIT, ConfigurationEdit)
def _edit(
    state: ControlState, arguments: ConfigurationEdit, _unix_s: float
) -> ControlState:
    if _is_accepted(state, arguments):
        return state
    _check_number(state, arguments)
    changed = state
    for table, names in arguments.remove.items():
        if table not in _TABLES:
            raise ValidationError(
                f'remove names the unknown table {table!r}',
                remedy=f'use one of {list(_TABLES)}',
            )
        for name in names:
            changed = changed.without_record(table, name)
    changed = _with_objects(changed, arguments.upsert, previous=state)
    orphaned = [
        key_hash
        for key_hash, key in changed.keys.items()
        if key.account not in changed.accounts
    ]
    for key_hash in orphaned:
        changed = changed.without_record('keys', key_hash)
    return _with_configuration(state, changed, arguments)


def _is_accepted(state: ControlState, arguments: _ConfigurationChange) -> bool:
    return arguments.digest() in state.configuration.accepted


def _check_number(state: ControlState, arguments: _ConfigurationChange) -> None:
    current = state.configuration.number
    if arguments.based_on != current:
        raise ConflictError(
            f'configuration {arguments.number} builds on '
            f'{arguments.based_on}, but {current} is in force',
            winner_request_id='',
            winner_operator='',
            revision=current,
            remedy='read the configuration and repeat the change against it',
        )
    if arguments.number <= current:
        raise ValidationError(
            f'number {arguments.number} is not above the number {current} '
            'in force',
            remedy='give a higher number',
        )


def _with_objects(
    state: ControlState, objects: Objects, *, previous: ControlState
) -> ControlState:
    profiles = {
        name: Profile(name=name, **each.model_dump())
        for name, each in objects.profiles.items()
    }
    services = {
        name: Service(
            name=name,
            version=_current_version(previous, name),
            **each.model_dump(),
        )
        for name, each in objects.services.items()
    }
    routes = {
        name: Route(name=name, **each.model_dump())
        for name, each in objects.routes.items()
    }
    accounts = {
        name: Account(name=name, **each.model_dump(exclude={'key_hashes'}))
        for name, each in objects.accounts.items()
    }
    state = state.with_records('profiles', profiles)
    state = state.with_records('services', services)
    state = state.with_records('routes', routes)
    state = state.with_records('accounts', accounts)
    return _with_keys(state, objects.accounts)


def _with_keys(
    state: ControlState, accounts: Mapping[str, AccountDocument]
) -> ControlState:
    """Replace the keys of the given client accounts by their ``key_hashes``."""
    keys = {
        key_hash: key
        for key_hash, key in state.keys.items()
        if key.account not in accounts
    }
    for name, account in accounts.items():
        for key_hash in account.key_hashes:
            holder = keys.get(key_hash)
            if holder is not None and holder.account != name:
                raise ValidationError(
                    f'accounts {holder.account!r} and {name!r} share a key',
                    remedy='give each account keys of its own',
                )
            keys[key_hash] = Key(key_hash, name)
    return replace(state, keys=MappingProxyType(keys))


def _current_version(previous: ControlState, service: str) -> str:
    current = previous.services.get(service)
    return current.version if current is not None else ''


def _with_configuration(
    state: ControlState, changed: ControlState, arguments: _ConfigurationChange
) -> ControlState:
    _check_references(changed)
    current = state.configuration
    accepted = (*current.accepted, arguments.digest())[-_MAX_ACCEPTED:]
    limits: dict[str, Any] = {}
    if arguments.limits is not None:
        limits = arguments.limits.model_dump()
    record = replace(
        current, number=arguments.number, accepted=accepted, **limits
    )
    return changed.with_record('configurations', CONFIGURATION_KEY, record)


def _check_references(state: ControlState) -> None:
    routes_by_match: dict[tuple[str, str], str] = {}
    for route in state.routes.values():
        _check_route(state, route)
        match = (route.host.lower(), route.path_prefix)
        if match in routes_by_match:
            raise ValidationError(
                f'routes {routes_by_match[match]!r} and {route.name!r} share '
                f'host and path {match}',
                remedy='give each route a host and path of its own',
            )
        routes_by_match[match] = route.name


def _check_route(state: ControlState, route: Route) -> None:
    for service in route.services:
        if service not in state.services:
            raise ValidationError(
                f'route {route.name!r} names the unknown service {service!r}',
                remedy=f'use one of {sorted(state.services)}',
            )
    if len(route.weights) != len(route.services) or not sum(route.weights):
        raise ValidationError(
            f'route {route.name!r} has the weights {list(route.weights)}',
            remedy='give one weight a service, with a sum above 0',
        )
    if route.profile not in state.profiles:
        raise ValidationError(
            f'route {route.name!r} names the unknown profile {route.profile!r}',
            remedy=f'use one of {sorted(state.profiles)}',
        )

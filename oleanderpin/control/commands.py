"""Commands that change the control state, with models of their arguments.

A command is a pure function of the state, its arguments and the time of the
proposal, so that every instance that applies the log reaches the same state.
"""

import ipaddress
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from ..core.errors import ConflictError, NotFoundError, ValidationError
from ..core.registry import Registry
from .state import (
    Account,
    Block,
    ControlMember,
    ControlState,
    Drain,
    Key,
    Move,
    PART_OWNERS_KEY,
    PartOwners,
    Profile,
    Service,
    ShareHolderRecord,
)

Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9._:-]{0,62}$')]
# Accepts names that were assigned in other systems.
ObjectName = Annotated[str, Field(min_length=1, max_length=256)]
Percent = Annotated[float, Field(ge=0, le=100)]
_MAX_BLOCKS_PER_CHANGE = 10000


def _normalize_cidr(cidr: str) -> str:
    return str(ipaddress.ip_network(cidr))


class Arguments(BaseModel):
    """Base class of command arguments."""

    model_config = ConfigDict(extra='forbid', frozen=True)


@dataclass(frozen=True, slots=True)
class Command:
    """A registered command.

    ``table`` and ``key_field`` identify the object whose revision is checked;
    both are empty for a command that changes several objects.
    """

    arguments_model: type[Arguments]
    table: str
    key_field: str
    apply: Callable[[ControlState, Any, float], ControlState]


commands: Registry[Command] = Registry('command')

_Apply = Callable[[ControlState, Any, float], ControlState]


def command(
    name: str, model: type[Arguments], *, table: str = '', key_field: str = ''
) -> Callable[[_Apply], _Apply]:
    """Return a decorator that registers a command.

    Parameters
    ----------
    name : str
        Name in the form ``object.verb``.
    model : type
        Pydantic model of the arguments.
    table : str
        Table of the object whose revision is checked.
    key_field : str
        Argument that holds the name of the object.
    """

    def decorator(function: _Apply) -> _Apply:
        commands.register(name)(Command(model, table, key_field, function))
        return function

    return decorator


class ProfilePut(Arguments):
    """Arguments of ``profile.put``."""

    name: Name
    traffic_class: Literal['small', 'bulk'] = 'small'
    request_timeout_s: Annotated[float, Field(gt=0, le=3600)] = 10.0
    first_byte_timeout_s: Annotated[float, Field(gt=0, le=600)] = 5.0
    progress_timeout_s: Annotated[float, Field(gt=0, le=600)] = 10.0
    queue_timeout_s: Annotated[float, Field(ge=0, le=60)] = 1.0
    max_attempts: Annotated[int, Field(ge=1, le=5)] = 3
    retry_budget_percent: Annotated[float, Field(ge=0, le=50)] = 10.0
    hedge_after_ms: Annotated[float, Field(ge=0, le=10000)] = 0.0
    idempotency_required: bool = False
    shift_cap_percent: Annotated[float, Field(gt=0, le=100)] = 20.0
    shift_interval_s: Annotated[float, Field(gt=0, le=3600)] = 10.0
    slow_start_s: Annotated[float, Field(ge=0, le=600)] = 10.0
    move_watch_s: Annotated[float, Field(ge=0, le=86400)] = 30.0
    is_repeatable: bool = False
    latency_objective_s: Annotated[float, Field(gt=0, le=3600)] = 1.0
    rank: Annotated[int, Field(ge=0, le=1000)] = 0
    is_sticky: bool = False
    allowed_regions: tuple[str, ...] = ()


@command('profile.put', ProfilePut, table='profiles', key_field='name')
def _put_profile(
    state: ControlState, arguments: ProfilePut, _unix_s: float
) -> ControlState:
    profile = Profile(**arguments.model_dump())
    return state.with_record('profiles', profile.name, profile)


class Named(Arguments):
    """Arguments of commands that only take the name of an object."""

    name: Name


@command('profile.delete', Named, table='profiles', key_field='name')
def _delete_profile(
    state: ControlState, arguments: Named, _unix_s: float
) -> ControlState:
    services = [
        each.name
        for each in state.services.values()
        if each.profile == arguments.name
    ]
    routes = [
        each.name
        for each in state.routes.values()
        if each.profile == arguments.name
    ]
    users = services + routes
    if users:
        raise ValidationError(
            f'profile {arguments.name!r} is used by {users}',
            remedy='assign another profile to them first',
        )
    return state.without_record('profiles', arguments.name)


class ServicePut(Arguments):
    """Arguments of ``service.put``."""

    name: Name
    profile: Name
    is_open: bool = False
    accounts: tuple[Name, ...] = ()
    version: str = ''
    cold_rate_per_s: Annotated[float, Field(ge=0, le=1e6)] = 0.0
    cold_start_s: Annotated[float, Field(ge=0, le=3600)] = 0.0
    max_connections: Annotated[int, Field(ge=0, le=1000000)] = 0
    health_path: str = ''
    annotation: str = ''


@command('service.put', ServicePut, table='services', key_field='name')
def _put_service(
    state: ControlState, arguments: ServicePut, _unix_s: float
) -> ControlState:
    _require(state, 'profiles', arguments.profile)
    for account in arguments.accounts:
        _require(state, 'accounts', account)
    current = state.services.get(arguments.name)
    is_moving = _running_move(state, arguments.name) is not None
    if is_moving and current and arguments.version != current.version:
        raise ValidationError(
            f'version {arguments.version!r} differs from the version '
            f'{current.version!r} of the running move',
            remedy='wait for the move to end or cancel it',
        )
    service = Service(**arguments.model_dump())
    return state.with_record('services', service.name, service)


class ServiceAdoptVersion(Arguments):
    """Arguments of ``service.adopt_version``, proposed by the leader."""

    name: ObjectName
    version: Annotated[str, Field(min_length=1, max_length=64)]
    previous: str = ''


@command('service.adopt_version', ServiceAdoptVersion)
def _adopt_version(
    state: ControlState, arguments: ServiceAdoptVersion, _unix_s: float
) -> ControlState:
    service = _require_service(state, arguments.name)
    is_unchanged = service.version == arguments.previous
    if not is_unchanged or _running_move(state, service.name) is not None:
        return state
    adopted = replace(service, version=arguments.version)
    return state.with_record('services', service.name, adopted)


@command('service.delete', Named, table='services', key_field='name')
def _delete_service(
    state: ControlState, arguments: Named, _unix_s: float
) -> ControlState:
    if _running_move(state, arguments.name) is not None:
        raise ValidationError(
            f'service {arguments.name!r} has a running move',
            remedy='cancel the move first',
        )
    users = [
        route.name
        for route in state.routes.values()
        if arguments.name in route.services
    ]
    if users:
        raise ValidationError(
            f'service {arguments.name!r} is used by routes {users}',
            remedy='remove or change these routes first',
        )
    return state.without_record('services', arguments.name)


class AccountPut(Arguments):
    """Arguments of ``account.put``."""

    name: Name
    rate_per_s: Annotated[float, Field(gt=0, le=1e7)]
    burst: Annotated[float, Field(ge=1, le=1e7)]
    rank: Annotated[int, Field(ge=0, le=1000)] | None = None
    allowed_regions: tuple[str, ...] = ()
    annotation: str = ''


@command('account.put', AccountPut, table='accounts', key_field='name')
def _put_account(
    state: ControlState, arguments: AccountPut, _unix_s: float
) -> ControlState:
    account = Account(**arguments.model_dump())
    return state.with_record('accounts', account.name, account)


@command('account.delete', Named, table='accounts', key_field='name')
def _delete_account(
    state: ControlState, arguments: Named, _unix_s: float
) -> ControlState:
    users = [
        service.name
        for service in state.services.values()
        if arguments.name in service.accounts
    ]
    if users:
        raise ValidationError(
            f'account {arguments.name!r} is named by services {users}',
            remedy='remove it from these services first',
        )
    for key in state.keys.values():
        if key.account == arguments.name:
            state = state.without_record('keys', key.key_hash)
    return state.without_record('accounts', arguments.name)


class KeyAdd(Arguments):
    """Arguments of ``key.add``; the key's text never enters the state."""

    key_hash: Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
    account: Name


@command('key.add', KeyAdd, table='keys', key_field='key_hash')
def _add_key(
    state: ControlState, arguments: KeyAdd, _unix_s: float
) -> ControlState:
    _require(state, 'accounts', arguments.account)
    key = Key(**arguments.model_dump())
    return state.with_record('keys', key.key_hash, key)


class KeyRevoke(Arguments):
    """Arguments of ``key.revoke``."""

    key_hash: Annotated[str, Field(pattern='^[0-9a-f]{64}$')]


@command('key.revoke', KeyRevoke, table='keys', key_field='key_hash')
def _revoke_key(
    state: ControlState, arguments: KeyRevoke, _unix_s: float
) -> ControlState:
    return state.without_record('keys', arguments.key_hash)


class DrainStart(Arguments):
    """Arguments of ``drain.start``."""

    name: ObjectName
    kind: Literal['target', 'instance', 'failure_domain']


@command('drain.start', DrainStart, table='drains', key_field='name')
def _start_drain(
    state: ControlState, arguments: DrainStart, _unix_s: float
) -> ControlState:
    drain = Drain(**arguments.model_dump())
    return state.with_record('drains', drain.name, drain)


@command('drain.cancel', Named, table='drains', key_field='name')
def _cancel_drain(
    state: ControlState, arguments: Named, _unix_s: float
) -> ControlState:
    return state.without_record('drains', arguments.name)


class MoveStart(Arguments):
    """Arguments of ``move.start``."""

    service: ObjectName
    to_version: ObjectName
    deadline_s: Annotated[float, Field(gt=0, le=604800)]


@command('move.start', MoveStart, table='moves', key_field='service')
def _start_move(
    state: ControlState, arguments: MoveStart, unix_s: float
) -> ControlState:
    service = _require_service(state, arguments.service)
    if _running_move(state, service.name) is not None:
        raise ValidationError(
            f'service {service.name!r} has a running move',
            remedy='wait for its end or cancel it',
        )
    if arguments.to_version == service.version:
        raise ValidationError(
            f'to_version {arguments.to_version!r} is the current version',
            remedy='name the version to move to',
        )
    move = Move(
        service=service.name,
        from_version=service.version,
        to_version=arguments.to_version,
        deadline_unix_s=unix_s + arguments.deadline_s,
        started_unix_s=unix_s,
    )
    return state.with_record('moves', service.name, move)


class MoveAdvance(Arguments):
    """Arguments of ``move.advance``, proposed by the move controller."""

    service: ObjectName
    share_percent: Percent
    evidence: str = ''


@command('move.advance', MoveAdvance, table='moves', key_field='service')
def _advance_move(
    state: ControlState, arguments: MoveAdvance, _unix_s: float
) -> ControlState:
    move = _require_running_move(state, arguments.service)
    advanced = replace(
        move,
        share_percent=arguments.share_percent,
        evidence=arguments.evidence,
    )
    return state.with_record('moves', move.service, advanced)


class MoveFinish(Arguments):
    """Arguments of ``move.finish``."""

    service: ObjectName
    status: Literal['done', 'taken_back']
    reason: str
    evidence: str = ''


@command('move.finish', MoveFinish, table='moves', key_field='service')
def _finish_move(
    state: ControlState, arguments: MoveFinish, _unix_s: float
) -> ControlState:
    move = _require_running_move(state, arguments.service)
    is_done = arguments.status == 'done'
    if is_done:
        # A configuration may have removed the service since the proposal.
        service = _require_service(state, move.service)
        service = replace(service, version=move.to_version)
        state = state.with_record('services', service.name, service)
    finished = replace(
        move,
        status=arguments.status,
        share_percent=100.0 if is_done else 0.0,
        reason=arguments.reason,
        evidence=arguments.evidence,
    )
    return state.with_record('moves', move.service, finished)


class BlocksPut(Arguments):
    """Arguments of ``blocks.put``: sites by client block in CIDR notation."""

    blocks: Annotated[
        dict[Annotated[str, AfterValidator(_normalize_cidr)], Name],
        Field(min_length=1, max_length=_MAX_BLOCKS_PER_CHANGE),
    ]


@command('blocks.put', BlocksPut)
def _put_blocks(
    state: ControlState, arguments: BlocksPut, _unix_s: float
) -> ControlState:
    records = {
        cidr: Block(cidr, site) for cidr, site in arguments.blocks.items()
    }
    return state.with_records('blocks', records)


class BlocksDelete(Arguments):
    """Arguments of ``blocks.delete``."""

    cidrs: Annotated[
        tuple[str, ...],
        Field(min_length=1, max_length=_MAX_BLOCKS_PER_CHANGE),
    ]


@command('blocks.delete', BlocksDelete)
def _delete_blocks(
    state: ControlState, arguments: BlocksDelete, _unix_s: float
) -> ControlState:
    removed = set(arguments.cidrs)
    remaining = {
        cidr: block
        for cidr, block in state.blocks.items()
        if cidr not in removed
    }
    return replace(state, blocks=remaining)


class MemberFields(Arguments):
    """One member of the control group."""

    member_id: str
    name: str
    address: str
    is_voter: bool


class MembersSet(Arguments):
    """Arguments of ``members.set``, which only the replicated log proposes."""

    members: tuple[MemberFields, ...]


MEMBERS_SET = 'members.set'


@command(MEMBERS_SET, MembersSet)
def _set_members(
    state: ControlState, arguments: MembersSet, _unix_s: float
) -> ControlState:
    members = {
        member.member_id: ControlMember(**member.model_dump())
        for member in arguments.members
    }
    if members == state.members:
        return state
    return replace(state, members=members)


class ShareHoldersAdd(Arguments):
    """Arguments of ``share_holders.add``, which the share ledger proposes."""

    names: tuple[Name, ...]


SHARE_HOLDERS_ADD = 'share_holders.add'


@command(SHARE_HOLDERS_ADD, ShareHoldersAdd)
def _add_share_holders(
    state: ControlState, arguments: ShareHoldersAdd, _unix_s: float
) -> ControlState:
    records = {name: ShareHolderRecord(name) for name in arguments.names}
    return state.with_records('share_holders', records)


class PartOwnersSet(Arguments):
    """Arguments of ``part_owners.set``, which the leader proposes.

    ``expected_number`` is the number of the record that it replaces.
    """

    owners: dict[str, str]
    next_owners: dict[str, str]
    expected_number: int


PART_OWNERS_SET = 'part_owners.set'


@command(PART_OWNERS_SET, PartOwnersSet)
def _set_part_owners(
    state: ControlState, arguments: PartOwnersSet, _unix_s: float
) -> ControlState:
    number = state.owners_of_parts.number
    if arguments.expected_number != number:
        raise ConflictError(
            f'owners of parts have number {number}, '
            f'not {arguments.expected_number}',
            winner_request_id='',
            winner_operator='',
            revision=number,
            remedy='decide again from the current owners',
        )
    record = PartOwners(
        number + 1, dict(arguments.owners), dict(arguments.next_owners)
    )
    return state.with_record('part_owners', PART_OWNERS_KEY, record)


def _require(state: ControlState, table: str, name: str) -> Any:
    try:
        return getattr(state, table)[name]
    except KeyError:
        known = sorted(getattr(state, table))
        raise NotFoundError(
            f'no {table.removesuffix("s")} {name!r}',
            remedy=f'create it first; known: {known}',
        ) from None


def _require_service(state: ControlState, name: str) -> Service:
    service: Service = _require(state, 'services', name)
    return service


def _running_move(state: ControlState, service: str) -> Move | None:
    move = state.moves.get(service)
    if move is not None and move.status == 'running':
        return move
    return None


def _require_running_move(state: ControlState, service: str) -> Move:
    move = _running_move(state, service)
    if move is None:
        raise NotFoundError(
            f'service {service!r} has no running move',
            remedy='start one with move.start',
        )
    return move

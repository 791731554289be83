"""Admin routes for the members of the control group."""

from dataclasses import asdict
from typing import Any

import pydantic

from ..control.leader import LeaderClient
from ..control.log import ControlLog
from ..core.errors import ConflictError, UnavailableError, ValidationError
from ..core.http import HttpResponse, HttpRequest
from ..core.settings import Address
from ..wire.generated.raft.ttypes import (
    MemberAdd,
    MemberProblem,
    MemberRemove,
    MembersReply,
    MemberStatus,
)
from .admin import Admin, json_answer, read_model, routes

_STATUS_TIMEOUT_S = 2.0
_CHANGE_TIMEOUT_S = 10.0


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class MemberAddBody(_Body):
    """Body of ``POST /v1/members/add``: the peer address to add."""

    address: Address


class MemberRemoveBody(_Body):
    """Body of ``POST /v1/members/remove``: member id, name or address."""

    member: str


@routes.register('GET /v1/members')
def _get_members(admin: Admin, _request: HttpRequest) -> HttpResponse:
    """Answer with the leader's list, without a leader with what is known."""
    client = admin.kernel.plugin(LeaderClient)
    try:
        reply = client.call('Raft', 'members', timeout_s=_STATUS_TIMEOUT_S)
    except UnavailableError:
        if not admin.kernel.has(ControlLog):
            raise
        return json_answer({'has_leader': False} | _own(admin))
    return json_answer(_document(reply) | _own(admin))


@routes.register('POST /v1/members/add')
def _add_member(admin: Admin, request: HttpRequest) -> HttpResponse:
    body = read_model(request, MemberAddBody)
    return _change(admin, 'add_member', MemberAdd(address=body.address))


@routes.register('POST /v1/members/remove')
def _remove_member(admin: Admin, request: HttpRequest) -> HttpResponse:
    body = read_model(request, MemberRemoveBody)
    return _change(admin, 'remove_member', MemberRemove(member=body.member))


def _change(admin: Admin, method: str, asked: Any) -> HttpResponse:
    try:
        reply = admin.kernel.plugin(LeaderClient).call(
            'Raft', method, asked, timeout_s=_CHANGE_TIMEOUT_S
        )
    except MemberProblem as problem:
        raise _typed(problem) from problem
    return json_answer(_document(reply))


def _typed(error: MemberProblem) -> ConflictError | ValidationError:
    if error.kind == ConflictError.kind:
        return ConflictError(
            error.problem,
            winner_request_id='',
            winner_operator='',
            revision=0,
            remedy=error.remedy,
        )
    return ValidationError(error.problem, remedy=error.remedy)


def _document(reply: MembersReply) -> dict[str, Any]:
    return {
        'has_leader': True,
        'cluster_id': reply.cluster_id,
        'revision': reply.revision,
        'change_in_progress': reply.change_in_progress,
        'members': [_member(status) for status in reply.members],
    }


def _member(status: MemberStatus) -> dict[str, Any]:
    member = status.member
    age_ms = status.last_answer_age_ms
    return {
        'member_id': member.member_id,
        'name': member.name,
        'address': member.address,
        'role': 'voter' if member.is_voter else 'learner',
        'is_leader': status.is_leader,
        'synced_revision': status.synced_revision,
        'last_answer_age_s': age_ms / 1000 if age_ms >= 0 else None,
    }


def _own(admin: Admin) -> dict[str, Any]:
    if not admin.kernel.has(ControlLog):
        return {}
    log = admin.kernel.plugin(ControlLog)
    if log.problem:
        return {'this_instance': {'problem': log.problem}}
    return {'this_instance': asdict(log.own_member())}

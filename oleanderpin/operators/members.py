"""Admin routes that list, add and remove members of the control group."""

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
from .admin import Admin, json_response, read_model, routes

_STATUS_TIMEOUT_S = 2.0
_CHANGE_TIMEOUT_S = 10.0


class _RequestBody(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class MemberAddBody(_RequestBody):
    """Body of ``POST /v1/members/add``: peer address of the new member."""

    address: Address


class MemberRemoveBody(_RequestBody):
    """Body of ``POST /v1/members/remove``: member id, name or address."""

    member: str


@routes.register('GET /v1/members')
def _get_members(admin: Admin, _request: HttpRequest) -> HttpResponse:
    """Return the leader's member list, or local state if no leader responds."""
    client = admin.kernel.plugin(LeaderClient)
    try:
        reply = client.call('Raft', 'members', timeout_s=_STATUS_TIMEOUT_S)
    except UnavailableError:
        if not admin.kernel.has(ControlLog):
            raise
        return json_response(
            {'has_leader': False} | _own_member_document(admin)
        )
    return json_response(_members_document(reply) | _own_member_document(admin))


@routes.register('POST /v1/members/add')
def _add_member(admin: Admin, request: HttpRequest) -> HttpResponse:
    body = read_model(request, MemberAddBody)
    return _change_membership(
        admin, 'add_member', MemberAdd(address=body.address)
    )


@routes.register('POST /v1/members/remove')
def _remove_member(admin: Admin, request: HttpRequest) -> HttpResponse:
    body = read_model(request, MemberRemoveBody)
    return _change_membership(
        admin, 'remove_member', MemberRemove(member=body.member)
    )


def _change_membership(admin: Admin, method: str, request: Any) -> HttpResponse:
    try:
        reply = admin.kernel.plugin(LeaderClient).call(
            'Raft', method, request, timeout_s=_CHANGE_TIMEOUT_S
        )
    except MemberProblem as problem:
        raise _to_typed_error(problem) from problem
    return json_response(_members_document(reply))


def _to_typed_error(error: MemberProblem) -> ConflictError | ValidationError:
    if error.kind == ConflictError.kind:
        return ConflictError(
            error.problem,
            winner_request_id='',
            winner_operator='',
            revision=0,
            remedy=error.remedy,
        )
    return ValidationError(error.problem, remedy=error.remedy)


def _members_document(reply: MembersReply) -> dict[str, Any]:
    return {
        'has_leader': True,
        'cluster_id': reply.cluster_id,
        'revision': reply.revision,
        'change_in_progress': reply.change_in_progress,
        'members': [_member_document(status) for status in reply.members],
    }


def _member_document(status: MemberStatus) -> dict[str, Any]:
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


def _own_member_document(admin: Admin) -> dict[str, Any]:
    if not admin.kernel.has(ControlLog):
        return {}
    log = admin.kernel.plugin(ControlLog)
    if log.problem:
        return {'this_instance': {'problem': log.problem}}
    return {'this_instance': asdict(log.own_member())}

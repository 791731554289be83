"""Admin HTTP API for operators and targets.

Serves control changes, target announcements and departures, status, history,
metrics and health checks on the admin port.
"""

import json
import time
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, Literal, TypeVar

import pydantic
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..control.change import Change, describe_validation
from ..control.distribution import Distribution
from ..control.log import ControlLog
from ..control.state import RECORD_TYPES
from ..control.view import ControlView
from ..core.documents import decode_document
from ..core.errors import (
    ConflictError,
    NotFoundError,
    OleanderpinError,
    UnavailableError,
    ValidationError,
)
from ..core.http import HttpResponse, HttpListener, HttpRequest
from ..core.http_waiting import WholeBodies
from ..core.plugin import Plugin, plugins
from ..core.registry import Registry
from ..membership.members import Status
from ..membership.peers import Peers
from ..targets.table import Announcement, Departure, TargetTable

_THREADS = 8
_MAX_BODY_BYTES = 4 * 1024 * 1024
_MAX_HEADER_BYTES = 16384
# Instances that do not confirm a change stop using the older state when the
# freshness limit passes, so a change is in force shortly after that limit.
_IN_FORCE_MARGIN_S = 3.0
# A change is committed or refused within this time unless the group is disturbed.
_DRAIN_TIMEOUT_S = 1.0

ModelT = TypeVar('ModelT', bound=pydantic.BaseModel)
Route = Callable[['Admin', HttpRequest], HttpResponse]

routes: Registry[Route] = Registry('admin route')


def json_response(document: Any, *, status: int = 200) -> HttpResponse:
    """Return an HTTP response with ``document`` as its JSON body."""
    return HttpResponse(status, json.dumps(document).encode())


@plugins.register('admin')
class Admin(Plugin):
    """Serves registered routes on the admin port."""

    def __init__(self, kernel: Any) -> None:
        """Create the HTTP listener without starting it."""
        super().__init__(kernel)
        self._listener = HttpListener(
            kernel.settings.listen.admin,
            self.handle,
            threads=_THREADS,
            max_header_bytes=_MAX_HEADER_BYTES,
            # Threads are few, and no client may occupy one by sending slowly.
            whole_bodies=WholeBodies(max_body_bytes=_MAX_BODY_BYTES),
        )

    def start(self) -> None:
        """Start accepting connections."""
        self._listener.start()

    def drain(self, *, deadline_s: float) -> None:
        """Respond to the requests in progress.

        A change needs the control log, which ends with the stop.
        """
        left_s = deadline_s - self.kernel.clock.now_s()
        timeout_s = max(0.0, min(_DRAIN_TIMEOUT_S, left_s))
        self._listener.finish_requests(timeout_s=timeout_s)

    def stop(self) -> None:
        """Stop accepting connections."""
        self._listener.stop()

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Dispatch a request to its route and convert errors to responses."""
        key = f'{request.method} {request.path}'
        try:
            if key in routes:
                return routes.get(key)(self, request)
            return self._list_records(request)
        except OleanderpinError as error:
            return error_response(error)

    def _list_records(self, request: HttpRequest) -> HttpResponse:
        table = request.path.removeprefix('/v1/')
        if request.method != 'GET' or table not in RECORD_TYPES:
            raise NotFoundError(
                f'no route {request.method} {request.path}',
                remedy=f'use one of {sorted(routes)}',
            )
        state = self.kernel.plugin(ControlView).state
        records = []
        for name, record in sorted(getattr(state, table).items()):
            meta = state.metas.get(f'{table}/{name}')
            revision = meta.revision if meta else 0
            records.append(asdict(record) | {'revision': revision})
        return json_response(records)


def error_response(error: OleanderpinError) -> HttpResponse:
    """Return an error as a problem document with the matching status."""
    statuses = {
        ConflictError.kind: 409,
        NotFoundError.kind: 404,
        UnavailableError.kind: 503,
        ValidationError.kind: 400,
    }
    document = {
        'kind': error.kind,
        'problem': error.problem,
        'remedy': error.remedy,
    }
    if isinstance(error, ConflictError):
        document['winner_request_id'] = error.winner_request_id
        document['winner_operator'] = error.winner_operator
        document['revision'] = str(error.revision)
    if isinstance(error, UnavailableError):
        document['maybe_applied'] = str(error.maybe_applied).lower()
    return HttpResponse(
        statuses.get(error.kind, 500),
        json.dumps(document).encode(),
        content_type='application/problem+json',
    )


def read_model(request: HttpRequest, model: type[ModelT]) -> ModelT:
    """Read a JSON body and validate it against ``model``.

    Raises
    ------
    ValidationError
        If the body is not valid; the message quotes the invalid values.
    """
    body = request.read_body(limit_bytes=_MAX_BODY_BYTES)
    try:
        return decode_document(body, model)
    except pydantic.ValidationError as error:
        raise ValidationError(
            describe_validation(error), remedy='correct the named fields'
        ) from error


class ChangeRequest(Change):
    """Body of ``POST /v1/changes``."""

    wait: Literal['accepted', 'in_force'] = 'accepted'


@routes.register('POST /v1/changes')
def _post_change(admin: Admin, request: HttpRequest) -> HttpResponse:
    change_request = read_model(request, ChangeRequest)
    if admin.kernel.draining.is_set():
        # The control log ends before the process does.
        raise UnavailableError(
            'the instance is stopping', remedy='ask another instance'
        )
    fields = change_request.model_dump(exclude={'wait'})
    fields['proposed_unix_s'] = time.time()
    distribution = admin.kernel.plugin(Distribution)
    outcome = distribution.propose(Change(**fields))
    outcome.raise_for_kind()
    state = 'accepted'
    if change_request.wait == 'in_force':
        limit_s = admin.kernel.settings.control.freshness_limit_s
        is_in_force = distribution.wait_in_force(
            outcome.revision, timeout_s=limit_s + _IN_FORCE_MARGIN_S
        )
        state = 'in_force' if is_in_force else 'accepted'
    return json_response(asdict(outcome) | {'state': state})


@routes.register('POST /targets/announce')
def _post_announcement(admin: Admin, request: HttpRequest) -> HttpResponse:
    announcement = read_model(request, Announcement)
    target = admin.kernel.plugin(TargetTable).announce(announcement)
    state = 'leaving' if target.leaving else 'announced'
    return json_response({'renew_after_s': 1.0, 'state': state})


@routes.register('POST /targets/leave')
def _post_departure(admin: Admin, request: HttpRequest) -> HttpResponse:
    admin.kernel.plugin(TargetTable).leave(read_model(request, Departure))
    return json_response({'state': 'leaving'})


@routes.register('GET /v1/status')
def _get_status(admin: Admin, _request: HttpRequest) -> HttpResponse:
    view = admin.kernel.plugin(ControlView)
    peers = admin.kernel.plugin(Peers)
    distribution = admin.kernel.plugin(Distribution)
    settings = admin.kernel.settings
    return json_response(
        {
            'instance': settings.instance.name,
            'revision': view.revision,
            'is_fresh': view.is_fresh(),
            'freshness_age_s': min(view.freshness_age_s(), 1e9),
            'freshness_limit_s': settings.control.freshness_limit_s,
            'watches': distribution.follower.source,
            'watchers': distribution.confirmations.watchers(),
            'instances': [_as_document(peer) for peer in peers.alive()],
            'missing': [
                {'name': member.info.name, 'status': member.status.name}
                for member in peers.table.members()
                if member.status is not Status.alive
            ],
        }
    )


@routes.register('GET /v1/history')
def _get_history(admin: Admin, _request: HttpRequest) -> HttpResponse:
    records = admin.kernel.plugin(ControlView).history()
    return json_response([_as_document(record) for record in records])


@routes.register('GET /metrics')
def _get_metrics(_admin: Admin, _request: HttpRequest) -> HttpResponse:
    return HttpResponse(
        200, generate_latest(), content_type=CONTENT_TYPE_LATEST
    )


@routes.register('GET /healthz')
def _get_health(_admin: Admin, _request: HttpRequest) -> HttpResponse:
    return json_response({'state': 'alive'})


@routes.register('GET /readyz')
def _get_readiness(admin: Admin, _request: HttpRequest) -> HttpResponse:
    is_ready = admin.kernel.plugin(ControlView).is_fresh()
    is_ready = is_ready and not admin.kernel.draining.is_set()
    if admin.kernel.has(ControlLog):
        is_ready = is_ready and not admin.kernel.plugin(ControlLog).problem
    status = 200 if is_ready else 503
    return json_response({'is_ready': is_ready}, status=status)


def _as_document(record: Any) -> Any:
    return asdict(record)

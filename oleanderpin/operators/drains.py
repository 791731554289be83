"""Admin route for the progress of drains at the responding instance."""

from dataclasses import asdict, dataclass
from typing import Any

from ..control.state import Drain
from ..control.view import ControlView
from ..core.http import HttpResponse, HttpRequest
from ..core.settings import InstanceSettings
from ..routing.router import Router
from ..targets.table import Target
from .admin import Admin, json_response, routes


@dataclass(frozen=True, slots=True)
class DrainProgress:
    """Progress of a drain at one instance.

    ``in_flight`` counts the requests of this instance that are in flight at
    the drained object; it is None for a drain of another instance.
    """

    name: str
    kind: str
    instance: str
    in_flight: int | None
    is_drained: bool | None


@routes.register('GET /v1/drains/progress')
def _get_progress(admin: Admin, _request: HttpRequest) -> HttpResponse:
    state = admin.kernel.plugin(ControlView).state
    in_flight = list(admin.kernel.plugin(Router).in_flight().values())
    own = admin.kernel.settings.instance
    documents: list[Any] = [
        asdict(drain_progress(drain, own=own, in_flight=in_flight))
        for _name, drain in sorted(state.drains.items())
    ]
    return json_response(documents)


def drain_progress(
    drain: Drain, *, own: InstanceSettings, in_flight: list[tuple[Target, int]]
) -> DrainProgress:
    """Return the progress of a drain at this instance.

    Parameters
    ----------
    drain : Drain
        A committed drain.
    own : InstanceSettings
        Name and location of this instance.
    in_flight : list of (Target, int)
        Number of requests in flight at each target.
    """
    is_own_drain = own.name == drain.name and drain.kind == 'instance'
    if drain.kind == 'failure_domain':
        is_own_drain = own.failure_domain == drain.name
    count: int | None = sum(
        requests
        for target, requests in in_flight
        if is_own_drain or _is_drained_by(drain, target)
    )
    if drain.kind == 'instance' and not is_own_drain:
        count = None
    return DrainProgress(
        name=drain.name,
        kind=drain.kind,
        instance=own.name,
        in_flight=count,
        is_drained=None if count is None else count == 0,
    )


def _is_drained_by(drain: Drain, target: Target) -> bool:
    if drain.kind == 'target':
        return target.target_id == drain.name
    return (
        drain.kind == 'failure_domain' and target.failure_domain == drain.name
    )

"""The caller listener: look-ups, and requests forwarded to targets."""

import logging
import secrets
from dataclasses import asdict
from typing import Any

from ..control.authority import Authority
from ..control.state import Profile, Service
from ..control.view import ControlView
from ..core.errors import Refusal, RefusalDetails
from ..core.http import HttpAnswer, HttpListener, HttpRequest
from ..core.metrics import REQUEST_DURATION_S, REQUESTS
from ..core.plugin import Plugin, plugins
from ..limits.fair_queue import FairQueue
from ..limits.limiter import RateLimiter
from ..lookup.answer import PATH_PREFIX, Lookup
from .attempts import Attempts
from .refusal import refusal_answer
from .request import CallerRequest, parse_caller_request

_LOG = logging.getLogger(__name__)
_REQUEST_ID_BYTES = 8


@plugins.register('pipeline')
class Pipeline(Plugin):
    """Takes each caller's request through all checks to a target."""

    roles = frozenset(('entry',))

    def __init__(self, kernel: Any) -> None:
        """Prepare the listener."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._authority = kernel.plugin(Authority)
        self._limiter = kernel.plugin(RateLimiter)
        self._queue = kernel.plugin(FairQueue)
        self._lookup = kernel.plugin(Lookup)
        self._attempts = kernel.plugin(Attempts)
        forwarding = kernel.settings.forwarding
        self._listener = HttpListener(
            kernel.settings.listen.caller,
            self.handle,
            threads=forwarding.threads,
            max_header_bytes=forwarding.max_header_bytes,
        )

    def start(self) -> None:
        """Accept callers."""
        self._listener.start()

    def stop(self) -> None:
        """Stop accepting callers."""
        self._listener.stop()

    def handle(self, request: HttpRequest) -> HttpAnswer | None:
        """Serve one caller's request."""
        request_id = secrets.token_hex(_REQUEST_ID_BYTES)
        try:
            if request.path.startswith(PATH_PREFIX):
                return self._lookup.answer(request)
            self._forward(request, request_id)
        except Refusal as refusal:
            _LOG.info(
                'request refused',
                extra={'request_id': request_id, 'reason': refusal.reason},
            )
            request.raw.close_connection = True
            return refusal_answer(
                refusal,
                request_id=request_id,
                instances=self._alternatives(request, refusal),
            )
        return None

    def _forward(self, request: HttpRequest, request_id: str) -> None:
        started_s = self.kernel.clock.now_s()
        caller_request = parse_caller_request(request)
        service = self._service(caller_request.service_name)
        profile = self._profile(service)
        deadline_s = started_s + _timeout_s(caller_request, profile)
        patient_until_s = min(deadline_s, started_s + profile.queue_timeout_s)
        account_name = ''
        if not service.is_open:
            account = self._authority.check(
                key_hash=caller_request.key_hash, service=service
            )
            account_name = account.name
            self._limiter.admit(account, deadline_s=patient_until_s)
        with self._queue.enter(
            service,
            account_name,
            traffic_class=profile.traffic_class,
            deadline_s=patient_until_s,
        ):
            status = self._attempts.run(
                request,
                caller_request,
                service=service,
                deadline_s=deadline_s,
                request_id=request_id,
            )
        REQUESTS.labels(service.name, f'{status // 100}xx').inc()
        duration_s = self.kernel.clock.now_s() - started_s
        REQUEST_DURATION_S.labels(service.name).observe(duration_s)

    def _service(self, name: str) -> Service:
        service = self._view.state.services.get(name)
        if service is None:
            raise Refusal(
                'unknown_service',
                f'no service {name!r}',
                remedy='name the service in the Host header',
                details=RefusalDetails(status=404),
            )
        return service

    def _profile(self, service: Service) -> Profile:
        return self._view.state.profiles[service.profile]

    def _alternatives(
        self, request: HttpRequest, refusal: Refusal
    ) -> list[dict[str, Any]]:
        if not refusal.details.suggest_instances:
            return []
        own_name = self.kernel.settings.instance.name
        return [
            asdict(entry)
            for entry in self._lookup.entries(request.client_ip)
            if entry.name != own_name
        ]


def _timeout_s(request: CallerRequest, profile: Profile) -> float:
    if request.deadline_ms is None:
        return profile.request_timeout_s
    return min(request.deadline_ms / 1000, profile.request_timeout_s)

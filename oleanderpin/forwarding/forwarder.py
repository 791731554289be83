"""Checks a caller's request, forwards it and returns the response."""

import threading
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any

from ..control.authority import Authority, require_current
from ..control.state import Profile, Service
from ..control.view import ControlView
from ..core.errors import Refusal, RefusalDetails
from ..core.http import HttpRequest
from ..core.http_head import bad_request
from ..core.metrics import REQUEST_DURATION_S, REQUESTS
from ..core.plugin import Plugin, plugins
from ..limits.fair_queue import FairQueue
from ..limits.limiter import RateLimiter
from .attempt_error import AttemptError
from .attempts import Attempts
from .body import CallerBodyError, RequestBody, read_request_body
from .call import Call, CallerDisconnectedError
from .fingerprints import Fingerprints, request_fingerprint
from .idempotency import IdempotencyRecords
from .request import IDEMPOTENCY_HEADER, CallerRequest, parse_caller_request
from .response import BrokenResponseError, Response, forward_response
from .response_streams import ResponseStreams


@plugins.register('forwarder')
class Forwarder(Plugin):
    """Forwards callers' requests to targets."""

    roles = frozenset(('entry',))

    def __init__(self, kernel: Any) -> None:
        """Look up the plug-ins used and set the limit of streamed bodies."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._authority = kernel.plugin(Authority)
        self._limiter = kernel.plugin(RateLimiter)
        self._queue = kernel.plugin(FairQueue)
        self._fingerprints = kernel.plugin(Fingerprints)
        self._records = kernel.plugin(IdempotencyRecords)
        self._attempts = kernel.plugin(Attempts)
        # Streamed bodies may take half of the worker threads, so that slow
        # senders leave the other half to small requests.
        max_transfers = max(1, kernel.settings.forwarding.threads // 2)
        self._transfers = threading.BoundedSemaphore(max_transfers)
        self.streams = ResponseStreams(max_transfers)

    def forward(self, request: HttpRequest, request_id: str) -> None:
        """Forward one request and send the response to the caller.

        Raises
        ------
        Refusal
            If the request is rejected.
        CallerDisconnectedError
            If the caller closed its connection.
        BrokenResponseError
            If the response broke off after its head was sent.
        """
        started_s = self.kernel.clock.now_s()
        parsed = parse_caller_request(
            request, is_key_hash=self._view.state.keys.__contains__
        )
        service = self._find_service(parsed.service_name)
        profile = self._view.state.profiles[service.profile]
        deadline_s = started_s + _timeout_s(parsed, profile)
        queue_deadline_s = min(deadline_s, started_s + profile.queue_timeout_s)
        account = self._admit(parsed, service, deadline_s=queue_deadline_s)
        _require_idempotency_key(parsed, profile)
        request.raw.conn.socket.settimeout(profile.progress_timeout_s)
        with ExitStack() as stack:
            body = self._read_body(request, stack)
            call = Call(
                request=parsed,
                service=service,
                profile=profile,
                body=body,
                deadline_s=deadline_s,
                request_id=request_id,
                clock=self.kernel.clock,
                caller=request.raw.conn.socket,
                fingerprint=_fingerprint(parsed, body),
            )
            self._fingerprints.check(call.fingerprint)
            status = self._dispatch(request, call, account)
        REQUESTS.labels(service.name, f'{status // 100}xx').inc()
        duration_s = self.kernel.clock.now_s() - started_s
        REQUEST_DURATION_S.labels(service.name).observe(duration_s)

    def _dispatch(self, request: HttpRequest, call: Call, account: str) -> int:
        with self._records.guard(call, account) as guard:
            if guard.replay is not None:
                forward_response(request, guard.replay, call)
                return guard.replay.status
            with self._permit(call, account) as permit:
                response = self._attempts.run(call)
                if response.buffered_body is not None:
                    # The target is done; a slow caller must not hold a permit.
                    permit.close()
                guard.complete(response)
                with self.streams.track(response):
                    _send_response(request, response, call)
        return response.status

    @contextmanager
    def _permit(self, call: Call, account: str) -> Iterator[ExitStack]:
        queue_timeout_s = call.profile.queue_timeout_s
        queue_deadline_s = min(
            call.deadline_s, self.kernel.clock.now_s() + queue_timeout_s
        )
        with ExitStack() as permit:
            permit.enter_context(
                self._queue.enter(
                    call.service,
                    account,
                    traffic_class=call.profile.traffic_class,
                    deadline_s=queue_deadline_s,
                )
            )
            yield permit

    def _admit(
        self, parsed: CallerRequest, service: Service, *, deadline_s: float
    ) -> str:
        if service.is_open:
            return ''
        account = self._authority.check(
            key_hash=parsed.key_hash, service=service
        )
        self._limiter.admit(account, deadline_s=deadline_s)
        return str(account.name)

    def _read_body(self, request: HttpRequest, stack: ExitStack) -> RequestBody:
        limit = self.kernel.settings.forwarding.replay_buffer_bytes
        length = request.raw.body.length
        is_streamed = length is None or length > limit
        # A small body that has not arrived was asked for with 100 Continue.
        if is_streamed or not request.raw.has_whole_body():
            if not self._transfers.acquire(blocking=False):
                raise Refusal(
                    'too_many_transfers',
                    'this instance takes no further long request body now',
                    remedy='try another instance or try again later',
                    details=RefusalDetails(
                        retry_after_s=1.0, suggest_instances=True
                    ),
                )
            stack.callback(self._transfers.release)
        try:
            return read_request_body(request, limit_bytes=limit)
        except CallerBodyError as error:
            raise error.refusal(not_run=True) from error

    def _find_service(self, name: str) -> Service:
        service: Service | None = self._view.state.services.get(name)
        if service is None:
            require_current(self._view, f'service {name!r}')
            raise bad_request(
                'unknown_service',
                f'no service {name!r}',
                remedy='name the service in the Host header',
                status=404,
            )
        return service


def _send_response(
    request: HttpRequest, response: Response, call: Call
) -> None:
    is_complete: bool | None = None
    try:
        forward_response(request, response, call)
        is_complete = True
    except BrokenResponseError as error:
        # A target is not at fault if others needed the thread.
        is_complete = None if response.is_given_up else False
        if request.raw.sent_headers:
            raise
        raise AttemptError('answer_broken', str(error)).refusal(
            not_run=False
        ) from error
    except OSError as error:
        raise CallerDisconnectedError from error
    finally:
        response.finish(is_complete=is_complete)


def _timeout_s(request: CallerRequest, profile: Profile) -> float:
    if request.deadline_ms is None:
        return profile.request_timeout_s
    return min(request.deadline_ms / 1000, profile.request_timeout_s)


def _fingerprint(parsed: CallerRequest, body: RequestBody) -> str:
    return request_fingerprint(
        service=parsed.service_name,
        method=parsed.method,
        path_and_query=parsed.path_and_query,
        body_digest=body.digest(),
    )


def _require_idempotency_key(parsed: CallerRequest, profile: Profile) -> None:
    if (
        profile.idempotency_required
        and not parsed.is_idempotent
        and parsed.idempotency_key is None
    ):
        raise bad_request(
            'idempotency_key_required',
            f'{parsed.method} without {IDEMPOTENCY_HEADER}',
            remedy=f'send {IDEMPOTENCY_HEADER} and repeat it on a resend',
        )

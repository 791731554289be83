"""Attempts at targets until one answers."""

from typing import Any

import urllib3

from ..control.authority import Authority
from ..control.state import Service
from ..core.errors import Refusal, RefusalDetails
from ..core.http import HttpRequest, send_head
from ..core.metrics import RETRIES
from ..core.plugin import Plugin, plugins
from ..routing.router import AttemptOutcome, Router, Selection
from .request import DEADLINE_HEADER, CallerRequest

_CHUNK_BYTES = 65536
_MAX_ATTEMPTS = 3
_MAX_BODY_BYTES = 16 * 1024 * 1024
_DROPPED_ANSWER_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'transfer-encoding',
        'upgrade',
        'trailer',
    )
)


class BrokenAnswerError(Exception):
    """The target's answer broke off after its head was passed on."""


@plugins.register('attempts')
class Attempts(Plugin):
    """Runs a request on targets."""

    roles = frozenset(('entry',))

    def __init__(self, kernel: Any) -> None:
        """Create the connection pools."""
        super().__init__(kernel)
        self._authority = kernel.plugin(Authority)
        self._router = kernel.plugin(Router)
        self._pools = urllib3.PoolManager(
            num_pools=1000, maxsize=64, retries=False
        )

    def run(
        self,
        request: HttpRequest,
        caller_request: CallerRequest,
        *,
        service: Service,
        deadline_s: float,
        request_id: str,
    ) -> int:
        """Run the request and pass the answer on.

        Returns
        -------
        int
            Status code of the answer.

        Raises
        ------
        Refusal
            If no target answered.
        """
        body = request.read_body(limit_bytes=_MAX_BODY_BYTES)
        tried: list[str] = []
        while len(tried) < _MAX_ATTEMPTS:
            if not service.is_open:
                self._authority.check(
                    key_hash=caller_request.key_hash, service=service
                )
            selection = self._router.choose(
                service, route=caller_request.route, exclude=tried
            )
            with selection:
                tried.append(selection.target.address)
                answer = self._attempt(
                    selection, caller_request, body, deadline_s=deadline_s
                )
                if answer is None:
                    RETRIES.labels('no_connection').inc()
                    continue
                return _pass_on(request, answer, request_id)
        raise Refusal(
            'no_target_answered',
            f'none of {tried} accepted a connection',
            remedy='try again later',
            details=RefusalDetails(status=503, retry_after_s=1.0),
        )

    def _attempt(
        self,
        selection: Selection,
        caller_request: CallerRequest,
        body: bytes,
        *,
        deadline_s: float,
    ) -> Any:
        remaining_s = deadline_s - self.kernel.clock.now_s()
        headers = urllib3.HTTPHeaderDict(caller_request.headers)
        headers['Host'] = caller_request.service_name
        headers[DEADLINE_HEADER] = str(max(1, int(remaining_s * 1000)))
        forwarding = self.kernel.settings.forwarding
        try:
            return self._pools.urlopen(
                caller_request.method,
                f'http://{selection.target.address}'
                f'{caller_request.path_and_query}',
                body=body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=forwarding.connect_timeout_s,
                    read=max(0.001, remaining_s),
                ),
            )
        except urllib3.exceptions.NewConnectionError:
            selection.record(AttemptOutcome('no_connection'))
            return None
        except urllib3.exceptions.ReadTimeoutError:
            selection.record(AttemptOutcome('timeout'))
            raise Refusal(
                'target_timeout',
                'the target did not answer in time',
                remedy='the request may have run; check before repeating it',
                details=RefusalDetails(status=504, not_run=False),
            ) from None
        except urllib3.exceptions.HTTPError as error:
            selection.record(AttemptOutcome('reset'))
            raise Refusal(
                'target_connection_lost',
                f'the connection to the target was lost: {error}',
                remedy='the request may have run; check before repeating it',
                details=RefusalDetails(status=502, not_run=False),
            ) from error


def _pass_on(request: HttpRequest, answer: Any, request_id: str) -> int:
    headers = [
        (name, header_value)
        for name, header_value in answer.headers.iteritems()
        if name.lower() not in _DROPPED_ANSWER_HEADERS
    ]
    headers.append(('X-Request-Id', request_id))
    send_head(request.raw, answer.status, headers)
    request.raw.ensure_headers_sent()
    try:
        for chunk in answer.stream(_CHUNK_BYTES, decode_content=False):
            request.raw.write(chunk)
    except urllib3.exceptions.HTTPError as error:
        answer.close()
        # Ends the caller's connection without a final chunk.
        raise BrokenAnswerError('the answer broke off') from error
    answer.release_conn()
    return int(answer.status)

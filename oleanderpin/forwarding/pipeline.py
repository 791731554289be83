"""The caller listener: serves look-ups and forwards other requests."""

import logging
import secrets
from dataclasses import asdict
from typing import Any

from ..core.errors import Refusal
from ..core.http import HttpListener, HttpRequest, HttpResponse
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..lookup.answer import PATH_PREFIX, Lookup
from .call import CallerDisconnectedError
from .forwarder import Forwarder
from .refusal import refusal_response
from .response import BrokenResponseError

_LOG = logging.getLogger(__name__)
_REQUEST_ID_BYTES = 8


@plugins.register('pipeline')
class Pipeline(Plugin):
    """Dispatches callers' requests to the look-up or the forwarder."""

    roles = frozenset(('entry',))

    def __init__(self, kernel: Any) -> None:
        """Create the listener."""
        super().__init__(kernel)
        self._lookup = kernel.plugin(Lookup)
        self._forwarder = kernel.plugin(Forwarder)
        forwarding = kernel.settings.forwarding
        self._listener = HttpListener(
            kernel.settings.listen.caller,
            self.handle,
            threads=forwarding.threads,
            max_header_bytes=forwarding.max_header_bytes,
            on_starved=self._forwarder.streams.give_up,
        )

    def start(self) -> None:
        """Accept callers."""
        self._listener.start()

    def drain(self, *, deadline_s: float) -> None:
        """Serve until look-ups have expired, then finish open requests.

        Look-ups omit this instance once the kernel drains, but callers may
        use earlier look-up responses until their time to live has passed.
        """
        self._listener.drain()
        clock = self.kernel.clock
        ttl_s = self.kernel.settings.forwarding.lookup_ttl_s
        clock.sleep(max(0, min(ttl_s, deadline_s - clock.now_s())))
        if not self._listener.wait_idle(timeout_s=deadline_s - clock.now_s()):
            EVENTS.labels('forwarding', 'drain_timeout').inc()
            _LOG.warning('drain timed out with requests still in progress')

    def stop(self) -> None:
        """Stop accepting callers."""
        self._listener.stop()

    def handle(self, request: HttpRequest) -> HttpResponse | None:
        """Serve one caller's request."""
        request_id = secrets.token_hex(_REQUEST_ID_BYTES)
        try:
            if request.path.startswith(PATH_PREFIX):
                return self._lookup.answer(request)
            self._forwarder.forward(request, request_id)
        except Refusal as refusal:
            _LOG.info(
                'request refused',
                extra={'request_id': request_id, 'reason': refusal.reason},
            )
            return refusal_response(
                refusal,
                request_id=request_id,
                instances=self._alternative_instances(request, refusal),
            )
        except CallerDisconnectedError:
            EVENTS.labels('forwarding', 'caller_gone').inc()
            request.raw.abort()
        except BrokenResponseError as error:
            EVENTS.labels('forwarding', 'broken_answer').inc()
            _LOG.warning(
                'response of the target broke off: %s',
                error,
                extra={'request_id': request_id},
            )
            request.raw.abort()
        return None

    def _alternative_instances(
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
